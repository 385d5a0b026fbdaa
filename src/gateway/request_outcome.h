#pragma once

#include <cstdint>

namespace moorfold {

/// How a request ended, as named in logs and metrics.
enum class RequestOutcome : std::uint8_t {
  kAnswered,   ///< The client received a server's complete response.
  kRefused,    ///< No server ran it; the error response says so.
  kFailed,     ///< It may have run; the error response says so.
  kBrokenOff,  ///< The client received part of a response.
  kClientLeft  ///< The client disconnected first.
};

/// Why a request ended with its outcome.
enum class EndReason : std::uint8_t {
  kNone,                   ///< Answered successfully.
  kServerError,            ///< The server answered with an error status.
  kNoConfiguration,        ///< This daemon has just started and has no configuration.
  kNoRoute,                ///< No route of the active configuration matches.
  kConfigurationMayBeOld,  ///< The request does not match the known configuration, which may be
                           ///< outdated.
  kNoServer,               ///< No usable server holds the requested model or service.
  kServersUnreachable,     ///< This daemon reaches no server, and no other daemon offers to help.
  kRefusedByDaemon,        ///< Another daemon, through which it was sent, refused it.
  kDeclined,               ///< Another daemon sent it here, and this one cannot serve it either.
  kServersFull,            ///< Every server that could serve it rejected it.
  kServersAtLimit,         ///< Every server that could serve it is at its stated limit.
  kQuarantined,            ///< Servers crash while they process it.
  kRefusedByServers,       ///< Several servers with free capacity reject this request only.
  kKeyMissing,             ///< It carries no API key where one is required.
  kKeyUnreadable,          ///< It carries several API keys, or a malformed one.
  kKeyUnknown,             ///< No tenant of the active configuration has its API key.
  kKeyGone,                ///< Its API key was revoked while it waited.
  kTokensUnreadable,       ///< Its token usage header cannot be parsed.
  kOverQuota,              ///< Its tenant has used up its quota.
  kQuotaUnknown,           ///< The remaining quota of its tenant could not be determined.
  kOutOfTime,              ///< It timed out at a server.
  kServerFailed,           ///< A server received it and gave no usable response.
  kStreamVersionUnknown,   ///< It resumes a stream whose software version cannot be known.
  kStreamVersionUnavailable,  ///< It resumes a stream; the store did not tell its software version.
  kStreamVersionNotServed,    ///< No server has the software version that began its stream.
  kStreamNotResumable,        ///< It resumes a stream of a route whose streams cannot be resumed.
  kStreamBroke,               ///< The server's stream ended prematurely.
  kLeftWaiting,               ///< The client disconnected before the request reached a server.
  kLeftAtServer,              ///< The client disconnected before a server responded.
  kLeftInAnswer,              ///< The client disconnected while the response was relayed.
  kUnreadable,                ///< It could not be read: too slow, too large or malformed.
  kDaemonStopping,            ///< This daemon stops before the request's time is over.
  kMemoryShort,               ///< It could not be read: its bytes had no room in memory.
  kInternalError,             ///< This daemon failed while it processed the request.
  kNotLogged,     ///< It was to be refused, and the log does not take the refusal's line.
  kDaemonStopped  ///< This daemon's shutdown completed first.
};

/// @return the name used in logs, metrics and error responses.
constexpr const char* Name(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kBrokenOff:
      return "broken_off";
    case RequestOutcome::kClientLeft:
      return "client_left";
  }
  return "unknown";
}

/// @return the name used in logs, metrics and error responses.
constexpr const char* Name(EndReason reason) {
  switch (reason) {
    case EndReason::kNone:
      return "none";
    case EndReason::kServerError:
      return "server_error";
    case EndReason::kNoConfiguration:
      return "no_configuration";
    case EndReason::kNoRoute:
      return "no_route";
    case EndReason::kConfigurationMayBeOld:
      return "configuration_may_be_old";
    case EndReason::kNoServer:
      return "no_server";
    case EndReason::kServersUnreachable:
      return "servers_unreachable";
    case EndReason::kRefusedByDaemon:
      return "refused_by_daemon";
    case EndReason::kDeclined:
      return "declined";
    case EndReason::kServersFull:
      return "servers_full";
    case EndReason::kServersAtLimit:
      return "servers_at_limit";
    case EndReason::kQuarantined:
      return "quarantined";
    case EndReason::kRefusedByServers:
      return "refused_by_servers";
    case EndReason::kKeyMissing:
      return "key_missing";
    case EndReason::kKeyUnreadable:
      return "key_unreadable";
    case EndReason::kKeyUnknown:
      return "key_unknown";
    case EndReason::kKeyGone:
      return "key_gone";
    case EndReason::kTokensUnreadable:
      return "tokens_unreadable";
    case EndReason::kOverQuota:
      return "over_quota";
    case EndReason::kQuotaUnknown:
      return "quota_unknown";
    case EndReason::kOutOfTime:
      return "out_of_time";
    case EndReason::kServerFailed:
      return "server_failed";
    case EndReason::kStreamVersionUnknown:
      return "stream_version_unknown";
    case EndReason::kStreamVersionUnavailable:
      return "stream_version_unavailable";
    case EndReason::kStreamVersionNotServed:
      return "stream_version_not_served";
    case EndReason::kStreamNotResumable:
      return "stream_not_resumable";
    case EndReason::kStreamBroke:
      return "stream_broke";
    case EndReason::kLeftWaiting:
      return "left_waiting";
    case EndReason::kLeftAtServer:
      return "left_at_server";
    case EndReason::kLeftInAnswer:
      return "left_in_answer";
    case EndReason::kUnreadable:
      return "unreadable";
    case EndReason::kDaemonStopping:
      return "daemon_stopping";
    case EndReason::kMemoryShort:
      return "memory_short";
    case EndReason::kInternalError:
      return "internal_error";
    case EndReason::kNotLogged:
      return "not_logged";
    case EndReason::kDaemonStopped:
      return "daemon_stopped";
  }
  return "unknown";
}

}  // namespace moorfold
