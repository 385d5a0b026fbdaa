#include "simulation/simulated_key_value_store.h"

#include <algorithm>

namespace moorfold {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);

PlatformFailure Failure(PlatformFault fault) { return {fault, "simulated key-value service"}; }

class SimulatedWatchHandle : public WatchHandle {
 public:
  explicit SimulatedWatchHandle(std::function<void()> end) : end_(std::move(end)) {}
  ~SimulatedWatchHandle() override { end_(); }

 private:
  std::function<void()> end_;
};

}  // namespace

SimulatedKeyValueService::SimulatedKeyValueService(World& world, KeyValueTraits traits,
                                                   ZoneName zone)
    : world_(world),
      traits_(traits),
      zone_(std::move(zone)),
      tokens_(traits.requests_per_second),
      tokens_at_(world.queue.Now()) {}

bool SimulatedKeyValueService::ReachableFrom(const ZoneName& zone) const {
  return !world_.faults.key_value_down && !world_.Cut(zone, zone_);
}

bool SimulatedKeyValueService::TakeToken() {
  const Timestamp now = world_.queue.Now();
  const double earned = ToSeconds(now - tokens_at_) * traits_.requests_per_second;
  tokens_ = std::min(traits_.requests_per_second, tokens_ + earned);
  tokens_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

Duration SimulatedKeyValueService::Latency() {
  const Duration slow = world_.faults.key_value_delay;
  const Duration extra = slow > Duration{0} ? world_.Exponential(slow) : Duration{0};
  return traits_.latency + extra;
}

TransactionResult SimulatedKeyValueService::Commit(const Transaction& transaction) {
  const TransactionResult result = table_.Transact(transaction);
  if (!result.succeeded) return result;
  if (observer_) observer_(transaction);
  for (auto& [id, watcher] : watchers_) DeliverTo(watcher);
  return result;
}

void SimulatedKeyValueService::DeliverTo(Watcher& watcher) {
  if (!ReachableFrom(watcher.zone)) return;
  for (WatchBatch& batch : table_.EventsSince(watcher.range, watcher.next)) {
    watcher.next = batch.revision.Next();
    world_.queue.After(Latency(), [deliver = watcher.changed, batch = std::move(batch)]() mutable {
      deliver(std::move(batch));
    });
  }
}

void SimulatedKeyValueService::BreakWatches() {
  std::map<std::uint64_t, Watcher> broken = std::move(watchers_);
  watchers_.clear();
  for (auto& [id, watcher] : broken) watcher.ended(Failure(PlatformFault::kUnavailable));
}

SimulatedKeyValueStore::SimulatedKeyValueStore(SimulatedKeyValueService& service,
                                               const Process& process, ZoneName zone)
    : service_(service), process_(process), zone_(std::move(zone)) {}

template <typename T>
void SimulatedKeyValueStore::Call(bool write, std::function<Outcome<T>()> execute,
                                  Callback<T> done) {
  EventQueue& queue = service_.world().queue;
  auto reply = process_.Gate(std::move(done));
  ++(write ? service_.writes : service_.reads);
  if (!service_.ReachableFrom(zone_))
    return queue.After(kCallTimeout,
                       [reply] { reply(Outcome<T>(Failure(PlatformFault::kUnavailable))); });
  const Duration latency = service_.Latency();
  const Timestamp gives_up = queue.Now() + kCallTimeout;
  if (!service_.TakeToken())
    return queue.After(latency,
                       [reply] { reply(Outcome<T>(Failure(PlatformFault::kRateLimited))); });
  // The daemon may end while its call is under way: nothing below touches this object.
  queue.After(latency / 2, [&service = service_, zone = zone_, write, execute = std::move(execute),
                            reply, latency, gives_up] {
    EventQueue& events = service.world().queue;
    const auto unanswered = [reply] { reply(Outcome<T>(Failure(PlatformFault::kNoAnswer))); };
    if (!service.ReachableFrom(zone)) return events.At(gives_up, unanswered);
    const Outcome<T> outcome = execute();
    std::uint32_t& lost = service.world().faults.lost_answers;
    if (write && lost > 0) {
      --lost;
      return events.At(gives_up, unanswered);
    }
    const Timestamp answered = events.Now() + latency / 2;
    if (answered > gives_up) return events.At(gives_up, unanswered);
    events.At(answered, [reply, outcome] { reply(outcome); });
  });
}

void SimulatedKeyValueStore::Range(KeyRange range, Callback<RangeResult> done) {
  Call<RangeResult>(
      false,
      [&service = service_, range = std::move(range)] {
        service.table().ExpireLeases(service.world().queue.Now());
        return Outcome<RangeResult>(service.table().Range(range));
      },
      std::move(done));
}

void SimulatedKeyValueStore::Transact(Transaction transaction, Callback<TransactionResult> done) {
  Call<TransactionResult>(
      true,
      [&service = service_, transaction = std::move(transaction)] {
        service.table().ExpireLeases(service.world().queue.Now());
        return Outcome<TransactionResult>(service.Commit(transaction));
      },
      std::move(done));
}

void SimulatedKeyValueStore::GrantLease(Duration time_to_live, Callback<LeaseId> done) {
  Call<LeaseId>(
      true,
      [&service = service_, time_to_live] {
        const Timestamp now = service.world().queue.Now();
        return Outcome<LeaseId>(service.table().GrantLease(time_to_live, now));
      },
      std::move(done));
}

void SimulatedKeyValueStore::KeepLeaseAlive(LeaseId lease, Callback<Duration> done) {
  Call<Duration>(
      true,
      [&service = service_, lease]() -> Outcome<Duration> {
        const Timestamp now = service.world().queue.Now();
        const std::optional<Duration> granted = service.table().KeepLeaseAlive(lease, now);
        if (!granted) return Failure(PlatformFault::kRejected);
        return *granted;
      },
      std::move(done));
}

void SimulatedKeyValueStore::RevokeLease(LeaseId lease, Callback<bool> done) {
  Call<bool>(
      true,
      [&service = service_, lease]() -> Outcome<bool> {
        if (!service.table().RevokeLease(lease)) return Failure(PlatformFault::kRejected);
        return true;
      },
      std::move(done));
}

std::unique_ptr<WatchHandle> SimulatedKeyValueStore::Watch(KeyRange range, StoreRevision start,
                                                           WatchCallback changed,
                                                           WatchEndCallback ended) {
  const std::uint64_t id = service_.next_watcher_++;
  EventQueue& queue = service_.world().queue;
  auto end = process_.Gate(std::move(ended));
  if (!service_.ReachableFrom(zone_)) {
    queue.After(kCallTimeout, [end] { end(Failure(PlatformFault::kUnavailable)); });
    return std::make_unique<SimulatedWatchHandle>([] {});
  }
  SimulatedKeyValueService::Watcher watcher;
  watcher.range = std::move(range);
  watcher.next = start.number == 0 ? service_.table().revision().Next() : start;
  watcher.zone = zone_;
  // A destroyed handle ends deliveries under way, too.
  const auto open = std::make_shared<bool>(true);
  watcher.changed =
      [open, gate = process_.Gate([open, changed = std::move(changed)](const WatchBatch& batch) {
        if (*open) changed(batch);
      })](WatchBatch batch) { gate(std::move(batch)); };
  watcher.ended = [&queue, end](PlatformFailure failure) {
    queue.After(Duration{0}, [end, failure = std::move(failure)] { end(failure); });
  };
  SimulatedKeyValueService& service = service_;
  const auto added = service.watchers_.emplace(id, std::move(watcher)).first;
  service.DeliverTo(added->second);
  return std::make_unique<SimulatedWatchHandle>([&service, id, open] {
    *open = false;
    service.watchers_.erase(id);
  });
}

}  // namespace moorfold
