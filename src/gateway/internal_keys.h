#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ports/key_value_store.h"

namespace moorfold {

/// The keys of moorfold's own in the store, and who hears of each. One thread.
class InternalKeys {
 public:
  /// Hears of the key's newest state, or that it is gone, in the order of revisions.
  using Handler = std::function<void(const std::optional<KeyValue>& entry, StoreRevision revision)>;

  void Subscribe(std::string key, Handler changed) {
    subscriptions_.push_back({std::move(key), std::move(changed), {}});
  }
  bool Contains(const std::string& key) const { return Find(key) != nullptr; }
  /// @return whether all of them stand before `key` in the order of keys.
  bool AllBefore(const std::string& key) const {
    return std::all_of(subscriptions_.begin(), subscriptions_.end(),
                       [&](const Subscription& subscription) { return subscription.key < key; });
  }
  /// The store shows the key so. Nothing where a state as new was shown before.
  void Apply(const KeyValue& entry);
  /// The store shows no such key.
  void ApplyRemoval(const std::string& key, StoreRevision revision);
  /// All keys that `listed` does not hold are gone.
  template <typename Keys>
  void RemoveMissing(const Keys& listed, StoreRevision revision) {
    for (Subscription& subscription : subscriptions_)
      if (!listed.contains(subscription.key)) ApplyRemoval(subscription.key, revision);
  }

 private:
  struct Subscription {
    std::string key;
    Handler changed;
    StoreRevision revision;  ///< Of the state that its reader heard of last.
  };
  const Subscription* Find(const std::string& key) const;
  Subscription* Find(const std::string& key);

  std::vector<Subscription> subscriptions_;
};

}  // namespace moorfold
