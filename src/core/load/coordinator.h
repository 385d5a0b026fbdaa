#pragma once

#include "core/effects.h"
#include "core/events.h"
#include "core/state.h"

namespace moorfold {

/// Orders loads and releases in the zone while this daemon is its coordinator. Memory is reserved
/// from the moment a load is ordered until the engine reports otherwise; it is free again when the
/// engine acknowledged a release. An order without an answer counts as carried out.
class Coordinator {
 public:
  Coordinator(State& state, Timestamp now, Effects& effects)
      : state_(state), now_(now), effects_(effects) {}

  /// Takes or gives up the role by the membership's view.
  void UpdateRole();
  /// Writes the next ledger when this daemon leads and something must change.
  void ReconcilePlacement();
  /// Orders the loads and releases that demand and policy ask for.
  void PlanOrders();
  void OnOrderFinished(const OrderFinished& finished);
  /// Drops the reservations of unanswered orders that `server` has had time to report on.
  void OnServerReported(const ServerName& server);
  void OnSwapFinished(const LedgerSwapFinished& finished);

 private:
  bool Leads() const;
  void TakeLead();
  void Swap(const Ledger& proposed);
  void ReleaseMovingPermits();
  void PlanModel(const ModelIntent& model, ModelDemand& demand);
  void LoadReplicas(const ModelIntent& model, std::uint32_t missing);
  bool LoadOne(const ModelIntent& model, const Permit& permit);
  void ReleaseIdle(const ModelIntent& model, const ModelDemand& demand, std::uint32_t loaded,
                   std::uint32_t wanted);
  void LoadAdapters(const ModelIntent& model, const ModelDemand& demand);
  bool MakeRoom(const ServerView& server, MebiBytes memory, Priority priority);
  MebiBytes FreeMemory(const ServerView& server) const;
  std::set<ModelName> BusyModels() const;
  bool CanOrder(const Permit& permit) const;
  bool IsLoaded(const Permit& permit) const;
  bool HasPending(OrderKind kind, const Permit& permit) const;
  void SendOrderFor(OrderKind kind, const Permit& permit, const AdapterName& adapter = {},
                    MebiBytes memory = 0, std::vector<AdapterName> evicted = {});
  void Log(LogSeverity severity, std::string name,
           std::vector<std::pair<std::string, std::string>> fields);

  State& state_;
  Timestamp now_;
  Effects& effects_;
};

}  // namespace moorfold
