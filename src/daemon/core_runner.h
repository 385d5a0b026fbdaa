#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "common/wall_clock.h"
#include "config/settings_file.h"
#include "core/reducer.h"
#include "core/state.h"
#include "peer/transport.h"
#include "platform/document_store.h"
#include "platform/machine_list.h"
#include "platform/model_engine.h"
#include "request/routing_table.h"

namespace moorfold {

/// Runs the core in a daemon: turns what happens into events and carries effects out over the
/// ports. Everything here runs on the control thread.
class CoreRunner {
 public:
  struct Ports {
    DocumentStore* documents = nullptr;
    MachineList* machine_list = nullptr;
    ModelEngine* engines = nullptr;
  };
  /// Tells the workers: a new table was published.
  using TableCallback = std::function<void()>;

  /// @param ports outlive this object.
  CoreRunner(boost::asio::io_context& context, const DaemonSettings& settings, Identity self,
             Ports ports, RoutingTablePublisher& tables, TableCallback table_published);
  ~CoreRunner();

  void Start(PeerTransport& transport);
  void OnPeerMessage(const DaemonName& from, const PeerMessage& message);
  /// Requests wait for a cold model: hands the demand to the core at once.
  void OnNudge();
  /// Leaves the membership; call once when the daemon begins to stop.
  void RequestStop();
  /// Takes new timing and residency settings from now on.
  void UpdateSettings(const CoreSettings& settings);

  const State& state() const { return state_; }
  WallClock& clock() { return clock_; }
  DocumentStore& documents() { return *ports_.documents; }

 private:
  void Dispatch(EventBody body);
  void Carry(const Effect& effect);
  void Carry(const SendMessage& effect);
  void Carry(const ReadLedger& effect);
  void Carry(const SwapLedger& effect);
  void Carry(const ReadConfiguration& effect);
  void Carry(const WatchConfiguration& effect);
  void Carry(const PollServer& effect);
  void Carry(const SendOrder& effect);
  void Carry(const PublishRouting& effect);
  void Carry(const PublishLoads& effect);
  void Carry(const LogRecord& effect);
  void StartWatch();
  void ScheduleTick();
  void ScheduleMachineList();
  void PublishTable();

  boost::asio::io_context& context_;
  DaemonSettings settings_;
  Ports ports_;
  RoutingTablePublisher& tables_;
  TableCallback table_published_;
  WallClock clock_;
  std::mt19937_64 random_;
  State state_;
  RoutingTableBuilder table_builder_;
  PeerTransport* transport_ = nullptr;
  boost::asio::steady_timer tick_timer_;
  boost::asio::steady_timer machine_list_timer_;
  boost::asio::steady_timer publish_timer_;
  bool publish_pending_ = false;
  std::unique_ptr<WatchHandle> watch_;
  int ticks_since_demand_ = 0;
  /// Callbacks of ports hold it weakly, so that a late one finds nobody.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace moorfold
