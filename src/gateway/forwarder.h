#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "gateway/gateway_metrics.h"
#include "gateway/gateway_request.h"
#include "gateway/server_statements.h"
#include "http/http_server.h"
#include "http/upstream_connection.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// Carries one request to one server and the answer back: connection, headers, checks on the
/// answer, streams. Decides nothing about other servers. One thread.
class Forwarder {
 public:
  Forwarder(boost::asio::io_context& context, const FleetProtocol& protocol,
            ServerStatements& statements, GatewayMetrics& metrics);

  /// @param attempt_end when to give the attempt up; no later than the request's end.
  /// @param last_attempt whether a failure answer of the server is to be passed on.
  Awaitable<ForwardResult> Forward(HttpServerExchange& exchange, GatewayRequest& request,
                                   ServerPtr server, SteadyTime attempt_end, bool last_attempt);
  void Sweep() { pool_.Sweep(); }
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  class AttemptGuard;

  Awaitable<UpstreamConnectionPtr> Connect(const GatewayRequest& request, const Server& server);
  HttpRequest MakeHead(const HttpRequest& original, const GatewayRequest& request,
                       const Server& server, SteadyTime attempt_end) const;
  Awaitable<ForwardResult> Exchange(HttpServerExchange& exchange, GatewayRequest& request,
                                    Server& server, SteadyTime sent_at, bool last_attempt);
  Awaitable<void> ReadOwnHead(UpstreamConnection& upstream, const GatewayRequest& request);
  Awaitable<ForwardResult> PassWhole(HttpServerExchange& exchange, GatewayRequest& request,
                                     HttpHeaders headers);
  Awaitable<ForwardResult> PassStream(HttpServerExchange& exchange, GatewayRequest& request,
                                      HttpHeaders headers);
  ForwardResult ReadRefusal(const HttpHeaders& headers, unsigned status,
                            const GatewayRequest& request, Server& server) const;
  void NoteLoad(const HttpHeaders& headers, Server& server) const;
  /// @return whether another server has answered, which has this one's address now.
  bool AnswersForOther(const HttpHeaders& headers, unsigned status, const Server& server) const;
  /// Takes over what an answer of this server says of it.
  void NoteStatement(const ServerResponse& answer, Server& server) const;
  static std::chrono::milliseconds LongestRest(const GatewayRequest& request);
  void NoteUnanswered(const UpstreamConnection& upstream);
  void GiveBack(const GatewayRequest& request, const Server& server);
  void NoteHead(GatewayRequest& request);
  /// A stream's events have gone to the client; the ones before did at `last_events`.
  void NoteGap(GatewayRequest& request, SteadyTime last_events);

  boost::asio::io_context& context_;
  const FleetProtocol& protocol_;
  ServerStatements& statements_;
  GatewayMetrics& metrics_;
  UpstreamPool pool_;
  std::uint64_t connections_opened_ = 0;
  /// The longest that a connection may have rested; less where servers forget them sooner.
  std::chrono::milliseconds rest_limit_{60'000};
};

}  // namespace moorfold
