// What a daemon adds to a request: the same open-loop load sent to the stand-in engine directly
// and through a daemon, in turn, in one process and one run.

#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "cluster.h"

namespace moorfold {
namespace {

constexpr int kRounds = 5;

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

struct Figures {
  double median_first_byte = 0;  ///< Seconds.
  double median_whole = 0;
  std::size_t served = 0;
};

std::vector<LoadRequest> MakePlan(const LoadRequest& request, double per_second, double seconds) {
  std::vector<LoadRequest> plan;
  const auto count = static_cast<std::size_t>(per_second * seconds);
  for (std::size_t index = 0; index < count; ++index) {
    plan.push_back(request);
    plan.back().at = FromSeconds(static_cast<double>(index) / per_second);
  }
  return plan;
}

Figures Measure(const std::vector<LoadRequest>& plan) {
  std::vector<double> first_byte;
  std::vector<double> whole;
  for (const LoadOutcome& outcome : SendAll(plan)) {
    if (outcome.end != LoadEnd::kServed) continue;
    first_byte.push_back(outcome.first_byte_seconds);
    whole.push_back(outcome.total_seconds);
  }
  return {Median(first_byte), Median(whole), whole.size()};
}

/// Prints the medians over the rounds, the difference and the ratio.
void Report(const char* name, const std::vector<Figures>& direct,
            const std::vector<Figures>& routed, std::size_t offered) {
  const auto pick = [](const std::vector<Figures>& rounds, auto field) {
    std::vector<double> values;
    for (const Figures& figures : rounds) values.push_back(figures.*field);
    return Median(values) * 1e3;
  };
  std::size_t served = 0;
  for (const Figures& figures : routed) served += figures.served;
  for (const auto& [label, field] : {std::pair("first byte", &Figures::median_first_byte),
                                     std::pair("whole     ", &Figures::median_whole)}) {
    const double plain = pick(direct, field);
    const double through = pick(routed, field);
    std::printf(
        "%-34s %s  direct %7.3f ms  through the daemon %7.3f ms  adds %6.3f ms  ratio %.2f\n", name,
        label, plain, through, through - plain, through / plain);
  }
  std::printf("%-34s served %zu of %zu\n", name, served, offered);
}

void Compare(const char* name, const LoadRequest& direct, const LoadRequest& routed,
             double per_second, double seconds) {
  std::vector<Figures> direct_rounds;
  std::vector<Figures> routed_rounds;
  const std::vector<LoadRequest> direct_plan = MakePlan(direct, per_second, seconds);
  const std::vector<LoadRequest> routed_plan = MakePlan(routed, per_second, seconds);
  for (int round = 0; round < kRounds; ++round) {
    direct_rounds.push_back(Measure(direct_plan));
    routed_rounds.push_back(Measure(routed_plan));
  }
  Report(name, direct_rounds, routed_rounds, routed_plan.size() * kRounds);
}

void Run() {
  Deployment deployment = Cluster::Small();
  deployment.engine.between_tokens = Duration{0};
  deployment.engine.batch = 256;
  deployment.key_value.requests_per_second = 1e6;
  Cluster cluster(deployment, 1);
  cluster.Establish();
  LoadRequest routed = cluster.ModelRequest(0, "both");
  SendOne(routed);  // Loads the model.
  LoadRequest direct = routed;
  const std::vector<Machine> machines =
      FromJson<std::vector<Machine>>(Fetch(cluster.platform_admin(), "/machines"));
  for (const Machine& machine : machines)
    if (machine.name == "y-engine-0") direct.server = {machine.address, machine.http_port};
  routed.tokens = direct.tokens = 1;
  Compare("warm, 1 token, 1000 requests/s", direct, routed, 1000, 2);
  routed.tokens = direct.tokens = 64;
  routed.stream = direct.stream = true;
  Compare("streamed, 64 tokens, 100 requests/s", direct, routed, 100, 2);
}

}  // namespace
}  // namespace moorfold

int main(int, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;
  moorfold::Run();
  return EXIT_SUCCESS;
}
