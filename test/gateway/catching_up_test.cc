// Checks over sockets that a daemon that has fallen behind the store catches up, with the
// production view and store client, the emulated store and a link of 10 Mbit/s. Configurations
// change throughout.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>

#include "common/boot_clock.h"
#include "fault_proxy.h"
#include "gateway/store_view.h"
#include "protocol.h"
#include "store_client.h"
#include "store_emulator.h"
#include "store_revisions.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// As in the incident in which this was observed (docs/incidents/jazda-inc1-drain.md).
constexpr double kLinkBytesPerSecond = 1'250'000;
constexpr milliseconds kConfigurationEvery{150};
constexpr std::size_t kConfigurationBytes = 42'000;
constexpr milliseconds kStalenessBound{3'000};
constexpr follow::Settings kSettings{milliseconds(1'650), milliseconds(300), milliseconds(1'050)};

std::string ConfigurationText(int version) {
  std::string text = R"({"version":)" + std::to_string(version) + R"(,"services":[],"routes":[)";
  for (int route = 0; text.size() < kConfigurationBytes; ++route) {
    if (route > 0) text += ',';
    text += R"({"name":"route-)" + std::to_string(route) +
            R"(","host":"a.example","pathPrefix":"/)" + std::to_string(route) +
            R"(/","type":"safe","timeoutMs":1000,"service":"s"})";
  }
  return text + "]}";
}

/// A daemon behind a link that can be interrupted or slowed down.
struct DaemonBehindLink {
  DaemonBehindLink(boost::asio::io_context& io, StoreEmulator& emulator)
      : link(io, emulator.endpoint()),
        client(io, link.endpoint(), {}),
        log(-1, {}),
        view(io.get_executor()),
        store_view(io, client, protocol, view, metrics, log, kSettings) {
    link.SetBytesPerSecond(kLinkBytesPerSecond);
    link.Start();
  }
  void Start() {
    store_view.Start(
        "moorfold/leader", [](const std::optional<KeyValue>&, StoreRevision) {},
        [](const RoutingConfiguration&) {});
  }
  std::int64_t Version() const { return view.routes ? view.routes->configuration().version : -1; }
  bool DrainingOrGone(const std::string& id) const {
    const ServerPtr server = view.servers.Find(id);
    return server == nullptr || server->record().draining;
  }

  FaultProxy link;
  platform::StoreClient client;
  EventLog log;
  platform::Protocol protocol;
  GatewayMetrics metrics;
  FleetView view;
  StoreView store_view;
};

struct CatchingUpFixture {
  CatchingUpFixture() : store(context, 1), daemon(context, store) {
    store.Start();
    PutServer("i-1", "ready");
    boost::asio::co_spawn(context, ChangeConfigurations(), boost::asio::detached);
    daemon.Start();
  }
  void PutServer(const std::string& id, const std::string& state) {
    store.Put("servers/" + id,
              R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","state":")" +
                  state + R"(","slots":4})");
  }
  Awaitable<void> ChangeConfigurations() {
    while (true) {
      store.Put("op/config", ConfigurationText(++version));
      co_await Sleep(kConfigurationEvery);
    }
  }
  bool RunUntil(const std::function<bool()>& condition, milliseconds timeout) {
    const auto deadline = BootClock::now() + timeout;
    while (!condition() && BootClock::now() < deadline) context.run_one_for(milliseconds(5));
    return condition();
  }
  void RunFor(milliseconds time) {
    RunUntil([] { return false; }, time);
  }

  boost::asio::io_context context{1};
  StoreEmulator store;
  int version = 0;
  DaemonBehindLink daemon;
};

TEST_CASE("A daemon that was disconnected catches up while configurations keep changing") {
  CatchingUpFixture fixture;
  REQUIRE(fixture.RunUntil([&] { return fixture.daemon.Version() > 0; }, milliseconds(5'000)));
  fixture.RunFor(milliseconds(2'000));
  CHECK(fixture.version - fixture.daemon.Version() <= kStalenessBound / kConfigurationEvery);
  const milliseconds outage = GENERATE(milliseconds(500), milliseconds(4'000), milliseconds(9'000));
  INFO("disconnected for " << outage.count() << " ms");
  fixture.daemon.link.SetMode(ProxyMode::kRefuse);
  fixture.RunFor(outage);
  fixture.daemon.link.SetMode(ProxyMode::kPass);
  fixture.PutServer("i-1", "draining");
  const int version_at_drain = fixture.version;
  CHECK(fixture.RunUntil([&] { return fixture.daemon.DrainingOrGone("i-1"); }, kStalenessBound));
  CHECK(fixture.RunUntil([&] { return fixture.daemon.Version() >= version_at_drain; },
                         milliseconds(500)));
}

TEST_CASE("A response that keeps arriving is read to its end however slow the link is") {
  CatchingUpFixture fixture;
  // A listing takes two seconds on this link, twice the time within which a response must begin.
  fixture.daemon.link.SetBytesPerSecond(kConfigurationBytes * 4.0 / 3 / 2);
  CHECK(fixture.RunUntil([&] { return fixture.daemon.Version() > 0; }, milliseconds(6'000)));
}

TEST_CASE("A store connection that goes silent delays updates by one timeout only") {
  CatchingUpFixture fixture;
  REQUIRE(fixture.RunUntil([&] { return fixture.daemon.Version() > 0; }, milliseconds(5'000)));
  int read = 0;  // Concurrent reads, so that several idle connections remain.
  for (int connection = 0; connection < 3; ++connection)
    fixture.daemon.client.Range({"servers/i-1", ""}, [&](const Outcome<RangeResult>&) { ++read; });
  REQUIRE(fixture.RunUntil([&] { return read == 3; }, milliseconds(5'000)));
  fixture.RunFor(milliseconds(2'000));
  fixture.daemon.link.SilenceStanding();
  fixture.PutServer("i-1", "draining");
  // The interval between two reads, one call's timeout, the delay before the next read, and that
  // read.
  const milliseconds bound(1'650 + 1'000 + 100 + 200);
  CHECK(fixture.RunUntil([&] { return fixture.daemon.DrainingOrGone("i-1"); }, bound));
}

TEST_CASE("A newer configuration does not delay relayed changes of servers") {
  using namespace follow;
  const Time start{std::chrono::hours(1)};
  State state = Reduce(kSettings, {}, ReadBegun{ReadKind::kListing}, start).state;
  state = Reduce(kSettings, state, ReadEnded{At(7)}, start + milliseconds(30)).state;
  Relayed answer;
  answer.from_revision = At(7);
  answer.to_revision = At(12);
  answer.newer_configuration = true;
  answer.current_at = start + milliseconds(900);
  const Decision decision = Reduce(kSettings, state, answer, start + milliseconds(1'000));
  CHECK(decision.apply);
  CHECK(decision.state.revision == At(12));
  // The configuration must still be read soon.
  CHECK(NextRead(kSettings, decision.state) <= start + milliseconds(1'100));
}

}  // namespace
}  // namespace moorfold
