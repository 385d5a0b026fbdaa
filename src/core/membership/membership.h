#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/effects.h"
#include "core/events.h"
#include "core/settings.h"

namespace moorfold {

/// One daemon of the own zone. Its address comes from the machine list; its status from probes.
/// A listed daemon starts as kDead with incarnation 0 and is probed until it answers, so a healed
/// partition needs no other path back.
struct Member {
  Incarnation incarnation = 0;
  Incarnation boot = 0;  ///< Of its process, once heard from directly; 0: not yet.
  MemberStatus status = MemberStatus::kDead;
  Timestamp status_since{};
};

struct Rumour {
  MemberUpdate update;
  std::uint32_t transmissions_left = 0;
};

struct OutstandingProbe {
  std::uint64_t sequence = 0;
  DaemonName target;
  Timestamp sent{};
  bool indirect_sent = false;
};

struct MembershipState {
  std::map<DaemonName, Member> members;  ///< Own zone, without this daemon.
  Incarnation own_incarnation = 0;
  std::vector<Rumour> rumours;
  std::vector<DaemonName> probe_order;  ///< Shuffled; refilled when it is used up.
  std::optional<OutstandingProbe> probe;
  std::uint64_t next_sequence = 1;
  Timestamp last_probe{};
  bool leaving = false;
  std::vector<DaemonName> alive;  ///< Sorted, with this daemon; suspects still count.
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
};

/// Failure detection within a zone by probes, indirect probes, suspicion and refutation.
/// All functions are pure: they change only `state` and append to `effects`.
class Membership {
 public:
  Membership(const Identity& self, const CoreSettings& settings, MembershipState& state)
      : self_(self), settings_(settings), state_(state) {}

  /// Takes the daemons of the own zone from the machine list.
  /// @return true when the set of alive members changed.
  bool UpdateListed(const std::vector<Machine>& machines, Timestamp now);
  /// Sends the next probe, and turns silence into suspicion and suspicion into death.
  bool OnTick(Timestamp now, std::uint64_t random, const Digest& digest, Effects& effects);
  bool OnProbe(const DaemonName& from, const ProbeMessage& probe, Timestamp now,
               const Digest& digest, Effects& effects);
  bool OnAck(const DaemonName& from, const ProbeAckMessage& ack, Timestamp now, Effects& effects);
  bool OnIndirectProbe(const DaemonName& from, const IndirectProbeMessage& request, Timestamp now,
                       const Digest& digest, Effects& effects);
  bool OnLeave(const DaemonName& from, const LeaveMessage& leave, Timestamp now);
  /// Tells every alive member that this daemon stops.
  void Leave(Effects& effects);

 private:
  bool HearFrom(const DaemonName& from, const Digest& digest, Timestamp now);
  bool Apply(const MemberUpdate& update, Timestamp now);
  bool ApplyAll(const std::vector<MemberUpdate>& updates, Timestamp now);
  bool SetStatus(const DaemonName& name, Member& member, Incarnation incarnation,
                 MemberStatus status, Timestamp now);
  bool ExpireSuspects(Timestamp now);
  bool CheckOutstandingProbe(Timestamp now, std::uint64_t random, Effects& effects);
  void SendNextProbe(Timestamp now, std::uint64_t random, const Digest& digest, Effects& effects);
  void Spread(const MemberUpdate& update);
  std::vector<MemberUpdate> TakeRumours(const DaemonName& receiver);
  void RefreshAlive();

  const Identity& self_;
  const CoreSettings& settings_;
  MembershipState& state_;
};

/// @return the position of `name` among the alive members, or their number when it is not alive.
std::size_t RankOf(const MembershipState& state, const DaemonName& name);
bool IsAlive(const MembershipState& state, const DaemonName& name);

}  // namespace moorfold
