#include "gateway/store_view.h"

#include <algorithm>
#include <unordered_set>

#include "common/boot_clock.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstRetryPause{100};
/// Only a silence of that length can have let entries of living servers lapse.
constexpr milliseconds kOutage{2'000};

std::int64_t MillisecondsBetween(SteadyTime from, SteadyTime to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Of the longest time between two reads: an answer that takes as long is worth a line. It is more
/// than the store holds a read of changes without news.
constexpr double kLateReadShare = 0.5;

/// All keys: every key begins with the empty text.
KeyRange AllKeys() { return {"", "\xff"}; }

/// @return about how many bytes an entry takes in an answer.
double BytesOf(const KeyValue& entry) {
  constexpr double kNamesAndNumbers = 80;      ///< Of fields around key and value.
  constexpr double kEncodedShare = 4.0 / 3.0;  ///< Values are bytes, sent as base64.
  return kNamesAndNumbers + static_cast<double>(entry.key.size()) +
         kEncodedShare * static_cast<double>(entry.value.size());
}

double BytesOf(const std::vector<KeyValue>& entries) {
  double bytes = 0;
  for (const KeyValue& entry : entries) bytes += BytesOf(entry);
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
      retry_pause_(kFirstRetryPause) {}

void StoreView::Start(std::string own_key, OwnKeys::Handler own_key_changed,
                      ConfigurationHandler configured) {
  Follow(std::move(own_key), std::move(own_key_changed));
  configured_ = std::move(configured);
  Read();
}

bool StoreView::Decide(const follow::Event& event) {
  const follow::Decision decision = follow::Reduce(settings_, state_, event, BootClock::now());
  state_ = decision.state;
  metrics_.store_revision_known = state_.revision.number;
  DescribeAges();
  return decision.apply;
}

void StoreView::NoteConfigurationUnsure() {
  if (!configuration_unsure_since_) configuration_unsure_since_ = state_.configuration_at;
  DescribeAges();
}

void StoreView::NoteEra(std::int64_t era) {
  Decide(follow::EraTold{era});
  ReadWhenDue();
}

bool StoreView::IsOfEarlierEra(StoreRevision revision) {
  if (revision.era >= state_.revision.era) return false;
  NoteFailure({PlatformFault::kNoAnswer, "the answer is of an earlier era of the store"});
  return true;
}

void StoreView::DescribeAges() {
  const SteadyTime configuration_at = configuration_unsure_since_.value_or(state_.configuration_at);
  const bool newer = view_.servers_current_at < state_.current_at ||
                     view_.configuration_current_at < configuration_at;
  view_.servers_current_at = state_.current_at;
  view_.configuration_current_at = configuration_at;
  view_.configuration_readable = !configuration_unsure_since_;
  if (newer) view_.refreshed.NotifyAll();
}

void StoreView::SetWatching(bool watches) {
  if (watches == state_.watches) return;
  Decide(follow::RoleTaken{watches});
  ReadWhenDue();
}

void StoreView::ReadWhenDue() {
  const SteadyTime due = follow::NextRead(settings_, state_);
  if (due == SteadyTime::max()) return;
  read_timer_.expires_at(due);
  read_timer_.async_wait([this](const boost::system::error_code& error) {
    // What came in the meantime may have put it off.
    if (!error && !state_.reading_since) Read();
  });
}

void StoreView::Read() {
  if (BootClock::now() < follow::NextRead(settings_, state_)) {
    ReadWhenDue();
    return;
  }
  const follow::ReadKind kind = follow::NextReadKind(settings_, state_, BootClock::now());
  known_before_read_ = state_.revision;
  Decide(follow::ReadBegun{kind});
  switch (kind) {
    case follow::ReadKind::kListing:
      if (state_.listed || state_.begun)
        ReadRange(AllKeys(), &StoreView::TakeListing);
      else
        ReadFirstPage();
      break;
    case follow::ReadKind::kChanges:
      ReadChanges();
      break;
    case follow::ReadKind::kServers:
      ReadRange(PrefixRange(protocol_.layout().server_prefix), &StoreView::TakeServers);
      break;
    case follow::ReadKind::kConfiguration:
      ReadRange({protocol_.layout().configuration_key, ""}, &StoreView::TakeConfigurationRead);
      break;
    case follow::ReadKind::kToldConfiguration:
      reading_version_ = told_version_;
      ReadRange({protocol_.layout().configuration_key, ""}, &StoreView::TakeConfigurationRead,
                ReadConsistency::kPossiblyStale);
      break;
  }
}

KeyValueStore::Callback<RangeResult> StoreView::WhenRead(
    void (StoreView::*take)(const RangeResult&), ReadConsistency consistency) {
  read_wanted_ = std::make_shared<ReadWanted>();
  return [this, take, consistency,
          wanted = std::weak_ptr(read_wanted_)](const Outcome<RangeResult>& listing) {
    if (wanted.expired()) return;
    NoteReadTime();
    if (!listing.ok()) {
      NoteFailure(listing.failure());
      return;
    }
    if (IsOfEarlierEra(listing.value().revision)) return;
    NoteContact(BootClock::now());
    if (consistency == ReadConsistency::kLinearizable) NoteRevisionRead(listing.value().revision);
    (this->*take)(listing.value());
    ReadWhenDue();
  };
}

void StoreView::ReadRange(KeyRange range, void (StoreView::*take)(const RangeResult&),
                          ReadConsistency consistency) {
  KeyValueStore::Callback<RangeResult> read = WhenRead(take, consistency);
  store_.RangeWhile([wanted = std::weak_ptr(read_wanted_)] { return !wanted.expired(); },
                    std::move(range), consistency, std::move(read));
}

void StoreView::ReadFirstPage() {
  store_.RangePage(AllKeys(), WhenRead(&StoreView::TakeFirstPage, ReadConsistency::kLinearizable));
}

bool StoreView::HoldsAllButServers(const RangeResult& page) const {
  const std::string& prefix = protocol_.layout().server_prefix;
  const bool servers_last =
      protocol_.layout().configuration_key < prefix && own_keys_.AllBefore(prefix);
  return servers_last && !page.entries.empty() && page.entries.back().key.starts_with(prefix);
}

void StoreView::TakeFirstPage(const RangeResult& page) {
  if (!page.more) {
    TakeListing(page);
    return;
  }
  if (!HoldsAllButServers(page)) {
    ReadRange(AllKeys(), &StoreView::TakeListing);
    return;
  }
  TakeOtherEntries(page);
  Decide(follow::FirstPageEnded{page.revision});
  NoteChanged();
}

void StoreView::TakeListing(const RangeResult& listing) {
  const std::optional<double> change_bytes = ChangesReplacedBy(listing);
  TakeServerEntries(listing);
  TakeOtherEntries(listing);
  Decide(follow::ReadEnded{listing.revision, BytesOf(listing.entries), change_bytes});
  NoteSource(false);
  NoteChanged();
}

void StoreView::TakeOtherEntries(const RangeResult& listing) {
  const std::string& prefix = protocol_.layout().server_prefix;
  std::unordered_set<std::string> listed;
  for (const KeyValue& entry : listing.entries) {
    if (entry.key.starts_with(prefix)) continue;
    listed.insert(entry.key);
    TakeEntry(entry);
  }
  own_keys_.RemoveMissing(listed, listing.revision);
  const bool shown = listed.contains(protocol_.layout().configuration_key);
  if (Version() >= 0 && !shown) NoteConfigurationUnsure();
}

void StoreView::TakeServers(const RangeResult& listing) {
  TakeServerEntries(listing);
  Decide(follow::ReadEnded{listing.revision, BytesOf(listing.entries), std::nullopt});
  NoteSource(false);
  NoteChanged();
}

void StoreView::TakeServerEntries(const RangeResult& listing) {
  const std::string& prefix = protocol_.layout().server_prefix;
  const StoreRevision known = state_.revision;
  listing_new_era_ = state_.listed && listing.revision.era > known.era;
  if (listing_new_era_) servers_.BeginGrace();
  if (state_.listed)
    changes_.NoteListing(known, listing.revision);
  else
    changes_.Restart(listing.revision);
  std::unordered_set<std::string> listed;
  for (const KeyValue& entry : listing.entries) {
    if (!entry.key.starts_with(prefix)) continue;
    listed.insert(entry.key.substr(prefix.size()));
    // Changes up to the revision known were taken over before.
    if (!state_.listed || entry.mod_revision > known) TakeEntry(entry);
  }
  servers_.RemoveMissing(listed, listing.revision);
  listing_new_era_ = false;
}

void StoreView::TakeConfigurationRead(const RangeResult& listing) {
  for (const KeyValue& entry : listing.entries) TakeEntry(entry);
  follow::ReadEnded ended{listing.revision, BytesOf(listing.entries), std::nullopt};
  ended.outdated =
      state_.reading == follow::ReadKind::kToldConfiguration && Version() < reading_version_;
  if (ended.outdated) ++metrics_.stale_configuration_reads;
  Decide(ended);
}

std::int64_t StoreView::Version() const {
  return view_.routes ? view_.routes->configuration().version : -1;
}

std::optional<double> StoreView::ChangesReplacedBy(const RangeResult& listing) const {
  if (listing.revision.era != state_.revision.era) return std::nullopt;
  const std::string& configuration = protocol_.layout().configuration_key;
  double bytes = 0;
  double entries = 0;
  for (const KeyValue& entry : listing.entries) {
    // How many versions lie between is not told: the rate that was measured stands.
    if (entry.key == configuration && entry.mod_revision != configuration_entry_revision_)
      return std::nullopt;
    if (entry.key == configuration) continue;
    bytes += BytesOf(entry);
    ++entries;
  }
  if (entries == 0) return 0;
  const std::int64_t changes = listing.revision.number - state_.revision.number;
  return static_cast<double>(changes) * bytes / entries;
}

/// One watch call: what has changed since, or nothing new for a moment. A watch that went on would
/// answer with each heartbeat of a server.
void StoreView::ReadChanges() {
  watch_ = store_.Watch(
      AllKeys(), state_.revision.Next(), [this](const WatchBatch& batch) { TakeBatch(batch); },
      [this](const PlatformFailure& failure) {
        NoteReadTime();
        NoteFailure(failure);
      });
}

void StoreView::TakeBatch(const WatchBatch& batch) {
  watch_.reset();
  NoteReadTime();
  if (IsOfEarlierEra(batch.revision)) return;
  NoteContact(BootClock::now());
  NoteRevisionRead(batch.revision);
  const StoreRevision known = state_.revision;
  const std::string& prefix = protocol_.layout().server_prefix;
  double bytes = 0;
  for (const WatchEvent& event : batch.events) {
    bytes += BytesOf(event.entry);
    // What a watcher relayed meanwhile is newer than what this read shows.
    const bool older = event.entry.key.starts_with(prefix) && event.entry.mod_revision <= known;
    if (older) continue;
    if (event.deleted)
      TakeRemoval(event.entry.key, event.entry.mod_revision);
    else
      TakeEntry(event.entry);
  }
  changes_.Advance(batch.revision);
  Decide(follow::ReadEnded{batch.revision, bytes, bytes});
  NoteSource(false);
  if (!batch.events.empty()) NoteChanged();
  ReadWhenDue();
}

void StoreView::NoteChanged() {
  metrics_.servers_known = static_cast<std::int64_t>(view_.servers.all().size());
  view_.changed.NotifyAll();
}

void StoreView::NoteSource(bool relayed) {
  if (relayed_ == relayed) return;
  relayed_ = relayed;
  log_.Write(LogRank::kRoutine, EventLine(LogEvent::kStoreSource)
                                    .Field(LogField::kSource, relayed ? "leader" : "store")
                                    .Field(LogField::kRevision, ToString(state_.revision)));
}

void StoreView::NoteRevisionRead(StoreRevision revision) {
  metrics_.store_era = revision.era;
  metrics_.store_revision_read = revision.number;
  const StoreRevision before = known_before_read_;
  const bool back = revision < before || (before.number > 0 && revision.era > before.era);
  if (!back) return;
  ++metrics_.store_went_back;
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kStoreWentBack)
                                    .Field(LogField::kRead, ToString(state_.reading))
                                    .Field(LogField::kBefore, ToString(before))
                                    .Field(LogField::kRevision, ToString(revision)));
}

void StoreView::TakeEntry(const KeyValue& entry) {
  // Readers of moorfold's own keys decide by themselves what follows from a record without sense.
  if (!entry.readable && !own_keys_.Contains(entry.key)) {
    TakeUnreadable(entry, "its value is no text in base 64, or it has no revision");
    return;
  }
  try {
    TakeReadable(entry);
  } catch (const std::exception& error) {
    TakeUnreadable(entry, error.what());
  }
}

void StoreView::TakeReadable(const KeyValue& entry) {
  if (entry.key == protocol_.layout().configuration_key)
    TakeConfiguration(entry);
  else if (entry.key.starts_with(protocol_.layout().server_prefix))
    TakeServer(entry);
  else
    own_keys_.Take(entry);
}

void StoreView::TakeUnreadable(const KeyValue& entry, const std::string& problem) {
  const std::string& prefix = protocol_.layout().server_prefix;
  const bool configuration = entry.key == protocol_.layout().configuration_key;
  const bool server = entry.key.starts_with(prefix);
  if (!configuration && !server && !own_keys_.Contains(entry.key)) return;
  // Listings show an entry again and again: it is told of once.
  const bool told = configuration && configuration_unsure_since_ &&
                    entry.mod_revision == configuration_entry_revision_;
  if (configuration) {
    configuration_entry_revision_ = entry.mod_revision;
    NoteConfigurationUnsure();
  } else if (server) {
    servers_.TakeUnreadable(entry.key.substr(prefix.size()), entry.mod_revision);
  }
  if (told) return;
  ++metrics_.entries_skipped;
  log_.Write(LogRank::kFailure, EventLine(LogEvent::kEntrySkipped)
                                    .Field(LogField::kKey, entry.key)
                                    .Field(LogField::kRevision, ToString(entry.mod_revision))
                                    .Field(LogField::kProblem, problem));
}

void StoreView::TakeConfiguration(const KeyValue& entry) {
  auto configuration =
      std::make_shared<const RoutingConfiguration>(protocol_.ParseConfiguration(entry.value));
  const std::int64_t held = Version();
  configuration_entry_revision_ = entry.mod_revision;
  const bool newer = configuration->version > held;
  if (newer) {
    view_.routes = std::make_shared<const RouteTable>(configuration);
    configuration_text_ = entry.value;
  }
  if (configuration->version < held) {
    // The store shows what was before the version held: none newer is known of until it has it
    // again.
    NoteConfigurationUnsure();
    return;
  }
  configuration_unsure_since_.reset();
  DescribeAges();
  if (!newer) return;
  view_.configured_at = BootClock::now();
  const SteadyTime read_began = state_.reading_since.value_or(view_.configured_at);
  metrics_.configuration_version = configuration->version;
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kConfiguration)
                 .Field(LogField::kVersion, configuration->version)
                 .Field(LogField::kBefore, held)
                 .Field(LogField::kRoutes, configuration->routes.size())
                 .Field(LogField::kReadMs, MillisecondsBetween(read_began, view_.configured_at))
                 .Field(LogField::kConfigurationAgeMs,
                        held < 0 ? 0
                                 : MillisecondsBetween(view_.configuration_current_at,
                                                       view_.configured_at))
                 .Field(LogField::kRevision, ToString(entry.mod_revision)));
  configured_(*configuration);
}

void StoreView::TakeServer(const KeyValue& entry) {
  const std::string id = entry.key.substr(protocol_.layout().server_prefix.size());
  servers_.Put(protocol_.ParseServer(id, entry.value), entry.mod_revision, listing_new_era_);
}

void StoreView::TakeRemoval(const std::string& key, StoreRevision revision) {
  const std::string& prefix = protocol_.layout().server_prefix;
  if (key.starts_with(prefix))
    servers_.TakeRemoval(key.substr(prefix.size()), revision);
  else
    own_keys_.TakeRemoval(key, revision);
}

void StoreView::NoteContact(SteadyTime current_at) {
  const auto silence = current_at - last_contact_;
  // Without a failed read, the ordinary time between two reads is no sign of an outage.
  const auto outage = failed_reads_ > 0 ? kOutage : kOutage + settings_.longest_age;
  if (contacted_ && silence > outage) servers_.BeginGrace();
  if (!in_touch_)
    log_.Write(
        LogRank::kDecision,
        EventLine(LogEvent::kStoreInTouch)
            .Field(LogField::kFailedReads, failed_reads_)
            .Field(LogField::kMs, contacted_ ? MillisecondsBetween(last_contact_, current_at) : 0)
            .Field(LogField::kProblem, last_problem_));
  in_touch_ = true;
  contacted_ = true;
  view_.store_answers = true;
  failed_reads_ = 0;
  last_problem_.clear();
  last_contact_ = std::max(last_contact_, current_at);
  retry_pause_ = kFirstRetryPause;
}

void StoreView::NoteReadTime() {
  const SteadyTime now = BootClock::now();
  const auto taken = now - state_.reading_since.value_or(now);
  metrics_.store_read.Observe(std::chrono::duration<double, std::milli>(taken).count());
  if (taken < settings_.longest_age * kLateReadShare) return;
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kStoreReadLate)
                 .Field(LogField::kRead, ToString(state_.reading))
                 .Field(LogField::kMs, MillisecondsBetween(now - taken, now))
                 .Field(LogField::kConfigurationAgeMs,
                        MillisecondsBetween(view_.configuration_current_at, now)));
}

void StoreView::NoteFailure(const PlatformFailure& failure) {
  watch_.reset();
  view_.store_answers = false;
  view_.refreshed.NotifyAll();
  ++failed_reads_;
  last_problem_ = failure.message;
  metrics_.failed_reads.Add(
      {{"read", ToString(state_.reading)}, {"reason", ToString(failure.fault)}});
  const bool unanswered = failure.fault == PlatformFault::kNoAnswer;
  const bool history_gone = failure.fault == PlatformFault::kRejected;
  Decide(follow::ReadFailed{retry_pause_, unanswered, history_gone});
  const Milliseconds longest = follow::LongestPause(settings_, state_, BootClock::now());
  retry_pause_ =
      retry_pause_ >= settings_.longest_pause ? longest : std::min(longest, retry_pause_ * 2);
  ReadWhenDue();
  if (!in_touch_) return;
  in_touch_ = false;
  log_.Write(LogRank::kFailure,
             EventLine(LogEvent::kStoreLost).Field(LogField::kProblem, failure.message));
}

}  // namespace moorfold
