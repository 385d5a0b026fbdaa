#include "server_limits/permit_service.h"

#include <algorithm>

#include "server_limits/limit_shares.h"

namespace moorfold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A leader that has not answered is asked again after that.
constexpr milliseconds kAskSilentAgain{500};
/// Between two looks for an own turn.
constexpr milliseconds kOwnTurnPause{100};

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

}  // namespace

PermitService::PermitService(boost::asio::io_context& context, std::string self,
                             PermitCounters& figures, Ports ports)
    : self_(std::move(self)),
      figures_(figures),
      ports_(std::move(ports)),
      fallback_permits_(std::hash<std::string>{}(self_)),
      answered_(context.get_executor()) {}

PermitRequest PermitService::MakeQuestion(const Server& server, microseconds max_wait) {
  const auto now = BootClock::now();
  // Questions are told apart by it.
  last_asked_us_ = std::max(last_asked_us_ + 1, Microseconds(now.time_since_epoch()));
  const ServerStanding& standing = server.standing();
  return {last_asked_us_,
          server.record().id,
          server.record().life,
          standing.limit_per_second.has_value(),
          standing.limit_per_second.value_or(0),
          Microseconds(now - standing.limit_as_of),
          max_wait.count()};
}

Awaitable<std::optional<PermitResponse>> PermitService::Ask(const PermitRequest& question) {
  ++figures_.asked;
  if (ports_.role() == limits::AllocatorRole::kLeader) {
    ++figures_.answered;
    co_return pool_.Answer(question, limits::AllocatorRole::kLeader, BootClock::now());
  }
  const std::string leader = ports_.leader();
  const auto asked_at = BootClock::now();
  if (leader.empty() || leader == self_ || asked_at < silent_until_) co_return std::nullopt;
  const std::int64_t id = question.asked_at_us;
  open_[id].reset();
  ports_.ask(leader, question);
  const Time give_up = asked_at + limits::kAnswerTimeout;
  while (!open_[id] && BootClock::now() < give_up) co_await answered_.Wait(give_up);
  std::optional<PermitResponse> answer = open_[id];
  open_.erase(id);
  const bool here = answer && answer->verdict != PermitVerdict::kNotAllocator;
  if (!answer) ++figures_.unanswered;
  if (here) co_return answer;
  silent_until_ = BootClock::now() + kAskSilentAgain;
  co_return std::nullopt;
}

bool PermitService::TakeOwnTurn(Server& server) {
  const auto now = BootClock::now();
  const double limit = server.standing().limit_per_second.value_or(0);
  if (fallback_permits_.TryAcquire(server.record().id, limit, ports_.daemons(), now)) {
    ++figures_.fallback_permits;
    return true;
  }
  ++figures_.denied;
  server.NoteAtLimit(now + kOwnTurnPause);
  return false;
}

Awaitable<bool> PermitService::Acquire(ServerPtr server, milliseconds max_wait) {
  if (!server->standing().limit_per_second) co_return true;
  const PermitRequest question = MakeQuestion(*server, max_wait);
  const std::optional<PermitResponse> answer = co_await Ask(question);
  if (!answer) co_return TakeOwnTurn(*server);
  const auto now = BootClock::now();
  if (answer->verdict == PermitVerdict::kUnlimited) {
    server->EndLimit(Time(microseconds(question.asked_at_us)));
    co_return true;
  }
  const bool granted = answer->verdict == PermitVerdict::kGranted;
  const microseconds least = granted ? microseconds(0) : microseconds(limits::kMinRetryDelay);
  const microseconds longest =
      granted ? microseconds(max_wait) : microseconds(limits::kMaxRetryDelay);
  const microseconds wait = std::clamp(microseconds(answer->wait_us), least, longest);
  if (!granted) {
    ++figures_.denied;
    server->NoteAtLimit(now + wait);
    co_return false;
  }
  ++figures_.granted;
  if (wait.count() > 0) co_await Sleep(wait);
  co_return true;
}

void PermitService::ReportLimitRemoved(const Server& server) {
  constexpr microseconds kTellsOnly{-1};
  const PermitRequest news = MakeQuestion(server, kTellsOnly);
  if (ports_.role() == limits::AllocatorRole::kLeader) {
    pool_.Answer(news, limits::AllocatorRole::kLeader, BootClock::now());
    return;
  }
  const std::string leader = ports_.leader();
  if (!leader.empty() && leader != self_) ports_.ask(leader, news);
}

void PermitService::Hear(const PermitRequest& question, const std::string& from) {
  ++figures_.answered;
  const PermitResponse answer = pool_.Answer(question, ports_.role(), BootClock::now());
  if (question.max_wait_us >= 0) ports_.answer(from, answer);
}

void PermitService::Hear(const PermitResponse& answer, const std::string& from) {
  const auto open = open_.find(answer.asked_at_us);
  if (open == open_.end() || from != ports_.leader()) {
    ++figures_.dropped;
    return;
  }
  open->second = answer;
  answered_.NotifyAll();
}

}  // namespace moorfold
