#pragma once

#include <cstdint>

namespace moorfold {

/// How a request ended, as logs and figures name it.
enum class RequestOutcome : std::uint8_t {
  kAnswered,   ///< The client has a server's whole answer.
  kRefused,    ///< No server ran it, and the client was told so.
  kFailed,     ///< It may have run; the client was told that.
  kBrokenOff,  ///< The client has part of an answer.
  kClientLeft  ///< The client went away first.
};

/// Why it ended so.
enum class EndReason : std::uint8_t {
  kNone,                   ///< Answered, and well.
  kServerError,            ///< The server's own answer says that it failed.
  kNoConfiguration,        ///< This daemon has just started.
  kNoRoute,                ///< No route of the configuration in force matches.
  kConfigurationMayBeOld,  ///< No route matches, but the store was not heard from lately.
  kNoServer,               ///< No server that may be used holds what is asked for.
  kServersFull,            ///< All that could serve it turned it away.
  kServersAtLimit,         ///< All that could serve it get as much as they have said they take.
  kQuarantined,            ///< Servers end under it.
  kRefusedByServers,       ///< Several servers with free places refuse just it.
  kKeyMissing,             ///< It shows no key where one is needed.
  kKeyUnreadable,          ///< It shows more than one key, or none that can be read.
  kKeyUnknown,             ///< No tenant of the configuration in force has its key.
  kKeyGone,                ///< Its key was taken away while it waited.
  kTokensUnreadable,       ///< It states its tokens in a way that cannot be counted.
  kOverQuota,              ///< Its tenant has used what it may.
  kQuotaUnknown,           ///< No daemon could tell what its tenant may still use.
  kOutOfTime,              ///< Its time ended while a server had it.
  kServerFailed,           ///< A server had it and gave no usable answer.
  kStreamBroke,            ///< The server's stream ended early.
  kLeftWaiting,            ///< The client left while no server had the request.
  kLeftAtServer,           ///< The client left before a server answered.
  kLeftInAnswer,           ///< The client left while the answer was passed on.
  kDaemonStopped           ///< This daemon's stop came to its end first.
};

/// @return the name as it stands in logs, figures and answers.
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

/// @return the name as it stands in logs, figures and answers.
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
    case EndReason::kStreamBroke:
      return "stream_broke";
    case EndReason::kLeftWaiting:
      return "left_waiting";
    case EndReason::kLeftAtServer:
      return "left_at_server";
    case EndReason::kLeftInAnswer:
      return "left_in_answer";
    case EndReason::kDaemonStopped:
      return "daemon_stopped";
  }
  return "unknown";
}

}  // namespace moorfold
