#pragma once

#include "core/claims/claim_messages.h"
#include "core/effects.h"
#include "core/membership/membership.h"
#include "core/settings.h"

namespace moorfold {

/// What a daemon knows of the agreed view of claim owners.
struct ClaimViewState {
  ClaimView view;
  bool read = false;  ///< The service was read, or a peer told.
  Timestamp last_read{};
  Timestamp last_proposed{};
  Timestamp last_request{};
  Timestamp owners_wrong_since{};
};

/// Keeps the owners of the own zone in the agreed view: the zone's coordinator replaces an owner
/// that died, left or restarted by a live member, by compare-and-swap of the whole view. Owners
/// stay while they live, since each change costs a transfer.
class ClaimViews {
 public:
  ClaimViews(const Identity& self, const CoreSettings& settings, const MembershipState& membership,
             ClaimViewState& state)
      : self_(self), settings_(settings), membership_(membership), state_(state) {}

  /// @return true when the view was newer and is now known.
  bool Adopt(const ClaimView& view);
  /// Reads the view when unknown, and proposes a better one. Called by the zone's coordinator.
  void Maintain(Timestamp now, Effects& effects);

 private:
  std::vector<ClaimOwner> BetterOwners() const;

  const Identity& self_;
  const CoreSettings& settings_;
  const MembershipState& membership_;
  ClaimViewState& state_;
};

}  // namespace moorfold
