#include "fleet/leader_election.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <functional>

#include "common/boot_clock.h"
#include "fleet/fencing_token.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{100};
constexpr milliseconds kRenewEvery{500};
/// Orders of this machine's process before a restart may still be on their way.
constexpr milliseconds kOwnHandoverWait{400};
constexpr milliseconds kLongestJitter{150};
constexpr milliseconds kCampaignPause{700};
constexpr milliseconds kWaitMargin{300};
/// A leader that lost its lease in an outage of the store goes first: it need not wait for its own
/// orders.
constexpr milliseconds kPrecedence{300};
/// A daemon that is offered leadership goes first.
constexpr milliseconds kOfferPrecedence{600};
constexpr milliseconds kReadPause{300};
/// A claim costs the store a lease and a transaction: a key that was seen longer ago is read first.
/// In a fleet that starts at once most daemons then find that one of them leads already.
constexpr milliseconds kKeySeenLately{100};
/// Of a fleet, so many reads of the key in each `kReadPause` find a leader that is gone soon
/// enough; the others hear of the next one when they read the store anyway.
constexpr std::uint32_t kLookouts = 8;
constexpr std::uint32_t kPhases = 64;
/// Of a leader that speaks twice a second: its key is read until its lease has lapsed.
constexpr milliseconds kLeaderSilence{1'300};
/// A leader has one write of its record at a time under way: the second try knows its revision.
constexpr int kReleaseTries = 2;

}  // namespace

LeaderElection::LeaderElection(boost::asio::io_context& context, KeyValueStore& store,
                               EventLog& log, ElectionSettings settings)
    : store_(store),
      log_(log),
      settings_(std::move(settings)),
      window_(settings_.time_to_live),
      history_(settings_.name, settings_.orders_apart, settings_.load_window),
      era_wait_(settings_.time_to_live / 2 + kLongestOrder + settings_.orders_apart + kWaitMargin),
      timer_(context) {}

void LeaderElection::Start() { Tick(); }

bool LeaderElection::MayOrder() const {
  return !resigned_ && !unsure_ && !LeaseOutlived() && window_.MayOrder(BootClock::now());
}

bool LeaderElection::ServerFree(const std::string& server_id) const {
  return BootClock::now() >= history_.FreeAt(server_id);
}

milliseconds LeaderElection::Jitter() const {
  const auto hash =
      std::hash<std::string>{}(settings_.name + std::to_string(leader_revision_.number));
  return settings_.candidacy_delay +
         milliseconds(hash % static_cast<std::size_t>(kLongestJitter.count()));
}

/// An older leader's last order arrives no later than half a lease and an order's length after its
/// last renewal, and its key lapses a whole lease after it: what is left to wait from then on.
milliseconds LeaderElection::WaitAfterOther() const {
  const milliseconds wait =
      settings_.orders_apart + kLongestOrder + kWaitMargin - settings_.time_to_live / 2;
  return std::max(milliseconds(0), wait);
}

void LeaderElection::KeyChanged(const std::optional<KeyValue>& entry, StoreRevision revision) {
  if (window_.leading() && revision < record_revision_) return;  // From before our own write.
  if (revision <= seen_revision_) return;                        // Read directly before.
  seen_revision_ = revision;
  leader_seen_ = BootClock::now();
  era_wait_.NoteEra(revision.era, leader_seen_);
  key_confirmed_ = leader_seen_;
  const bool had_leader = leader_.has_value();
  const std::string before = leader_ ? leader_->name : "none";
  const bool was_other = leader_ && leader_->name != settings_.name;
  leader_.reset();
  leader_lease_ = {};
  key_abandoned_ = false;
  if (entry) {
    try {
      leader_ = DecodeMessage<LeaderRecord>(entry->value);
      era_wait_.NoteRecord(*leader_);
      leader_revision_ = entry->mod_revision;
      leader_lease_ = entry->lease;
    } catch (const std::exception& error) {
      key_abandoned_ = !entry->lease.exists();
      leader_revision_ = entry->mod_revision;
      log_.Write(LogRank::kFailure,
                 EventLine(LogEvent::kLeaderRecordSkipped).Field(LogField::kProblem, error.what()));
    }
  }
  if (!leader_ && (had_leader || !key_known_)) {
    const milliseconds precedence = was_other ? kPrecedence : milliseconds(0);
    campaign_not_before_ = BootClock::now() + precedence + Jitter();
  }
  if (leader_ && leader_->released)
    campaign_not_before_ = BootClock::now() + kOfferPrecedence + Jitter();
  key_known_ = true;
  const bool another = leader_ && leader_->name != settings_.name;
  if (another && revision > won_at_) window_.NoteOtherTerm();
  const bool ours = leader_ && lease_.exists() && leader_lease_ == lease_;
  if (ours && window_.leading()) record_revision_ = std::max(record_revision_, revision);
  if (window_.leading() && !ours) Lose("the leader key is another's or gone");
  if (ours && !window_.leading() && !campaigning_) Won(entry->mod_revision);
  const std::string name = leader_ ? leader_->name : "none";
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kLeaderSeen)
                                     .Field(LogField::kLeader, name)
                                     .Field(LogField::kBefore, before)
                                     .Field(LogField::kLease, leader_lease_.number)
                                     .Field(LogField::kRevision, ToString(revision)));
}

std::optional<StoreRevision> LeaderElection::MayCampaign() const {
  if (resigned_ || campaigning_ || window_.leading() || !key_known_) return std::nullopt;
  if (BootClock::now() < campaign_not_before_) return std::nullopt;
  return LeadershipClaim::Condition(Sight(), settings_.name);
}

void LeaderElection::Tick() {
  if (const auto condition = MayCampaign()) Stand(*condition);
  if (window_.leading()) RenewOrLose();
  const Time now = BootClock::now();
  if (window_.Settled(now) && history_.Clear(now) && !settling_) Settle();
  if (!LeaderSilent(now)) {
    // Daemons of a large fleet begin to look one after the other.
    const auto phase = std::hash<std::string>{}(settings_.name) % kPhases;
    read_not_before_ = now + (ReadPause() - kReadPause) * phase / kPhases;
  } else if (now >= read_not_before_) {
    ReadKey();
  }
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !resigned_) Tick();
  });
}

void LeaderElection::Stand(StoreRevision condition) {
  const Time now = BootClock::now();
  if (now - key_confirmed_ < kKeySeenLately) {
    Campaign(condition);
    return;
  }
  campaign_not_before_ = now + kCampaignPause + Jitter();
  stands_ = true;
  ReadKey();
}

void LeaderElection::Campaign(StoreRevision condition) {
  campaigning_ = true;
  campaign_not_before_ = BootClock::now() + kCampaignPause + Jitter();
  const Time sent = BootClock::now();
  const LeadershipClaim claim(condition);
  store_.GrantLease(settings_.time_to_live, [this, sent, claim](const Outcome<LeaseId>& lease) {
    campaigning_ = lease.ok();
    if (lease.ok()) Claim(claim, lease.value(), sent);
  });
}

void LeaderElection::Claim(const LeadershipClaim& claim, LeaseId lease, Time grant_sent) {
  if (resigned_ || !claim.StillHolds(Sight(), settings_.name)) {
    campaigning_ = false;
    NoteClaim(LogEvent::kLeadershipClaimFailed, lease, claim, "the key changed before the claim");
    store_.RevokeLease(lease, [](const Outcome<bool>&) {});  // No key hangs on it.
    return;
  }
  lease_ = lease;
  grant_sent_ = grant_sent;
  // In a copy, what the record says of its leader may be long past: another may have led since.
  const bool tells_now = leader_ && leader_->IsValidInEra(lease.era);
  took_over_own_ = tells_now && leader_->name == settings_.name && leader_->settled;
  taken_over_.reset();
  claimed_own_ = leader_ && leader_->name == settings_.name && !leader_->released;
  if (tells_now && leader_->released) taken_over_ = leader_->history;
  taken_over_seen_ = leader_seen_;
  const LeaderRecord record{settings_.name, settings_.address, false, false, {}, lease.era};
  Transaction transaction;
  transaction.comparisons.push_back({settings_.key, claim.condition()});
  transaction.operations.emplace_back(PutOperation{settings_.key, EncodeMessage(record), lease});
  NoteClaim(LogEvent::kLeadershipClaim, lease, claim, "");
  store_.Transact(std::move(transaction),
                  [this, lease, claim](const Outcome<TransactionResult>& result) {
                    campaigning_ = false;
                    EndClaim(claim, lease, result);
                  });
}

/// Without an answer the claim may be done, also seconds later: the watch shows the key with our
/// lease then.
void LeaderElection::EndClaim(const LeadershipClaim& claim, LeaseId lease,
                              const Outcome<TransactionResult>& result) {
  if (result.ok() && result.value().succeeded) {
    Won(result.value().revision);
    return;
  }
  NoteClaim(LogEvent::kLeadershipClaimFailed, lease, claim,
            result.ok() ? "the key has another revision" : result.failure().message);
  if (result.ok()) ReadKey();  // Another has won: its record says who.
}

/// One daemon's part of the fleet's reads of the key.
milliseconds LeaderElection::ReadPause() const {
  return kReadPause * std::max(1U, daemons_ / kLookouts);
}

void LeaderElection::NoteClaim(LogEvent event, LeaseId lease, const LeadershipClaim& claim,
                               const std::string& problem) {
  EventLine line(event);
  line.Field(LogField::kLease, lease.number).Field(LogField::kBefore, ToString(claim.condition()));
  if (!problem.empty()) line.Field(LogField::kProblem, problem);
  log_.Write(LogRank::kDecision, line);
}

/// @return how long to wait before the first order, whatever the era.
milliseconds LeaderElection::BeginTerm(Time now) {
  knows_loads_ = taken_over_.has_value();
  // What this machine's earlier process ordered is not known: others wait it out.
  others_from_ = claimed_own_ ? now + settings_.orders_apart + kLongestOrder + kWaitMargin : Time{};
  if (taken_over_) {
    history_.TakeOver(*taken_over_, taken_over_seen_);
    const Time quiet_until = taken_over_seen_ + milliseconds(taken_over_->quiet_ms);
    return std::chrono::ceil<milliseconds>(std::max(quiet_until, now) - now);
  }
  if (took_over_own_) {
    history_.Begin();
    return kOwnHandoverWait;
  }
  // What was inherited before an outage still holds after it.
  if (window_.FollowsOwn(now, WaitAfterOther())) return kOwnHandoverWait;
  history_.Begin();
  return WaitAfterOther();
}

void LeaderElection::Won(StoreRevision revision) {
  if (window_.leading() || resigned_) return;
  const auto now = BootClock::now();
  // None but this machine can have ordered since its own term: no other's wait can be over.
  const bool follows_own = !taken_over_ && window_.FollowsOwn(now, WaitAfterOther());
  const Time order_from = now + BeginTerm(now);
  window_.Win(grant_sent_,
              follows_own ? order_from : std::max(order_from, era_wait_.quiet_until()));
  won_at_ = revision;
  token_ = FencingToken(revision);
  record_revision_ = revision;
  settling_ = false;
  unsure_ = false;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kLeadershipWon)
                                     .Field(LogField::kToken, token_)
                                     .Field(LogField::kLease, lease_.number));
}

void LeaderElection::RenewOrLose() {
  const Time now = BootClock::now();
  if (window_.Lapsed(now)) {
    Lose("the lease was not renewed in time");
    return;
  }
  if (LeaseOutlived()) {
    Lose("the store came back from an older copy");
    ReadKey();
    return;
  }
  if (renewing_ || now < grant_sent_ + kRenewEvery) return;
  renewing_ = true;
  grant_sent_ = now;
  store_.KeepLeaseAlive(lease_, [this, now, lease = lease_](const Outcome<Duration>& left) {
    renewing_ = false;
    if (lease != lease_ || !window_.leading()) return;
    if (!left.ok()) {
      unsure_ = true;
      if (left.failure().fault == PlatformFault::kRejected)
        Lose("the store says that the lease is over");
      return;
    }
    window_.Renew(now);
    if (unsure_) Verify();
  });
}

Transaction LeaderElection::RecordTransaction(bool settled) const {
  const LeaderRecord record{settings_.name, settings_.address, settled, false, {}, lease_.era};
  Transaction transaction;
  transaction.comparisons.push_back({settings_.key, record_revision_});
  transaction.operations.emplace_back(PutOperation{settings_.key, EncodeMessage(record), lease_});
  return transaction;
}

/// After a failed renewal: keys may have been taken away though their lease can be renewed. A read
/// is enough: no machine claims a key that it sees as another's, so a key that still hangs on this
/// lease was never lost. It is no write, whose answer could be lost and leave a revision unknown.
void LeaderElection::Verify() {
  store_.Range({settings_.key, ""}, [this, lease = lease_](const Outcome<RangeResult>& read) {
    if (lease != lease_ || !window_.leading() || !read.ok()) return;
    const std::vector<KeyValue>& entries = read.value().entries;
    if (entries.empty() || entries.front().lease != lease) {
      Lose("the leader key was taken away");
      return;
    }
    record_revision_ = std::max(record_revision_, entries.front().mod_revision);
    unsure_ = false;
  });
}

/// Notes in the record that an older leader's orders were waited out: after a restart this machine
/// need not wait for its own.
void LeaderElection::Settle() {
  settling_ = true;
  store_.Transact(RecordTransaction(true), [this](const Outcome<TransactionResult>& result) {
    if (result.ok() && result.value().succeeded) record_revision_ = result.value().revision;
  });
}

void LeaderElection::Lose(const std::string& why) {
  window_.Lose();
  lease_ = {};
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kLeadershipLost)
                                    .Field(LogField::kToken, token_)
                                    .Field(LogField::kReason, why));
}

/// A lease is ended only once its key hangs on it no more. Whoever finds the key gone counts on it
/// that a whole lease has passed since the last renewal.
void LeaderElection::Resign(std::function<void()> done) {
  StopOrdering();
  if (!window_.leading()) {
    boost::asio::post(timer_.get_executor(), std::move(done));
    return;
  }
  window_.Lose();
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kLeadershipResigned).Field(LogField::kToken, token_));
  Release(kReleaseTries, std::move(done));
}

/// Takes the key off the lease and leaves in it what the next leader has to keep away from. Where
/// that does not come about the key goes with the lease, and the next leader waits in full.
void LeaderElection::Release(int tries, std::function<void()> done) {
  LeaderRecord record{settings_.name, settings_.address, false, true, {}, lease_.era};
  record.history = history_.Write(BootClock::now(), std::max(window_.order_from(), others_from_));
  Transaction transaction;
  transaction.comparisons.push_back({settings_.key, record_revision_});
  transaction.operations.emplace_back(PutOperation{settings_.key, EncodeMessage(record), {}});
  store_.Transact(std::move(transaction),
                  [this, tries, done = std::move(done)](const Outcome<TransactionResult>& result) {
                    if (result.ok() && !result.value().succeeded && tries > 1) {
                      ReleaseAtCurrentRevision(tries - 1, done);
                      return;
                    }
                    if (result.ok() && result.value().succeeded)
                      store_.RevokeLease(lease_, [](const Outcome<bool>&) {});
                    done();
                  });
}

/// A write of this leader's own whose answer is under way or lost has moved the key's revision on.
/// A key that hangs on this lease is this leader's, whatever its revision.
void LeaderElection::ReleaseAtCurrentRevision(int tries, std::function<void()> done) {
  store_.Range({settings_.key, ""},
               [this, tries, done = std::move(done)](const Outcome<RangeResult>& read) {
                 const bool ours = read.ok() && !read.value().entries.empty() &&
                                   read.value().entries.front().lease == lease_;
                 if (!ours) {
                   done();
                   return;
                 }
                 record_revision_ = read.value().entries.front().mod_revision;
                 Release(tries, done);
               });
}

bool LeaderElection::LeaderSilent(Time now) const {
  const bool other = leader_ && leader_->name != settings_.name && !leader_->released;
  return other && leader_heard_ != Time{} && now - leader_heard_ > kLeaderSilence;
}

void LeaderElection::LookNow(bool first) {
  offered_ = offered_ || first;
  ReadKey();
}

void LeaderElection::ReadKey() {
  if (reading_) return;
  reading_ = true;
  read_not_before_ = BootClock::now() + ReadPause();
  store_.Range({settings_.key, ""}, [this](const Outcome<RangeResult>& read) {
    reading_ = false;
    const bool stood = std::exchange(stands_, false);
    if (!read.ok()) return;
    key_confirmed_ = BootClock::now();
    const bool was_led = leader_.has_value();
    const StoreRevision led_since = leader_revision_;
    if (read.value().entries.empty())
      KeyChanged(std::nullopt, read.value().revision);
    else
      KeyChanged(read.value().entries.front(), read.value().entries.front().mod_revision);
    const bool as_before = leader_.has_value() == was_led && leader_revision_ == led_since;
    if (offered_ || (stood && as_before)) campaign_not_before_ = Time{};
    offered_ = false;
    if (const auto condition = MayCampaign()) Campaign(*condition);
  });
}

}  // namespace moorfold
