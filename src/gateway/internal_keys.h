#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ports/key_value_store.h"

namespace moorfold {

/// The keys that moorfold itself writes to the store, with a handler for each. Not thread-safe.
class InternalKeys {
 public:
  /// Called with the newest entry of the key, or without one after its removal, in the order of
  /// revisions.
  using Handler = std::function<void(const std::optional<KeyValue>& entry, StoreRevision revision)>;

  void Subscribe(std::string key, Handler changed) {
    subscriptions_.push_back({std::move(key), std::move(changed), {}});
  }
  bool Contains(const std::string& key) const { return Find(key) != nullptr; }
  /// @return whether all keys sort before `key`.
  bool AllBefore(const std::string& key) const {
    return std::all_of(subscriptions_.begin(), subscriptions_.end(),
                       [&](const Subscription& subscription) { return subscription.key < key; });
  }
  /// Applies an entry of the store; ignored unless it is newer than the state reported last.
  void Apply(const KeyValue& entry);
  /// Applies the removal of a key.
  void ApplyRemoval(const std::string& key, StoreRevision revision);
  /// Applies the removal of each key that `listed` does not contain.
  template <typename Keys>
  void RemoveMissing(const Keys& listed, StoreRevision revision) {
    for (Subscription& subscription : subscriptions_)
      if (!listed.contains(subscription.key)) ApplyRemoval(subscription.key, revision);
  }

 private:
  struct Subscription {
    std::string key;
    Handler changed;
    StoreRevision revision;  ///< Revision of the state that was last passed to the handler.
  };
  const Subscription* Find(const std::string& key) const;
  Subscription* Find(const std::string& key);

  std::vector<Subscription> subscriptions_;
};

}  // namespace moorfold
