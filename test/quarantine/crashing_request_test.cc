// Requests that crash servers, tested against complete gateways over sockets.

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

PlatformOptions ManyServers() {
  PlatformOptions options;
  options.plain_servers = 8;
  return options;
}

/// Three gateways under load, and a client that retries one request that crashes servers.
struct CrashDeployment : Deployment {
  explicit CrashDeployment(int gateway_count = 3) : Deployment(gateway_count, ManyServers()) {
    REQUIRE(RunUntil([&] { return AllReady() && Leaders() == 1; }));
    clients->Start(6);
  }
  const EndingSummary& Endings() { return platform.checker().endings(); }
  void Finish() {
    clients->Stop();
    RunUntil([&] { return clients->running() == 0; });
    platform.checker().Finish();
    CHECK(platform.checker().violations() == std::vector<std::string>{});
  }
};

TEST_CASE(
    "A request that crashes servers reaches at most three of them, whichever gateways receive it") {
  for (const RequestKind kind :
       {RequestKind::kAtMostOnce, RequestKind::kRepeatable, RequestKind::kStream}) {
    CAPTURE(static_cast<int>(kind));
    CrashDeployment deployment;
    deployment.clients->StartEnding("one", kind, milliseconds(400), 1);
    deployment.RunFor(milliseconds(9'000));
    deployment.Finish();
    CHECK(deployment.Endings().most_servers >= 1);
    CHECK(deployment.Endings().most_servers <= 3);
    CHECK(deployment.Endings().sent_when_known == 0);
    CHECK(deployment.Endings().innocents_refused == 0);
  }
}

TEST_CASE(
    "Quarantine survives a restart of all daemons, and a stored case of an unknown service is "
    "dropped") {
  // The entry as a previous leader left it. Its key precedes the configuration in each listing.
  const auto quarantined = [](const std::string& body, const std::string& service) {
    return CaseUpdate{FingerprintOf({EmulatedPlatform::kHost, "/once/x", "", body}),
                      service,
                      {{"old-1", "v1", 5}, {"old-2", "v1", 5}, {"old-3", "v1", 5}},
                      {},
                      {"v1"}};
  };
  QuarantineNotice record;
  record.cases = {quarantined("crasher", "booking"), quarantined("other", "no such service")};
  Deployment deployment(1);
  deployment.platform.store().Put("moorfold/quarantine", EncodeMessage(record));
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  const auto send = [&](const std::string& body) {
    deployment.platform.checker().Sent(body, RequestKind::kAtMostOnce);
    return deployment.Send(
        0, {"POST",
            "/once/x",
            {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", body}, {"X-Deadline-Ms", "5000"}},
            body});
  };
  CHECK(send("crasher").status == 503);
  CHECK(send("other").status == 200);
  CHECK(deployment.gateways[0]->gateway.metrics().quarantine.quarantined == 1);
  CHECK(deployment.gateways[0]->gateway.metrics().quarantine.cases_dropped == 1);
}

}  // namespace
}  // namespace moorfold
