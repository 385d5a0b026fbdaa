#include "gateway/store_view.h"

#include <algorithm>
#include <unordered_set>

#include "common/boot_clock.h"
#include "gateway/server_record_check.h"
#include "streams/stream_origins.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialRetryDelay{100};
/// Entries of running servers can only have expired if the store was unreachable for at least this
/// long.
constexpr milliseconds kMinOutage{2'000};

std::int64_t MillisecondsBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// A read that takes longer than this fraction of the longest time between two reads is logged. It
/// is longer than the time for which the store holds open a read of changes that has none to
/// report.
constexpr double kSlowReadFraction = 0.5;

/// @return the range of all keys that this daemon follows; those of streams sort after them.
KeyRange AllKeys() { return {"", streams::kOriginPrefix}; }

/// @return the approximate size of an entry in a response, in bytes.
double EncodedSize(const KeyValue& entry) {
  constexpr double kFieldOverhead = 80;           ///< Field names and numbers around key and value.
  constexpr double kBase64Expansion = 4.0 / 3.0;  ///< Values are sent as base64.
  return kFieldOverhead + static_cast<double>(entry.key.size()) +
         kBase64Expansion * static_cast<double>(entry.value.size());
}

double EncodedSize(const std::vector<KeyValue>& entries) {
  double bytes = 0;
  for (const KeyValue& entry : entries) bytes += EncodedSize(entry);
  return bytes;
}

}  // namespace

StoreView::StoreView(boost::asio::io_context& context, KeyValueStore& store,
                     const FleetProtocol& protocol, FleetView& view, GatewayMetrics& metrics,
                     EventLog& log, follow::Settings settings)
    : store_(store),
      protocol_(protocol),
      view_(view),
      metrics_(metrics),
      log_(log),
      servers_(context, view, metrics, log, changes_),
      settings_(settings),
      read_timer_(context),
      retry_delay_(kInitialRetryDelay) {}

void StoreView::Start(std::string internal_key, InternalKeys::Handler internal_key_changed,
                      ConfigurationHandler configured) {
  Subscribe(std::move(internal_key), std::move(internal_key_changed));
  configuration_handler_ = std::move(configured);
  Read();
}

bool StoreView::ApplyEvent(const follow::Event& event) {
  const follow::Decision decision = follow::Reduce(settings_, state_, event, BootClock::now());
  state_ = decision.state;
  metrics_.store_revision_known = state_.revision.number;
  PublishAges();
  return decision.apply;
}

void StoreView::MarkConfigurationUncertain() {
  if (!configuration_uncertain_since_) configuration_uncertain_since_ = state_.configuration_at;
  PublishAges();
}

void StoreView::ObserveEra(std::int64_t era) {
  ApplyEvent(follow::EraObserved{era});
  ScheduleRead();
}

bool StoreView::RejectEarlierEra(StoreRevision revision) {
  if (revision.era >= state_.revision.era) return false;
  RecordReadFailure({PlatformFault::kNoAnswer, "the response is from an earlier era of the store"});
  return true;
}

void StoreView::PublishAges() {
  const SteadyTime configuration_at =
      configuration_uncertain_since_.value_or(state_.configuration_at);
  const bool newer = view_.servers_current_at < state_.current_at ||
                     view_.configuration_current_at < configuration_at;
  view_.servers_current_at = state_.current_at;
  view_.configuration_current_at = configuration_at;
  view_.configuration_readable = !configuration_uncertain_since_;
  if (newer) view_.refreshed.NotifyAll();
}

void StoreView::SetWatching(bool watches) {
  if (watches == state_.watches) return;
  ApplyEvent(follow::RoleChanged{watches});
  ScheduleRead();
}

void StoreView::ScheduleRead() {
  const SteadyTime due = follow::NextRead(settings_, state_);
  if (due == SteadyTime::max()) return;
  read_timer_.expires_at(due);
  read_timer_.async_wait([this](const boost::system::error_code& error) {
    // Events since the timer was set may have postponed the read.
    if (!error && !state_.reading_since) Read();
  });
}

void StoreView::Read() {
  if (BootClock::now() < follow::NextRead(settings_, state_)) {
    ScheduleRead();
    return;
  }
  const follow::ReadKind kind = follow::NextReadKind(settings_, state_, BootClock::now());
  revision_before_read_ = state_.revision;
  ApplyEvent(follow::ReadBegun{kind});
  switch (kind) {
    case follow::ReadKind::kListing:
      if (state_.listed || state_.first_page_applied)
        ReadRange(AllKeys(), &StoreView::ApplyListing);
      else
        ReadFirstPage();
      break;
    case follow::ReadKind::kChanges:
      ReadChanges();
      break;
    case follow::ReadKind::kServers:
      ReadRange(PrefixRange(protocol_.layout().server_prefix), &StoreView::ApplyServers);
      break;
    case follow::ReadKind::kConfiguration:
      ReadRange({protocol_.layout().configuration_key, ""}, &StoreView::ApplyConfigurationRead);
      break;
    case follow::ReadKind::kAnnouncedConfiguration:
      expected_version_ = announced_version_;
      ReadRange({protocol_.layout().configuration_key, ""}, &StoreView::ApplyConfigurationRead,
                ReadConsistency::kPossiblyStale);
      break;
  }
}

KeyValueStore::Callback<RangeResult> StoreView::MakeReadCallback(
    void (StoreView::*apply_result)(const RangeResult&), ReadConsistency consistency) {
  active_read_ = std::make_shared<ActiveRead>();
  return [this, apply_result, consistency,
          wanted = std::weak_ptr(active_read_)](const Outcome<RangeResult>& listing) {
    if (wanted.expired()) return;
    RecordReadTime();
    if (!listing.ok()) {
      RecordReadFailure(listing.failure());
      return;
    }
    if (RejectEarlierEra(listing.value().revision)) return;
    RecordContact(BootClock::now());
    if (consistency == ReadConsistency::kLinearizable) CheckRevisionRead(listing.value().revision);
    (this->*apply_result)(listing.value());
    ScheduleRead();
  };
}

void StoreView::ReadRange(KeyRange range, void (StoreView::*apply_result)(const RangeResult&),
                          ReadConsistency consistency) {
  KeyValueStore::Callback<RangeResult> read = MakeReadCallback(apply_result, consistency);
  store_.RangeWhile([wanted = std::weak_ptr(active_read_)] { return !wanted.expired(); },
                    std::move(range), consistency, std::move(read));
}

void StoreView::ReadFirstPage() {
  store_.RangePage(AllKeys(),
                   MakeReadCallback(&StoreView::ApplyFirstPage, ReadConsistency::kLinearizable));
}

bool StoreView::OnlyServersFollow(const RangeResult& page) const {
  const std::string& prefix = protocol_.layout().server_prefix;
  const bool servers_last =
      protocol_.layout().configuration_key < prefix && internal_keys_.AllBefore(prefix);
  return servers_last && !page.entries.empty() && page.entries.back().key.starts_with(prefix);
}

void StoreView::ApplyFirstPage(const RangeResult& page) {
  if (!page.more) {
    ApplyListing(page);
    return;
  }
  if (!OnlyServersFollow(page)) {
    ReadRange(AllKeys(), &StoreView::ApplyListing);
    return;
  }
  ApplyOtherEntries(page);
  ApplyEvent(follow::FirstPageEnded{page.revision});
  NotifyChanged();
}

void StoreView::ApplyListing(const RangeResult& listing) {
  const std::optional<double> change_bytes = EstimateChangeBytes(listing);
  ApplyServerEntries(listing);
  ApplyOtherEntries(listing);
  ApplyEvent(follow::ReadEnded{listing.revision, EncodedSize(listing.entries), change_bytes});
  LogSourceChange(false);
  NotifyChanged();
}

void StoreView::ApplyOtherEntries(const RangeResult& listing) {
  const std::string& prefix = protocol_.layout().server_prefix;
  std::unordered_set<std::string> listed;
  for (const KeyValue& entry : listing.entries) {
    if (entry.key.starts_with(prefix)) continue;
    listed.insert(entry.key);
    ApplyEntry(entry);
  }
  internal_keys_.RemoveMissing(listed, listing.revision);
  const bool configuration_listed = listed.contains(protocol_.layout().configuration_key);
  if (Version() >= 0 && !configuration_listed) MarkConfigurationUncertain();
}

void StoreView::ApplyServers(const RangeResult& listing) {
  ApplyServerEntries(listing);
  ApplyEvent(follow::ReadEnded{listing.revision, EncodedSize(listing.entries), std::nullopt});
  LogSourceChange(false);
  NotifyChanged();
}

void StoreView::ApplyServerEntries(const RangeResult& listing) {
  const std::string& prefix = protocol_.layout().server_prefix;
  const StoreRevision known = state_.revision;
  listing_new_era_ = state_.listed && listing.revision.era > known.era;
  if (listing_new_era_) servers_.BeginGracePeriod();
  if (state_.listed)
    changes_.RecordListing(known, listing.revision);
  else
    changes_.Restart(listing.revision);
  std::unordered_set<std::string> listed;
  for (const KeyValue& entry : listing.entries) {
    if (!entry.key.starts_with(prefix)) continue;
    listed.insert(entry.key.substr(prefix.size()));
    // Changes up to the known revision were applied before.
    if (!state_.listed || entry.mod_revision > known) ApplyEntry(entry);
  }
  servers_.RemoveMissing(listed, listing.revision);
  listing_new_era_ = false;
}

void StoreView::ApplyConfigurationRead(const RangeResult& listing) {
  for (const KeyValue& entry : listing.entries) ApplyEntry(entry);
  follow::ReadEnded ended{listing.revision, EncodedSize(listing.entries), std::nullopt};
  ended.outdated =
      state_.reading == follow::ReadKind::kAnnouncedConfiguration && Version() < expected_version_;
  if (ended.outdated) ++metrics_.stale_configuration_reads;
  ApplyEvent(ended);
}

std::int64_t StoreView::Version() const {
  return view_.routes ? view_.routes->configuration().version : -1;
}

std::optional<double> StoreView::EstimateChangeBytes(const RangeResult& listing) const {
  if (listing.revision.era != state_.revision.era) return std::nullopt;
  const std::string& configuration = protocol_.layout().configuration_key;
  double bytes = 0;
  double entries = 0;
  for (const KeyValue& entry : listing.entries) {
    // The number of configuration versions in between is unknown, so the rate measured before is
    // kept.
    if (entry.key == configuration && entry.mod_revision != configuration_entry_revision_)
      return std::nullopt;
    if (entry.key == configuration) continue;
    bytes += EncodedSize(entry);
    ++entries;
  }
  if (entries == 0) return 0;
  const std::int64_t changes = listing.revision.number - state_.revision.number;
  return static_cast<double>(changes) * bytes / entries;
}

/// Makes one short watch call, which returns the changes since the known revision or, after a short
/// wait, none. A long-lived watch would return an event for each heartbeat of a server.
void StoreView::ReadChanges() {
  watch_ = store_.Watch(
      AllKeys(), state_.revision.Next(),
      [this](const WatchBatch& batch) { ApplyWatchBatch(batch); },
      [this](const PlatformFailure& failure) {
        RecordReadTime();
        RecordReadFailure(failure);
      });
}

void StoreView::ApplyWatchBatch(const WatchBatch& batch) {
  watch_.reset();
  RecordReadTime();
  if (RejectEarlierEra(batch.revision)) return;
  RecordContact(BootClock::now());
  CheckRevisionRead(batch.revision);
  const StoreRevision known = state_.revision;
  const std::string& prefix = protocol_.layout().server_prefix;
  double bytes = 0;
  for (const WatchEvent& event : batch.events) {
    bytes += EncodedSize(event.entry);
    // Changes that were relayed during the read are newer than what it returns.
    const bool older = event.entry.key.starts_with(prefix) && event.entry.mod_revision <= known;
    if (older) continue;
    if (event.deleted)
      ApplyRemoval(event.entry.key, event.entry.mod_revision);
    else
      ApplyEntry(event.entry);
  }
  changes_.Advance(batch.revision);
  ApplyEvent(follow::ReadEnded{batch.revision, bytes, bytes});
  LogSourceChange(false);
  if (!batch.events.empty()) NotifyChanged();
  ScheduleRead();
}

void StoreView::NotifyChanged() {
  metrics_.servers_known = static_cast<std::int64_t>(view_.servers.all().size());
  view_.changed.NotifyAll();
}

void StoreView::LogSourceChange(bool relayed) {
  if (last_update_relayed_ == relayed) return;
  last_update_relayed_ = relayed;
  log_.Write(LogRank::kRoutine, EventLine(LogEvent::kStoreSource)
                                    .Field(LogField::kSource, relayed ? "leader" : "store")
                                    .Field(LogField::kRevision, ToString(state_.revision)));
}

void StoreView::CheckRevisionRead(StoreRevision revision) {
  metrics_.store_era = revision.era;
  metrics_.store_revision_read = revision.number;
  const StoreRevision before = revision_before_read_;
  const bool went_back = revision < before || (before.number > 0 && revision.era > before.era);
  if (!went_back) return;
  ++metrics_.store_went_back;
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kStoreWentBack)
                                    .Field(LogField::kRead, ToString(state_.reading))
                                    .Field(LogField::kBefore, ToString(before))
                                    .Field(LogField::kRevision, ToString(revision)));
}

void StoreView::ApplyEntry(const KeyValue& entry) {
  // Handlers of internal keys decide themselves how to treat an invalid value.
  if (!entry.readable && !internal_keys_.Contains(entry.key)) {
    ApplyUnreadable(entry, "the value is not valid base64, or the revision is missing");
    return;
  }
  try {
    ApplyReadable(entry);
  } catch (const std::exception& error) {
    ApplyUnreadable(entry, error.what());
  }
}

void StoreView::ApplyReadable(const KeyValue& entry) {
  if (entry.key == protocol_.layout().configuration_key)
    ApplyConfiguration(entry);
  else if (entry.key.starts_with(protocol_.layout().server_prefix))
    ApplyServer(entry);
  else
    internal_keys_.Apply(entry);
}

void StoreView::ApplyUnreadable(const KeyValue& entry, const std::string& problem) {
  const std::string& prefix = protocol_.layout().server_prefix;
  const bool configuration = entry.key == protocol_.layout().configuration_key;
  const bool server = entry.key.starts_with(prefix);
  if (!configuration && !server && !internal_keys_.Contains(entry.key)) return;
  // Each listing returns the entry again, but it is reported only once.
  const bool already_reported = configuration && configuration_uncertain_since_ &&
                                entry.mod_revision == configuration_entry_revision_;
  if (configuration) {
    configuration_entry_revision_ = entry.mod_revision;
    MarkConfigurationUncertain();
  } else if (server) {
    servers_.ApplyUnreadable(entry.key.substr(prefix.size()), entry.mod_revision);
  }
  if (already_reported) return;
  ++metrics_.entries_skipped;
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kEntrySkipped)
                                    .Field(LogField::kKey, entry.key)
                                    .Field(LogField::kRevision, ToString(entry.mod_revision))
                                    .Field(LogField::kProblem, problem));
}

void StoreView::ApplyConfiguration(const KeyValue& entry) {
  auto configuration =
      std::make_shared<const RoutingConfiguration>(protocol_.ParseConfiguration(entry.value));
  const std::int64_t current_version = Version();
  configuration_entry_revision_ = entry.mod_revision;
  const bool newer = configuration->version > current_version;
  if (newer) {
    view_.routes = std::make_shared<const RouteTable>(configuration);
    configuration_bytes_ = entry.value;
  }
  if (configuration->version < current_version) {
    // The store holds an older version than the one in use, which is therefore not known to be the
    // newest until the store has it again.
    MarkConfigurationUncertain();
    return;
  }
  configuration_uncertain_since_.reset();
  PublishAges();
  if (!newer) return;
  view_.configured_at = BootClock::now();
  const SteadyTime read_began = state_.reading_since.value_or(view_.configured_at);
  metrics_.configuration_version = configuration->version;
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kConfiguration)
                 .Field(LogField::kVersion, configuration->version)
                 .Field(LogField::kBefore, current_version)
                 .Field(LogField::kRoutes, configuration->routes.size())
                 .Field(LogField::kReadMs, MillisecondsBetween(read_began, view_.configured_at))
                 .Field(LogField::kConfigurationAgeMs,
                        current_version < 0 ? 0
                                            : MillisecondsBetween(view_.configuration_current_at,
                                                                  view_.configured_at))
                 .Field(LogField::kRevision, ToString(entry.mod_revision)));
  configuration_handler_(*configuration);
}

void StoreView::ApplyServer(const KeyValue& entry) {
  const std::string id = entry.key.substr(protocol_.layout().server_prefix.size());
  ServerRecord record = protocol_.ParseServer(id, entry.value);
  CheckServerRecord(record);
  servers_.Put(std::move(record), entry.mod_revision, listing_new_era_);
}

void StoreView::ApplyRemoval(const std::string& key, StoreRevision revision) {
  const std::string& prefix = protocol_.layout().server_prefix;
  if (key.starts_with(prefix))
    servers_.ApplyRemoval(key.substr(prefix.size()), revision);
  else
    internal_keys_.ApplyRemoval(key, revision);
}

void StoreView::RecordContact(SteadyTime current_at) {
  const auto contact_gap = current_at - last_contact_;
  // Without a failed read, the usual time between two reads does not indicate an outage.
  const auto outage = failed_reads_ > 0 ? kMinOutage : kMinOutage + settings_.max_age;
  if (ever_connected_ && contact_gap > outage) servers_.BeginGracePeriod();
  if (!store_connected_)
    log_.Write(LogRank::kDecision,
               EventLine(LogEvent::kStoreInTouch)
                   .Field(LogField::kFailedReads, failed_reads_)
                   .Field(LogField::kMs,
                          ever_connected_ ? MillisecondsBetween(last_contact_, current_at) : 0)
                   .Field(LogField::kProblem, last_error_));
  store_connected_ = true;
  ever_connected_ = true;
  view_.store_reachable = true;
  failed_reads_ = 0;
  last_error_.clear();
  last_contact_ = std::max(last_contact_, current_at);
  retry_delay_ = kInitialRetryDelay;
}

void StoreView::RecordReadTime() {
  const SteadyTime now = BootClock::now();
  const auto taken = now - state_.reading_since.value_or(now);
  metrics_.store_read.Observe(std::chrono::duration<double, std::milli>(taken).count());
  if (taken < settings_.max_age * kSlowReadFraction) return;
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kStoreReadLate)
                 .Field(LogField::kRead, ToString(state_.reading))
                 .Field(LogField::kMs, MillisecondsBetween(now - taken, now))
                 .Field(LogField::kConfigurationAgeMs,
                        MillisecondsBetween(view_.configuration_current_at, now)));
}

void StoreView::RecordReadFailure(const PlatformFailure& failure) {
  watch_.reset();
  view_.store_reachable = false;
  view_.refreshed.NotifyAll();
  ++failed_reads_;
  last_error_ = failure.message;
  metrics_.failed_reads.Add(
      {{"read", ToString(state_.reading)}, {"reason", ToString(failure.fault)}});
  const bool unanswered = failure.fault == PlatformFault::kNoAnswer;
  const bool history_gone = failure.fault == PlatformFault::kRejected;
  ApplyEvent(follow::ReadFailed{retry_delay_, unanswered, history_gone});
  const Milliseconds longest = follow::MaxRetryDelay(settings_, state_, BootClock::now());
  retry_delay_ =
      retry_delay_ >= settings_.max_retry_delay ? longest : std::min(longest, retry_delay_ * 2);
  ScheduleRead();
  if (!store_connected_) return;
  store_connected_ = false;
  log_.Write(LogRank::kFailure,
             EventLine(LogEvent::kStoreLost).Field(LogField::kProblem, failure.message));
}

}  // namespace moorfold
