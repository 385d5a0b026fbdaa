#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/fleet_messages.h"
#include "fleet/published_record.h"
#include "gateway/gateway_metrics.h"
#include "gateway/store_view.h"
#include "relay/relay_plan.h"
#include "relay/relay_sources.h"

namespace moorfold {

struct RelaySettings {
  std::string zone;                ///< Zone of this daemon.
  std::string address;             ///< "IP:PORT" at which this daemon receives datagrams.
  std::uint32_t from_daemons = 0;  ///< As in RelayPlanner: smaller fleets need no relays.
};

/// This daemon's role in a fleet with relays: the leader chooses the relays, a relay answers
/// questions about the store's contents, and all other daemons ask a relay. Not thread-safe.
class RelayService {
 public:
  using Time = BootClock::time_point;

  struct Ports {
    std::function<void(const std::string& to, const FleetMessage& message)> send;
    /// Sends to all daemons that report to this one.
    std::function<void(const FleetMessage& message)> broadcast;
    /// @return a report without demand, which carries a question about changes if one can be asked.
    std::function<DemandReport()> ask;
    std::function<bool()> leads;
    /// Called for a datagram that is ignored.
    std::function<void(const std::string& problem, const std::string& from)> dropped;
  };

  RelayService(boost::asio::io_context& context, KeyValueStore& store, StoreView& view,
               GatewayMetrics& metrics, EventLog& log, RelaySettings settings, Ports ports);

  /// @return the key of the plan in the store.
  const std::string& key() const { return record_.key(); }
  /// Applies the plan as the store has it, or its absence.
  void ApplyRecord(const std::optional<KeyValue>& entry, StoreRevision revision);
  /// Adopts a plan that another daemon sent, if it is newer.
  void ApplyPlan(const RelayPlan& plan);
  const RelayPlan& plan() const { return plan_; }
  /// @return whether the plan lists this daemon as a relay.
  bool IsRelay() const { return plan_.Names(settings_.address); }
  /// @return whether this daemon watches the store on behalf of others.
  bool Watches() const { return watches_; }
  /// @return whether this daemon sends its questions to relays.
  bool UsesRelays() const { return plan_.needed() && !watches_ && !ports_.leads(); }

  /// Handles a report of another daemon.
  void TakeReport(const DemandReport& report);
  /// Handles the fleet size that the leader announced. In a fleet large enough for relays, a plan
  /// is expected to follow: until it arrives or the wait ends, servers are not read from the store
  /// but left to the relays.
  void HandleFleetSize(std::uint32_t daemons);
  /// Asks the relay what has changed.
  void RequestChanges();
  /// Handles a relay's answer about changes.
  /// @return whether the sender is a relay whose answers this daemon accepts.
  bool TakeAnswer(const ChangeAnswer& answer, const std::string& from);
  void AnswerServersQuestion(const ServersRequest& question, const std::string& from);
  void HandleServersPage(const ServersPage& page, const std::string& from);
  void AnswerConfigurationQuestion(const ConfigurationPartRequest& question,
                                   const std::string& from);
  void HandleConfigurationPart(const ConfigurationPart& part, const std::string& from);
  /// Sends the questions that are due: for servers or a configuration that are to be fetched from a
  /// relay and were not requested yet, or whose request was not answered.
  void SendDueQuestions();
  /// Runs periodic work; call it a few times a second.
  void Tick();
  /// @return "IP:PORT" of the leader as a relay recently reported it; empty if none did.
  std::string ReportedLeader() const;

 private:
  /// Ends the wait for a plan if none arrived in time; servers are then read as in a fleet without
  /// relays.
  void StopExpectingPlan();
  void MakePlan(Time now);
  /// @return whether the sender is a relay of this daemon; otherwise the datagram is reported as
  /// dropped.
  bool AcceptFromRelay(const std::string& from);
  /// Derives from the plan whether this daemon watches the store, serves others or asks a relay.
  void UpdateRole();

  StoreView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  RelaySettings settings_;
  /// When the announced fleet size first called for a plan.
  std::optional<Time> plan_expected_since_;
  bool plan_wait_ended_ = false;
  Ports ports_;
  PublishedRecord<RelayPlan> record_;
  RelayPlan plan_;
  RelayPlanner planner_;
  RelaySources sources_;
  bool watches_ = false;                 ///< Last result of `sources_`.
  std::int64_t newest_plan_number_ = 0;  ///< Highest number of a plan that any daemon reported.
  Time leading_since_{};                 ///< Zero if this daemon does not lead.
  std::string reported_leader_;
  Time reported_leader_at_{};
  BootTimer retry_timer_;
};

}  // namespace moorfold
