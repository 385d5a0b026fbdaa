#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace moorfold {

/// A model on a server, with the adapters loaded on top of it.
struct LoadedModel {
  std::string name;
  std::vector<std::string> adapters;

  bool HasAdapter(const std::string& adapter) const {
    for (const std::string& held : adapters)
      if (held == adapter) return true;
    return false;
  }
  bool operator==(const LoadedModel&) const = default;
};

/// A server's own description of itself in the store. A restarted server may use the same id again.
/// It has then loaded nothing and counts orders from zero, and only `incarnation` distinguishes it
/// from the process before.
struct ServerRecord {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string software_version;
  std::uint32_t slots = 1;
  bool draining = false;
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;  ///< Models whose weights are in host memory.
  std::vector<std::string> on_disk;    ///< Models whose weights are on the server's disk.
  std::int64_t incarnation = 0;  ///< Start time that identifies the server process, in milliseconds
                                 ///< of an unspecified clock; 0: unknown.
};

/// A server's answer to a status request; some hundred milliseconds old.
struct ServerStatus {
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  bool busy = false;  ///< An order is in progress.
  std::int64_t order_count = 0;
  std::vector<LoadedModel> incoming;  ///< Adapters that are being loaded.
  std::int64_t incarnation = 0;       ///< As in ServerRecord.
};

/// @return whether `incarnation` belongs to a later start of the server than `before`; an unknown
/// start time (0) never does.
constexpr bool IsLaterIncarnation(std::int64_t incarnation, std::int64_t before) {
  return incarnation != 0 && before != 0 && incarnation > before;
}

enum class ServerOrderKind : std::uint8_t { kLoad, kUnload };

/// An instruction to one incarnation of a server.
struct ServerOrder {
  ServerOrderKind kind = ServerOrderKind::kLoad;
  std::string model;
  std::string adapter;    ///< Empty if the order is for the model itself.
  std::string server_id;  ///< The incarnation that the order is for.
  /// Number of accepted orders that the server must have counted to execute this one.
  std::int64_t order_count = 0;
  std::string holder;              ///< Name of the machine that sends the order.
  std::int64_t fencing_token = 0;  ///< Rises with every change of leader.
};

enum class ServerOrderOutcome : std::uint8_t {
  kInProgress,
  kAlreadyDone,
  kConflict,          ///< Another order is in progress, or the order count does not match.
  kOtherIncarnation,  ///< Another incarnation of the server uses the address.
  kRejected,          ///< The server does not know such an order.
  kNoAnswer           ///< The order may have been accepted, and may be executed later.
};

}  // namespace moorfold
