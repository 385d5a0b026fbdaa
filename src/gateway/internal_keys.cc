#include "gateway/internal_keys.h"

#include <algorithm>

namespace moorfold {

const InternalKeys::Subscription* InternalKeys::Find(const std::string& key) const {
  const auto subscription =
      std::find_if(subscriptions_.begin(), subscriptions_.end(),
                   [&](const Subscription& candidate) { return candidate.key == key; });
  return subscription == subscriptions_.end() ? nullptr : &*subscription;
}

InternalKeys::Subscription* InternalKeys::Find(const std::string& key) {
  return const_cast<Subscription*>(
      std::as_const(*this).Find(key));  // Safe: this object is not const.
}

void InternalKeys::Apply(const KeyValue& entry) {
  Subscription* subscription = Find(entry.key);
  if (subscription == nullptr || entry.mod_revision <= subscription->revision) return;
  subscription->revision = entry.mod_revision;
  subscription->changed(entry, entry.mod_revision);
}

void InternalKeys::ApplyRemoval(const std::string& key, StoreRevision revision) {
  Subscription* subscription = Find(key);
  if (subscription == nullptr || revision < subscription->revision) return;
  subscription->revision = revision;
  subscription->changed(std::nullopt, revision);
}

}  // namespace moorfold
