#include "fleet/leader_election.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace moorfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTick{100};
constexpr milliseconds kRenewEvery{500};
constexpr milliseconds kLongestJitter{150};
constexpr milliseconds kCampaignPause{700};
constexpr milliseconds kReadPause{300};
/// Of a leader that speaks twice a second: its key is read until its lease has lapsed.
constexpr milliseconds kLeaderSilence{1'300};
/// An announcement that the store has not taken by then is given up.
constexpr milliseconds kAnnounceTimeout{900};

std::string CommonPrefix(const std::string& a, const std::string& b) {
  const auto differ = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  return {a.begin(), differ.first};
}

}  // namespace

LeaderElection::LeaderElection(boost::asio::io_context& context, KeyValueStore& store,
                               EventLog& log, ElectionSettings settings)
    : context_(context),
      store_(store),
      log_(log),
      settings_(std::move(settings)),
      timer_(context),
      written_(context.get_executor()),
      history_(settings_.name, settings_.orders_apart, settings_.load_window) {}

void LeaderElection::Start() { Tick(); }

bool LeaderElection::MayOrder() const {
  return leading_ && taken_over_ && !in_doubt_ && !resigned_;
}

bool LeaderElection::ServerFree(const std::string& server_id) const {
  return steady_clock::now() >= history_.FreeAt(server_id);
}

milliseconds LeaderElection::Jitter() const {
  const auto hash = std::hash<std::string>{}(settings_.name + std::to_string(leader_revision_));
  return settings_.candidacy_delay +
         milliseconds(hash % static_cast<std::size_t>(kLongestJitter.count()));
}

void LeaderElection::KeyChanged(const std::string& key, const std::optional<KeyValue>& entry,
                                std::int64_t revision) {
  if (key == settings_.leader_key)
    LeaderKeyChanged(entry, revision);
  else if (key == settings_.history_key)
    HistoryKeyChanged(entry);
}

void LeaderElection::HistoryKeyChanged(const std::optional<KeyValue>& entry) {
  if (!entry || entry->mod_revision <= history_revision_) return;
  history_revision_ = entry->mod_revision;
  history_seen_ = steady_clock::now();
}

void LeaderElection::ReadLeader(const KeyValue& entry) {
  try {
    leader_ = DecodeMessage<LeaderRecord>(entry.value);
  } catch (const std::exception& error) {
    log_.Write(LogRank::kFailure,
               EventLine(LogEvent::kLeaderRecordSkipped).Field(LogField::kProblem, error.what()));
  }
}

void LeaderElection::LeaderKeyChanged(const std::optional<KeyValue>& entry, std::int64_t revision) {
  if (revision < leader_revision_) return;    // Older than what was read directly.
  if (leading_ && revision < token_) return;  // From before our own win.
  const std::string before = leader_ ? leader_->name : "none";
  const bool had_key = leader_lease_ != 0;
  leader_.reset();
  leader_lease_ = 0;
  leader_revision_ = revision;
  if (entry) {
    ReadLeader(*entry);
    leader_lease_ = entry->lease;
  }
  if (!entry && (had_key || !key_known_)) campaign_not_before_ = steady_clock::now() + Jitter();
  key_known_ = true;
  const bool ours = entry && lease_ != 0 && leader_lease_ == lease_;
  if (leading_ && !ours) Lose("the leader key is another's or gone");
  if (ours && !leading_ && !campaigning_) Won(entry->mod_revision);
  const std::string name = leader_ ? leader_->name : "none";
  if (name != before)
    log_.Write(LogRank::kDecision, EventLine(LogEvent::kLeaderSeen)
                                       .Field(LogField::kLeader, name)
                                       .Field(LogField::kRevision, revision));
}

bool LeaderElection::MayCampaign() const {
  if (resigned_ || campaigning_ || leading_ || !key_known_) return false;
  if (steady_clock::now() < campaign_not_before_) return false;
  return leader_lease_ == 0 || (leader_ && leader_->name == settings_.name);
}

void LeaderElection::Tick() {
  const Time now = steady_clock::now();
  if (MayCampaign()) Campaign();
  if (leading_) RenewOrLose();
  const bool must_read = leading_ ? !taken_over_ || in_doubt_ : LeaderSilent(now);
  if (must_read && !reading_ && now >= read_not_before_) ReadKeys();
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !resigned_) Tick();
  });
}

bool LeaderElection::LeaderSilent(Time now) const {
  const bool other = leader_ && leader_->name != settings_.name;
  return other && leader_heard_ != Time{} && now - leader_heard_ > kLeaderSilence;
}

void LeaderElection::Campaign() {
  campaigning_ = true;
  campaign_not_before_ = steady_clock::now() + kCampaignPause + Jitter();
  const Time sent = steady_clock::now();
  store_.GrantLease(settings_.time_to_live, [this, sent](const Outcome<LeaseId>& lease) {
    campaigning_ = lease.ok() && !resigned_;
    if (campaigning_) Claim(lease.value(), sent);
  });
}

void LeaderElection::Claim(LeaseId lease, Time grant_sent) {
  lease_ = lease;
  renewal_sent_ = grant_sent;
  const std::int64_t expected = leader_lease_ == 0 ? 0 : leader_revision_;
  Transaction transaction;
  transaction.comparisons.push_back({settings_.leader_key, expected});
  transaction.operations.emplace_back(PutOperation{
      settings_.leader_key, EncodeMessage(LeaderRecord{settings_.name, settings_.address}), lease});
  store_.Transact(std::move(transaction), [this](const Outcome<TransactionResult>& result) {
    campaigning_ = false;
    if (result.ok() && result.value().succeeded) Won(result.value().revision);
    // Without an answer it may be done: the watch shows the key with our lease then.
  });
}

void LeaderElection::Won(std::int64_t revision) {
  if (leading_ || resigned_) return;
  leading_ = true;
  taken_over_ = false;
  in_doubt_ = false;
  token_ = revision;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kLeadershipWon)
                                     .Field(LogField::kToken, token_)
                                     .Field(LogField::kLease, lease_));
  ReadKeys();
}

void LeaderElection::LookNow(bool first) {
  offered_ = offered_ || first;
  ReadKeys();
}

void LeaderElection::ReadKeys() {
  if (reading_) return;
  reading_ = true;
  read_not_before_ = steady_clock::now() + kReadPause;
  const std::int64_t term = leading_ ? token_ : 0;
  const KeyRange range = PrefixRange(CommonPrefix(settings_.leader_key, settings_.history_key));
  store_.Range(range, [this, term](const Outcome<RangeResult>& keys) {
    reading_ = false;
    const bool same_term = term == (leading_ ? token_ : 0);
    if (keys.ok() && same_term) TakeKeys(keys.value());
  });
}

void LeaderElection::TakeKeys(const RangeResult& keys) {
  const KeyValue* history = nullptr;
  const KeyValue* leader = nullptr;
  for (const KeyValue& entry : keys.entries) {
    if (entry.key == settings_.leader_key) leader = &entry;
    if (entry.key == settings_.history_key) history = &entry;
  }
  if (leader != nullptr)
    LeaderKeyChanged(*leader, leader->mod_revision);
  else
    LeaderKeyChanged(std::nullopt, keys.revision);
  if (history != nullptr) HistoryKeyChanged(*history);
  if (!leading_) {
    if (offered_) campaign_not_before_ = Time{};
    offered_ = false;
    if (MayCampaign()) Campaign();
    return;
  }
  in_doubt_ = false;
  if (!taken_over_) {
    TakeOverHistory(history);
    taken_over_ = true;
  }
  if (history_.AnyWanted()) WriteSoon();
  written_.NotifyAll();
}

void LeaderElection::TakeOverHistory(const KeyValue* history) {
  try {
    OrderHistoryRecord record;
    if (history != nullptr) record = DecodeMessage<OrderHistoryRecord>(history->value);
    history_.TakeOver(record, history_seen_);
  } catch (const std::exception& error) {
    history_.TakeOverUnknown(steady_clock::now());
    log_.Write(LogRank::kFailure,
               EventLine(LogEvent::kLeaderRecordSkipped).Field(LogField::kProblem, error.what()));
  }
}

Awaitable<bool> LeaderElection::Announce(std::string server_id) {
  const Time give_up = steady_clock::now() + kAnnounceTimeout;
  const std::int64_t term = token_;
  while (leading_ && !resigned_ && token_ == term && steady_clock::now() < give_up) {
    if (MayOrder()) {
      if (!ServerFree(server_id)) break;
      if (history_.MaySend(server_id, steady_clock::now())) co_return true;
      history_.Want(server_id);
      WriteSoon();
    }
    co_await written_.Wait(give_up);
  }
  co_return false;
}

/// In a moment: orders that are prepared together are announced together.
void LeaderElection::WriteSoon() {
  if (write_posted_ || writing_) return;
  write_posted_ = true;
  boost::asio::post(context_, [this] {
    write_posted_ = false;
    WriteHistory();
  });
}

void LeaderElection::WriteHistory() {
  if (writing_ || !MayOrder() || !history_.AnyWanted()) return;
  writing_ = true;
  const OrderHistoryRecord record = history_.BeginWrite(steady_clock::now());
  Transaction transaction;
  transaction.comparisons.push_back({settings_.leader_key, token_});
  transaction.comparisons.push_back({settings_.history_key, history_revision_});
  transaction.operations.emplace_back(
      PutOperation{settings_.history_key, EncodeMessage(record), 0});
  store_.Transact(std::move(transaction),
                  [this, term = token_](const Outcome<TransactionResult>& result) {
                    writing_ = false;
                    if (term != token_ || !leading_) return;
                    if (result.ok() && result.value().succeeded) {
                      history_revision_ = std::max(history_revision_, result.value().revision);
                      history_seen_ = steady_clock::now();
                      history_.ConfirmWrite();
                      if (history_.AnyWanted()) WriteSoon();
                    } else {  // Not done, or not known: the keys tell.
                      history_.AbandonWrite();
                      in_doubt_ = true;
                      ReadKeys();
                    }
                    written_.NotifyAll();
                  });
}

void LeaderElection::RenewOrLose() {
  const Time now = steady_clock::now();
  if (now >= renewal_sent_ + settings_.time_to_live) {
    Lose("the lease was not renewed in time");
    return;
  }
  if (renewing_ || now < renewal_sent_ + kRenewEvery) return;
  renewing_ = true;
  store_.KeepLeaseAlive(lease_, [this, now, lease = lease_](const Outcome<Duration>& left) {
    renewing_ = false;
    if (lease != lease_ || !leading_) return;
    if (left.ok())
      renewal_sent_ = std::max(renewal_sent_, now);
    else if (left.failure().fault == PlatformFault::kRejected)
      Lose("the store says that the lease is over");
  });
}

void LeaderElection::Lose(const std::string& why) {
  leading_ = false;
  taken_over_ = false;
  lease_ = 0;
  written_.NotifyAll();
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kLeadershipLost)
                                    .Field(LogField::kToken, token_)
                                    .Field(LogField::kReason, why));
}

void LeaderElection::StopOrdering() {
  resigned_ = true;
  written_.NotifyAll();
}

void LeaderElection::Resign(std::function<void()> done) {
  StopOrdering();
  if (lease_ == 0) {
    boost::asio::post(context_, std::move(done));
    return;
  }
  if (leading_)
    log_.Write(LogRank::kDecision,
               EventLine(LogEvent::kLeadershipResigned).Field(LogField::kToken, token_));
  leading_ = false;  // A claim that is under way ends with its lease, too.
  store_.RevokeLease(lease_, [done = std::move(done)](const Outcome<bool>&) { done(); });
}

}  // namespace moorfold
