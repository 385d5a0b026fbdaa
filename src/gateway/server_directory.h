#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "balancing/server_pools.h"
#include "common/boot_clock.h"
#include "fleet/server_advisory.h"
#include "fleet/server_record.h"
#include "gateway/prompt.h"

namespace moorfold {

using SteadyTime = BootClock::time_point;

/// Hashes of the prompt prefixes that this daemon recently sent to one server, oldest first. Used
/// to estimate how much of a prompt the server has in its prefix cache.
class RecentPrompts {
 public:
  void Remember(const ModelReference& model, const std::vector<PromptPart>& parts);
  /// @return the number of tokens in the longest prefix of `parts` that was recently sent for that
  /// model.
  double CachedPrefixTokens(const ModelReference& model,
                            const std::vector<PromptPart>& parts) const;

 private:
  static constexpr std::size_t kMaxParts = 192;
  static std::uint64_t Hash(std::uint64_t before, const std::string& part);
  static std::uint64_t Start(const ModelReference& model);

  std::deque<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::uint32_t> counts_;
};

/// State of one incarnation of a server, meaning one run of its process: its record in the store
/// and what this daemon has learned from its responses.
/// Not thread-safe.
class Server {
 public:
  explicit Server(ServerRecord record)
      : record_(std::move(record)), rank_(balancing::RankOf(record_.id)) {}

  const ServerRecord& record() const { return record_; }
  /// @return the rank of its id, which does not change.
  balancing::ServerRank rank() const { return rank_; }
  /// @return the key under which connections to this incarnation are pooled; they are not reused
  /// for a later incarnation.
  std::string connection_key() const {
    return record_.id + '@' + std::to_string(record_.incarnation);
  }
  void Update(ServerRecord record, SteadyTime now);

  bool Holds(const ModelReference& model, SteadyTime now) const;
  /// Records that the server does not serve the model although its record may list it, because an
  /// operation on the model is in progress.
  /// @param lifetime how long this overrides the record.
  void RecordModelMissing(const ModelReference& model, SteadyTime now,
                          std::chrono::milliseconds lifetime);

  /// Whether requests may be sent to the server: it is neither leaving, gone, full nor unreachable.
  bool Usable(SteadyTime now) const;
  /// Whether a recent request to it failed, so that other servers are preferred.
  bool Suspect(SteadyTime now) const { return now < suspect_until_; }
  /// Whether a connection to it could not be established recently.
  bool Unreachable(SteadyTime now) const { return now < unreachable_until_; }
  /// Records that the server has left or that another incarnation responded at its address.
  void MarkGone() { gone_ = true; }
  bool gone() const { return gone_; }
  /// Whether its entry in the store or a response states that it is leaving.
  bool ReportsLeaving() const { return record_.draining || advisory_state_.leaving; }
  /// Whether this incarnation must not receive any more requests.
  bool IsLeaving() const { return gone_ || ReportsLeaving(); }
  /// Whether it rejects requests of this daemon now, even one that was already admitted for it.
  bool RejectsRequests(SteadyTime now) const {
    return IsLeaving() || now < advisory_state_.paused_until;
  }

  /// Applies what a response states about the server, see ServerAdvisoryState::Take.
  bool ApplyStatement(const ServerAdvisory& statement, SteadyTime sent_at, SteadyTime now,
                      bool from_run) {
    return advisory_state_.Take(statement, sent_at, now, from_run);
  }
  const ServerAdvisoryState& advisory_state() const { return advisory_state_; }
  /// Clears the rate limit after another daemon learned that the server no longer states one.
  /// @param known_at when the other daemon learned it; a limit stated here after that time is kept.
  void ClearLimit(SteadyTime known_at) {
    if (advisory_state_.limit_received_at <= known_at) advisory_state_.limit_per_second.reset();
  }
  /// Records that the rate limit shared by all daemons is used up until then.
  void MarkAtLimit(SteadyTime until) { at_limit_until_ = until; }
  /// @return when the next request may be sent; a time in the past means now. Only meaningful for
  /// servers that are usable otherwise.
  SteadyTime NextSendTime() const {
    const bool limited = advisory_state_.limit_per_second.has_value();
    return std::max(advisory_state_.paused_until, limited ? at_limit_until_ : SteadyTime{});
  }
  /// Restores what this incarnation had stated before its entry was removed from the directory.
  void Restore(const ServerAdvisoryState& advisory_state) { advisory_state_ = advisory_state; }

  void BeginRequest() { ++in_flight_; }
  void EndRequest() { --in_flight_; }
  std::uint32_t in_flight() const { return in_flight_; }

  /// Records that a response of this server arrived.
  void RecordResponse(SteadyTime now) { responded_at_ = now; }
  /// @return whether it responded within that time, and no connection to it has failed since.
  bool RespondedWithin(std::chrono::milliseconds age, SteadyTime now) const {
    return responded_at_ != SteadyTime{} && now - responded_at_ <= age && !Suspect(now);
  }
  void RecordSuccess();
  /// Records a response that reports a failed request; the server is reachable.
  void RecordErrorResponse();
  /// Records a request without a response, a connection reset or a failed connection attempt.
  void RecordFailure(SteadyTime now);
  /// Records that a connection could not be established.
  void MarkUnreachable(SteadyTime now);
  /// Records the time that a connection took to come up.
  /// @return the part of it beyond the least that any connection to this server has taken.
  BootClock::duration ConnectTimeBeyondLeast(BootClock::duration time) {
    least_connect_time_ = std::min(least_connect_time_, time);
    return time - least_connect_time_;
  }
  /// Records that it rejected a request because it is full.
  void MarkFull(SteadyTime now);
  /// @return the moving average of failed responses, 0 to 1.
  double error_share() const { return error_share_; }

  /// Records the load that the server stated in a response.
  void NoteLoad(std::uint32_t running, std::uint32_t waiting, SteadyTime now);
  /// @return the expected number of requests at the server, based on the stated load while that is
  /// recent, and on this daemon's own requests otherwise.
  double ExpectedRequests(SteadyTime now) const;
  double ExpectedWaiting(SteadyTime now) const;

  /// Records that the prompt was sent to the server.
  void RecordPrompt(const ModelReference& model, const std::vector<PromptPart>& parts);
  /// @return the number of tokens in the longest prefix of `parts` that this daemon recently sent
  /// to the server for that model.
  double CachedPrefixTokens(const ModelReference& model,
                            const std::vector<PromptPart>& parts) const;

 private:
  friend class ServerDirectory;  ///< ServerDirectory must index each model that an override adds.
  struct ModelOverride {
    ModelReference model;
    SteadyTime until;
    bool held = true;
  };
  const ModelOverride* FindOverride(const ModelReference& model, SteadyTime now) const;
  void RecordModelHeld(const ModelReference& model, SteadyTime now);
  bool InRecord(const ModelReference& model) const;
  void SetOverride(const ModelReference& model, SteadyTime until, bool held, SteadyTime now);

  ServerRecord record_;
  balancing::ServerRank rank_;
  std::vector<ModelOverride> overrides_;
  ServerAdvisoryState advisory_state_;
  bool gone_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t failures_in_row_ = 0;
  SteadyTime suspect_until_{};
  SteadyTime unreachable_until_{};
  SteadyTime full_until_{};
  SteadyTime at_limit_until_{};
  SteadyTime responded_at_{};
  BootClock::duration least_connect_time_ = BootClock::duration::max();
  double error_share_ = 0;
  double stated_running_ = 0;
  double stated_waiting_ = 0;
  std::uint32_t in_flight_when_stated_ = 0;
  SteadyTime stated_at_{};
  /// Null until the first prompt is sent: in a large fleet most daemons never use most servers.
  std::unique_ptr<RecentPrompts> prompts_;
};
using ServerPtr = std::shared_ptr<Server>;

/// All servers that have an entry in the store, indexed by service and model, so that the cost of
/// choosing a server does not grow with servers that lack the model. Not thread-safe.
class ServerDirectory {
 public:
  using Servers = std::vector<ServerPtr>;
  /// Ordered by id, so that the servers can be sent to other daemons page by page.
  using ById = std::map<std::string, ServerPtr>;

  /// Inserts or updates a server. A later incarnation replaces the server object; a record of an
  /// earlier incarnation is ignored.
  /// @return whether the record was applied.
  bool Put(ServerRecord record, SteadyTime now);
  void Remove(const std::string& id);
  /// Records that the server has loaded the model or adapter, before its record in the store shows
  /// it.
  void RecordModelHeld(const ServerPtr& server, const ModelReference& model, SteadyTime now);
  ServerPtr Find(const std::string& id) const;
  const Servers& Of(const std::string& service) const;
  /// @return the service's servers whose records or overrides list the model. Servers with an
  /// expired override may be included, so the caller checks Server::Holds.
  const Servers& ServersWithModel(const std::string& service, const std::string& model) const;
  const ById& all() const { return by_id_; }

 private:
  struct Service {
    Servers servers;
    std::unordered_map<std::string, Servers> by_model;
  };
  void Index(const ServerPtr& server, const std::string& model);
  /// Updates the index for the models that `next` adds or removes.
  void Reindex(const ServerPtr& server, const ServerRecord& next);
  void Retire(const ServerPtr& server);

  ById by_id_;
  std::unordered_map<std::string, Service> by_service_;
};

}  // namespace moorfold
