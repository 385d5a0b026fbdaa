#include "api/operator_api.h"

#include <algorithm>
#include <boost/asio/async_result.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <memory>

#include "config/intent_file.h"
#include "config/strict_yaml.h"
#include "core/configuration/plan.h"
#include "http/http_status.h"
#include "ports/json_codec.h"
#include "request/api_error.h"

namespace moorfold {

namespace json = boost::json;

namespace {

HttpResponse JsonAnswer(unsigned status, const json::value& body) {
  return {status, {{"Content-Type", "application/json"}}, json::serialize(body)};
}

HttpResponse Refuse(unsigned status, const std::string& code, const std::string& message,
                    const std::string& remedy) {
  return ToResponse({status, code, message, remedy, Executed::kNo, std::nullopt});
}

/// Turns a callback of a port into an awaitable result.
template <typename T, typename Start>
Awaitable<T> AwaitCallback(Start start) {
  auto initiate = [start = std::move(start)](auto handler) mutable {
    auto shared = std::make_shared<decltype(handler)>(std::move(handler));
    start([shared](T result) { std::move (*shared)(std::move(result)); });
  };
  co_return co_await boost::asio::async_initiate<const boost::asio::use_awaitable_t<>, void(T)>(
      std::move(initiate), boost::asio::use_awaitable);
}

const char* StatusText(MemberStatus status) {
  switch (status) {
    case MemberStatus::kAlive:
      return "alive";
    case MemberStatus::kSuspect:
      return "suspect";
    case MemberStatus::kDead:
      return "dead";
    case MemberStatus::kLeft:
      return "left";
  }
  return "unknown";
}

json::array DescribeMembers(const State& state) {
  json::array members;
  members.push_back({{"name", state.self.name}, {"status", "alive"}, {"self", true}});
  for (const auto& [name, member] : state.membership.members)
    members.push_back({{"name", name}, {"status", StatusText(member.status)}, {"self", false}});
  return members;
}

json::array DescribeServers(const State& state) {
  json::array servers;
  for (const auto& [name, server] : state.servers) {
    json::object entry = {{"name", name},
                          {"listed", server.listed},
                          {"leaving", server.Leaving()},
                          {"reported", server.report.has_value()}};
    json::array replicas;
    if (server.report) {
      entry["memory_total_mib"] = server.report->memory_total;
      entry["memory_used_mib"] = server.report->memory_used;
      for (const ReplicaReport& replica : server.report->replicas)
        replicas.push_back({{"servable", ToString(replica.servable)},
                            {"state", ToString(replica.state)},
                            {"running", replica.running},
                            {"queued", replica.queued},
                            {"adapters", json::value_from(replica.adapters)}});
    }
    entry["replicas"] = std::move(replicas);
    servers.push_back(std::move(entry));
  }
  return servers;
}

json::array DescribePendingOrders(const State& state) {
  json::array orders;
  for (const auto& [id, pending] : state.coordinator.pending)
    orders.push_back({{"order", id}, {"server", pending.order.server}});
  return orders;
}

unsigned StatusOf(ConfirmOutcome outcome) {
  switch (outcome) {
    case ConfirmOutcome::kConfirmed:
    case ConfirmOutcome::kAlreadyConfirmed:
      return http_status::kOk;
    case ConfirmOutcome::kUnknownPlan:
      return http_status::kNotFound;
    case ConfirmOutcome::kStaleBase:
      return http_status::kConflict;
    case ConfirmOutcome::kRefused:
      return http_status::kUnprocessable;
    case ConfirmOutcome::kUnavailable:
      return http_status::kUnavailable;
  }
  return http_status::kUnavailable;
}

const char* CodeOf(ConfirmOutcome outcome) {
  switch (outcome) {
    case ConfirmOutcome::kConfirmed:
      return "confirmed";
    case ConfirmOutcome::kAlreadyConfirmed:
      return "already_confirmed";
    case ConfirmOutcome::kUnknownPlan:
      return "unknown_plan";
    case ConfirmOutcome::kStaleBase:
      return "stale_plan";
    case ConfirmOutcome::kRefused:
      return "plan_refused";
    case ConfirmOutcome::kUnavailable:
      return "key_value_unavailable";
  }
  return "unknown";
}

}  // namespace

Awaitable<HttpResponse> OperatorApi::MakePlanFor(std::string intent_text) {
  Intent intent;
  std::string mistakes;
  try {
    intent = ParseIntent(intent_text, "intent");
  } catch (const ConfigError& error) {
    mistakes = error.what();
  }
  if (!mistakes.empty())
    co_return Refuse(http_status::kUnprocessable, "bad_intent", mistakes,
                     "correct these and plan again");
  if (host_.state().listed == nullptr)
    co_return Refuse(http_status::kUnavailable, "machine_list_unread",
                     "this daemon has not read the list of machines yet",
                     "plan again in a moment, or at another daemon");
  using Read = Outcome<std::optional<ConfigurationSnapshot>>;
  const Read read = co_await AwaitCallback<Read>(
      [this](auto done) { host_.documents().ReadConfiguration(0, std::move(done)); });
  if (!read.ok())
    co_return Refuse(http_status::kUnavailable, "key_value_unavailable", read.failure().message,
                     "plan again when the key-value service answers");
  const ConfigurationSnapshot in_force = read.value().value_or(ConfigurationSnapshot{});
  std::vector<Machine> machines;
  for (const auto& [name, machine] : host_.state().machines) machines.push_back(machine);
  const Plan plan =
      MakePlan(in_force, intent, DescribeFleet(machines), PlanId(in_force.revision, intent));
  using Stored = std::optional<PlatformFailure>;
  const Stored failure = co_await AwaitCallback<Stored>(
      [this, &plan](auto done) { host_.documents().StorePlan(plan, std::move(done)); });
  if (failure)
    co_return Refuse(http_status::kUnavailable, "key_value_unavailable", failure->message,
                     "plan again when the key-value service answers");
  json::value answer = json::value_from(plan);
  answer.as_object().erase("intent");
  co_return JsonAnswer(http_status::kOk, answer);
}

Awaitable<HttpResponse> OperatorApi::Confirm(std::string body) {
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  const json::value* plan_id =
      !error && parsed.is_object() ? parsed.get_object().if_contains("plan_id") : nullptr;
  if (plan_id == nullptr || !plan_id->is_string())
    co_return Refuse(http_status::kUnprocessable, "bad_request", "'plan_id' is missing",
                     "send {\"plan_id\": ID} with the id that 'plan' printed");
  const std::string id(plan_id->get_string());
  const ConfirmResult result = co_await AwaitCallback<ConfirmResult>(
      [this, &id](auto done) { host_.documents().ConfirmPlan(id, std::move(done)); });
  const unsigned status = StatusOf(result.outcome);
  if (status != http_status::kOk)
    co_return Refuse(status, CodeOf(result.outcome), result.message, "see the message");
  co_return JsonAnswer(http_status::kOk,
                       {{"outcome", CodeOf(result.outcome)}, {"revision", result.revision}});
}

/// Whether this daemon can get claims granted: it knows a view, and serves it if it is an owner.
bool OperatorApi::ClaimsServed() const {
  const ClaimView& view = host_.state().claim_views.view;
  const bool owner = std::any_of(view.owners.begin(), view.owners.end(), [&](const ClaimOwner& o) {
    return o.name == host_.state().self.name;
  });
  return view.number > 0 && (!owner || host_.claims().serving());
}

HttpResponse OperatorApi::Status() const {
  const State& state = host_.state();
  const Ledger& ledger = state.ledger.ledger;
  return JsonAnswer(http_status::kOk, {{"daemon", state.self.name},
                                       {"zone", state.self.zone},
                                       {"configuration_revision", state.configuration.revision},
                                       {"ledger",
                                        {{"revision", ledger.revision},
                                         {"epoch", ledger.epoch},
                                         {"leader", ledger.leader},
                                         {"configuration_revision", ledger.configuration_revision},
                                         {"permits", ledger.permits.size()}}},
                                       {"coordinator", CoordinatorOf(state)},
                                       {"claim_view", state.claim_views.view.number},
                                       {"claims_served", ClaimsServed()},
                                       {"members", DescribeMembers(state)},
                                       {"servers", DescribeServers(state)},
                                       {"pending_orders", DescribePendingOrders(state)}});
}

Awaitable<HttpResponse> OperatorApi::Handle(HttpRequest request) {
  const std::string call = request.method + " " + request.target;
  if (call == "GET /operator/status") co_return Status();
  if (call == "POST /operator/plan") co_return co_await MakePlanFor(std::move(request.body));
  if (call == "POST /operator/confirm") co_return co_await Confirm(std::move(request.body));
  co_return Refuse(http_status::kNotFound, "not_found", "no such operators' call: " + call,
                   "use POST /operator/plan, POST /operator/confirm or GET /operator/status");
}

}  // namespace moorfold
