#include "refusal_play.h"

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "cli/command_line.h"
#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "emulated_platform.h"
#include "gateway_files.h"
#include "http/upstream_connection.h"
#include "refusing_server.h"

namespace moorfold {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kDeadline{4'000};
constexpr milliseconds kLastAnswers{5'000};
constexpr int kClientsOfGateway = 3;
/// Requests of all clients that send together come at multiples of this time.
constexpr milliseconds kClump{100};
constexpr std::size_t kLongBodyBytes = 110'000;
constexpr std::size_t kUsualBodyBytes = 18'000;
constexpr std::size_t kShortBodyBytes = 200;

/// One client, which keeps its connection until the gateway closes it.
class Client {
 public:
  Client(boost::asio::io_context& context, PromiseChecker& checker, std::ofstream& promised,
         const GatewayAddress& gateway, int gateway_number, int number, std::string model,
         std::uint64_t seed)
      : context_(context),
        checker_(checker),
        promised_(promised),
        gateway_(gateway),
        gateway_number_(gateway_number),
        name_("g" + std::to_string(gateway_number) + "-c" + std::to_string(number)),
        model_(std::move(model)),
        random_(seed) {}

  Awaitable<void> Run() {
    while (!stopping_) {
      co_await Pause();
      const std::string id = name_ + "-" + std::to_string(sent_++);
      const RequestKind kind = Draw(0, 1) == 0 ? RequestKind::kAtMostOnce : RequestKind::kStream;
      checker_.Sent(id, kind);
      ClientAnswer answer{id, kind, 0, false, false, {}};
      try {
        co_await Exchange(answer);
      } catch (const HttpError&) {
        connection_.reset();
      }
      Judge(answer);
    }
  }
  void Stop() { stopping_ = true; }
  std::uint64_t sent() const { return sent_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t refused() const { return refused_; }

 private:
  int Draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

  Awaitable<void> Pause() {
    const auto now = BootClock::now().time_since_epoch();
    const auto next = (now / kClump + Draw(1, 3)) * kClump;
    co_await Sleep(std::chrono::duration_cast<milliseconds>(next - now));
  }

  std::shared_ptr<const std::string> MakeBody(const std::string& id) {
    const int drawn = Draw(0, 2);
    const std::size_t length = drawn == 0   ? kShortBodyBytes
                               : drawn == 1 ? kUsualBodyBytes
                                            : kLongBodyBytes;
    std::string body = "body of " + id + " ";
    body.resize(length, 'x');
    return std::make_shared<const std::string>(std::move(body));
  }

  HttpRequest MakeHead(const ClientAnswer& answer) const {
    const bool stream = answer.kind == RequestKind::kStream;
    HttpRequest head{"POST", stream ? "/stream/x" : "/once/x", {}, ""};
    head.headers = {{"Host", EmulatedPlatform::kHost},
                    {"X-Request-Id", answer.id},
                    {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
    if (stream) head.headers.push_back({"X-Model", model_});
    return head;
  }

  Awaitable<void> Exchange(ClientAnswer& answer) {
    if (!connection_ || !connection_->Reusable() || !connection_->Idle()) {
      connection_ = std::make_shared<UpstreamConnection>(context_, gateway_.front);
      co_await connection_->Connect(BootClock::now() + seconds(1));
    }
    const auto connection = connection_;
    const auto timer = std::make_shared<BootTimer>(context_, BootClock::now() + kDeadline);
    timer->async_wait([connection](const boost::system::error_code& error) {
      if (!error) connection->Cancel(CancelReason::kTimeLimit);
    });
    std::shared_ptr<const std::string> body = MakeBody(answer.id);
    connection->BeginSend(MakeHead(answer), std::move(body));
    co_await connection->ReadHead();
    answer.status = connection->status();
    answer.matches =
        FindHeader(connection->headers(), "X-Response-Seal") == ServerEmulator::SealOf(answer.id);
    co_await connection->ReadUpTo(kLongBodyBytes);
    answer.whole = connection->Complete();
    timer->cancel();
  }

  void Judge(const ClientAnswer& answer) {
    checker_.Answered(answer);
    if (answer.status == 200 && answer.whole) ++served_;
    if (!PromiseChecker::Promises(answer.status)) return;
    ++refused_;
    promised_ << answer.id << " " << gateway_number_ << " " << answer.status << std::endl;
  }

  boost::asio::io_context& context_;
  PromiseChecker& checker_;
  std::ofstream& promised_;
  const GatewayAddress& gateway_;
  int gateway_number_;
  std::string name_;
  std::string model_;
  std::mt19937_64 random_;
  UpstreamConnectionPtr connection_;
  std::uint64_t sent_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t refused_ = 0;
  bool stopping_ = false;
};

/// Cuts one gateway after the other off from all servers, so that it sends through another one.
Awaitable<void> RunCuts(EmulatedPlatform& platform, int gateways, std::uint64_t seed,
                        const bool& stopped) {
  std::mt19937_64 random(seed);
  const auto draw = [&random](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  while (!stopped) {
    co_await Sleep(milliseconds(draw(1'000, 4'000)));
    const int gateway = draw(0, gateways - 1);
    platform.CutFromServers(gateway, static_cast<ServerCut>(draw(1, 3)));
    co_await Sleep(milliseconds(draw(1'000, 4'000)));
    platform.CutFromServers(gateway, ServerCut::kNone);
  }
}

}  // namespace

int RunRefusalPlay(const RefusalPlayOptions& options, const std::string& folder) {
  ClosableContext context(1);
  PlatformOptions platform_options;
  platform_options.seed = options.seed;
  platform_options.gateways = options.gateways;
  platform_options.model_servers = platform_options.plain_servers = 0;
  platform_options.models = 1;
  EmulatedPlatform platform(context, platform_options);
  platform.Start();
  const std::string& model = platform.models().front();
  std::vector<std::unique_ptr<RefusingServer>> servers;
  for (int number = 0; number < 2 * options.servers; ++number) {
    const bool engine = number % 2 == 0;
    RefusingServerOptions server{"i-" + std::to_string(number), engine ? "models" : "booking",
                                 engine ? model : ""};
    servers.push_back(
        std::make_unique<RefusingServer>(context, platform.store(), platform.checker(), server,
                                         options.seed + static_cast<std::uint64_t>(number)));
    servers.back()->Announce(platform.AddLinksTo(servers.back()->endpoint()));
    servers.back()->Start();
  }
  GatewayFiles files(static_cast<int>(::getpid()));
  files.Write(folder, platform, options.gateways, Following::kNobody, 0);
  std::ofstream promised(folder + "/promised.txt");
  std::cout << "event=ready" << std::endl;
  std::vector<std::unique_ptr<Client>> clients;
  for (int gateway = 0; gateway < options.gateways; ++gateway)
    for (int number = 0; number < kClientsOfGateway; ++number) {
      clients.push_back(
          std::make_unique<Client>(context, platform.checker(), promised,
                                   files.addresses()[static_cast<std::size_t>(gateway)], gateway,
                                   number, model, options.seed + clients.size()));
      boost::asio::co_spawn(context, clients.back()->Run(), boost::asio::detached);
    }
  bool stopped = false;
  if (options.cuts)
    boost::asio::co_spawn(context, RunCuts(platform, options.gateways, options.seed, stopped),
                          boost::asio::detached);
  context.run_for(options.length - kLastAnswers);
  stopped = true;
  for (const auto& client : clients) client->Stop();
  context.run_for(kLastAnswers);
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;
  for (const auto& client : clients) {
    sent += client->sent();
    served += client->served();
    refused += client->refused();
  }
  std::uint64_t repeated = 0;
  for (const auto& server : servers) repeated += server->refusals_repeated();
  std::uint64_t ran_after_refusal = 0;
  std::uint64_t ran_twice = 0;
  for (const std::string& violation : platform.checker().violations()) {
    if (violation.starts_with("refused")) ++ran_after_refusal;
    if (violation.starts_with("twice")) ++ran_twice;
    std::cout << "event=violation seed=" << options.seed << " what=\"" << violation << "\""
              << std::endl;
  }
  std::cout << "event=soak seed=" << options.seed << " sent=" << sent << " served=" << served
            << " refused_not_run=" << refused << " refusals_sent_again=" << repeated
            << " refused_and_ran=" << ran_after_refusal << " ran_twice=" << ran_twice
            << " violations=" << platform.checker().violations().size() << std::endl;
  context.DestroyHandlers();
  return platform.checker().violations().empty() && served > 0 ? kExitDone : kExitFailed;
}

}  // namespace moorfold
