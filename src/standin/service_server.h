#pragma once

#include <boost/asio/io_context.hpp>

#include "common/async_signal.h"
#include "config/deployment_file.h"
#include "http/http_server.h"
#include "standin/execution_log.h"

namespace moorfold {

struct ServiceFaults {
  std::chrono::milliseconds delay{0};
  std::uint32_t lost_answers = 0;  ///< So many requests are run and not answered.
  bool down = false;
};

/// An ordinary back end, such as booking: runs every request, records its id, echoes its body.
class ServiceServer {
 public:
  ServiceServer(boost::asio::io_context& context, const Machine& machine, ServiceTraits traits,
                ExecutionLog& executions);

  void Start();
  Endpoint endpoint() const { return server_.endpoint(); }
  ServiceFaults& faults() { return faults_; }
  /// Refuses new work from now on.
  void Leave() { leaving_ = true; }
  std::uint64_t requests_while_leaving() const { return requests_while_leaving_; }

 private:
  Awaitable<void> Handle(HttpServerExchange& exchange);
  HttpResponse Echo(const HttpRequest& request, const std::string& id) const;

  ServiceTraits traits_;
  std::string name_;
  ExecutionLog& executions_;
  ServiceFaults faults_;
  bool leaving_ = false;
  std::uint64_t requests_while_leaving_ = 0;
  HttpServer server_;
};

}  // namespace moorfold
