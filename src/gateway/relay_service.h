#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/fleet_messages.h"
#include "fleet/kept_record.h"
#include "gateway/gateway_metrics.h"
#include "gateway/store_view.h"
#include "relay/relay_plan.h"
#include "relay/relay_sources.h"

namespace moorfold {

struct RelaySettings {
  std::string zone;                ///< Of this daemon.
  std::string address;             ///< "IP:PORT" at which it hears datagrams.
  std::uint32_t from_daemons = 0;  ///< As RelayPlanner has it.
};

/// This daemon's part in a fleet with relays: the leader chooses them, a relay answers what it
/// knows of the store, all others ask one. One thread.
class RelayService {
 public:
  using Time = BootClock::time_point;

  struct Ports {
    std::function<void(const std::string& to, const FleetMessage& message)> send;
    std::function<void(const FleetMessage& message)> broadcast;  ///< To all that report here.
    /// @return a report that carries no demand, and asks what has changed where that can be asked.
    std::function<DemandReport()> ask;
    std::function<bool()> leads;
    /// Hears of a datagram that is left alone.
    std::function<void(const std::string& problem, const std::string& from)> dropped;
  };

  RelayService(boost::asio::io_context& context, KeyValueStore& store, StoreView& view,
               GatewayMetrics& metrics, EventLog& log, RelaySettings settings, Ports ports);

  /// @return the store's key of the plan.
  const std::string& key() const { return record_.key(); }
  /// The store shows the plan so, or none.
  void TakeRecord(const std::optional<KeyValue>& entry, StoreRevision revision);
  /// A daemon has told of a plan.
  void TakePlan(const RelayPlan& plan);
  const RelayPlan& plan() const { return plan_; }
  /// @return whether other daemons ask this one.
  bool IsRelay() const { return plan_.Names(settings_.address); }
  /// @return whether this daemon watches the store for others.
  bool Watches() const { return watches_; }
  /// @return whether this daemon asks relays.
  bool Asks() const { return plan_.needed() && !watches_ && !ports_.leads(); }

  /// A daemon has reported to this one.
  void TakeReport(const DemandReport& report);
  /// The leader has told how many daemons there are. In a fleet that is to have relays their plan
  /// follows: until then, and while it may, servers are left to them.
  void NoteFleetSize(std::uint32_t daemons);
  /// Asks the relay what has changed.
  void Ask();
  /// A relay has answered that.
  /// @return whether it is one that may be believed.
  bool TakeAnswer(const ChangeAnswer& answer, const std::string& from);
  void AnswerServersQuestion(const ServersRequest& question, const std::string& from);
  void TakeServersPage(const ServersPage& page, const std::string& from);
  void AnswerConfigurationQuestion(const ConfigurationRequest& question, const std::string& from);
  void TakeConfigurationPart(const ConfigurationPart& part, const std::string& from);
  /// Asks for what is to be taken from a relay and was not asked for, or was not answered.
  void Pull();
  /// To be called a few times a second.
  void Tick();
  /// @return "IP:PORT" of the leader as a relay has told; empty: none has lately.
  std::string LeaderTold() const;

 private:
  /// No plan has come: servers are read as in a fleet without relays.
  void EndExpectation();
  void MakePlan(Time now);
  /// @return whether that daemon is a relay that this one may ask; else the datagram is dropped.
  bool FromRelay(const std::string& from);
  void Apply();

  StoreView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  RelaySettings settings_;
  std::optional<Time> plan_expected_since_;  ///< The fleet is large, as far as told.
  bool expectation_ended_ = false;
  Ports ports_;
  KeptRecord<RelayPlan> record_;
  RelayPlan plan_;
  RelayPlanner planner_;
  RelaySources sources_;
  bool watches_ = false;            ///< As `sources_` said last.
  std::int64_t newest_number_ = 0;  ///< That any daemon has told of.
  Time leading_since_{};            ///< Zero: this daemon does not lead.
  std::string leader_told_;
  Time leader_told_at_{};
  BootTimer pull_timer_;
};

}  // namespace moorfold
