// Guards against separating requests where no urgent stream is paused by long prompts, and against
// missing the deployments where one is.

#include "balancing/separation_policy.h"

#include <catch2/catch.hpp>

#include "gateway/route_table.h"

namespace moorfold::balancing {
namespace {

constexpr double kShortTokens = 628;
constexpr double kLongTokens = 9'000;

Route MakeRoute(const std::string& name, std::uint32_t priority, int gap_target_ms) {
  Route route;
  route.name = name;
  route.host = name;
  route.path_prefix = "/";
  route.type = RouteType::kStream;
  route.priority = priority;
  route.gap_target = Milliseconds(gap_target_ms);
  route.services = {{"s", 1}};
  return route;
}

/// An urgent and a less urgent stream route to a service with an engine.
RoutingConfiguration MakeConfiguration() {
  RoutingConfiguration configuration;
  configuration.routes = {MakeRoute("chat", 0, 400), MakeRoute("documents", 1, 900)};
  ServiceDescription service;
  service.name = "s";
  service.engine.emplace();
  configuration.services = {service};
  return configuration;
}

TEST_CASE("Requests are classified by their route's priority and the length of their prompt") {
  const RoutingConfiguration configuration = MakeConfiguration();
  const SeparationPolicy policy(configuration, "s");
  REQUIRE(policy.enabled());
  const Route& urgent = configuration.routes[0];
  const Route& other = configuration.routes[1];
  CHECK(policy.Classify(urgent, kShortTokens) == RequestWork::kPaced);
  CHECK(policy.Classify(urgent, 0) == RequestWork::kPaced);
  CHECK(policy.Classify(urgent, kLongTokens) == RequestWork::kNeutral);
  CHECK(policy.Classify(other, kLongTokens) == RequestWork::kLongPrompt);
  CHECK(policy.Classify(other, kShortTokens) == RequestWork::kNeutral);
  SECTION("half of the gap target of 400 ms is the prefill of 7,600 tokens") {
    CHECK(policy.Classify(other, 7'600) == RequestWork::kNeutral);
    CHECK(policy.Classify(other, 7'601) == RequestWork::kLongPrompt);
    CHECK(policy.Classify(urgent, 7'600) == RequestWork::kPaced);
    CHECK(policy.Classify(urgent, 7'601) == RequestWork::kNeutral);
  }
  SECTION("routes that are no streams") {
    Route repeatable = MakeRoute("repeatable", 0, 0);
    repeatable.type = RouteType::kRepeatable;
    CHECK(policy.Classify(repeatable, kShortTokens) == RequestWork::kNeutral);
    CHECK(policy.Classify(repeatable, kLongTokens) == RequestWork::kNeutral);
    repeatable.priority = 1;
    CHECK(policy.Classify(repeatable, kLongTokens) == RequestWork::kLongPrompt);
  }
}

TEST_CASE("The smallest gap target of the urgent routes decides which prompts are long") {
  RoutingConfiguration configuration = MakeConfiguration();
  configuration.routes.push_back(MakeRoute("voice", 0, 300));
  configuration.routes.push_back(MakeRoute("no target", 0, 0));
  configuration.routes.push_back(MakeRoute("less urgent", 2, 100));
  const SeparationPolicy policy(configuration, "s");
  CHECK(policy.Classify(configuration.routes[1], 5'700) == RequestWork::kNeutral);
  CHECK(policy.Classify(configuration.routes[1], 5'701) == RequestWork::kLongPrompt);
  CHECK(policy.Classify(configuration.routes[3], kShortTokens) == RequestWork::kPaced);
}

TEST_CASE("The policy is off where it has nothing to separate") {
  RoutingConfiguration configuration = MakeConfiguration();
  std::vector<Route>& routes = configuration.routes;
  SECTION("equal priorities") { routes[1].priority = 0; }
  SECTION("no gap target of an urgent route") { routes[0].gap_target = Milliseconds(0); }
  SECTION("only one stream route") { routes[1].type = RouteType::kRepeatable; }
  SECTION("no stream route") { routes[0].type = routes[1].type = RouteType::kAtMostOnce; }
  SECTION("no route") { routes.clear(); }
  SECTION("the other priority is of another service") { routes[1].services = {{"t", 1}}; }
  SECTION("the other priority gives the service no weight") {
    routes[1].services = {{"t", 1}, {"s", 0}};
  }
  SECTION("no engine") { configuration.services[0].engine.reset(); }
  SECTION("an unknown service") { configuration.services[0].name = "t"; }
  const SeparationPolicy policy(configuration, "s");
  CHECK_FALSE(policy.enabled());
  for (const Route& route : MakeConfiguration().routes)
    for (const double tokens : {kShortTokens, kLongTokens})
      CHECK(policy.Classify(route, tokens) == RequestWork::kNeutral);
}

TEST_CASE("A route table holds the policies of its services with an engine") {
  auto configuration = std::make_shared<RoutingConfiguration>(MakeConfiguration());
  configuration->services.push_back({});
  configuration->services.back().name = "pages";
  CHECK(MakeSeparationPolicies(*configuration).size() == 1);
  const RouteTable table(configuration);
  CHECK(table.SeparationOf("s").enabled());
  CHECK_FALSE(table.SeparationOf("pages").enabled());
  CHECK_FALSE(table.SeparationOf("unknown").enabled());
}

}  // namespace
}  // namespace moorfold::balancing
