#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "common/async_signal.h"
#include "common/event_log.h"
#include "fleet/fleet_messages.h"
#include "fleet/order_history.h"
#include "ports/key_value_store.h"

namespace moorfold {

struct ElectionSettings {
  std::string name;         ///< Of this machine.
  std::string address;      ///< "IP:PORT" for demand.
  std::string leader_key;   ///< Holds a LeaderRecord; hangs on the leader's lease.
  std::string history_key;  ///< Holds an OrderHistoryRecord; stays.
  std::chrono::milliseconds time_to_live{2'000};
  /// How long orders of different machines to one server must lie apart.
  std::chrono::milliseconds orders_apart{3'000};
  std::chrono::milliseconds load_window{5'000};
  /// How long this machine leaves the office to others: the weaker it is, the longer.
  std::chrono::milliseconds candidacy_delay{0};
};

/// Makes this daemon the fleet's leader when there is none, and lets it order only what the store
/// has taken notice of. States: follower -> candidate (a lease is granted, the key claimed) ->
/// leader -> taking over (reads what the leaders before announced) -> ordering; back to follower
/// when the key is lost; resigned at a planned stop, for good. One thread.
///
/// Safety rests on the store alone, not on leases or clocks: each announcement is a transaction
/// that requires the leader key to be the one that was won, and a new leader reads the
/// announcements after its own win. The lease only bounds how long a silent leader is waited for.
class LeaderElection {
 public:
  LeaderElection(boost::asio::io_context& context, KeyValueStore& store, EventLog& log,
                 ElectionSettings settings);

  void Start();
  /// The store shows one of the two keys so since `revision`: `entry`, or gone. In the order of
  /// revisions.
  void KeyChanged(const std::string& key, const std::optional<KeyValue>& entry,
                  std::int64_t revision);
  /// The leader has been heard from, by another way than the store.
  void HeardLeader() { leader_heard_ = std::chrono::steady_clock::now(); }
  /// Reads both keys now: another daemon has said that it leads no more.
  /// @param first whether to stand for leader at once.
  void LookNow(bool first);
  /// Takes part no more; a lead is kept until Resign.
  void StopOrdering();
  /// Gives leadership up. No order may be under way.
  /// @param done is called when the store has taken it, or does not answer.
  void Resign(std::function<void()> done);

  bool leading() const { return leading_; }
  /// @return whether orders may be prepared: this daemon leads and knows what was announced.
  bool MayOrder() const;
  /// @return whether an order to the server would be in time now.
  bool ServerFree(const std::string& server_id) const;
  /// Announces that orders to the server will be sent.
  /// @return whether one may be sent now.
  Awaitable<bool> Announce(std::string server_id);

  LoadWindow& loads() { return history_.loads(); }
  std::int64_t fencing_token() const { return token_; }
  /// @return the leader's record as far as known.
  const std::optional<LeaderRecord>& leader() const { return leader_; }

 private:
  using Time = std::chrono::steady_clock::time_point;

  void Tick();
  void LeaderKeyChanged(const std::optional<KeyValue>& entry, std::int64_t revision);
  void ReadLeader(const KeyValue& entry);
  void HistoryKeyChanged(const std::optional<KeyValue>& entry);
  bool MayCampaign() const;
  void Campaign();
  void Claim(LeaseId lease, Time grant_sent);
  void Won(std::int64_t revision);
  /// Reads both keys after a win, or after a write whose outcome is unknown.
  void ReadKeys();
  void TakeKeys(const RangeResult& keys);
  /// @param history null: no leader has ever announced anything.
  void TakeOverHistory(const KeyValue* history);
  void WriteSoon();
  void WriteHistory();
  void RenewOrLose();
  /// @return whether another leads, as far as known, but says nothing.
  bool LeaderSilent(Time now) const;
  void Lose(const std::string& why);
  std::chrono::milliseconds Jitter() const;

  boost::asio::io_context& context_;
  KeyValueStore& store_;
  EventLog& log_;
  ElectionSettings settings_;
  boost::asio::steady_timer timer_;
  AsyncSignal written_;  ///< Notified when a record was written, or cannot be.

  std::optional<LeaderRecord> leader_;
  std::int64_t leader_revision_ = 0;
  LeaseId leader_lease_ = 0;
  std::int64_t history_revision_ = 0;  ///< 0: there is no record.
  Time history_seen_{};

  LeaseId lease_ = 0;
  Time renewal_sent_{};
  std::int64_t token_ = 0;  ///< Revision at which the leader key was won.
  OrderHistory history_;
  bool leading_ = false;
  bool taken_over_ = false;  ///< What leaders before announced in this term is known.
  bool in_doubt_ = false;    ///< The outcome of a write is unknown: the keys are read first.
  bool reading_ = false;
  bool writing_ = false;
  bool write_posted_ = false;
  bool key_known_ = false;
  bool campaigning_ = false;
  bool renewing_ = false;
  bool resigned_ = false;
  bool offered_ = false;  ///< The leader before wants this daemon to lead next.
  Time leader_heard_{};
  Time campaign_not_before_{};
  Time read_not_before_{};
};

}  // namespace moorfold
