#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "common/async_signal.h"
#include "common/wall_clock.h"
#include "config/deployment_file.h"
#include "http/http_server.h"
#include "modelled/key_value_table.h"

namespace moorfold {

/// Faults of the key-value stand-in, switched while it runs.
struct KeyValueFaults {
  bool down = false;                   ///< Connections are cut without an answer.
  std::chrono::milliseconds delay{0};  ///< Added to every answer.
  std::uint32_t lost_answers = 0;      ///< So many writes take effect and are not answered.
};

/// The platform's key-value service as etcd v3's JSON gateway shows it.
class KeyValueServer {
 public:
  KeyValueServer(boost::asio::io_context& context, const Endpoint& listen, KeyValueTraits traits);

  void Start();
  Endpoint endpoint() const { return server_.endpoint(); }
  KeyValueFaults& faults() { return faults_; }
  /// Ends all watches, as an outage does.
  void BreakWatches();
  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  Awaitable<void> Handle(HttpServerExchange& exchange);
  Awaitable<void> HandleTransaction(HttpServerExchange& exchange);
  Awaitable<void> HandleWatch(HttpServerExchange& exchange);
  HttpResponse Answer(const HttpRequest& request);
  bool TakeToken();

  WallClock clock_;
  KeyValueTraits traits_;
  KeyValueFaults faults_;
  KeyValueTable table_;
  AsyncSignal changed_;
  std::uint64_t watch_generation_ = 0;
  double tokens_;
  Timestamp tokens_at_{};
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  HttpServer server_;
};

}  // namespace moorfold
