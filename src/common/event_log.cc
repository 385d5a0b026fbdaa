#include "common/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "common/boot_clock.h"

namespace moorfold {

namespace {
constexpr std::size_t kMostPendingBytes = 64 * 1024;
constexpr std::size_t kFlushBytes = 4 * 1024;

std::int64_t MicrosecondsNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now().time_since_epoch())
      .count();
}
}  // namespace

EventLog::EventLog(int descriptor, Options options) : descriptor_(descriptor), options_(options) {
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool EventLog::Admit(LogRank rank) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  const std::int64_t second = MicrosecondsNow() / kMicrosecondsPerSecond;
  if (second != second_) {
    second_ = second;
    lines_this_second_ = 0;
    routine_this_second_ = 0;
    NoteLosses();
  }
  if (pending_.size() > kMostPendingBytes) return false;
  if (rank == LogRank::kRoutine && ++routine_this_second_ > options_.routine_per_second)
    return false;
  const std::uint32_t bound =
      rank == LogRank::kFailure ? options_.failures_per_second : options_.lines_per_second;
  return ++lines_this_second_ <= bound;
}

void EventLog::NoteLosses() {
  if (lost_ == lost_when_noted_) return;
  pending_ += EventLine(LogEvent::kLogLinesLeftOut).Field(LogField::kTotal, lost_).text() + "\n";
  lost_when_noted_ = lost_;
}

void EventLog::Write(LogRank rank, const EventLine& line) {
  if (!Admit(rank)) {
    ++lost_;
    return;
  }
  pending_ += Timed(line);
  if (pending_.size() >= kFlushBytes) Flush();
}

bool EventLog::WriteThrough(const EventLine& line) {
  Flush();
  if (!pending_.empty()) return false;
  const std::string text = Timed(line);
  const std::size_t taken = HandOver(text);
  // The rest of a line that was taken in part follows with the next lines.
  if (taken > 0) pending_ = text.substr(taken);
  if (closed_) ++lost_;
  return closed_ || taken == text.size();
}

std::string EventLog::Timed(const EventLine& line) {
  return "t_us=" + std::to_string(MicrosecondsNow()) + " " + line.text() + "\n";
}

std::size_t EventLog::HandOver(std::string_view text) {
  const ssize_t written = ::write(descriptor_, text.data(), text.size());
  if (written < 0) closed_ = errno == EPIPE || errno == EBADF;
  return written > 0 ? static_cast<std::size_t>(written) : 0;
}

void EventLog::Flush() {
  while (!pending_.empty()) {
    const std::size_t taken = HandOver(pending_);
    if (closed_) pending_.clear();
    if (taken == 0) return;  // Tried again with the next lines.
    pending_.erase(0, taken);
  }
}

}  // namespace moorfold
