#pragma once

#include <algorithm>

#include "request/attempt.h"

namespace moorfold {

/// Bounds retries to a share of the requests, so that a sick back end is not stormed. Each request
/// earns a part of a retry; unused ones are kept up to a bound.
class RetryBudget {
 public:
  void Earn() { tokens_ = std::min(kMaxTokens, tokens_ + kEarnedPerRequest); }
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  static constexpr double kEarnedPerRequest = 0.2;
  static constexpr double kMaxTokens = 20;
  double tokens_ = kMaxTokens;
};

enum class AfterAttempt : std::uint8_t {
  kDone,           ///< The caller has its answer.
  kTryAgain,       ///< Elsewhere, or later.
  kRefuseNotRun,   ///< Nothing ran: say so.
  kReportUnknown,  ///< It may have run: say so, never try again.
};

/// What follows an attempt of one request. Keeps count of the attempts.
class RetryPolicy {
 public:
  /// @param repeatable whether the request may run more than once.
  RetryPolicy(bool repeatable, RetryBudget& budget) : repeatable_(repeatable), budget_(budget) {}

  /// @param late no time is left for another attempt.
  AfterAttempt Decide(AttemptEnd end, bool late) {
    switch (end) {
      case AttemptEnd::kAnswered:
        return AfterAttempt::kDone;
      case AttemptEnd::kBroken:
        return AfterAttempt::kReportUnknown;
      case AttemptEnd::kNotRun:
        // Once an attempt may have run, a later refusal cannot make that unsaid.
        if (late || ++refused_ >= kMaxRefused)
          return may_have_run_ ? AfterAttempt::kReportUnknown : AfterAttempt::kRefuseNotRun;
        return AfterAttempt::kTryAgain;
      case AttemptEnd::kMayHaveRun:
        may_have_run_ = true;
        if (late || !repeatable_ || ++failed_ >= kMaxFailed || !budget_.TrySpend())
          return AfterAttempt::kReportUnknown;
        return AfterAttempt::kTryAgain;
    }
    return AfterAttempt::kReportUnknown;
  }
  int refused() const { return refused_; }
  /// Whether some attempt may have run: no refusal may say "not run" any more.
  bool may_have_run() const { return may_have_run_; }

 private:
  static constexpr int kMaxRefused = 8;
  static constexpr int kMaxFailed = 4;
  bool repeatable_;
  RetryBudget& budget_;
  int refused_ = 0;
  int failed_ = 0;
  bool may_have_run_ = false;
};

}  // namespace moorfold
