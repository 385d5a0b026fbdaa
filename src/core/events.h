#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/messages.h"

namespace moorfold {

struct Tick {};

struct MessageReceived {
  DaemonName from;
  PeerMessage message;
};
struct MachineListRead {
  MachineListing machines;
};
/// The highest configuration that a watcher read from the key-value service.
struct ConfigurationSnapshotRead {
  Revision revision = 0;
  Intent intent;
};
struct ConfigurationDeltaRead {
  ConfigurationDelta delta;
};
struct LedgerRead {
  std::optional<Ledger> ledger;  ///< Empty: never written.
};
enum class SwapOutcome : std::uint8_t { kCommitted, kConflict, kUnknown };
struct LedgerSwapFinished {
  Ledger proposed;
  SwapOutcome outcome = SwapOutcome::kUnknown;
};
struct ClaimViewRead {
  std::optional<ClaimView> view;  ///< Empty: never written.
};
struct ClaimViewSwapFinished {
  ClaimView proposed;
  SwapOutcome outcome = SwapOutcome::kUnknown;
};
struct ServerReported {
  ServerReport report;
};
struct ServerUnreachable {
  ServerName server;
};
struct OrderFinished {
  Order order;
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<ServerReport> report;  ///< The engine's state after the order.
};
struct DemandObserved {
  std::vector<DemandSample> samples;
};
/// The operator or the platform asked this daemon to stop.
struct StopRequested {};

using EventBody = std::variant<Tick, MessageReceived, MachineListRead, ConfigurationSnapshotRead,
                               ConfigurationDeltaRead, LedgerRead, LedgerSwapFinished,
                               ClaimViewRead, ClaimViewSwapFinished, ServerReported,
                               ServerUnreachable, OrderFinished, DemandObserved, StopRequested>;

/// Everything a reducer may know: what happened, when, and one random number to draw from.
struct Event {
  Timestamp now;
  std::uint64_t random = 0;
  EventBody body;
};

}  // namespace moorfold
