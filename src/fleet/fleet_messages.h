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
#include "common/message_format.h"
#include "fleet/demand.h"
#include "fleet/order_history.h"
#include "quarantine/quarantine_messages.h"
#include "relay/relay_messages.h"
#include "relay/relay_plan.h"
#include "server_limits/permit_messages.h"
#include "tenants/credit_messages.h"

namespace moorfold {

/// Tags of the added fields of messages and records, see common/message_format.h.
enum class AddedField : std::uint16_t {
  /// Of each revision in the message, or of the time at which the record was written. A message
  /// without it is of a build that knows no eras: kEraUntold.
  kStoreEra = 1,
  kZone = 2,           ///< Of a report: DemandReport::zone.
  kRelayPlan = 3,      ///< Of a report: DemandReport::relay_plan.
  kPartial = 4,        ///< Of an answer: ChangeAnswer::partial.
  kLeaderAddress = 5,  ///< Of an answer: ChangeAnswer::leader, as PackAddress writes it.
};

/// What stands under the leader key. The key hangs on the leader's lease.
struct LeaderRecord {
  std::string name;     ///< Of the leader's machine.
  std::string address;  ///< "IP:PORT" at which it hears of demand.
  /// The time in which orders of older leaders may still matter was waited out.
  bool settled = false;
  /// The leader gives no more orders; the key hangs on no lease any more.
  bool released = false;
  OrderHistoryRecord history;  ///< Where released.
  /// Of the store in which it was written: in a later one it is of a copy, and tells what was.
  std::int64_t era = kEraUntold;

  /// @return whether it tells of what is, in a store of that era. A record of a build that knows no
  /// eras does where no copy can have brought it back.
  bool TellsNow(std::int64_t era_of_store) const {
    return era == era_of_store || (era == kEraUntold && era_of_store <= kEraWithoutReturn);
  }

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
  std::vector<std::string> unreachable;   ///< Servers to which no connection came up lately.
  std::optional<ChangeRequest> question;  ///< What has changed in the store; in the last part.
  std::uint64_t quarantine_digest = 0;    ///< Of the sender's case book.
  std::uint16_t format = kMessageFormat;  ///< In which the sender's build writes.
  ZoneId zone = 0;                        ///< Of the sender; 0: not told. An added field.
  /// Number of the newest plan of relays that the sender knows; nothing from a build that knows no
  /// relays. An added field.
  std::optional<std::int64_t> relay_plan;

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
    archive(server_id, name, held, expected_ms);
    if (StatesLives(archive)) archive(life);
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

/// Those from RelayPlan on are understood by builds that know relays (DemandReport::relay_plan); a
/// build that does not know the last two leaves them alone, and questions without an answer.
using FleetMessage = std::variant<DemandReport, PlacementNotice, ChangeAnswer, LeadershipOffer,
                                  QuarantineNotice, CreditSharing, CreditQuestion, CreditAnswer,
                                  RelayPlan, ServersRequest, ServersPage, ConfigurationRequest,
                                  ConfigurationPart, PermitQuestion, PermitAnswer>;

template <typename Archive>
void serialize(Archive& archive, ModelReference& name) {
  archive(name.model, name.adapter);
}

template <typename Archive>
void serialize(Archive& archive, DemandEntry& entry) {
  archive(entry.service, entry.name, entry.waiting, entry.in_flight, entry.arrivals, entry.late);
}

/// Writes what a message holds beside its body, and reads it; most hold nothing there.
template <typename Message>
void WriteAdded(const Message&, AddedFields&) {}
template <typename Message>
void ReadAdded(Message&, const FormattedMessage&) {}

inline void PutEra(AddedFields& added, std::int64_t era) {
  added.Put(static_cast<std::uint16_t>(AddedField::kStoreEra), era);
}
inline std::int64_t EraOf(const FormattedMessage& message) {
  return message.added.Find(static_cast<std::uint16_t>(AddedField::kStoreEra)).value_or(kEraUntold);
}

inline void WriteAdded(const LeaderRecord& record, AddedFields& added) {
  PutEra(added, record.era);
}
inline void ReadAdded(LeaderRecord& record, const FormattedMessage& message) {
  record.era = EraOf(message);
}
inline std::optional<std::int64_t> FindAdded(const FormattedMessage& message, AddedField field) {
  return message.added.Find(static_cast<std::uint16_t>(field));
}
inline void PutAdded(AddedFields& added, AddedField field, std::int64_t value) {
  added.Put(static_cast<std::uint16_t>(field), value);
}

/// @return "IP:PORT" of a version 4 address as a number; 0 for anything else.
std::int64_t PackAddress(const std::string& address);
/// @return the same address; empty for 0.
std::string UnpackAddress(std::int64_t packed);

inline void WriteAdded(const DemandReport& report, AddedFields& added) {
  if (report.question) PutEra(added, report.question->revision.era);
  if (report.zone != 0) PutAdded(added, AddedField::kZone, report.zone);
  if (report.relay_plan) PutAdded(added, AddedField::kRelayPlan, *report.relay_plan);
}
inline void ReadAdded(DemandReport& report, const FormattedMessage& message) {
  report.format = message.format;
  report.zone = FindAdded(message, AddedField::kZone).value_or(0);
  report.relay_plan = FindAdded(message, AddedField::kRelayPlan);
  if (report.question) report.question->revision.era = EraOf(message);
}
inline void WriteAdded(const ChangeAnswer& answer, AddedFields& added) {
  PutEra(added, answer.to_revision.era);
  if (answer.partial) PutAdded(added, AddedField::kPartial, 1);
  if (!answer.leader.empty())
    PutAdded(added, AddedField::kLeaderAddress, PackAddress(answer.leader));
}
inline void ReadAdded(ChangeAnswer& answer, const FormattedMessage& message) {
  const std::int64_t era = EraOf(message);
  answer.from_revision.era = era;
  answer.to_revision.era = era;
  for (ServerChange& change : answer.servers) change.revision.era = era;
  answer.partial = FindAdded(message, AddedField::kPartial).value_or(0) != 0;
  answer.leader = UnpackAddress(FindAdded(message, AddedField::kLeaderAddress).value_or(0));
}
inline void WriteAdded(const ServersPage& page, AddedFields& added) {
  PutEra(added, page.revision.era);
}
inline void ReadAdded(ServersPage& page, const FormattedMessage& message) {
  page.revision.era = EraOf(message);
  for (ServerChange& change : page.servers) change.revision.era = page.revision.era;
}
inline void WriteAdded(const ConfigurationPart& part, AddedFields& added) {
  PutEra(added, part.revision.era);
}
inline void ReadAdded(ConfigurationPart& part, const FormattedMessage& message) {
  part.revision.era = EraOf(message);
}
inline void WriteAdded(const FleetMessage& message, AddedFields& added) {
  std::visit([&](const auto& content) { WriteAdded(content, added); }, message);
}
inline void ReadAdded(FleetMessage& message, const FormattedMessage& formatted) {
  std::visit([&](auto& content) { ReadAdded(content, formatted); }, message);
}

/// @return the bytes of a message or record.
template <typename Message>
std::string EncodeMessage(const Message& message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  AddedFields added;
  WriteAdded(message, added);
  return WriteFormatted(std::move(stream).str(), added);
}

/// @throws std::runtime_error when `body` is no such message in that layout.
template <typename Message>
Message DecodeBody(const std::string& body, BodyLayout layout) {
  Message message;
  BoundedInputArchive archive(body, layout);
  archive(message);
  if (archive.Left() > 0) throw std::runtime_error("bytes are left over");
  return message;
}

/// Reads what this build and those that landed before it have written, and what later ones add to.
/// @throws std::runtime_error when `bytes` is no such message.
template <typename Message>
Message DecodeMessage(const std::string& bytes) {
  try {
    const FormattedMessage formatted = ReadFormatted(bytes);
    Message message;
    try {
      message = DecodeBody<Message>(formatted.body, BodyLayout::kWithLives);
    } catch (const std::exception&) {
      if (formatted.format > 0) throw;
      message = DecodeBody<Message>(formatted.body, BodyLayout::kWithoutLives);
    }
    ReadAdded(message, formatted);
    return message;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("not a message of a known build: ") + error.what());
  }
}

}  // namespace moorfold
