// Tests for requests with tenant keys: authentication, attribution to the tenant and revoked keys.

#include <catch2/catch.hpp>

#include "../gateway/pipeline_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string Ok(const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\n" + headers +
         "Content-Length: 1\r\n\r\nx";
}

Tenant MakeTenant(const std::string& name, const std::string& key) {
  Tenant tenant;
  tenant.name = name;
  tenant.keys = {DigestOfKey(key)};
  return tenant;
}

std::string WithKey(const std::string& key) { return "Authorization: Bearer " + key + "\r\n"; }

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct Fixture {
  Fixture()
      : server([this](ScriptedConnection& connection) {
          for (std::string head = connection.ReadHead(); !head.empty();
               head = connection.ReadHead()) {
            received_head = head;
            ++requests;
            connection.Write(Ok());
          }
        }) {
    gateway.AddServer("i-1", server.endpoint());
  }
  void Configure(std::vector<Tenant> tenants, bool open = false) {
    Route route = PipelineFixture::MakeRoute(RouteType::kRepeatable);
    route.open = open;
    gateway.SetRoutesAndTenants({route}, std::move(tenants));
  }
  std::string SendRequest(const std::string& headers = "", const std::string& path = "/p/x") {
    return gateway.Exchange(PipelineFixture::Request(path, headers));
  }

  PipelineFixture gateway;
  std::string received_head;
  std::atomic<int> requests{0};
  ScriptedServer server;
};

TEST_CASE("A request with a known key runs under its tenant, and the key is not forwarded") {
  Fixture fixture;
  fixture.Configure({MakeTenant("north", "k1"), MakeTenant("south", "k2")});
  CHECK(PipelineFixture::Status(fixture.SendRequest(WithKey("k2") + "X-Tenant: north\r\n")) == 200);
  CHECK(Has(fixture.received_head, "X-Tenant: south\r\n"));
  CHECK_FALSE(Has(fixture.received_head, "north"));
  CHECK_FALSE(Has(fixture.received_head, "k2"));
}

TEST_CASE("Requests without a key of the configuration in force are not executed") {
  Fixture fixture;
  fixture.Configure({MakeTenant("north", "k1")});
  struct Case {
    std::string headers;
    const char* reason;
  };
  const std::vector<Case> cases = {{"", "key_missing"},
                                   {WithKey("k9"), "key_unknown"},
                                   {WithKey("k1") + WithKey("k1"), "key_unreadable"},
                                   {"Authorization: Basic k1\r\n", "key_unreadable"},
                                   {"X-Tenant: north\r\n", "key_missing"}};
  for (const Case& each : cases) {
    INFO(each.headers);
    const std::string answer = fixture.SendRequest(each.headers);
    CHECK(PipelineFixture::Status(answer) == 401);
    CHECK(Has(answer, each.reason));
    CHECK(Has(answer, "WWW-Authenticate: Bearer\r\n"));
    CHECK(Has(answer, "\"executed\":\"no\""));
  }
  const std::string in_url = fixture.SendRequest("", "/p/x?api_key=k1");
  CHECK(PipelineFixture::Status(in_url) == 401);
  CHECK(Has(in_url, "keys in URLs are not read"));
  CHECK(fixture.requests == 0);
}

TEST_CASE("Public routes, and configurations without tenants, need no key") {
  Fixture fixture;
  fixture.Configure({MakeTenant("north", "k1")}, true);
  CHECK(PipelineFixture::Status(fixture.SendRequest()) == 200);
  CHECK_FALSE(Has(fixture.received_head, "X-Tenant"));
  fixture.Configure({});
  CHECK(PipelineFixture::Status(fixture.SendRequest(WithKey("own"))) == 200);
  CHECK(Has(fixture.received_head,
            "Authorization: Bearer own"));  // Not a tenant's key, so it is forwarded.
}

TEST_CASE(
    "A daemon with a possibly old configuration refuses unknown keys only for now and serves known "
    "ones") {
  Fixture fixture;
  fixture.Configure({MakeTenant("north", "k1")});
  fixture.gateway.OnThread(
      [&] { fixture.gateway.view().configuration_current_at = BootClock::now() - seconds(60); });
  const std::string unknown = fixture.SendRequest(WithKey("new"));
  CHECK(PipelineFixture::Status(unknown) == 503);
  CHECK(Has(unknown, "Retry-After"));
  CHECK(PipelineFixture::Status(fixture.SendRequest()) == 503);
  CHECK(PipelineFixture::Status(fixture.SendRequest(WithKey("k1"))) == 200);
}

TEST_CASE("A tenant's priority overrides its route's") {
  Fixture fixture;
  Route route = PipelineFixture::MakeRoute(RouteType::kRepeatable);
  route.priority = 4;
  Tenant urgent = MakeTenant("urgent", "k1");
  urgent.priority = 1;
  fixture.gateway.SetRoutesAndTenants({route}, {urgent, MakeTenant("plain", "k2")}, true);
  fixture.gateway.AddServer("i-1", fixture.server.endpoint(), {{"m", {}}});
  fixture.SendRequest(WithKey("k1") + "X-Model: m\r\n");
  CHECK(Has(fixture.received_head, "X-Request-Priority: 1\r\n"));
  fixture.SendRequest(WithKey("k2") + "X-Model: m\r\n");
  CHECK(Has(fixture.received_head, "X-Request-Priority: 4\r\n"));
}

TEST_CASE("A waiting request is not sent after its key is revoked") {
  Fixture fixture;
  Route route = PipelineFixture::MakeRoute(RouteType::kRepeatable);
  route.target = seconds(2);
  fixture.gateway.SetRoutesAndTenants({route}, {MakeTenant("north", "k1")});
  fixture.gateway.OnThread([&] { fixture.gateway.view().servers.Remove("i-1"); });
  std::string answer;
  std::thread caller([&] { answer = fixture.SendRequest(WithKey("k1")); });
  std::this_thread::sleep_for(milliseconds(100));
  fixture.gateway.SetRoutesAndTenants({route}, {MakeTenant("north", "k2")});
  fixture.gateway.AddServer("i-1", fixture.server.endpoint());
  caller.join();
  CHECK(PipelineFixture::Status(answer) == 401);
  CHECK(Has(answer, "key_gone"));
  CHECK(fixture.requests == 0);
}

TEST_CASE("A request already at a server completes after its key is revoked") {
  PipelineFixture gateway;
  std::promise<void> arrived;
  std::promise<void> continue_signal;
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    arrived.set_value();
    continue_signal.get_future().wait();
    connection.Write(Ok());
  });
  const Route route = PipelineFixture::MakeRoute(RouteType::kAtMostOnce);
  gateway.SetRoutesAndTenants({route}, {MakeTenant("north", "k1")});
  gateway.AddServer("i-1", server.endpoint());
  std::string answer;
  std::thread caller(
      [&] { answer = gateway.Exchange(PipelineFixture::Request("/p/x", WithKey("k1"))); });
  arrived.get_future().wait();
  gateway.SetRoutesAndTenants({route}, {MakeTenant("north", "k2")});
  continue_signal.set_value();
  caller.join();
  CHECK(PipelineFixture::Status(answer) == 200);
}

/// Refuses requests to /p/bad, and serves all others.
ScriptedServer::Script RefuseBad(std::atomic<int>& refused) {
  return [&refused](ScriptedConnection& connection) {
    for (std::string head = connection.ReadHead(); !head.empty(); head = connection.ReadHead()) {
      const bool bad = Has(head, "/p/bad");
      refused += bad ? 1 : 0;
      connection.Write(bad ? "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nX-Server-Load: 0,0,4\r\n"
                             "X-Request-Id: one\r\nContent-Length: 0\r\n\r\n"
                           : Ok("X-Server-Load: 0,0,4\r\n"));
    }
  };
}

TEST_CASE("A request that servers with free capacity refuse does not affect other requests") {
  PipelineFixture gateway;
  gateway.SetRetryGrants(50);
  std::atomic<int> refused{0};
  ScriptedServer first(RefuseBad(refused));
  ScriptedServer second(RefuseBad(refused));
  gateway.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)}, true);
  gateway.AddServer("i-1", first.endpoint(), {{"m", {}}});
  gateway.AddServer("i-2", second.endpoint(), {{"m", {}}});
  for (int round = 0; round < 5; ++round) {
    const std::string bad = gateway.Exchange(PipelineFixture::Request("/p/bad", "X-Model: m\r\n"));
    CHECK(PipelineFixture::Status(bad) == 503);
    CHECK(Has(bad, "refused_by_servers"));
    CHECK(Has(bad, "\"executed\":\"no\""));
    const auto began = BootClock::now();
    const std::string good =
        gateway.Exchange(PipelineFixture::Request("/p/good", "X-Model: m\r\n"));
    CHECK(PipelineFixture::Status(good) == 200);
    CHECK(BootClock::now() - began < milliseconds(200));
  }
  CHECK(refused == 10);  // At most two servers are tried for each request.
}

TEST_CASE("A server that refuses a request is not tried again for it soon; another one serves it") {
  PipelineFixture gateway;
  gateway.SetRetryGrants(50);
  std::atomic<int> refused{0};
  std::atomic<int> served{0};
  ScriptedServer first(RefuseBad(refused));
  ScriptedServer second([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      ++served;
      connection.Write(Ok());
    }
  });
  gateway.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)}, true);
  gateway.AddServer("i-1", first.endpoint(), {{"m", {}}});
  gateway.AddServer("i-2", second.endpoint(), {{"m", {}}});
  for (int round = 0; round < 4; ++round)
    CHECK(PipelineFixture::Status(
              gateway.Exchange(PipelineFixture::Request("/p/bad", "X-Model: m\r\n"))) == 200);
  CHECK(served == 4);
}

}  // namespace
}  // namespace moorfold
