#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/http_client.h"
#include "ports/model_engine.h"

namespace moorfold {

/// ModelEngine over HTTP: GET /admin/report, POST /admin/orders, which answers when the order is
/// carried out. Belongs to one context's thread.
class HttpModelEngine : public ModelEngine {
 public:
  HttpModelEngine(boost::asio::io_context& context, std::chrono::milliseconds report_timeout,
                  std::chrono::milliseconds order_timeout);
  void Report(const Machine& server, ReportCallback done) override;
  void Execute(const Machine& server, Order order, OrderCallback done) override;

 private:
  boost::asio::io_context& context_;
  std::chrono::milliseconds report_timeout_;
  std::chrono::milliseconds order_timeout_;
  std::shared_ptr<HttpClient> client_;
};

}  // namespace moorfold
