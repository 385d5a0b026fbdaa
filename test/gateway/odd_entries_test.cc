// Other writers of the store leave odd entries; whole gateways go on following the others.

#include <limits>

#include "common/log_event.h"
#include "fleet/fleet_messages.h"
#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

std::string Nested(std::size_t depth) { return std::string(depth, '['); }

std::string Entry(const std::string& fields) {
  return R"({"service":"other","zone":"z","version":"v1","state":"ready","slots":4,)"
         R"("address":"127.0.0.1:1","models":[],)" +
         fields + "}";
}

std::vector<std::string> OddServerEntries() {
  std::string models = R"("models":[{"name":"m"})";
  for (int model = 0; model < 100'000; ++model) models += R"(,{"name":"m"})";
  return {"",
          "{",
          "null",
          std::string(3, '\0'),
          Nested(20'000),
          Nested(20'000) + std::string(20'000, ']'),
          Entry(R"("models":)" + Nested(20'000)),
          Entry(R"("x":)" + Nested(500) + std::string(500, ']')),
          Entry(R"("address":"127.0.0.1:70000")"),
          Entry(R"("address":"127.0.0.1:0")"),
          Entry(R"("address":"127.0.0.1:-1")"),
          Entry(R"("address":"")"),
          Entry(R"("address":"no.such.host:80")"),
          Entry(R"("address":"::1:80")"),
          Entry(R"("address":7)"),
          Entry(R"("slots":1e300)"),
          Entry(R"("slots":-1)"),
          Entry(R"("slots":18446744073709551616)"),
          Entry(R"("slots":4294967295)"),
          Entry(R"("born":1e400)"),
          Entry(R"("born":9223372036854775807)"),
          Entry(R"("born":-9223372036854775808)"),
          Entry(R"("service":"")"),
          Entry(R"("service":"\u0000\n\" x=y")"),
          Entry("\"service\":\"\xff\xfe\""),
          Entry(R"("version":")" + std::string(1'000'000, 'v') + "\""),
          Entry(R"("models":[7])"),
          Entry(R"("models":{})"),
          Entry(R"("available":{"resident":{}})"),
          Entry(models + "]")};
}

HttpRequest SafeRequest(Deployment& deployment, const std::string& id) {
  deployment.platform.checker().Sent(id, RequestKind::kRepeatable);
  return {"GET",
          "/safe/x",
          {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}},
          ""};
}

/// Replaces every server, so that only a gateway that follows the new ones serves.
void CheckFollowsServersThatJoin(Deployment& deployment) {
  const std::size_t servers = deployment.platform.servers().size();
  for (std::size_t server = 0; server < servers; ++server)
    deployment.platform.ReplaceServer(server);
  for (std::size_t number = 0; number < deployment.gateways.size(); ++number) {
    INFO("gateway " << number);
    int attempt = 0;
    const auto give_up = BootClock::now() + std::chrono::seconds(15);
    bool served = false;
    while (!served && BootClock::now() < give_up) {
      const std::string id = "r-" + std::to_string(number) + "-" + std::to_string(++attempt);
      served = deployment.Send(static_cast<int>(number), SafeRequest(deployment, id)).status == 200;
    }
    CHECK(served);
  }
}

void PutAll(Deployment& deployment, std::vector<std::pair<std::string, std::string>> entries) {
  for (const auto& [key, value] : entries) {
    deployment.platform.store().Put(key, value);
    deployment.RunFor(milliseconds(30));
  }
}

TEST_CASE("Odd entries among those of the servers cost only themselves") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  std::vector<std::pair<std::string, std::string>> entries;
  for (const std::string& value : OddServerEntries())
    entries.emplace_back("servers/odd-" + std::to_string(entries.size()), value);
  PutAll(deployment, entries);
  CheckFollowsServersThatJoin(deployment);
  for (const auto& each : deployment.gateways) CHECK(each->gateway.metrics().entries_skipped > 10);
}

}  // namespace
}  // namespace moorfold
