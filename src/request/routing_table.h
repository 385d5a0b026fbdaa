#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/boot_clock.h"
#include "core/state.h"
#include "http/http_types.h"

namespace moorfold {

/// Shared by all threads; outlives the tables that name it.
struct TargetLoad {
  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<std::uint32_t> reported{0};
  std::atomic<std::uint32_t> failures{0};        ///< In a row.
  std::atomic<std::int64_t> set_aside_until{0};  ///< BootClock microseconds.

  /// @return false when `limit` requests are in flight already.
  bool TryAcquire(std::uint32_t limit);
  void Release() { in_flight.fetch_sub(1, std::memory_order_relaxed); }
  void RecordFailure(std::int64_t now_microseconds);
  /// The server said that it is about to stop: it gets nothing until the machine list drops it.
  void RecordLeaving(std::int64_t now_microseconds);
  void RecordSuccess() { failures.store(0, std::memory_order_relaxed); }
  bool SetAside(std::int64_t now_microseconds) const {
    return set_aside_until.load(std::memory_order_relaxed) > now_microseconds;
  }
};
using TargetLoadPtr = std::shared_ptr<TargetLoad>;

/// Demand for one model or adapter, counted by the worker threads, read by the control thread.
struct DemandCounters {
  std::atomic<std::uint32_t> arrivals{0};
  std::atomic<std::uint32_t> in_flight{0};
  std::atomic<std::uint32_t> waiting{0};
  std::atomic<bool> nudged{false};                     ///< The core was told that requests wait.
  std::atomic<std::uint64_t> service_microseconds{0};  ///< Moving average; 0: unknown.
  std::atomic<std::uint64_t> cold_microseconds{0};     ///< Moving average of cold waits.

  void RecordService(std::uint64_t microseconds) { Average(service_microseconds, microseconds); }
  void RecordColdWait(std::uint64_t microseconds) { Average(cold_microseconds, microseconds); }

 private:
  static void Average(std::atomic<std::uint64_t>& average, std::uint64_t newest);
};
using DemandCountersPtr = std::shared_ptr<DemandCounters>;

/// A server that requests can be sent to.
struct Target {
  std::string name;
  Endpoint endpoint;
  TargetLoadPtr load;
};

/// Where requests for one model or adapter go.
struct ModelRoute {
  std::string called_as;  ///< "model" or "model:adapter", as engines know it.
  ModelIntent model;
  AdapterName adapter;
  bool local = false;  ///< The zone may hold replicas; else targets are daemons of zones that may.
  std::vector<Target> targets;
  DemandCountersPtr counters;
};
using ModelRouteConstPtr = std::shared_ptr<const ModelRoute>;

struct ServiceRoute {
  ServiceIntent service;
  std::vector<Target> near;  ///< Of the own zone.
  std::vector<Target> far;
};
using ServiceRouteConstPtr = std::shared_ptr<const ServiceRoute>;

/// Predicts when a request would be answered if it waited, from moving averages.
/// @param waiting_before requests that are served first.
/// @param waited_seconds how long it has waited already.
/// @return seconds from now; 0 when nothing is known.
double PredictAnswerSeconds(const ModelRoute& route, std::size_t waiting_before,
                            double waited_seconds);

/// @return the replica that the request goes to, with a slot on it taken, or nothing when all are
///   full, set aside or excluded.
std::optional<Target> AcquireReplica(const ModelRoute& route, std::uint64_t prefix_hash,
                                     const std::set<std::string>& excluded,
                                     std::int64_t now_microseconds);

/// @return the least loaded usable back end, of the own zone if there is any.
std::optional<Target> PickBackend(const ServiceRoute& route, const std::string& excluded,
                                  std::int64_t now_microseconds);

/// Everything a request's path needs to know; immutable.
struct RoutingTable {
  Revision configuration_revision = 0;
  /// By every name callers may use: the model, the adapter alone, "model:adapter".
  std::unordered_map<std::string, ModelRouteConstPtr> models;
  std::unordered_map<std::string, ServiceRouteConstPtr> services;
};
using RoutingTableConstPtr = std::shared_ptr<const RoutingTable>;

/// Builds tables from the core's state and keeps what outlives them. Control thread only.
class RoutingTableBuilder {
 public:
  RoutingTableConstPtr Build(const State& state);
  /// @return the route of one model, or of one of its adapters, as Build would make it.
  ModelRouteConstPtr BuildRoute(const State& state, const ModelIntent& model,
                                const AdapterName& adapter);
  ServiceRouteConstPtr BuildServiceRoute(const State& state, const ServiceIntent& service);
  /// Takes the load figures of servers without a new table.
  void UpdateLoads(const std::vector<ServerLoad>& loads);
  /// Reads and resets the counters of every model that saw demand.
  /// @param waiting_only just those that requests wait for.
  std::vector<DemandSample> TakeDemand(bool waiting_only);

 private:
  struct CountedModel {
    ModelName model;
    AdapterName adapter;
    DemandCountersPtr counters;
    bool was_active = false;
  };
  void AddModel(const State& state, const ModelIntent& model, RoutingTable& table);
  std::vector<Target> ReplicasOf(const State& state, const ModelIntent& model,
                                 const AdapterName& adapter);
  std::vector<Target> DaemonsOfOtherZones(const State& state, const ModelIntent& model);
  TargetLoadPtr LoadOf(const std::string& key);

  std::map<std::string, TargetLoadPtr> loads_;  ///< By "server/model" or "kind/name".
  std::unordered_map<std::string, CountedModel> counters_;
};

/// Hands tables from the control thread to the workers by read-copy-update: a reader pays one
/// atomic load, and takes the new pointer, under a lock, only when the version changed.
class RoutingTablePublisher {
 public:
  void Publish(RoutingTableConstPtr table) {
    const std::lock_guard lock(mutex_);
    table_ = std::move(table);
    version_.fetch_add(1, std::memory_order_release);
  }

  /// One per worker thread.
  class Reader {
   public:
    explicit Reader(const RoutingTablePublisher& publisher) : publisher_(publisher) {}
    /// @return the newest table; never null. Valid while the pointer is held.
    const RoutingTableConstPtr& Get() {
      if (publisher_.version_.load(std::memory_order_acquire) != version_) Refresh();
      return table_;
    }

   private:
    void Refresh() {
      const std::lock_guard lock(publisher_.mutex_);
      table_ = publisher_.table_;
      version_ = publisher_.version_.load(std::memory_order_relaxed);
    }

    const RoutingTablePublisher& publisher_;
    std::uint64_t version_ = 0;
    RoutingTableConstPtr table_ = std::make_shared<RoutingTable>();
  };

 private:
  std::atomic<std::uint64_t> version_{0};
  mutable std::mutex mutex_;
  RoutingTableConstPtr table_ = std::make_shared<RoutingTable>();
};

}  // namespace moorfold
