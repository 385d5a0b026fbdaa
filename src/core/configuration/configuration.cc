#include "core/configuration/configuration.h"

namespace moorfold {
namespace {
constexpr std::size_t kRecentDeltas = 128;
}  // namespace

bool Configuration::Apply(const ConfigurationDelta& delta, Timestamp now) {
  if (delta.base != state_.revision || delta.revision <= delta.base) return false;
  ApplyDelta(delta, state_.intent);
  state_.revision = delta.revision;
  state_.in_force_since = now;
  state_.recent.push_back(delta);
  if (state_.recent.size() > kRecentDeltas) state_.recent.pop_front();
  return true;
}

bool Configuration::Apply(Revision revision, const Intent& intent, Timestamp now) {
  if (revision <= state_.revision) return false;
  ConfigurationDelta delta = DiffIntents(state_.intent, intent);
  delta.base = state_.revision;
  delta.revision = revision;
  return Apply(delta, now);
}

void Configuration::Answer(const DaemonName& peer, Revision have, Effects& effects) const {
  if (have >= state_.revision) return;
  bool reached = false;
  for (const ConfigurationDelta& delta : state_.recent) {
    reached = reached || (delta.base == have && have != 0);
    if (reached) effects.push_back(SendMessage{peer, ConfigurationDeltaMessage{delta}});
  }
  if (!reached)
    effects.push_back(
        SendMessage{peer, ConfigurationSnapshotMessage{state_.revision, state_.intent}});
}

}  // namespace moorfold
