#include "request/claims/claim_node.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold {
namespace {

constexpr std::size_t kOwners = 3;
constexpr std::size_t kMajority = 2;
constexpr Duration kCallTimeout = std::chrono::milliseconds(400);
constexpr Duration kTransferRetry = std::chrono::seconds(1);
constexpr Duration kForgetInterval = std::chrono::seconds(10);
constexpr std::size_t kRecordsPerMessage = 2'000;

std::uint64_t Weight(const std::string& key, const ClaimOwner& owner) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(owner.name.data(), owner.name.size(), seed ^ owner.boot);
}

std::int64_t Microseconds(Timestamp when) { return when.time_since_epoch().count(); }

}  // namespace

std::vector<ClaimOwner> OwnersOf(const ClaimView& view, const std::string& key) {
  std::vector<ClaimOwner> ranked = view.owners;
  std::sort(ranked.begin(), ranked.end(), [&](const ClaimOwner& left, const ClaimOwner& right) {
    return Weight(key, left) > Weight(key, right);
  });
  std::vector<ClaimOwner> owners;
  std::set<ZoneName> zones;
  for (const ClaimOwner& owner : ranked)
    if (owners.size() < kOwners && zones.insert(owner.zone).second) owners.push_back(owner);
  for (const ClaimOwner& owner : ranked)
    if (owners.size() < kOwners && std::find(owners.begin(), owners.end(), owner) == owners.end())
      owners.push_back(owner);
  return owners;
}

bool ClaimNode::OwnsIn(const std::vector<ClaimOwner>& owners) const {
  return std::any_of(owners.begin(), owners.end(), [this](const ClaimOwner& owner) {
    return owner.name == self_ && owner.boot == boot_;
  });
}

void ClaimNode::SetView(const ClaimView& view, Timestamp now, ClaimOutput& output) {
  if (view.number <= view_.number) return;
  view_ = view;
  lowest_view_ = std::max(lowest_view_, view.number);
  serving_ = false;
  powerless_since_.reset();
  answered_.clear();
  if (!OwnsIn(view_.owners)) return;
  for (const std::vector<ClaimOwner>& generation : view_.history)
    for (const ClaimOwner& owner : generation)
      if (owner.name == self_ && owner.boot == boot_) answered_[owner] = served_view_;
  ServeWhenComplete(now);
  AskOldOwners(now, output);
}

void ClaimNode::AskOldOwners(Timestamp now, ClaimOutput& output) {
  if (serving_ || !OwnsIn(view_.owners)) return;
  last_asked_ = now;
  std::set<ClaimOwner> asked;
  for (const std::vector<ClaimOwner>& generation : view_.history)
    for (const ClaimOwner& owner : generation)
      if (!answered_.contains(owner) && !gone_.contains(owner) && asked.insert(owner).second)
        output.messages.emplace_back(owner.name, ClaimTransferRequest{view_.number, owner.boot});
}

bool ClaimNode::Tolerable(const std::vector<ClaimOwner>& generation,
                          const std::vector<ClaimOwner>& silent) {
  if (silent.empty()) return true;
  std::set<ZoneName> zones;
  std::set<ZoneName> silent_zones;
  for (const ClaimOwner& owner : generation) zones.insert(owner.zone);
  for (const ClaimOwner& owner : silent) silent_zones.insert(owner.zone);
  // With three zones a key has one owner in each; with fewer it may have two in one.
  if (zones.size() >= kOwners) return silent_zones.size() <= 1;
  return generation.size() >= kOwners && silent.size() <= 1;
}

bool ClaimNode::HasAllEarlierClaims() const {
  std::uint64_t number = view_.number;
  for (const std::vector<ClaimOwner>& generation : view_.history) {
    --number;
    std::vector<ClaimOwner> silent;
    bool served = false;
    for (const ClaimOwner& owner : generation) {
      const auto answer = answered_.find(owner);
      if (answer == answered_.end())
        silent.push_back(owner);
      else
        served = served || answer->second >= number;
    }
    if (!Tolerable(generation, silent)) return false;
    if (served) return true;
  }
  return number == 1;  // There was no view before the oldest that was asked.
}

bool ClaimNode::Gone(const ClaimOwner& owner) const {
  return gone_.contains(owner) || (!listed_.empty() && !listed_.contains(owner.name));
}

bool ClaimNode::OldViewsCannotGrant() const {
  for (const std::vector<ClaimOwner>& generation : view_.history) {
    std::vector<ClaimOwner> out_of_reach;
    for (const ClaimOwner& owner : generation)
      if (!answered_.contains(owner) && !Gone(owner)) out_of_reach.push_back(owner);
    if (!Tolerable(generation, out_of_reach)) return false;
  }
  return true;
}

void ClaimNode::ServeWhenComplete(Timestamp now) {
  if (serving_ || !OwnsIn(view_.owners)) return;
  if (!HasAllEarlierClaims()) {
    if (!OldViewsCannotGrant()) return powerless_since_.reset();
    if (!powerless_since_) powerless_since_ = now;
    if (now - *powerless_since_ < kClaimRetention) return;
  }
  serving_ = true;
  served_view_ = view_.number;
}

void ClaimNode::Merge(const ClaimRecord& record) {
  ClaimRecord& known = records_[record.key][record.holder];
  if (known.key.empty() || record.state > known.state) known = record;
}

ClaimReply ClaimNode::Judge(const ClaimRequest& request, Timestamp now) {
  ClaimReply reply{request.call, ClaimVerdict::kWrongView, {}};
  if (!serving_ || request.view != view_.number || request.view < lowest_view_) return reply;
  std::map<std::string, ClaimRecord>& claims = records_[request.key];
  std::erase_if(claims, [&](const auto& entry) {
    return entry.second.expires_microseconds <= Microseconds(now);
  });
  for (const auto& [holder, record] : claims) {
    if (record.state != ClaimState::kFinished) continue;
    reply.verdict = ClaimVerdict::kFinished;
    reply.answer = record.answer;
    return reply;
  }
  for (const auto& [holder, record] : claims) {
    if (holder == request.holder) continue;
    reply.verdict = ClaimVerdict::kHeldByOther;
    return reply;
  }
  claims[request.holder] = {
      request.key, request.holder, ClaimState::kClaimed, {}, Microseconds(now + kClaimRetention)};
  reply.verdict = ClaimVerdict::kGranted;
  return reply;
}

void ClaimNode::Claim(std::uint64_t call, const std::string& key, const std::string& holder,
                      Timestamp now, ClaimOutput& output) {
  PendingCall& pending = calls_[call];
  pending = {key, holder, now, OwnersOf(view_, key), {}};
  if (pending.owners.empty()) return EndCall(call, ClaimEnd::kNoMajority, {}, now, output);
  const ClaimRequest request{call, view_.number, key, holder};
  const std::vector<ClaimOwner> owners = pending.owners;
  for (const ClaimOwner& owner : owners)
    if (owner.name != self_) output.messages.emplace_back(owner.name, request);
  for (const ClaimOwner& owner : owners)
    if (owner.name == self_) On(self_, Judge(request, now), now, output);
}

void ClaimNode::EndCall(std::uint64_t call, ClaimEnd end, const KeptAnswer& answer, Timestamp now,
                        ClaimOutput& output) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  const PendingCall pending = found->second;
  calls_.erase(found);
  if (end != ClaimEnd::kGranted) GiveBack(pending.key, pending.holder, now, output);
  output.finished.emplace_back(call, ClaimResult{end, answer});
}

void ClaimNode::On(const DaemonName& from, const ClaimReply& reply, Timestamp now,
                   ClaimOutput& output) {
  const auto found = calls_.find(reply.call);
  if (found == calls_.end()) return;
  PendingCall& pending = found->second;
  pending.verdicts[from] = reply.verdict;
  if (reply.verdict == ClaimVerdict::kFinished)
    return EndCall(reply.call, ClaimEnd::kFinished, reply.answer, now, output);
  std::size_t granted = 0;
  std::size_t held = 0;
  for (const auto& [owner, verdict] : pending.verdicts) {
    if (verdict == ClaimVerdict::kGranted) ++granted;
    if (verdict == ClaimVerdict::kHeldByOther) ++held;
  }
  const std::size_t needed = std::min(kMajority, pending.owners.size() / 2 + 1);
  if (granted >= needed) return EndCall(reply.call, ClaimEnd::kGranted, {}, now, output);
  if (held >= needed) return EndCall(reply.call, ClaimEnd::kInUse, {}, now, output);
  if (pending.verdicts.size() == pending.owners.size())
    EndCall(reply.call, ClaimEnd::kNoMajority, {}, now, output);
}

void ClaimNode::On(const DaemonName& from, const ClaimRequest& request, Timestamp now,
                   ClaimOutput& output) {
  output.messages.emplace_back(from, Judge(request, now));
}

void ClaimNode::On(const DaemonName&, const ClaimUpdate& update, Timestamp now, ClaimOutput&) {
  if (update.state == ClaimState::kFinished) {
    records_[update.key][update.holder] = {update.key, update.holder, update.state, update.answer,
                                           Microseconds(now + kClaimRetention)};
    return;
  }
  const auto claims = records_.find(update.key);
  if (claims == records_.end()) return;
  claims->second.erase(update.holder);
  if (claims->second.empty()) records_.erase(claims);
}

void ClaimNode::Tell(const std::string& key, const ClaimUpdate& update, Timestamp now,
                     ClaimOutput& output) {
  for (const ClaimOwner& owner : OwnersOf(view_, key)) {
    if (owner.name == self_)
      On(self_, update, now, output);
    else
      output.messages.emplace_back(owner.name, update);
  }
}

void ClaimNode::Finish(const std::string& key, const std::string& holder, const KeptAnswer& answer,
                       Timestamp now, ClaimOutput& output) {
  Tell(key, {key, holder, ClaimState::kFinished, answer}, now, output);
}

void ClaimNode::GiveBack(const std::string& key, const std::string& holder, Timestamp now,
                         ClaimOutput& output) {
  Tell(key, {key, holder, ClaimState::kUnclaimed, {}}, now, output);
}

void ClaimNode::On(const DaemonName& from, const ClaimTransferRequest& request, Timestamp now,
                   ClaimOutput& output) {
  lowest_view_ = std::max(lowest_view_, request.view);
  ClaimTransferReply reply{request.view, request.boot, request.boot != boot_,
                           served_view_, {},           false};
  const ClaimTransferReply empty = reply;
  for (const auto& [key, claims] : records_) {
    for (const auto& [holder, record] : claims) {
      if (record.expires_microseconds <= Microseconds(now)) continue;
      reply.records.push_back(record);
      if (reply.records.size() < kRecordsPerMessage) continue;
      output.messages.emplace_back(from, std::move(reply));
      reply = empty;
    }
  }
  reply.complete = true;
  output.messages.emplace_back(from, std::move(reply));
}

void ClaimNode::On(const DaemonName& from, const ClaimTransferReply& reply, Timestamp now,
                   ClaimOutput&) {
  if (reply.view != view_.number) return;
  for (const ClaimRecord& record : reply.records) Merge(record);
  if (!reply.complete) return;
  for (const std::vector<ClaimOwner>& generation : view_.history) {
    for (const ClaimOwner& owner : generation) {
      if (owner.name != from || owner.boot != reply.boot) continue;
      if (reply.gone)
        gone_.insert(owner);
      else
        answered_[owner] = reply.served_view;
    }
  }
  ServeWhenComplete(now);
}

void ClaimNode::OnMessage(const DaemonName& from, const ClaimMessage& message, Timestamp now,
                          ClaimOutput& output) {
  std::visit([&](const auto& body) { On(from, body, now, output); }, message);
}

void ClaimNode::Tick(Timestamp now, ClaimOutput& output) {
  std::vector<std::uint64_t> late;
  for (const auto& [call, pending] : calls_)
    if (now - pending.started >= kCallTimeout) late.push_back(call);
  for (const std::uint64_t call : late) EndCall(call, ClaimEnd::kNoMajority, {}, now, output);
  ServeWhenComplete(now);
  if (now - last_asked_ >= kTransferRetry) AskOldOwners(now, output);
  if (now - last_forgotten_ < kForgetInterval) return;
  last_forgotten_ = now;
  for (auto& [key, claims] : records_)
    std::erase_if(claims, [&](const auto& claim) {
      return claim.second.expires_microseconds <= Microseconds(now);
    });
  std::erase_if(records_, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace moorfold
