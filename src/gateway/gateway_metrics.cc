#include "gateway/gateway_metrics.h"

#include <cstdio>

namespace moorfold {

namespace {

std::string Decimal(double number) {
  constexpr std::size_t kLongest = 32;
  std::array<char, kLongest> text{};
  std::snprintf(text.data(), text.size(), "%g", number);
  return text.data();
}

void Line(std::string& text, const std::string& name, const std::string& value) {
  text += "moorfold_" + name + " " + value + "\n";
}

void Count(std::string& text, const char* name, std::uint64_t value) {
  Line(text, std::string(name) + "_total", std::to_string(value));
}

void Gauge(std::string& text, const char* name, std::int64_t value) {
  Line(text, name, std::to_string(value));
}

}  // namespace

void LatencyHistogram::Observe(double milliseconds) {
  ++count_;
  sum_ms_ += milliseconds;
  for (std::size_t bound = 0; bound < kBoundsMs.size(); ++bound)
    if (milliseconds <= kBoundsMs[bound]) ++counts_[bound];
}

void LatencyHistogram::Render(const std::string& name, std::string& text) const {
  for (std::size_t bound = 0; bound < kBoundsMs.size(); ++bound)
    Line(text, name + "_bucket{le=\"" + Decimal(kBoundsMs[bound]) + "\"}",
         std::to_string(counts_[bound]));
  Line(text, name + "_bucket{le=\"+Inf\"}", std::to_string(count_));
  Line(text, name + "_sum", Decimal(sum_ms_));
  Line(text, name + "_count", std::to_string(count_));
}

std::string GatewayMetrics::Render() const {
  std::string text;
  Count(text, "requests", requests);
  Count(text, "requests_answered", answered);
  Count(text, "requests_refused_not_run", refused_not_run);
  Count(text, "requests_failed_may_have_run", failed_may_have_run);
  Count(text, "requests_broken_off", broken_off);
  Count(text, "requests_client_left", client_left);
  Count(text, "requests_no_route", no_route);
  Count(text, "repeats", retries.earned_used + retries.granted_used);
  Count(text, "repeats_denied", repeats_denied);
  Count(text, "requests_refused_by_outlook", requests_refused_by_outlook);
  Count(text, "waits_for_server", waits_for_server);
  Count(text, "waits_for_store_read", waits_for_store_read);
  Count(text, "store_reads_repeated", repeated_reads);
  Count(text, "servers_ended_under_requests", quarantine.servers_ended);
  Count(text, "requests_quarantined", quarantine.refused);
  Count(text, "quarantine_cases_dropped", quarantine.cases_dropped);
  Gauge(text, "quarantine_cases", quarantine.cases);
  Gauge(text, "quarantine_entries", quarantine.quarantined);
  Count(text, "quota_questions", quota.asked);
  Count(text, "quota_questions_answered", quota.answered);
  Count(text, "quota_questions_unanswered", quota.unanswered);
  Count(text, "quota_answers_dropped", quota.dropped);
  Count(text, "requests_over_quota", quota.refused_over_limit);
  Count(text, "requests_quota_unknown", quota.refused_unknown);
  Count(text, "repeats_granted", retries.granted_used);
  Count(text, "retry_grant_queries", retries.asked);
  Count(text, "retry_grant_queries_unanswered", retries.unanswered);
  Count(text, "retry_grants_given", retries.grants_given);
  Count(text, "streams_begun_implied", streams.began_implied);
  Count(text, "streams_entered", streams.entered);
  Count(text, "streams_not_entered", streams.not_entered);
  Count(text, "stream_versions_found", streams.found);
  Count(text, "stream_versions_unknown", streams.unknown);
  Count(text, "stream_versions_unavailable", streams.unavailable);
  Count(text, "permit_questions", permits.asked);
  Count(text, "permit_questions_answered", permits.answered);
  Count(text, "permit_questions_unanswered", permits.unanswered);
  Count(text, "permit_answers_dropped", permits.dropped);
  Count(text, "permits_granted", permits.granted);
  Count(text, "permits_denied", permits.denied);
  Count(text, "permits_own", permits.fallback_permits);
  tenant_requests.Render("tenant_requests_total", text);
  tenant_units.Render("tenant_units_total", text);
  requests_ended.Render("requests_ended_total", text);
  requests_by_pool.Render("requests_by_pool_total", text);
  store_calls.Render("store_calls_total", text);
  failed_reads.Render("store_reads_failed_total", text);
  Count(text, "store_reads_outdated", stale_configuration_reads);
  Count(text, "store_entries_skipped", entries_skipped);
  Count(text, "servers_restarted", servers_restarted);
  Count(text, "earlier_lives_ignored", previous_run_entries_ignored);
  Count(text, "server_statements", server_statements);
  Gauge(text, "servers_failing", servers_failing);
  Gauge(text, "isolated", isolated);
  Count(text, "isolations", isolations);
  Count(text, "detours_sent", detours.sent);
  Count(text, "detours_not_found", detours.not_found);
  Count(text, "detours_carried", detours.carried);
  Count(text, "detours_declined", detours.declined);
  Count(text, "servers_kept_leaving", stale_ready_states_overridden);
  Count(text, "server_entries_doubted", restored_entries_deferred);
  messages_unread.Render("messages_unread_total", text);
  Count(text, "relay_answers_sent", relay_answers_sent);
  Count(text, "servers_pages_sent", servers_pages_sent);
  Count(text, "servers_pages_taken", servers_pages_taken);
  Count(text, "relay_answers_taken", relay_answers_taken);
  Count(text, "relayed_changes", relayed_changes);
  orders.Render("orders_total", text);
  Count(text, "loads_from_weight_store", loads_from_weight_store);
  Count(text, "replicas_replaced_for_late_responses", replicas_replaced_for_late_responses);
  Count(text, "log_lines_lost", log_lines_lost);
  Count(text, "refusals_not_logged", refusals_not_logged);
  Gauge(text, "configuration_version", configuration_version);
  Gauge(text, "servers_known", servers_known);
  Gauge(text, "store_era", store_era);
  Gauge(text, "store_revision_known", store_revision_known);
  Gauge(text, "store_revision_read", store_revision_read);
  Count(text, "store_went_back", store_went_back);
  Gauge(text, "leading", leading);
  Gauge(text, "servers_known_age_ms", servers_known_age_ms);
  Gauge(text, "configuration_known_age_ms", configuration_known_age_ms);
  Gauge(text, "configuration_age_ms", configuration_age_ms);
  Gauge(text, "requests_open", requests_open);
  Gauge(text, "requests_waiting", requests_waiting);
  Gauge(text, "requests_at_servers", requests_at_servers);
  for (const RepeatsLeft& left : repeats_left)
    Line(text, "repeats_left{service=\"" + left.service + "\"}", Decimal(left.repeats));
  Count(text, "stalls", stalls);
  Gauge(text, "longest_stall_ms", longest_stall_ms);
  Gauge(text, "link_delay_ms", link_delay_ms);
  Gauge(text, "longest_link_delay_ms", longest_link_delay_ms);
  Line(text, "loop_late_share", Decimal(loop_late_share));
  Gauge(text, "overloaded", overloaded);
  Count(text, "accept_pauses", accept_pauses);
  Count(text, "accept_paused_ms", accept_paused_ms);
  Count(text, "connections_closed_unread", connections_closed_unread);
  overloads.Render("overloads_total", text);
  Gauge(text, "request_memory_bytes", request_memory_bytes);
  Gauge(text, "request_memory_peak_bytes", peak_request_memory_bytes);
  Gauge(text, "request_memory_limit_bytes", request_memory_limit_bytes);
  Count(text, "request_memory_denied", request_memory_denied);
  connections_evicted.Render("connections_evicted_total", text);
  Gauge(text, "peak_memory_kb", peak_memory_kb);
  time_to_response_head.Render("time_to_answer_ms", text);
  time_to_end.Render("time_to_end_ms", text);
  event_gap.Render("event_gap_ms", text);
  wait_for_server.Render("wait_for_server_ms", text);
  store_read.Render("store_read_ms", text);
  return text;
}

}  // namespace moorfold
