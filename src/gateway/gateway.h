#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <memory>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/demand_channel.h"
#include "fleet/fleet_controller.h"
#include "fleet/fleet_members.h"
#include "fleet/kept_record.h"
#include "fleet/leader_election.h"
#include "fleet/peer_list.h"
#include "gateway/counting_store.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
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
#include "tenants/credit_sharing_planner.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// One gateway daemon on one thread. States: starting (not ready) -> ready (a configuration is in
/// force) -> stopping (not ready, answers announce the end of their connections, requests run to
/// their end) -> stopped.
class Gateway {
 public:
  /// Binds all ports. @throws ListenError.
  Gateway(boost::asio::io_context& context, GatewaySettings settings, KeyValueStore& store,
          const FleetProtocol& protocol, EventLog& log);

  void Start();
  /// Begins a planned stop; a second call does nothing. The context is stopped at its end.
  void BeginStop();
  /// Reads the settings again: what cannot change while running is said in the log.
  void Reload(const GatewaySettings& settings);
  Endpoint listen() const { return front_->endpoint(); }
  Endpoint readiness() const { return readiness_->endpoint(); }
  const GatewayMetrics& metrics() const { return metrics_; }

 private:
  bool Ready() const { return !stopping_ && view_.routes != nullptr; }
  void Configure(const RoutingConfiguration& configuration);
  Awaitable<void> AnswerReadiness(HttpServerExchange& exchange);
  Awaitable<void> AnswerMetrics(HttpServerExchange& exchange);
  void TakeNotice(const PlacementNotice& notice);
  /// @param from "IP:PORT" of the sender.
  void HearNotice(const PlacementNotice& notice, const std::string& from);
  /// Tells all daemons of a placement: those that follow relays by these.
  void SpreadNotice(const PlacementNotice& notice);
  void TakeAnswer(const ChangeAnswer& answer, const std::string& from);
  void AnswerQuestion(const DemandReport& report);
  bool Expected(const ChangeAnswer& answer) const;
  /// A datagram is left alone.
  void NoteDropped(const std::string& problem, const std::string& from);
  void NoteUnread(const UnreadMessage& message);
  void TakeSize(std::uint32_t daemons);
  QuarantineService::Ports QuarantinePorts();
  std::vector<std::string> Peers();
  bool ServiceExists(const std::string& service) const;
  QuotaService::Ports QuotaPorts();
  /// @return whether this daemon shares servers' limits out.
  limits::PoolRole PermitRole() const;
  PermitService::Ports PermitPorts();
  void TakeSharing(const CreditSharing& sharing);
  void TakeSharingRecord(const std::optional<KeyValue>& entry, StoreRevision revision);
  /// While this daemon leads: tells the others how limits are shared out.
  void ShareQuotas();
  void TakeQuarantineRecord(const std::optional<KeyValue>& entry, StoreRevision revision);
  void KeepQuarantine();
  std::uint32_t Daemons() const { return static_cast<std::uint32_t>(channel_.reporters()) + 1; }
  bool AskNow(BootClock::time_point now);
  /// @return a report of this daemon that carries no demand and asks nothing.
  DemandReport DescribeSelf() const;
  RelayService::Ports RelayPorts();
  /// @return "IP:PORT" of whoever leads, as far as known; empty: nobody.
  std::string LeaderAddress() const;
  void ReportToLeader(DemandReport report);
  void AskForChanges(DemandReport& report);
  void ReportBesideRelays(const DemandReport& report);
  void TakeReport(const DemandReport& report);
  void HandLeadershipOn();
  std::vector<std::string> UnreachableServers() const;
  Awaitable<void> ReportDemand();
  Awaitable<void> KeepHouse();
  /// @param due when this process was to be woken up.
  void NoteStall(BootClock::time_point due);
  Awaitable<void> Stop();
  bool Drained(BootClock::duration elapsed);

  boost::asio::io_context& context_;
  GatewaySettings settings_;
  EventLog& log_;
  GatewayMetrics metrics_;
  FleetView view_;
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
  quota::CreditSharingPlanner census_;
  KeptRecord<CreditSharing> sharing_record_;
  RelayService relays_;
  RequestPipeline pipeline_;
  std::unique_ptr<HttpServer> front_;
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> figures_;  ///< Null where no address is given.
  /// Read before the first configuration, which tells what services exist: at a start the store
  /// lists it first. 16 servers ended again after a kill of all daemons when it was dropped (soak).
  std::optional<QuarantineNotice> early_record_;
  std::chrono::milliseconds longest_idle_{0};
  BootClock::time_point started_at_ = BootClock::now();
  BootClock::time_point reported_{};  ///< To the leader, beside relays.
  /// When the latest questions were asked: other answers are not believed.
  std::deque<std::int64_t> asked_at_us_;
  BootClock::time_point asked_{};
  BootClock::time_point leading_since_{};  ///< Zero: this daemon does not lead.
  BootClock::time_point sharing_told_{};
  std::int64_t quarantine_era_ = kEraUntold;  ///< Of the store when it last showed the list.
  std::uint32_t fleet_size_ = 0;              ///< Daemons, as the leader said last; 0: unknown.
  bool stopping_ = false;
  bool resigning_ = false;
  bool resigned_ = false;
};

}  // namespace moorfold
