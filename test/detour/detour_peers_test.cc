#include "detour/detour_peers.h"

#include <catch2/catch.hpp>

#include "detour/detour_grants.h"

namespace moorfold::detour {
namespace {

using std::chrono::milliseconds;

const DetourPeers::Time kNow{std::chrono::seconds(100)};

DetourOffer MakeOffer(std::uint32_t active, std::vector<std::string> server_ids = {}) {
  DetourOffer offer;
  offer.accepts = true;
  offer.token = 7;
  offer.port = 9'000;
  offer.active = active;
  offer.server_ids = std::move(server_ids);
  return offer;
}

TEST_CASE("Requests are spread over the daemons that offer a detour") {
  DetourPeers peers;
  peers.Note("10.0.0.1:7001", MakeOffer(2), kNow);
  peers.Note("10.0.0.2:7001", MakeOffer(0), kNow);
  int second = 0;
  for (int request = 0; request < 10; ++request)
    second += peers.Choose({}, kNow)->peer == "10.0.0.2:7001" ? 1 : 0;
  CHECK(second == 6);
}

TEST_CASE("No request goes to a daemon that declined, whose offer is old, or that just failed") {
  DetourPeers peers;
  peers.Note("10.0.0.1:7001", DetourOffer{}, kNow);
  CHECK_FALSE(peers.Choose({}, kNow));
  peers.Note("10.0.0.2:7001", MakeOffer(0), kNow);
  CHECK_FALSE(peers.Choose({{}, {"10.0.0.2:7001"}}, kNow));
  CHECK(peers.Choose({}, kNow)->endpoint == Endpoint{"10.0.0.2", 9'000});
  CHECK_FALSE(peers.Choose({}, kNow + milliseconds(1'501)));
}

TEST_CASE("A request for certain servers goes only to a daemon that reaches one of them") {
  DetourPeers peers;
  peers.Note("10.0.0.1:7001", MakeOffer(0, {"i-1"}), kNow);
  peers.Note("10.0.0.2:7001", MakeOffer(5, {"i-2", "i-3"}), kNow);
  CHECK(peers.Choose({{"i-3", "i-4"}, {}}, kNow)->peer == "10.0.0.2:7001");
  CHECK_FALSE(peers.Choose({{"i-4"}, {}}, kNow));
}

TEST_CASE("A forwarded request is taken only from the address and with the token of an offer") {
  DetourGrants grants;
  const std::uint64_t token = grants.Grant("10.0.0.1:7001", 42, kNow);
  CHECK(token == 42);
  CHECK(grants.Allows(token, "10.0.0.1", kNow));
  CHECK_FALSE(grants.Allows(token, "10.0.0.2", kNow));
  CHECK_FALSE(grants.Allows(token, "10.0.0", kNow));
  CHECK_FALSE(grants.Allows(token + 1, "10.0.0.1", kNow));
  CHECK_FALSE(grants.Allows(0, "10.0.0.1", kNow));
  CHECK_FALSE(grants.Allows(token, "10.0.0.1", kNow + milliseconds(10'001)));
}

TEST_CASE("A renewed offer keeps its token, so that requests in flight are taken") {
  DetourGrants grants;
  grants.Grant("10.0.0.1:7001", 42, kNow);
  CHECK(grants.Grant("10.0.0.1:7001", 43, kNow + milliseconds(9'000)) == 42);
  CHECK(grants.Allows(42, "10.0.0.1", kNow + milliseconds(18'000)));
}

}  // namespace
}  // namespace moorfold::detour
