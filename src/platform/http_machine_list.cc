#include "platform/http_machine_list.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/json_codec.h"

namespace moorfold {
namespace {

Awaitable<void> FetchList(std::shared_ptr<HttpClient> client, Endpoint endpoint, Deadline deadline,
                          MachineList::ListCallback done) {
  PlatformFailure failure{PlatformFault::kUnavailable, ""};
  std::optional<std::vector<Machine>> machines;
  try {
    HttpSendOptions options;
    options.deadline = deadline;
    HttpRequest request{"GET", "/machines", {}, ""};
    const HttpResponse response = co_await client->Send(endpoint, std::move(request), options);
    machines = FromJson<std::vector<Machine>>(response.body);
  } catch (const std::exception& error) {
    failure.message = std::string("machine list: ") + error.what();
  }
  if (machines)
    done(std::make_shared<const std::vector<Machine>>(std::move(*machines)));
  else
    done(failure);
}

}  // namespace

HttpMachineList::HttpMachineList(boost::asio::io_context& context, Endpoint endpoint,
                                 std::chrono::milliseconds timeout)
    : context_(context),
      endpoint_(std::move(endpoint)),
      timeout_(timeout),
      client_(std::make_shared<HttpClient>(context)) {}

void HttpMachineList::List(ListCallback done) {
  boost::asio::co_spawn(
      context_,
      FetchList(client_, endpoint_, std::chrono::steady_clock::now() + timeout_, std::move(done)),
      boost::asio::detached);
}

}  // namespace moorfold
