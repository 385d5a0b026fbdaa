#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

#include "common/bounded_archive.h"
#include "fleet/server_record.h"
#include "ports/store_revision.h"

namespace moorfold {

/// Sent by a follower to the watcher with its demand report: requests the store changes after
/// `revision`.
struct ChangeRequest {
  /// Send time by the follower's steady clock, in microseconds. The answer echoes it, so that the
  /// follower can compute the answer's age without synchronized clocks.
  std::int64_t asked_at_us = 0;
  /// The follower has all changes up to this revision. Its era is encoded as an added field of the
  /// report.
  StoreRevision revision;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, revision.number);
  }
};

/// The newest state of a server. The weights in its memory and on its disk are omitted: only a
/// watcher needs them, and it reads the store itself.
struct ServerChange {
  StoreRevision revision;  ///< Of the change in the store; in the era of the answer.
  bool gone = false;       ///< The entry was deleted: only `record.id` is valid.
  ServerRecord record;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision.number, gone, record.id);
    if (gone) return;
    if (StatesIncarnations(archive)) archive(record.incarnation);
    archive(record.service, record.endpoint.address, record.endpoint.port, record.zone,
            record.software_version, record.slots, record.draining, record.models);
  }
};

/// The watcher's answer to one follower's ChangeRequest.
struct ChangeAnswer {
  std::int64_t asked_at_us = 0;  ///< Copied from the request.
  /// Whether the sender relays changes. If not, only `daemons` and `leads` below are valid.
  bool relays = false;
  bool leads = true;  ///< False: the sender is no longer leader, even if the store last named it.
  /// The sender cannot list the changes: its log does not reach back to the requested revision, or
  /// the changes exceed one datagram. The follower must read the store itself.
  bool gap = false;
  /// `servers` holds the changes after this revision. With a gap, this is the requested revision.
  StoreRevision from_revision;
  /// Last revision covered: the newest one that the sender knows, or less if `partial`.
  StoreRevision to_revision;
  /// Time between the store's last confirmation to the sender that nothing newer exists and the
  /// arrival of the request.
  std::int64_t age_us = 0;
  std::int64_t configuration_version =
      0;  ///< Newest version known to the sender; the configuration itself is not included.
  std::uint32_t daemons = 1;  ///< Number of daemons that report to the sender, including itself.
  std::vector<ServerChange> servers;
  /// "IP:PORT" of some daemons that report to the sender, a different subset each time: daemons
  /// must be able to reach each other while there is no leader.
  std::vector<std::string> peers;
  std::uint64_t quarantine_digest = 0;  ///< Digest of the sender's case book.
  /// The answer holds only the oldest changes, up to `to_revision`, as many as fit in a datagram.
  /// More follow, and the follower's data is not complete until then. An added field, set only for
  /// builds that support relays.
  bool partial = false;
  /// "IP:PORT" of the leader known to the sender; empty if none is known. An added field.
  std::string leader;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, relays, leads, gap, from_revision.number, to_revision.number, age_us,
            configuration_version, daemons, servers, peers, quarantine_digest);
  }
};

/// Sent by a daemon to a relay: requests one page of all servers, ordered by id.
struct ServersRequest {
  std::int64_t asked_at_us = 0;  ///< As in ChangeRequest.
  std::string after;             ///< The page starts at the first id after this one.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, after);
  }
};

/// One page of all servers that a relay knows. The pages are not a consistent snapshot: a daemon
/// that has received all of them has every change up to the revision of the first page, and then
/// requests the changes since that revision.
struct ServersPage {
  std::int64_t asked_at_us = 0;  ///< Copied from the request.
  std::string after;             ///< Copied from the request.
  /// Whether the sender watches the store and has read it. If not, no field below is valid.
  bool relays = false;
  std::string last;   ///< The page holds every server after `after` up to and including this id.
  bool more = false;  ///< There are servers after `last`.
  StoreRevision
      revision;  ///< The page includes all changes up to this one. Its era is an added field.
  std::int64_t age_us = 0;                 ///< As in ChangeAnswer.
  std::int64_t configuration_version = 0;  ///< As in ChangeAnswer.
  std::vector<ServerChange> servers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, after, relays, last, more, revision.number, age_us, configuration_version,
            servers);
  }
};

/// Sent by a daemon to a relay: requests one part of the text of a configuration version.
struct ConfigurationPartRequest {
  std::int64_t version = 0;
  std::uint32_t part = 0;  ///< Zero-based index.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, part);
  }
};

/// One part of a configuration's text, exactly as stored.
struct ConfigurationPart {
  std::int64_t version = 0;
  std::uint32_t part = 0;
  bool more = false;         ///< More parts follow.
  std::uint64_t digest = 0;  ///< Digest of the whole text.
  StoreRevision revision;    ///< Revision of the store entry. Its era is an added field.
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, part, more, digest, revision.number, bytes);
  }
};

template <typename Archive>
void serialize(Archive& archive, LoadedModel& held) {
  archive(held.name, held.adapters);
}

}  // namespace moorfold
