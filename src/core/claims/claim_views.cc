#include "core/claims/claim_views.h"

#include <algorithm>

namespace moorfold {
namespace {

/// Time for which an owner must be missing before it is replaced, since a replacement transfers
/// its claims.
constexpr Duration kOwnerPatience = std::chrono::seconds(3);
constexpr Duration kProposalInterval = std::chrono::seconds(5);

}  // namespace

bool ClaimViews::Adopt(const ClaimView& view) {
  state_.read = true;
  if (view.number <= state_.view.number) return false;
  state_.view = view;
  return true;
}

std::vector<ClaimOwner> ClaimViews::BetterOwners() const {
  std::vector<ClaimOwner> living;
  for (const DaemonName& name : membership_.alive) {
    const auto member = membership_.members.find(name);
    const Incarnation boot = name == self_.name
                                 ? self_.incarnation
                                 : (member == membership_.members.end() ? 0 : member->second.boot);
    if (boot != 0) living.push_back({name, self_.zone, boot});
  }
  std::vector<ClaimOwner> owners;
  std::vector<ClaimOwner> own_zone;
  for (const ClaimOwner& owner : state_.view.owners) {
    if (owner.zone != self_.zone)
      owners.push_back(owner);
    else if (std::find(living.begin(), living.end(), owner) != living.end())
      own_zone.push_back(owner);
  }
  for (const ClaimOwner& candidate : living) {
    if (own_zone.size() >= settings_.claim_owners_per_zone) break;
    if (std::find(own_zone.begin(), own_zone.end(), candidate) == own_zone.end())
      own_zone.push_back(candidate);
  }
  owners.insert(owners.end(), own_zone.begin(), own_zone.end());
  std::sort(owners.begin(), owners.end());
  return owners;
}

void ClaimViews::Maintain(Timestamp now, Effects& effects) {
  if (!state_.read) {
    if (now - state_.last_read < kProposalInterval) return;
    state_.last_read = now;
    effects.push_back(ReadClaimView{});
    return;
  }
  std::vector<ClaimOwner> better = BetterOwners();
  if (better == state_.view.owners) {
    state_.owners_wrong_since = now;
    return;
  }
  if (now - state_.owners_wrong_since < kOwnerPatience) return;
  if (now - state_.last_proposed < kProposalInterval) return;
  state_.last_proposed = now;
  ClaimView proposed;
  proposed.number = state_.view.number + 1;
  proposed.owners = std::move(better);
  if (state_.view.number > 0) {
    proposed.history = state_.view.history;
    proposed.history.insert(proposed.history.begin(), state_.view.owners);
    if (proposed.history.size() > kClaimHistory) proposed.history.resize(kClaimHistory);
  }
  effects.push_back(SwapClaimView{state_.view.number, std::move(proposed)});
}

}  // namespace moorfold
