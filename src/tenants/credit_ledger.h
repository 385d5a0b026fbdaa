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

/// What is promised of limits, over all daemons together: in no window of that length more than
/// (rate x window + burst) x (1 + overshoot) + slack.
struct Settings {
  std::chrono::milliseconds window{8'000};
  double overshoot = 0.1;
  double slack = 0;  ///< Units.
};

/// A question and the daemon it goes to.
struct AddressedQuestion {
  std::string host;  ///< "IP:PORT".
  CreditQuestion question;
};

/// An answer and the daemon it goes to.
struct AddressedAnswer {
  std::string to;  ///< "IP:PORT".
  CreditAnswer answer;
};

/// What one request wants of its tenant's limit.
struct CreditDemand {
  std::string tenant;
  double units = 0;
  std::uint32_t urgency = 0;       ///< 0 comes first.
  BootClock::duration patience{};  ///< How long it would wait.
};

/// What a daemon's own credit allows.
enum class TakeStatus : std::uint8_t {
  kUnlimited,     ///< The tenant has no limit.
  kGranted,       ///< The units were taken.
  kInsufficient,  ///< There is not enough here.
  kAboveCapacity  ///< More than the tenant's limit ever gives at once.
};

struct TakeResult {
  TakeStatus quota_status = TakeStatus::kInsufficient;
  Time created_at{};  ///< Where granted: of the oldest units taken.
};

/// One daemon's part of all tenants' limits.
///
/// Credit is money. Each daemon makes its equal share of a tenant's rate, and only that: 1/N a
/// second for each of N daemons. A request costs credit. What a daemon does not need it gives to a
/// daemon that pools it, and what it lacks it asks there. Credit that is sent is given up first, so
/// a lost message destroys credit and none is ever doubled; a daemon that is cut off, frozen or
/// killed keeps, or loses, just its own. No agreement is needed on who pools: two pools share what
/// comes to them.
///
/// Credit dies unused at an age that is the same everywhere. So what is spent in a window was made
/// in the window or shortly before, which bounds it whatever becomes of messages, pools and
/// daemons: rate x (window + life). That is a token bucket spread over the fleet, its depth being
/// what the rate makes in a life. The age of credit on its way is never understated: the receiver
/// adds the longest time that the message can have taken, by its own clock.
///
/// A pool is needed since equal shares alone would not do: a tenant with three requests a second
/// before 84 daemons would have one every half a minute at each.
///
/// Pure but for time; one thread.
class CreditLedger {
 public:
  /// @param self "IP:PORT" at which other daemons reach this one.
  CreditLedger(Settings settings, std::string self) : settings_(settings), self_(std::move(self)) {}

  /// Takes over what the configuration in force limits. Credit of a tenant whose limit is another
  /// now is kept as far as the new limit would have made it.
  void SetLimits(const std::vector<Tenant>& tenants, Time now);
  void SetSharing(CreditSharing sharing);
  const CreditSharing& sharing() const { return sharing_; }
  const std::string& self() const { return self_; }
  bool Limits() const { return !accounts_.empty(); }

  /// Takes what a request costs from the credit here. Where others wait for it, only who was
  /// granted it gets it.
  /// @param granted the question that a pool has granted; 0: none.
  TakeResult Take(const std::string& tenant, double units, std::int64_t granted, Time now);
  /// Gives back what a request did not use. Credit that has died meanwhile stays dead.
  void Refund(const std::string& tenant, Credit credit, Time now);
  /// @return the age at which a tenant's credit dies; 0 without a limit.
  BootClock::duration Life(const std::string& tenant) const;
  /// @return units of credit here.
  double Units(const std::string& tenant, Time now);
  /// @return the daemon that pools a tenant's credit, as far as this one knows; nothing where none
  /// answers. May be this one.
  std::optional<std::string> Pool(const std::string& tenant, Time now) const;
  /// @return a question for what a request costs. @pre some daemon pools the tenant's credit; where
  /// it is this one, the question goes to Answer all the same.
  AddressedQuestion Ask(const CreditDemand& demand, Time now);
  /// @return questions that are due: what is not needed here goes to the pools, and pools that have
  /// been silent are asked again.
  std::vector<AddressedQuestion> Tick(Time now);
  /// @return when Tick has something to do again.
  Time NextTick() const { return deposit_due_; }
  /// A daemon asks this one. @return the answer, and others whose turn has come by what it gave.
  /// @param from "IP:PORT" of the daemon that asks.
  std::vector<AddressedAnswer> Answer(const CreditQuestion& question, const std::string& from,
                                      Time now);
  /// @return answers to requests whose turn has come by what was made meanwhile.
  std::vector<AddressedAnswer> Serve(Time now);
  /// Whether requests of other daemons, or of this one, wait here for credit.
  bool Queued() const;
  /// Takes what a pool has given. @return false where the answer is to no open question.
  bool TakeAnswer(const CreditAnswer& answer, const std::string& from, Time now);

 private:
  /// Credit that was granted to a request here, and not taken yet.
  struct Reserved {
    std::int64_t asked_at_us = 0;  ///< Of its question.
    double units = 0;
    Time until{};
  };
  /// A request that waits here, at the pool, until there is enough for it.
  struct Waiting {
    std::string from;
    std::int64_t asked_at_us = 0;
    double units = 0;
    std::uint32_t rank = 0;  ///< The lowest is served first.
    Time queued_at{};
    Time deadline{};
  };
  struct Account {
    QuotaLimit limit;
    BootClock::duration lifetime{};
    Time accrued_until{};            ///< Its share of the rate was made up to then.
    double units_per_second = 0;     ///< Used here of late.
    double requests_per_second = 0;  ///< Here, of late.
    Time used_at{};
    CreditBalance pool;
    std::vector<Reserved> reserved;
    std::deque<Waiting> queue;  ///< By rank, then in the order in which they came.

    /// @return units that are neither reserved nor dead.
    double Free(Time now);
  };
  /// What is known of a daemon that pools.
  struct Host {
    std::int64_t stamp_us = 0;  ///< Of its last answer.
    Time heard_at{};
    Time unanswered_since{};  ///< Zero: no question is open.
    Time asked_at{};
    std::set<std::int64_t> open;  ///< Questions without an answer, by when they were asked.
  };
  /// What is known of a daemon that asks this one.
  struct Sender {
    std::int64_t asked_at_us = 0;  ///< Of its newest question.
    Time seen{};
  };

  BootClock::duration LifetimeOf(const QuotaLimit& limit) const;
  /// Makes this daemon's share up to now, and lets old credit die.
  void Accrue(Account& account, Time now);
  void NoteUse(Account& account, double units, Time now) const;
  bool Silent(const std::string& host, Time now) const;
  CreditQuestion Begin(const std::string& host, Time now);
  /// @return whether it is newer than all others of the sender: what it deposits is taken once.
  bool NoteSender(const std::string& from, std::int64_t asked_at_us, Time now);
  BootClock::duration DepositInterval() const;
  /// @return what an account has beyond what requests here will need soon.
  static std::vector<Credit> Surplus(Account& account, Time now);
  /// Grants what can be granted now, queues what would wait as long as it has to, denies the rest.
  CreditGrant GrantOrQueue(const CreditRequest& request, const CreditQuestion& question,
                           const std::string& from, Account& account, Time now);
  /// Takes units of a pool for another daemon, if there are as many.
  static bool TryGrant(double units, Account& account, Time now, std::vector<CreditPart>& parts);
  void ServeQueue(const std::string& tenant, Account& account, Time now,
                  std::vector<AddressedAnswer>& answers);

  Settings settings_;
  std::string self_;
  CreditSharing sharing_;
  std::map<std::string, Account> accounts_;  ///< By tenant, of those with a limit.
  std::map<std::string, Host> hosts_;
  std::map<std::string, Sender> senders_;
  Time deposit_due_{};
  std::int64_t last_asked_us_ = 0;
};

}  // namespace moorfold::quota
