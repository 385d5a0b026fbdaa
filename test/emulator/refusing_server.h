#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <random>
#include <string>

#include "http/http_types.h"
#include "promise_checker.h"
#include "store_emulator.h"

namespace moorfold {

/// What a faulty server does with requests, in shares.
struct RefusalFaults {
  double refusal_share = 0.3;       ///< Refuses although it has a free slot.
  double early_share = 0.5;         ///< Of refusals: sent before the body is read.
  double repeated_share = 0.3;      ///< Of refusals: sent again, some answers later.
  double unnamed_share = 0.02;      ///< Runs, after a refusal that names no request.
  double closing_share = 0.1;       ///< Of refusals: the connection ends with it.
  double lost_answer_share = 0.05;  ///< Of runs: the connection is reset in the place of an answer.
};

struct RefusingServerOptions {
  std::string id;
  std::string service;
  std::string model;  ///< That it holds; empty: its service has none.
  std::uint32_t slots = 4;
  std::chrono::milliseconds work{20};
  RefusalFaults faults;
};

/// A server that reads from its sockets itself, through small buffers: it refuses requests before
/// it has read their bodies, and sends refusals again. One thread.
class RefusingServer {
 public:
  RefusingServer(boost::asio::io_context& context, StoreEmulator& store, PromiseChecker& checker,
                 RefusingServerOptions options, std::uint64_t seed);

  void Start();
  Endpoint endpoint() const;
  /// Callers are to find it at `address`. Before Start.
  void Announce(const Endpoint& address) { announced_ = address; }
  std::uint64_t refusals_repeated() const { return refusals_repeated_; }

 private:
  class Connection;

  Awaitable<void> Accept();
  Awaitable<void> Serve(boost::asio::ip::tcp::socket socket);
  /// @return whether the connection serves on.
  Awaitable<bool> ServeOne(Connection& connection);
  Awaitable<bool> Refuse(Connection& connection, std::string id, bool body_read);
  Awaitable<bool> Run(Connection& connection, std::string id, RequestKind kind);
  Awaitable<void> WriteStream(Connection& connection, std::string id);
  Awaitable<void> Beat();
  std::string ReportBytes() const;
  std::string CommonHeaders(const std::string& id) const;
  std::string RefusalBytes(const std::string& id);
  bool Chance(double share) { return std::bernoulli_distribution(share)(random_); }
  int Draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }

  boost::asio::io_context& context_;
  StoreEmulator& store_;
  PromiseChecker& checker_;
  RefusingServerOptions options_;
  Endpoint announced_;
  std::mt19937_64 random_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint32_t running_ = 0;
  std::uint64_t refusals_repeated_ = 0;
  std::int64_t beats_ = 0;
};

}  // namespace moorfold
