#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "gateway/contact_monitor.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_request.h"
#include "gateway/overload_monitor.h"
#include "gateway/server_statements.h"
#include "http/http_server.h"
#include "http/upstream_connection.h"
#include "ports/fleet_protocol.h"
#include "streams/stream_origins.h"

namespace moorfold {

/// Forwards one request to one server and relays the response: connections, headers, validation of
/// the response, streams. Does not choose servers or retry. Not thread-safe.
class Forwarder {
 public:
  Forwarder(boost::asio::io_context& context, const FleetProtocol& protocol,
            ServerStatements& statements, ContactMonitor& contact, OverloadMonitor& overload,
            streams::StreamOrigins& origins, GatewayMetrics& metrics,
            std::size_t socket_buffer_bytes);

  /// @param attempt_deadline when to abandon the attempt; no later than the request's expiry.
  /// @param last_attempt whether to relay an error response of the server to the client.
  Awaitable<AttemptResult> Forward(HttpServerExchange& exchange, GatewayRequest& request,
                                   ServerPtr server, SteadyTime attempt_deadline,
                                   bool last_attempt);
  void Sweep() { pool_.Sweep(); }
  std::uint64_t connections_opened() const { return connections_opened_; }

 private:
  class AttemptGuard;

  Awaitable<UpstreamConnectionPtr> Connect(const GatewayRequest& request, Server& server);
  HttpRequest MakeRequestHead(const HttpRequest& original, const GatewayRequest& request,
                              const Server& server, SteadyTime attempt_deadline) const;
  HttpRequest MakeDetourHead(const HttpRequest& original, const GatewayRequest& request,
                             SteadyTime attempt_deadline) const;
  /// Copies the headers that a client's request keeps on its way.
  HttpRequest CopyHead(const HttpRequest& original, const GatewayRequest& request) const;
  /// Like Exchange, with another daemon in the place of the server.
  Awaitable<AttemptResult> ExchangeThroughDaemon(HttpServerExchange& exchange,
                                                 GatewayRequest& request, const Server& daemon);
  Awaitable<AttemptResult> ReadDaemonRefusal(GatewayRequest& request, const Server& daemon);
  /// Records that nothing was heard of the server of this attempt.
  void RecordUnreachable(const GatewayRequest& request, const Server& server);
  Awaitable<AttemptResult> Exchange(HttpServerExchange& exchange, GatewayRequest& request,
                                    Server& server, SteadyTime sent_at, bool last_attempt);
  ResponseIdentity IdentityOf(const HttpHeaders& headers, const GatewayRequest& request) const;
  /// @return whether the connection can carry another request.
  static Awaitable<bool> DiscardBody(UpstreamConnection& upstream);
  Awaitable<void> ReadMatchingHead(UpstreamConnection& upstream, GatewayRequest& request);
  Awaitable<AttemptResult> RelayResponse(HttpServerExchange& exchange, GatewayRequest& request,
                                         HttpHeaders headers);
  /// Like RelayResponse, for a body of which `first` has been read and more is to come: passes it
  /// on as it arrives.
  Awaitable<AttemptResult> RelayLongBody(HttpServerExchange& exchange, GatewayRequest& request,
                                         HttpHeaders headers, std::string first);
  Awaitable<AttemptResult> RelayStream(HttpServerExchange& exchange, GatewayRequest& request,
                                       const Server& server, HttpHeaders headers);
  AttemptResult HandleRefusal(const HttpHeaders& headers, unsigned status,
                              const GatewayRequest& request, Server& server) const;
  void NoteLoad(const HttpHeaders& headers, Server& server) const;
  /// @return whether the response came from another server that now has this one's address.
  bool IsFromOtherServer(const HttpHeaders& headers, unsigned status, const Server& server) const;
  /// Applies what the server states about itself in its response headers.
  void RecordStatement(const ServerResponse& answer, Server& server) const;
  static std::chrono::milliseconds MaxIdleTime(const GatewayRequest& request);
  void ShortenIdleLimit(const UpstreamConnection& upstream);
  void ReturnConnection(const GatewayRequest& request, const Server& server);
  void RecordHeadSent(GatewayRequest& request);
  /// Before the first event of a stream is passed on: makes sure that daemons can find out at which
  /// software version it began.
  /// @return whether the event may be passed on.
  Awaitable<bool> RecordStreamOrigin(GatewayRequest& request);
  /// Records the gap between two writes of stream events.
  /// @param last_events time of the previous write.
  void RecordEventGap(GatewayRequest& request, SteadyTime last_events);

  boost::asio::io_context& context_;
  const FleetProtocol& protocol_;
  ServerStatements& statements_;
  ContactMonitor& contact_;
  OverloadMonitor& overload_;
  streams::StreamOrigins& origins_;
  GatewayMetrics& metrics_;
  std::size_t socket_buffer_bytes_;  ///< Of connections to servers; 0: as the kernel likes.
  UpstreamPool pool_;
  std::uint64_t connections_opened_ = 0;
  /// Maximum idle time of a reused connection; lowered when servers drop idle connections sooner.
  std::chrono::milliseconds idle_limit_{60'000};
};

}  // namespace moorfold
