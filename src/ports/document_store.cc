#include "ports/document_store.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

#include "ports/json_codec.h"

namespace moorfold {

BOOST_DESCRIBE_STRUCT(ConfigurationChange, (), (plan_id, delta))

namespace {

constexpr const char* kHeadKey = "moorfold/configuration/head";
constexpr const char* kSnapshotKey = "moorfold/configuration/snapshot";
constexpr const char* kChangesPrefix = "moorfold/configuration/changes/";
constexpr Revision kKeptChanges = 100;
constexpr Duration kPlanLifetime = std::chrono::hours(1);

constexpr const char* kClaimViewKey = "moorfold/claims/view";

std::uint64_t NumberOf(const Ledger& ledger) { return ledger.revision; }
std::uint64_t NumberOf(const ClaimView& view) { return view.number; }

std::string LedgerKey(const ZoneName& zone) { return "moorfold/ledger/" + zone; }
std::string PlanKey(const std::string& id) { return "moorfold/plans/" + id; }

std::string ChangeKey(Revision revision) {
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%020llu", static_cast<unsigned long long>(revision));
  return kChangesPrefix + std::string(digits.data());
}

template <typename T>
std::optional<T> DecodeFirst(const RangeResult& result) {
  if (result.entries.empty()) return std::nullopt;
  return FromJson<T>(result.entries.front().value);
}

PlatformFailure Undecodable(const std::exception& error) {
  return {PlatformFault::kRejected, error.what()};
}

}  // namespace

std::string PlanId(Revision base, const Intent& intent) {
  const std::string content = std::to_string(base) + ToJson(intent);
  std::array<char, 32> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx",
                static_cast<unsigned long long>(XXH3_64bits(content.data(), content.size())));
  return digits.data();
}

DocumentStore::DocumentStore(KeyValueStore& store) : store_(store) {}

template <typename T>
void DocumentStore::ReadDocument(const std::string& key,
                                 std::function<void(Outcome<std::optional<T>>)> done) {
  store_.Range({key, ""}, [this, key, done = std::move(done)](const Outcome<RangeResult>& result) {
    if (!result.ok()) return done(result.failure());
    try {
      const std::optional<T> document = DecodeFirst<T>(result.value());
      known_[key] =
          document ? StoredNumber{NumberOf(*document), result.value().entries.front().mod_revision}
                   : StoredNumber{};
      done(document);
    } catch (const DecodeError& error) {
      done(Undecodable(error));
    }
  });
}

template <typename T>
void DocumentStore::SwapDocument(const std::string& key, std::uint64_t expected, const T& proposed,
                                 std::function<void(SwapOutcome)> done) {
  const auto known = known_.find(key);
  if (known != known_.end() && known->second.number == expected)
    return WriteDocument(key, ToJson(proposed), known->second, NumberOf(proposed), std::move(done));
  // The expected number was learned from a peer: the service is asked for its own number of it.
  ReadDocument<T>(key, [this, key, expected, proposed,
                        done = std::move(done)](const Outcome<std::optional<T>>& result) {
    if (!result.ok()) return done(SwapOutcome::kConflict);
    const std::uint64_t stored = result.value() ? NumberOf(*result.value()) : 0;
    if (stored != expected) return done(SwapOutcome::kConflict);
    WriteDocument(key, ToJson(proposed), known_[key], NumberOf(proposed), done);
  });
}

void DocumentStore::WriteDocument(const std::string& key, std::string text, StoredNumber before,
                                  std::uint64_t number, std::function<void(SwapOutcome)> done) {
  Transaction transaction;
  transaction.comparisons.push_back({key, before.mod_revision});
  transaction.operations.emplace_back(PutOperation{key, std::move(text), {}});
  store_.Transact(std::move(transaction), [this, key, number, done = std::move(done)](
                                              const Outcome<TransactionResult>& result) {
    known_.erase(key);
    if (!result.ok()) {
      const bool untouched = result.failure().fault != PlatformFault::kNoAnswer;
      return done(untouched ? SwapOutcome::kConflict : SwapOutcome::kUnknown);
    }
    if (!result.value().succeeded) return done(SwapOutcome::kConflict);
    known_[key] = {number, result.value().revision};
    done(SwapOutcome::kCommitted);
  });
}

void DocumentStore::ReadLedger(const ZoneName& zone,
                               std::function<void(Outcome<std::optional<Ledger>>)> done) {
  ReadDocument<Ledger>(LedgerKey(zone), std::move(done));
}

void DocumentStore::SwapLedger(const ZoneName& zone, Revision expected, const Ledger& proposed,
                               std::function<void(SwapOutcome)> done) {
  SwapDocument(LedgerKey(zone), expected, proposed, std::move(done));
}

void DocumentStore::ReadClaimView(std::function<void(Outcome<std::optional<ClaimView>>)> done) {
  ReadDocument<ClaimView>(kClaimViewKey, std::move(done));
}

void DocumentStore::SwapClaimView(std::uint64_t expected, const ClaimView& proposed,
                                  std::function<void(SwapOutcome)> done) {
  SwapDocument(kClaimViewKey, expected, proposed, std::move(done));
}

void DocumentStore::ReadConfiguration(Revision have, ConfigurationCallback done) {
  store_.Range({kHeadKey, ""},
               [this, have, done = std::move(done)](const Outcome<RangeResult>& head_result) {
                 if (!head_result.ok()) return done(head_result.failure());
                 try {
                   const auto head = DecodeFirst<ConfigurationHead>(head_result.value());
                   if (!head || head->revision <= have)
                     return done(std::optional<ConfigurationSnapshot>());
                 } catch (const DecodeError& error) {
                   return done(Undecodable(error));
                 }
                 store_.Range({kSnapshotKey, ""}, [done](const Outcome<RangeResult>& result) {
                   if (!result.ok()) return done(result.failure());
                   try {
                     done(DecodeFirst<ConfigurationSnapshot>(result.value()));
                   } catch (const DecodeError& error) {
                     done(Undecodable(error));
                   }
                 });
               });
}

std::unique_ptr<WatchHandle> DocumentStore::WatchConfiguration(ChangeCallback changed,
                                                               std::function<void()> ended) {
  const auto deliver = [changed = std::move(changed)](const WatchBatch& batch) {
    for (const WatchEvent& event : batch.events)
      if (!event.deleted) changed(FromJson<ConfigurationChange>(event.entry.value).delta);
  };
  return store_.Watch(PrefixRange(kChangesPrefix), StoreRevision{}, deliver,
                      [ended = std::move(ended)](const PlatformFailure&) { ended(); });
}

std::unique_ptr<WatchHandle> DocumentStore::WatchClaimView(
    std::function<void(const ClaimView&)> changed) {
  const auto deliver = [changed = std::move(changed)](const WatchBatch& batch) {
    for (const WatchEvent& event : batch.events)
      if (!event.deleted) changed(FromJson<ClaimView>(event.entry.value));
  };
  return store_.Watch({kClaimViewKey, ""}, StoreRevision{}, deliver, [](const PlatformFailure&) {});
}

void DocumentStore::StorePlan(const Plan& plan,
                              std::function<void(std::optional<PlatformFailure>)> done) {
  const std::string key = PlanKey(plan.id);
  store_.GrantLease(kPlanLifetime, [this, key, text = ToJson(plan),
                                    done = std::move(done)](const Outcome<LeaseId>& lease) {
    if (!lease.ok()) return done(lease.failure());
    Transaction transaction;
    transaction.operations.emplace_back(PutOperation{key, text, lease.value()});
    store_.Transact(std::move(transaction), [done](const Outcome<TransactionResult>& result) {
      if (result.ok())
        done(std::nullopt);
      else
        done(result.failure());
    });
  });
}

/// The steps of one confirmation; keeps itself alive through its callbacks.
class DocumentStore::Confirmation
    : public std::enable_shared_from_this<DocumentStore::Confirmation> {
 public:
  Confirmation(KeyValueStore& store, std::string plan_id, std::function<void(ConfirmResult)> done)
      : store_(store), plan_id_(std::move(plan_id)), done_(std::move(done)) {}

  void Start() {
    Read({PlanKey(plan_id_), ""}, [this](const RangeResult& result) {
      const std::optional<Plan> plan = DecodeFirst<Plan>(result);
      if (!plan)
        return Finish(
            ConfirmOutcome::kUnknownPlan, 0,
            "no plan " + plan_id_ + "; plans are kept for an hour: state the intent again");
      plan_ = *plan;
      if (!plan_.refusals.empty())
        return Finish(ConfirmOutcome::kRefused, plan_.base_revision,
                      "the plan has refusals; correct the intent and plan again");
      ReadHead();
    });
  }

 private:
  template <typename Next>
  void Read(KeyRange range, Next next) {
    store_.Range(std::move(range), [self = shared_from_this(),
                                    next](const Outcome<RangeResult>& result) {
      if (!result.ok())
        return self->Finish(ConfirmOutcome::kUnavailable, 0,
                            result.failure().message + "; confirm again, it cannot apply twice");
      try {
        next(result.value());
      } catch (const DecodeError& error) {
        self->Finish(ConfirmOutcome::kUnavailable, 0, error.what());
      }
    });
  }

  void ReadHead() {
    Read({kHeadKey, ""}, [this](const RangeResult& result) {
      const auto head = DecodeFirst<ConfigurationHead>(result);
      const Revision in_force = head ? head->revision : 0;
      if (in_force > plan_.base_revision) return CheckAlreadyConfirmed(in_force);
      if (in_force < plan_.base_revision)
        return Finish(ConfirmOutcome::kStaleBase, in_force,
                      "the service holds an older revision than the plan's base; plan again");
      head_mod_revision_ = head ? result.entries.front().mod_revision : StoreRevision{};
      ReadSnapshot();
    });
  }

  /// The change after the plan's base names the plan that made it.
  void CheckAlreadyConfirmed(Revision in_force) {
    Read({ChangeKey(plan_.base_revision + 1), ""}, [this, in_force](const RangeResult& result) {
      const auto change = DecodeFirst<ConfigurationChange>(result);
      if (change && change->plan_id == plan_id_)
        return Finish(wrote_ ? ConfirmOutcome::kConfirmed : ConfirmOutcome::kAlreadyConfirmed,
                      plan_.base_revision + 1, "");
      Finish(ConfirmOutcome::kStaleBase, in_force,
             "revision " + std::to_string(in_force) +
                 " came into force after this plan was made "
                 "from revision " +
                 std::to_string(plan_.base_revision) + "; plan again");
    });
  }

  void ReadSnapshot() {
    Read({kSnapshotKey, ""}, [this](const RangeResult& result) {
      const auto snapshot = DecodeFirst<ConfigurationSnapshot>(result);
      Write(snapshot ? snapshot->intent : Intent{});
    });
  }

  void Write(const Intent& before) {
    const Revision revision = plan_.base_revision + 1;
    ConfigurationChange change{plan_id_, DiffIntents(before, plan_.intent)};
    change.delta.base = plan_.base_revision;
    change.delta.revision = revision;
    Transaction transaction;
    transaction.comparisons.push_back({kHeadKey, head_mod_revision_});
    auto& operations = transaction.operations;
    operations.emplace_back(PutOperation{kHeadKey, ToJson(ConfigurationHead{revision, plan_id_})});
    operations.emplace_back(
        PutOperation{kSnapshotKey, ToJson(ConfigurationSnapshot{revision, plan_.intent})});
    operations.emplace_back(PutOperation{ChangeKey(revision), ToJson(change)});
    if (revision > kKeptChanges)
      operations.emplace_back(DeleteOperation{ChangeKey(revision - kKeptChanges)});
    wrote_ = true;
    store_.Transact(std::move(transaction), [self = shared_from_this(),
                                             revision](const Outcome<TransactionResult>& result) {
      if (result.ok() && result.value().succeeded)
        return self->Finish(ConfirmOutcome::kConfirmed, revision, "");
      self->OnWriteUnclear(result);
    });
  }

  /// A lost answer or a lost race: what the service holds decides.
  void OnWriteUnclear(const Outcome<TransactionResult>& result) {
    const bool may_have_written = result.ok() || result.failure().fault == PlatformFault::kNoAnswer;
    if (!may_have_written)
      return Finish(ConfirmOutcome::kUnavailable, 0, result.failure().message + "; confirm again");
    if (++attempts_ > kMaxAttempts)
      return Finish(ConfirmOutcome::kUnavailable, 0,
                    "the service does not answer; confirm again, it cannot apply twice");
    ReadHead();
  }

  void Finish(ConfirmOutcome outcome, Revision revision, const std::string& message) {
    done_({outcome, revision, message});
  }

  static constexpr int kMaxAttempts = 3;
  KeyValueStore& store_;
  std::string plan_id_;
  std::function<void(ConfirmResult)> done_;
  Plan plan_;
  StoreRevision head_mod_revision_;
  bool wrote_ = false;
  int attempts_ = 0;
};

void DocumentStore::ConfirmPlan(const std::string& plan_id,
                                std::function<void(ConfirmResult)> done) {
  std::make_shared<Confirmation>(store_, plan_id, std::move(done))->Start();
}

}  // namespace moorfold
