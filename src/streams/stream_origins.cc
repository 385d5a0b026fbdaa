#include "streams/stream_origins.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "quarantine/fingerprint.h"

namespace moorfold::streams {

namespace {

using std::chrono::milliseconds;

/// Entries in one transaction; the store takes no more.
constexpr std::size_t kMaxEntriesPerWrite = 32;
/// A write whose answer is lost holds up only its own entries.
constexpr std::uint32_t kMaxWritesInFlight = 4;
constexpr std::size_t kMaxOwnStreams = 4'096;
constexpr milliseconds kWriteRetryDelay{100};
/// Age at which a record in use is read again, well before it must not be used any more.
constexpr milliseconds kRecordRefreshAge{30'000};
constexpr milliseconds kRefreshTimeout{5'000};

/// A read in progress. Outlives the coroutine that waits for it.
struct PendingRead {
  explicit PendingRead(const boost::asio::any_io_executor& executor) : done(executor) {}
  std::optional<Outcome<RangeResult>> result;
  AsyncSignal done;
};

std::optional<StreamOrigin> DecodeOrigin(const KeyValue& entry) {
  if (!entry.readable) return std::nullopt;
  try {
    return DecodeMessage<StreamOrigin>(entry.value);
  } catch (const std::exception&) {  // Of another writer: says nothing.
    return std::nullopt;
  }
}

}  // namespace

std::string OriginKey(const std::string& stream) {
  RequestIdentity identity;
  identity.target = kOriginPrefix;
  identity.body = stream;
  return kOriginPrefix + ToString(FingerprintOf(identity));
}

StreamOrigins::StreamOrigins(boost::asio::io_context& context, KeyValueStore& store,
                             StreamOriginCounters& counters, StreamLifetimes lifetimes)
    : context_(context),
      store_(store),
      counters_(counters),
      lifetimes_(lifetimes),
      settled_(context.get_executor()),
      retry_timer_(context) {}

Awaitable<std::optional<Outcome<RangeResult>>> StreamOrigins::Read(KeyRange range, bool first_page,
                                                                   Time until) {
  const auto read = std::make_shared<PendingRead>(context_.get_executor());
  const auto done = [read](const Outcome<RangeResult>& result) {
    read->result = result;
    read->done.NotifyAll();
  };
  if (first_page)
    store_.RangePage(std::move(range), done);
  else
    store_.Range(std::move(range), done);
  while (!read->result && BootClock::now() < until) co_await read->done.Wait(until);
  co_return read->result;
}

bool StreamOrigins::Usable(const std::optional<CachedRecord>& cached) const {
  return cached && cached->record.era == store_.era() &&
         BootClock::now() - cached->read_at < lifetimes_.record;
}

Awaitable<std::optional<ImpliedVersionRecord>> StreamOrigins::ReadRecord(Time until) {
  const Time read_at = BootClock::now();
  KeyRange range{kImpliedVersionKey, ""};
  const std::optional<Outcome<RangeResult>> read = co_await Read(std::move(range), false, until);
  if (!read || !read->ok()) co_return std::nullopt;
  const RangeResult& result = read->value();
  if (result.entries.empty() || !result.entries.front().readable) co_return std::nullopt;
  try {
    auto record = DecodeMessage<ImpliedVersionRecord>(result.entries.front().value);
    if (record.era != result.revision.era) co_return std::nullopt;
    if (!cached_ || cached_->read_at <= read_at) cached_ = CachedRecord{record, read_at};
    co_return record;
  } catch (const std::exception&) {  // Of another writer: the leader replaces it.
    co_return std::nullopt;
  }
}

void StreamOrigins::RefreshRecord() {
  if (refreshing_ || !cached_ || BootClock::now() - cached_->read_at < kRecordRefreshAge) return;
  refreshing_ = true;
  boost::asio::co_spawn(
      context_,
      [this]() -> Awaitable<void> {
        co_await ReadRecord(BootClock::now() + kRefreshTimeout);
        refreshing_ = false;
      },
      boost::asio::detached);
}

std::optional<std::string> StreamOrigins::VersionWithoutEntry(const std::string& service) const {
  if (!Usable(cached_)) return std::nullopt;
  const ImpliedVersion implied = cached_->record.Find(service);
  if (implied.state != ImpliedState::kOpen) return std::nullopt;
  return implied.software_version;
}

Awaitable<bool> StreamOrigins::CanOmitEntry(StreamOrigin origin, Time until) {
  if (Usable(cached_))
    RefreshRecord();
  else
    co_await ReadRecord(until);
  co_return VersionWithoutEntry(origin.service) == origin.software_version;
}

void StreamOrigins::Remember(const std::string& key, const StreamOrigin& origin) {
  own_.emplace(key, origin);
  own_order_.push_back(key);
  if (own_order_.size() <= kMaxOwnStreams) return;
  own_.erase(own_order_.front());
  own_order_.pop_front();
}

Awaitable<bool> StreamOrigins::Record(std::string stream, StreamOrigin origin, bool may_omit,
                                      Time until) {
  const std::string key = OriginKey(stream);
  const auto known = own_.find(key);
  if (known == own_.end())
    Remember(key, origin);
  else if (known->second != origin)
    co_return false;
  if (may_omit && co_await CanOmitEntry(origin, until)) {
    ++counters_.began_implied;
    co_return true;
  }
  const bool entered =
      co_await Enter(key, std::move(origin), until) == PendingEntry::State::kEntered;
  ++(entered ? counters_.entered : counters_.not_entered);
  co_return entered;
}

Awaitable<StreamOrigins::PendingEntry::State> StreamOrigins::Enter(std::string key,
                                                                   StreamOrigin origin,
                                                                   Time until) {
  std::shared_ptr<PendingEntry>& slot = pending_[key];
  if (!slot) {
    slot = std::make_shared<PendingEntry>();
    slot->origin = origin;
    queue_.push_back(key);
  }
  const std::shared_ptr<PendingEntry> entry = slot;
  if (entry->origin != origin) co_return PendingEntry::State::kConflict;
  ++entry->waiters;
  WriteEntries();
  while (entry->state == PendingEntry::State::kWaiting && BootClock::now() < until)
    co_await settled_.Wait(until);
  --entry->waiters;
  co_return entry->state;
}

std::vector<std::string> StreamOrigins::TakeBatch() {
  std::vector<std::string> batch;
  for (const std::string& key : queue_) {
    PendingEntry& entry = *pending_.at(key);
    if (entry.in_flight) continue;
    if (entry.alone && !batch.empty()) break;
    entry.in_flight = true;
    batch.push_back(key);
    if (entry.alone || batch.size() == kMaxEntriesPerWrite) break;
  }
  return batch;
}

void StreamOrigins::WriteEntries() {
  // What nobody waits for any more is not written.
  std::erase_if(queue_, [this](const std::string& key) {
    const PendingEntry& entry = *pending_.at(key);
    const bool unwanted = entry.waiters == 0 && !entry.in_flight;
    if (unwanted) pending_.erase(key);
    return unwanted;
  });
  while (writes_in_flight_ < kMaxWritesInFlight) {
    const std::vector<std::string> keys = TakeBatch();
    if (keys.empty()) return;
    Transaction transaction;
    for (const std::string& key : keys) {
      const StreamOrigin& origin = pending_.at(key)->origin;
      transaction.comparisons.push_back({key, {store_.era(), 0}});
      transaction.operations.emplace_back(PutOperation{key, EncodeMessage(origin), {}});
    }
    ++writes_in_flight_;
    store_.Transact(std::move(transaction), [this, keys](const Outcome<TransactionResult>& result) {
      EndWrite(keys, result);
    });
  }
}

void StreamOrigins::EndWrite(const std::vector<std::string>& keys,
                             const Outcome<TransactionResult>& result) {
  const bool exists = result.ok() && !result.value().succeeded;
  // An entry exists: written by an earlier call without an answer, or for another stream.
  if (exists && keys.size() == 1) {
    ResolveConflict(keys.front());
    return;
  }
  --writes_in_flight_;
  Release(keys);
  if (!result.ok()) {
    WriteLater();
    return;
  }
  for (const std::string& key : keys) {
    if (exists)
      pending_.at(key)->alone = true;
    else
      Settle(key, PendingEntry::State::kEntered);
  }
  WriteEntries();
}

void StreamOrigins::ResolveConflict(const std::string& key) {
  store_.Range({key, ""}, [this, key](const Outcome<RangeResult>& result) {
    --writes_in_flight_;
    Release({key});
    if (!result.ok() || result.value().entries.empty()) {
      WriteLater();
      return;
    }
    const bool same = DecodeOrigin(result.value().entries.front()) == pending_.at(key)->origin;
    Settle(key, same ? PendingEntry::State::kEntered : PendingEntry::State::kConflict);
    WriteEntries();
  });
}

void StreamOrigins::Release(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) pending_.at(key)->in_flight = false;
}

void StreamOrigins::Settle(const std::string& key, PendingEntry::State state) {
  const auto found = pending_.find(key);
  found->second->state = state;
  pending_.erase(found);
  std::erase(queue_, key);
  settled_.NotifyAll();
}

void StreamOrigins::WriteLater() {
  retry_timer_.expires_after(kWriteRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) WriteEntries();
  });
}

OriginAnswer StreamOrigins::Count(OriginAnswer answer) {
  ++(answer.state == OriginState::kKnown     ? counters_.found
     : answer.state == OriginState::kUnknown ? counters_.unknown
                                             : counters_.unavailable);
  return answer;
}

/// A stream without an entry began while its version was implied. A cached record that is open
/// proves which version that is: before another version can be implied, the record is closing for
/// longer than a cached one may be used. A closing one does not.
Awaitable<OriginAnswer> StreamOrigins::FindImplied(std::string service, std::int64_t era,
                                                   Time until) {
  std::optional<ImpliedVersionRecord> record;
  const bool open = VersionWithoutEntry(service).has_value() && cached_->record.era == era;
  if (open)
    record = cached_->record;
  else
    record = co_await ReadRecord(until);
  if (!record) co_return OriginAnswer{OriginState::kStoreUnavailable, {}};
  const ImpliedVersion implied = record->Find(service);
  const bool is_implied =
      implied.state == ImpliedState::kOpen || implied.state == ImpliedState::kClosing;
  if (record->era != era || !is_implied) co_return OriginAnswer{};
  co_return OriginAnswer{OriginState::kKnown, {service, implied.software_version}};
}

Awaitable<OriginAnswer> StreamOrigins::Find(std::string stream, StreamService service, Time until) {
  const std::string key = OriginKey(stream);
  KeyRange range{key, ""};
  const std::optional<Outcome<RangeResult>> read = co_await Read(std::move(range), false, until);
  if (!read || !read->ok()) co_return Count({OriginState::kStoreUnavailable, {}});
  if (!read->value().entries.empty()) {
    const std::optional<StreamOrigin> origin = DecodeOrigin(read->value().entries.front());
    if (!origin) co_return Count({OriginState::kUnknown, {}});
    co_return Count({OriginState::kKnown, *origin});
  }
  if (!service.only) co_return Count({OriginState::kUnknown, {}});
  OriginAnswer implied =
      co_await FindImplied(std::move(service.name), read->value().revision.era, until);
  // A stream that goes on while its version is closing may outlive the record's change.
  const bool outlasts = implied.state == OriginState::kKnown &&
                        !VersionWithoutEntry(implied.origin.service).has_value();
  if (outlasts && co_await Enter(key, implied.origin, until) == PendingEntry::State::kConflict)
    co_return Count({OriginState::kUnknown, {}});
  co_return Count(std::move(implied));
}

Awaitable<OriginAnswer> StreamOrigins::FindUnnamed(StreamService service, Time until) {
  if (!service.only) co_return Count({OriginState::kUnknown, {}});
  KeyRange range = PrefixRange(kOriginPrefix);
  const std::optional<Outcome<RangeResult>> read = co_await Read(std::move(range), true, until);
  if (!read || !read->ok()) co_return Count({OriginState::kStoreUnavailable, {}});
  OriginAnswer implied = co_await FindImplied(service.name, read->value().revision.era, until);
  const std::vector<KeyValue>& entries = read->value().entries;
  const bool all_implied =
      !read->value().more &&
      std::none_of(entries.begin(), entries.end(), [&](const KeyValue& entry) {
        const std::optional<StreamOrigin> origin = DecodeOrigin(entry);
        return !origin || (origin->service == service.name && *origin != implied.origin);
      });
  if (implied.state == OriginState::kKnown && !all_implied) implied = OriginAnswer{};
  co_return Count(std::move(implied));
}

}  // namespace moorfold::streams
