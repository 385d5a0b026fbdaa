#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "common/bounded_archive.h"
#include "fleet/demand.h"
#include "fleet/order_history.h"
#include "quarantine/quarantine_messages.h"
#include "relay/relay_messages.h"
#include "tenants/credit_messages.h"

namespace moorfold {

/// What stands under the leader key. The key hangs on the leader's lease.
struct LeaderRecord {
  std::string name;     ///< Of the leader's machine.
  std::string address;  ///< "IP:PORT" at which it hears of demand.
  /// The time in which orders of older leaders may still matter was waited out.
  bool settled = false;
  /// The leader gives no more orders; the key hangs on no lease any more.
  bool released = false;
  OrderHistoryRecord history;  ///< Where released.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, address, settled, released, history);
  }
};

/// From every daemon to the leader: part of its demand. Entries of one report come in several
/// datagrams where they do not fit; any may be lost, the next report makes up for it.
struct DemandReport {
  std::string sender;
  std::string address;         ///< "IP:PORT" at which the sender hears of notices.
  std::int64_t uptime_ms = 0;  ///< Of the sender's process.
  double strength = 0;         ///< Of the sender's machine: share of a core.
  bool stopping = false;       ///< The sender is at a planned stop.
  std::vector<DemandEntry> entries;
  std::vector<std::string> unreachable;    ///< Servers to which no connection came up lately.
  std::optional<ChangeQuestion> question;  ///< What has changed in the store; in the last part.
  std::uint64_t quarantine_digest = 0;     ///< Of the sender's case book.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, address, uptime_ms, strength, stopping, entries, unreachable, question,
            quarantine_digest);
  }
};

/// From the leader to every daemon: a model or adapter stands at a server now, will, or goes.
struct PlacementNotice {
  std::string server_id;
  ModelReference name;
  bool held = true;
  std::int64_t expected_ms = 0;  ///< Above 0: it does not stand there yet, but should after that.
  std::int64_t life = 0;         ///< Of the server, as ServerRecord has it.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, name, held, expected_ms, life);
  }
};

/// From a leader that has given leadership up at a planned stop, to the daemon that should lead.
struct LeadershipOffer {
  std::string from;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

using FleetMessage = std::variant<DemandReport, PlacementNotice, ChangeAnswer, LeadershipOffer,
                                  QuarantineNotice, CreditSharing, CreditQuestion, CreditAnswer>;

template <typename Archive>
void serialize(Archive& archive, ModelReference& name) {
  archive(name.model, name.adapter);
}

template <typename Archive>
void serialize(Archive& archive, DemandEntry& entry) {
  archive(entry.service, entry.name, entry.waiting, entry.in_flight, entry.arrivals, entry.late);
}

/// @return the bytes of a message or record.
template <typename Message>
std::string EncodeMessage(const Message& message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return std::move(stream).str();
}

/// @throws std::runtime_error when `bytes` is no such message.
template <typename Message>
Message DecodeMessage(const std::string& bytes) {
  Message message;
  try {
    BoundedInputArchive archive(bytes);
    archive(message);
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("not a message of this version: ") + error.what());
  }
  return message;
}

}  // namespace moorfold
