// The part of StoreView that exchanges questions and answers with other daemons; store_view.cc
// reads the store.

#include <algorithm>
#include <unordered_set>

#include "common/boot_clock.h"
#include "gateway/server_record_check.h"
#include "gateway/servers_page.h"
#include "gateway/store_view.h"
#include "relay/change_answer.h"

namespace moorfold {

namespace {

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace

std::optional<ChangeRequest> StoreView::MakeChangeQuestion() const {
  if (!state_.listed) return std::nullopt;
  return ChangeRequest{Microseconds(BootClock::now().time_since_epoch()), state_.revision};
}

ChangeAnswer StoreView::MakeChangeAnswer(const ChangeRequest& question, std::uint32_t daemons,
                                         bool parts) const {
  ChangeAnswer answer;
  answer.asked_at_us = question.asked_at_us;
  answer.daemons = daemons;
  // A follower treats the version in the answer as the newest as of the revision in the answer. A
  // question without an era comes from a daemon that cannot judge the validity of an answer, so it
  // is declined and that daemon reads the store itself.
  const bool era_supported = question.revision.era != kEraUntold;
  answer.relays = era_supported && CanServe();
  if (!answer.relays) return answer;
  const SteadyTime current_at = std::min(state_.current_at, view_.configuration_current_at);
  answer.age_us = Microseconds(BootClock::now() - current_at);
  answer.configuration_version = Version();
  answer.from_revision = question.revision;
  const auto find_record = [this](const std::string& id) -> const ServerRecord* {
    const ServerPtr server = view_.servers.Find(id);
    return server ? &server->record() : nullptr;
  };
  FillChanges(answer, changes_, find_record, parts);
  return answer;
}

void StoreView::SetRelays(bool named) {
  const bool reading = state_.reading_since.has_value();
  ApplyEvent(follow::RelaysChanged{named});
  if (reading && !state_.reading_since) active_read_.reset();
  ScheduleRead();
}

std::optional<ServersRequest> StoreView::NextServersQuestion() {
  const bool wanted = follow::WantsServers(state_);
  if (!wanted) snapshot_.Stop();
  if (wanted && !snapshot_.running()) snapshot_.Begin();
  return snapshot_.Due(BootClock::now());
}

ServersPage StoreView::MakeServersPage(const ServersRequest& question) const {
  ServersPage page;
  page.asked_at_us = question.asked_at_us;
  page.after = question.after;
  page.relays = CanServe();
  if (!page.relays) return page;
  FillServersPage(page, view_.servers);
  page.revision = state_.revision;
  const SteadyTime current_at = std::min(state_.current_at, view_.configuration_current_at);
  page.age_us = Microseconds(BootClock::now() - current_at);
  page.configuration_version = Version();
  return page;
}

SnapshotReader::PageResult StoreView::ApplyServersPage(const ServersPage& page,
                                                       const std::string& from) {
  using PageResult = SnapshotReader::PageResult;
  const PageResult taken = snapshot_.Take(page, from);
  if (taken == PageResult::kIgnored || taken == PageResult::kDeclined) return taken;
  // A known server within the page's range of ids that the page does not list has been removed.
  std::unordered_set<std::string> named;
  for (ServerChange server : page.servers) {
    named.insert(server.record.id);
    server.revision = page.revision;  // The exact revision is unknown; it is not higher than this.
    ApplyServerChange(server);
  }
  std::vector<std::string> missing;
  const ServerDirectory::ById& all = view_.servers.all();
  const auto end = page.more ? all.upper_bound(page.last) : all.end();
  for (auto known = all.upper_bound(page.after); known != end; ++known)
    if (!named.contains(known->first)) missing.push_back(known->first);
  for (const std::string& id : missing) servers_.ApplyRemoval(id, page.revision);
  const bool newer = page.configuration_version > Version();
  if (newer) announced_version_ = page.configuration_version;
  const SteadyTime asked_at{std::chrono::microseconds(page.asked_at_us)};
  const std::chrono::microseconds age{std::max<std::int64_t>(0, page.age_us)};
  ApplyEvent(follow::ServersPageTaken{page.revision, newer, asked_at - age});
  if (taken == PageResult::kLastPage) FinishSnapshot();
  return taken;
}

std::optional<ConfigurationPartRequest> StoreView::NextConfigurationQuestion() {
  if (follow::WantsConfiguration(state_) && announced_version_ > Version())
    configuration_reader_.Want(announced_version_);
  else
    configuration_reader_.Stop();
  return configuration_reader_.Due(BootClock::now());
}

std::optional<ConfigurationPart> StoreView::MakeConfigurationPart(
    const ConfigurationPartRequest& question) const {
  if (question.version != Version()) return std::nullopt;
  return PartOf(configuration_bytes_, configuration_entry_revision_, question);
}

void StoreView::ApplyConfigurationPart(const ConfigurationPart& part) {
  const std::optional<ConfigurationReader::Text> text = configuration_reader_.Take(part);
  if (!text) return;
  KeyValue entry;
  entry.key = protocol_.layout().configuration_key;
  entry.value = text->bytes;
  entry.mod_revision = text->revision;
  ApplyEntry(entry);
  if (Version() < announced_version_) return;
  ApplyEvent(follow::ConfigurationTaken{});
  NotifyChanged();
  ScheduleRead();
}

void StoreView::FinishSnapshot() {
  if (state_.listed)
    changes_.RecordListing(state_.revision, snapshot_.revision());
  else
    changes_.Restart(snapshot_.revision());
  ApplyEvent(follow::ServersTaken{snapshot_.revision(), snapshot_.current_at()});
  LogSourceChange(true);
  NotifyChanged();
  ScheduleRead();
}

void StoreView::TakeAnswer(const ChangeAnswer& answer) {
  const SteadyTime asked_at{std::chrono::microseconds(answer.asked_at_us)};
  const std::int64_t configuration = Version();
  const StoreRevision known = state_.revision;
  const std::chrono::microseconds age{std::max<std::int64_t>(0, answer.age_us)};
  if (answer.configuration_version > configuration)
    announced_version_ = answer.configuration_version;
  const follow::Relayed relayed{answer.gap,
                                !answer.leads,
                                answer.from_revision,
                                answer.to_revision,
                                answer.configuration_version > configuration,
                                asked_at - age,
                                answer.partial};
  if (answer.leads && !answer.relays) return;
  const SteadyTime current_before = state_.current_at;
  const bool apply = ApplyEvent(relayed);
  if (apply) {
    for (const ServerChange& change : answer.servers)
      if (change.revision > known) ApplyServerChange(change);
    changes_.Advance(answer.to_revision);
    metrics_.relayed_changes += answer.servers.size();
    if (!answer.servers.empty()) NotifyChanged();
  }
  if (state_.current_at > current_before) {
    RecordContact(state_.current_at);
    LogSourceChange(true);
    ++metrics_.relay_answers_taken;
  }
  ScheduleRead();
}

void StoreView::ApplyServerChange(const ServerChange& change) {
  if (change.gone) {
    ApplyRemoval(protocol_.layout().server_prefix + change.record.id, change.revision);
    return;
  }
  try {
    CheckServerRecord(change.record);
  } catch (const std::exception& error) {
    KeyValue entry;
    entry.key = protocol_.layout().server_prefix + change.record.id;
    entry.mod_revision = change.revision;
    ApplyUnreadable(entry, error.what());
    return;
  }
  ServerRecord record = change.record;
  const ServerPtr known = view_.servers.Find(record.id);
  if (known != nullptr && !IsLaterIncarnation(record.incarnation, known->record().incarnation)) {
    record.in_memory = known->record().in_memory;
    record.on_disk = known->record().on_disk;
  }
  servers_.Put(std::move(record), change.revision);
}

}  // namespace moorfold
