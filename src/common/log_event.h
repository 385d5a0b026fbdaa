#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>

#include "common/log_line.h"

namespace moorfold {

/// Every event that a gateway logs. docs/OPERATIONS.md explains each; a test compares the two.
enum class LogEvent : std::uint8_t {
  kStart,
  kStopping,
  kStopped,
  kReload,
  kReloadFailed,
  kStoreInTouch,
  kStoreLost,
  kStoreSource,
  kStoreWentBack,
  kStoreEra,
  kStoreEraUnclear,
  kStoreReadLate,
  kStalled,
  kConfiguration,
  kServer,
  kServerGone,
  kServerStates,
  kServerStillLeaves,
  kServerContact,
  kEntrySkipped,
  kEarlierLife,
  kLeaderRecordSkipped,
  kLeaderSeen,
  kLeadershipClaim,
  kLeadershipClaimFailed,
  kLeadershipWon,
  kLeadershipLost,
  kLeadershipResigned,
  kOrder,
  kLoadOutlook,
  kReportFailed,
  kAttemptFailed,
  kRequestEnd,
  kRequestsOpen,
  kQuarantine,
  kQuarantineNotStored,
  kSharing,
  kSharingNotStored,
  kRelayPlan,
  kRelayPlanNotStored,
  kDatagramDropped,
  kLogLinesLeftOut,
};
inline constexpr std::array kLogEventNames = {"start",
                                              "stopping",
                                              "stopped",
                                              "reload",
                                              "reload_failed",
                                              "store_in_touch",
                                              "store_lost",
                                              "store_source",
                                              "store_went_back",
                                              "store_era",
                                              "store_era_unclear",
                                              "store_read_late",
                                              "stalled",
                                              "configuration",
                                              "server",
                                              "server_gone",
                                              "server_states",
                                              "server_still_leaves",
                                              "server_contact",
                                              "entry_skipped",
                                              "earlier_life",
                                              "leader_record_skipped",
                                              "leader_seen",
                                              "leadership_claim",
                                              "leadership_claim_failed",
                                              "leadership_won",
                                              "leadership_lost",
                                              "leadership_resigned",
                                              "order",
                                              "load_outlook",
                                              "report_failed",
                                              "attempt_failed",
                                              "request_end",
                                              "requests_open",
                                              "quarantine",
                                              "quarantine_not_stored",
                                              "sharing",
                                              "sharing_not_stored",
                                              "relay_plan",
                                              "relay_plan_not_stored",
                                              "datagram_dropped",
                                              "log_lines_left_out"};

/// Every field of those events, explained there, too.
enum class LogField : std::uint8_t {
  kId,
  kIds,
  kOutcome,
  kStatus,
  kReason,
  kCause,
  kProblem,
  kMs,
  kWaitedMs,
  kFirstMs,
  kGapMs,
  kLate,
  kRoute,
  kService,
  kModel,
  kAdapter,
  kServer,
  kSends,
  kMayHaveRun,
  kConfiguration,
  kStoreAgeMs,
  kConfigurationAgeMs,
  kReadMs,
  kRead,
  kExpectedMs,
  kInFlight,
  kRan,
  kName,
  kZone,
  kListen,
  kStore,
  kAddress,
  kState,
  kLife,
  kModels,
  kRevision,
  kVersion,
  kBefore,
  kRoutes,
  kKey,
  kLeader,
  kToken,
  kLease,
  kKind,
  kOrderCount,
  kConnections,
  kActiveRequests,
  kRequests,
  kLogLinesLost,
  kPeakMemoryKb,
  kDrainTimeoutMs,
  kOthers,
  kSource,
  kTotal,
  kFailedReads,
  kLink,
  kFingerprint,
  kServers,
  kTenant,
  kUnits,
  kDaemons,
  kPools,
  kEra,
  kFormat,
  kRelays,
  kLeaving,
  kLimit,
  kPauseMs,
  kWork,
  kPool,
  kVia,
  kOrigin,
};
inline constexpr std::array kLogFieldNames = {"id",
                                              "ids",
                                              "outcome",
                                              "status",
                                              "reason",
                                              "cause",
                                              "problem",
                                              "ms",
                                              "waited_ms",
                                              "first_ms",
                                              "gap_ms",
                                              "late",
                                              "route",
                                              "service",
                                              "model",
                                              "adapter",
                                              "server",
                                              "sends",
                                              "may_have_run",
                                              "configuration",
                                              "store_age_ms",
                                              "configuration_age_ms",
                                              "read_ms",
                                              "read",
                                              "expected_ms",
                                              "in_flight",
                                              "ran",
                                              "name",
                                              "zone",
                                              "listen",
                                              "store",
                                              "address",
                                              "state",
                                              "life",
                                              "models",
                                              "revision",
                                              "version",
                                              "before",
                                              "routes",
                                              "key",
                                              "leader",
                                              "token",
                                              "lease",

                                              "kind",
                                              "order_count",
                                              "connections",
                                              "active_requests",
                                              "requests",
                                              "log_lines_lost",
                                              "peak_memory_kb",
                                              "drain_timeout_ms",
                                              "others",
                                              "source",
                                              "total",
                                              "failed_reads",
                                              "link",
                                              "fingerprint",
                                              "servers",
                                              "tenant",
                                              "units",
                                              "daemons",
                                              "pools",
                                              "era",
                                              "format",
                                              "relays",
                                              "leaving",
                                              "limit",
                                              "pause_ms",
                                              "work",
                                              "pool",
                                              "via",
                                              "origin"};

/// @return the name as it stands in the log.
constexpr const char* Name(LogEvent event) {
  return kLogEventNames[static_cast<std::size_t>(event)];
}
constexpr const char* Name(LogField field) {
  return kLogFieldNames[static_cast<std::size_t>(field)];
}
static_assert(kLogEventNames.size() == static_cast<std::size_t>(LogEvent::kLogLinesLeftOut) + 1);
static_assert(kLogFieldNames.size() == static_cast<std::size_t>(LogField::kOrigin) + 1);

/// One line of a gateway's log, made only of listed events and fields.
class EventLine {
 public:
  explicit EventLine(LogEvent event) : line_(Name(event)) {}

  EventLine& Field(LogField field, const std::string& value) {
    line_.Field(Name(field), value);
    return *this;
  }
  template <typename Number>
    requires std::is_arithmetic_v<Number>
  EventLine& Field(LogField field, Number value) {
    line_.Field(Name(field), value);
    return *this;
  }

  const std::string& text() const { return line_.text(); }

 private:
  LogLine line_;
};

}  // namespace moorfold
