// Tests the value of replicas and the limit of concurrent loads from the weight store.

#include "fleet/placement_value.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "fleet/load_concurrency_limit.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PlacementValue::Time kNow{seconds(1000)};
constexpr double kRequestsPerServer = 40;

ModelDescription MakeModel() {
  return {"m", 90, 5, milliseconds(6'000), milliseconds(800), milliseconds(400)};
}

ModelDemand MakeDemand(double in_flight, double usual_rate, seconds idle = seconds(0)) {
  ModelDemand demand;
  demand.in_flight = in_flight;
  demand.long_term_arrivals_per_second = usual_rate;
  demand.last_seen = kNow - idle;
  return demand;
}

TEST_CASE("The last replica is worth more the more often its model is requested") {
  const PlacementValue value(kRequestsPerServer, kNow);
  const double rare = value.RemovalLoss(MakeModel(), MakeDemand(0, 0.1), 1);
  const double usual = value.RemovalLoss(MakeModel(), MakeDemand(0, 1), 1);
  CHECK(rare > 0);
  CHECK(usual > 5 * rare);
  CHECK(value.RemovalLoss(MakeModel(), MakeDemand(0, 0.1), 2) < rare);
}

TEST_CASE("A model without recent requests is worth little, however busy it was") {
  const PlacementValue value(kRequestsPerServer, kNow);
  CHECK(value.RemovalLoss(MakeModel(), MakeDemand(0, 15, seconds(10)), 1) <
        value.RemovalLoss(MakeModel(), MakeDemand(0, 0.5), 1));
}

TEST_CASE("Demand beyond the servers' capacity counts in full") {
  const PlacementValue value(kRequestsPerServer, kNow);
  const ModelDemand busy = MakeDemand(100, 20);
  CHECK(value.Overloaded(busy, 2));
  CHECK_FALSE(value.Overloaded(busy, 3));
  CHECK(value.Gain(MakeModel(), busy, 1) > 35);
  CHECK(value.Gain(MakeModel(), busy, 3) < 5);
}

TEST_CASE("Late responses make replicas worth more, each less than the one before") {
  const PlacementValue value(kRequestsPerServer, kNow);
  ModelDemand demand = MakeDemand(10, 10);
  demand.serving_servers = 2;
  CHECK(value.LateResponseGain(demand, 2) == 0);
  demand.late_responses_per_second = 4;
  CHECK(value.HasLateResponses(demand, 2));
  CHECK_FALSE(value.HasLateResponses(demand, 8));
  CHECK(value.LateResponseGain(demand, 2) > 3);
  CHECK(value.LateResponseGain(demand, 3) < value.LateResponseGain(demand, 2));
  CHECK(value.LateResponseGain(demand, 0) == 0);  // Without a replica no response is late.
}

TEST_CASE("One more replica never costs, and each is worth less than the one before") {
  rc::check([] {
    const PlacementValue value(kRequestsPerServer, kNow);
    const ModelDemand demand =
        MakeDemand(*rc::gen::inRange(0, 300), *rc::gen::inRange(0, 400) / 10.0,
                   seconds(*rc::gen::inRange(0, 60)));
    double before = value.Gain(MakeModel(), demand, 1);
    for (std::size_t replicas = 2; replicas < 8; ++replicas) {
      const double gain = value.Gain(MakeModel(), demand, replicas);
      RC_ASSERT(gain >= 0);
      RC_ASSERT(gain <= before + 1e-9);
      before = gain;
    }
  });
}

TEST_CASE("The limit of concurrent loads follows the number beyond which each takes longer") {
  // Guards against too many concurrent loads: in a benchmark, thirteen took 12 s each, and four
  // took 6 s.
  LoadConcurrencyLimit limit;
  for (int load = 0; load < 20; ++load)
    limit.RecordCompletedLoad(milliseconds(6'000), milliseconds(6'100),
                              static_cast<std::size_t>(limit.limit()), kNow);
  CHECK(limit.limit() > 10);
  limit.RecordCompletedLoad(milliseconds(6'000), milliseconds(12'000), 10, kNow);
  CHECK(limit.limit() == Approx(5));  // Ten at half the speed: five run at full speed.
  CHECK(limit.AvailableLoads(3, milliseconds(6'000)) == Approx(2));
  CHECK(limit.AvailableLoads(9, milliseconds(6'000)) == 0);
  // The limit rises again only after a while.
  limit.RecordCompletedLoad(milliseconds(6'000), milliseconds(6'100), 5,
                            kNow + std::chrono::seconds(59));
  CHECK(limit.limit() == Approx(5));
  limit.RecordCompletedLoad(milliseconds(6'000), milliseconds(6'100), 5,
                            kNow + std::chrono::seconds(61));
  CHECK(limit.limit() == Approx(6));
}

TEST_CASE(
    "Few long loads begin before one is timed, and a late load lowers the limit before it ends") {
  LoadConcurrencyLimit limit;
  CHECK(limit.AvailableLoads(0, milliseconds(13'200)) == Approx(1));
  CHECK(limit.AvailableLoads(0, milliseconds(6'000)) == Approx(2));
  CHECK(limit.AvailableLoads(0, milliseconds(1'300)) == Approx(4));
  limit.RecordCompletedLoad(milliseconds(13'200), milliseconds(13'300), 1, kNow);
  CHECK(limit.AvailableLoads(0, milliseconds(13'200)) == Approx(2));
  limit.RecordLoadInProgress(milliseconds(13'200), milliseconds(16'900), 2, kNow);  // Not late yet.
  CHECK(limit.AvailableLoads(0, milliseconds(13'200)) == Approx(2));
  limit.RecordLoadInProgress(milliseconds(13'200), milliseconds(17'100), 2, kNow);
  CHECK(limit.AvailableLoads(0, milliseconds(13'200)) == Approx(2 * 13.2 / 17.1));
  limit.RecordLoadInProgress(milliseconds(13'200), milliseconds(26'400), 2, kNow);
  CHECK(limit.AvailableLoads(0, milliseconds(13'200)) == Approx(1));
}

TEST_CASE("Short loads whose end is observed late do not count as slowed") {
  LoadConcurrencyLimit limit;
  for (int load = 0; load < 20; ++load)
    limit.RecordCompletedLoad(milliseconds(1'300), milliseconds(2'000),
                              static_cast<std::size_t>(limit.limit()), kNow);
  CHECK(limit.limit() > 10);
  limit.RecordCompletedLoad(milliseconds(1'300), milliseconds(2'600), 10, kNow);
  CHECK(limit.limit() == Approx(5));
}

TEST_CASE("The limit of concurrent loads stays within its bounds, whatever loads take") {
  rc::check([] {
    LoadConcurrencyLimit limit;
    for (int load = 0; load < 50; ++load) {
      limit.RecordCompletedLoad(milliseconds(*rc::gen::inRange(-5, 10'000)),
                                milliseconds(*rc::gen::inRange(-5, 1'000'000)),
                                static_cast<std::size_t>(*rc::gen::inRange(0, 2'000)),
                                kNow + std::chrono::seconds(load * 30));
      RC_ASSERT(limit.limit() >= 1);
      RC_ASSERT(limit.limit() <= 1'000);
    }
  });
}

}  // namespace
}  // namespace moorfold
