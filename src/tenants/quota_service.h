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

/// Counters of one daemon, for its metrics.
struct QuotaCounters {
  std::uint64_t asked = 0;               ///< Questions sent to pools.
  std::uint64_t answered = 0;            ///< Questions that this daemon received as a pool.
  std::uint64_t unanswered = 0;          ///< Questions that timed out.
  std::uint64_t refused_over_limit = 0;  ///< Requests refused over their tenant's limit.
  std::uint64_t refused_unknown = 0;
  std::uint64_t dropped = 0;  ///< Answers that match no open question.
};

/// Result of checking a request against its tenant's limit.
enum class QuotaStatus : std::uint8_t {
  kGranted,       ///< The request may be sent.
  kOverLimit,     ///< The tenant has used up its limit.
  kOverCapacity,  ///< The tenant's limit never allows this much at once.
  kUnknown        ///< No pool has answered.
};

struct QuotaDecision {
  QuotaStatus quota_status = QuotaStatus::kGranted;
  quota::Credit credit;  ///< If granted: the credit taken, to be refunded if it is not used.
  std::chrono::milliseconds retry_after{0};  ///< If refused: the retry delay.
};

/// Exchanges messages between a daemon's credit ledger (see quota::CreditLedger) and the ledgers of
/// other daemons, and lets requests wait for credit up to their patience. Not thread-safe.
class QuotaService {
 public:
  /// Functions that send messages to other daemons.
  struct Ports {
    std::function<void(const std::string& to, const CreditQuestion& question)> ask;
    std::function<void(const std::string& to, const CreditAnswer& answer)> answer;
  };

  /// @param self "IP:PORT" at which other daemons reach this one.
  QuotaService(boost::asio::io_context& context, quota::Settings settings, std::string self,
               QuotaCounters& counters, Ports ports);

  void Start();
  /// Applies the limits of the configuration in force.
  void SetLimits(const std::vector<Tenant>& tenants);
  void SetSharing(CreditSharing sharing);
  /// Whether the configuration in force limits any tenant.
  bool Limits() const { return ledger_.Limits(); }
  const CreditSharing& sharing() const { return ledger_.sharing(); }

  /// Takes the cost of a request. If this daemon lacks credit, it asks a pool, which takes about a
  /// millisecond. A request waits if enough credit is expected within its patience.
  Awaitable<QuotaDecision> Acquire(const quota::CreditDemand& demand);
  /// Returns unused credit; expired credit is dropped.
  void Refund(const std::string& tenant, const quota::Credit& credit);
  /// @return Whether the credit that a request holds is still valid.
  bool Alive(const std::string& tenant, const quota::Credit& credit) const;

  /// Handle messages from other daemons. @param from "IP:PORT" of the sender.
  void Hear(const CreditQuestion& question, const std::string& from);
  void Hear(const CreditAnswer& answer, const std::string& from);

 private:
  /// State of an open question, from the answers received so far.
  struct QuestionState {
    std::int64_t id = 0;  ///< Id of the question: its time of asking.
    bool received = false;
    bool queued = false;
    bool granted = false;
    std::chrono::microseconds available_in{0};
  };
  /// A tenant's last refusal for lack of credit.
  struct Shortage {
    double units = 0;           ///< Units that were refused.
    std::uint32_t urgency = 0;  ///< Urgency of the refused request.
    quota::Time until{};        ///< Time at which the units should be available.
  };

  Awaitable<void> Run();
  /// Asks the pool for the cost of a request, and waits while the request is queued there.
  Awaitable<QuestionState> AskPool(quota::CreditDemand demand, quota::Time wait_until);
  /// Sends a question to another daemon, or handles it here if this daemon is the pool.
  void SendQuestion(const quota::AddressedQuestion& asked);
  void SendAnswers(const std::vector<quota::AddressedAnswer>& answers);
  QuotaDecision Refuse(QuotaStatus quota_status, BootClock::duration retry_after);
  /// @return Remaining time until enough credit should be available, as known from the last
  /// refusal.
  BootClock::duration KnownShortage(const quota::CreditDemand& demand) const;

  quota::CreditLedger ledger_;
  QuotaCounters& counters_;
  Ports ports_;
  AsyncSignal answered_;
  AsyncSignal work_;  ///< Set when limits come into force or a request is queued at this pool.
  std::map<std::int64_t, QuestionState> open_;  ///< By time of asking.
  std::map<std::string, Shortage> shortages_;
  boost::asio::io_context& context_;
};

}  // namespace moorfold
