#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "common/log_event.h"

namespace moorfold {

/// How long a line is kept when there are too many.
enum class LogRank : std::uint8_t {
  kRoutine,  ///< An ordinary request that was served: left out first.
  kDecision,
  kFailure  ///< Kept longest.
};

/// Lines of key=value pairs on standard output. Never blocks: when the output does not take them,
/// or more than a number come in a second, lines are left out and counted. A line that must not be
/// lost is written through: it survives the end of the process. One thread.
class EventLog {
 public:
  struct Options {
    /// @return bounds of a log of that many lines a second: a tenth may be routine, and failures
    /// get twice as many.
    static Options For(std::uint32_t lines_per_second) {
      constexpr std::uint32_t kRoutineShare = 10;
      return {lines_per_second / kRoutineShare, lines_per_second, 2 * lines_per_second};
    }

    std::uint32_t routine_per_second = 20;
    std::uint32_t lines_per_second = 200;
    std::uint32_t failures_per_second = 400;
  };

  EventLog(int descriptor, Options options);

  void Write(LogRank rank, const EventLine& line);
  /// Writes a line that the bound does not concern, and hands it to the output at once.
  /// @return whether the output has taken it; if not, the line is not written. True for an output
  /// that is closed: it will never take one.
  bool WriteThrough(const EventLine& line);
  /// Hands the lines written so far to the output, as far as it takes them.
  void Flush();
  std::uint64_t lost() const { return lost_; }

 private:
  bool Admit(LogRank rank);
  void NoteLosses();
  /// @return how many bytes the output has taken.
  std::size_t HandOver(std::string_view text);
  /// @return `line` as it is written, with the time.
  static std::string Timed(const EventLine& line);

  int descriptor_;
  Options options_;
  std::string pending_;
  bool closed_ = false;  ///< Nobody reads the output any more.
  std::int64_t second_ = 0;
  std::uint32_t lines_this_second_ = 0;
  std::uint32_t routine_this_second_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t lost_when_noted_ = 0;
};

}  // namespace moorfold
