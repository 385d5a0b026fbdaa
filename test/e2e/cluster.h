#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "config/intent_file.h"
#include "daemon/daemon.h"
#include "http/http_status.h"
#include "load/load_client.h"
#include "ports/json_codec.h"
#include "standin/platform.h"

namespace moorfold {

/// A deployment in one process on loopback: the stand-in platform and real daemons.
class Cluster {
 public:
  explicit Cluster(Deployment deployment, std::size_t daemons_per_zone = 2)
      : platform_(context_, std::move(deployment), PlatformOptions{}) {
    platform_.Start();
    platform_thread_ = std::thread([this] { context_.run(); });
    for (const ZoneName& zone : {std::string("y"), std::string("z")})
      for (std::size_t index = 0; index < daemons_per_zone; ++index)
        AddDaemon(zone, zone + "-" + std::to_string(index));
  }
  ~Cluster() {
    daemons_.clear();
    context_.stop();
    platform_thread_.join();
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  static Deployment Small() {
    Deployment deployment;
    deployment.name = "small";
    deployment.zones = {"y", "z"};
    deployment.engines = {{"y", 1}, {"z", 2}};
    deployment.engine.memory = 1000;
    deployment.engine.batch = 4;
    deployment.engine.memory_tier_speed = 2;
    deployment.engine.disk_tier_speed = 2;
    deployment.engine.between_tokens = std::chrono::milliseconds(1);
    deployment.weight_store = {100, 8, 2};
    deployment.key_value = {10'000, std::chrono::milliseconds(1)};
    ServiceTraits service;
    service.name = "booking";
    service.servers = {{"y", 1}, {"z", 1}};
    service.latency = std::chrono::milliseconds(20);
    deployment.services.push_back(service);
    return deployment;
  }

  static constexpr const char* kIntent =
      "zones: [y, z]\n"
      "models:\n"
      "  - {name: both, memory: 300MiB, deadline: 20s, replicas: {y: 1, z: 2}}\n"
      "  - {name: only-z, memory: 300MiB, deadline: 20s, replicas: {z: 1}}\n"
      "  - name: adapted\n"
      "    memory: 200MiB\n"
      "    adapter_memory: 50MiB\n"
      "    deadline: 20s\n"
      "    replicas: {z: 1}\n"
      "    adapters:\n"
      "      - {name: one, memory: 40MiB}\n"
      "      - {name: two, memory: 40MiB}\n"
      "services:\n"
      "  - {name: booking, deadline: 5s, non_repeatable_paths: [/reserve]}\n";

  Daemon& AddDaemon(const ZoneName& zone, const DaemonName& name) {
    DaemonSettings settings;
    settings.name = name;
    settings.zone = zone;
    settings.key_value = platform_.key_value();
    settings.machine_list = platform_.admin();
    settings.machine_list_interval = std::chrono::milliseconds(100);
    settings.peer_key = "end-to-end-test-key";
    settings.drain_timeout = std::chrono::seconds(30);
    CoreSettings& core = settings.core;
    core.probe_interval = std::chrono::milliseconds(300);
    core.probe_timeout = std::chrono::milliseconds(150);
    core.suspicion_timeout = std::chrono::milliseconds(900);
    core.poll_interval = std::chrono::milliseconds(200);
    core.leader_patience = std::chrono::milliseconds(400);
    core.order_retry = std::chrono::milliseconds(300);
    core.plan_interval = std::chrono::milliseconds(200);
    core.policy = PolicyKind::kFixedKeepAlive;
    core.keep_alive = std::chrono::minutes(10);
    daemons_.push_back(std::make_unique<Daemon>(settings));
    Daemon& daemon = *daemons_.back();
    daemon.Start();
    Machine machine;
    machine.name = name;
    machine.zone = zone;
    machine.address = "127.0.0.1";
    machine.http_port = daemon.http_endpoint().port;
    machine.peer_port = daemon.peer_endpoint().port;
    Admin("/admin/machines", ToJson(machine));
    return daemon;
  }

  /// Calls the platform's admin port.
  std::string Admin(const std::string& target, const std::string& body) {
    return Post(platform_.admin(), target, body);
  }
  Endpoint key_value() const { return platform_.key_value(); }
  Endpoint platform_admin() const { return platform_.admin(); }
  Endpoint EngineEndpoint(const ServerName& name) {
    for (const Machine& machine :
         FromJson<std::vector<Machine>>(Fetch(platform_.admin(), "/machines")))
      if (machine.name == name) return {machine.address, machine.http_port};
    throw std::runtime_error("no engine " + name);
  }
  void Fault(const std::string& json) { Admin("/admin/faults", json); }
  /// How many requests the back ends have run in all.
  std::uint64_t RequestsRun() {
    return ParseJson(Fetch(platform_.admin(), "/admin/summary"))
        .at("requests_run")
        .to_number<std::uint64_t>();
  }
  /// How often the back ends ran what carries this idempotency key.
  std::uint64_t RunsOfKey(const std::string& key) {
    const boost::json::value counts = ParseJson(Fetch(platform_.admin(), "/admin/executions"));
    const boost::json::value* count = counts.as_object().if_contains("key " + key);
    return count == nullptr ? 0 : count->to_number<std::uint64_t>();
  }

  /// Puts the intent in force and waits until all daemons have it, with ledgers and claim owners.
  void Establish() {
    HttpResponse plan;
    // A daemon plans once it has read the list of machines.
    WaitFor([&] {
      plan = Call(daemon(0).http_endpoint(), {"POST", "/operator/plan", {}, kIntent});
      return plan.status == http_status::kOk;
    });
    const boost::json::value body = {{"plan_id", ParseJson(plan.body).at("id")}};
    const HttpResponse confirmed = Call(
        daemon(0).http_endpoint(), {"POST", "/operator/confirm", {}, boost::json::serialize(body)});
    if (confirmed.status != http_status::kOk)
      throw std::runtime_error("not confirmed: " + confirmed.body + "; the plan: " + plan.body);
    WaitFor(
        [this] {
          for (const auto& each : daemons_) {
            const boost::json::value status = Status(*each);
            if (status.at("configuration_revision").to_number<Revision>() == 0) return false;
            if (status.at("ledger").at("permits").to_number<std::size_t>() == 0) return false;
            if (!status.at("claims_served").as_bool()) return false;
          }
          return true;
        },
        [this] { return DescribeAll(); });
  }
  /// @return what each daemon says of itself.
  std::string DescribeAll() {
    std::string text;
    for (const auto& each : daemons_)
      text += "\n" + boost::json::serialize(boost::json::value(Status(*each)));
    return text;
  }
  boost::json::value Status(Daemon& each) {
    return ParseJson(Fetch(each.http_endpoint(), "/operator/status"));
  }
  /// Generous, since machines are slow now and then: it is a bound, not a measurement.
  /// @param describe what to say of the state in which the condition did not come about.
  static void WaitFor(const std::function<bool()>& condition,
                      const std::function<std::string()>& describe = {}) {
    for (int attempt = 0; attempt < 1200; ++attempt) {
      if (condition()) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    throw std::runtime_error("the cluster did not get there in a minute" +
                             (describe ? ": " + describe() : std::string()));
  }

  Daemon& daemon(std::size_t index) { return *daemons_.at(index); }
  std::size_t size() const { return daemons_.size(); }
  LoadRequest ModelRequest(std::size_t daemon_index, const std::string& called_as,
                           bool stream = false) {
    LoadRequest request;
    request.server = daemon(daemon_index).http_endpoint();
    request.called_as = called_as;
    request.model = called_as.substr(0, called_as.find(':'));
    request.prompt = "a floor policy";
    request.tokens = 8;
    request.stream = stream;
    request.deadline = std::chrono::seconds(20);
    return request;
  }
  LoadRequest Booking(std::size_t daemon_index, const std::string& key) {
    LoadRequest request;
    request.server = daemon(daemon_index).http_endpoint();
    request.is_service = true;
    request.stream = false;
    request.target = "/services/booking/reserve";
    request.prompt = "desk 4";
    request.key = key;
    request.deadline = std::chrono::seconds(5);
    return request;
  }

 private:
  boost::asio::io_context context_{1};
  Platform platform_;
  std::thread platform_thread_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

inline std::vector<LoadOutcome> SendAll(const std::vector<LoadRequest>& requests) {
  return RunLoad(requests, [](std::size_t, std::size_t) {});
}
inline LoadOutcome SendOne(const LoadRequest& request) { return SendAll({request}).front(); }

}  // namespace moorfold
