#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace moorfold {

/// Kinds of requests that the emulated clients send, by the first part of their path.
enum class RequestKind : std::uint8_t { kRepeatable, kAtMostOnce, kStream };

/// What a client got for one attempt.
struct ClientAnswer {
  std::string id;
  RequestKind kind = RequestKind::kRepeatable;
  unsigned status = 0;  ///< 0: no answer.
  bool whole = false;
  bool matches = false;  ///< Seal and body are those that a server gave to this id.
  std::vector<int> events;
  bool cut_at_stop = false;  ///< Incomplete, around a planned stop and no other trouble.
};

/// An order as a server received it.
struct ReceivedOrder {
  std::string server;
  std::string holder;
  std::int64_t token = 0;
  std::chrono::steady_clock::time_point at;
};

/// Judges what callers and servers saw against the promises. Pure bookkeeping; one thread.
class PromiseChecker {
 public:
  using Time = std::chrono::steady_clock::time_point;

  struct Bounds {
    std::chrono::milliseconds handover{3'000};
    std::chrono::milliseconds drain{2'000};
    std::chrono::milliseconds configuration{2'000};
    double retry_ratio = 0.2;
    double free_repeats = 54;
    double loads_per_window = 20;
    std::chrono::milliseconds load_window{5'000};
  };

  explicit PromiseChecker(Bounds bounds) : bounds_(bounds) {}

  void Sent(const std::string& id, RequestKind kind);
  /// Whoever took that request may know servers as they were for a reason; asked when it matters.
  using MayBeBehind = std::function<bool(const std::string& id)>;
  void SetMayBeBehind(MayBeBehind may_be_behind) { may_be_behind_ = std::move(may_be_behind); }
  void Ran(const std::string& id, RequestKind kind, const std::string& server, Time at);
  void Arrived(const std::string& id, const std::string& server, Time at);
  void Answered(const ClientAnswer& answer);
  /// The client of a request has closed its connection.
  void Left(const std::string& id, Time at) { left_[id] = at; }
  /// A server still works on a request.
  void Working(const std::string& id, Time at);
  /// After the final fault and the time to recover from it.
  void Recovered(std::uint64_t sent, std::uint64_t served);
  void Ordered(const ReceivedOrder& order);
  void LoadBegan(Time at);
  void Overfilled(const std::string& server);
  void Draining(const std::string& server, Time at) { draining_[server] = at; }
  /// A request for a route that has been in force since `since` was answered with `status`.
  void Probed(std::int64_t version, unsigned status, Time since, Time at, bool disturbed);
  /// Judges what needs the whole run.
  void Finish();

  const std::vector<std::string>& violations() const { return violations_; }
  std::map<unsigned, std::uint64_t> statuses() const { return statuses_; }

 private:
  void Violate(const std::string& promise, const std::string& what);

  Bounds bounds_;
  MayBeBehind may_be_behind_;
  std::map<std::string, RequestKind> sent_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> arrivals_;
  std::set<std::string> promised_not_run_;
  std::map<std::string, std::vector<ReceivedOrder>> orders_;
  std::map<std::string, Time> draining_;
  std::map<std::string, Time> left_;
  std::set<std::string> worked_on_late_;
  std::uint64_t arrived_late_ = 0;  ///< Requests that reached a server after their clients left.
  std::uint64_t denied_ = 0;
  std::uint64_t lost_ = 0;
  std::vector<Time> loads_;
  std::vector<std::string> violations_;
  std::map<unsigned, std::uint64_t> statuses_;
};

}  // namespace moorfold
