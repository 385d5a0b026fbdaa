#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "common/async_signal.h"
#include "http/http_types.h"
#include "retry_budget/earned_retries.h"
#include "retry_budget/grant_allocator.h"
#include "retry_budget/retry_messages.h"

namespace moorfold {

/// The budget of the whole fleet, for each service: in any sliding window, at most `ratio` retries
/// for each request and `min_retries` more.
struct RetryBudgetSettings {
  std::chrono::milliseconds window{10'000};
  double ratio = 0.2;
  double min_retries = 0;
};

struct RetryBudgetCounters {
  std::uint64_t earned_used = 0;   ///< Retries sent that this daemon's requests had earned.
  std::uint64_t granted_used = 0;  ///< Retries sent that the leader had granted.
  std::uint64_t asked = 0;         ///< Queries to the leader.
  std::uint64_t unanswered = 0;
  std::uint64_t grants_given = 0;  ///< Retries granted by this daemon while it leads.
};

/// Keeps the retries of this daemon within the fleet's budget. A retry is covered by what this
/// daemon's requests have earned (retry::EarnedRetries) or by a grant of the leader
/// (retry::GrantAllocator). Without a leader only earned retries are sent. Not thread-safe.
class RetryBudgetService {
 public:
  /// Functions through which the service reaches the rest of the daemon.
  struct Ports {
    std::function<void(const std::string& to, const RetryGrantRequest& request)> ask;
    std::function<void(const std::string& to, const RetryGrantResponse& response)> answer;
    /// @return "IP:PORT" of the known leader; empty if there is none.
    std::function<std::string()> leader;
    /// @return whether this daemon leads.
    std::function<bool()> leads;
    std::function<bool(const std::string& service)> service_exists;
  };

  RetryBudgetService(boost::asio::io_context& context, RetryBudgetSettings settings,
                     RetryBudgetCounters& counters, Ports ports);

  /// Records a client's request to the service, which earns a part of a retry.
  void RecordRequest(const std::string& service, BootClock::time_point arrived);
  /// @return whether a retry may be sent now, or the leader may be asked for one.
  bool MayObtain(const std::string& service);
  /// Asks the leader for a retry if none may be sent now.
  /// @return whether one may be sent now; TryTake must follow at once.
  Awaitable<bool> Obtain(const std::string& service);
  /// @return whether a retry may be sent now; counts it if so.
  bool TryTake(const std::string& service);
  /// @return number of retries that may be sent now without asking the leader.
  double Available(const std::string& service);
  std::map<std::string, double> AvailableByService();
  /// Follows this daemon's terms of leadership. Called twice a second.
  void Update();

  /// Handles a message of another daemon. @param from "IP:PORT" of the sender.
  void Hear(const RetryGrantRequest& request, const std::string& from);
  void Hear(const RetryGrantResponse& response, const std::string& from);

 private:
  using Time = BootClock::time_point;

  /// What this daemon may send to one service.
  struct Share {
    explicit Share(const RetryBudgetSettings& settings) : earned(settings.window, settings.ratio) {}
    retry::EarnedRetries earned;
    std::deque<Time> grants;            ///< When each unused grant expires, in order.
    std::uint32_t waiting = 0;          ///< Requests that wait for a grant.
    std::int64_t open_query_us = 0;     ///< 0: no query awaits its answer.
    Time ask_from{};                    ///< The leader is not asked before this time.
    std::uint32_t queries_in_vain = 0;  ///< Since the last one that brought a grant.
  };

  Share& ShareOf(const std::string& service);
  double Available(Share& share, Time now);
  void Ask(const std::string& service, Share& share);
  void TakeGrant(Share& share, std::int64_t asked_at_us, std::uint32_t granted);
  std::uint32_t Allocate(const std::string& service, std::uint32_t wanted);

  RetryBudgetSettings settings_;
  RetryBudgetCounters& counters_;
  Ports ports_;
  retry::GrantAllocator allocator_;
  std::map<std::string, Share> shares_;
  AsyncSignal answered_;
  std::int64_t last_asked_us_ = 0;
};

}  // namespace moorfold
