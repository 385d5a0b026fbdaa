#pragma once

#include <map>
#include <set>
#include <string>

#include "core/claims/claim_views.h"
#include "core/configuration/configuration.h"
#include "core/demand/demand.h"
#include "core/demand/residency_policy.h"
#include "core/ledger.h"
#include "core/membership/membership.h"
#include "core/placement/placement.h"
#include "core/settings.h"

namespace moorfold {

struct PendingOrder {
  Order order;
  Timestamp sent{};
  bool unanswered = false;  ///< The outcome is unknown; reserved until the server reports again.
};

/// What the zone's coordinator remembers. Every daemon has one; only the coordinator's acts.
struct CoordinatorState {
  bool active = false;
  Timestamp active_since{};
  std::map<std::string, PendingOrder> pending;  ///< By order id.
  ProvenReleases releases;
  std::map<PermitKey, Timestamp> retry_after;  ///< Set when an order failed.
  bool swap_pending = false;
  Timestamp swap_sent{};
  bool placement_dirty = true;
  Timestamp last_reconcile{};
  bool recovering = false;  ///< Became coordinator and has ordered nothing yet.
};

struct LedgerState {
  Ledger ledger;        ///< The newest known; revision 0: none known yet.
  bool absent = false;  ///< The service said that it was never written.
  Timestamp last_read{};
  Timestamp last_request{};
  Timestamp leader_seen{};  ///< When the ledger's leader was last a live member.
};

/// Everything one daemon decides from. Changed only by Reduce.
struct State {
  Identity self;
  CoreSettings settings;
  ResidencyPolicyConstPtr policy;
  MachineListing listed;                    ///< The machine list as last read; may be null.
  std::map<std::string, Machine> machines;  ///< The same by name: all zones and kinds.
  MembershipState membership;
  ConfigurationState configuration;
  LedgerState ledger;
  ClaimViewState claim_views;
  ServerViews servers;                    ///< Engines of the own zone.
  std::map<ServerName, Timestamp> polls;  ///< Servers this daemon polls, and when it last did.
  std::set<ServerName> reports_to_share;
  std::set<ServerName> loads_to_share;
  Timestamp last_load_share{};
  Timestamp last_reports_request{};
  DemandState demand;
  CoordinatorState coordinator;
  Timestamp started{};
  Timestamp last_zone_digest{};
  Timestamp last_demand_sent{};
  Timestamp last_plan{};
  bool stopping = false;
};

State MakeState(const Identity& self, const CoreSettings& settings, Timestamp now);

/// @return the daemon that orders loads in the zone, as seen from here: the ledger's leader when
///   it is alive, else the first alive member.
DaemonName CoordinatorOf(const State& state);

}  // namespace moorfold
