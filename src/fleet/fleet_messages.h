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
#include "detour/detour_messages.h"
#include "fleet/demand.h"
#include "fleet/order_history.h"
#include "outlook/outlook_messages.h"
#include "quarantine/quarantine_messages.h"
#include "relay/relay_messages.h"
#include "relay/relay_plan.h"
#include "retry_budget/retry_messages.h"
#include "server_limits/permit_messages.h"
#include "tenants/credit_messages.h"

namespace moorfold {

/// Tags of the added fields of messages and records, see common/message_format.h.
enum class AddedField : std::uint16_t {
  /// Store era of each revision in the message, or of the store when the record was written.
  /// Messages without it come from builds without era support: kEraUntold.
  kStoreEra = 1,
  kZone = 2,           ///< In DemandReport: `zone`.
  kRelayPlan = 3,      ///< In DemandReport: `relay_plan`.
  kPartial = 4,        ///< In ChangeAnswer: `partial`.
  kLeaderAddress = 5,  ///< In ChangeAnswer: `leader`, in the form of PackAddress.
  kIsolated = 6,       ///< In DemandReport: `isolated`.
};

/// Value of the leader key in the store. The key is attached to the leader's lease.
struct LeaderRecord {
  std::string name;     ///< Name of the leader's machine.
  std::string address;  ///< "IP:PORT" at which the leader receives demand reports.
  /// The wait for orders of earlier leaders to expire is over.
  bool settled = false;
  /// The leader has stopped issuing orders; the key is attached to no lease.
  bool released = false;
  OrderHistoryRecord history;  ///< Set if `released`.
  /// Era of the store in which the record was written. In a later era the record was restored from
  /// an older copy of the store and is outdated.
  std::int64_t era = kEraUntold;

  /// @return whether the record is current in a store of that era. A record of a build without era
  /// support is current only if the store cannot have been restored from a copy.
  bool IsValidInEra(std::int64_t era_of_store) const {
    return era == era_of_store || (era == kEraUntold && era_of_store <= kEraWithoutReturn);
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, address, settled, released, history);
  }
};

/// Part of a daemon's demand, sent to the leader. Entries that do not fit in one datagram follow in
/// others. Any datagram may be lost; the next report replaces it.
struct DemandReport {
  std::string sender;
  std::string address;         ///< "IP:PORT" at which the sender receives notices.
  std::int64_t uptime_ms = 0;  ///< Uptime of the sender's process.
  double strength = 0;         ///< CPU capacity of the sender's machine, as a share of a core.
  bool stopping = false;       ///< The sender is in a planned stop.
  std::vector<DemandEntry> entries;
  std::vector<std::string> unreachable;  ///< Servers to which recent connections failed.
  /// Asks for changes in the store; only in the last part.
  std::optional<ChangeRequest> question;
  std::uint64_t quarantine_digest = 0;    ///< Digest of the sender's quarantine cases.
  std::uint16_t format = kMessageFormat;  ///< Message format of the sender's build.
  ZoneId zone = 0;                        ///< Zone of the sender; 0: unknown. An added field.
  /// Number of the newest relay plan known to the sender; empty from builds without relay support.
  /// An added field.
  std::optional<std::int64_t> relay_plan;
  bool isolated = false;  ///< The sender reaches no server. An added field.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, address, uptime_ms, strength, stopping, entries, unreachable, question,
            quarantine_digest);
  }
};

/// The part of a daemon's demand that is bound to a software version, sent to the leader next to
/// the report and only while there is any. May be lost; the next one replaces it.
struct VersionDemand {
  /// Keeps the datagram well below the size that receivers accept.
  static constexpr std::size_t kMaxEntries = 24;

  std::string sender;                       ///< As in DemandReport.
  std::vector<VersionDemandEntry> entries;  ///< At most kMaxEntries.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, entries);
  }
};

/// Sent by the leader to every daemon: a server holds, will hold or unloads a model or adapter.
struct PlacementNotice {
  std::string server_id;
  ModelReference name;
  bool held = true;
  /// If positive: the server does not hold it yet and is expected to after this time.
  std::int64_t expected_ms = 0;
  std::int64_t incarnation = 0;  ///< Incarnation of the server, see ServerRecord::incarnation.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, name, held, expected_ms);
    if (StatesIncarnations(archive)) archive(incarnation);
  }
};

/// Sent by a leader that has resigned in a planned stop, to the daemon that should become leader.
struct LeadershipOffer {
  std::string from;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

/// Alternatives from RelayPlan on require relay support (DemandReport::relay_plan). Builds that do
/// not know the permit, detour or retry messages ignore them, so their queries get no response.
/// A leader that does not know VersionDemand places models regardless of software versions.
using FleetMessage =
    std::variant<DemandReport, PlacementNotice, ChangeAnswer, LeadershipOffer, QuarantineNotice,
                 CreditSharing, CreditQuestion, CreditAnswer, RelayPlan, ServersRequest,
                 ServersPage, ConfigurationPartRequest, ConfigurationPart, PermitRequest,
                 PermitResponse, LoadOutlookNotice, DetourQuery, DetourOffer, RetryGrantRequest,
                 RetryGrantResponse, VersionDemand>;

template <typename Archive>
void serialize(Archive& archive, ModelReference& name) {
  archive(name.model, name.adapter);
}

template <typename Archive>
void serialize(Archive& archive, DemandEntry& entry) {
  archive(entry.service, entry.name, entry.waiting, entry.in_flight, entry.arrivals, entry.late);
}

template <typename Archive>
void serialize(Archive& archive, VersionDemandEntry& entry) {
  archive(entry.service, entry.name, entry.software_version, entry.waiting);
}

/// Write and read the added fields of a message; most messages have none.
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

/// @return the IPv4 address and port "IP:PORT" as a number; 0 for anything else.
std::int64_t PackAddress(const std::string& address);
/// @return the "IP:PORT" that `packed` encodes; empty for 0 or a negative number.
std::string UnpackAddress(std::int64_t packed);

inline void WriteAdded(const DemandReport& report, AddedFields& added) {
  if (report.question) PutEra(added, report.question->revision.era);
  if (report.zone != 0) PutAdded(added, AddedField::kZone, report.zone);
  if (report.relay_plan) PutAdded(added, AddedField::kRelayPlan, *report.relay_plan);
  if (report.isolated) PutAdded(added, AddedField::kIsolated, 1);
}
inline void ReadAdded(DemandReport& report, const FormattedMessage& message) {
  report.format = message.format;
  report.zone = FindAdded(message, AddedField::kZone).value_or(0);
  report.relay_plan = FindAdded(message, AddedField::kRelayPlan);
  report.isolated = FindAdded(message, AddedField::kIsolated).value_or(0) != 0;
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

/// @return the encoded message or record.
template <typename Message>
std::string EncodeMessage(const Message& message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  AddedFields added;
  WriteAdded(message, added);
  return WriteFormatted(std::move(stream).str(), added);
}

/// @throws std::runtime_error when `body` does not decode as a Message in that layout.
template <typename Message>
Message DecodeBody(const std::string& body, BodyLayout layout) {
  Message message;
  BoundedInputArchive archive(body, layout);
  archive(message);
  if (archive.Left() > 0) throw std::runtime_error("trailing bytes after the message body");
  return message;
}

/// Decodes messages of this and all earlier released builds, and those of later builds that only
/// add fields.
/// @throws std::runtime_error when `bytes` does not decode as a Message.
template <typename Message>
Message DecodeMessage(const std::string& bytes) {
  try {
    const FormattedMessage formatted = ReadFormatted(bytes);
    Message message;
    try {
      message = DecodeBody<Message>(formatted.body, BodyLayout::kWithIncarnations);
    } catch (const std::exception&) {
      if (formatted.format > 0) throw;
      message = DecodeBody<Message>(formatted.body, BodyLayout::kWithoutIncarnations);
    }
    ReadAdded(message, formatted);
    return message;
  } catch (const std::exception& error) {
    throw std::runtime_error(std::string("not a message of a known build: ") + error.what());
  }
}

}  // namespace moorfold
