#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "common/bounded_archive.h"
#include "fleet/server_record.h"
#include "ports/store_revision.h"

namespace moorfold {

/// From a follower to the watcher, beside its demand: what has changed in the store since?
struct ChangeRequest {
  /// When it was asked, by the follower's steady clock in microseconds. The answer brings it back,
  /// so that its age can be told without a clock that both share.
  std::int64_t asked_at_us = 0;
  /// The follower knows all changes up to this one. Its era is an added field of the report.
  StoreRevision revision;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, revision.number);
  }
};

/// A server's newest state. Weights in its memory and on its disk are left out: only a watcher
/// needs them, and it reads the store itself.
struct ServerChange {
  StoreRevision revision;  ///< Of the change in the store; of the answer's era.
  bool gone = false;       ///< Its entry is gone: only `record.id` counts.
  ServerRecord record;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision.number, gone, record.id);
    if (gone) return;
    if (StatesLives(archive)) archive(record.life);
    archive(record.service, record.endpoint.address, record.endpoint.port, record.zone,
            record.software_version, record.slots, record.draining, record.models);
  }
};

/// From the watcher to one follower: what it has asked for.
struct ChangeAnswer {
  std::int64_t asked_at_us = 0;  ///< Of the question.
  /// Whether the sender relays changes. If not, nothing below counts but `daemons` and `leads`.
  bool relays = false;
  bool leads = true;  ///< False: the sender leads no more, whatever the store said last.
  /// The sender cannot say what changed: its log does not reach back so far, or it is more than a
  /// datagram carries. The follower has to read the store itself.
  bool gap = false;
  /// `servers` holds the changes after this one .. Where there is a gap, this is the question's.
  StoreRevision from_revision;
  StoreRevision to_revision;  ///< .. up to this one, the newest that the sender knows.
  /// How long before the question came the sender learnt from the store that nothing newer exists.
  std::int64_t age_us = 0;
  std::int64_t configuration_version =
      0;                      ///< The newest that the sender knows; not relayed itself.
  std::uint32_t daemons = 1;  ///< How many report to the sender, itself included.
  std::vector<ServerChange> servers;
  /// "IP:PORT" of some daemons that report to the sender, others each time: daemons must reach each
  /// other while nobody leads.
  std::vector<std::string> peers;
  std::uint64_t quarantine_digest = 0;  ///< Of the sender's case book.
  /// Only the oldest of the changes are here, up to `to_revision`, as many as a datagram carries:
  /// more follow, and nothing is known to be complete before. An added field; told only to builds
  /// that know relays.
  bool partial = false;
  /// "IP:PORT" of the leader as the sender knows it; empty: of none. An added field.
  std::string leader;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, relays, leads, gap, from_revision.number, to_revision.number, age_us,
            configuration_version, daemons, servers, peers, quarantine_digest);
  }
};

/// From a daemon to a relay: which servers are there? They come page by page, in the order of their
/// ids.
struct ServersRequest {
  std::int64_t asked_at_us = 0;  ///< As in ChangeRequest.
  std::string after;             ///< The page begins with the first id after this one.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, after);
  }
};

/// One page of all servers that a relay knows. Pages are no snapshot of one moment: whoever has all
/// knows what was there at the revision of the first, and asks for the changes since then.
struct ServersPage {
  std::int64_t asked_at_us = 0;  ///< Of the question.
  std::string after;             ///< The same.
  /// Whether the sender watches the store and has read it. If not, nothing below counts.
  bool relays = false;
  std::string last;         ///< The page holds every server from `after` up to and with this id.
  bool more = false;        ///< There are servers after `last`.
  StoreRevision revision;   ///< All changes up to this one are in it. Its era is an added field.
  std::int64_t age_us = 0;  ///< As in ChangeAnswer.
  std::int64_t configuration_version = 0;  ///< The same.
  std::vector<ServerChange> servers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, after, relays, last, more, revision.number, age_us, configuration_version,
            servers);
  }
};

/// From a daemon to a relay: a part of the text of that version of the configuration.
struct ConfigurationRequest {
  std::int64_t version = 0;
  std::uint32_t part = 0;  ///< Counted from 0.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, part);
  }
};

/// That part, as it stands in the store.
struct ConfigurationPart {
  std::int64_t version = 0;
  std::uint32_t part = 0;
  bool more = false;         ///< There are parts after it.
  std::uint64_t digest = 0;  ///< Of the whole text.
  StoreRevision revision;    ///< Of the store's entry. Its era is an added field.
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, part, more, digest, revision.number, bytes);
  }
};

template <typename Archive>
void serialize(Archive& archive, HeldModel& held) {
  archive(held.name, held.adapters);
}

}  // namespace moorfold
