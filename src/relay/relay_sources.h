#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "relay/relay_plan.h"

namespace moorfold {

/// Selects the relay that a daemon asks. Daemons spread over the relays of their own zone; a daemon
/// switches to the next relay when the current one does not answer or its data is old, and to
/// relays of other zones when all of its own zone fail. A relay asks the relays before it in its
/// zone, reads the store if none of them answers, and asks relays of other zones if the store
/// refuses its reads. No I/O; not thread-safe.
class RelaySources {
 public:
  using Time = BootClock::time_point;

  /// @param address "IP:PORT" of this daemon; determines which relays it prefers.
  /// @param zone zone of this daemon.
  RelaySources(std::string address, ZoneId zone) : address_(std::move(address)), zone_(zone) {}

  void SetPlan(const RelayPlan& plan, Time now);
  /// @return "IP:PORT" of the relay to ask now; empty if the plan names none, or if this daemon
  /// must read the store itself.
  std::string Current(Time now);
  /// @return whether this daemon is a relay that currently watches the store.
  bool Watches(Time now);
  /// Sets whether this daemon has no server data yet. If so, it waits longer for relays, which may
  /// have to read the store first.
  void SetLearning(bool learning) { learning_ = learning; }
  /// Records that a request was sent to the current relay.
  void RecordRequest(Time now);
  /// Records an answer of a relay.
  /// @param age age of its data. If too high, as when the store refuses the relay's reads, this
  /// daemon switches to another relay.
  void RecordAnswer(const std::string& from, std::chrono::microseconds age, Time now);
  /// Records whether this daemon's reads of the store fail. A relay whose reads keep failing asks
  /// other relays. One whose reads are only slow continues; otherwise no relay might be left that
  /// reads the store.
  void RecordOwnReads(bool fail, Time now);
  /// Records that a relay declined because its own data is incomplete, as after its start.
  void RecordDecline(const std::string& from, Time now);
  bool Contains(const std::string& address) const;

 private:
  void SelectNext(Time now);
  void UpdateCurrent(Time now);
  /// @return the relays of a zone to ask, in order of preference.
  std::vector<std::string> SourcesOf(const ZoneRelays& zone) const;
  /// @return relays of the other zones, interleaved by zone.
  std::vector<std::string> OtherZoneSources(const RelayPlan& plan) const;
  bool AtOwnPosition() const { return !candidates_.empty() && candidates_[current_] == address_; }

  std::string address_;
  ZoneId zone_;
  std::vector<std::string> candidates_;
  bool relay_ = false;              ///< If true, `candidates_` contains this daemon itself.
  std::size_t own_zone_count_ = 0;  ///< Number of leading entries of `candidates_` in the own zone.
  std::size_t current_ = 0;
  bool learning_ = false;
  Time failing_since_{};                ///< Start of own read failures; zero: none.
  bool previous_relay_silent_ = false;  ///< The previous relay timed out.
  Time declined_since_{};  ///< First decline since the relay was selected or last answered; zero:
                           ///< none.
  Time silent_since_{};    ///< Time of the first unanswered request; zero: none.
  Time retry_own_zone_at_{};  ///< When to try a relay of the own zone again.
};

}  // namespace moorfold
