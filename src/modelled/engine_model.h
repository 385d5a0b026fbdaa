#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/deployment_file.h"
#include "core/types.h"

namespace moorfold {

/// Bugs that tests plant to show that a checker finds them. All off in normal use.
struct EngineBugs {
  bool ignore_fence = false;
  bool ignore_incarnation = false;
  bool ignore_memory = false;
};

/// What an engine decides about an order at once.
struct OrderDecision {
  bool finished = false;  ///< `outcome` is final; else the engine works on it.
  OrderOutcome outcome = OrderOutcome::kDone;
};

enum class StartRefusal : std::uint8_t { kNone, kNotLoaded, kAdapterNotLoaded, kLeaving };

/// The memory, replicas, adapters and fences of one accelerator server. Pure; the stand-in and
/// the simulator drive it with their own clocks.
class EngineModel {
 public:
  EngineModel(ServerName name, MebiBytes memory, Incarnation incarnation, EngineBugs bugs = {});

  /// Checks and begins an order. An unfinished load ends with FinishLoad, an unfinished release
  /// when the last request of the replica ends.
  OrderDecision Begin(const Order& order);
  /// @return false when the load was given up meanwhile.
  bool FinishLoad(const ModelVersion& servable);
  void AbortLoad(const ModelVersion& servable);

  /// Takes a request for a loaded replica. On kNone the request runs until EndRequest.
  StartRefusal StartRequest(const ModelName& model, const AdapterName& adapter,
                            ModelVersion* served_by);
  void EndRequest(const ModelVersion& servable);
  void SetQueued(const ModelVersion& servable, std::uint32_t queued);

  /// The process ends and starts again: memory, fences and replicas are gone.
  void Restart(Incarnation incarnation);
  void SetLeaving() { leaving_ = true; }
  void SetDiskCache(std::set<ModelName> cached) { cached_on_disk_ = std::move(cached); }

  ServerReport Report();
  bool Holds(const ModelVersion& servable) const { return replicas_.contains(servable); }
  bool IsReady(const ModelVersion& servable) const;
  CacheTier TierOf(const ModelName& model) const;
  MebiBytes memory_used() const;
  MebiBytes memory_total() const { return memory_total_; }
  Incarnation incarnation() const { return incarnation_; }
  const ServerName& name() const { return name_; }
  bool leaving() const { return leaving_; }
  std::vector<ModelVersion> Servables() const;
  struct ReplicaUse {
    MebiBytes memory = 0;
    bool ready = false;
    std::uint32_t running = 0;
  };
  /// @return what each replica takes and does, for accounting.
  std::vector<ReplicaUse> Uses() const;
  std::uint32_t running() const;

 private:
  struct Replica {
    ReplicaState state = ReplicaState::kLoading;
    MebiBytes memory = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::list<AdapterName> adapters;  ///< Least recently used first.
  };
  OrderDecision BeginLoad(const Order& order);
  OrderDecision BeginRelease(const Order& order);
  OrderDecision ChangeAdapter(const Order& order);

  ServerName name_;
  MebiBytes memory_total_;
  Incarnation incarnation_;
  EngineBugs bugs_;
  bool leaving_ = false;
  Revision sequence_ = 0;
  std::map<ModelVersion, Replica> replicas_;
  std::map<ModelVersion, Revision> fences_;
  std::set<ModelName> cached_on_disk_;
  std::list<ModelName> cached_in_memory_;  ///< Oldest first.
};

}  // namespace moorfold
