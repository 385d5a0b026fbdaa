#include "streams/stream_version_keeper.h"

#include <algorithm>

#include "streams/stream_origins.h"

namespace moorfold::streams {

namespace {

using std::chrono::milliseconds;

/// Minimum time between two calls; also the delay after a failed one.
constexpr milliseconds kMinCallInterval{1'000};
constexpr milliseconds kSweepInterval{30'000};
/// Interval of sweeps while no entries are expected.
constexpr milliseconds kIdleSweepInterval{300'000};
/// A write without an answer may take effect late, so the record is read again.
constexpr milliseconds kReadInterval{60'000};
/// Operations in one transaction; the store takes no more.
constexpr std::size_t kMaxOperations = 32;

const char* Name(ImpliedState state) {
  switch (state) {
    case ImpliedState::kNone:
      return "none";
    case ImpliedState::kOpen:
      return "open";
    case ImpliedState::kClosing:
      return "closing";
  }
  return "unknown";
}

}  // namespace

StreamVersionKeeper::StreamVersionKeeper(KeyValueStore& store, EventLog& log,
                                         StreamLifetimes lifetimes, Ports ports)
    : store_(store), log_(log), lifetimes_(lifetimes), ports_(std::move(ports)) {}

void StreamVersionKeeper::ProlongLifetimes() {
  constexpr int kTimeoutsPerStream = 4;
  lifetimes_.stream = std::max(lifetimes_.stream, ports_.longest_timeout() * kTimeoutsPerStream);
}

void StreamVersionKeeper::Forget() {
  known_ = false;
  revision_ = {kEraUntold, 0};
  stored_.reset();
  entries_unknown_ = true;
  first_seen_.clear();
  planner_.Reset();
}

void StreamVersionKeeper::Tick() {
  const Time now = BootClock::now();
  if (call_in_flight_) return;
  if (!ports_.leads()) {
    Forget();
    return;
  }
  if (now < next_call_at_) return;
  if (!known_ || revision_.era != store_.era() || now - read_at_ >= kReadInterval) {
    Read();
    return;
  }
  ProlongLifetimes();
  const ServersByVersion servers = ports_.servers();
  const ImpliedVersionRecord planned =
      planner_.Plan(stored_, revision_.era, servers, lifetimes_, now);
  const bool differs = stored_ ? planned != *stored_ : !planned.services.empty();
  if (differs)
    Write(planned);
  else if (SweepDue(servers, now))
    Sweep();
}

void StreamVersionKeeper::Read() {
  call_in_flight_ = true;
  store_.Range({kImpliedVersionKey, ""},
               [this](const Outcome<RangeResult>& result) { TakeRead(result); });
}

void StreamVersionKeeper::TakeRead(const Outcome<RangeResult>& result) {
  call_in_flight_ = false;
  if (!result.ok()) {
    next_call_at_ = BootClock::now() + kMinCallInterval;
    LogProblem(result.failure().message);
    return;
  }
  known_ = true;
  read_at_ = BootClock::now();
  const std::vector<KeyValue>& entries = result.value().entries;
  const StoreRevision read = entries.empty() ? StoreRevision{result.value().revision.era, 0}
                                             : entries.front().mod_revision;
  if (read == revision_) return;
  // What this daemon observed until now may have changed and changed back.
  planner_.Reset();
  revision_ = read;
  stored_.reset();
  if (entries.empty()) return;
  const KeyValue& entry = entries.front();
  try {
    stored_ = DecodeMessage<ImpliedVersionRecord>(entry.value);
  } catch (const std::exception& error) {  // Of another writer: the next write replaces it.
    stored_ = ImpliedVersionRecord{kEraUntold, {}};
    LogProblem(error.what());
  }
}

void StreamVersionKeeper::Write(const ImpliedVersionRecord& planned) {
  Transaction transaction;
  transaction.comparisons.push_back({kImpliedVersionKey, revision_});
  transaction.operations.emplace_back(PutOperation{kImpliedVersionKey, EncodeMessage(planned), {}});
  call_in_flight_ = true;
  store_.Transact(std::move(transaction),
                  [this, planned](const Outcome<TransactionResult>& result) {
                    const bool written = result.ok() && result.value().succeeded;
                    if (written) {
                      LogChanges(planned);
                      stored_ = planned;
                      revision_ = result.value().revision;
                    } else {
                      known_ = false;
                    }
                    EndCall(result);
                  });
}

void StreamVersionKeeper::LogChanges(const ImpliedVersionRecord& planned) {
  for (const ImpliedVersion& implied : planned.services) {
    if (stored_ && stored_->Find(implied.service) == implied) continue;
    log_.Write(LogRank::kDecision,
               EventLine(LogEvent::kStreamVersions)
                   .Field(LogField::kService, implied.service)
                   .Field(LogField::kState, Name(implied.state))
                   .Field(LogField::kSoftwareVersion, implied.software_version));
  }
}

bool StreamVersionKeeper::SweepDue(const ServersByVersion& servers, Time now) const {
  if (now >= swept_at_ + kIdleSweepInterval) return true;
  if (now < swept_at_ + kSweepInterval) return false;
  const bool mixed = std::any_of(servers.begin(), servers.end(),
                                 [](const auto& service) { return service.second.size() > 1; });
  const bool all_open = !stored_ || std::all_of(stored_->services.begin(), stored_->services.end(),
                                                [](const ImpliedVersion& implied) {
                                                  return implied.state == ImpliedState::kOpen;
                                                });
  return mixed || !all_open || entries_unknown_ || !first_seen_.empty();
}

void StreamVersionKeeper::Sweep() {
  call_in_flight_ = true;
  swept_at_ = BootClock::now();
  store_.Range(PrefixRange(kOriginPrefix), [this](const Outcome<RangeResult>& result) {
    if (result.ok()) {
      RemoveEnded(result.value());
      return;
    }
    call_in_flight_ = false;
    LogProblem(result.failure().message);
  });
}

void StreamVersionKeeper::RemoveEnded(const RangeResult& listing) {
  const Time now = BootClock::now();
  std::map<std::string, Time> seen;
  std::vector<std::string> ended;
  for (const KeyValue& entry : listing.entries) {
    const auto found = first_seen_.find(entry.key);
    const Time since = found == first_seen_.end() ? now : found->second;
    if (now - since >= lifetimes_.stream)
      ended.push_back(entry.key);
    else
      seen.emplace(entry.key, since);
  }
  first_seen_ = std::move(seen);
  entries_unknown_ = false;
  RemoveNext(std::move(ended));
}

void StreamVersionKeeper::RemoveNext(std::vector<std::string> ended) {
  if (ended.empty() || !ports_.leads()) {
    call_in_flight_ = false;
    return;
  }
  Transaction transaction;
  while (!ended.empty() && transaction.operations.size() < kMaxOperations) {
    transaction.operations.emplace_back(DeleteOperation{ended.back()});
    ended.pop_back();
  }
  store_.Transact(std::move(transaction), [this, ended = std::move(ended)](
                                              const Outcome<TransactionResult>& result) mutable {
    if (result.ok())
      RemoveNext(std::move(ended));
    else
      EndCall(result);
  });
}

void StreamVersionKeeper::EndCall(const Outcome<TransactionResult>& result) {
  call_in_flight_ = false;
  next_call_at_ = BootClock::now() + kMinCallInterval;
  if (!result.ok())
    LogProblem(result.failure().message);
  else if (!result.value().succeeded)
    LogProblem("the entry was changed by another writer since the last read");
}

void StreamVersionKeeper::LogProblem(const std::string& problem) {
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kStreamVersionsNotStored)
                                     .Field(LogField::kKey, kImpliedVersionKey)
                                     .Field(LogField::kProblem, problem));
}

}  // namespace moorfold::streams
