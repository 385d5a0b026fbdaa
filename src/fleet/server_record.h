#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace moorfold {

/// A model on a server, with the adapters that stand beside it.
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

/// What a server says of itself in the store. A server that starts again may do so under the id
/// that it had: then it holds nothing and its counts begin anew, and only its life tells.
struct ServerRecord {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string zone;
  std::string software_version;
  std::uint32_t slots = 1;
  bool draining = false;
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;  ///< Models whose weights lie in host memory.
  std::vector<std::string> on_disk;    ///< Models whose weights lie on the server's disk.
  std::int64_t life = 0;  ///< When it started, in milliseconds of some clock; 0: it does not say.
};

/// What a server answers when asked for its state; some hundred milliseconds old.
struct ServerStatus {
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  bool busy = false;  ///< An order is under way.
  std::int64_t order_count = 0;
  std::vector<LoadedModel> incoming;  ///< Adapters on their way.
  std::int64_t life = 0;              ///< As in its record.
};

/// @return whether `life` began after `before`; a life that is not told is no other.
constexpr bool IsLaterIncarnation(std::int64_t life, std::int64_t before) {
  return life != 0 && before != 0 && life > before;
}

enum class ServerOrderKind : std::uint8_t { kLoad, kUnload };

/// An instruction to one incarnation of a server.
struct ServerOrder {
  ServerOrderKind kind = ServerOrderKind::kLoad;
  std::string model;
  std::string adapter;             ///< Empty: the model itself.
  std::string server_id;           ///< The incarnation it is meant for.
  std::int64_t order_count = 0;    ///< Carried out only if the server has taken so many.
  std::string holder;              ///< The machine that gives it.
  std::int64_t fencing_token = 0;  ///< Rises with every change of leader.
};

/// How a server answered an order.
enum class ServerOrderOutcome : std::uint8_t {
  kInProgress,
  kAlreadyDone,
  kConflict,          ///< Another is under way, or the order count does not match.
  kOtherIncarnation,  ///< Another incarnation has the address.
  kRejected,          ///< No such order.
  kNoAnswer           ///< It may have been taken, and may be carried out later.
};

}  // namespace moorfold
