// What the gateway adds to a request and to an event of a stream: the same requests to a server
// directly and through a gateway, in turn, over loopback. The servers, the store and the gateway
// share one thread, so the gateway's share is shown too large rather than too small.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cstdio>
#include <thread>

#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "emulated_platform.h"
#include "gateway/gateway.h"
#include "http/http_client.h"
#include "protocol.h"
#include "store_client.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr int kRequests = 400;
constexpr int kWarmUp = 20;

double MedianMs(std::vector<double> times) {
  std::nth_element(times.begin(), times.begin() + static_cast<long>(times.size() / 2), times.end());
  return times[times.size() / 2];
}

double ElapsedMs(BootClock::time_point since) {
  return std::chrono::duration<double, std::milli>(BootClock::now() - since).count();
}

/// Times of one way: to a server directly, or through the gateway.
struct Times {
  std::vector<double> whole_ms;  ///< Of plain requests.
  std::vector<double> event_ms;  ///< Of streams: from the first event to the last, by events.
};

/// Sends requests one after the other, each way in turn, on its own context.
class Prober {
 public:
  Prober(Endpoint gateway, Endpoint plain_server, Endpoint model_server, std::string model)
      : gateway_(std::move(gateway)),
        plain_server_(std::move(plain_server)),
        model_server_(std::move(model_server)),
        model_(std::move(model)),
        client_(context_) {}

  void Run() {
    boost::asio::co_spawn(context_, ProbeAll(), boost::asio::detached);
    context_.run();
  }
  const Times& direct() const { return direct_; }
  const Times& through() const { return through_; }

 private:
  HttpRequest Make(const std::string& path, bool stream) {
    HttpRequest request;
    request.method = stream ? "POST" : "GET";
    request.target = path;
    request.headers = {{"Host", EmulatedPlatform::kHost},
                       {"X-Request-Id", "bench-" + std::to_string(next_id_++)},
                       {"X-Deadline-Ms", "9000"}};
    if (stream) request.headers.push_back({"X-Model", model_});
    return request;
  }

  Awaitable<void> Plain(Endpoint to, Times& times) {
    HttpRequest request = Make("/safe/x", false);
    HttpSendOptions options;
    options.deadline = BootClock::now() + std::chrono::seconds(9);
    const auto began = BootClock::now();
    const HttpResponse response = co_await client_.Send(to, std::move(request), options);
    if (response.status == 200) times.whole_ms.push_back(ElapsedMs(began));
  }

  Awaitable<void> Stream(Endpoint to, Times& times) {
    HttpRequest request = Make("/stream/x", true);
    HttpSendOptions options;
    options.deadline = BootClock::now() + std::chrono::seconds(9);
    const auto exchange = co_await client_.Open(to, std::move(request), options);
    auto last = BootClock::now();
    int chunks = 0;
    while (!(co_await exchange->ReadSome()).empty()) {
      if (chunks++ > 0) times.event_ms.push_back(ElapsedMs(last));
      last = BootClock::now();
    }
  }

  Awaitable<void> ProbeAll() {
    for (int request = 0; request < kRequests + kWarmUp; ++request) {
      if (request == kWarmUp) direct_ = through_ = Times{};
      co_await Plain(plain_server_, direct_);
      co_await Plain(gateway_, through_);
      if (request % 10 != 0) continue;
      co_await Stream(model_server_, direct_);
      co_await Stream(gateway_, through_);
    }
  }

  boost::asio::io_context context_;
  Endpoint gateway_;
  Endpoint plain_server_;
  Endpoint model_server_;
  std::string model_;
  HttpClient client_;
  Times direct_;
  Times through_;
  int next_id_ = 0;
};

GatewaySettings Settings() {
  GatewaySettings settings;
  settings.name = "gateway-0";
  settings.zone = "z";
  settings.listen = settings.readiness = settings.peer = {"127.0.0.1", 0};
  settings.log_lines_per_second = 0;
  return settings;
}

int Run() {
  ClosableContext context(1);
  PlatformOptions options;
  options.model_servers = 1;
  options.plain_servers = 1;
  options.gateways = 1;
  EmulatedPlatform platform(context, options);
  platform.Start();
  EventLog log(-1, EventLog::Options::For(0));
  const platform::Protocol protocol;
  platform::StoreClient store(context, platform.store_for(0), {});
  Gateway gateway(context, Settings(), store, protocol, log);
  gateway.Start();
  while (gateway.metrics().servers_known < 2) context.run_one_for(milliseconds(20));
  Endpoint plain;
  Endpoint model;
  std::string held;
  for (const auto& server : platform.servers()) {
    (server->options().engine ? model : plain) = server->endpoint();
    if (server->options().engine) held = server->options().models.front().name;
  }
  std::thread platform_thread([&] { context.run(); });
  Prober prober(gateway.listen(), plain, model, held);
  prober.Run();
  context.stop();
  platform_thread.join();
  const double direct = MedianMs(prober.direct().whole_ms);
  const double through = MedianMs(prober.through().whole_ms);
  const double direct_gap = MedianMs(prober.direct().event_ms);
  const double through_gap = MedianMs(prober.through().event_ms);
  std::printf("plain request, median: direct %.3f ms, through the gateway %.3f ms, added %.3f ms\n",
              direct, through, through - direct);
  std::printf("gap between events, median: direct %.3f ms, through the gateway %.3f ms\n",
              direct_gap, through_gap);
  context.DestroyHandlers();
  return 0;
}

}  // namespace
}  // namespace moorfold

int main() { return moorfold::Run(); }
