// The fleet's retry budget while daemons are replaced, with complete gateways over sockets.

#include <algorithm>

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRetryRatio = 0.2;
constexpr double kRetryMinimum = 6;
constexpr seconds kWindow{10};

struct SentRequest {
  BootClock::time_point at;
  std::uint64_t retries = 0;
};

/// @return by how many retries the worst window exceeds the budget; 0 if none does.
double Excess(const std::vector<SentRequest>& sent) {
  double worst = 0;
  for (std::size_t first = 0; first < sent.size(); ++first) {
    double requests = 0;
    double retries = 0;
    for (std::size_t next = first; next < sent.size(); ++next) {
      if (sent[next].at - sent[first].at >= kWindow) break;
      ++requests;
      retries += static_cast<double>(sent[next].retries);
    }
    worst = std::max(worst, retries - kRetryRatio * requests - kRetryMinimum);
  }
  return worst;
}

std::uint64_t Runs(Deployment& deployment) {
  std::uint64_t runs = 0;
  for (const auto& server : deployment.platform.servers()) runs += server->runs();
  return runs;
}

TEST_CASE("Daemons that are replaced do not raise the fleet's retries above the budget") {
  PlatformOptions options;
  options.gateways = 20;
  Deployment deployment(0, options);
  for (const auto& server : deployment.platform.servers()) server->faults().no_answer_share = 1;
  std::vector<SentRequest> sent;
  for (int generation = 0; generation < 20; ++generation) {
    GatewaySettings settings =
        GatewayUnderTest::Settings("gateway-" + std::to_string(generation), 0);
    settings.retry_minimum = kRetryMinimum;
    deployment.gateways.push_back(std::make_unique<GatewayUnderTest>(
        deployment.context, settings, deployment.platform.store_for(generation)));
    deployment.gateways.back()->gateway.Start();
    REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
    for (int number = 0; number < 4; ++number) {
      const std::string id = std::to_string(generation) + "-" + std::to_string(number);
      deployment.platform.checker().Sent(id, RequestKind::kRepeatable);
      const std::uint64_t before = Runs(deployment);
      const auto at = BootClock::now();
      deployment.Send(
          generation,
          {"GET",
           "/safe/" + id,
           {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}},
           ""});
      const std::uint64_t arrivals = Runs(deployment) - before;
      sent.push_back({at, arrivals == 0 ? 0 : arrivals - 1});
    }
  }
  CHECK(Excess(sent) == 0);
}

}  // namespace
}  // namespace moorfold
