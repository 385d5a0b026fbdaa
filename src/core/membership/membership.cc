#include "core/membership/membership.h"

#include <algorithm>
#include <bit>

namespace moorfold {
namespace {

constexpr std::size_t kMaxRumoursPerMessage = 8;
constexpr std::uint32_t kRumourFactor = 3;

std::uint64_t NextRandom(std::uint64_t& seed) {  // SplitMix64.
  seed += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = seed;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

void Shuffle(std::vector<DaemonName>& names, std::uint64_t seed) {
  for (std::size_t left = names.size(); left > 1; --left)
    std::swap(names[left - 1], names[NextRandom(seed) % left]);
}

bool CountsAsAlive(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

}  // namespace

std::size_t RankOf(const MembershipState& state, const DaemonName& name) {
  const auto found = std::lower_bound(state.alive.begin(), state.alive.end(), name);
  if (found == state.alive.end() || *found != name) return state.alive.size();
  return static_cast<std::size_t>(found - state.alive.begin());
}

bool IsAlive(const MembershipState& state, const DaemonName& name) {
  return RankOf(state, name) < state.alive.size();
}

void Membership::RefreshAlive() {
  state_.alive.clear();
  if (!state_.leaving) state_.alive.push_back(self_.name);
  for (const auto& [name, member] : state_.members)
    if (CountsAsAlive(member.status)) state_.alive.push_back(name);
  std::sort(state_.alive.begin(), state_.alive.end());
}

bool Membership::UpdateListed(const std::vector<Machine>& machines, Timestamp now) {
  std::map<DaemonName, Member> listed;
  for (const Machine& machine : machines) {
    if (machine.kind != MachineKind::kDaemon || machine.zone != self_.zone) continue;
    if (machine.name == self_.name) continue;
    const auto known = state_.members.find(machine.name);
    listed[machine.name] =
        known == state_.members.end() ? Member{0, 0, MemberStatus::kDead, now} : known->second;
  }
  const std::vector<DaemonName> before = state_.alive;
  state_.members = std::move(listed);
  RefreshAlive();
  return state_.alive != before;
}

void Membership::Spread(const MemberUpdate& update) {
  std::erase_if(state_.rumours,
                [&](const Rumour& rumour) { return rumour.update.member == update.member; });
  const auto size = static_cast<std::uint32_t>(std::bit_width(state_.members.size() + 1));
  state_.rumours.push_back({update, kRumourFactor * size});
}

std::vector<MemberUpdate> Membership::TakeRumours(const DaemonName& receiver) {
  std::vector<MemberUpdate> updates;
  // Always include suspicions of the receiver, so that it can refute them.
  const auto member = state_.members.find(receiver);
  if (member != state_.members.end() && member->second.status != MemberStatus::kAlive &&
      member->second.incarnation != 0)
    updates.push_back({receiver, member->second.incarnation, member->second.status});
  for (Rumour& rumour : state_.rumours) {
    if (updates.size() >= kMaxRumoursPerMessage) break;
    if (rumour.update.member == receiver) continue;
    updates.push_back(rumour.update);
    --rumour.transmissions_left;
  }
  std::erase_if(state_.rumours,
                [](const Rumour& rumour) { return rumour.transmissions_left == 0; });
  return updates;
}

bool Membership::SetStatus(const DaemonName& name, Member& member, Incarnation incarnation,
                           MemberStatus status, Timestamp now) {
  const bool was_alive = CountsAsAlive(member.status);
  if (member.status != status) {
    if (status == MemberStatus::kSuspect) ++state_.suspicions;
    if (status == MemberStatus::kDead) ++state_.deaths;
    member.status_since = now;
  }
  member.status = status;
  member.incarnation = incarnation;
  Spread({name, incarnation, status});
  if (was_alive == CountsAsAlive(status)) return false;
  RefreshAlive();
  return true;
}

bool Membership::Apply(const MemberUpdate& update, Timestamp now) {
  if (update.member == self_.name) {
    const bool accused = update.status != MemberStatus::kAlive && !state_.leaving;
    if (accused && update.incarnation >= state_.own_incarnation) {
      state_.own_incarnation = update.incarnation + 1;
      Spread({self_.name, state_.own_incarnation, MemberStatus::kAlive});
    }
    return false;
  }
  const auto found = state_.members.find(update.member);
  if (found == state_.members.end()) return false;
  Member& member = found->second;
  const bool newer = update.incarnation > member.incarnation;
  const bool stronger = update.incarnation == member.incarnation && update.status > member.status;
  if (!newer && !stronger) return false;
  return SetStatus(update.member, member, update.incarnation, update.status, now);
}

bool Membership::HearFrom(const DaemonName& from, const Digest& digest, Timestamp now) {
  const auto member = state_.members.find(from);
  if (member == state_.members.end()) return false;
  bool changed = member->second.boot != digest.boot;
  member->second.boot = digest.boot;
  changed = Apply({from, digest.incarnation, MemberStatus::kAlive}, now) || changed;
  return changed;
}

bool Membership::ApplyAll(const std::vector<MemberUpdate>& updates, Timestamp now) {
  bool changed = false;
  for (const MemberUpdate& update : updates) changed = Apply(update, now) || changed;
  return changed;
}

bool Membership::ExpireSuspects(Timestamp now) {
  bool changed = false;
  for (auto& [name, member] : state_.members) {
    const bool expired = member.status == MemberStatus::kSuspect &&
                         now - member.status_since >= settings_.suspicion_timeout;
    if (expired)
      changed = SetStatus(name, member, member.incarnation, MemberStatus::kDead, now) || changed;
  }
  return changed;
}

bool Membership::CheckOutstandingProbe(Timestamp now, std::uint64_t random, Effects& effects) {
  if (!state_.probe) return false;
  OutstandingProbe& probe = *state_.probe;
  if (now - probe.sent < settings_.probe_timeout) return false;
  const auto target = state_.members.find(probe.target);
  if (target == state_.members.end() || !CountsAsAlive(target->second.status)) {
    state_.probe.reset();
    return false;
  }
  if (!probe.indirect_sent) {
    probe.indirect_sent = true;
    std::vector<DaemonName> helpers = state_.alive;
    std::erase(helpers, self_.name);
    std::erase(helpers, probe.target);
    Shuffle(helpers, random);
    if (helpers.size() > settings_.indirect_probes) helpers.resize(settings_.indirect_probes);
    for (const DaemonName& helper : helpers)
      effects.push_back(SendMessage{
          helper, IndirectProbeMessage{probe.sequence, probe.target, TakeRumours(helper)}});
    return false;
  }
  if (now - probe.sent < settings_.probe_interval) return false;
  Member& member = target->second;
  const DaemonName name = probe.target;
  state_.probe.reset();
  if (member.status != MemberStatus::kAlive) return false;
  return SetStatus(name, member, member.incarnation, MemberStatus::kSuspect, now);
}

void Membership::SendNextProbe(Timestamp now, std::uint64_t random, const Digest& digest,
                               Effects& effects) {
  if (state_.members.empty() || state_.probe) return;
  if (state_.probe_order.empty()) {
    for (const auto& [name, member] : state_.members) state_.probe_order.push_back(name);
    Shuffle(state_.probe_order, random);
  }
  const DaemonName target = state_.probe_order.back();
  state_.probe_order.pop_back();
  if (!state_.members.contains(target)) return;
  state_.last_probe = now;
  state_.probe = OutstandingProbe{state_.next_sequence++, target, now, false};
  effects.push_back(
      SendMessage{target, ProbeMessage{state_.probe->sequence, {}, digest, TakeRumours(target)}});
}

bool Membership::OnTick(Timestamp now, std::uint64_t random, const Digest& digest,
                        Effects& effects) {
  if (state_.alive.empty()) RefreshAlive();
  bool changed = CheckOutstandingProbe(now, random, effects);
  changed = ExpireSuspects(now) || changed;
  if (now - state_.last_probe >= settings_.probe_interval)
    SendNextProbe(now, random, digest, effects);
  return changed;
}

bool Membership::OnProbe(const DaemonName& from, const ProbeMessage& probe, Timestamp now,
                         const Digest& digest, Effects& effects) {
  bool changed = ApplyAll(probe.updates, now);
  changed = HearFrom(from, probe.digest, now) || changed;
  Digest answer = digest;
  answer.incarnation = state_.own_incarnation;  // Send a new refutation immediately.
  const DaemonName receiver = probe.on_behalf_of.empty() ? from : probe.on_behalf_of;
  effects.push_back(SendMessage{
      receiver, ProbeAckMessage{probe.sequence, self_.name, answer, TakeRumours(receiver)}});
  return changed;
}

bool Membership::OnAck(const DaemonName& from, const ProbeAckMessage& ack, Timestamp now,
                       Effects& effects) {
  (void)effects;
  bool changed = ApplyAll(ack.updates, now);
  changed = HearFrom(from, ack.digest, now) || changed;
  if (state_.probe && state_.probe->sequence == ack.sequence && state_.probe->target == ack.target)
    state_.probe.reset();
  return changed;
}

bool Membership::OnIndirectProbe(const DaemonName& from, const IndirectProbeMessage& request,
                                 Timestamp now, const Digest& digest, Effects& effects) {
  const bool changed = ApplyAll(request.updates, now);
  effects.push_back(SendMessage{
      request.target, ProbeMessage{request.sequence, from, digest, TakeRumours(request.target)}});
  return changed;
}

bool Membership::OnLeave(const DaemonName& from, const LeaveMessage& leave, Timestamp now) {
  return Apply({from, leave.incarnation, MemberStatus::kLeft}, now);
}

void Membership::Leave(Effects& effects) {
  state_.leaving = true;
  for (const DaemonName& name : state_.alive)
    if (name != self_.name)
      effects.push_back(SendMessage{name, LeaveMessage{state_.own_incarnation}});
  RefreshAlive();
}

}  // namespace moorfold
