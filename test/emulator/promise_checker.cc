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

bool Promises(unsigned status) {
  return status == kTimeout || status == kMisdirected || status == kTooMany ||
         status == kUnavailable;
}
}  // namespace

void PromiseChecker::Violate(const std::string& promise, const std::string& what) {
  violations_.push_back(promise + ": " + what);
}

void PromiseChecker::Sent(const std::string& id, RequestKind kind) { sent_[id] = kind; }

void PromiseChecker::Arrived(const std::string& id, const std::string& server, Time at) {
  ++arrivals_[id];
  const auto draining = draining_.find(server);
  if (draining != draining_.end() && at - draining->second > bounds_.drain)
    Violate("drain", "request " + id + " reached " + server + " late");
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

void PromiseChecker::Finish() {
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
