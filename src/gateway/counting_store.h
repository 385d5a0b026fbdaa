#pragma once

#include <memory>

#include "gateway/gateway_metrics.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// A decorator that counts the calls to a store by kind and outcome and forwards them. Not
/// thread-safe. The store and the metrics must outlive this object and every call in progress.
class CountingStore final : public KeyValueStore {
 public:
  CountingStore(KeyValueStore& store, GatewayMetrics& metrics) : store_(store), metrics_(metrics) {}

  void Range(KeyRange range, Callback<RangeResult> done) override;
  void Range(KeyRange range, ReadConsistency consistency, Callback<RangeResult> done) override;
  void RangePage(KeyRange range, Callback<RangeResult> done) override;
  void RangeWhile(std::function<bool()> wanted, KeyRange range, ReadConsistency consistency,
                  Callback<RangeResult> done) override;
  void Transact(Transaction transaction, Callback<TransactionResult> done) override;
  void GrantLease(Duration time_to_live, Callback<LeaseId> done) override;
  void KeepLeaseAlive(LeaseId lease, Callback<Duration> done) override;
  void RevokeLease(LeaseId lease, Callback<bool> done) override;
  /// Counts each batch and the end of the watch.
  std::unique_ptr<WatchHandle> Watch(KeyRange range, StoreRevision start, WatchCallback changed,
                                     WatchEndCallback ended) override;
  std::uint64_t repeated_reads() const override { return store_.repeated_reads(); }
  std::int64_t era() const override { return store_.era(); }

 private:
  template <typename T>
  Callback<T> Counted(const char* call, Callback<T> done);

  KeyValueStore& store_;
  GatewayMetrics& metrics_;
};

}  // namespace moorfold
