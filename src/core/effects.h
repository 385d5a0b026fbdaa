#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/messages.h"

namespace moorfold {

struct SendMessage {
  DaemonName to;
  PeerMessage message;
};
struct ReadLedger {};
/// Writes `proposed` if the stored ledger still has revision `expected` (zero: is absent).
struct SwapLedger {
  Revision expected = 0;
  Ledger proposed;
};
/// Reads the configuration above revision `have`; a watcher also gets later changes.
struct ReadConfiguration {
  Revision have = 0;
};
/// Starts or stops the watch of the configuration in the key-value service.
struct WatchConfiguration {
  bool enabled = false;
};
struct ReadClaimView {};
/// Writes `proposed` if the stored view still has number `expected` (zero: is absent).
struct SwapClaimView {
  std::uint64_t expected = 0;
  ClaimView proposed;
};
/// The agreed view of claim owners changed.
struct AdoptClaimView {
  ClaimView view;
};
struct PollServer {
  ServerName server;
};
struct SendOrder {
  Order order;
};
/// The replicas, members or configuration changed: routers need a new table.
struct PublishRouting {};
/// Only the load figures of some servers changed.
struct PublishLoads {
  std::vector<ServerLoad> loads;
};

enum class LogSeverity : std::uint8_t { kInfo, kWarning };
struct LogRecord {
  LogSeverity severity = LogSeverity::kInfo;
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
};

using Effect = std::variant<SendMessage, ReadLedger, SwapLedger, ReadConfiguration,
                            WatchConfiguration, ReadClaimView, SwapClaimView, AdoptClaimView,
                            PollServer, SendOrder, PublishRouting, PublishLoads, LogRecord>;
using Effects = std::vector<Effect>;

}  // namespace moorfold
