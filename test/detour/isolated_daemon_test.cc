// Daemons that are cut off from all servers while callers, the store and other daemons reach them.

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// Time after which a cut must no longer show in the share of requests that are served.
constexpr milliseconds kSettleTime{3'000};
constexpr milliseconds kMeasuredTime{5'000};

struct ServedCount {
  int sent = 0;
  int served = 0;

  double Share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

/// Gateways under steady load of each kind of request. Each request is sent once.
class LoadedDeployment {
 public:
  explicit LoadedDeployment(int gateways) : deployment(gateways, Options(gateways)) {
    REQUIRE(
        deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
    deployment.RunFor(milliseconds(3'200));  // Until the leader may issue orders.
    counts_.resize(static_cast<std::size_t>(gateways));
    for (int gateway = 0; gateway < gateways; ++gateway)
      boost::asio::co_spawn(deployment.context, SendRequests(gateway), boost::asio::detached);
  }
  ~LoadedDeployment() {
    stopping_ = true;
    deployment.RunUntil([&] { return running_ == 0; });
  }
  LoadedDeployment(const LoadedDeployment&) = delete;
  LoadedDeployment& operator=(const LoadedDeployment&) = delete;

  /// Adds clients that send to one gateway at the same time.
  void AddClients(int gateway, int count) {
    for (int client = 0; client < count; ++client)
      boost::asio::co_spawn(deployment.context, SendRequests(gateway), boost::asio::detached);
  }
  void ResetCounts() { std::fill(counts_.begin(), counts_.end(), ServedCount{}); }
  /// @return the count over the gateways from `first` up to but not including `last`.
  ServedCount CountOf(int first, int last) const {
    ServedCount sum;
    for (int gateway = first; gateway < last; ++gateway) {
      sum.sent += counts_.at(static_cast<std::size_t>(gateway)).sent;
      sum.served += counts_.at(static_cast<std::size_t>(gateway)).served;
    }
    return sum;
  }
  /// @return what a failed check needs to know of each gateway.
  std::string Describe() const {
    std::string text;
    const auto add = [&text](const std::string& name, auto value) {
      text += name + "=" + std::to_string(value) + " ";
    };
    for (const auto& each : deployment.gateways) {
      const GatewayMetrics& metrics = each->gateway.metrics();
      add("\nleading", metrics.leading);
      add("isolated", metrics.isolated);
      add("isolations", metrics.isolations);
      add("servers_failing", metrics.servers_failing);
      add("detours_sent", metrics.detours.sent);
      add("detours_carried", metrics.detours.carried);
      add("detours_declined", metrics.detours.declined);
      add("detours_not_found", metrics.detours.not_found);
      add("accept_paused_ms", metrics.accept_paused_ms);
      add("longest_stall_ms", metrics.longest_stall_ms);
      text += "\n";
      metrics.requests_ended.Render("requests_ended", text);
      metrics.overloads.Render("overloads", text);
    }
    return text;
  }
  int LeaderNumber() const {
    for (std::size_t number = 0; number < deployment.gateways.size(); ++number)
      if (deployment.gateways[number]->gateway.metrics().leading > 0)
        return static_cast<int>(number);
    return -1;
  }

  Deployment deployment;

 private:
  static PlatformOptions Options(int gateways) {
    PlatformOptions options;
    options.gateways = gateways;
    return options;
  }
  HttpRequest MakeRequest(const std::string& id, RequestKind kind) const {
    HttpRequest request{
        "POST",
        "/once/x",
        {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}},
        "body of " + id};
    if (kind == RequestKind::kRepeatable) request.target = "/safe/x";
    if (kind == RequestKind::kStream) {
      request.target = "/stream/x";
      request.headers.push_back({"X-Model", deployment.platform.models().front()});
    }
    return request;
  }
  Awaitable<void> SendRequests(int gateway) {
    constexpr milliseconds kPause{25};
    ++running_;
    HttpClient client(deployment.context);
    for (int number = 0; !stopping_; ++number) {
      const auto kind = static_cast<RequestKind>(number % 3);
      const std::string id = "request-" + std::to_string(next_id_++);
      deployment.platform.checker().Sent(id, kind);
      HttpSendOptions options;
      options.deadline = BootClock::now() + std::chrono::seconds(4);
      unsigned status = 0;
      try {
        const Endpoint to =
            deployment.gateways[static_cast<std::size_t>(gateway)]->gateway.listen();
        status = (co_await client.Send(to, MakeRequest(id, kind), options)).status;
      } catch (const HttpError&) {
        status = 0;
      }
      ServedCount& count = counts_[static_cast<std::size_t>(gateway)];
      ++count.sent;
      count.served += status == 200 ? 1 : 0;
      co_await Sleep(kPause);
    }
    --running_;
  }

  std::vector<ServedCount> counts_;
  bool stopping_ = false;
  int running_ = 0;
  int next_id_ = 0;
};

TEST_CASE("Callers of daemons that are cut off from all servers are served like the others") {
  const int gateways = GENERATE(2, 7);
  const ServerCut cut = GENERATE(ServerCut::kHang, ServerCut::kReset, ServerCut::kRefuseNew);
  CAPTURE(gateways, static_cast<int>(cut));
  LoadedDeployment loaded(gateways);
  const int isolated = gateways / 2;
  for (int gateway = 0; gateway < isolated; ++gateway)
    loaded.deployment.platform.CutFromServers(gateway, cut);
  loaded.deployment.RunFor(kSettleTime);
  loaded.ResetCounts();
  loaded.deployment.RunFor(kMeasuredTime);
  const ServedCount at_isolated = loaded.CountOf(0, isolated);
  const ServedCount at_others = loaded.CountOf(isolated, gateways);
  CAPTURE(at_isolated.sent, at_isolated.served, at_others.sent, at_others.served);
  CHECK(at_isolated.sent > 20);
  CHECK(at_isolated.Share() >= at_others.Share() * 2 / 3);
  CHECK(loaded.deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("Callers are served where all daemons but the leader are cut off from the servers") {
  const int gateways = GENERATE(2, 3, 7);
  CAPTURE(gateways);
  LoadedDeployment loaded(gateways);
  const int leader = loaded.LeaderNumber();
  REQUIRE(leader >= 0);
  for (int gateway = 0; gateway < gateways; ++gateway)
    if (gateway != leader) loaded.deployment.platform.CutFromServers(gateway, ServerCut::kReset);
  loaded.deployment.RunFor(kSettleTime);
  loaded.ResetCounts();
  loaded.deployment.RunFor(milliseconds(3'000));
  const ServedCount all = loaded.CountOf(0, gateways);
  CAPTURE(all.sent, all.served, loaded.Describe());
  CHECK(all.Share() > 0.9);
}

TEST_CASE("Nobody but a daemon with an offer can send requests to the port of daemons") {
  Deployment deployment(1);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  HttpRequest request = deployment.Stream("forged", deployment.platform.models().front());
  const std::string origin =
      GENERATE(as<std::string>{}, "", "1;1;0;0;0", "0;0;0;0;0", "one;two", "1;1;0;0;0;0");
  CAPTURE(origin);
  request.headers.push_back({std::string(detour::kOriginHeader), origin});
  const HttpResponse response =
      deployment.SendTo(deployment.gateways[0]->gateway.detour(), std::move(request));
  CHECK(response.status == 503);
  for (const auto& server : deployment.platform.servers()) CHECK(server->runs() == 0);
}

TEST_CASE("A model is loaded while the leader is cut off from all servers") {
  const ServerCut cut = GENERATE(ServerCut::kHang, ServerCut::kReset, ServerCut::kRefuseNew);
  CAPTURE(static_cast<int>(cut));
  LoadedDeployment loaded(3);
  const int leader = loaded.LeaderNumber();
  REQUIRE(leader >= 0);
  loaded.deployment.platform.CutFromServers(leader, cut);
  loaded.deployment.RunFor(kSettleTime);
  const std::string unloaded_model = loaded.deployment.platform.models().back();
  const int other = (leader + 1) % 3;
  bool served = false;
  const auto deadline = BootClock::now() + milliseconds(10'000);
  for (int number = 0; !served && BootClock::now() < deadline; ++number) {
    const std::string id = "unloaded-" + std::to_string(number);
    served =
        loaded.deployment.Send(other, loaded.deployment.Stream(id, unloaded_model)).status == 200;
  }
  CHECK(served);
  CHECK(loaded.deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("A daemon that is cut off does not take sound servers for ended under its requests") {
  constexpr int kClients = 20;
  LoadedDeployment loaded(3);
  loaded.AddClients(0, kClients);
  loaded.deployment.RunFor(milliseconds(1'000));
  loaded.deployment.platform.CutFromServers(0, ServerCut::kReset);
  loaded.deployment.RunFor(milliseconds(2'000));
  CHECK(loaded.deployment.gateways[0]->gateway.metrics().isolated == 1);
  CHECK(loaded.deployment.gateways[0]->gateway.metrics().quarantine.servers_ended == 0);
}

TEST_CASE("A request ends at once where no daemon reaches any server") {
  const ServerCut cut = GENERATE(ServerCut::kHang, ServerCut::kReset);
  CAPTURE(static_cast<int>(cut));
  LoadedDeployment loaded(3);
  for (int gateway = 0; gateway < 3; ++gateway)
    loaded.deployment.platform.CutFromServers(gateway, cut);
  loaded.deployment.RunFor(kSettleTime);
  const auto began = BootClock::now();
  constexpr int kRequests = 10;
  for (int number = 0; number < kRequests; ++number) {
    const std::string id = "in-vain-" + std::to_string(number);
    const std::string model = loaded.deployment.platform.models().front();
    const HttpResponse response =
        loaded.deployment.Send(number % 3, loaded.deployment.Stream(id, model));
    CHECK(response.status == 503);
    CHECK_FALSE(FindHeader(response.headers, "Retry-After").empty());
  }
  // Each alone could wait for 3 s; the bound leaves a slow machine time for ten message exchanges.
  CHECK(BootClock::now() - began < milliseconds(3'000));
  for (int gateway = 0; gateway < 3; ++gateway)
    loaded.deployment.platform.CutFromServers(gateway, ServerCut::kNone);
  loaded.deployment.RunFor(kSettleTime);
  loaded.ResetCounts();
  loaded.deployment.RunFor(milliseconds(2'000));
  CHECK(loaded.CountOf(0, 3).Share() > 0.9);
}

TEST_CASE("Daemons that are cut off do not keep the leader from using sound servers") {
  LoadedDeployment loaded(3);
  const int leader = loaded.LeaderNumber();
  REQUIRE(leader >= 0);
  for (int gateway = 0; gateway < 3; ++gateway)
    if (gateway != leader) loaded.deployment.platform.CutFromServers(gateway, ServerCut::kReset);
  loaded.deployment.RunFor(kSettleTime);
  const std::string unloaded_model = loaded.deployment.platform.models().back();
  const std::string id = "unloaded";
  CHECK(loaded.deployment.Send(leader, loaded.deployment.Stream(id, unloaded_model)).status == 200);
  CHECK(loaded.deployment.platform.checker().violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace moorfold
