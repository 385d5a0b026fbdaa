#include "emulated_platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include "common/boot_clock.h"

namespace moorfold {

namespace json = boost::json;

namespace {
constexpr double kModelMb = 90;
constexpr double kAdapterMb = 5;
constexpr double kServerMb = 200;
constexpr int kAdapterSlots = 4;
constexpr int kLoadsPerSecond = 4;
constexpr int kTimeoutMs = 4'000;
/// A few requests a second: its clients ask for more.
constexpr EmulatedLimit kSmallLimit{6, 6};
/// Never reached.
constexpr EmulatedLimit kLargeLimit{2'000, 2'000};

json::object MakeTenant(const std::string& name, const std::vector<std::string>& keys,
                        EmulatedLimit limit) {
  return {{"name", name},
          {"apiKeys", json::array(keys.begin(), keys.end())},
          {"unit", "requests"},
          {"ratePerS", limit.rate_per_second},
          {"burst", limit.burst}};
}

/// @param priority 0 is the most urgent.
json::object MakeRoute(const std::string& name, const std::string& prefix, const std::string& type,
                       const std::string& service, int attempts, int priority = 1) {
  return {{"name", name},
          {"host", EmulatedPlatform::kHost},
          {"pathPrefix", prefix},
          {"type", type},
          {"timeoutMs", kTimeoutMs},
          {"targetMs", 200},
          {"priority", priority},
          {"service", service},
          {"attempts", attempts},
          {"resumable", false},
          {"gapTargetMs", 400}};
}
}  // namespace

EmulatedPlatform::EmulatedPlatform(boost::asio::io_context& context, PlatformOptions options)
    : context_(context),
      options_(options),
      checker_(PromiseChecker::Bounds{}),
      store_(context, options.seed) {
  for (int model = 0; model < options_.models; ++model)
    models_.push_back("m" + std::to_string(model));
  tenant_checker_.SetLimit(kSmallTenant, kSmallLimit);
  tenant_checker_.SetLimit(kLargeTenant, kLargeLimit);
}

void EmulatedPlatform::Start() {
  store_.Start();
  for (int gateway = 0; gateway < options_.gateways; ++gateway) {
    const Endpoint store = store_.AddListener(
        [this, gateway](const std::string& address) { return AddressFor(gateway, address); });
    store_proxies_.push_back(std::make_unique<FaultProxy>(context_, store));
    store_proxies_.back()->Start();
  }
  for (int server = 0; server < options_.model_servers; ++server) {
    std::vector<LoadedModel> held;
    if (server < options_.models) held.push_back({models_[static_cast<std::size_t>(server)], {}});
    AddServer(true, held);
  }
  for (int server = 0; server < options_.plain_servers; ++server) AddServer(false, {});
  Configure();
}

std::unique_ptr<ServerEmulator> EmulatedPlatform::MakeServer(bool engine,
                                                             std::vector<LoadedModel> models,
                                                             const std::string& id) {
  ServerOptions options;
  options.id = id.empty() ? "i-" + std::to_string(next_server_++) : id;
  options.born = last_born_ =
      std::max(last_born_ + 1, std::chrono::duration_cast<std::chrono::milliseconds>(
                                   std::chrono::system_clock::now().time_since_epoch())
                                   .count());
  options.service = engine ? "models" : "booking";
  options.slots = engine ? 16 : 6;
  options.engine = engine;
  options.models = std::move(models);
  options.weights_mb = kServerMb;
  options.model_mb = kModelMb;
  options.adapter_mb = kAdapterMb;
  options.adapter_slots = kAdapterSlots;
  options.load_time = options_.load_time;
  options.version = server_version_;
  if (options_.tenants) options.tenants = &tenant_checker_;
  options.statements = &statement_checker_;
  return std::make_unique<ServerEmulator>(context_, store_, checker_, options,
                                          options_.seed + static_cast<std::uint64_t>(next_server_));
}

void EmulatedPlatform::AddServer(bool engine, std::vector<LoadedModel> models) {
  servers_.push_back(MakeServer(engine, std::move(models)));
  server_links_.push_back(
      std::make_unique<ServerLinks>(context_, options_.gateways, servers_.back()->endpoint()));
  server_links_.back()->Start();
  for (const auto& [gateway, cut] : cuts_) server_links_.back()->Cut(gateway, cut);
  Serve(servers_.size() - 1);
}

std::size_t EmulatedPlatform::AddModelServer(std::vector<LoadedModel> models) {
  AddServer(true, std::move(models));
  return servers_.size() - 1;
}

Endpoint EmulatedPlatform::AddLinksTo(const Endpoint& server) {
  server_links_.push_back(std::make_unique<ServerLinks>(context_, options_.gateways, server));
  server_links_.back()->Start();
  return server_links_.back()->endpoint(0);
}

void EmulatedPlatform::Serve(std::size_t number) {
  ServerEmulator& server = *servers_.at(number);
  server.Announce(server_links_.at(number)->endpoint(0));
  server.OnEnd([this, number] {
    server_links_.at(number)->SetTargetGone(true);
    boost::asio::co_spawn(context_, Restart(number), boost::asio::detached);
  });
  server.Start();
}

Awaitable<void> EmulatedPlatform::Restart(std::size_t number) {
  co_await Sleep(options_.restart_after);
  ServerEmulator& before = *servers_.at(number);
  const bool engine = before.options().engine;
  const std::string id = options_.same_id ? before.options().id : "";
  if (options_.same_id) before.Succeeded();
  ended_.push_back(std::exchange(servers_.at(number), MakeServer(engine, {}, id)));
  server_links_.at(number)->set_target(servers_.at(number)->endpoint());
  server_links_.at(number)->SetTargetGone(false);
  Serve(number);
}

std::string EmulatedPlatform::AddressFor(int gateway, const std::string& address) const {
  for (const std::unique_ptr<ServerLinks>& links : server_links_)
    if (ToString(links->endpoint(0)) == address) return ToString(links->endpoint(gateway));
  return address;
}

void EmulatedPlatform::SetServerLink(int gateway, const std::shared_ptr<SharedLink>& link) {
  for (const std::unique_ptr<ServerLinks>& links : server_links_) links->SetLink(gateway, link);
}

void EmulatedPlatform::CutFromServers(int gateway, ServerCut cut) {
  cuts_[gateway] = cut;
  for (const std::unique_ptr<ServerLinks>& links : server_links_) links->Cut(gateway, cut);
}

void EmulatedPlatform::ReplaceServer(std::size_t number) {
  ServerEmulator& leaving = *servers_.at(number);
  AddServer(leaving.options().engine, {});
  leaving.Drain();
  leaving.Vanish();
}

Awaitable<std::size_t> EmulatedPlatform::ReleaseServer(std::size_t number,
                                                       std::chrono::milliseconds serves_on) {
  const ServerOptions options = servers_.at(number)->options();
  AddServer(options.engine, {});
  const std::size_t successor = servers_.size() - 1;
  servers_.at(number)->Drain();
  co_await Sleep(serves_on);
  servers_.at(number)->Vanish();
  co_return successor;
}

void EmulatedPlatform::Configure() {
  ++version_;
  store_.Put("op/config", ConfigurationText());
  configured_at_ = BootClock::now();
  written_at_[version_] = configured_at_;
}

BootClock::time_point EmulatedPlatform::WrittenAt(std::int64_t version) const {
  const auto found = written_at_.find(version);
  return found == written_at_.end() ? BootClock::time_point{} : found->second;
}

std::string EmulatedPlatform::ConfigurationText() const {
  json::array routes = {MakeRoute("safe", "/safe/", "safe", "booking", 2),
                        MakeRoute("once", "/once/", "unsafe", "booking", 1),
                        MakeRoute("stream", "/stream/", "stream", "models", 1, 0),
                        MakeRoute("long", kLongPromptPath, "stream", "models", 1, 2),
                        MakeRoute("resumable", kResumablePath, "stream", "models", 2, 0)};
  routes.back().as_object()["resumable"] = true;
  for (const std::int64_t version : {version_, version_ - 1}) {
    routes.push_back(MakeRoute("v" + std::to_string(version), "/v" + std::to_string(version) + "/",
                               "safe", "booking", 2));
    routes.back().as_object()["public"] = true;
  }
  for (int route = 0; route < options_.spare_routes; ++route)
    routes.push_back(MakeRoute("spare-" + std::to_string(route),
                               "/spare-" + std::to_string(route) + "/", "safe", "booking", 2));
  json::array models;
  for (const std::string& model : models_)
    models.push_back({{"name", model},
                      {"weightsMb", kModelMb},
                      {"adapterMb", kAdapterMb},
                      {"adapters", 2},
                      {"loadS", 0.3},
                      {"diskLoadS", 0.15},
                      {"warmS", 0.1}});
  const json::object engine = {{"slots", 16},
                               {"weightsMb", kServerMb},
                               {"adapterSlots", kAdapterSlots},
                               {"loadsPerS", kLoadsPerSecond},
                               {"models", models}};
  const json::array services = {
      json::object{{"name", "models"}, {"maxConns", 300}, {"engine", engine}},
      json::object{{"name", "booking"}, {"maxConns", 100}}};
  json::array tenants;
  if (options_.tenants)
    tenants = {
        MakeTenant(kSmallTenant, {KeyOf(kSmallTenant, 0)}, kSmallLimit),
        MakeTenant(kLargeTenant, {KeyOf(kLargeTenant, 0)}, kLargeLimit),
        MakeTenant(kTurningTenant,
                   {KeyOf(kTurningTenant, version_), KeyOf(kTurningTenant, version_ - 1)}, {})};
  return json::serialize(json::value{{"version", version_},
                                     {"tenants", tenants},
                                     {"routes", routes},
                                     {"services", services},
                                     {"limits",
                                      {{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", 4194304},
                                       {"headerTimeoutMs", 3000},
                                       {"idleTimeoutMs", 15000}}}});
}

}  // namespace moorfold
