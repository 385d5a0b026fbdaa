#include "gateway/store_view.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kFirstRetryPause{100};
constexpr milliseconds kLongestRetryPause{500};
/// Only a silence of that length can have let entries of living servers lapse.
constexpr milliseconds kOutage{2'000};
constexpr milliseconds kAfterOutage{2'000};
/// Longer than a heartbeat, well below the bound within which no more may be sent to a lost server.
constexpr milliseconds kRemovalGrace{1'400};

/// All keys: every key begins with the empty text.
KeyRange AllKeys() { return {"", "\xff"}; }

}  // namespace

StoreView::StoreView(boost::asio::io_context& context, KeyValueStore& store,
                     const FleetProtocol& protocol, FleetView& view, GatewayMetrics& metrics,
                     EventLog& log)
    : store_(store),
      protocol_(protocol),
      view_(view),
      metrics_(metrics),
      log_(log),
      retry_(context),
      retry_pause_(kFirstRetryPause),
      removal_timer_(context) {}

void StoreView::Start(std::string own_key, OwnKeyHandler own_key_changed,
                      ConfigurationHandler configured) {
  own_key_ = std::move(own_key);
  own_key_changed_ = std::move(own_key_changed);
  configured_ = std::move(configured);
  List();
}

void StoreView::List() {
  store_.Range(AllKeys(), [this](const Outcome<RangeResult>& listing) {
    if (!listing.ok()) {
      NoteFailure(listing.failure());
      ListLater();
      return;
    }
    NoteContact();
    TakeListing(listing.value());
    StartWatch(listing.value().revision + 1);
  });
}

void StoreView::TakeListing(const RangeResult& listing) {
  std::vector<std::string> servers;
  bool own_key_listed = false;
  const std::string& prefix = protocol_.layout().server_prefix;
  for (const KeyValue& entry : listing.entries) {
    if (entry.key.starts_with(prefix)) servers.push_back(entry.key.substr(prefix.size()));
    own_key_listed = own_key_listed || entry.key == own_key_;
    TakeEntry(entry);
  }
  for (const auto& [id, server] : view_.servers.all())
    if (std::find(servers.begin(), servers.end(), id) == servers.end()) RemoveLater(id);
  if (!own_key_listed) TakeRemoval(own_key_, listing.revision);
  metrics_.servers_known = static_cast<std::int64_t>(view_.servers.all().size());
  view_.changed.NotifyAll();
}

void StoreView::StartWatch(std::int64_t from) {
  watch_ = store_.Watch(
      AllKeys(), from, [this](const WatchBatch& batch) { TakeBatch(batch); },
      [this](const PlatformFailure& failure) {
        NoteFailure(failure);
        ListLater();
      });
}

void StoreView::TakeBatch(const WatchBatch& batch) {
  NoteContact();
  for (const WatchEvent& event : batch.events) {
    if (event.deleted)
      TakeRemoval(event.entry.key, event.entry.mod_revision);
    else
      TakeEntry(event.entry);
  }
  if (batch.events.empty()) return;
  metrics_.servers_known = static_cast<std::int64_t>(view_.servers.all().size());
  view_.changed.NotifyAll();
}

void StoreView::TakeEntry(const KeyValue& entry) {
  try {
    if (entry.key == protocol_.layout().configuration_key)
      TakeConfiguration(entry);
    else if (entry.key.starts_with(protocol_.layout().server_prefix))
      TakeServer(entry);
    else if (entry.key == own_key_)
      TakeOwnKey(entry);
  } catch (const std::exception& error) {
    log_.Write(LogRank::kFailure, EventLine(LogEvent::kEntrySkipped)
                                      .Field(LogField::kKey, entry.key)
                                      .Field(LogField::kRevision, entry.mod_revision)
                                      .Field(LogField::kProblem, error.what()));
  }
}

void StoreView::TakeRemoval(const std::string& key, std::int64_t revision) {
  const std::string& prefix = protocol_.layout().server_prefix;
  if (key.starts_with(prefix)) {
    const std::string id = key.substr(prefix.size());
    if (steady_clock::now() - outage_ended_ < kAfterOutage)
      RemoveLater(id);
    else
      RemoveServer(id, revision);
  } else if (key == own_key_ && revision >= own_key_revision_) {
    own_key_revision_ = revision;
    own_key_changed_(std::nullopt, revision);
  }
}

void StoreView::RemoveServer(const std::string& id, std::int64_t revision) {
  removals_.erase(id);
  if (view_.servers.Find(id) == nullptr) return;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kServerGone)
                                     .Field(LogField::kServer, id)
                                     .Field(LogField::kRevision, revision));
  view_.servers.Remove(id);
}

void StoreView::RemoveLater(const std::string& id) {
  removals_.try_emplace(id, steady_clock::now() + kRemovalGrace);
  removal_timer_.expires_after(kRemovalGrace);
  removal_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) RemoveDue();
  });
}

void StoreView::RemoveDue() {
  const auto now = steady_clock::now();
  std::vector<std::string> due;
  for (const auto& [id, time] : removals_)
    if (time <= now) due.push_back(id);
  for (const std::string& id : due) RemoveServer(id, 0);
}

void StoreView::TakeConfiguration(const KeyValue& entry) {
  auto configuration =
      std::make_shared<const RoutingConfiguration>(protocol_.ParseConfiguration(entry.value));
  const std::int64_t held = view_.routes ? view_.routes->configuration().version : -1;
  if (configuration->version <= held) return;
  view_.routes = std::make_shared<const RouteTable>(configuration);
  view_.configured_at = steady_clock::now();
  metrics_.configuration_version = configuration->version;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kConfiguration)
                                     .Field(LogField::kVersion, configuration->version)
                                     .Field(LogField::kBefore, held)
                                     .Field(LogField::kRoutes, configuration->routes.size())
                                     .Field(LogField::kRevision, entry.mod_revision));
  configured_(*configuration);
}

void StoreView::TakeServer(const KeyValue& entry) {
  const std::string id = entry.key.substr(protocol_.layout().server_prefix.size());
  ServerRecord record = protocol_.ParseServer(id, entry.value);
  const ServerPtr known = view_.servers.Find(id);
  if (known == nullptr || known->record().draining != record.draining)
    log_.Write(LogRank::kDecision,
               EventLine(LogEvent::kServer)
                   .Field(LogField::kServer, id)
                   .Field(LogField::kService, record.service)
                   .Field(LogField::kAddress, ToString(record.endpoint))
                   .Field(LogField::kState, record.draining ? "draining" : "ready")
                   .Field(LogField::kModels, record.models.size())
                   .Field(LogField::kRevision, entry.mod_revision));
  removals_.erase(id);
  view_.servers.Put(std::move(record), steady_clock::now());
}

void StoreView::TakeOwnKey(const KeyValue& entry) {
  if (entry.mod_revision <= own_key_revision_) return;
  own_key_revision_ = entry.mod_revision;
  own_key_changed_(entry, entry.mod_revision);
}

void StoreView::NoteContact() {
  const auto now = steady_clock::now();
  if (contacted_ && now - view_.last_store_contact > kOutage) outage_ended_ = now;
  contacted_ = true;
  view_.last_store_contact = now;
  retry_pause_ = kFirstRetryPause;
  if (in_touch_) return;
  in_touch_ = true;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kStoreInTouch));
}

void StoreView::NoteFailure(const PlatformFailure& failure) {
  if (!in_touch_) return;
  in_touch_ = false;
  log_.Write(LogRank::kFailure,
             EventLine(LogEvent::kStoreLost).Field(LogField::kProblem, failure.message));
}

void StoreView::ListLater() {
  retry_.expires_after(retry_pause_);
  retry_pause_ = std::min(kLongestRetryPause, retry_pause_ * 2);
  retry_.async_wait([this](const boost::system::error_code& error) {
    if (!error) List();
  });
}

}  // namespace moorfold
