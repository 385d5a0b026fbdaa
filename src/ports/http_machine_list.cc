#include "ports/http_machine_list.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/boot_clock.h"
#include "http/http_status.h"
#include "ports/json_codec.h"

namespace moorfold {

/// What was read last, for conditional requests.
struct HttpMachineList::Known {
  std::string tag;
  MachineListing listing;
};

Awaitable<void> HttpMachineList::Fetch(std::shared_ptr<HttpClient> client,
                                       std::shared_ptr<Known> known, Endpoint endpoint,
                                       Deadline deadline, ListCallback done) {
  PlatformFailure failure{PlatformFault::kUnavailable, ""};
  MachineListing listing;
  try {
    HttpSendOptions options;
    options.deadline = deadline;
    HttpRequest request;
    request.target = "/machines";
    if (known->listing) request.headers.push_back({"If-None-Match", known->tag});
    const HttpResponse response = co_await client->Send(endpoint, std::move(request), options);
    if (response.status != http_status::kNotModified) {
      known->listing = std::make_shared<const std::vector<Machine>>(
          FromJson<std::vector<Machine>>(response.body));
      known->tag = std::string(FindHeader(response.headers, "ETag"));
    }
    listing = known->listing;
  } catch (const std::exception& error) {
    failure.message = std::string("machine list: ") + error.what();
  }
  if (listing)
    done(std::move(listing));
  else
    done(failure);
}

HttpMachineList::HttpMachineList(boost::asio::io_context& context, Endpoint endpoint,
                                 std::chrono::milliseconds timeout)
    : context_(context),
      endpoint_(std::move(endpoint)),
      timeout_(timeout),
      client_(std::make_shared<HttpClient>(context)),
      known_(std::make_shared<Known>()) {}

void HttpMachineList::List(ListCallback done) {
  boost::asio::co_spawn(
      context_, Fetch(client_, known_, endpoint_, BootClock::now() + timeout_, std::move(done)),
      boost::asio::detached);
}

}  // namespace moorfold
