#include "gateway/contact_monitor.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace moorfold {
namespace {

constexpr double kLinkMbps = 1;
constexpr std::size_t kMoreThanTheLinkCarries = 1'000'000;

struct ContactFixture {
  EventLog log{-1, {}};
  boost::asio::io_context context;
  FleetView view{context.get_executor()};
  GatewayMetrics metrics;
  OverloadMonitor overload{context, {kLinkMbps, 0}, metrics, log};
  ContactMonitor contact{view, overload, metrics, log};

  void FillLink() {
    overload.RequestRead(kMoreThanTheLinkCarries, false);
    overload.ConnectionAccepted();
    REQUIRE(overload.shortage() == overload::Shortage::kLink);
  }
};

TEST_CASE(
    "Attempts that are late behind this daemon's own full link are not held against servers") {
  ContactFixture fixture;
  const auto began = BootClock::now();
  fixture.FillLink();
  fixture.contact.RecordResponse();
  CHECK(fixture.contact.IsOwnDelay(began));
}

TEST_CASE("A daemon with a full link still notices that no server responds") {
  ContactFixture fixture;
  fixture.contact.RecordResponse();
  fixture.FillLink();
  const auto began = BootClock::now();
  CHECK_FALSE(fixture.contact.IsOwnDelay(began));
}

TEST_CASE("A late attempt of a daemon with room is held against the server") {
  ContactFixture fixture;
  const auto began = BootClock::now();
  fixture.contact.RecordResponse();
  CHECK_FALSE(fixture.contact.IsOwnDelay(began));
}

}  // namespace
}  // namespace moorfold
