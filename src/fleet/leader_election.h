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

/// When a leader may give orders: pure arithmetic on the steady clock. See docs/PLATFORM-DESIGN.md.
class OrderWindow {
 public:
  using Time = BootClock::time_point;

  /// @param time_to_live of the lease on which the leader key hangs.
  explicit OrderWindow(std::chrono::milliseconds time_to_live) : time_to_live_(time_to_live) {}

  /// Leadership was won by a lease whose grant was sent at `grant_sent`.
  void Win(Time grant_sent, Time order_from) {
    renewal_sent_ = grant_sent;
    order_from_ = order_from;
    leading_ = true;
    succeeded_by_other_ = false;
  }
  /// Another machine has held the key since this machine's last term.
  void NoteOtherTerm() { succeeded_by_other_ = !leading_ || succeeded_by_other_; }
  /// A renewal that was sent at `sent` has been answered.
  void Renew(Time sent) { renewal_sent_ = std::max(renewal_sent_, sent); }
  void Lose() { leading_ = false; }

  bool leading() const { return leading_; }
  bool Settled(Time now) const { return leading_ && now >= order_from_; }
  Time order_from() const { return order_from_; }
  /// Half of the lease is left for orders that are under way when it cannot be renewed.
  bool MayOrder(Time now) const {
    return leading_ && now >= order_from_ && now < renewal_sent_ + time_to_live_ / 2;
  }
  /// Whether leadership that is won anew at `now` follows on this machine's own without a gap: any
  /// other would first have had to win after this lease lapsed, and then to wait `handover`.
  bool FollowsOwn(Time now, std::chrono::milliseconds handover) const {
    constexpr std::chrono::milliseconds kMargin{200};
    const bool led = renewal_sent_ != Time{};
    return led && !succeeded_by_other_ && now < renewal_sent_ + time_to_live_ + handover - kMargin;
  }
  /// Whether the lease may have lapsed.
  bool Lapsed(Time now) const { return now >= renewal_sent_ + time_to_live_; }

 private:
  std::chrono::milliseconds time_to_live_;
  Time renewal_sent_{};
  Time order_from_{};
  bool leading_ = false;
  bool succeeded_by_other_ = false;
};

/// A store that comes back from an older copy takes leaders their key at any time, also right after
/// a renewal. What a leader of the era before may still order is over only some time after the
/// return; a leader of the new era keeps away that long. Pure.
class EraWait {
 public:
  using Time = BootClock::time_point;

  /// @param orders_end_after after the return: half of a lease and the longest order, and how far
  /// apart orders of two machines must lie.
  explicit EraWait(std::chrono::milliseconds orders_end_after)
      : orders_end_after_(orders_end_after) {}

  /// The store is in that era now. The first era that a process sees may just have begun, too,
  /// unless no copy can have begun it.
  void NoteEra(std::int64_t era, Time now) {
    if (era_ && era <= *era_) return;
    era_ = era;
    if (era != kEraWithoutReturn) quiet_until_ = now + orders_end_after_;
  }
  /// A leader's record that tells of this era is of a leader that has waited itself, or hands on
  /// what is left to wait.
  void NoteRecord(const LeaderRecord& record) {
    if (era_ && record.IsValidInEra(*era_)) quiet_until_ = Time{};
  }
  /// @return until when a leader of this era gives no order.
  Time quiet_until() const { return quiet_until_; }

 private:
  std::chrono::milliseconds orders_end_after_;
  std::optional<std::int64_t> era_;
  Time quiet_until_{};
};

/// The leader key as this machine last saw it.
struct LeaderKeySight {
  std::optional<LeaderRecord> record;  ///< Nothing: the key does not exist.
  StoreRevision revision;              ///< Of the record; without one, number 0 of that era.
  /// The key holds something that is no record and hangs on no lease: it goes by nobody's end.
  bool abandoned = false;
};

/// A claim to the leader key, on the state of the key on which it was decided. The lease for it is
/// granted first, and meanwhile another may win: the claim must then be dropped, not sent with the
/// condition that the other's record is still there. Pure.
class LeadershipClaim {
 public:
  /// @return the revision that the key must still have (number 0: no key) for `machine` to claim
  /// it, or nothing when the key is another machine's.
  static std::optional<StoreRevision> Condition(const LeaderKeySight& key,
                                                const std::string& machine) {
    if (!key.record) return key.abandoned ? key.revision : StoreRevision{key.revision.era, 0};
    const bool claimable = key.record->released || key.record->name == machine;
    return claimable ? std::optional(key.revision) : std::nullopt;
  }

  explicit LeadershipClaim(StoreRevision condition) : condition_(condition) {}

  StoreRevision condition() const { return condition_; }
  /// @return whether the key, as it is seen now, is still as it was when the claim was decided.
  bool StillHolds(const LeaderKeySight& key, const std::string& machine) const {
    return Condition(key, machine) == condition_;
  }

 private:
  StoreRevision condition_;
};

struct ElectionSettings {
  std::string name;     ///< Of this machine.
  std::string address;  ///< "IP:PORT" for demand.
  std::string key;      ///< Of the leader record.
  std::chrono::milliseconds time_to_live{3'000};
  /// How long orders of different machines must lie apart.
  std::chrono::milliseconds orders_apart{3'000};
  std::chrono::milliseconds load_window{5'000};
  /// How long this machine leaves the office to others: the weaker it is, the longer.
  std::chrono::milliseconds candidacy_delay{0};
};

/// Makes this daemon the fleet's leader when there is none. One thread.
class LeaderElection {
 public:
  /// An order that has no answer by then is given up with its connection.
  static constexpr std::chrono::milliseconds kLongestOrder{600};

  LeaderElection(boost::asio::io_context& context, KeyValueStore& store, EventLog& log,
                 ElectionSettings settings);

  void Start();
  /// The store shows the leader key so since `revision`: `entry`, or gone. In the order of
  /// revisions.
  void KeyChanged(const std::optional<KeyValue>& entry, StoreRevision revision);
  /// The leader has been heard from, by another way than the store.
  /// @param daemons in the fleet, as the leader says: in a large one each looks for the next leader
  /// more seldom.
  void HeardLeader(std::uint32_t daemons) {
    leader_heard_ = BootClock::now();
    daemons_ = daemons;
  }
  /// Reads the leader key now: another daemon has said that it leads no more.
  /// @param first whether to stand for leader at once.
  void LookNow(bool first);
  /// Takes part no more; a lead is kept until Resign.
  void StopOrdering() { resigned_ = true; }
  /// Gives leadership up, and leaves to the next leader what was ordered. Orders must have ended.
  /// @param done is called when the store has taken it, or does not answer.
  void Resign(std::function<void()> done);

  bool leading() const { return window_.leading(); }
  /// @return whether an order may be sent now.
  bool MayOrder() const;
  /// @return whether orders of other leaders to that server lie far enough back.
  bool ServerFree(const std::string& server_id) const;
  /// An order to the server has been answered or given up.
  void NoteOrder(const std::string& server_id) { history_.NoteOrder(server_id, BootClock::now()); }
  LoadWindow& loads() { return history_.loads(); }
  /// @return whether the loads of the leader before are known and counted.
  bool knows_loads() const { return knows_loads_; }
  std::int64_t fencing_token() const { return token_; }
  /// @return the leader's record as far as known.
  const std::optional<LeaderRecord>& leader() const { return leader_; }

 private:
  using Time = OrderWindow::Time;

  void Tick();
  /// Claims the key, or first reads it again where it was seen too long ago.
  void Stand(StoreRevision condition);
  void Campaign(StoreRevision condition);
  /// @return whether the store has begun an era since the lease was granted: then it may be gone,
  /// whatever renewals say, and its number another's.
  bool LeaseOutlived() const { return store_.era() > lease_.era; }
  void Claim(const LeadershipClaim& claim, LeaseId lease, Time grant_sent);
  LeaderKeySight Sight() const {
    const bool exists = leader_ || key_abandoned_;
    return {leader_, exists ? leader_revision_ : StoreRevision{seen_revision_.era, 0},
            key_abandoned_};
  }
  void EndClaim(const LeadershipClaim& claim, LeaseId lease,
                const Outcome<TransactionResult>& result);
  void NoteClaim(LogEvent event, LeaseId lease, const LeadershipClaim& claim,
                 const std::string& problem);
  void Won(StoreRevision revision);
  void RenewOrLose();
  void Lose(const std::string& why);
  void Settle();
  void Verify();
  Transaction RecordTransaction(bool settled) const;
  void Release(int tries, std::function<void()> done);
  void ReleaseAtCurrentRevision(int tries, std::function<void()> done);
  void ReadKey();
  /// @return whether another leads, as far as known, but says nothing.
  bool LeaderSilent(Time now) const;
  std::chrono::milliseconds BeginTerm(Time now);
  /// @return the condition of a claim that may be tried now, if any.
  std::optional<StoreRevision> MayCampaign() const;
  std::chrono::milliseconds Jitter() const;
  std::chrono::milliseconds ReadPause() const;
  std::chrono::milliseconds WaitAfterOther() const;

  KeyValueStore& store_;
  EventLog& log_;
  ElectionSettings settings_;
  OrderWindow window_;
  OrderHistory history_;
  EraWait era_wait_;
  BootTimer timer_;
  std::optional<LeaderRecord> leader_;
  StoreRevision leader_revision_;
  bool key_abandoned_ = false;   ///< As LeaderKeySight has it.
  StoreRevision seen_revision_;  ///< Of the key's newest state, also of its absence.
  Time leader_seen_{};           ///< When that state was first seen.
  Time key_confirmed_{};         ///< When it was last seen.
  LeaseId leader_lease_;
  LeaseId lease_;
  Time grant_sent_{};
  std::int64_t token_ = 0;
  StoreRevision won_at_;  ///< Of the claim that won last.
  StoreRevision record_revision_;
  bool key_known_ = false;
  bool campaigning_ = false;
  bool renewing_ = false;
  bool settling_ = false;
  /// A renewal failed: whether the key is still ours has to be read before the next order.
  bool unsure_ = false;
  bool took_over_own_ = false;
  /// The record that a claim takes over from a leader that released it.
  std::optional<OrderHistoryRecord> taken_over_;
  Time taken_over_seen_{};
  bool claimed_own_ = false;  ///< The key was this machine's, from before a restart.
  Time others_from_{};        ///< When others may order, whatever an earlier process here ordered.
  bool knows_loads_ = false;
  bool offered_ = false;  ///< The leader before wants this daemon to lead next.
  bool stands_ = false;   ///< Claims the key if the read under way shows nothing new.
  std::uint32_t daemons_ = 1;
  bool reading_ = false;
  Time read_not_before_{};
  Time leader_heard_{};
  bool resigned_ = false;
  Time campaign_not_before_{};
};

}  // namespace moorfold
