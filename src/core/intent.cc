#include "core/intent.h"

namespace moorfold {
namespace {

template <typename Entry>
void DiffEntries(const std::map<std::string, Entry>& from, const std::map<std::string, Entry>& to,
                 std::vector<Entry>& changed, std::vector<std::string>& removed) {
  for (const auto& [name, entry] : to) {
    const auto old = from.find(name);
    if (old == from.end() || old->second != entry) changed.push_back(entry);
  }
  for (const auto& [name, entry] : from)
    if (!to.contains(name)) removed.push_back(name);
}

template <typename Entry>
void ApplyEntries(const std::vector<Entry>& changed, const std::vector<std::string>& removed,
                  std::map<std::string, Entry>& entries) {
  for (const Entry& entry : changed) entries[entry.name] = entry;
  for (const std::string& name : removed) entries.erase(name);
}

}  // namespace

ConfigurationDelta DiffIntents(const Intent& from, const Intent& to) {
  ConfigurationDelta delta;
  DiffEntries(from.models, to.models, delta.changed_models, delta.removed_models);
  DiffEntries(from.services, to.services, delta.changed_services, delta.removed_services);
  return delta;
}

void ApplyDelta(const ConfigurationDelta& delta, Intent& intent) {
  ApplyEntries(delta.changed_models, delta.removed_models, intent.models);
  ApplyEntries(delta.changed_services, delta.removed_services, intent.services);
}

}  // namespace moorfold
