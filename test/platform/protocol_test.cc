#include "protocol.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;

const platform::Protocol kProtocol;

TEST_CASE("ParseConfiguration reads every field that the gateway uses") {
  const RoutingConfiguration configuration = kProtocol.ParseConfiguration(R"({"version":7,
    "routes":[{"name":"r","host":"h","pathPrefix":"/p/","type":"stream","timeoutMs":5000,
      "targetMs":800,"priority":1,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],
      "attempts":2,"resumable":true,"gapTargetMs":400},
      {"name":"q","host":"h","pathPrefix":"/q/","type":"unsafe","service":"t"}],
    "services":[{"name":"s","maxConns":360,"engine":{"slots":64,"kvCapacity":1000,
      "models":[{"name":"m","weightsMb":42.5,"loadS":1.3,"warmS":0.44,"diskLoadS":0.57,
      "adapters":2,"adapterMb":66}],"weightsMb":200,"adapterSlots":8,"loadsPerS":4}}],
    "limits":{"maxHeaderBytes":100,"idleTimeoutMs":9000},"unknown":[1]})");
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 2);
  CHECK(configuration.routes[0].type == RouteType::kStream);
  CHECK(configuration.routes[0].services[1].weight == 10);
  CHECK(configuration.routes[0].resumable);
  CHECK(configuration.routes[1].type == RouteType::kAtMostOnce);
  CHECK(configuration.routes[1].services[0].service == "t");
  CHECK(configuration.routes[1].attempts == 1);
  const ServiceDescription* service = configuration.FindService("s");
  REQUIRE(service != nullptr);
  REQUIRE(service->engine.has_value());
  CHECK(service->engine->models[0].warm_load_time == milliseconds(440));
  CHECK(configuration.limits.header_bytes == 100);
  CHECK(configuration.limits.idle_timeout == milliseconds(9000));
  CHECK(configuration.FindService("x") == nullptr);
}

TEST_CASE("An unknown route type is treated as at-most-once") {
  const RoutingConfiguration configuration = kProtocol.ParseConfiguration(
      R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","type":"keyed"}]})");
  CHECK(configuration.routes[0].type == RouteType::kAtMostOnce);
}

TEST_CASE("Malformed configurations, server records and reports are rejected") {
  for (const char* bad : {"", "7", "{\"version\":\"x\"}", "{\"routes\":{}}", "{\"routes\":[7]}",
                          "{\"version\":1,\"services\":[{\"name\":3}]}"}) {
    CAPTURE(bad);
    CHECK_THROWS(kProtocol.ParseConfiguration(bad));
  }
  for (const char* bad : {"", "{}", "{\"address\":\"x\"}", "{\"address\":\"1.2.3.4:99999\"}"}) {
    CAPTURE(bad);
    CHECK_THROWS(kProtocol.ParseServer("i", bad));
  }
  CHECK_THROWS(kProtocol.ParseReport("[]"));
}

TEST_CASE("A server record whose address is a host name is rejected") {
  const auto record = [](const std::string& address) {
    return R"({"service":"s","zone":"z","address":")" + address +
           R"(","version":"v1","slots":4,"state":"ready"})";
  };
  CHECK(kProtocol.ParseServer("i", record("10.0.0.9:80")).endpoint.port == 80);
  for (const char* address : {"host.example:80", "localhost:80", ":80", "10.0.0:80x", "10.0.0.9"}) {
    CAPTURE(address);
    CHECK_THROWS(kProtocol.ParseServer("i", record(address)));
  }
}

TEST_CASE("Out-of-range numbers are rejected instead of being converted") {
  for (const char* bad :
       {R"({"version":1e300})", R"({"version":1.5})", R"({"version":1,"routes":[{"attempts":-1}]})",
        R"({"version":1,"routes":[{"attempts":4294967296}]})",
        R"({"version":1,"routes":[{"timeoutMs":1e300}]})",
        R"({"version":1,"services":[{"name":"s","maxConns":1e20}]})",
        R"({"version":1,"limits":{"maxBodyBytes":-5}})"}) {
    CAPTURE(bad);
    CHECK_THROWS(kProtocol.ParseConfiguration(bad));
  }
  CHECK_THROWS(kProtocol.ParseReport(R"({"seq":1e300})"));
  CHECK_THROWS(kProtocol.ParseReport(R"({"born":-1})"));
}

TEST_CASE("Server records and reports are parsed with their models and copies") {
  const ServerRecord record = kProtocol.ParseServer("i-1", R"({"service":"s","zone":"z",
    "address":"10.0.0.9:8080","version":"v1","slots":64,"state":"draining","models":[{"name":"m","version":1,
    "adapters":["a1"]}],"available":{"resident":["m"],"onDisk":["m","n"]},"seq":4,"born":1790000000000})");
  CHECK(record.incarnation == 1'790'000'000'000);
  CHECK(record.id == "i-1");
  CHECK(record.endpoint == Endpoint{"10.0.0.9", 8080});
  CHECK(record.draining);
  CHECK(record.models[0].HasAdapter("a1"));
  CHECK(record.on_disk.size() == 2);
  const ServerStatus status = kProtocol.ParseReport(
      R"({"models":[{"name":"m","adapters":[]}],"busy":true,"seq":2,"born":1790000000001,"incoming":["m/a3@1"]})");
  CHECK(status.incarnation == 1'790'000'000'001);
  CHECK(status.busy);
  CHECK(status.order_count == 2);
  REQUIRE(status.incoming.size() == 1);
  CHECK(status.incoming[0].HasAdapter("a3"));
}

TEST_CASE("An order carries the incarnation, order count, holder and fencing token") {
  const HttpRequest request =
      kProtocol.MakeOrder({ServerOrderKind::kUnload, "m", "a3", "i-1", 2, "node-7", 41});
  CHECK(FindHeader(request.headers, "X-Expect-Instance") == "i-1");
  for (const char* part : {R"("operation":"unload")", R"("model":"m")", R"("adapter":"a3")",
                           R"("prevRevision":2)", R"("holder":"node-7")", R"("fencingToken":41)"})
    CHECK(request.body.find(part) != std::string::npos);
  CHECK(kProtocol.ReadOrderAnswer(202) == ServerOrderOutcome::kInProgress);
  CHECK(kProtocol.ReadOrderAnswer(200) == ServerOrderOutcome::kAlreadyDone);
  CHECK(kProtocol.ReadOrderAnswer(409) == ServerOrderOutcome::kConflict);
  CHECK(kProtocol.ReadOrderAnswer(421) == ServerOrderOutcome::kOtherIncarnation);
  CHECK(kProtocol.ReadOrderAnswer(400) == ServerOrderOutcome::kRejected);
}

TEST_CASE("Server statements in response headers are parsed, and invalid values are ignored") {
  const auto read = [](HttpHeaders headers, unsigned status = 200) {
    return kProtocol.ReadStatement(headers, status);
  };
  CHECK_FALSE(read({}).leaving);
  CHECK(read({{"server-leaving", "1"}}).leaving);
  CHECK_FALSE(read({{"Server-Leaving", "0"}}).leaving);
  CHECK(read({{"Server-Limit", "0.5"}}).limit_per_second == 0.5);
  CHECK(read({{"Server-Limit", "0"}}).limit_per_second == 0.0);
  for (const char* text : {"", "-1", "nan", "inf", "1e999", "2 a second", "0x1"})
    CHECK_FALSE(read({{"Server-Limit", text}}).limit_per_second.has_value());
  CHECK(read({{"Retry-After", "1.5"}}, 503).pause == milliseconds(1'500));
  CHECK(read({{"Retry-After", "1.5"}}, 200).pause == milliseconds(0));
  CHECK(read({{"Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT"}}, 503).pause == milliseconds(0));
  CHECK(read({{"Retry-After", "1e300"}}, 503).pause == milliseconds(60'000));
}

}  // namespace
}  // namespace moorfold
