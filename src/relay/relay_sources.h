#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "relay/relay_plan.h"

namespace moorfold {

/// Which relay a daemon asks: one of its own zone, and its neighbours others; the next when it says
/// nothing, or nothing new; those of other zones when none of its own does. A relay itself asks the
/// relays before it in its zone, reads the store where they all say nothing, and asks those of
/// other zones where the store turns it away. Pure; one thread.
class RelaySources {
 public:
  using Time = BootClock::time_point;

  /// @param address "IP:PORT" of this daemon: others prefer other relays.
  /// @param zone of this daemon.
  RelaySources(std::string address, ZoneId zone) : address_(std::move(address)), zone_(zone) {}

  void SetPlan(const RelayPlan& plan, Time now);
  /// @return "IP:PORT" of the relay to ask now; empty where none is named, and where this daemon is
  /// to read the store itself.
  std::string Current(Time now);
  /// @return whether this daemon is a relay that watches the store now.
  bool Watches(Time now);
  /// Whether this daemon knows no servers yet: then relays are given time to learn of them first.
  void SetLearning(bool patient) { learning_ = patient; }
  /// It has been asked.
  void Asked(Time now);
  /// A relay has answered what it knows.
  /// @param age of what it knows: one that the store turns away is left for another.
  void Heard(const std::string& from, std::chrono::microseconds age, Time now);
  /// Whether this daemon's reads of the store fail: a relay that reads it in vain asks others. One
  /// that is only slow goes on, or nobody might be left who reads it.
  void RecordOwnReads(bool fail, Time now);
  /// A relay has said that it does not know enough itself, as after its start.
  void Declined(const std::string& from, Time now);
  bool Contains(const std::string& address) const;

 private:
  void Next(Time now);
  void UpdateCurrent(Time now);
  /// @return whom to ask of a zone's relays, the ones to ask last at the end.
  std::vector<std::string> SourcesOf(const ZoneRelays& zone) const;
  /// @return relays of the other zones, one of each in turn.
  std::vector<std::string> OtherZoneSources(const RelayPlan& plan) const;
  bool AtOwnPosition() const { return !order_.empty() && order_[current_] == address_; }

  std::string address_;
  ZoneId zone_;
  std::vector<std::string> order_;
  bool relay_ = false;        ///< Then this daemon itself stands in `order_`.
  std::size_t own_zone_ = 0;  ///< So many of `order_`, the first ones.
  std::size_t current_ = 0;
  bool learning_ = false;
  Time failing_since_{};                ///< Of own reads; zero: they do not fail.
  bool previous_relay_silent_ = false;  ///< The relay before was silent.
  Time declined_since_{};  ///< Zero: the relay has not declined since it was chosen, or answered.
  Time silent_since_{};    ///< Of the first question without an answer; zero: there is none.
  Time retry_own_zone_at_{};  ///< When a relay of the own zone is tried again.
};

}  // namespace moorfold
