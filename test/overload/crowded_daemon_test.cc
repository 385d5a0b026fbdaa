// Most new connections come to one daemon, more than its link can carry.

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr double kLinkMbps = 4;
constexpr double kLinkBytesPerSecond = kLinkMbps * 1e6 / 8;
constexpr std::size_t kBodyBytes = 9'200;
constexpr int kCrowded = 0;
/// Time after which a crowd must no longer show in the share of requests that are served.
constexpr milliseconds kSettleTime{2'000};
constexpr milliseconds kMeasuredTime{5'000};

struct CrowdCount {
  int sent = 0;
  int served_first = 0;
  int served_later = 0;  ///< By another daemon, since the first did not read the request.
};

/// Gateways of which one has a narrow link. Clients open a connection for each request.
class CrowdedDeployment {
 public:
  explicit CrowdedDeployment(int gateways)
      : deployment(gateways, Options(gateways), 0,
                   [](int number, GatewaySettings& settings) {
                     if (number == kCrowded) settings.link_mbps = kLinkMbps;
                   }),
        link_(std::make_shared<SharedLink>(deployment.context, kLinkBytesPerSecond)),
        entry_(deployment.context, gateway(kCrowded).listen()) {
    REQUIRE(
        deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
    entry_.SetLink(link_, FaultProxy::Machine::kTarget);
    entry_.Start();
    deployment.platform.SetServerLink(kCrowded, link_);
  }
  ~CrowdedDeployment() {
    interval_ = {};
    deployment.RunUntil([&] { return running_ == 0; });
  }
  CrowdedDeployment(const CrowdedDeployment&) = delete;
  CrowdedDeployment& operator=(const CrowdedDeployment&) = delete;

  Gateway& gateway(int number) {
    return deployment.gateways[static_cast<std::size_t>(number)]->gateway;
  }
  /// From now on so many requests a second come to the crowded daemon.
  void SetRate(int requests_per_second) {
    const bool started = interval_ != BootClock::duration{};
    interval_ = std::chrono::duration_cast<BootClock::duration>(std::chrono::seconds(1)) /
                requests_per_second;
    if (!started) boost::asio::co_spawn(deployment.context, OfferRequests(), boost::asio::detached);
  }
  CrowdCount Measure(milliseconds time) {
    count_ = {};
    deployment.RunFor(time);
    return count_;
  }

  Deployment deployment;

 private:
  static PlatformOptions Options(int gateways) {
    PlatformOptions options;
    options.gateways = gateways;
    return options;
  }
  Awaitable<void> OfferRequests() {
    ++running_;
    while (interval_ != BootClock::duration{}) {
      boost::asio::co_spawn(deployment.context, SendRequest(), boost::asio::detached);
      co_await Sleep(interval_);
    }
    --running_;
  }
  Awaitable<void> SendRequest() {
    constexpr std::chrono::seconds kClientDeadline{2};
    ++running_;
    const std::string id = "request-" + std::to_string(next_id_++);
    deployment.platform.checker().Sent(id, RequestKind::kRepeatable);
    const HttpRequest request{
        "POST",
        "/safe/x",
        {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "2000"}},
        std::string(kBodyBytes, 'x')};
    HttpSendOptions options;
    options.deadline = BootClock::now() + kClientDeadline;
    options.fresh_connection = true;
    const int others = static_cast<int>(deployment.gateways.size()) - 1;
    const Endpoint other = gateway(1 + next_id_ % others).listen();
    ++count_.sent;
    const bool first = co_await IsServed(entry_.endpoint(), request, options);
    const bool later =
        !first && BootClock::now() < options.deadline && co_await IsServed(other, request, options);
    count_.served_first += first ? 1 : 0;
    count_.served_later += later ? 1 : 0;
    --running_;
  }
  Awaitable<bool> IsServed(Endpoint to, HttpRequest request, HttpSendOptions options) {
    HttpClient client(deployment.context);
    try {
      co_return (co_await client.Send(to, std::move(request), options)).status == 200;
    } catch (const HttpError&) {
      co_return false;
    }
  }

  std::shared_ptr<SharedLink> link_;
  FaultProxy entry_;
  CrowdCount count_;
  BootClock::duration interval_{};
  int running_ = 0;
  int next_id_ = 0;
};

TEST_CASE("Requests that a crowded daemon has read are served as before, the others elsewhere") {
  constexpr int kUsualRate = 10;
  constexpr double kServedShareOfRule = 0.75;
  const int gateways = GENERATE(2, 4);
  const int rate = GENERATE(60, 150);
  CAPTURE(gateways, rate);
  CrowdedDeployment crowded(gateways);
  crowded.SetRate(kUsualRate);
  const CrowdCount before = crowded.Measure(milliseconds(1'500));
  CAPTURE(before.sent, before.served_first, before.served_later);
  CHECK(before.served_first >= before.sent - 2);
  CHECK(before.served_later == 0);

  crowded.SetRate(rate);
  crowded.Measure(kSettleTime);
  const std::uint64_t read_before = crowded.gateway(kCrowded).metrics().requests;
  const CrowdCount during = crowded.Measure(kMeasuredTime);
  const auto read = static_cast<double>(crowded.gateway(kCrowded).metrics().requests - read_before);
  CAPTURE(read, during.sent, during.served_first, during.served_later);
  CHECK(during.served_first >= read * kServedShareOfRule);
  CHECK(during.served_first + during.served_later >= during.sent * kServedShareOfRule);
  CHECK(during.served_first > 0);
  CHECK(crowded.gateway(kCrowded).metrics().isolations == 0);

  crowded.SetRate(kUsualRate);
  crowded.Measure(kSettleTime);
  const CrowdCount after = crowded.Measure(milliseconds(1'500));
  CAPTURE(after.sent, after.served_first, after.served_later);
  CHECK(after.served_first >= after.sent - 2);
  CHECK(crowded.deployment.platform.checker().violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace moorfold
