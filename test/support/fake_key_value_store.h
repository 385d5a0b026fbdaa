#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/wall_clock.h"
#include "modelled/key_value_table.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// A key-value store in memory with faults at hand. Answers are posted to the context.
class FakeKeyValueStore final : public KeyValueStore {
 public:
  explicit FakeKeyValueStore(boost::asio::io_context& context, KeyValueTable& table)
      : context_(context), table_(table) {}

  bool unreachable = false;
  bool history_gone = false;  ///< Changes cannot be read, what is now can.
  bool lose_answers = false;  ///< Calls are done, their answers do not come.
  bool hold_grants = false;   ///< Leases are granted, their answers come with ReleaseGrants.

  std::size_t page_entries = 0;  ///< Of one page; 0: a page holds all.

  /// Of all keys, answered or not; first pages are no listings.
  std::uint64_t listings() const { return listings_; }
  void RangePage(KeyRange range, Callback<RangeResult> done) override {
    if (page_entries == 0) {
      Range(std::move(range), std::move(done));
      return;
    }
    Answer<RangeResult>(
        [this, range] {
          RangeResult page = table_.Range(range);
          page.more = page.entries.size() > page_entries;
          if (page.more) page.entries.resize(page_entries);
          return page;
        },
        std::move(done));
  }
  void Range(KeyRange range, Callback<RangeResult> done) override {
    if (range.key.empty()) ++listings_;
    Answer<RangeResult>([this, range] { return table_.Range(range); }, std::move(done));
  }
  void Transact(Transaction transaction, Callback<TransactionResult> done) override {
    Answer<TransactionResult>(
        [this, transaction]() -> TransactionResult {
          if (!OfThisEra(transaction)) return {false, {table_.era(), 0}};
          return table_.Transact(transaction);
        },
        std::move(done));
    Deliver();
  }
  void GrantLease(Duration time_to_live, Callback<LeaseId> done) override {
    if (hold_grants) {
      const LeaseId lease = table_.GrantLease(time_to_live, clock_.Now());
      held_grants_.push_back([lease, done] { done(lease); });
      return;
    }
    Answer<LeaseId>([this, time_to_live] { return table_.GrantLease(time_to_live, clock_.Now()); },
                    std::move(done));
  }
  std::int64_t era() const override { return seen_era_; }
  std::size_t held_grants() const { return held_grants_.size(); }
  void ReleaseGrants() {
    hold_grants = false;
    for (const auto& answer : std::exchange(held_grants_, {})) boost::asio::post(context_, answer);
  }
  void KeepLeaseAlive(LeaseId lease, Callback<Duration> done) override {
    const bool stands = lease.era == table_.era() && table_.KeepLeaseAlive(lease, clock_.Now());
    if (!unreachable && !stands) {
      Post<Duration>(PlatformFailure{PlatformFault::kRejected, "no such lease"}, std::move(done));
      return;
    }
    Answer<Duration>([] { return Duration{0}; }, std::move(done));
  }
  void RevokeLease(LeaseId lease, Callback<bool> done) override {
    Answer<bool>([this, lease] { return table_.RevokeLease(lease); }, std::move(done));
    Deliver();
  }
  std::unique_ptr<WatchHandle> Watch(KeyRange range, StoreRevision start, WatchCallback changed,
                                     WatchEndCallback ended) override {
    watch_ = std::make_shared<Watcher>(Watcher{range, start, std::move(changed), std::move(ended)});
    if (history_gone || start.era != table_.era() || !table_.CanWatchFrom(start))
      boost::asio::post(context_, [watcher = watch_] {
        if (watcher->running) watcher->ended({PlatformFault::kRejected, "history is gone"});
      });
    else
      Deliver();
    return std::make_unique<Handle>(watch_);
  }
  /// Ends the watch as a cut connection does.
  void EndWatch() {
    if (!watch_) return;
    const std::shared_ptr<Watcher> ended = std::move(watch_);
    if (!ended->running) return;
    ended->ended({PlatformFault::kNoAnswer, "cut"});
  }
  /// Changes made by others reach the watch.
  void Deliver() {
    if (!watch_ || !watch_->running || unreachable) return;
    table_.ExpireLeases(clock_.Now());
    // All that is new comes in one answer, as from the users' platform.
    WatchBatch all;
    for (const WatchBatch& batch : table_.EventsSince(watch_->range, watch_->next)) {
      all.revision = batch.revision;
      all.events.insert(all.events.end(), batch.events.begin(), batch.events.end());
    }
    if (all.events.empty()) return;
    watch_->next = all.revision.Next();
    boost::asio::post(context_, [watcher = watch_, all] {
      if (watcher->running) watcher->changed(all);
    });
  }

 private:
  struct Watcher {
    KeyRange range;
    StoreRevision next;
    WatchCallback changed;
    WatchEndCallback ended;
    bool running = true;
  };
  /// Its end is the end of the watch.
  class Handle final : public WatchHandle {
   public:
    explicit Handle(std::shared_ptr<Watcher> watcher) : watcher_(std::move(watcher)) {}
    ~Handle() override { watcher_->running = false; }

   private:
    std::shared_ptr<Watcher> watcher_;
  };

  bool OfThisEra(const Transaction& transaction) const {
    const std::int64_t era = table_.era();
    for (const Comparison& comparison : transaction.comparisons)
      if (comparison.mod_revision.era != era) return false;
    for (const Operation& operation : transaction.operations)
      if (const auto* put = std::get_if<PutOperation>(&operation))
        if (put->lease.exists() && put->lease.era != era) return false;
    return true;
  }
  template <typename T>
  void Post(Outcome<T> outcome, Callback<T> done) {
    boost::asio::post(context_, [outcome, done] { done(outcome); });
  }
  template <typename T, typename Call>
  void Answer(Call call, Callback<T> done) {
    if (unreachable) {
      Post<T>(PlatformFailure{PlatformFault::kUnavailable, "unreachable"}, std::move(done));
      return;
    }
    table_.ExpireLeases(clock_.Now());
    seen_era_ = table_.era();
    Outcome<T> outcome = call();
    if (lose_answers) outcome = PlatformFailure{PlatformFault::kNoAnswer, "lost"};
    Post<T>(std::move(outcome), std::move(done));
  }

  boost::asio::io_context& context_;
  KeyValueTable& table_;
  WallClock clock_;
  std::shared_ptr<Watcher> watch_;
  std::uint64_t listings_ = 0;
  std::int64_t seen_era_ = 0;  ///< Of the last answer.
  std::vector<std::function<void()>> held_grants_;
};

}  // namespace moorfold
