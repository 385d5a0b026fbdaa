#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "ports/key_value_store.h"

namespace moorfold {

/// Keys and values in memory, for parts that read, list and write under conditions. Answers are
/// posted to the context; none comes while `silent`.
class MemoryStore final : public KeyValueStore {
 public:
  explicit MemoryStore(boost::asio::io_context& context) : context_(context) {}

  bool silent = false;
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

  /// The store comes back from an older copy of itself.
  void RaiseEra() { ++revision_.era; }
  std::map<std::string, KeyValue>& entries() { return entries_; }
  void Put(const std::string& key, const std::string& value) {
    revision_ = revision_.Next();
    entries_[key] = {key, value, revision_, {}, true};
  }

  void Range(KeyRange range, Callback<RangeResult> done) override {
    ++reads;
    RangeResult result{revision_, {}, false};
    for (const auto& [key, entry] : entries_)
      if (range.Contains(key)) result.entries.push_back(entry);
    Answer<RangeResult>(std::move(result), std::move(done));
  }
  void Transact(Transaction transaction, Callback<TransactionResult> done) override {
    ++writes;
    bool holds = true;
    for (const Comparison& comparison : transaction.comparisons) {
      const auto found = entries_.find(comparison.key);
      const std::int64_t number = found == entries_.end() ? 0 : found->second.mod_revision.number;
      holds = holds && comparison.mod_revision == StoreRevision{revision_.era, number};
    }
    if (holds) Apply(transaction);
    Answer<TransactionResult>({holds, revision_}, std::move(done));
  }
  std::int64_t era() const override { return revision_.era; }

  void GrantLease(Duration, Callback<LeaseId> done) override { Answer<LeaseId>({}, done); }
  void KeepLeaseAlive(LeaseId, Callback<Duration> done) override { Answer<Duration>({}, done); }
  void RevokeLease(LeaseId, Callback<bool> done) override { Answer<bool>(true, done); }
  std::unique_ptr<WatchHandle> Watch(KeyRange, StoreRevision, WatchCallback,
                                     WatchEndCallback) override {
    return nullptr;
  }

 private:
  void Apply(const Transaction& transaction) {
    for (const Operation& operation : transaction.operations) {
      if (const auto* put = std::get_if<PutOperation>(&operation))
        Put(put->key, put->value);
      else
        entries_.erase(std::get<DeleteOperation>(operation).key);
    }
  }
  template <typename T>
  void Answer(T value, Callback<T> done) {
    if (silent) return;
    boost::asio::post(context_,
                      [value = std::move(value), done = std::move(done)] { done(value); });
  }

  boost::asio::io_context& context_;
  StoreRevision revision_;
  std::map<std::string, KeyValue> entries_;
};

}  // namespace moorfold
