#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>

#include "common/boot_clock.h"
#include "common/wall_clock.h"
#include "config/settings_file.h"
#include "host/core_host.h"
#include "peer/transport.h"
#include "ports/etcd_key_value_store.h"
#include "ports/http_machine_list.h"
#include "ports/http_model_engine.h"
#include "request/claims/claim_service.h"
#include "request/routing_table.h"

namespace moorfold {

/// The control thread's side of a daemon: the core host over real time, sockets and the platform's
/// network adapters. Except for the ClaimService calls, everything runs on the control thread.
class ControlLoop : public ClaimService {
 public:
  /// @param table_published called after each new table.
  ControlLoop(boost::asio::io_context& context, const DaemonSettings& settings,
              const Identity& self, RoutingTablePublisher& tables,
              std::function<void()> table_published);
  ~ControlLoop() override;

  void Start();
  CoreHost& host() { return *host_; }
  Endpoint peer_endpoint() const { return transport_.endpoint(); }
  TransportStatistics transport_statistics() const { return transport_.statistics(); }

  Awaitable<ClaimResult> Claim(std::string key, std::string holder) override;
  void Finish(std::string key, std::string holder, KeptAnswer answer) override;
  void GiveBack(std::string key, std::string holder) override;

 private:
  class AsioScheduler;
  class TransportSender;
  class Observer;
  using ClaimCallback = std::function<void(ClaimResult)>;

  void OnPayload(const DaemonName& from, const PeerPayload& payload);
  void SchedulePublish();

  boost::asio::io_context& context_;
  RoutingTablePublisher& tables_;
  std::function<void()> table_published_;
  WallClock clock_;
  PeerTransport transport_;
  EtcdKeyValueStore key_value_;
  DocumentStore documents_;
  HttpMachineList machine_list_;
  HttpModelEngine engines_;
  RoutingTableBuilder table_builder_;
  BootTimer publish_timer_;
  bool publish_pending_ = false;
  std::map<std::uint64_t, ClaimCallback> claim_calls_;
  std::uint64_t next_claim_call_ = 1;
  std::unique_ptr<AsioScheduler> scheduler_;
  std::unique_ptr<TransportSender> sender_;
  std::unique_ptr<Observer> observer_;
  std::unique_ptr<CoreHost> host_;
};

}  // namespace moorfold
