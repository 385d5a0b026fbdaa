#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "detour/detour_service.h"
#include "gateway/labelled_counter.h"
#include "quarantine/quarantine_service.h"
#include "retry_budget/retry_budget_service.h"
#include "server_limits/permit_counters.h"
#include "streams/stream_origin_counters.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// A Prometheus histogram of a latency, with upper bounds in milliseconds.
class LatencyHistogram {
 public:
  static constexpr std::array<double, 12> kBoundsMs = {1,   2,   5,   10,   20,   50,
                                                       100, 200, 500, 1000, 2000, 5000};
  void Observe(double milliseconds);
  std::uint64_t count() const { return count_; }
  /// Appends the metric `name` in the Prometheus text format.
  void Render(const std::string& name, std::string& text) const;

 private:
  std::array<std::uint64_t, kBoundsMs.size()> counts_{};
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

/// Retries that the requests of one service may currently still send.
struct RepeatsLeft {
  std::string service;
  double repeats = 0;
};

/// The metrics of one gateway. Not thread-safe.
struct GatewayMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t failed_may_have_run = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t client_left = 0;
  std::uint64_t no_route = 0;
  std::uint64_t repeats_denied = 0;
  /// Requests refused because their models cannot be ready in time.
  std::uint64_t requests_refused_by_outlook = 0;
  std::uint64_t waits_for_server = 0;
  /// Requests that waited for a store read, since the data was too old.
  std::uint64_t waits_for_store_read = 0;
  std::uint64_t repeated_reads = 0;  ///< Store reads sent again because the first answer was late.
  LabelledCounter requests_ended;    ///< By route, kind, outcome and reason.
  LabelledCounter requests_by_pool;  ///< Not neutral and sent to a server, by work and pool.
  LabelledCounter store_calls;       ///< By call and outcome.
  LabelledCounter failed_reads;      ///< Of the store, by kind of read and reason.
  /// Reads of an announced configuration that returned an older one.
  std::uint64_t stale_configuration_reads = 0;
  std::uint64_t entries_skipped = 0;    ///< Store entries that could not be decoded.
  std::uint64_t servers_restarted = 0;  ///< Restarts under an unchanged id.
  std::int64_t servers_failing = 0;     ///< Different servers that failed since the last response.
  std::int64_t isolated = 0;            ///< 1 while no server can be reached.
  std::uint64_t isolations = 0;
  std::uint64_t server_statements = 0;  ///< State changes that servers announced in responses.
  /// Entries that showed a leaving server as ready.
  std::uint64_t stale_ready_states_overridden = 0;
  std::uint64_t restored_entries_deferred = 0;     ///< Of departed servers, in a restored store.
  LabelledCounter messages_unread;                 ///< By sender and format.
  std::uint64_t previous_run_entries_ignored = 0;  ///< Entries from before a server's restart.
  std::uint64_t relay_answers_sent = 0;            ///< To followers.
  std::uint64_t servers_pages_sent = 0;   ///< Pages of the server list, sent to daemons without it.
  std::uint64_t servers_pages_taken = 0;  ///< Pages of the server list applied from a relay.
  std::uint64_t relay_answers_taken = 0;  ///< Relay answers with newer data than this daemon's.
  std::uint64_t relayed_changes = 0;      ///< Server changes applied from relay answers.
  LabelledCounter orders;                 ///< By kind and outcome.
  std::uint64_t loads_from_weight_store = 0;
  /// Accepted unloads that replace a model's last replica to reduce late responses.
  std::uint64_t replicas_replaced_for_late_responses = 0;
  std::uint64_t log_lines_lost = 0;
  /// Refusals that were not given because the log did not take their lines.
  std::uint64_t refusals_not_logged = 0;
  std::int64_t configuration_version = 0;
  std::int64_t servers_known = 0;
  std::int64_t store_era = 0;             ///< How often the store was restored from an older copy.
  std::int64_t store_revision_known = 0;  ///< All server changes up to it are applied.
  std::int64_t store_revision_read = 0;   ///< Revision of this daemon's own last read.
  std::uint64_t store_went_back = 0;      ///< Reads that returned an older revision than known.
  std::int64_t leading = 0;
  /// Time since the server data was last known to be current.
  std::int64_t servers_known_age_ms = 0;
  /// Time since the configuration was last known to be current.
  std::int64_t configuration_known_age_ms = 0;
  std::int64_t configuration_age_ms = 0;
  std::int64_t requests_open = 0;
  std::int64_t requests_waiting = 0;  ///< Waiting for a server.
  std::int64_t requests_at_servers = 0;
  std::vector<RepeatsLeft> repeats_left;
  std::int64_t peak_memory_kb = 0;
  QuarantineCounters quarantine;
  DetourCounters detours;
  QuotaCounters quota;
  PermitCounters permits;
  RetryBudgetCounters retries;
  streams::StreamOriginCounters streams;
  LabelledCounter tenant_requests;         ///< By tenant, outcome and reason.
  LabelledCounter tenant_units;            ///< Units counted against limits, by tenant.
  LatencyHistogram time_to_response_head;  ///< From a request's arrival to its response head.
  LatencyHistogram time_to_end;
  LatencyHistogram event_gap;  ///< Between forwarded events of a response stream.
  LatencyHistogram wait_for_server;
  LatencyHistogram store_read;  ///< From sending a read to its answer or failure.
  std::uint64_t stalls = 0;     ///< Times that this process was suspended or starved of CPU.
  std::int64_t longest_stall_ms = 0;
  std::int64_t link_delay_ms = 0;  ///< Estimated wait of a byte for this daemon's link.
  std::int64_t longest_link_delay_ms = 0;
  double loop_late_share = 0;          ///< Of recent time, from 0 to 1.
  std::int64_t overloaded = 0;         ///< 1 while this daemon has no room for more requests.
  std::uint64_t accept_pauses = 0;     ///< Times that new connections were refused for a while.
  std::uint64_t accept_paused_ms = 0;  ///< Sum of those times.
  std::uint64_t connections_closed_unread = 0;
  LabelledCounter overloads;              ///< By what was short.
  std::int64_t request_memory_bytes = 0;  ///< Held by connections for requests.
  std::int64_t peak_request_memory_bytes = 0;
  std::int64_t request_memory_limit_bytes = 0;  ///< 0: not bounded.
  std::uint64_t request_memory_denied = 0;      ///< Bytes that were not read for lack of memory.
  LabelledCounter connections_evicted;          ///< For others' sake, by reason.

  /// @return all metrics in the Prometheus text format.
  std::string Render() const;
};

}  // namespace moorfold
