#include "fleet/leader_election.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <functional>
#include <stdexcept>

#include "common/boot_clock.h"
#include "fleet/fencing_token.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{100};
constexpr milliseconds kRenewalInterval{500};
/// Orders that this machine's process sent before a restart may still be in flight for this time.
constexpr milliseconds kOwnHandoverWait{400};
constexpr milliseconds kMaxJitter{150};
constexpr milliseconds kCampaignPause{700};
constexpr milliseconds kWaitMargin{300};
/// How much later other machines claim the key of a leader that lost its lease in an outage of the
/// store. That leader goes first because it does not have to wait for its own orders.
constexpr milliseconds kFormerLeaderHeadStart{300};
/// How much later other daemons claim a released key than the daemon that was offered leadership.
constexpr milliseconds kOfferedDaemonHeadStart{600};
/// How much later a daemon that reaches no server claims the key than the others.
constexpr milliseconds kReachingDaemonsHeadStart{2'500};
constexpr milliseconds kReadInterval{300};
/// Age from which the known state of the key is read again before a claim. A claim costs the store
/// a lease and a transaction. When a whole fleet starts at once, most daemons find by this read
/// that one of them already leads.
constexpr milliseconds kKeyStateMaxAge{100};
/// Number of reads of the key by the whole fleet in each `kReadInterval`. These detect the loss of
/// a leader soon enough; the other daemons learn of the next leader by their regular reads of the
/// store.
constexpr std::uint32_t kReadersPerInterval = 8;
constexpr std::uint32_t kReadPhases = 64;
/// Silence after which a leader's key is read. A leader sends a message twice a second. Its key
/// stays until its lease lapses, and is read until then.
constexpr milliseconds kLeaderSilenceTimeout{1'300};
/// A leader has at most one write of its record in flight, so the second attempt knows the
/// revision.
constexpr int kMaxReleaseAttempts = 2;
/// Limit of the times in a record: far longer than any wait that a leader leaves behind.
constexpr milliseconds kMaxInheritedTime = std::chrono::hours(1);

/// @throws std::runtime_error if a time in the history of a leader's record is out of range.
void CheckOrderHistory(const OrderHistoryRecord& history) {
  const auto check = [](std::int64_t time_ms) {
    if (time_ms < 0 || time_ms > kMaxInheritedTime.count())
      throw std::runtime_error("a time in the order history is out of range");
  };
  check(history.quiet_ms);
  for (const RecentServerOrder& order : history.servers) check(order.age_ms);
  for (const std::int64_t remaining_ms : history.load_remaining_ms) check(remaining_ms);
}

}  // namespace

LeaderElection::LeaderElection(boost::asio::io_context& context, KeyValueStore& store,
                               EventLog& log, ElectionSettings settings)
    : store_(store),
      log_(log),
      settings_(std::move(settings)),
      window_(settings_.time_to_live),
      history_(settings_.name, settings_.order_separation, settings_.load_window),
      restore_wait_(settings_.time_to_live / 2 + kMaxOrderDuration + settings_.order_separation +
                    kWaitMargin),
      timer_(context) {}

void LeaderElection::Start() { Tick(); }

bool LeaderElection::MayOrder() const {
  return !resigned_ && reaches_servers_ && !ownership_unverified_ && !LeaseEraEnded() &&
         window_.MayOrder(BootClock::now());
}

bool LeaderElection::ServerSafeToOrder(const std::string& server_id) const {
  return BootClock::now() >= history_.SafeToOrderFrom(server_id);
}

milliseconds LeaderElection::Jitter() const {
  const auto hash =
      std::hash<std::string>{}(settings_.name + std::to_string(leader_revision_.number));
  return settings_.candidacy_delay +
         milliseconds(hash % static_cast<std::size_t>(kMaxJitter.count()));
}

/// Returns the wait that remains when a previous leader's key lapses. That leader's last order
/// arrives at most half a lease plus the longest order after its last renewal; the key lapses a
/// whole lease after that renewal.
milliseconds LeaderElection::WaitAfterOtherLeader() const {
  const milliseconds wait =
      settings_.order_separation + kMaxOrderDuration + kWaitMargin - settings_.time_to_live / 2;
  return std::max(milliseconds(0), wait);
}

void LeaderElection::KeyChanged(const std::optional<KeyValue>& entry, StoreRevision revision) {
  // The change predates this leader's own write, or a direct read has already shown it.
  if (window_.leading() && revision < record_revision_) return;
  if (revision <= key_state_revision_) return;
  key_state_revision_ = revision;
  key_state_seen_at_ = BootClock::now();
  restore_wait_.NoteEra(revision.era, key_state_seen_at_);
  key_confirmed_at_ = key_state_seen_at_;
  const bool had_leader = leader_.has_value();
  const std::string before = leader_ ? leader_->name : "none";
  const bool was_other_leader = leader_ && leader_->name != settings_.name;
  leader_.reset();
  leader_lease_ = {};
  key_orphaned_ = false;
  if (entry) {
    try {
      auto record = DecodeMessage<LeaderRecord>(entry->value);
      CheckOrderHistory(record.history);
      leader_ = std::move(record);
      restore_wait_.NoteRecord(*leader_);
      leader_revision_ = entry->mod_revision;
      leader_lease_ = entry->lease;
    } catch (const std::exception& error) {
      key_orphaned_ = !entry->lease.exists();
      leader_revision_ = entry->mod_revision;
      log_.Write(LogRank::kFailure,
                 EventLine(LogEvent::kLeaderRecordSkipped).Field(LogField::kProblem, error.what()));
    }
  }
  if (!leader_ && (had_leader || !key_known_)) {
    const milliseconds head_start = was_other_leader ? kFormerLeaderHeadStart : milliseconds(0);
    campaign_not_before_ = BootClock::now() + head_start + Jitter();
  }
  if (leader_ && leader_->released)
    campaign_not_before_ = BootClock::now() + kOfferedDaemonHeadStart + Jitter();
  key_known_ = true;
  const bool other_leader = leader_ && leader_->name != settings_.name;
  if (other_leader && revision > claim_revision_) window_.NoteOtherLeader();
  const bool is_own_key = leader_ && lease_.exists() && leader_lease_ == lease_;
  if (is_own_key && window_.leading()) record_revision_ = std::max(record_revision_, revision);
  if (window_.leading() && !is_own_key) Lose("the leader key is held by another machine or gone");
  if (is_own_key && !window_.leading() && !claim_in_progress_) Won(entry->mod_revision);
  const std::string name = leader_ ? leader_->name : "none";
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kLeaderSeen)
                                     .Field(LogField::kLeader, name)
                                     .Field(LogField::kBefore, before)
                                     .Field(LogField::kLease, leader_lease_.number)
                                     .Field(LogField::kRevision, ToString(revision)));
}

std::optional<StoreRevision> LeaderElection::EligibleClaimCondition() const {
  if (resigned_ || stepping_down_ || claim_in_progress_ || window_.leading() || !key_known_)
    return std::nullopt;
  if (!reaches_servers_ && BootClock::now() < key_state_seen_at_ + kReachingDaemonsHeadStart)
    return std::nullopt;
  if (BootClock::now() < campaign_not_before_) return std::nullopt;
  return LeadershipClaim::Condition(KeyState(), settings_.name);
}

void LeaderElection::Tick() {
  if (const auto condition = EligibleClaimCondition()) StandForElection(*condition);
  if (window_.leading()) RenewOrLose();
  const Time now = BootClock::now();
  if (window_.InitialWaitOver(now) && history_.InheritedOrdersExpired(now) &&
      !settled_write_started_)
    WriteSettledRecord();
  if (!LeaderSilent(now)) {
    // Staggers the first reads of the daemons in a large fleet.
    const auto phase = std::hash<std::string>{}(settings_.name) % kReadPhases;
    read_not_before_ = now + (ReadInterval() - kReadInterval) * phase / kReadPhases;
  } else if (now >= read_not_before_) {
    ReadKey();
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !resigned_) Tick();
  });
}

void LeaderElection::StandForElection(StoreRevision condition) {
  const Time now = BootClock::now();
  if (now - key_confirmed_at_ < kKeyStateMaxAge) {
    Campaign(condition);
    return;
  }
  campaign_not_before_ = now + kCampaignPause + Jitter();
  claim_after_read_ = true;
  ReadKey();
}

void LeaderElection::Campaign(StoreRevision condition) {
  claim_in_progress_ = true;
  campaign_not_before_ = BootClock::now() + kCampaignPause + Jitter();
  const Time sent = BootClock::now();
  const LeadershipClaim claim(condition);
  store_.GrantLease(settings_.time_to_live, [this, sent, claim](const Outcome<LeaseId>& lease) {
    claim_in_progress_ = lease.ok();
    if (lease.ok()) Claim(claim, lease.value(), sent);
  });
}

void LeaderElection::Claim(const LeadershipClaim& claim, LeaseId lease, Time grant_sent) {
  if (resigned_ || !claim.StillHolds(KeyState(), settings_.name)) {
    claim_in_progress_ = false;
    LogClaim(LogEvent::kLeadershipClaimFailed, lease, claim, "the key changed before the claim");
    store_.RevokeLease(lease, [](const Outcome<bool>&) {});  // No key is attached to it.
    return;
  }
  lease_ = lease;
  grant_sent_ = grant_sent;
  // In a store restored from a copy, the record may be outdated: another machine may have led
  // since.
  const bool record_is_current = leader_ && leader_->IsValidInEra(lease.era);
  resuming_settled_term_ = record_is_current && leader_->name == settings_.name && leader_->settled;
  inherited_history_.reset();
  claimed_own_unreleased_key_ = leader_ && leader_->name == settings_.name && !leader_->released;
  if (record_is_current && leader_->released) inherited_history_ = leader_->history;
  inherited_history_seen_at_ = key_state_seen_at_;
  const LeaderRecord record{settings_.name, settings_.address, false, false, {}, lease.era};
  Transaction transaction;
  transaction.comparisons.push_back({settings_.key, claim.condition()});
  transaction.operations.emplace_back(PutOperation{settings_.key, EncodeMessage(record), lease});
  LogClaim(LogEvent::kLeadershipClaim, lease, claim, "");
  store_.Transact(std::move(transaction),
                  [this, lease, claim](const Outcome<TransactionResult>& result) {
                    claim_in_progress_ = false;
                    HandleClaimResult(claim, lease, result);
                  });
}

/// A claim without an answer may still be carried out, even seconds later. In that case the watch
/// reports the key with this machine's lease, and KeyChanged completes the win.
void LeaderElection::HandleClaimResult(const LeadershipClaim& claim, LeaseId lease,
                                       const Outcome<TransactionResult>& result) {
  if (result.ok() && result.value().succeeded) {
    Won(result.value().revision);
    return;
  }
  LogClaim(LogEvent::kLeadershipClaimFailed, lease, claim,
           result.ok() ? "the key has a different revision" : result.failure().message);
  if (result.ok()) ReadKey();  // Another machine has won; its record names it.
}

/// Returns this daemon's interval between reads, its share of the fleet's reads of the key.
milliseconds LeaderElection::ReadInterval() const {
  return kReadInterval * std::max(1U, daemon_count_ / kReadersPerInterval);
}

void LeaderElection::LogClaim(LogEvent event, LeaseId lease, const LeadershipClaim& claim,
                              const std::string& problem) {
  EventLine line(event);
  line.Field(LogField::kLease, lease.number).Field(LogField::kBefore, ToString(claim.condition()));
  if (!problem.empty()) line.Field(LogField::kProblem, problem);
  log_.Write(LogRank::kDecision, line);
}

/// @return how long to wait before the first order, regardless of the store's era.
milliseconds LeaderElection::BeginTerm(Time now) {
  load_history_known_ = inherited_history_.has_value();
  // The orders of this machine's earlier process are unknown, so a next leader has to wait for
  // them.
  others_may_order_from_ = claimed_own_unreleased_key_
                               ? now + settings_.order_separation + kMaxOrderDuration + kWaitMargin
                               : Time{};
  if (inherited_history_) {
    history_.Inherit(*inherited_history_, inherited_history_seen_at_);
    const Time quiet_until =
        inherited_history_seen_at_ + milliseconds(inherited_history_->quiet_ms);
    return std::chrono::ceil<milliseconds>(std::max(quiet_until, now) - now);
  }
  if (resuming_settled_term_) {
    history_.Reset();
    return kOwnHandoverWait;
  }
  // History that was inherited before an outage remains valid after it.
  if (window_.ContinuesOwnTerm(now, WaitAfterOtherLeader())) return kOwnHandoverWait;
  history_.Reset();
  return WaitAfterOtherLeader();
}

void LeaderElection::Won(StoreRevision revision) {
  if (window_.leading() || resigned_ || stepping_down_) return;
  const auto now = BootClock::now();
  // Only this machine can have sent orders since its own term: no other machine can have completed
  // its wait.
  const bool follows_own =
      !inherited_history_ && window_.ContinuesOwnTerm(now, WaitAfterOtherLeader());
  const Time order_from = now + BeginTerm(now);
  window_.Win(grant_sent_,
              follows_own ? order_from : std::max(order_from, restore_wait_.quiet_until()));
  claim_revision_ = revision;
  fencing_token_ = FencingToken(revision);
  record_revision_ = revision;
  settled_write_started_ = false;
  ownership_unverified_ = false;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kLeadershipWon)
                                     .Field(LogField::kToken, fencing_token_)
                                     .Field(LogField::kLease, lease_.number));
}

void LeaderElection::RenewOrLose() {
  const Time now = BootClock::now();
  if (window_.Lapsed(now)) {
    Lose("the lease was not renewed in time");
    return;
  }
  if (LeaseEraEnded()) {
    Lose("the store came back from an older copy");
    ReadKey();
    return;
  }
  if (renewal_in_progress_ || now < grant_sent_ + kRenewalInterval) return;
  renewal_in_progress_ = true;
  grant_sent_ = now;
  store_.KeepLeaseAlive(lease_, [this, now, lease = lease_](const Outcome<Duration>& left) {
    renewal_in_progress_ = false;
    if (lease != lease_ || !window_.leading()) return;
    if (!left.ok()) {
      ownership_unverified_ = true;
      if (left.failure().fault == PlatformFault::kRejected)
        Lose("the store reports that the lease has expired");
      return;
    }
    window_.Renew(now);
    if (ownership_unverified_) VerifyKeyOwnership();
  });
}

Transaction LeaderElection::RecordTransaction(bool settled) const {
  const LeaderRecord record{settings_.name, settings_.address, settled, false, {}, lease_.era};
  Transaction transaction;
  transaction.comparisons.push_back({settings_.key, record_revision_});
  transaction.operations.emplace_back(PutOperation{settings_.key, EncodeMessage(record), lease_});
  return transaction;
}

/// Checks after a failed renewal whether this machine still holds the key. The key may have been
/// lost although the lease can be renewed. A read is sufficient: no machine claims a key that it
/// sees held by another, so a key still attached to this lease was never lost. A write would be
/// worse, since its answer could be lost and leave the revision unknown.
void LeaderElection::VerifyKeyOwnership() {
  store_.Range({settings_.key, ""}, [this, lease = lease_](const Outcome<RangeResult>& read) {
    if (lease != lease_ || !window_.leading() || !read.ok()) return;
    const std::vector<KeyValue>& entries = read.value().entries;
    if (entries.empty() || entries.front().lease != lease) {
      Lose("the leader key is no longer attached to this machine's lease");
      return;
    }
    record_revision_ = std::max(record_revision_, entries.front().mod_revision);
    ownership_unverified_ = false;
  });
}

/// Records that the orders of previous leaders have been waited for, so that after a restart this
/// machine waits only for its own.
void LeaderElection::WriteSettledRecord() {
  settled_write_started_ = true;
  store_.Transact(RecordTransaction(true), [this](const Outcome<TransactionResult>& result) {
    if (result.ok() && result.value().succeeded) record_revision_ = result.value().revision;
  });
}

void LeaderElection::Lose(const std::string& why) {
  window_.Lose();
  lease_ = {};
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kLeadershipLost)
                                    .Field(LogField::kToken, fencing_token_)
                                    .Field(LogField::kReason, why));
}

/// Revokes the lease only after the key has been detached from it. A machine that finds the key
/// gone relies on a whole lease having passed since the last renewal.
void LeaderElection::Resign(std::function<void()> done) {
  StopOrdering();
  if (!window_.leading()) {
    boost::asio::post(timer_.get_executor(), std::move(done));
    return;
  }
  BeginRelease(std::move(done));
}

void LeaderElection::StepDown(std::function<void()> done) {
  if (!window_.leading() || stepping_down_) return;
  stepping_down_ = true;
  BeginRelease([this, done = std::move(done)] {
    stepping_down_ = false;
    done();
  });
}

void LeaderElection::BeginRelease(std::function<void()> done) {
  window_.Lose();
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kLeadershipResigned).Field(LogField::kToken, fencing_token_));
  Release(kMaxReleaseAttempts, std::move(done));
}

/// Detaches the key from the lease and writes into it the order history that the next leader has to
/// respect. If this fails, the key lapses with the lease and the next leader waits for the full
/// time.
void LeaderElection::Release(int attempts_left, std::function<void()> done) {
  LeaderRecord record{settings_.name, settings_.address, false, true, {}, lease_.era};
  record.history =
      history_.ToRecord(BootClock::now(), std::max(window_.order_from(), others_may_order_from_));
  Transaction transaction;
  transaction.comparisons.push_back({settings_.key, record_revision_});
  transaction.operations.emplace_back(PutOperation{settings_.key, EncodeMessage(record), {}});
  store_.Transact(std::move(transaction), [this, attempts_left, done = std::move(done)](
                                              const Outcome<TransactionResult>& result) {
    if (result.ok() && !result.value().succeeded && attempts_left > 1) {
      ReleaseAtCurrentRevision(attempts_left - 1, done);
      return;
    }
    if (result.ok() && result.value().succeeded)
      store_.RevokeLease(lease_, [](const Outcome<bool>&) {});
    done();
  });
}

/// The key's revision is unknown when the answer to one of this leader's own writes is in flight or
/// lost. A key attached to this lease belongs to this leader, whatever its revision.
void LeaderElection::ReleaseAtCurrentRevision(int attempts_left, std::function<void()> done) {
  store_.Range({settings_.key, ""},
               [this, attempts_left, done = std::move(done)](const Outcome<RangeResult>& read) {
                 const bool is_own_key = read.ok() && !read.value().entries.empty() &&
                                         read.value().entries.front().lease == lease_;
                 if (!is_own_key) {
                   done();
                   return;
                 }
                 record_revision_ = read.value().entries.front().mod_revision;
                 Release(attempts_left, done);
               });
}

bool LeaderElection::LeaderSilent(Time now) const {
  const bool other = leader_ && leader_->name != settings_.name && !leader_->released;
  return other && leader_heard_at_ != Time{} && now - leader_heard_at_ > kLeaderSilenceTimeout;
}

void LeaderElection::ReadLeaderKeyNow(bool stand_for_leader) {
  leadership_offered_ = leadership_offered_ || stand_for_leader;
  ReadKey();
}

void LeaderElection::ReadKey() {
  if (read_in_progress_) return;
  read_in_progress_ = true;
  read_not_before_ = BootClock::now() + ReadInterval();
  store_.Range({settings_.key, ""}, [this](const Outcome<RangeResult>& read) {
    read_in_progress_ = false;
    const bool claim_pending = std::exchange(claim_after_read_, false);
    if (!read.ok()) return;
    key_confirmed_at_ = BootClock::now();
    const bool leader_was_known = leader_.has_value();
    const StoreRevision previous_leader_revision = leader_revision_;
    if (read.value().entries.empty())
      KeyChanged(std::nullopt, read.value().revision);
    else
      KeyChanged(read.value().entries.front(), read.value().entries.front().mod_revision);
    const bool leader_unchanged =
        leader_.has_value() == leader_was_known && leader_revision_ == previous_leader_revision;
    if (leadership_offered_ || (claim_pending && leader_unchanged)) campaign_not_before_ = Time{};
    leadership_offered_ = false;
    if (const auto condition = EligibleClaimCondition()) Campaign(*condition);
  });
}

}  // namespace moorfold
