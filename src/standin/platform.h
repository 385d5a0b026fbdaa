#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "modelled/lagging_machine_list.h"
#include "standin/engine_server.h"
#include "standin/key_value_server.h"
#include "standin/service_server.h"
#include "standin/weight_store.h"

namespace moorfold {

struct PlatformOptions {
  std::string address = "127.0.0.1";
  std::uint16_t admin_port = 0;
  std::uint16_t key_value_port = 0;
  double load_speedup = 1;  ///< Divides load times, for demonstrations and tests.
  std::uint64_t seed = 1;
  /// Model names of which each server's disk holds a share from the start.
  std::vector<ModelName> checkpoints;
};

/// The whole platform of one deployment in one process on loopback. All on one thread.
/// The admin port answers the machine list (GET /machines) and switches faults; see
/// docs/OPERATIONS.md, "The stand-in platform".
class Platform {
 public:
  Platform(boost::asio::io_context& context, Deployment deployment, PlatformOptions options);

  void Start();
  Endpoint key_value() const { return key_value_.endpoint(); }
  Endpoint admin() const { return admin_.endpoint(); }
  KeyValueServer& key_value_server() { return key_value_; }
  LaggingMachineList& machines() { return machines_; }
  EngineServer& engine(const ServerName& name) { return *engines_.at(name); }
  std::map<ServerName, std::unique_ptr<EngineServer>>& engines() { return engines_; }
  ServiceServer& service(const std::string& name) { return *services_.at(name); }
  WeightStore& weight_store() { return store_; }
  ExecutionLog& executions() { return executions_; }

 private:
  Awaitable<void> HandleAdmin(HttpServerExchange& exchange);
  HttpResponse ListMachinesFor(const HttpRequest& request);
  boost::json::value Administer(const HttpRequest& request);
  void SwitchFault(const boost::json::object& fault);
  void SwitchKeyValueFault(const boost::json::object& fault);
  void SwitchEngineFault(const boost::json::object& fault);
  void SwitchServiceFault(const boost::json::object& fault);
  void AddEngine(Machine machine);
  void AddService(Machine machine);
  Incarnation NextIncarnation();

  boost::asio::io_context& context_;
  Deployment deployment_;
  PlatformOptions options_;
  WallClock clock_;
  std::mt19937_64 random_;
  KeyValueServer key_value_;
  LaggingMachineList machines_;
  WeightStore store_;
  ExecutionLog executions_;
  std::map<ServerName, std::unique_ptr<EngineServer>> engines_;
  std::map<std::string, std::unique_ptr<ServiceServer>> services_;
  HttpServer admin_;
};

}  // namespace moorfold
