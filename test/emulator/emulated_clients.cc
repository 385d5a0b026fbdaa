#include "emulated_clients.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>

#include "common/boot_clock.h"

namespace moorfold {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDeadline{5'000};
constexpr milliseconds kProbeEvery{200};
constexpr milliseconds kPause{30};

/// One of so many streams has a long prompt.
constexpr std::size_t kLongPromptOf = 4;
/// Tokens of a prompt's own part: a long one takes 240 ms of prefill, over half of the gap target.
constexpr const char* kLongPart = ":9000";
constexpr const char* kShortPart = ":20";

constexpr const char* kAuthorization = "Authorization";
constexpr unsigned kUnavailable = 503;
/// By which a gateway says that servers end under a request.
constexpr const char* kQuarantinedCode = "\"code\":\"quarantined\"";

std::string PathOf(RequestKind kind) {
  switch (kind) {
    case RequestKind::kAtMostOnce:
      return "/once/x";
    case RequestKind::kStream:
      return "/stream/x";
    case RequestKind::kRepeatable:
      return "/safe/x";
  }
  return "/";
}

/// @return the ids of the events of a stream that all belong to request `id`; -1 for a foreign one.
std::vector<int> ReadEvents(const std::string& body, const std::string& id) {
  std::vector<int> events;
  std::size_t at = 0;
  while ((at = body.find("id: ", at)) != std::string::npos) {
    const int event = std::stoi(body.substr(at + 4));
    const std::string wanted = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    events.push_back(body.compare(at, wanted.size(), wanted) == 0 ? event : -1);
    ++at;
  }
  return events;
}

/// As ReadEvents; a stream that ends as whole without its last event has a foreign one more.
std::vector<int> ReadStream(const std::string& body, const std::string& id, bool whole) {
  std::vector<int> events = ReadEvents(body, id);
  if (whole && static_cast<int>(events.size()) != ServerEmulator::EventsOf(id))
    events.push_back(-1);
  return events;
}

}  // namespace

EmulatedClients::EmulatedClients(boost::asio::io_context& context, EmulatedPlatform& platform,
                                 std::vector<GatewayAddress>& gateways, std::uint64_t seed)
    : context_(context), platform_(platform), gateways_(gateways), random_(seed), client_(context) {
  platform_.checker().SetMayBeBehind([this](const std::string& id) {
    const auto taken_by = taken_by_.find(id);
    return taken_by == taken_by_.end() || taken_by->second->disturbed_until > BootClock::now();
  });
}

void EmulatedClients::Start(int count) {
  boost::asio::co_spawn(context_, Probe(), boost::asio::detached);
  for (int client = 0; client < count; ++client)
    boost::asio::co_spawn(context_, RunClient(client), boost::asio::detached);
}

/// The entry: asks each gateway whether it is ready.
Awaitable<void> EmulatedClients::Probe() {
  while (!stopping_) {
    for (GatewayAddress& gateway : gateways_) {
      HttpSendOptions options;
      options.deadline = BootClock::now() + milliseconds(500);
      options.fresh_connection = true;
      HttpRequest request;
      request.target = "/readyz";
      bool ready = false;
      try {
        const Endpoint to = gateway.readiness;
        ready = (co_await client_.Send(to, std::move(request), options)).status == 200;
      } catch (const HttpError&) {
        ready = false;
      }
      gateway.ready = ready;
    }
    co_await Sleep(kProbeEvery);
  }
}

GatewayAddress* EmulatedClients::PickGateway() {
  std::vector<GatewayAddress*> ready;
  for (GatewayAddress& gateway : gateways_)
    if (gateway.ready) ready.push_back(&gateway);
  if (ready.empty()) return nullptr;
  return ready[static_cast<std::size_t>(Draw(static_cast<int>(ready.size()) - 1))];
}

Awaitable<void> EmulatedClients::RunClient(int number) {
  constexpr int kImpatientTries = 4;
  ++running_;
  while (!stopping_) {
    co_await Sleep(kPause + milliseconds(Draw(60)));
    bool served = false;
    for (int attempt = 0; attempt < (impatient_ ? kImpatientTries : 1) && !served; ++attempt) {
      const std::string id = "c" + std::to_string(number) + "-" + std::to_string(next_id_);
      ++next_id_;
      served = co_await SendOne(number, id);
    }
  }
  --running_;
}

void EmulatedClients::StartEnding(const std::string& name, RequestKind kind, milliseconds pause,
                                  int copies) {
  for (int copy = 0; copy < copies; ++copy)
    boost::asio::co_spawn(context_, RunEnding(name, kind, pause), boost::asio::detached);
}

Awaitable<void> EmulatedClients::RunEnding(std::string name, RequestKind kind, milliseconds pause) {
  ++running_;
  while (!stopping_) {
    co_await Sleep(pause);
    GatewayAddress* gateway = PickGateway();
    if (gateway == nullptr || calm_()) continue;
    const std::string id = "ending-" + name + "-" + std::to_string(next_id_++);
    taken_by_[id] = gateway;
    platform_.checker().Sent(id, kind);
    HttpRequest request = MakeRequest(id, kind);
    request.method = "POST";
    request.target = PathOf(kind);  // A try at another path is another request.
    request.body = ServerEmulator::EndingBody(name);
    // Tries of one request show one key: under another tenant's it is another request.
    for (HttpHeader& header : request.headers)
      if (header.name == kAuthorization) {
        header.value = "Bearer " + EmulatedPlatform::KeyOf(EmulatedPlatform::kLargeTenant, 0);
        platform_.tenant_checker().Sent(id, EmulatedPlatform::kLargeTenant, BootClock::now());
      }
    for (HttpHeader& header : request.headers)
      if (header.name == "X-Model") header.value = platform_.models().front();
    const Endpoint to = gateway->front;
    co_await Exchange(to, std::move(request), id, kind);
  }
  --running_;
}

void EmulatedClients::StartEndingPart(const std::string& name, milliseconds pause,
                                      milliseconds ending_only) {
  boost::asio::co_spawn(context_, RunEndingPart(name, pause, ending_only), boost::asio::detached);
}

Awaitable<void> EmulatedClients::RunEndingPart(std::string name, milliseconds pause,
                                               milliseconds ending_only) {
  ++running_;
  const auto mixed_from = BootClock::now() + ending_only;
  for (bool guilty = true; !stopping_; guilty = !guilty || BootClock::now() < mixed_from) {
    co_await Sleep(pause);
    GatewayAddress* gateway = PickGateway();
    if (gateway == nullptr || calm_()) continue;
    const std::string id = "part-" + name + "-" + std::to_string(next_id_++);
    taken_by_[id] = gateway;
    platform_.checker().Sent(id, RequestKind::kStream);
    HttpRequest request = MakeRequest(id, RequestKind::kStream);
    const std::string second = guilty ? ServerEmulator::EndingPart(name) : "sound-" + name;
    for (HttpHeader& header : request.headers)
      if (header.name == "X-Prompt-Prefix")
        header.value = std::string("first-")
                           .append(name)
                           .append(":800,")
                           .append(second)
                           .append(":200,")
                           .append(id + kShortPart);
    const Endpoint to = gateway->front;
    ClientAnswer answer = co_await Exchange(to, std::move(request), id, RequestKind::kStream);
    if (guilty) continue;
    answer.proper = platform_.tenant_checker().Proper(id);
    platform_.checker().Answered(answer);
    ++beside_ending_parts_.sent;
    if (answer.status == 200 && answer.whole) ++beside_ending_parts_.served;
  }
  --running_;
}

void EmulatedClients::ShowKey(HttpRequest& request, const std::string& id) {
  if (!platform_.tenants()) return;
  constexpr std::size_t kParts = 40;
  constexpr std::size_t kUnknown = 1;  // Of forty requests.
  constexpr std::size_t kSmall = 7;
  constexpr std::size_t kTurning = 13;
  constexpr std::size_t kTurningGone = 15;
  constexpr std::size_t kForgersOf = 8;
  const std::size_t drawn = std::hash<std::string>{}(id);
  const std::size_t part = drawn % kParts;
  TenantChecker& checker = platform_.tenant_checker();
  const std::int64_t version = platform_.version();
  std::string tenant = part < kUnknown       ? ""
                       : part < kSmall       ? EmulatedPlatform::kSmallTenant
                       : part < kTurningGone ? EmulatedPlatform::kTurningTenant
                                             : EmulatedPlatform::kLargeTenant;
  checker.Sent(id, tenant, BootClock::now());
  std::string key = tenant.empty() ? "no-such-key" : EmulatedPlatform::KeyOf(tenant, version);
  if (part >= kTurning && part < kTurningGone) {
    constexpr std::int64_t kLives = 2;
    key = EmulatedPlatform::KeyOf(tenant, version - kLives);
    checker.KeyChanged(id, false, platform_.configured_at());
  } else if (tenant == EmulatedPlatform::kTurningTenant) {
    checker.KeyChanged(id, true, platform_.configured_at());
  }
  request.headers.push_back({kAuthorization, "Bearer " + key});
  if (drawn / kParts % kForgersOf != 0) return;
  request.headers.push_back({"x-tenant", EmulatedPlatform::kLargeTenant});
  request.headers.push_back({"X-HOLD", "7"});
  request.headers.push_back({"x-kv-backup", "127.0.0.1:1"});
}

HttpRequest EmulatedClients::MakeRequest(const std::string& id, RequestKind kind) {
  HttpRequest request;
  request.method = kind == RequestKind::kRepeatable ? "GET" : "POST";
  request.target = PathOf(kind);
  request.headers = {{"Host", EmulatedPlatform::kHost},
                     {"X-Request-Id", id},
                     {"X-Deadline-Ms", std::to_string(kDeadline.count())}};
  if (kind == RequestKind::kStream) {
    const std::vector<std::string>& models = platform_.models();
    std::string model = models[static_cast<std::size_t>(Draw(static_cast<int>(models.size()) - 1))];
    if (Draw(3) == 0) model += "/a" + std::to_string(1 + Draw(1));
    request.headers.push_back({"X-Model", model});
    // Derived from the id, so that the other draws of a seed stay the same.
    const bool long_prompt = std::hash<std::string>{}(id) % kLongPromptOf == 0;
    if (long_prompt) request.target = std::string(EmulatedPlatform::kLongPromptPath) + "x";
    request.headers.push_back(
        {"X-Prompt-Prefix", "5c1e:800," + id + (long_prompt ? kLongPart : kShortPart)});
  }
  if (kind != RequestKind::kRepeatable) request.body = "body of " + id;
  ShowKey(request, id);
  return request;
}

Awaitable<ClientAnswer> EmulatedClients::Exchange(const Endpoint& gateway, HttpRequest request,
                                                  std::string id, RequestKind kind) {
  const bool ends_servers = !ServerEmulator::EndingOf(request).empty();
  HttpSendOptions options;
  options.deadline = BootClock::now() + kDeadline;
  options.fresh_connection = kind != RequestKind::kRepeatable;
  ClientAnswer answer{id, kind, 0, false, false, {}};
  std::string body;
  try {
    const auto exchange = co_await client_.Open(gateway, std::move(request), options);
    answer.status = exchange->status();
    answer.matches =
        FindHeader(exchange->headers(), "X-Response-Seal") == ServerEmulator::SealOf(id);
    while (true) {
      const std::string chunk = co_await exchange->ReadSome();
      answer.whole = chunk.empty();
      if (chunk.empty()) break;
      body += chunk;
    }
  } catch (const HttpError&) {
    answer.whole = false;
  }
  if (answer.status == kUnavailable && body.find(kQuarantinedCode) != std::string::npos)
    platform_.checker().Quarantined(id, ends_servers);
  if (kind == RequestKind::kStream && answer.status == 200)
    answer.events = ReadStream(body, id, answer.whole);
  else
    answer.matches = answer.matches && body == ServerEmulator::BodyOf(id);
  co_return answer;
}

Awaitable<void> EmulatedClients::SendProbe(GatewayAddress& gateway, const std::string& id) {
  const std::int64_t version = platform_.version();
  const auto since = platform_.configured_at();
  HttpRequest request;
  request.target = "/v" + std::to_string(version) + "/x";
  request.headers = {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", id}};
  HttpSendOptions options;
  options.deadline = BootClock::now() + kDeadline;
  const auto sent = BootClock::now();
  platform_.checker().Sent(id, RequestKind::kRepeatable);
  try {
    const Endpoint to = gateway.front;
    const HttpResponse response = co_await client_.Send(to, std::move(request), options);
    const bool disturbed = gateway.disturbed_until > sent || platform_.version() != version;
    platform_.checker().Probed(version, response.status, since, sent, disturbed);
  } catch (const HttpError&) {  // Nothing to judge.
  }
}

Awaitable<void> EmulatedClients::SendAndLeave(const GatewayAddress& gateway,
                                              const std::string& id) {
  HttpRequest request = MakeRequest(id, RequestKind::kStream);
  HttpSendOptions options;
  options.deadline = BootClock::now() + milliseconds(10 + Draw(300));
  options.fresh_connection = true;
  const Endpoint to = gateway.front;
  try {
    const auto exchange = co_await client_.Open(to, std::move(request), options);
    while (!(co_await exchange->ReadSome()).empty()) {
    }
    co_return;  // It was answered sooner.
  } catch (const HttpError&) {
    ++counts_.left;
  }
  platform_.checker().Left(id, BootClock::now());
}

Awaitable<bool> EmulatedClients::SendRequest(GatewayAddress& gateway, const std::string& id,
                                             RequestKind kind) {
  ++counts_.sent;
  const auto sent = BootClock::now();
  const std::int64_t version = platform_.version();
  HttpRequest request = MakeRequest(id, kind);
  ClientAnswer answer = co_await Exchange(gateway.front, std::move(request), id, kind);
  answer.cut_at_stop =
      !answer.whole && sent >= gateway.stop_from && BootClock::now() <= gateway.stop_until;
  // Its key may have gone while it was on its way: two configurations later it is.
  if (platform_.version() > version + 1)
    platform_.tenant_checker().KeyMayHaveGone(id, BootClock::now());
  answer.proper = platform_.tenant_checker().Proper(id);
  platform_.checker().Answered(answer);
  if (platform_.tenants())
    platform_.tenant_checker().Answered(id, answer.status, gateway.disturbed_until > sent);
  const bool served = answer.status == 200 && answer.whole;
  if (gateway.disturbed_until <= sent)
    platform_.isolation_checker().Ended(static_cast<int>(&gateway - gateways_.data()), served,
                                        sent);
  if (served)
    ++counts_.served;
  else if (answer.status == 503 || answer.status == 429)
    ++counts_.refused;
  else
    ++counts_.unknown;
  co_return served;
}

GatewayAddress* EmulatedClients::GatewayOf(int client) {
  constexpr int kStayersOf = 2;
  if (!staying_ || client % kStayersOf != 0) return PickGateway();
  GatewayAddress*& gateway = stays_with_[client];
  if (gateway == nullptr) gateway = PickGateway();
  return gateway;
}

Awaitable<bool> EmulatedClients::SendOne(int client, const std::string& id) {
  constexpr int kLeaversOf = 30;
  GatewayAddress* gateway = GatewayOf(client);
  if (gateway == nullptr) co_return false;
  taken_by_[id] = gateway;
  const int drawn = Draw(9);
  if (drawn == 0) {
    co_await SendProbe(*gateway, id);
    co_return true;
  }
  const RequestKind kind = drawn < 4   ? RequestKind::kRepeatable
                           : drawn < 7 ? RequestKind::kAtMostOnce
                                       : RequestKind::kStream;
  platform_.checker().Sent(id, kind);
  if (kind == RequestKind::kStream && Draw(kLeaversOf) == 0) {
    co_await SendAndLeave(*gateway, id);
    co_return true;
  }
  const std::uint64_t unknown = counts_.unknown;
  const bool served = co_await SendRequest(*gateway, id, kind);
  if (counts_.unknown > unknown) stays_with_.erase(client);
  co_return served;
}

}  // namespace moorfold
