#include "core/membership/membership.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Identity kSelf{"a", "z", 100};

std::vector<Machine> Listed(const std::vector<DaemonName>& names) {
  std::vector<Machine> machines;
  for (const DaemonName& name : names) {
    Machine machine;
    machine.name = name;
    machine.zone = "z";
    machines.push_back(machine);
  }
  return machines;
}

class Fixture {
 public:
  Fixture() : membership(kSelf, settings, state) {
    state.own_incarnation = kSelf.incarnation;
    membership.UpdateListed(Listed({"a", "b", "c", "d"}), now);
    for (const DaemonName& name : {"b", "c", "d"}) Alive(name, 7);
    effects.clear();
  }
  void Alive(const DaemonName& name, Incarnation incarnation) {
    ProbeAckMessage ack;
    ack.target = name;
    ack.digest.incarnation = incarnation;
    ack.digest.boot = 7;
    membership.OnAck(name, ack, now, effects);
  }
  void Hear(const MemberUpdate& update) {
    ProbeAckMessage ack;
    ack.target = "c";
    ack.digest.incarnation = 7;
    ack.digest.boot = 7;
    ack.updates = {update};
    membership.OnAck("c", ack, now, effects);
  }
  /// Ticks until `end`; nobody answers.
  void Silence(Duration length) {
    for (const Timestamp end = now + length; now < end; now += milliseconds(200))
      membership.OnTick(now, 5, Digest{}, effects);
  }
  MemberStatus StatusOf(const DaemonName& name) const { return state.members.at(name).status; }

  CoreSettings settings;
  MembershipState state;
  Effects effects;
  Timestamp now{seconds(1000)};
  Membership membership;
};

TEST_CASE("Rumours about a member") {
  struct Case {
    const char* name;
    std::vector<MemberUpdate> heard;
    MemberStatus expected;
  };
  const std::vector<Case> cases = {
      {"suspicion counts at the same incarnation",
       {{"b", 7, MemberStatus::kSuspect}},
       MemberStatus::kSuspect},
      {"an older suspicion is ignored", {{"b", 6, MemberStatus::kSuspect}}, MemberStatus::kAlive},
      {"a refutation with a higher incarnation wins",
       {{"b", 7, MemberStatus::kSuspect}, {"b", 8, MemberStatus::kAlive}},
       MemberStatus::kAlive},
      {"life at the same incarnation refutes nothing",
       {{"b", 7, MemberStatus::kSuspect}, {"b", 7, MemberStatus::kAlive}},
       MemberStatus::kSuspect},
      {"death is final for an incarnation",
       {{"b", 7, MemberStatus::kDead}, {"b", 7, MemberStatus::kSuspect}},
       MemberStatus::kDead},
      {"a restarted member is alive again",
       {{"b", 7, MemberStatus::kDead}, {"b", 9, MemberStatus::kAlive}},
       MemberStatus::kAlive},
      {"strangers are not taken in", {{"x", 9, MemberStatus::kAlive}}, MemberStatus::kAlive},
  };
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      Fixture fixture;
      for (const MemberUpdate& update : each.heard) fixture.Hear(update);
      CHECK(fixture.StatusOf("b") == each.expected);
      CHECK_FALSE(fixture.state.members.contains("x"));
    }
  }
}

TEST_CASE("A silent member is probed through others, suspected, and then dead") {
  Fixture fixture;
  fixture.Silence(seconds(1));
  const auto indirect = [&] {
    return std::count_if(fixture.effects.begin(), fixture.effects.end(), [](const Effect& effect) {
      const auto* send = std::get_if<SendMessage>(&effect);
      return send != nullptr && std::holds_alternative<IndirectProbeMessage>(send->message);
    });
  };
  CHECK(indirect() > 0);
  fixture.Silence(seconds(20));
  CHECK(fixture.state.alive == std::vector<DaemonName>{"a"});
  CHECK(fixture.state.deaths == 3);
}

TEST_CASE("A daemon that hears it is suspected raises its incarnation") {
  Fixture fixture;
  fixture.Hear({"a", 100, MemberStatus::kSuspect});
  CHECK(fixture.state.own_incarnation == 101);
  ProbeMessage probe;
  probe.digest.incarnation = 7;
  probe.digest.boot = 7;
  fixture.effects.clear();
  fixture.membership.OnProbe("b", probe, fixture.now, Digest{}, fixture.effects);
  const auto& answer = std::get<SendMessage>(fixture.effects.back());
  CHECK(std::get<ProbeAckMessage>(answer.message).digest.incarnation == 101);
}

TEST_CASE("A leaving member is out at once, and says so to all") {
  Fixture fixture;
  fixture.membership.OnLeave("b", {7}, fixture.now);
  CHECK_FALSE(IsAlive(fixture.state, "b"));
  fixture.effects.clear();
  fixture.membership.Leave(fixture.effects);
  CHECK(fixture.effects.size() == 2);
  CHECK_FALSE(IsAlive(fixture.state, "a"));
}

TEST_CASE("A member that is no longer listed is forgotten; a dead one that answers is back") {
  Fixture fixture;
  fixture.Silence(seconds(30));
  fixture.Alive("b", 8);
  CHECK(IsAlive(fixture.state, "b"));
  fixture.membership.UpdateListed(Listed({"a", "c"}), fixture.now);
  CHECK_FALSE(fixture.state.members.contains("b"));
}

}  // namespace
}  // namespace moorfold
