#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "host/core_host.h"
#include "request/admission_queue.h"
#include "request/retry_policy.h"
#include "request/routing_table.h"
#include "simulation/checkers.h"
#include "simulation/process.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_request.h"

namespace moorfold {

using RequestDone = std::function<void(RequestEnd)>;

/// What a router can reach.
struct Backends {
  SimulatedEngines* engines = nullptr;
  std::map<std::string, std::unique_ptr<SimulatedService>>* services = nullptr;
  /// Hands a request to a daemon of another zone.
  std::function<void(const DaemonName&, const SimulatedRequestPtr&, RequestDone)> forward;
};

/// The path of requests through one daemon, in virtual time. It drives the shipped decisions
/// (routes, choice of replica, admission queue, retry policy, claims) without sockets.
class SimulatedRouter {
 public:
  SimulatedRouter(World& world, Checkers& checkers, const Process& process, CoreHost& host,
                  Backends backends);

  /// @param forwarded the request comes from another daemon and goes no further.
  void Submit(const SimulatedRequestPtr& request, bool forwarded, RequestDone done);
  void OnRoutingChanged();
  void OnLoadsChanged(const std::vector<ServerLoad>& loads) { builder_.UpdateLoads(loads); }
  std::vector<DemandSample> TakeDemand(bool waiting_only) {
    return builder_.TakeDemand(waiting_only);
  }
  void OnClaimFinished(std::uint64_t call, const ClaimResult& result);
  std::size_t active() const { return active_.size(); }
  /// Requests in progress, for a stop that does not wait for them.
  std::vector<SimulatedRequestPtr> Requests() const;

 private:
  struct Active {
    SimulatedRequestPtr request;
    RequestDone done;
    bool forwarded = false;
    RetryPolicy retry;
    std::set<std::string> excluded;
    std::optional<QueueTicket> ticket;
    bool dispatched = false;
    bool claiming = false;  ///< Its claim has no result yet.
    std::uint64_t attempt = 0;
    std::string last_backend;
  };
  struct ModelQueue {
    AdmissionQueue queue;
    std::map<QueueTicket, std::uint64_t> requests;
  };

  ModelRouteConstPtr RouteFor(const SimulatedRequest& request);
  void Route(std::uint64_t number);
  bool TryDispatch(std::uint64_t number, const ModelRoute& route);
  void Enqueue(std::uint64_t number, const ModelRoute& route);
  void LeaveQueue(Active& active, const ModelRoute* route);
  void WakeQueue(const std::string& called_as);
  void Dispatch(std::uint64_t number, const ModelRouteConstPtr& route, const Target& target);
  void OnModelReply(std::uint64_t number, std::uint64_t attempt, const ModelRouteConstPtr& route,
                    const Target& target, Timestamp started, const BackendReply& reply);
  void StartService(std::uint64_t number);
  void DispatchService(std::uint64_t number);
  void OnServiceReply(std::uint64_t number, std::uint64_t attempt, const Target& target,
                      const BackendReply& reply);
  void Decide(std::uint64_t number, AttemptEnd end, const std::string& backend);
  void OnDeadline(std::uint64_t number);
  void Finish(std::uint64_t number, RequestEnd end);
  AttemptEnd Classify(const SimulatedRequest& request, const BackendReply& reply) const;
  std::int64_t NowMicroseconds() const;
  static std::string CalledAs(const SimulatedRequest& request);

  World& world_;
  Checkers& checkers_;
  const Process& process_;
  CoreHost& host_;
  Backends backends_;
  RoutingTableBuilder builder_;
  RetryBudget budget_;
  std::map<std::string, ModelRouteConstPtr> routes_;  ///< Built when asked for.
  std::map<std::string, ModelQueue> queues_;
  std::map<std::uint64_t, Active> active_;
  std::map<std::uint64_t, std::uint64_t> claim_calls_;  ///< Call to request.
  std::uint64_t next_ = 1;
};

}  // namespace moorfold
