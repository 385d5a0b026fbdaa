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

#include "common/boot_clock.h"
#include "fleet/server_record.h"
#include "fleet/server_statement.h"
#include "gateway/prompt.h"

namespace moorfold {

using SteadyTime = BootClock::time_point;

/// The prompt parts that this daemon lately sent to one server, oldest first.
class RecentPrompts {
 public:
  void Remember(const ModelReference& model, const std::vector<PromptPart>& parts);
  /// @return tokens of the longest run of leading parts that were sent for that model.
  double CachedPrefixTokens(const ModelReference& model,
                            const std::vector<PromptPart>& parts) const;

 private:
  static constexpr std::size_t kMaxParts = 192;
  static std::uint64_t Hash(std::uint64_t before, const std::string& part);
  static std::uint64_t Start(const ModelReference& model);

  std::deque<std::uint64_t> order_;
  std::unordered_map<std::uint64_t, std::uint32_t> counts_;
};

/// What this daemon knows of one life of a server: its record, and what its answers showed.
/// One thread.
class Server {
 public:
  explicit Server(ServerRecord record) : record_(std::move(record)) {}

  const ServerRecord& record() const { return record_; }
  /// Names what its connections belong to: they end with its life.
  std::string connection_key() const { return record_.id + '@' + std::to_string(record_.life); }
  void Update(ServerRecord record, SteadyTime now);

  bool Holds(const ModelReference& model, SteadyTime now) const;
  /// The model cannot be asked for there, though the record may say so: an order on it is under
  /// way.
  /// @param life how long to believe it over the record.
  void RecordModelMissing(const ModelReference& model, SteadyTime now,
                          std::chrono::milliseconds life);

  /// Whether requests may be sent at all: neither leaving, proved gone, full nor out of reach.
  bool Usable(SteadyTime now) const;
  /// Whether it failed lately, so that others are to be preferred.
  bool Suspect(SteadyTime now) const { return now < suspect_until_; }
  /// Whether no connection to it came up lately.
  bool Unreachable(SteadyTime now) const { return now < unreachable_until_; }
  /// The server said it leaves, or another incarnation answered at its address.
  void MarkGone() { gone_ = true; }
  bool gone() const { return gone_; }
  /// Whether its entry or an answer has said that it leaves.
  bool ReportsLeaving() const { return record_.draining || standing_.leaving; }
  /// Whether nothing more is to be sent there in this life.
  bool IsLeaving() const { return gone_ || ReportsLeaving(); }
  /// Whether it wants nothing of this daemon now, though a request was let through to it before.
  bool RejectsRequests(SteadyTime now) const { return IsLeaving() || now < standing_.paused_until; }

  /// Takes over what an answer of it says of itself, see ServerStanding::Take.
  bool ApplyStatement(const ServerStatement& statement, SteadyTime sent_at, SteadyTime now,
                      bool from_run) {
    return standing_.Take(statement, sent_at, now, from_run);
  }
  const ServerStanding& standing() const { return standing_; }
  /// Another daemon has heard that the server names no limit any more.
  /// @param known_at what was heard here after that counts more.
  void ClearLimit(SteadyTime known_at) {
    if (standing_.limit_heard_at <= known_at) standing_.limit_per_second.reset();
  }
  /// All that the server takes from all daemons is taken until then.
  void MarkAtLimit(SteadyTime until) { at_limit_until_ = until; }
  /// @return when a request may be sent again; in the past: now. For servers that are usable
  /// otherwise.
  SteadyTime NextSendTime() const {
    const bool limited = standing_.limit_per_second.has_value();
    return std::max(standing_.paused_until, limited ? at_limit_until_ : SteadyTime{});
  }
  /// What it had said in this life before this daemon lost sight of its entry.
  void Restore(const ServerStanding& standing) { standing_ = standing; }

  void BeginRequest() { ++in_flight_; }
  void EndRequest() { --in_flight_; }
  std::uint32_t in_flight() const { return in_flight_; }

  void RecordSuccess();
  /// An answer that says the request failed, though the server is reachable.
  void RecordErrorResponse();
  /// No answer, a reset, or no connection.
  void RecordFailure(SteadyTime now);
  /// No connection came up.
  void MarkUnreachable(SteadyTime now);
  /// It turned a request away because it is full.
  void MarkFull(SteadyTime now);
  /// @return share of lately failed answers, 0 to 1.
  double error_share() const { return error_share_; }

  /// Load as the server stated it.
  void NoteLoad(std::uint32_t running, std::uint32_t waiting, SteadyTime now);
  /// @return requests expected there: the stated ones while that is recent, else only our own.
  double ExpectedRequests(SteadyTime now) const;
  double ExpectedWaiting(SteadyTime now) const;

  /// Notes that the request's prompt was sent there.
  void RecordPrompt(const ModelReference& model, const std::vector<PromptPart>& parts);
  /// @return tokens of the longest run of leading parts that this daemon lately sent there.
  double CachedPrefixTokens(const ModelReference& model,
                            const std::vector<PromptPart>& parts) const;

 private:
  friend class ServerDirectory;  ///< Its index has to know what a note adds.
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
  std::vector<ModelOverride> overrides_;
  ServerStanding standing_;
  bool gone_ = false;
  std::uint32_t in_flight_ = 0;
  std::uint32_t failures_in_row_ = 0;
  SteadyTime suspect_until_{};
  SteadyTime unreachable_until_{};
  SteadyTime full_until_{};
  SteadyTime at_limit_until_{};
  double error_share_ = 0;
  double stated_running_ = 0;
  double stated_waiting_ = 0;
  std::uint32_t in_flight_when_stated_ = 0;
  SteadyTime stated_at_{};
  /// Null until the first prompt: most daemons of a large fleet never use most of its servers.
  std::unique_ptr<RecentPrompts> prompts_;
};
using ServerPtr = std::shared_ptr<Server>;

/// All servers that the store names, with an index of who may hold which model: what a request's
/// choice looks at does not grow with servers that do not hold its model. One thread.
class ServerDirectory {
 public:
  using Servers = std::vector<ServerPtr>;
  /// In the order of their ids, so that they can be told piece by piece.
  using ById = std::map<std::string, ServerPtr>;

  /// Takes what a server says now. A later life of it is another server; what an earlier life says
  /// changes nothing.
  /// @return whether it was taken.
  bool Put(ServerRecord record, SteadyTime now);
  void Remove(const std::string& id);
  /// Notes that the model or adapter stands there now; the record follows later.
  void RecordModelHeld(const ServerPtr& server, const ModelReference& model, SteadyTime now);
  ServerPtr Find(const std::string& id) const;
  const Servers& Of(const std::string& service) const;
  /// @return the service's servers whose records or notes name the model, and some whose notes have
  /// lapsed: whether one holds it is asked of the server.
  const Servers& ServersWithModel(const std::string& service, const std::string& model) const;
  const ById& all() const { return by_id_; }

 private:
  struct Service {
    Servers servers;
    std::unordered_map<std::string, Servers> by_model;
  };
  void Index(const ServerPtr& server, const std::string& model);
  /// The server's next record names other models.
  void Reindex(const ServerPtr& server, const ServerRecord& next);
  void Retire(const ServerPtr& server);

  ById by_id_;
  std::unordered_map<std::string, Service> by_service_;
};

}  // namespace moorfold
