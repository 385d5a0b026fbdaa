#include "gateway/counting_store.h"

namespace moorfold {

namespace {

void Count(GatewayMetrics& metrics, const char* call, const char* outcome) {
  metrics.store_calls.Add({{"call", call}, {"outcome", outcome}});
}

}  // namespace

template <typename T>
KeyValueStore::Callback<T> CountingStore::Counted(const char* call, Callback<T> done) {
  return [this, call, done = std::move(done)](Outcome<T> result) {
    Count(metrics_, call, result.ok() ? "ok" : ToString(result.failure().fault));
    done(std::move(result));
  };
}

void CountingStore::Range(KeyRange range, Callback<RangeResult> done) {
  store_.Range(std::move(range), Counted("range", std::move(done)));
}

void CountingStore::Range(KeyRange range, ReadConsistency consistency, Callback<RangeResult> done) {
  const char* call = consistency == ReadConsistency::kPossiblyStale ? "stale_range" : "range";
  store_.Range(std::move(range), consistency, Counted(call, std::move(done)));
}

void CountingStore::RangeWhile(std::function<bool()> wanted, KeyRange range,
                               ReadConsistency consistency, Callback<RangeResult> done) {
  const char* call = consistency == ReadConsistency::kPossiblyStale ? "stale_range" : "range";
  store_.RangeWhile(std::move(wanted), std::move(range), consistency,
                    Counted(call, std::move(done)));
}

void CountingStore::RangePage(KeyRange range, Callback<RangeResult> done) {
  store_.RangePage(std::move(range), Counted("range_page", std::move(done)));
}

void CountingStore::Transact(Transaction transaction, Callback<TransactionResult> done) {
  store_.Transact(std::move(transaction), Counted("transact", std::move(done)));
}

void CountingStore::GrantLease(Duration time_to_live, Callback<LeaseId> done) {
  store_.GrantLease(time_to_live, Counted("grant_lease", std::move(done)));
}

void CountingStore::KeepLeaseAlive(LeaseId lease, Callback<Duration> done) {
  store_.KeepLeaseAlive(lease, Counted("keep_lease", std::move(done)));
}

void CountingStore::RevokeLease(LeaseId lease, Callback<bool> done) {
  store_.RevokeLease(lease, Counted("revoke_lease", std::move(done)));
}

std::unique_ptr<WatchHandle> CountingStore::Watch(KeyRange range, StoreRevision start,
                                                  WatchCallback changed, WatchEndCallback ended) {
  return store_.Watch(
      std::move(range), start,
      [this, changed = std::move(changed)](const WatchBatch& batch) {
        Count(metrics_, "watch", "ok");
        changed(batch);
      },
      [this, ended = std::move(ended)](PlatformFailure failure) {
        Count(metrics_, "watch", ToString(failure.fault));
        ended(std::move(failure));
      });
}

}  // namespace moorfold
