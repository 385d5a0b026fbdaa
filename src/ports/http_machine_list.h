#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/http_client.h"
#include "ports/machine_list.h"

namespace moorfold {

/// MachineList over HTTP: GET /machines answers a JSON array with an ETag, or 304 when nothing
/// changed, so that an unchanged list of thousands of machines costs a few hundred bytes.
/// Belongs to one context's thread.
class HttpMachineList : public MachineList {
 public:
  HttpMachineList(boost::asio::io_context& context, Endpoint endpoint,
                  std::chrono::milliseconds timeout);
  void List(ListCallback done) override;

 private:
  struct Known;
  static Awaitable<void> Fetch(std::shared_ptr<HttpClient> client, std::shared_ptr<Known> known,
                               Endpoint endpoint, Deadline deadline, ListCallback done);

  boost::asio::io_context& context_;
  Endpoint endpoint_;
  std::chrono::milliseconds timeout_;
  std::shared_ptr<HttpClient> client_;
  std::shared_ptr<Known> known_;
};

}  // namespace moorfold
