#pragma once

#include <functional>
#include <map>
#include <memory>

#include "config/deployment_file.h"
#include "modelled/key_value_table.h"
#include "simulation/process.h"
#include "simulation/world.h"

namespace moorfold {

/// The key-value service as all simulated daemons share it. It stands in one zone.
class SimulatedKeyValueService {
 public:
  /// Called after every committed transaction.
  using CommitObserver = std::function<void(const Transaction&)>;

  SimulatedKeyValueService(World& world, KeyValueTraits traits, ZoneName zone);
  void SetCommitObserver(CommitObserver observer) { observer_ = std::move(observer); }
  bool ReachableFrom(const ZoneName& zone) const;
  bool TakeToken();
  Duration Latency();
  KeyValueTable& table() { return table_; }
  TransactionResult Commit(const Transaction& transaction);
  /// Ends every watch, as an outage does.
  void BreakWatches();
  World& world() { return world_; }
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

 private:
  friend class SimulatedKeyValueStore;
  struct Watcher {
    KeyRange range;
    StoreRevision next;
    std::function<void(WatchBatch)> changed;
    std::function<void(PlatformFailure)> ended;
    ZoneName zone;
  };
  void DeliverTo(Watcher& watcher);

  World& world_;
  KeyValueTraits traits_;
  ZoneName zone_;
  KeyValueTable table_;
  CommitObserver observer_;
  double tokens_;
  Timestamp tokens_at_;
  std::map<std::uint64_t, Watcher> watchers_;
  std::uint64_t next_watcher_ = 1;
};

/// One daemon's connection to the service.
class SimulatedKeyValueStore : public KeyValueStore {
 public:
  SimulatedKeyValueStore(SimulatedKeyValueService& service, const Process& process, ZoneName zone);

  void Range(KeyRange range, Callback<RangeResult> done) override;
  void Transact(Transaction transaction, Callback<TransactionResult> done) override;
  void GrantLease(Duration time_to_live, Callback<LeaseId> done) override;
  void KeepLeaseAlive(LeaseId lease, Callback<Duration> done) override;
  void RevokeLease(LeaseId lease, Callback<bool> done) override;
  std::unique_ptr<WatchHandle> Watch(KeyRange range, StoreRevision start, WatchCallback changed,
                                     WatchEndCallback ended) override;

 private:
  template <typename T>
  void Call(bool write, std::function<Outcome<T>()> execute, Callback<T> done);

  SimulatedKeyValueService& service_;
  const Process& process_;
  ZoneName zone_;
};

}  // namespace moorfold
