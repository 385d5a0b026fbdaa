#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/intent.h"
#include "core/ledger.h"
#include "core/types.h"

namespace moorfold {

/// What a daemon knows of one engine server of its zone.
struct ServerView {
  Machine machine;
  bool listed = false;                 ///< On the platform's machine list at the last reading.
  std::optional<ServerReport> report;  ///< The newest one, from any daemon of the zone.
  Timestamp report_received{};
  std::uint32_t running = 0;
  std::uint32_t queued = 0;

  bool Leaving() const { return machine.leaving || (report && report->leaving); }
  const ReplicaReport* FindReplica(const ModelVersion& servable) const;
};

using ServerViews = std::map<ServerName, ServerView>;

/// The releases that are proven for permits in phase kMoving: the fence of the order that the old
/// home acknowledged.
using ProvenReleases = std::map<PermitKey, Revision>;

/// @return whether the incarnation that a permit names can hold nothing any more: its server
///   started again, or the platform lists it no longer.
bool IncarnationGone(const Permit& permit, const ServerViews& servers);

/// Brings a zone's ledger in line with the configuration and with the machines that live.
/// Every rule that keeps "loaded <= decided" is here; see docs/DESIGN.md, "Permits".
class LedgerReconciler {
 public:
  LedgerReconciler(const ZoneName& zone, const Intent& intent, Revision configuration_revision,
                   const ServerViews& servers, const ProvenReleases& releases)
      : zone_(zone),
        intent_(intent),
        configuration_revision_(configuration_revision),
        servers_(servers),
        releases_(releases) {}

  /// @return the next ledger (revision one higher), or nothing when there is nothing to change or
  ///   the ledger follows a newer configuration than this daemon holds.
  std::optional<Ledger> Reconcile(const Ledger& current) const;

 private:
  std::uint32_t Quota(const ModelVersion& servable) const;
  bool OldVersionStillServes(const Permit& permit) const;
  void FinishMove(Ledger& next, const Permit& permit) const;
  void UpdateHeld(Ledger& next, Permit& permit) const;
  void AddMissing(Ledger& next) const;
  std::optional<ServerName> ChooseHome(const Ledger& ledger, const PermitKey& key,
                                       MebiBytes memory) const;
  bool AssignHome(const Ledger& ledger, Permit& permit) const;

  const ZoneName& zone_;
  const Intent& intent_;
  Revision configuration_revision_;
  const ServerViews& servers_;
  const ProvenReleases& releases_;
};

}  // namespace moorfold
