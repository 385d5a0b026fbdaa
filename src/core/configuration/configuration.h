#pragma once

#include <deque>

#include "core/effects.h"
#include "core/intent.h"
#include "core/settings.h"

namespace moorfold {

/// The configuration in force at one daemon. Its revision never goes back.
struct ConfigurationState {
  Revision revision = 0;
  Intent intent;
  Timestamp in_force_since{};
  std::deque<ConfigurationDelta> recent;  ///< Consecutive, newest last; answers late peers.
  bool watching = false;
  Timestamp last_read{};
  Timestamp last_request{};
};

/// Keeps the configuration up to date from the key-value service (watchers) and from peers.
class Configuration {
 public:
  explicit Configuration(ConfigurationState& state) : state_(state) {}

  /// @return true when the delta continued the own revision and is now in force.
  bool Apply(const ConfigurationDelta& delta, Timestamp now);
  /// @return true when the snapshot was newer and is now in force.
  bool Apply(Revision revision, const Intent& intent, Timestamp now);
  /// Answers a peer that holds revision `have`, with deltas where they reach back that far.
  void Answer(const DaemonName& peer, Revision have, Effects& effects) const;

 private:
  ConfigurationState& state_;
};

}  // namespace moorfold
