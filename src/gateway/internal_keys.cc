#include "gateway/internal_keys.h"

#include <algorithm>

namespace moorfold {

const InternalKeys::Subscription* InternalKeys::Find(const std::string& key) const {
  const auto own = std::find_if(keys_.begin(), keys_.end(),
                                [&](const Subscription& each) { return each.key == key; });
  return own == keys_.end() ? nullptr : &*own;
}

InternalKeys::Subscription* InternalKeys::Find(const std::string& key) {
  return const_cast<Subscription*>(std::as_const(*this).Find(key));  // Of this object.
}

void InternalKeys::Take(const KeyValue& entry) {
  Subscription* own = Find(entry.key);
  if (own == nullptr || entry.mod_revision <= own->revision) return;
  own->revision = entry.mod_revision;
  own->changed(entry, entry.mod_revision);
}

void InternalKeys::TakeRemoval(const std::string& key, StoreRevision revision) {
  Subscription* own = Find(key);
  if (own == nullptr || revision < own->revision) return;
  own->revision = revision;
  own->changed(std::nullopt, revision);
}

}  // namespace moorfold
