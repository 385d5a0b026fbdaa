#include "isolation_checker.h"

namespace moorfold {

namespace {

/// From then on a cut must no longer show; the platform states this bound.
constexpr std::chrono::milliseconds kContactBound{3'000};
/// Failures that the platform tolerates, and in addition one of so many requests.
constexpr int kTolerated = 10;
constexpr int kToleratedOneIn = 50;

}  // namespace

void IsolationChecker::CutBegan(std::set<int> gateways, Time at) {
  isolated_ = std::move(gateways);
  judged_from_ = at + kContactBound;
  at_isolated_ = at_others_ = {};
  ++cuts_;
}

void IsolationChecker::CutEnded() {
  isolated_.clear();
  const int failed = at_isolated_.sent - at_isolated_.served;
  const int all = at_isolated_.sent + at_others_.sent;
  // Served less than two thirds as often as at the others.
  const bool worse =
      3 * at_isolated_.served * at_others_.sent < 2 * at_others_.served * at_isolated_.sent;
  if (worse && failed > kTolerated + all / kToleratedOneIn)
    violations_.push_back("isolated gateways served " + std::to_string(at_isolated_.served) +
                          " of " + std::to_string(at_isolated_.sent) + " requests, the others " +
                          std::to_string(at_others_.served) + " of " +
                          std::to_string(at_others_.sent));
}

void IsolationChecker::Ended(int gateway, bool served, Time sent_at) {
  if (isolated_.empty() || sent_at < judged_from_) return;
  Count& count = isolated_.contains(gateway) ? at_isolated_ : at_others_;
  ++count.sent;
  count.served += served ? 1 : 0;
}

}  // namespace moorfold
