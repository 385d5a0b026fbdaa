#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace moorfold {

using ZoneName = std::string;
using DaemonName = std::string;
using ServerName = std::string;
using ModelName = std::string;
using AdapterName = std::string;
/// Counts the starts of a process; a higher number is a later start of the same machine.
using Incarnation = std::uint64_t;
/// Counts the committed changes of one document. Zero means "never written".
using Revision = std::uint64_t;
using MebiBytes = std::uint64_t;

/// One model version: the unit that is loaded on an accelerator server.
struct ModelVersion {
  ModelName model;
  std::uint32_t version = 1;

  auto operator<=>(const ModelVersion&) const = default;
};

/// @return "model@version", the form used in logs, order ids and reports.
inline std::string ToString(const ModelVersion& servable) {
  return servable.model + "@" + std::to_string(servable.version);
}

enum class MachineKind : std::uint8_t { kDaemon, kEngine, kService };

/// One row of the platform's machine list. The list lags behind the truth.
struct Machine {
  std::string name;
  ZoneName zone;
  MachineKind kind = MachineKind::kDaemon;
  std::string address;          ///< IP number, no host names.
  std::uint16_t http_port = 0;  ///< Callers' and operators' API, engine API or service.
  std::uint16_t peer_port = 0;  ///< Daemons only: UDP and TCP between daemons.
  std::string service;          ///< Services only: the name callers use.
  MebiBytes memory = 0;         ///< Engines only: accelerator memory of the server.
  std::uint32_t accelerators = 0;
  bool leaving = false;

  auto operator<=>(const Machine&) const = default;
};

/// One reading of the machine list. Shared, because every daemon reads it over and over.
using MachineListing = std::shared_ptr<const std::vector<Machine>>;

/// Where a checkpoint is held, cheapest load first.
enum class CacheTier : std::uint8_t { kMemory, kDisk, kRemote };

enum class ReplicaState : std::uint8_t { kLoading, kReady, kReleasing };

/// One replica as its engine reports it.
struct ReplicaReport {
  ModelVersion servable;
  ReplicaState state = ReplicaState::kLoading;
  std::uint32_t running = 0;  ///< Requests in the batch.
  std::uint32_t queued = 0;   ///< Requests waiting inside the engine.
  std::vector<AdapterName> adapters;

  auto operator<=>(const ReplicaReport&) const = default;
};

/// What an engine says about itself. Reports lag; an incarnation never goes back.
struct ServerReport {
  ServerName server;
  Incarnation incarnation = 0;
  Revision sequence = 0;  ///< Rises with each report of one incarnation.
  MebiBytes memory_total = 0;
  MebiBytes memory_used = 0;
  bool leaving = false;
  std::vector<ReplicaReport> replicas;
  std::vector<ModelName> cached_on_disk;

  auto operator<=>(const ServerReport&) const = default;
};

enum class OrderKind : std::uint8_t { kLoad, kRelease, kLoadAdapter, kReleaseAdapter, kStage };

/// A fenced instruction to one engine. The engine refuses it when `fence` is lower than the
/// highest it has accepted for the model, or when `incarnation` is not its own.
struct Order {
  std::string id;  ///< Stable: the same decision always has the same id.
  OrderKind kind = OrderKind::kLoad;
  ServerName server;
  Incarnation incarnation = 0;
  Revision fence = 0;  ///< The revision of the zone's placement ledger.
  ModelVersion servable;
  AdapterName adapter;
  MebiBytes memory = 0;
  std::vector<AdapterName> evicted_adapters;

  auto operator<=>(const Order&) const = default;
};

enum class OrderOutcome : std::uint8_t {
  kDone,
  kStaleFence,
  kWrongIncarnation,
  kNoMemory,
  kFailed,   ///< The engine tried and gave up; nothing is held.
  kUnknown,  ///< No answer: the engine may have done it.
};

inline const char* ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kStaleFence:
      return "stale_fence";
    case OrderOutcome::kWrongIncarnation:
      return "wrong_incarnation";
    case OrderOutcome::kNoMemory:
      return "no_memory";
    case OrderOutcome::kFailed:
      return "failed";
    case OrderOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

inline const char* ToString(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoad:
      return "load";
    case OrderKind::kRelease:
      return "release";
    case OrderKind::kLoadAdapter:
      return "load_adapter";
    case OrderKind::kReleaseAdapter:
      return "release_adapter";
    case OrderKind::kStage:
      return "stage";
  }
  return "unknown";
}

inline const char* ToString(ReplicaState state) {
  switch (state) {
    case ReplicaState::kLoading:
      return "LOADING";
    case ReplicaState::kReady:
      return "READY";
    case ReplicaState::kReleasing:
      return "RELEASING";
  }
  return "UNKNOWN";
}

/// What one router saw of one model (and adapter) since its previous sample.
struct DemandSample {
  ModelName model;
  AdapterName adapter;
  std::uint32_t arrivals = 0;   ///< Requests since the previous sample.
  std::uint32_t in_flight = 0;  ///< Requests now at engines.
  std::uint32_t waiting = 0;    ///< Requests now queued for a replica.
  Duration oldest_wait{0};

  auto operator<=>(const DemandSample&) const = default;
};

}  // namespace moorfold
