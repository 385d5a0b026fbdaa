#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "gateway/labelled_counter.h"
#include "quarantine/quarantine_service.h"
#include "server_limits/permit_figures.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// Counts of a latency by upper bounds in milliseconds, as Prometheus histograms are.
class LatencyHistogram {
 public:
  static constexpr std::array<double, 12> kBoundsMs = {1,   2,   5,   10,   20,   50,
                                                       100, 200, 500, 1000, 2000, 5000};
  void Observe(double milliseconds);
  std::uint64_t count() const { return count_; }
  /// Appends the lines of the text format for `name`.
  void Render(const std::string& name, std::string& text) const;

 private:
  std::array<std::uint64_t, kBoundsMs.size()> counts_{};
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

/// Repeats that one service's requests may still send now.
struct RepeatsLeft {
  std::string service;
  double repeats = 0;
};

/// What a gateway counts. One thread.
struct GatewayMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t failed_may_have_run = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t client_left = 0;
  std::uint64_t no_route = 0;
  std::uint64_t repeats = 0;
  std::uint64_t repeats_denied = 0;
  std::uint64_t waits_for_server = 0;
  std::uint64_t waits_for_read = 0;       ///< Of the store: what was known was too old.
  std::uint64_t repeated_reads = 0;       ///< Of the store, whose first answers were late.
  LabelledCounter requests_ended;         ///< By route, kind, outcome and reason.
  LabelledCounter store_calls;            ///< By call and outcome.
  LabelledCounter failed_reads;           ///< Of the store, by what was read and the reason.
  std::uint64_t outdated_reads = 0;       ///< Cheap ones of a configuration, read again.
  std::uint64_t entries_skipped = 0;      ///< Of the store, that could not be read.
  std::uint64_t servers_restarted = 0;    ///< Under the id that they had.
  std::uint64_t server_statements = 0;    ///< News that servers gave of themselves in answers.
  std::uint64_t leaving_kept = 0;         ///< Entries that called a server ready that had left.
  std::uint64_t entries_doubted = 0;      ///< Of servers that were gone, in a copy.
  LabelledCounter messages_unread;        ///< By sender and format.
  std::uint64_t earlier_lives = 0;        ///< Entries of servers that have started again since.
  std::uint64_t relay_answers_sent = 0;   ///< To followers.
  std::uint64_t servers_pages_sent = 0;   ///< Of all servers, to daemons that lack them.
  std::uint64_t servers_pages_taken = 0;  ///< The same, from a relay.
  std::uint64_t relay_answers_taken = 0;  ///< That made this daemon's knowledge newer.
  std::uint64_t relayed_changes = 0;      ///< Of servers, taken from such answers.
  LabelledCounter orders;                 ///< By kind and outcome.
  std::uint64_t loads_from_weight_store = 0;
  std::uint64_t log_lines_lost = 0;
  std::int64_t configuration_version = 0;
  std::int64_t servers_known = 0;
  std::int64_t store_era = 0;             ///< How often the store came back from an older copy.
  std::int64_t store_revision_known = 0;  ///< All changes of servers up to it are known.
  std::int64_t store_revision_read = 0;   ///< Of the last read by this daemon itself.
  std::uint64_t store_went_back = 0;      ///< Reads that showed an older revision than known.
  std::int64_t leading = 0;
  std::int64_t servers_known_age_ms = 0;        ///< Since nothing newer of servers existed.
  std::int64_t configuration_known_age_ms = 0;  ///< Since no newer configuration existed.
  std::int64_t configuration_age_ms = 0;
  std::int64_t requests_open = 0;
  std::int64_t requests_waiting = 0;  ///< For a server.
  std::int64_t requests_at_servers = 0;
  std::vector<RepeatsLeft> repeats_left;
  std::int64_t peak_memory_kb = 0;
  QuarantineFigures quarantine;
  QuotaCounters quota;
  PermitFigures permits;
  LabelledCounter tenant_requests;  ///< Of tenants: by tenant, outcome and reason.
  LabelledCounter tenant_units;     ///< Counted against limits, by tenant.
  LatencyHistogram time_to_head;    ///< From a request's arrival to the head of its answer.
  LatencyHistogram time_to_end;
  LatencyHistogram event_gap;  ///< Between events of a stream, as they were passed on.
  LatencyHistogram wait_for_server;
  LatencyHistogram store_read;  ///< From the sending of a read to its answer or failure.
  std::uint64_t stalls = 0;     ///< Times that this process stood still, or nearly so.
  std::int64_t stalled_ms = 0;  ///< The longest of them.

  /// @return all figures in Prometheus' text format.
  std::string Render() const;
};

}  // namespace moorfold
