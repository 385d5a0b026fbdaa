#include "simulation/simulated_router.h"

#include <algorithm>

namespace moorfold {
namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
constexpr Duration kRefusedPause = std::chrono::milliseconds(5);
constexpr Duration kClaimPoll = std::chrono::milliseconds(50);
constexpr Duration kMajorityPatience = std::chrono::seconds(2);
constexpr Duration kMostRefusalMargin = std::chrono::milliseconds(50);

Timestamp RefusalTimeOf(const SimulatedRequest& request) {
  const Duration whole = request.deadline - request.arrival;
  return request.deadline - std::min(whole / 20, kMostRefusalMargin);
}

}  // namespace

SimulatedRouter::SimulatedRouter(World& world, Checkers& checkers, const Process& process,
                                 CoreHost& host, Backends backends)
    : world_(world),
      checkers_(checkers),
      process_(process),
      host_(host),
      backends_(std::move(backends)) {}

std::int64_t SimulatedRouter::NowMicroseconds() const {
  return world_.queue.Now().time_since_epoch().count();
}

std::string SimulatedRouter::CalledAs(const SimulatedRequest& request) {
  return request.adapter.empty() ? request.name : request.name + ":" + request.adapter;
}

std::vector<SimulatedRequestPtr> SimulatedRouter::Requests() const {
  std::vector<SimulatedRequestPtr> requests;
  for (const auto& [number, active] : active_) requests.push_back(active.request);
  return requests;
}

ModelRouteConstPtr SimulatedRouter::RouteFor(const SimulatedRequest& request) {
  ModelRouteConstPtr& route = routes_[CalledAs(request)];
  if (route) return route;
  const State& state = host_.state();
  const auto model = state.configuration.intent.models.find(request.name);
  if (model == state.configuration.intent.models.end()) return nullptr;
  route = builder_.BuildRoute(state, model->second, request.adapter);
  return route;
}

void SimulatedRouter::Submit(const SimulatedRequestPtr& request, bool forwarded, RequestDone done) {
  const std::uint64_t number = next_++;
  active_.emplace(number, Active{request,
                                 std::move(done),
                                 forwarded,
                                 RetryPolicy(request->repeatable, budget_),
                                 {},
                                 {},
                                 false,
                                 false,
                                 0,
                                 {}});
  budget_.Earn();
  world_.queue.At(RefusalTimeOf(*request), process_.Gate([this, number] { OnDeadline(number); }));
  if (host_.state().configuration.revision == 0) return Finish(number, RequestEnd::kRefusedNotRun);
  if (request->is_service) return StartService(number);
  const ModelRouteConstPtr route = RouteFor(*request);
  if (!route || (forwarded && !route->local)) return Finish(number, RequestEnd::kRefusedNotRun);
  route->counters->arrivals.fetch_add(1);
  Route(number);
}

void SimulatedRouter::Route(std::uint64_t number) {
  const auto found = active_.find(number);
  if (found == active_.end() || found->second.dispatched) return;
  const ModelRouteConstPtr route = RouteFor(*found->second.request);
  if (!route) return Finish(number, RequestEnd::kRefusedNotRun);
  if (queues_[route->called_as].queue.size() == 0 && TryDispatch(number, *route)) return;
  Enqueue(number, *route);
}

bool SimulatedRouter::TryDispatch(std::uint64_t number, const ModelRoute& route) {
  Active& active = active_.at(number);
  const std::optional<Target> target =
      AcquireReplica(route, active.request->prefix_hash, active.excluded, NowMicroseconds());
  if (!target) return false;
  Dispatch(number, RouteFor(*active.request), *target);
  return true;
}

void SimulatedRouter::Enqueue(std::uint64_t number, const ModelRoute& route) {
  Active& active = active_.at(number);
  if (world_.bugs.waiting_requests_are_forgotten) {
    active_.erase(number);
    return;
  }
  ModelQueue& queue = queues_[route.called_as];
  constexpr std::size_t kQueueLimit = 1000;
  const std::int64_t deadline = active.request->deadline.time_since_epoch().count();
  active.ticket = queue.queue.Enter(active.request->priority, deadline, kQueueLimit);
  if (!active.ticket)
    return Finish(number,
                  active.retry.may_have_run() ? RequestEnd::kUnknown : RequestEnd::kRefusedNotRun);
  queue.requests[*active.ticket] = number;
  route.counters->waiting.fetch_add(1);
  if (route.targets.empty()) active.request->cold = true;
  const double waited = ToSeconds(world_.queue.Now() - active.request->arrival);
  const double left = ToSeconds(active.request->deadline - world_.queue.Now());
  if (PredictAnswerSeconds(route, queue.queue.Position(*active.ticket), waited) > left)
    return Finish(number,
                  active.retry.may_have_run() ? RequestEnd::kUnknown : RequestEnd::kRefusedNotRun);
  if (!route.counters->nudged.exchange(true))
    world_.queue.After(Duration{0}, process_.Gate([this] { host_.OnNudge(); }));
}

void SimulatedRouter::LeaveQueue(Active& active, const ModelRoute* route) {
  if (!active.ticket) return;
  const std::string called_as = CalledAs(*active.request);
  ModelQueue& queue = queues_[called_as];
  queue.queue.Leave(*active.ticket);
  queue.requests.erase(*active.ticket);
  active.ticket.reset();
  if (route != nullptr) route->counters->waiting.fetch_sub(1);
}

void SimulatedRouter::WakeQueue(const std::string& called_as) {
  ModelQueue& queue = queues_[called_as];
  while (!queue.requests.empty()) {
    const std::uint64_t number = queue.requests.begin()->second;
    const auto found = active_.find(number);
    if (found == active_.end()) {
      queue.queue.Leave(queue.requests.begin()->first);
      queue.requests.erase(queue.requests.begin());
      continue;
    }
    const ModelRouteConstPtr route = RouteFor(*found->second.request);
    if (!route) {
      Finish(number, RequestEnd::kRefusedNotRun);
      continue;
    }
    if (!TryDispatch(number, *route)) return;
  }
}

void SimulatedRouter::OnRoutingChanged() {
  routes_.clear();
  std::vector<std::string> waiting;
  for (const auto& [name, queue] : queues_)
    if (!queue.requests.empty()) waiting.push_back(name);
  for (const std::string& name : waiting) WakeQueue(name);
}

void SimulatedRouter::Dispatch(std::uint64_t number, const ModelRouteConstPtr& route,
                               const Target& target) {
  Active& active = active_.at(number);
  LeaveQueue(active, route.get());
  active.dispatched = true;
  const std::uint64_t attempt = ++active.attempt;
  route->counters->in_flight.fetch_add(1);
  const SimulatedRequestPtr request = active.request;
  const Timestamp started = world_.queue.Now();
  const BackendCallback reply =
      process_.Gate([this, number, attempt, route, target, started](const BackendReply& answer) {
        OnModelReply(number, attempt, route, target, started, answer);
      });
  if (!route->local) {
    backends_.forward(target.name, request, [reply, request](RequestEnd end) {
      const BackendAnswer answer = end == RequestEnd::kServed          ? BackendAnswer::kDone
                                   : end == RequestEnd::kRefusedNotRun ? BackendAnswer::kNotRun
                                                                       : BackendAnswer::kBroken;
      reply({answer, request->id});
    });
    return;
  }
  const auto engine = backends_.engines->find(target.name);
  if (engine == backends_.engines->end()) {
    world_.queue.After(kConnectTimeout, [reply, request] {
      reply({BackendAnswer::kNotRun, request->id});
    });
    return;
  }
  const ZoneName zone = host_.state().self.zone;
  const Duration there = world_.NetworkDelay(zone, zone);
  const Duration back = world_.NetworkDelay(zone, zone);
  const auto first_token = process_.Gate([this, request] {
    if (request->first_token == Timestamp{}) request->first_token = world_.queue.Now();
  });
  // Past this point the daemon may be gone: nothing below touches the router.
  world_.queue.After(there, [&world = world_, engines = backends_.engines, name = target.name,
                             request, reply, first_token, back] {
    const auto server = engines->find(name);
    if (server == engines->end()) return reply({BackendAnswer::kNotRun, request->id});
    server->second->Accept(
        request, [first_token] { first_token(); },
        [&world, reply, back](BackendReply answer) {
          world.queue.After(back, [reply, answer] { reply(answer); });
        });
  });
}

AttemptEnd SimulatedRouter::Classify(const SimulatedRequest& request,
                                     const BackendReply& reply) const {
  if (reply.answer == BackendAnswer::kNotRun || reply.answer == BackendAnswer::kLeaving)
    return AttemptEnd::kNotRun;
  if (reply.answer == BackendAnswer::kBroken) return AttemptEnd::kMayHaveRun;
  const bool foreign = reply.answers_request != request.id;
  if (foreign && !world_.bugs.foreign_answers_are_passed_on) return AttemptEnd::kMayHaveRun;
  return AttemptEnd::kAnswered;
}

void SimulatedRouter::OnModelReply(std::uint64_t number, std::uint64_t attempt,
                                   const ModelRouteConstPtr& route, const Target& target,
                                   Timestamp started, const BackendReply& reply) {
  route->counters->in_flight.fetch_sub(1);
  target.load->Release();
  if (reply.answer == BackendAnswer::kLeaving) target.load->RecordLeaving(NowMicroseconds());
  if (reply.answer == BackendAnswer::kBroken) target.load->RecordFailure(NowMicroseconds());
  const auto found = active_.find(number);
  if (found != active_.end() && found->second.attempt == attempt) {
    const SimulatedRequest& request = *found->second.request;
    const AttemptEnd end = Classify(request, reply);
    if (end == AttemptEnd::kAnswered) {
      target.load->RecordSuccess();
      const Duration took = world_.queue.Now() - started;
      route->counters->RecordService(static_cast<std::uint64_t>(took.count()));
      if (request.cold)
        route->counters->RecordColdWait(
            static_cast<std::uint64_t>((started - request.arrival).count()));
      checkers_.OnAnswerPassedOn(request, reply.answers_request);
    }
    Decide(number, end, target.name);
  }
  WakeQueue(route->called_as);
}

void SimulatedRouter::Decide(std::uint64_t number, AttemptEnd end, const std::string& backend) {
  Active& active = active_.at(number);
  active.dispatched = false;
  const bool late = world_.queue.Now() >= RefusalTimeOf(*active.request);
  if (end == AttemptEnd::kMayHaveRun && world_.bugs.failed_requests_count_as_not_run)
    return Finish(number, RequestEnd::kRefusedNotRun);
  switch (active.retry.Decide(end, late)) {
    case AfterAttempt::kDone:
      return Finish(number, RequestEnd::kServed);
    case AfterAttempt::kRefuseNotRun:
      return Finish(number, RequestEnd::kRefusedNotRun);
    case AfterAttempt::kReportUnknown:
      return Finish(number, RequestEnd::kUnknown);
    case AfterAttempt::kTryAgain:
      break;
  }
  active.excluded.insert(backend);
  active.last_backend = backend;
  if (active.request->is_service) {
    DispatchService(number);
    return;
  }
  const ModelRouteConstPtr route = RouteFor(*active.request);
  if (route && active.excluded.size() >= route->targets.size()) active.excluded.clear();
  world_.queue.After(kRefusedPause * std::max(1, active.retry.refused()),
                     process_.Gate([this, number] { Route(number); }));
}

void SimulatedRouter::StartService(std::uint64_t number) {
  Active& active = active_.at(number);
  if (active.request->key.empty() || world_.bugs.claims_are_skipped) return DispatchService(number);
  active.claiming = true;
  claim_calls_[number] = number;
  // The holder is unique to this request at this daemon.
  const State& state = host_.state();
  host_.Claim(number, active.request->key,
              state.self.name + "-" + std::to_string(state.self.incarnation) + "-" +
                  std::to_string(number));
}

void SimulatedRouter::OnClaimFinished(std::uint64_t call, const ClaimResult& result) {
  const auto found = claim_calls_.find(call);
  if (found == claim_calls_.end()) return;
  const std::uint64_t number = found->second;
  claim_calls_.erase(found);
  const bool waiting = active_.contains(number);
  if (waiting && result.end != ClaimEnd::kInUse) active_.at(number).claiming = false;
  switch (result.end) {
    case ClaimEnd::kGranted:
      if (waiting) return DispatchService(number);
      return;  // Refused at its deadline meanwhile; it ran nowhere, and the claim expires.
    case ClaimEnd::kFinished:
      if (waiting) Finish(number, RequestEnd::kServed);
      return;
    case ClaimEnd::kInUse:
      // Its answer is this request's, too, once it is there; at the deadline the wait ends.
      if (waiting)
        world_.queue.After(kClaimPoll, process_.Gate([this, number] {
          if (active_.contains(number)) StartService(number);
        }));
      return;
    case ClaimEnd::kNoMajority:
      if (!waiting) return;
      if (world_.queue.Now() - active_.at(number).request->arrival >= kMajorityPatience)
        return Finish(number, RequestEnd::kRefusedNotRun);
      // The owners may be changing their view: tried for a moment more.
      world_.queue.After(kClaimPoll, process_.Gate([this, number] {
        if (active_.contains(number)) StartService(number);
      }));
      return;
  }
}

void SimulatedRouter::DispatchService(std::uint64_t number) {
  Active& active = active_.at(number);
  const State& state = host_.state();
  const auto service = state.configuration.intent.services.find(active.request->name);
  std::optional<Target> target;
  if (service != state.configuration.intent.services.end()) {
    const ServiceRouteConstPtr route = builder_.BuildServiceRoute(state, service->second);
    target = PickBackend(*route, active.last_backend, NowMicroseconds());
    if (!target) target = PickBackend(*route, "", NowMicroseconds());
  }
  if (!target)
    return Finish(number,
                  active.retry.may_have_run() ? RequestEnd::kUnknown : RequestEnd::kRefusedNotRun);
  active.dispatched = true;
  const std::uint64_t attempt = ++active.attempt;
  target->load->in_flight.fetch_add(1);
  const SimulatedRequestPtr request = active.request;
  const BackendCallback reply =
      process_.Gate([this, number, attempt, target = *target](const BackendReply& answer) {
        OnServiceReply(number, attempt, target, answer);
      });
  const auto found = backends_.services->find(target->name);
  const ZoneName from = state.self.zone;
  const ZoneName to = found == backends_.services->end() ? from : found->second->machine().zone;
  if (found == backends_.services->end() || world_.Cut(from, to)) {
    world_.queue.After(kConnectTimeout, [reply, request] {
      reply({BackendAnswer::kNotRun, request->id});
    });
    return;
  }
  const Duration there = world_.NetworkDelay(from, to);
  const Duration back = world_.NetworkDelay(to, from);
  world_.queue.After(there, [&world = world_, services = backends_.services, name = target->name,
                             request, reply, back] {
    const auto server = services->find(name);
    if (server == services->end()) return reply({BackendAnswer::kNotRun, request->id});
    server->second->Accept(request, [&world, reply, back](BackendReply answer) {
      world.queue.After(back, [reply, answer] { reply(answer); });
    });
  });
}

void SimulatedRouter::OnServiceReply(std::uint64_t number, std::uint64_t attempt,
                                     const Target& target, const BackendReply& reply) {
  target.load->Release();
  if (reply.answer == BackendAnswer::kLeaving)
    target.load->RecordLeaving(NowMicroseconds());
  else if (reply.answer != BackendAnswer::kDone)
    target.load->RecordFailure(NowMicroseconds());
  const auto found = active_.find(number);
  if (found == active_.end() || found->second.attempt != attempt) return;
  Decide(number, Classify(*found->second.request, reply), target.name);
}

void SimulatedRouter::OnDeadline(std::uint64_t number) {
  const auto found = active_.find(number);
  if (found == active_.end()) return;
  const Active& active = found->second;
  // While another request with the key may be running, nobody can say "not run".
  const bool may_have_run = active.dispatched || active.claiming || active.retry.may_have_run();
  Finish(number, may_have_run ? RequestEnd::kUnknown : RequestEnd::kRefusedNotRun);
}

void SimulatedRouter::Finish(std::uint64_t number, RequestEnd end) {
  const auto found = active_.find(number);
  if (found == active_.end()) return;
  Active active = std::move(found->second);
  const ModelRouteConstPtr route = active.request->is_service ? nullptr : RouteFor(*active.request);
  LeaveQueue(active, route.get());
  active_.erase(found);
  const bool claimed = active.request->is_service && !active.request->key.empty() &&
                       active.attempt > 0 && !world_.bugs.claims_are_skipped;
  if (claimed) {
    const State& state = host_.state();
    const std::string holder = state.self.name + "-" + std::to_string(state.self.incarnation) +
                               "-" + std::to_string(number);
    if (end == RequestEnd::kServed)
      host_.FinishClaim(active.request->key, holder, {200, "application/json", "{}"});
    if (end == RequestEnd::kRefusedNotRun) host_.GiveClaimBack(active.request->key, holder);
  }
  active.done(end);
}

}  // namespace moorfold
