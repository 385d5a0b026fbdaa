#include "promise_checker.h"

#include <algorithm>

namespace moorfold {

namespace {
constexpr unsigned kOk = 200;
constexpr unsigned kTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooMany = 429;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kNotFound = 404;
constexpr unsigned kFirstRedirection = 300;
constexpr unsigned kFirstServerError = 500;
/// How long after its client's leaving a request may still be on its way or worked on.
constexpr std::chrono::milliseconds kLeavingSeen{500};
constexpr std::uint64_t kFewLate = 3;
constexpr std::uint64_t kFewLost = 3;
constexpr std::uint64_t kFewDenied = 5;
constexpr double kDeniedShare = 1.0 / 500;
constexpr double kLateWorkShare = 0.25;
constexpr double kRecoveredShare = 0.25;

}  // namespace

bool PromiseChecker::Promises(unsigned status) {
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}

void PromiseChecker::Violate(const std::string& promise, const std::string& what) {
  violations_.push_back(promise + ": " + what);
}

void PromiseChecker::Sent(const std::string& id, RequestKind kind) { sent_[id] = kind; }

void PromiseChecker::Arrived(const std::string& id, const std::string& server, Time at) {
  ++arrivals_[id];
  const auto left = left_.find(id);
  if (left != left_.end() && at - left->second > kLeavingSeen) ++arrived_late_;
  const auto draining = draining_.find(server);
  const bool late = draining != draining_.end() && at - draining->second > bounds_.drain;
  if (late && !(may_be_behind_ && may_be_behind_(id)))
    Violate("drain", "request " + id + " reached " + server + " late");
}

std::size_t PromiseChecker::EndsAllowed(const std::string& ending) const {
  return IsPart(ending) ? bounds_.ends_of_part_allowed : bounds_.ends_allowed;
}

EndingSummary& PromiseChecker::SummaryOf(const std::string& ending) {
  return IsPart(ending) ? part_summary_ : ending_summary_;
}

void PromiseChecker::EndingArrived(const std::string& ending, const std::string& id, Time at) {
  Ending& known = endings_[ending];
  const std::size_t allowed = EndsAllowed(ending);
  if (known.servers.size() < allowed || at - known.last_allowed <= bounds_.contact) return;
  if (may_be_behind_ && may_be_behind_(id)) return;
  ++SummaryOf(ending).sent_when_known;
  if (++known.late_sends == bounds_.sends_allowed + 1)
    Violate("budget", "requests under which " + std::to_string(allowed) +
                          " servers had ended were sent on: " + ending);
}

void PromiseChecker::EndedUnder(const std::string& ending, const std::string& server, Time at) {
  Ending& known = endings_[ending];
  EndingSummary& summary = SummaryOf(ending);
  if (!known.servers.insert(server).second) return;
  if (on_ended_under_) on_ended_under_(ending, server);
  if (known.servers.size() == EndsAllowed(ending)) known.last_allowed = at;
  if (known.servers.size() == 1) ++summary.requests;
  summary.most_servers = std::max<std::uint64_t>(summary.most_servers, known.servers.size());
}

void PromiseChecker::Quarantined(const std::string& id, bool ends_servers) {
  if (ends_servers) {
    ++ending_summary_.refused;
    return;
  }
  ++ending_summary_.innocents_refused;
  Violate("innocent", "request " + id + " was refused as one that ends servers");
}

void PromiseChecker::Ran(const std::string& id, RequestKind kind, const std::string& server, Time) {
  if (!sent_.contains(id)) Violate("unasked", "request " + id + " ran at " + server);
  const int runs = ++runs_[id];
  if (runs > 1 && kind != RequestKind::kRepeatable) Violate("twice", "request " + id);
  if (kind != RequestKind::kRepeatable && promised_not_run_.contains(id))
    Violate("refused", "request " + id + " ran after it was refused as not run");
}

void PromiseChecker::Answered(const ClientAnswer& answer) {
  ++statuses_[answer.status];
  if (answer.status == kOk && answer.whole && !answer.matches)
    Violate("mixed", "request " + answer.id);
  for (std::size_t event = 0; event < answer.events.size(); ++event)
    if (answer.events[event] != static_cast<int>(event) + 1) {
      Violate("order", "request " + answer.id);
      break;
    }
  const bool own_refusal = answer.status >= kFirstRedirection &&
                           answer.status < kFirstServerError && !Promises(answer.status) &&
                           !answer.matches && answer.proper;
  if (own_refusal) ++denied_;
  // What was not passed on crossed the closing of its connection.
  if (answer.cut_at_stop && arrivals_.contains(answer.id)) ++lost_;
  if (!Promises(answer.status)) return;
  promised_not_run_.insert(answer.id);
  if (answer.kind != RequestKind::kRepeatable && runs_.contains(answer.id))
    Violate("refused", "request " + answer.id + " had run");
}

void PromiseChecker::Ordered(const ReceivedOrder& order) {
  std::vector<ReceivedOrder>& earlier = orders_[order.server];
  for (const ReceivedOrder& other : earlier) {
    if (other.holder != order.holder && other.token == order.token)
      Violate("one", "two holders with token " + std::to_string(order.token));
    if (other.token > order.token)
      Violate("one", "token " + std::to_string(order.token) + " after a higher one");
    if (other.holder != order.holder && order.at - other.at < bounds_.handover)
      Violate("one", order.holder + " took turns with " + other.holder + " at " + order.server);
  }
  earlier.push_back(order);
}

void PromiseChecker::LoadBegan(Time at) {
  loads_.push_back(at);
  const auto first = std::find_if(loads_.begin(), loads_.end(),
                                  [&](Time load) { return at - load < bounds_.load_window; });
  const auto in_window = static_cast<double>(loads_.end() - first);
  constexpr double kOvershoot = 1.1;
  constexpr double kSlack = 3;
  if (in_window > bounds_.loads_per_window * kOvershoot + kSlack)
    Violate("ceiling", std::to_string(loads_.end() - first) + " loads in one window");
}

void PromiseChecker::Overfilled(const std::string& server) {
  Violate("limit", server + " was ordered to load more than it holds");
}

void PromiseChecker::Probed(std::int64_t version, unsigned status, Time since, Time at,
                            bool disturbed) {
  if (disturbed || at - since <= bounds_.configuration) return;
  if (status == kNotFound)
    Violate("config", "version " + std::to_string(version) + " is not in force");
}

void PromiseChecker::Working(const std::string& id, Time at) {
  const auto left = left_.find(id);
  if (left != left_.end() && at - left->second > kLeavingSeen) worked_on_late_.insert(id);
}

void PromiseChecker::Recovered(std::uint64_t sent, std::uint64_t served) {
  if (static_cast<double>(served) < kRecoveredShare * static_cast<double>(sent))
    Violate("recover", std::to_string(served) + " of " + std::to_string(sent) + " served");
}

void PromiseChecker::Finish() {
  if (denied_ >
      kFewDenied + static_cast<std::uint64_t>(kDeniedShare * static_cast<double>(sent_.size())))
    Violate("denied", std::to_string(denied_) + " proper requests");
  if (arrived_late_ > kFewLate)
    Violate("gone", std::to_string(arrived_late_) + " requests sent on after their clients left");
  const auto leavers = static_cast<double>(left_.size());
  if (worked_on_late_.size() > kFewLate &&
      static_cast<double>(worked_on_late_.size()) > kLateWorkShare * leavers)
    Violate("gone", std::to_string(worked_on_late_.size()) + " worked on after their clients left");
  if (lost_ > kFewLost) Violate("lost", std::to_string(lost_) + " requests cut at a planned stop");
  double firsts = 0;
  double repeats = 0;
  for (const auto& [id, count] : arrivals_) {
    firsts += 1;
    repeats += count - 1;
  }
  if (repeats > firsts * bounds_.retry_ratio + bounds_.free_repeats)
    Violate("budget", std::to_string(repeats) + " repeats of " + std::to_string(firsts));
}

}  // namespace moorfold
