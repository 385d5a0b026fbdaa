#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/async_signal.h"
#include "tenants/credit_ledger.h"

namespace moorfold {

/// Counts of one daemon, for its figures.
struct QuotaCounters {
  std::uint64_t asked = 0;               ///< Questions to pools.
  std::uint64_t answered = 0;            ///< Questions of other daemons, to this one as a pool.
  std::uint64_t unanswered = 0;          ///< Questions that were given up.
  std::uint64_t refused_over_limit = 0;  ///< Requests over their tenant's limit.
  std::uint64_t refused_unknown = 0;
  std::uint64_t dropped = 0;  ///< Answers to no question.
};

/// How a request stands against its tenant's limit.
enum class QuotaStatus : std::uint8_t {
  kGranted,       ///< It may be sent.
  kOverLimit,     ///< Its tenant has used what it may.
  kOverCapacity,  ///< Its tenant's limit never allows so much at once.
  kUnknown        ///< No daemon that could tell has answered.
};

struct QuotaDecision {
  QuotaStatus quota_status = QuotaStatus::kGranted;
  quota::Credit credit;  ///< Where granted: what was taken, to be given back if it is not used.
  std::chrono::milliseconds retry_after{0};  ///< Where over the limit: when there should be enough.
};

/// Keeps a daemon's credit ledger (see quota::CreditLedger) in touch with other daemons' ledgers,
/// and lets requests wait for credit for a moment. One thread.
class QuotaService {
 public:
  /// How it reaches other daemons.
  struct Ports {
    std::function<void(const std::string& to, const CreditQuestion& question)> ask;
    std::function<void(const std::string& to, const CreditAnswer& answer)> answer;
  };

  /// @param self "IP:PORT" at which other daemons reach this one.
  QuotaService(boost::asio::io_context& context, quota::Settings settings, std::string self,
               QuotaCounters& figures, Ports ports);

  void Start();
  /// Takes over the limits of the configuration in force.
  void SetLimits(const std::vector<Tenant>& tenants);
  void SetSharing(CreditSharing sharing);
  /// Whether the configuration in force limits anybody.
  bool Limits() const { return ledger_.Limits(); }
  const CreditSharing& sharing() const { return ledger_.sharing(); }

  /// Takes what a request costs. Where that is not here, a pool is asked, which takes about a
  /// millisecond.
  /// A request for which there should be credit within its patience waits for it.
  Awaitable<QuotaDecision> Acquire(const quota::CreditDemand& demand);
  /// Gives back what was not used, as far as it is still worth something.
  void Refund(const std::string& tenant, const quota::Credit& credit);
  /// @return whether credit that a request holds may still be used.
  bool Alive(const std::string& tenant, const quota::Credit& credit) const;

  /// From other daemons. @param from "IP:PORT" of the sender.
  void Hear(const CreditQuestion& question, const std::string& from);
  void Hear(const CreditAnswer& answer, const std::string& from);

 private:
  /// Of a question under way: what its answers said so far.
  struct Answered {
    std::int64_t id = 0;  ///< Of the question: when it was asked.
    bool received = false;
    bool queued = false;
    bool granted = false;
    std::chrono::microseconds available_in{0};
  };
  /// Of a tenant that had too little credit just now.
  struct Shortage {
    double units = 0;           ///< So much was not to be had ..
    std::uint32_t urgency = 0;  ///< .. for requests as urgent ..
    quota::Time until{};        ///< .. until about then.
  };

  Awaitable<void> Run();
  /// Asks the pool for what a request costs, and waits for its turn.
  Awaitable<Answered> AskPool(quota::CreditDemand demand, quota::Time wait_until);
  /// To another daemon, or to this one.
  void SendQuestion(const quota::AddressedQuestion& asked);
  void SendAnswers(const std::vector<quota::AddressedAnswer>& answers);
  QuotaDecision Refuse(QuotaStatus quota_status, BootClock::duration retry_after);
  /// @return until there should be enough, as far as an earlier refusal tells.
  BootClock::duration KnownShortage(const quota::CreditDemand& demand) const;

  quota::CreditLedger ledger_;
  QuotaCounters& figures_;
  Ports ports_;
  AsyncSignal answered_;
  AsyncSignal work_;  ///< Limits came into force, or a request waits at this pool.
  std::map<std::int64_t, Answered> open_;  ///< By when it was asked.
  std::map<std::string, Shortage> shortages_;
  boost::asio::io_context& context_;
};

}  // namespace moorfold
