#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/http_client.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// KeyValueStore over etcd v3's JSON gateway (range, txn, lease, watch). Callbacks run on the
/// thread of the given context; call from that thread only.
class EtcdKeyValueStore : public KeyValueStore {
 public:
  EtcdKeyValueStore(boost::asio::io_context& context, Endpoint endpoint,
                    std::chrono::milliseconds timeout);

  void Range(KeyRange range, Callback<RangeResult> done) override;
  void Transact(Transaction transaction, Callback<TransactionResult> done) override;
  void GrantLease(Duration time_to_live, Callback<LeaseId> done) override;
  void KeepLeaseAlive(LeaseId lease, Callback<Duration> done) override;
  void RevokeLease(LeaseId lease, Callback<bool> done) override;
  std::unique_ptr<WatchHandle> Watch(KeyRange range, StoreRevision start, WatchCallback changed,
                                     WatchEndCallback ended) override;

 private:
  boost::asio::io_context& context_;
  Endpoint endpoint_;
  std::chrono::milliseconds timeout_;
  std::shared_ptr<HttpClient> client_;
};

}  // namespace moorfold
