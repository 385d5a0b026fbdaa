#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/boot_clock.h"

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
  bool proper = true;        ///< Its key is one that the gateways know for long, if it needs one.
  bool cut_at_stop = false;  ///< Incomplete, around a planned stop and no other trouble.
};

/// An order as a server received it.
struct ReceivedOrder {
  std::string server;
  std::string holder;
  std::int64_t token = 0;
  BootClock::time_point at;
};

/// What requests that end servers did, over a whole run.
struct EndingSummary {
  std::uint64_t requests = 0;      ///< Different ones, or different parts of prompts.
  std::uint64_t most_servers = 0;  ///< That ended under one of them.
  std::uint64_t sent_when_known =
      0;  ///< Later than the bound after the third end, by daemons in touch.
  std::uint64_t innocents_refused =
      0;                      ///< Other requests that were refused as ones that end servers.
  std::uint64_t refused = 0;  ///< Tries of such requests that were refused as what they are.
};

/// Judges what callers and servers saw against the promises. Pure bookkeeping; one thread.
class PromiseChecker {
 public:
  using Time = BootClock::time_point;

  struct Bounds {
    std::chrono::milliseconds handover{3'000};
    std::chrono::milliseconds drain{2'000};
    std::chrono::milliseconds configuration{2'000};
    double retry_ratio = 0.2;
    double free_repeats = 54;
    double loads_per_window = 20;
    std::chrono::milliseconds load_window{5'000};
    /// Within that time every daemon in touch knows of a request under which so many servers ended.
    std::chrono::milliseconds contact{3'000};
    std::size_t ends_allowed = 3;
    /// As ends_allowed, for requests that have in common only a part of their prompts.
    std::size_t ends_of_part_allowed = 5;
    std::uint64_t sends_allowed = 3;  ///< Of one such request or part, after that time.
  };

  explicit PromiseChecker(Bounds bounds) : bounds_(bounds) {}

  /// @return whether the status promises that the request did not run and never will.
  static bool Promises(unsigned status);

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
  /// A request that ends servers has reached one, under that id of its try.
  void EndingArrived(const std::string& ending, const std::string& id, Time at);
  /// A server has ended under it.
  void EndedUnder(const std::string& ending, const std::string& server, Time at);
  /// Hears of each such end.
  using EndHandler = std::function<void(const std::string& ending, const std::string& server)>;
  void OnEndedUnder(EndHandler handler) { on_ended_under_ = std::move(handler); }
  /// A request was refused as one that ends servers.
  void Quarantined(const std::string& id, bool ends_servers);
  const EndingSummary& endings() const { return ending_summary_; }
  /// As endings(), of requests that have in common only a part of their prompts.
  const EndingSummary& part_endings() const { return part_summary_; }
  void Draining(const std::string& server, Time at) { draining_[server] = at; }
  /// A request for a route that has been in force since `since` was answered with `status`.
  void Probed(std::int64_t version, unsigned status, Time since, Time at, bool disturbed);
  /// Judges what needs the whole run.
  void Finish();

  const std::vector<std::string>& violations() const { return violations_; }
  std::map<unsigned, std::uint64_t> statuses() const { return statuses_; }

 private:
  static bool IsPart(const std::string& ending) { return ending.starts_with("ends-servers-"); }
  std::size_t EndsAllowed(const std::string& ending) const;
  EndingSummary& SummaryOf(const std::string& ending);
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
  /// What one request that ends servers did.
  struct Ending {
    std::set<std::string> servers;
    Time last_allowed{};  ///< When the last allowed server ended.
    std::uint64_t late_sends = 0;
  };
  std::map<std::string, Ending> endings_;
  EndingSummary ending_summary_;
  EndingSummary part_summary_;
  EndHandler on_ended_under_;
  std::set<std::string> worked_on_late_;
  std::uint64_t arrived_late_ = 0;  ///< Requests that reached a server after their clients left.
  std::uint64_t denied_ = 0;
  std::uint64_t lost_ = 0;
  std::vector<Time> loads_;
  std::vector<std::string> violations_;
  std::map<unsigned, std::uint64_t> statuses_;
};

}  // namespace moorfold
