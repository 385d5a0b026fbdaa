#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration/plan.h"
#include "core/events.h"
#include "core/ledger.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// One committed change of the configuration, as stored.
struct ConfigurationChange {
  std::string plan_id;
  ConfigurationDelta delta;
};

enum class ConfirmOutcome : std::uint8_t {
  kConfirmed,
  kAlreadyConfirmed,
  kUnknownPlan,
  kStaleBase,
  kRefused,      ///< The plan has refusals.
  kUnavailable,  ///< Nothing was changed, or it is not known whether it was.
};

struct ConfirmResult {
  ConfirmOutcome outcome = ConfirmOutcome::kUnavailable;
  Revision revision = 0;  ///< In force by this plan, or the one that made it stale.
  std::string message;
};

/// The documents that moorfold keeps in the key-value service:
///   moorfold/configuration/head       which revision is in force, swapped by confirmation
///   moorfold/configuration/snapshot   the whole configuration at that revision
///   moorfold/configuration/changes/R  the delta that made revision R (the newest 100)
///   moorfold/ledger/ZONE              the placement ledger of a zone
///   moorfold/claims/view              the owners of claims on idempotency keys
///   moorfold/plans/ID                 a stated intent, kept for an hour
/// A write whose answer was lost is read back before it is called done or failed. Not
/// thread-safe; callbacks come as those of the KeyValueStore below.
class DocumentStore {
 public:
  using ConfigurationCallback = std::function<void(Outcome<std::optional<ConfigurationSnapshot>>)>;
  using ChangeCallback = std::function<void(const ConfigurationDelta&)>;

  /// @param store outlives this object and its callbacks.
  explicit DocumentStore(KeyValueStore& store);

  void ReadLedger(const ZoneName& zone, std::function<void(Outcome<std::optional<Ledger>>)> done);
  /// Writes `proposed` if the stored ledger still has revision `expected`.
  void SwapLedger(const ZoneName& zone, Revision expected, const Ledger& proposed,
                  std::function<void(SwapOutcome)> done);
  void ReadClaimView(std::function<void(Outcome<std::optional<ClaimView>>)> done);
  /// Writes `proposed` if the stored view still has number `expected`.
  void SwapClaimView(std::uint64_t expected, const ClaimView& proposed,
                     std::function<void(SwapOutcome)> done);

  /// Reads the configuration if its revision is above `have`; else answers nothing.
  void ReadConfiguration(Revision have, ConfigurationCallback done);
  /// Delivers each later change until the handle is destroyed or `ended` is called.
  [[nodiscard]] std::unique_ptr<WatchHandle> WatchConfiguration(ChangeCallback changed,
                                                                std::function<void()> ended);

  /// Delivers each later view of claim owners until the handle is destroyed.
  [[nodiscard]] std::unique_ptr<WatchHandle> WatchClaimView(
      std::function<void(const ClaimView&)> changed);

  void StorePlan(const Plan& plan, std::function<void(std::optional<PlatformFailure>)> done);
  void ConfirmPlan(const std::string& plan_id, std::function<void(ConfirmResult)> done);

 private:
  /// Where a numbered document stands: its own number, and the service's number of its change.
  struct StoredNumber {
    std::uint64_t number = 0;
    StoreRevision mod_revision;
  };
  class Confirmation;

  template <typename T>
  void ReadDocument(const std::string& key, std::function<void(Outcome<std::optional<T>>)> done);
  template <typename T>
  void SwapDocument(const std::string& key, std::uint64_t expected, const T& proposed,
                    std::function<void(SwapOutcome)> done);
  void WriteDocument(const std::string& key, std::string text, StoredNumber before,
                     std::uint64_t number, std::function<void(SwapOutcome)> done);

  KeyValueStore& store_;
  std::map<std::string, StoredNumber> known_;  ///< By key.
};

/// @return a key for plans: the same base and intent always have the same id.
std::string PlanId(Revision base, const Intent& intent);

}  // namespace moorfold
