#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tenants/credit_balance.h"
#include "tenants/credit_messages.h"
#include "tenants/tenant.h"

namespace moorfold::quota {

/// The bound on what tenants may use, over all daemons together: in no window of this length more
/// than (rate x window + burst) x (1 + overshoot) + slack.
struct Settings {
  std::chrono::milliseconds window{8'000};
  double overshoot = 0.1;
  double slack = 0;  ///< Units.
};

/// A question with its destination.
struct AddressedQuestion {
  std::string host;  ///< "IP:PORT".
  CreditQuestion question;
};

/// An answer with its destination.
struct AddressedAnswer {
  std::string to;  ///< "IP:PORT".
  CreditAnswer answer;
};

/// Credit that one request needs from its tenant's limit.
struct CreditDemand {
  std::string tenant;
  double units = 0;
  std::uint32_t urgency = 0;       ///< Rank in the queue; 0 is served first.
  BootClock::duration patience{};  ///< Maximum time that the request waits.
};

/// Result of taking credit at one daemon.
enum class TakeStatus : std::uint8_t {
  kUnlimited,     ///< The tenant has no limit.
  kGranted,       ///< The units were taken.
  kInsufficient,  ///< This daemon does not hold enough credit.
  kAboveCapacity  ///< More than the tenant's limit ever allows at once.
};

struct TakeResult {
  TakeStatus quota_status = TakeStatus::kInsufficient;
  Time created_at{};  ///< If granted: creation time of the oldest units taken.
};

/// One daemon's share of all tenants' limits.
///
/// Each of N daemons accrues 1/N of a tenant's rate as credit, and no more. A request spends
/// credit. A daemon deposits surplus credit at another daemon, the tenant's pool, and asks the pool
/// for credit that it lacks. Credit is deducted before it is sent, so a lost message destroys
/// credit and no credit is ever duplicated; a daemon that is partitioned, frozen or killed keeps,
/// or loses, only its own. The daemons need not agree on the pool: two pools share the deposits
/// that reach them.
///
/// Unused credit expires at an age that is the same at every daemon. What is spent in a window was
/// therefore accrued in the window or at most one lifetime before, which bounds use whatever
/// happens to messages, pools and daemons: rate x (window + lifetime). This is a token bucket
/// distributed over the fleet; its depth is what the rate accrues in a lifetime. The age of credit
/// in transit is never understated: the receiver adds the longest time that the message can have
/// taken, by its own clock.
///
/// Equal shares without a pool do not suffice: a tenant with three requests a second over 84
/// daemons would get one request every half a minute at each.
///
/// No I/O; callers pass the time. Not thread-safe.
class CreditLedger {
 public:
  /// @param self "IP:PORT" at which other daemons reach this one.
  CreditLedger(Settings settings, std::string self) : settings_(settings), self_(std::move(self)) {}

  /// Applies the limits of the configuration in force. Credit of a tenant whose limit has changed
  /// is kept up to what the new limit would have accrued.
  void SetLimits(const std::vector<Tenant>& tenants, Time now);
  void SetSharing(CreditSharing sharing);
  const CreditSharing& sharing() const { return sharing_; }
  const std::string& self() const { return self_; }
  bool Limits() const { return !accounts_.empty(); }

  /// Takes the cost of a request from the credit at this daemon. While requests are queued for the
  /// tenant, only a request with a grant can take credit.
  /// @param granted Id of the question that a pool has granted; 0: none.
  TakeResult Take(const std::string& tenant, double units, std::int64_t granted, Time now);
  /// Returns credit that a request did not use. Credit that has expired in the meantime is dropped.
  void Refund(const std::string& tenant, Credit credit, Time now);
  /// @return The age at which a tenant's credit expires; 0 without a limit.
  BootClock::duration CreditLifetime(const std::string& tenant) const;
  /// @return Units of credit at this daemon.
  double Units(const std::string& tenant, Time now);
  /// @return The daemon that pools a tenant's credit according to this daemon, possibly itself;
  /// nothing if no pool answers.
  std::optional<std::string> PoolFor(const std::string& tenant, Time now) const;
  /// @return A question for the cost of a request. @pre A daemon pools the tenant's credit; if it
  /// is this one, the question is still passed to Answer.
  AddressedQuestion Ask(const CreditDemand& demand, Time now);
  /// @return Questions that are due: deposits of surplus credit, and repeated questions to pools
  /// that have not answered.
  std::vector<AddressedQuestion> Tick(Time now);
  /// @return The time at which Tick next has work.
  Time NextTick() const { return deposit_due_; }
  /// Handles a question from a daemon. @return The answer, and answers to queued requests that the
  /// deposited credit can now serve.
  /// @param from "IP:PORT" of the asking daemon.
  std::vector<AddressedAnswer> Answer(const CreditQuestion& question, const std::string& from,
                                      Time now);
  /// @return Answers to queued requests that can be served from credit accrued since.
  std::vector<AddressedAnswer> Serve(Time now);
  /// Whether requests of any daemon are queued here for credit.
  bool Queued() const;
  /// Adds the credit that a pool has granted. @return False if the answer matches no open question.
  bool TakeAnswer(const CreditAnswer& answer, const std::string& from, Time now);

 private:
  /// Credit that was granted to a request at this daemon and not taken yet.
  struct Reserved {
    std::int64_t asked_at_us = 0;  ///< Id of its question.
    double units = 0;
    Time until{};
  };
  /// A request queued at this pool until there is enough credit for it.
  struct Waiting {
    std::string from;
    std::int64_t asked_at_us = 0;
    double units = 0;
    std::uint32_t rank = 0;  ///< The lowest rank is served first.
    Time enqueued_at{};
    Time deadline{};
  };
  struct Account {
    QuotaLimit limit;
    BootClock::duration lifetime{};
    Time accrued_until{};            ///< The share of the rate has accrued up to this time.
    double units_per_second = 0;     ///< Moving average of the units used at this daemon.
    double requests_per_second = 0;  ///< Moving average of the requests at this daemon.
    Time used_at{};
    CreditBalance balance;
    std::vector<Reserved> reserved;
    std::deque<Waiting> queue;  ///< By rank, then by arrival.

    /// @return Units that are neither reserved nor expired.
    double AvailableUnits(Time now);
  };
  /// State of a pool, as seen by this daemon.
  struct PoolState {
    std::int64_t stamp_us = 0;  ///< Of its last answer.
    Time last_answer_at{};
    Time unanswered_since{};  ///< Zero if no question is open.
    Time asked_at{};
    std::set<std::int64_t> open;  ///< Unanswered questions, by time of asking.
  };
  /// State of a daemon that sends questions to this one.
  struct Sender {
    std::int64_t asked_at_us = 0;  ///< Id of its newest question.
    Time seen{};
  };

  BootClock::duration LifetimeOf(const QuotaLimit& limit) const;
  /// Accrues this daemon's share up to now and drops expired credit.
  void Accrue(Account& account, Time now);
  void RecordUse(Account& account, double units, Time now) const;
  bool IsUnresponsive(const std::string& host, Time now) const;
  CreditQuestion NewQuestion(const std::string& host, Time now);
  /// @return Whether the question is newer than all others of the sender, so that each deposit is
  /// added once.
  bool RecordSender(const std::string& from, std::int64_t asked_at_us, Time now);
  BootClock::duration DepositInterval() const;
  /// @return Credit beyond what requests at this daemon will need soon.
  static std::vector<Credit> Surplus(Account& account, Time now);
  /// Grants a request that can be served now, queues one whose patience covers the wait, and
  /// refuses any other.
  CreditGrant GrantOrQueue(const CreditRequest& request, const CreditQuestion& question,
                           const std::string& from, Account& account, Time now);
  /// Takes units from this pool for another daemon, if there are enough.
  static bool TryGrant(double units, Account& account, Time now, std::vector<CreditPart>& parts);
  void ServeQueue(const std::string& tenant, Account& account, Time now,
                  std::vector<AddressedAnswer>& answers);

  Settings settings_;
  std::string self_;
  CreditSharing sharing_;
  std::map<std::string, Account> accounts_;  ///< By tenant; only tenants with a limit.
  std::map<std::string, PoolState> pool_states_;
  std::map<std::string, Sender> senders_;
  Time deposit_due_{};
  std::int64_t last_asked_us_ = 0;
};

}  // namespace moorfold::quota
