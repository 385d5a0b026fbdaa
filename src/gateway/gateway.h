#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "detour/detour_service.h"
#include "fleet/demand_channel.h"
#include "fleet/fleet_controller.h"
#include "fleet/fleet_members.h"
#include "fleet/leader_election.h"
#include "fleet/peer_list.h"
#include "fleet/published_record.h"
#include "gateway/contact_monitor.h"
#include "gateway/contact_prober.h"
#include "gateway/counting_store.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/overload_monitor.h"
#include "gateway/relay_service.h"
#include "gateway/request_pipeline.h"
#include "gateway/server_statements.h"
#include "gateway/store_view.h"
#include "http/http_server.h"
#include "ports/fleet_protocol.h"
#include "ports/key_value_store.h"
#include "quarantine/quarantine_record.h"
#include "quarantine/quarantine_service.h"
#include "server_limits/permit_service.h"
#include "streams/stream_origins.h"
#include "streams/stream_version_keeper.h"
#include "tenants/credit_sharing_planner.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// One gateway daemon. Single-threaded. States: starting (not ready) -> ready (a configuration is
/// active) -> stopping (not ready; responses carry "Connection: close" and active requests
/// finish) -> stopped.
class Gateway {
 public:
  /// Binds all ports. @throws ListenError.
  Gateway(boost::asio::io_context& context, GatewaySettings settings, KeyValueStore& store,
          const FleetProtocol& protocol, EventLog& log);

  void Start();
  /// Starts a graceful shutdown; further calls have no effect. Stops the io_context when done.
  void BeginStop();
  /// Applies reloaded settings. Only the drain timeout changes at run time; the log records that
  /// the other settings take effect at the next start.
  void Reload(const GatewaySettings& settings);
  Endpoint listen() const { return client_server_->endpoint(); }
  /// Where other daemons send requests that this one forwards for them.
  Endpoint detour() const { return detour_server_->endpoint(); }
  Endpoint readiness() const { return readiness_server_->endpoint(); }
  const GatewayMetrics& metrics() const { return metrics_; }

 private:
  bool Ready() const { return !stopping_ && view_.routes != nullptr; }
  void ApplyConfiguration(const RoutingConfiguration& configuration);
  /// @return limits of a server that is not for clients.
  HttpServerLimits InternalLimits(std::size_t connections) const;
  std::size_t SocketBufferBytes() const;
  std::shared_ptr<RequestMemory> MakeRequestMemory();
  Awaitable<void> AnswerReadiness(HttpServerExchange& exchange);
  Awaitable<void> AnswerMetrics(HttpServerExchange& exchange);
  void ApplyPlacementNotice(const PlacementNotice& notice);
  /// @param from "IP:PORT" of the sender.
  void ReceivePlacementNotice(const PlacementNotice& notice, const std::string& from);
  /// Accepts a load outlook from the leader or a relay only.
  /// @param from "IP:PORT" of the sender.
  void ReceiveLoadOutlook(const LoadOutlookNotice& notice, const std::string& from);
  void ApplyLoadOutlook(const LoadOutlookNotice& notice, const std::string& from);
  /// Sends a notice to all daemons, or to the relays only if the fleet uses relays; the relays then
  /// forward it.
  void BroadcastToFleet(const FleetMessage& notice);
  void HandleChangeAnswer(const ChangeAnswer& answer, const std::string& from);
  void AnswerChangeQuestion(const DemandReport& report);
  bool MatchesOpenQuestion(const ChangeAnswer& answer) const;
  /// Logs a datagram that is ignored.
  /// @param from "IP:PORT" of the sender.
  void LogDroppedDatagram(const std::string& problem, const std::string& from);
  void RecordUnreadableMessage(const UndecodableMessage& message);
  QuarantineService::Ports QuarantinePorts();
  std::vector<std::string> Peers();
  /// @return "IP:PORT" of the peers and of the leader, which answers name no peer.
  std::vector<std::string> OtherDaemons();
  bool ServiceExists(const std::string& service) const;
  QuotaService::Ports QuotaPorts();
  /// @return the role of this daemon in distributing the servers' concurrency limits.
  limits::AllocatorRole PermitRole() const;
  DetourService::Ports DetourPorts();
  std::unique_ptr<HttpServer> MakeDetourServer();
  /// Handles a request that another daemon forwards.
  Awaitable<void> AnswerDetour(HttpServerExchange& exchange);
  void HandleContactChange(detour::ContactState state);
  /// While this daemon leads and reaches no server, hands leadership to a daemon that does.
  void YieldLeadership();
  PermitService::Ports PermitPorts();
  RetryBudgetService::Ports RetryPorts();
  streams::StreamVersionKeeper::Ports StreamVersionPorts();
  void ApplySharing(const CreditSharing& sharing);
  void HandleSharingRecord(const std::optional<KeyValue>& entry, StoreRevision revision);
  /// On the leader: recomputes how tenants' limits are divided among the daemons and broadcasts it.
  void UpdateQuotaSharing();
  void HandleQuarantineRecord(const std::optional<KeyValue>& entry, StoreRevision revision);
  void UpdateQuarantine();
  std::uint32_t FleetSizeFromReports() const {
    return static_cast<std::uint32_t>(channel_.reporters()) + 1;
  }
  bool QuestionDue(BootClock::time_point now);
  /// @return a report that identifies this daemon, without demand entries and without a question.
  DemandReport MakeEmptyReport() const;
  RelayService::Ports RelayPorts();
  /// @return "IP:PORT" of the current leader; empty if none is known.
  std::string LeaderAddress() const;
  void ReportToLeader(DemandReport report);
  void AttachChangeQuestion(DemandReport& report);
  void ReportAsRelayFollower(const DemandReport& report);
  /// Reports the demand that is bound to a software version, if there is any.
  void ReportVersionDemand();
  void HandleDemandReport(const DemandReport& report);
  void TransferLeadership();
  std::vector<std::string> UnreachableServers() const;
  Awaitable<void> ReportDemand();
  Awaitable<void> RunPeriodicTasks();
  /// Counts and logs a stall if the timer fired late.
  /// @param due the time at which the timer was set to fire.
  void RecordStall(BootClock::time_point due);
  Awaitable<void> Stop();
  bool AdvanceDrain(BootClock::time_point began);

  boost::asio::io_context& context_;
  GatewaySettings settings_;
  EventLog& log_;
  GatewayMetrics metrics_;
  FleetView view_;
  std::shared_ptr<RequestMemory> request_memory_;  ///< Of the connections to all ports.
  OverloadMonitor overload_;
  ContactMonitor contact_;
  BootClock::time_point isolated_since_{};  ///< Zero if this daemon is not isolated.
  CountingStore store_;
  StoreView store_view_;
  DemandChannel channel_;
  FleetMembers members_;
  LeaderElection election_;
  ServerStatements statements_;
  FleetController controller_;
  PeerList peers_;
  QuarantineService quarantine_;
  QuarantineRecord quarantine_record_;
  QuotaService quota_;
  PermitService permits_;
  RetryBudgetService retries_;
  ContactProber prober_;
  /// Takes requests that other daemons forward. Its port is stated in DetourOffer.
  std::unique_ptr<HttpServer> detour_server_;
  DetourService detours_;
  streams::StreamOrigins origins_;
  streams::StreamVersionKeeper stream_versions_;
  quota::CreditSharingPlanner census_;
  PublishedRecord<CreditSharing> sharing_record_;
  RelayService relays_;
  RequestPipeline pipeline_;
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> metrics_server_;  ///< Null if the settings name no metrics port.
  /// A quarantine record that was read before the first configuration. It is applied once the
  /// configuration tells which services exist, since the store lists the record first at a start.
  /// When it was dropped instead, 16 servers crashed again after all daemons were killed (soak).
  std::optional<QuarantineNotice> pending_quarantine_record_;
  std::chrono::milliseconds longest_idle_{0};
  BootClock::time_point started_at_ = BootClock::now();
  /// Time of the last report to the leader while following relays.
  BootClock::time_point last_report_at_{};
  /// Send times of the latest change questions; answers to any other question are dropped.
  std::deque<std::int64_t> open_question_times_us_;
  BootClock::time_point last_question_at_{};
  BootClock::time_point leading_since_{};  ///< Zero if this daemon is not the leader.
  BootClock::time_point last_sharing_broadcast_{};
  std::int64_t quarantine_era_ = kEraUntold;  ///< Store era of the last quarantine record.
  /// Number of daemons as last announced by the leader; 0 if unknown.
  std::uint32_t fleet_size_ = 0;
  bool stopping_ = false;
  bool resigning_ = false;
  bool resigned_ = false;
};

}  // namespace moorfold
