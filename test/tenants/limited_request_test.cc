// Tests for requests of limited tenants: admission, waiting and refusal.

#include <catch2/catch.hpp>

#include "../gateway/pipeline_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kOk =
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\nContent-Length: 1\r\n\r\nx";
const std::string kFull =
    "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Request-Id: one\r\nContent-Length: 0\r\n\r\n";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Tenant MakeTenant(const std::string& name, const std::string& key, QuotaLimit limit) {
  return {name, {}, limit, {DigestOfKey(key)}};
}

/// The only gateway of a fleet, in front of one server.
struct Fixture {
  explicit Fixture(QuotaLimit limit, std::string answer = kOk,
                   milliseconds target = milliseconds(0))
      : server([this, answer](ScriptedConnection& connection) {
          while (!connection.ReadHead().empty()) {
            ++requests;
            connection.Write(answer);
          }
        }) {
    Route route = PipelineFixture::MakeRoute(RouteType::kAtMostOnce);
    route.target = target;
    gateway.SetRoutesAndTenants({route}, {MakeTenant("t", "k", limit), MakeTenant("u", "l", {})});
    gateway.AddServer("i-1", server.endpoint());
  }
  void Share(CreditSharing sharing) {
    gateway.OnThread([&] { gateway.quota().SetSharing(sharing); });
  }
  std::string SendRequest(const std::string& headers = "", const std::string& key = "k") {
    return gateway.Exchange(
        PipelineFixture::Request("/p/x", "Authorization: Bearer " + key + "\r\n" + headers));
  }

  PipelineFixture gateway;
  std::atomic<int> requests{0};
  ScriptedServer server;
};

TEST_CASE("A tenant over its limit is refused with a retry time; other tenants are not affected") {
  Fixture fixture({QuotaUnit::kRequests, 2, 2, 0});
  fixture.Share({1, {"self"}});
  std::this_thread::sleep_for(milliseconds(1'400));
  int served = 0;
  std::string refused;
  for (int request = 0; request < 8; ++request) {
    const std::string answer = fixture.SendRequest();
    if (PipelineFixture::Status(answer) == 200)
      ++served;
    else
      refused = answer;
  }
  CHECK(served >= 1);
  CHECK(served <= 4);
  CHECK(PipelineFixture::Status(refused) == 429);
  CHECK(Has(refused, "over_quota"));
  CHECK(Has(refused, "Retry-After: "));
  CHECK(Has(refused, "\"executed\":\"no\""));
  CHECK(fixture.requests == served);
  CHECK(PipelineFixture::Status(fixture.SendRequest("", "l")) == 200);
}

TEST_CASE("A request waits if enough credit is expected soon") {
  Fixture fixture({QuotaUnit::kRequests, 5, 5, 0}, kOk, seconds(2));
  fixture.Share({1, {"self"}});
  const auto began = BootClock::now();
  CHECK(PipelineFixture::Status(fixture.SendRequest()) == 200);
  CHECK(BootClock::now() - began > milliseconds(100));
  CHECK(BootClock::now() - began < milliseconds(1'000));
}

TEST_CASE("Stated tokens are counted, and a request with a malformed count is not executed") {
  Fixture fixture({QuotaUnit::kTokens, 1'000, 1'000, 100});
  fixture.Share({1, {"self"}});
  for (const char* bad : {"X-Token-Usage: many\r\n", "X-Token-Usage: -5,1\r\n",
                          "X-Token-Usage: 99999999999999999999,1\r\n",
                          "X-Token-Usage: 1,1\r\nx-token-usage: 1,1\r\n"}) {
    const std::string answer = fixture.SendRequest(bad);
    CHECK(PipelineFixture::Status(answer) == 400);
    CHECK(Has(answer, "tokens_unreadable"));
  }
  CHECK(fixture.requests == 0);
  const std::string too_large = fixture.SendRequest("X-Token-Usage: 9000,9000\r\n");
  CHECK(PipelineFixture::Status(too_large) == 429);
  CHECK_FALSE(Has(too_large, "Retry-After"));
  std::this_thread::sleep_for(milliseconds(1'200));
  CHECK(PipelineFixture::Status(fixture.SendRequest("X-Token-Usage: 600,200\r\n")) == 200);
  CHECK(PipelineFixture::Status(fixture.SendRequest("X-Token-Usage: 600,200\r\n")) == 429);
}

TEST_CASE(
    "Requests are refused with the unknown-quota reason if no daemon knows the remaining credit") {
  Fixture fixture({QuotaUnit::kRequests, 5, 5, 0});
  const std::string answer = fixture.SendRequest();
  CHECK(PipelineFixture::Status(answer) == 503);
  CHECK(Has(answer, "quota_unknown"));
  CHECK(Has(answer, "Retry-After: "));
  CHECK(fixture.requests == 0);
}

TEST_CASE("A pool that does not answer delays a request only briefly") {
  Fixture fixture({QuotaUnit::kRequests, 5, 5, 0});
  fixture.Share({1'000, {"10.255.255.1:1"}});
  const auto began = BootClock::now();
  CHECK(PipelineFixture::Status(fixture.SendRequest()) == 503);
  CHECK(BootClock::now() - began < milliseconds(1'000));
}

TEST_CASE("A request that was not executed uses none of its tenant's limit") {
  Fixture fixture({QuotaUnit::kRequests, 1, 1, 0}, kFull);
  fixture.Share({1, {"self"}});
  std::this_thread::sleep_for(milliseconds(1'100));
  for (int request = 0; request < 3; ++request) {
    const std::string answer = fixture.SendRequest();
    CHECK(PipelineFixture::Status(answer) == 503);
    CHECK_FALSE(Has(answer, "over_quota"));
  }
}

}  // namespace
}  // namespace moorfold
