#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <thread>

#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "gateway/request_pipeline.h"
#include "http/http_server.h"
#include "memory_store.h"
#include "protocol.h"
#include "scripted_server.h"

namespace moorfold {

/// A request pipeline behind an HTTP server on loopback; the test sets up servers and routes.
class PipelineFixture {
 public:
  /// @param log_descriptor where the log goes; -1: nowhere.
  explicit PipelineFixture(PipelineSettings settings = {"z"}, int log_descriptor = -1,
                           EventLog::Options log_options = {})
      : log_(log_descriptor, log_options),
        view_(context_.get_executor()),
        quarantine_(context_, {}, log_, metrics_.quarantine, SingleDaemonPorts()),
        quota_(context_, {std::chrono::seconds(8), 0.1, 0}, "self", metrics_.quota,
               {[](const std::string&, const CreditQuestion&) {},
                [](const std::string&, const CreditAnswer&) {}}),
        statements_(protocol_, metrics_, log_),
        permits_(context_, "self", metrics_.permits, SingleDaemonPermitPorts()),
        retries_(context_, {}, metrics_.retries, RetryPorts()),
        overload_(context_, {}, metrics_, log_),
        contact_(view_, overload_, metrics_, log_),
        detours_(context_, metrics_.detours, DetourPorts()),
        store_(context_),
        origins_(context_, store_, metrics_.streams, {}),
        pipeline_(context_, protocol_, view_, quarantine_, quota_, statements_, permits_, retries_,
                  contact_, overload_, detours_, origins_, metrics_, log_, std::move(settings)),
        front_(
            {&context_}, {"127.0.0.1", 0}, {},
            [this](HttpServerExchange& exchange) { return pipeline_.Handle(exchange); },
            [this](const RejectedRequest& rejected) { return pipeline_.Reject(rejected); }),
        guard_(context_.get_executor()) {
    SetImpliedVersion("");
    quota_.Start();
    front_.Start();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~PipelineFixture() {
    context_.stop();
    thread_.join();
    context_.DestroyHandlers();
  }
  PipelineFixture(const PipelineFixture&) = delete;
  PipelineFixture& operator=(const PipelineFixture&) = delete;

  /// Runs `action` on the pipeline's thread.
  template <typename Action>
  void OnThread(Action action) {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      action();
      done.set_value();
    });
    done.get_future().get();
  }

  static Route MakeRoute(RouteType type) {
    Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/p/";
    route.type = type;
    route.timeout = std::chrono::milliseconds(4'000);
    route.target = std::chrono::milliseconds(200);
    route.attempts = 2;
    route.services = {{"s", 1}};
    return route;
  }
  void SetRoutes(std::vector<Route> routes, bool engine = false) {
    SetRoutesAndTenants(std::move(routes), {}, engine);
  }
  /// Sets routes that require API keys, together with their tenants, as one configuration.
  void SetRoutesAndTenants(std::vector<Route> routes, std::vector<Tenant> tenants,
                           bool engine = false) {
    auto configuration = std::make_shared<RoutingConfiguration>();
    configuration->version = 1;
    configuration->routes = std::move(routes);
    configuration->tenants = std::move(tenants);
    ServiceDescription service;
    service.name = "s";
    if (engine) service.engine.emplace();
    configuration->services.push_back(service);
    OnThread([&] {
      view_.routes = std::make_shared<const RouteTable>(configuration);
      quota_.SetLimits(configuration->tenants);
      view_.configuration_current_at = BootClock::now();
    });
  }
  void AddServer(const std::string& id, const Endpoint& endpoint,
                 std::vector<LoadedModel> models = {}, const std::string& software_version = "") {
    ServerRecord record;
    record.id = id;
    record.service = "s";
    record.endpoint = endpoint;
    record.zone = "z";
    record.slots = 4;
    record.models = std::move(models);
    record.software_version = software_version;
    OnThread([&] { view_.servers.Put(record, BootClock::now()); });
  }
  void RemoveServer(const std::string& id) {
    OnThread([&] { view_.servers.Remove(id); });
  }

  /// Sends `request` unchanged and reads until the connection closes or `stop` has been received.
  /// @param from local address of the client.
  std::string Exchange(const std::string& request, const std::string& stop = "",
                       const std::string& from = "127.0.0.1") {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(
        context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(from), 0));
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), front_.endpoint().port});
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string answer;
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    while (!error && (stop.empty() || answer.find(stop) == std::string::npos)) {
      const std::size_t got = socket.read_some(boost::asio::buffer(chunk), error);
      answer.append(chunk.data(), got);
    }
    closed_by_reset_ = error == boost::asio::error::connection_reset;
    return answer;
  }
  /// Sends `request` and drops what comes until the connection closes. Any thread.
  void ExchangeAndDrop(const std::string& request) const {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), front_.endpoint().port});
    boost::asio::write(socket, boost::asio::buffer(request));
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    while (!error) socket.read_some(boost::asio::buffer(chunk), error);
  }
  /// Sends `request` and closes the connection as soon as `leave` returns true.
  void SendAndDisconnect(const std::string& request, const std::function<bool()>& leave) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), front_.endpoint().port});
    boost::asio::write(socket, boost::asio::buffer(request));
    while (!leave()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  /// @return a request without a body, with `Connection: close`.
  static std::string Request(const std::string& path = "/p/x", const std::string& headers = "",
                             const std::string& deadline = "3000") {
    return "GET " + path +
           " HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nX-Deadline-Ms: " + deadline +
           "\r\nConnection: close\r\n" + headers + "\r\n";
  }
  static unsigned Status(const std::string& answer) {
    return answer.size() < 12 ? 0 : static_cast<unsigned>(std::stoul(answer.substr(9, 3)));
  }
  void FlushLog() {
    OnThread([&] { log_.Flush(); });
  }
  GatewayMetrics& metrics() { return metrics_; }
  HttpServer& front() { return front_; }
  RequestPipeline& pipeline() { return pipeline_; }
  /// Sets how many retries the leader may still grant.
  void SetRetryGrants(std::uint32_t grants) {
    OnThread([&] { retry_grants_ = grants; });
  }
  /// Lets the daemon lose contact with all servers, and find a detour through another one.
  void Isolate(const Endpoint& other_daemon) {
    constexpr int kServers = 4;
    for (int server = 0; server < kServers; ++server)
      AddServer("unreachable-" + std::to_string(server), {"127.0.0.1", 1});
    OnThread([&] {
      detour_port_ = other_daemon.port;
      for (int server = 0; server < kServers; ++server)
        contact_.RecordFailure("unreachable-" + std::to_string(server));
    });
  }
  /// Sets the software version at which streams of service "s" begin without an entry of their own.
  void SetImpliedVersion(const std::string& version,
                         streams::ImpliedState state = streams::ImpliedState::kOpen) {
    const streams::ImpliedVersionRecord record{store_.era(), {{"s", state, version}}};
    store_.Put(streams::kImpliedVersionKey, EncodeMessage(record));
  }
  /// Touch only on the pipeline's thread.
  MemoryStore& store() { return store_; }
  FleetView& view() { return view_; }
  QuarantineService& quarantine() { return quarantine_; }
  QuotaService& quota() { return quota_; }

 private:
  /// @return permit ports of a fleet whose only daemon is the leader.
  static PermitService::Ports SingleDaemonPermitPorts() {
    PermitService::Ports ports;
    ports.ask = [](const std::string&, const PermitRequest&) {};
    ports.answer = [](const std::string&, const PermitResponse&) {};
    ports.leader = [] { return std::string("self"); };
    ports.role = [] { return limits::AllocatorRole::kLeader; };
    ports.daemons = [] { return 1U; };
    return ports;
  }
  /// @return ports to a daemon that offers a detour once there is one (Isolate).
  DetourService::Ports DetourPorts() {
    DetourService::Ports ports;
    ports.ask = [this](const std::string& to, const DetourQuery& query) {
      DetourOffer offer;
      offer.asked_at_us = query.asked_at_us;
      offer.accepts = true;
      offer.token = 1;
      offer.port = detour_port_;
      boost::asio::post(context_, [this, offer, to] { detours_.Hear(offer, to); });
    };
    ports.answer = [](const std::string&, const DetourOffer&) {};
    ports.peers = [this] {
      return detour_port_ == 0 ? std::vector<std::string>()
                               : std::vector<std::string>{"127.0.0.1:1"};
    };
    ports.accepts = [] { return false; };
    ports.reaches = [](const std::string&) { return false; };
    ports.active = [] { return 0U; };
    return ports;
  }
  /// @return ports to a leader that grants retries while there are any left (SetRetryGrants).
  RetryBudgetService::Ports RetryPorts() {
    RetryBudgetService::Ports ports;
    ports.ask = [this](const std::string& to, const RetryGrantRequest& request) {
      const std::uint32_t granted = std::min(request.wanted, retry_grants_);
      retry_grants_ -= granted;
      boost::asio::post(context_, [this, to, granted, id = request.asked_at_us] {
        retries_.Hear(RetryGrantResponse{id, granted}, to);
      });
    };
    ports.answer = [](const std::string&, const RetryGrantResponse&) {};
    ports.leader = [] { return std::string("leader"); };
    ports.leads = [] { return false; };
    ports.service_exists = [](const std::string&) { return true; };
    return ports;
  }
  /// @return quarantine ports of a fleet with a single daemon.
  QuarantineService::Ports SingleDaemonPorts() {
    QuarantineService::Ports ports;
    ports.send = [](const std::string&, const QuarantineNotice&) {};
    ports.broadcast = [](const QuarantineNotice&) {};
    ports.leads = [] { return true; };
    ports.leader = [] { return std::nullopt; };
    ports.peers = [] { return std::vector<std::string>(); };
    ports.server = [this](const std::string& id) -> std::optional<Endpoint> {
      const ServerPtr server = view_.servers.Find(id);
      return server ? std::optional(server->record().endpoint) : std::nullopt;
    };
    ports.refusal_shows_end = [](const std::string&) { return true; };
    ports.service_exists = [](const std::string&) { return true; };
    ports.changed = [this] { view_.changed.NotifyAll(); };
    return ports;
  }

  ClosableContext context_{1};
  platform::Protocol protocol_;
  EventLog log_;
  GatewayMetrics metrics_;
  FleetView view_;
  QuarantineService quarantine_;
  QuotaService quota_;
  ServerStatements statements_;
  PermitService permits_;
  RetryBudgetService retries_;
  OverloadMonitor overload_;
  ContactMonitor contact_;
  DetourService detours_;
  MemoryStore store_;
  streams::StreamOrigins origins_;
  RequestPipeline pipeline_;
  HttpServer front_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
  std::thread thread_;
  bool closed_by_reset_ = false;
  std::uint32_t retry_grants_ = 2;
  std::uint16_t detour_port_ = 0;  ///< Of the daemon that offers a detour; 0: there is none.
};

}  // namespace moorfold
