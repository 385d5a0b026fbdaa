#pragma once

#include <algorithm>

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

}  // namespace moorfold
