#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/claims/claim_messages.h"
#include "core/intent.h"
#include "core/ledger.h"
#include "core/types.h"

namespace moorfold {

enum class MemberStatus : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

/// One rumour about one member. For equal incarnations the higher status wins.
struct MemberUpdate {
  DaemonName member;
  Incarnation incarnation = 0;
  MemberStatus status = MemberStatus::kAlive;
};

/// Carried by every probe, so that a daemon that missed a change learns of it.
struct Digest {
  Revision configuration_revision = 0;
  Revision ledger_revision = 0;
  Incarnation incarnation = 0;  ///< Of the sender; raised to refute a suspicion.
  Incarnation boot = 0;         ///< Of the sender's process.
  std::uint64_t claim_view = 0;
};

struct ProbeMessage {
  std::uint64_t sequence = 0;
  DaemonName on_behalf_of;  ///< Set when a third daemon asked for this probe.
  Digest digest;
  std::vector<MemberUpdate> updates;
};
struct ProbeAckMessage {
  std::uint64_t sequence = 0;
  DaemonName target;  ///< Who is alive; the sender, or the one it probed for another.
  Digest digest;
  std::vector<MemberUpdate> updates;
};
struct IndirectProbeMessage {
  std::uint64_t sequence = 0;
  DaemonName target;
  std::vector<MemberUpdate> updates;
};
struct LeaveMessage {
  Incarnation incarnation = 0;
};
/// Sent between delegates of different zones.
struct ZoneDigestMessage {
  ZoneName zone;
  Digest digest;
};

struct ConfigurationRequest {
  Revision have = 0;
};
struct ConfigurationDeltaMessage {
  ConfigurationDelta delta;
};
struct ConfigurationSnapshotMessage {
  Revision revision = 0;
  Intent intent;
};

struct ClaimViewRequest {};
struct ClaimViewMessage {
  ClaimView view;
};

struct LedgerRequest {
  Revision have = 0;
};
struct LedgerDeltaMessage {
  LedgerDelta delta;
};
struct LedgerSnapshotMessage {
  Ledger ledger;
};

/// What changed in the servers that the sender polls.
struct ServerReportsMessage {
  std::vector<ServerReport> reports;
};
/// The load of one server, shared more often and more compactly than its report.
struct ServerLoad {
  ServerName server;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};
struct ServerLoadsMessage {
  std::vector<ServerLoad> loads;
};
/// Asks every daemon for the full reports of the servers it polls.
struct ServerReportsRequest {};

struct DemandMessage {
  std::vector<DemandSample> samples;
};

using PeerMessage =
    std::variant<ProbeMessage, ProbeAckMessage, IndirectProbeMessage, LeaveMessage,
                 ZoneDigestMessage, ConfigurationRequest, ConfigurationDeltaMessage,
                 ConfigurationSnapshotMessage, LedgerRequest, LedgerDeltaMessage,
                 LedgerSnapshotMessage, ServerReportsMessage, ServerReportsRequest,
                 ServerLoadsMessage, DemandMessage, ClaimViewRequest, ClaimViewMessage>;

}  // namespace moorfold
