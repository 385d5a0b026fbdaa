#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "common/async_signal.h"
#include "fleet/server_record.h"
#include "gateway/server_directory.h"
#include "http/http_server.h"
#include "promise_checker.h"
#include "statement_checker.h"
#include "store_emulator.h"
#include "tenant_checker.h"

namespace moorfold {

struct ServerOptions {
  std::string id;
  std::string service;
  std::string zone = "z";
  std::uint32_t slots = 6;
  bool engine = false;
  std::vector<LoadedModel> models;
  double weights_mb = 200;
  double model_mb = 90;
  double adapter_mb = 5;
  std::size_t adapter_slots = 8;
  std::chrono::milliseconds load_time{300};
  std::chrono::milliseconds work{15};
  std::chrono::milliseconds event_gap{15};  ///< Of a stream that runs alone.
  double prompt_tokens_per_ms = 38;
  Endpoint announced;                      ///< Where callers find it, if not at its own port.
  std::string version = "v1";              ///< Of its software.
  std::int64_t born = 0;                   ///< Its start, in milliseconds of the time of day.
  TenantChecker* tenants = nullptr;        ///< Is told whom requests run for; null: nobody is.
  StatementChecker* statements = nullptr;  ///< Is told what it names, and gets; null: nobody is.
};

struct ServerFaults {
  double error_share = 0;       ///< Answers 500 after running.
  double no_answer_share = 0;   ///< Runs, and closes the connection instead of answering.
  double late_order_share = 0;  ///< Orders without an answer, carried out later.
  std::chrono::milliseconds order_lateness{2'000};
  double refusal_share = 0;  ///< Refuses although it has a free slot.
  double repeated_refusal_share =
      0;  ///< Of refusals: sent again before the connection's next answer.
  double unnamed_refusal_share = 0;  ///< Runs, after a refusal that names no request.
  double stream_break_share = 0;     ///< Of resumable streams: broken off after an event.
  bool says_leaving = false;         ///< Its answers say that it leaves; its entry does not.
};

/// A server of the platform: keeps its entry in the store, runs requests, carries out orders. What
/// it sees is told to the checker. One thread.
class ServerEmulator {
 public:
  ServerEmulator(boost::asio::io_context& context, StoreEmulator& store, PromiseChecker& checker,
                 ServerOptions options, std::uint64_t seed);

  void Start();
  /// Callers are to find it at `address`, not at its own port. Before Start.
  void Announce(const Endpoint& address) { options_.announced = address; }
  /// From now on its answers name that many requests a second; nothing: no limit.
  void NameLimit(std::optional<double> per_second);
  /// Says that it leaves; requests in progress run to their end.
  void Drain();
  /// Its entry goes and comes no more.
  void Vanish();
  /// The process ends without a word, under a request that ends servers or at the test's will; the
  /// entry goes after three heartbeats of silence.
  void End();
  bool ended() const { return ended_; }
  /// Whether callers may still begin requests here.
  bool serving() const { return !draining_ && !vanished_ && !ended_; }
  /// Another incarnation has its id: its entry is no longer this one's to remove.
  void Succeeded() { succeeded_ = true; }
  /// Hears of the end, to make what callers see of it.
  void OnEnd(std::function<void()> handler) { on_end_ = std::move(handler); }
  Endpoint endpoint() const { return server_.endpoint(); }
  ServerFaults& faults() { return faults_; }
  const ServerOptions& options() const { return options_; }
  std::uint64_t runs() const { return runs_; }
  /// @return refusals that it sent a second time.
  std::uint64_t refusals_repeated() const { return refusals_repeated_; }

  /// The body and the seal that any server gives to a request.
  static std::string BodyOf(const std::string& id) { return "answer to " + id + "\n"; }
  /// @return events of the stream that any server gives to a request: a few are long.
  static int EventsOf(const std::string& id);
  static std::string SealOf(const std::string& id) { return "seal-" + id; }
  /// @return a body under which each server of version v1 ends that begins to run it.
  static std::string EndingBody(const std::string& name) { return "ends servers: " + name; }
  /// @return the id of a prompt part under which each server of version v1 ends that begins to
  /// write an answer.
  static std::string EndingPart(const std::string& name) { return "ends-servers-" + name; }
  /// @return what of the request ends servers; empty: nothing.
  static std::string EndingOf(const HttpRequest& request);

 private:
  Awaitable<void> Handle(HttpServerExchange& exchange);
  /// Refuses a request, and may keep the refusal for the connection's next answer.
  Awaitable<void> SendRefusal(HttpServerExchange& exchange, HttpHeaders headers);
  /// Sends what a faulty server sends before an answer.
  Awaitable<void> SendSurplus(HttpServerExchange& exchange);
  Awaitable<void> Run(HttpServerExchange& exchange, const std::string& id, RequestKind kind);
  /// Reads what of the prompt is not kept from requests before.
  Awaitable<void> ReadPrompt(const HttpRequest& request);
  Awaitable<void> Stream(HttpServerExchange& exchange, const std::string& id, HttpHeaders headers);
  /// @return the last event before the stream breaks off; `last` if it does not.
  int DrawBreak(int next, int last);
  Awaitable<void> TakeOrder(HttpServerExchange& exchange);
  Awaitable<void> CarryOut(ServerOrder order);
  unsigned Judge(const ServerOrder& order, std::int64_t expected_count);
  HttpResponse Report() const;
  HttpHeaders Headers(const std::string& id) const;
  /// What it says of itself in every answer.
  HttpHeaders Statement() const;
  bool Holds(const std::string& name) const;
  void WriteEntry();
  Awaitable<void> Beat();
  Awaitable<void> LetEntryLapse();
  void TellTenant(const HttpRequest& request, const std::string& id);
  boost::json::array ModelsJson() const;
  bool Chance(double share) { return std::bernoulli_distribution(share)(random_); }
  /// As Chance, but takes no random number where the share is 0.
  bool RareChance(double share) { return share > 0 && Chance(share); }

  boost::asio::io_context& context_;
  StoreEmulator& store_;
  PromiseChecker& checker_;
  ServerOptions options_;
  ServerFaults faults_;
  std::optional<double> limit_per_second_;
  std::mt19937_64 random_;
  RecentPrompts prompts_;
  std::set<std::string> had_;  ///< Models whose weights lie on the disk.
  std::string changing_;       ///< Model on which an order is under way.
  std::int64_t order_count_ = 0;
  std::uint32_t running_ = 0;
  std::uint64_t runs_ = 0;
  std::map<Endpoint, HttpHeaders> repeated_refusals_;  ///< By the caller's end of the connection.
  std::uint64_t refusals_repeated_ = 0;
  bool draining_ = false;
  bool vanished_ = false;
  bool ended_ = false;
  bool succeeded_ = false;
  std::function<void()> on_end_;
  std::int64_t beats_ = 0;
  HttpServer server_;
};

}  // namespace moorfold
