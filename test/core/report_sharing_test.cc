#include "core/reports/report_sharing.h"

#include <catch2/catch.hpp>
#include <deque>

#include "core/reducer.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MebiBytes kServerMemory = 1000;
constexpr int kServers = 6;
constexpr int kMoreServers = 12;

Machine MakeMachine(const std::string& name, MachineKind kind) {
  Machine machine;
  machine.name = name;
  machine.zone = "z";
  machine.kind = kind;
  return machine;
}

/// Two daemons of a zone whose servers' states never change; messages arrive at once or are lost.
class TwoDaemons {
 public:
  void Start(const DaemonName& name) {
    daemons_.emplace(name, MakeState({name, "z", 100}, CoreSettings{}, now_));
    List(name, kServers);
  }
  /// The daemon reads the machine list, with so many servers.
  void List(const DaemonName& name, int servers) {
    auto machines = std::make_shared<std::vector<Machine>>();
    machines->push_back(MakeMachine("a", MachineKind::kDaemon));
    machines->push_back(MakeMachine("b", MachineKind::kDaemon));
    for (int number = 0; number < servers; ++number)
      machines->push_back(MakeMachine("s" + std::to_string(number), MachineKind::kEngine));
    Feed(name, MachineListRead{machines});
  }
  void Run(Duration length) {
    for (const Timestamp end = now_ + length; now_ < end;) {
      now_ += milliseconds(500);
      for (const DaemonName& name : Names()) Feed(name, Tick{});
    }
  }
  const State& daemon(const DaemonName& name) const { return daemons_.at(name); }

  bool lose_reports = false;

 private:
  std::vector<DaemonName> Names() const {
    std::vector<DaemonName> names;
    for (const auto& [name, state] : daemons_) names.push_back(name);
    return names;
  }
  void Feed(const DaemonName& name, EventBody body) {
    std::deque<std::pair<DaemonName, EventBody>> events;
    events.emplace_back(name, std::move(body));
    for (; !events.empty(); events.pop_front()) {
      const auto& [receiver, event] = events.front();
      for (const Effect& effect : Reduce(daemons_.at(receiver), {now_, ++random_, event})) {
        if (const auto* poll = std::get_if<PollServer>(&effect))
          events.emplace_back(receiver, ServerReported{Report(poll->server)});
        if (const auto* sent = std::get_if<SendMessage>(&effect); sent && Arrives(*sent))
          events.emplace_back(sent->to, MessageReceived{receiver, sent->message});
      }
    }
  }
  bool Arrives(const SendMessage& sent) const {
    if (!daemons_.contains(sent.to)) return false;
    return !lose_reports || !std::holds_alternative<ServerReportsMessage>(sent.message);
  }
  ServerReport Report(const ServerName& server) {
    ServerReport report;
    report.server = server;
    report.incarnation = 1;
    report.sequence = ++sequence_;
    report.memory_total = kServerMemory;
    return report;
  }

  Timestamp now_{seconds(1'000'000)};
  std::uint64_t random_ = 0;
  Revision sequence_ = 0;
  std::map<DaemonName, State> daemons_;
};

void CheckKnowsAll(const State& state) {
  CAPTURE(state.self.name);
  for (const auto& [name, server] : state.servers) {
    CAPTURE(name);
    CHECK(server.report);
    if (state.coordinator.active) CHECK(server.report_received >= state.coordinator.active_since);
  }
}

TEST_CASE("A report that comes before its receiver has heard of the server is asked for") {
  TwoDaemons zone;
  zone.Start("a");
  zone.Start("b");
  zone.Run(seconds(5));
  REQUIRE(zone.daemon("a").membership.alive.size() == 2);
  zone.List("b", kMoreServers);
  zone.Run(seconds(1));
  zone.List("a", kMoreServers);
  zone.Run(seconds(5));
  for (const char* name : {"a", "b"}) {
    REQUIRE_FALSE(zone.daemon(name).polls.empty());
    REQUIRE(zone.daemon(name).servers.size() == kMoreServers);
    CheckKnowsAll(zone.daemon(name));
  }
}

TEST_CASE("Reports that were lost on their way are asked for again") {
  TwoDaemons zone;
  zone.lose_reports = true;
  zone.Start("a");
  zone.Start("b");
  zone.Run(seconds(20));
  zone.lose_reports = false;
  zone.Run(seconds(5));
  for (const char* name : {"a", "b"}) CheckKnowsAll(zone.daemon(name));
}

TEST_CASE("A daemon that knows all servers asks for nothing") {
  TwoDaemons zone;
  zone.Start("a");
  zone.Start("b");
  zone.Run(seconds(20));
  State state = zone.daemon("a");
  const Timestamp now{seconds(1'000'030)};
  for (const Effect& effect : Reduce(state, {now, 1, Tick{}}))
    if (const auto* sent = std::get_if<SendMessage>(&effect))
      CHECK_FALSE(std::holds_alternative<ServerReportsRequest>(sent->message));
}

}  // namespace
}  // namespace moorfold
