#include "ports/http_model_engine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/boot_clock.h"
#include "http/http_status.h"
#include "ports/json_codec.h"

namespace moorfold {
namespace {

Awaitable<void> FetchReport(std::shared_ptr<HttpClient> client, Endpoint endpoint,
                            Deadline deadline, ModelEngine::ReportCallback done) {
  PlatformFailure failure{PlatformFault::kUnavailable, ""};
  std::optional<ServerReport> report;
  try {
    HttpSendOptions options;
    options.deadline = deadline;
    HttpRequest request{"GET", "/admin/report", {}, ""};
    const HttpResponse response = co_await client->Send(endpoint, std::move(request), options);
    report = FromJson<ServerReport>(response.body);
  } catch (const std::exception& error) {
    failure.message = std::string("engine report: ") + error.what();
  }
  if (report)
    done(std::move(*report));
  else
    done(failure);
}

OrderResult DecodeResult(const std::string& body) {
  const boost::json::value json = ParseJson(body);
  OrderResult result;
  result.outcome = boost::json::value_to<OrderOutcome>(json.as_object().at("outcome"));
  if (const boost::json::value* report = json.as_object().if_contains("report"))
    result.report = boost::json::value_to<ServerReport>(*report);
  return result;
}

Awaitable<void> SendOrderTo(std::shared_ptr<HttpClient> client, Endpoint endpoint, Order order,
                            Deadline deadline, ModelEngine::OrderCallback done) {
  OrderResult result;
  try {
    HttpSendOptions options;
    options.deadline = deadline;
    options.fresh_connection = true;  // Sent once: whoever gets no answer must hear of it.
    HttpRequest request{
        "POST", "/admin/orders", {{"Content-Type", "application/json"}}, ToJson(order)};
    const HttpResponse response = co_await client->Send(endpoint, std::move(request), options);
    if (response.status == http_status::kOk) result = DecodeResult(response.body);
  } catch (const HttpError& error) {
    const bool never_sent = error.stage() == HttpStage::kConnecting;
    result.outcome = never_sent ? OrderOutcome::kFailed : OrderOutcome::kUnknown;
  } catch (const std::exception&) {
    result.outcome = OrderOutcome::kUnknown;  // An answer that cannot be read proves nothing.
  }
  done(std::move(result));
}

}  // namespace

HttpModelEngine::HttpModelEngine(boost::asio::io_context& context,
                                 std::chrono::milliseconds report_timeout,
                                 std::chrono::milliseconds order_timeout)
    : context_(context),
      report_timeout_(report_timeout),
      order_timeout_(order_timeout),
      client_(std::make_shared<HttpClient>(context)) {}

void HttpModelEngine::Report(const Machine& server, ReportCallback done) {
  boost::asio::co_spawn(context_,
                        FetchReport(client_, {server.address, server.http_port},
                                    BootClock::now() + report_timeout_, std::move(done)),
                        boost::asio::detached);
}

void HttpModelEngine::Execute(const Machine& server, Order order, OrderCallback done) {
  boost::asio::co_spawn(context_,
                        SendOrderTo(client_, {server.address, server.http_port}, std::move(order),
                                    BootClock::now() + order_timeout_, std::move(done)),
                        boost::asio::detached);
}

}  // namespace moorfold
