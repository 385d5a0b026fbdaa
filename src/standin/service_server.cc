#include "standin/service_server.h"

#include "http/http_status.h"
#include "ports/json_codec.h"
#include "standin/json_response.h"

namespace moorfold {
namespace {

HttpResponse LeavingRefusal() {
  return JsonResponse(http_status::kUnavailable,
                      {{"error", {{"code", "leaving"}, {"message", "this server is leaving"}}},
                       {"executed", "no"}});
}
}  // namespace

ServiceServer::ServiceServer(boost::asio::io_context& context, const Machine& machine,
                             ServiceTraits traits, ExecutionLog& executions)
    : traits_(std::move(traits)),
      name_(machine.name),
      executions_(executions),
      server_(
          {&context}, {machine.address, machine.http_port}, HttpServerLimits{},
          [this](HttpServerExchange& exchange) { return Handle(exchange); }, PlainRejection) {}

void ServiceServer::Start() { server_.Start(); }

HttpResponse ServiceServer::Echo(const HttpRequest& request, const std::string& id) const {
  HttpResponse response = JsonResponse(http_status::kOk, {{"service", traits_.name},
                                                          {"server", name_},
                                                          {"id", id},
                                                          {"path", request.target},
                                                          {"echo", request.body}});
  response.headers.push_back({"x-request-id", id});
  return response;
}

Awaitable<void> ServiceServer::Handle(HttpServerExchange& exchange) {
  if (faults_.down) {
    exchange.Abort();
    co_return;
  }
  if (leaving_) {
    ++requests_while_leaving_;
    co_await exchange.Respond(LeavingRefusal());
    co_return;
  }
  const std::string id(FindHeader(exchange.request().headers, "x-request-id"));
  const std::string key(FindHeader(exchange.request().headers, "Idempotency-Key"));
  executions_.Record(key.empty() ? id : "key " + key);
  co_await Sleep(traits_.latency + faults_.delay);
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(Echo(exchange.request(), id));
}

}  // namespace moorfold
