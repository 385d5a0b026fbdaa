#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/fleet_messages.h"
#include "fleet/order_history.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// Computes when a leader may send orders to servers. Pure arithmetic on the steady clock; see
/// docs/PLATFORM-DESIGN.md.
class OrderWindow {
 public:
  using Time = BootClock::time_point;

  /// @param time_to_live of the lease that the leader key is attached to.
  explicit OrderWindow(std::chrono::milliseconds time_to_live) : time_to_live_(time_to_live) {}

  /// Records that leadership was won with a lease whose grant request was sent at `grant_sent`.
  void Win(Time grant_sent, Time order_from) {
    renewal_sent_ = grant_sent;
    order_from_ = order_from;
    leading_ = true;
    succeeded_by_other_ = false;
  }
  /// Records that another machine has held the leader key since this machine's last term.
  void NoteOtherLeader() { succeeded_by_other_ = !leading_ || succeeded_by_other_; }
  /// Records that the store has answered a renewal that was sent at `sent`.
  void Renew(Time sent) { renewal_sent_ = std::max(renewal_sent_, sent); }
  void Lose() { leading_ = false; }

  bool leading() const { return leading_; }
  bool InitialWaitOver(Time now) const { return leading_ && now >= order_from_; }
  Time order_from() const { return order_from_; }
  /// @return whether an order may be sent. Orders stop after half of the lease, so that orders in
  /// flight end before the lease lapses if it cannot be renewed.
  bool MayOrder(Time now) const {
    return leading_ && now >= order_from_ && now < renewal_sent_ + time_to_live_ / 2;
  }
  /// @return whether a term that begins at `now` directly continues this machine's own term.
  /// Another machine could only have led after this lease lapsed and could only have sent orders
  /// `handover` later.
  bool ContinuesOwnTerm(Time now, std::chrono::milliseconds handover) const {
    constexpr std::chrono::milliseconds kSafetyMargin{200};
    const bool has_led = renewal_sent_ != Time{};
    return has_led && !succeeded_by_other_ &&
           now < renewal_sent_ + time_to_live_ + handover - kSafetyMargin;
  }
  /// @return whether the lease may have lapsed.
  bool Lapsed(Time now) const { return now >= renewal_sent_ + time_to_live_; }

 private:
  std::chrono::milliseconds time_to_live_;
  Time renewal_sent_{};
  Time order_from_{};
  bool leading_ = false;
  bool succeeded_by_other_ = false;
};

/// Delays the first order of a leader after the store was restored from an older copy. A restore
/// can take the leader key from its holder at any time, even right after a renewal, and the leader
/// of the previous era may still send orders for a bounded time. A leader of the new era sends none
/// during that time. Pure.
class StoreRestoreWait {
 public:
  using Time = BootClock::time_point;

  /// @param orders_end_after_restore Time after a restore until the previous leader's orders have
  /// ended: half of the lease, the longest order and the minimum separation between orders of two
  /// machines.
  explicit StoreRestoreWait(std::chrono::milliseconds orders_end_after_restore)
      : orders_end_after_restore_(orders_end_after_restore) {}

  /// Records the current era of the store. The first era that a process sees may also have just
  /// begun, unless it is the era of a store that was never restored.
  void NoteEra(std::int64_t era, Time now) {
    if (era_ && era <= *era_) return;
    era_ = era;
    if (era != kEraWithoutReturn) quiet_until_ = now + orders_end_after_restore_;
  }
  /// A leader record written in the current era ends the wait: its leader has either waited itself
  /// or passes the remaining wait on in the record.
  void NoteRecord(const LeaderRecord& record) {
    if (era_ && record.IsValidInEra(*era_)) quiet_until_ = Time{};
  }
  /// @return the time before which a leader of this era sends no order.
  Time quiet_until() const { return quiet_until_; }

 private:
  std::chrono::milliseconds orders_end_after_restore_;
  std::optional<std::int64_t> era_;
  Time quiet_until_{};
};

/// State of the leader key as this machine last saw it.
struct LeaderKeyState {
  std::optional<LeaderRecord> record;  ///< Empty if there is no key or no readable value.
  StoreRevision revision;  ///< Of the key; number 0 of the current era if the key does not exist.
  /// The value cannot be decoded and the key has no lease, so that no lease expiry ever removes it.
  bool orphaned = false;
};

/// A claim to the leader key, bound to the key state on which it was decided. The lease for the
/// claim is granted first, and another machine may win in the meantime. Such a claim has to be
/// dropped: sent with the other machine's revision as its condition, it would overwrite that
/// machine's record. Pure.
class LeadershipClaim {
 public:
  /// @return the revision that the key must still have for `machine` to claim it (number 0: the key
  /// must not exist), or nothing when another machine holds the key.
  static std::optional<StoreRevision> Condition(const LeaderKeyState& key,
                                                const std::string& machine) {
    if (!key.record) return key.orphaned ? key.revision : StoreRevision{key.revision.era, 0};
    const bool claimable = key.record->released || key.record->name == machine;
    return claimable ? std::optional(key.revision) : std::nullopt;
  }

  explicit LeadershipClaim(StoreRevision condition) : condition_(condition) {}

  StoreRevision condition() const { return condition_; }
  /// @return whether the current state of the key still allows the claim with the same condition.
  bool StillHolds(const LeaderKeyState& key, const std::string& machine) const {
    return Condition(key, machine) == condition_;
  }

 private:
  StoreRevision condition_;
};

struct ElectionSettings {
  std::string name;     ///< Name of this machine.
  std::string address;  ///< "IP:PORT" at which this machine receives demand reports.
  std::string key;      ///< Store key of the leader record.
  std::chrono::milliseconds time_to_live{3'000};
  /// Minimum time between orders of different machines to one server.
  std::chrono::milliseconds order_separation{3'000};
  std::chrono::milliseconds load_window{5'000};
  /// How long this machine waits before it claims leadership, so that others can claim first;
  /// longer on weaker machines.
  std::chrono::milliseconds candidacy_delay{0};
};

/// Elects this daemon as the leader of the fleet when there is none, by claiming a leased key in
/// the key-value store. Single-threaded.
class LeaderElection {
 public:
  /// An order without an answer after this time is abandoned and its connection closed.
  static constexpr std::chrono::milliseconds kMaxOrderDuration{600};

  LeaderElection(boost::asio::io_context& context, KeyValueStore& store, EventLog& log,
                 ElectionSettings settings);

  void Start();
  /// Handles a state of the leader key as the store reports it. Call it in the order of revisions.
  /// @param entry The key's entry, or nothing if the key does not exist.
  /// @param revision The revision since which the key has this state.
  void KeyChanged(const std::optional<KeyValue>& entry, StoreRevision revision);
  /// Records a message that arrived directly from the leader, not through the store.
  /// @param daemon_count Size of the fleet according to the leader. In a large fleet each daemon
  /// reads the leader key less often.
  void NoteLeaderHeard(std::uint32_t daemon_count) {
    leader_heard_at_ = BootClock::now();
    daemon_count_ = daemon_count;
  }
  /// Reads the leader key now, because another daemon has announced that it no longer leads.
  /// @param stand_for_leader Whether to claim leadership without a further delay.
  void ReadLeaderKeyNow(bool stand_for_leader);
  /// Stops sending orders and taking part in elections. The leader key is kept until Resign.
  void StopOrdering() { resigned_ = true; }
  /// Sets whether this daemon reaches servers. One that does not sends no orders, and claims
  /// leadership only after all others had time to.
  void SetReachesServers(bool reaches_servers) { reaches_servers_ = reaches_servers; }
  /// Gives leadership up like Resign, but keeps taking part in elections. All orders must have
  /// ended, and MayOrder must be false.
  void StepDown(std::function<void()> done);
  /// Gives leadership up and leaves the order history to the next leader. All orders must have
  /// ended.
  /// @param done Called when the store has accepted the release or has not answered.
  void Resign(std::function<void()> done);

  bool leading() const { return window_.leading(); }
  /// @return whether no other daemon can lead, even if the store has not answered lately.
  bool HoldsLease() const { return window_.leading() && !window_.Lapsed(BootClock::now()); }
  bool MayOrder() const;
  /// @return whether enough time has passed since the orders of other leaders to that server.
  bool ServerSafeToOrder(const std::string& server_id) const;
  /// Records that an order to the server was answered or abandoned.
  void NoteOrder(const std::string& server_id) { history_.NoteOrder(server_id, BootClock::now()); }
  LoadRateLimiter& loads() { return history_.loads(); }
  /// @return whether the previous leader's loads from the weight store are known and counted.
  bool load_history_known() const { return load_history_known_; }
  std::int64_t fencing_token() const { return fencing_token_; }
  /// @return the last known leader record, if any.
  const std::optional<LeaderRecord>& leader() const { return leader_; }

 private:
  using Time = OrderWindow::Time;

  void Tick();
  /// Claims the key, or reads it again first if its last known state is too old.
  void StandForElection(StoreRevision condition);
  void Campaign(StoreRevision condition);
  /// @return whether the store has been restored since the lease was granted. The lease may then no
  /// longer exist, and its number may belong to another machine's lease, so that renewals prove
  /// nothing.
  bool LeaseEraEnded() const { return store_.era() > lease_.era; }
  void Claim(const LeadershipClaim& claim, LeaseId lease, Time grant_sent);
  LeaderKeyState KeyState() const {
    const bool exists = leader_ || key_orphaned_;
    return {leader_, exists ? leader_revision_ : StoreRevision{key_state_revision_.era, 0},
            key_orphaned_};
  }
  void HandleClaimResult(const LeadershipClaim& claim, LeaseId lease,
                         const Outcome<TransactionResult>& result);
  void LogClaim(LogEvent event, LeaseId lease, const LeadershipClaim& claim,
                const std::string& problem);
  void Won(StoreRevision revision);
  void RenewOrLose();
  void Lose(const std::string& why);
  void WriteSettledRecord();
  void VerifyKeyOwnership();
  Transaction RecordTransaction(bool settled) const;
  void BeginRelease(std::function<void()> done);
  void Release(int attempts_left, std::function<void()> done);
  void ReleaseAtCurrentRevision(int attempts_left, std::function<void()> done);
  void ReadKey();
  /// @return whether another machine leads, as far as known, but has not been heard from lately.
  bool LeaderSilent(Time now) const;
  std::chrono::milliseconds BeginTerm(Time now);
  /// @return the condition of a claim that may be sent now, if any.
  std::optional<StoreRevision> EligibleClaimCondition() const;
  std::chrono::milliseconds Jitter() const;
  std::chrono::milliseconds ReadInterval() const;
  std::chrono::milliseconds WaitAfterOtherLeader() const;

  KeyValueStore& store_;
  EventLog& log_;
  ElectionSettings settings_;
  OrderWindow window_;
  OrderHistory history_;
  StoreRestoreWait restore_wait_;
  BootTimer timer_;
  std::optional<LeaderRecord> leader_;
  StoreRevision leader_revision_;
  bool key_orphaned_ = false;  ///< See LeaderKeyState::orphaned.
  /// Of the newest known state of the key, including its absence.
  StoreRevision key_state_revision_;
  Time key_state_seen_at_{};  ///< When that state was first seen.
  Time key_confirmed_at_{};   ///< When that state was last confirmed.
  LeaseId leader_lease_;
  LeaseId lease_;
  Time grant_sent_{};
  std::int64_t fencing_token_ = 0;
  StoreRevision claim_revision_;  ///< Revision of the last claim that won.
  StoreRevision record_revision_;
  bool key_known_ = false;
  bool claim_in_progress_ = false;
  bool renewal_in_progress_ = false;
  bool settled_write_started_ = false;
  /// A renewal failed, so the key has to be read before the next order to check that this machine
  /// still holds it.
  bool ownership_unverified_ = false;
  bool resuming_settled_term_ = false;
  /// Order history that a claim inherits from a leader that released the key.
  std::optional<OrderHistoryRecord> inherited_history_;
  Time inherited_history_seen_at_{};
  /// The claimed key still named this machine, from before a restart.
  bool claimed_own_unreleased_key_ = false;
  /// When orders of other machines are safe, whatever an earlier process on this machine ordered.
  Time others_may_order_from_{};
  bool load_history_known_ = false;
  bool leadership_offered_ = false;  ///< The previous leader offered leadership to this daemon.
  bool claim_after_read_ = false;    ///< Claim the key if the read in progress shows no change.
  std::uint32_t daemon_count_ = 1;
  bool read_in_progress_ = false;
  Time read_not_before_{};
  Time leader_heard_at_{};
  bool resigned_ = false;
  bool reaches_servers_ = true;
  bool stepping_down_ = false;  ///< The release of the key is in progress.
  Time campaign_not_before_{};
};

}  // namespace moorfold
