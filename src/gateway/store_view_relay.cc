// What a view tells other daemons, and takes from them; store_view.cc has what it reads of the
// store.

#include <algorithm>
#include <unordered_set>

#include "common/boot_clock.h"
#include "gateway/servers_page.h"
#include "gateway/store_view.h"
#include "relay/change_answer.h"

namespace moorfold {

namespace {

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace

std::optional<ChangeRequest> StoreView::Question() const {
  if (!state_.listed) return std::nullopt;
  return ChangeRequest{Microseconds(BootClock::now().time_since_epoch()), state_.revision};
}

ChangeAnswer StoreView::Answer(const ChangeRequest& question, std::uint32_t daemons,
                               bool parts) const {
  ChangeAnswer answer;
  answer.asked_at_us = question.asked_at_us;
  answer.daemons = daemons;
  // A follower takes the version stated here for the newest as of the revision stated here. One
  // that tells no era of its revision could not tell what an answer is worth: it reads by itself.
  const bool understood = question.revision.era != kEraUntold;
  answer.relays = understood && Serves();
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
  Decide(follow::RelaysChanged{named});
  if (reading && !state_.reading_since) read_wanted_.reset();
  ReadWhenDue();
}

std::optional<ServersRequest> StoreView::ServersQuestionDue() {
  const bool wanted = follow::WantsServers(state_);
  if (!wanted) snapshot_.Stop();
  if (wanted && !snapshot_.running()) snapshot_.Begin();
  return snapshot_.Due(BootClock::now());
}

ServersPage StoreView::Page(const ServersRequest& question) const {
  ServersPage page;
  page.asked_at_us = question.asked_at_us;
  page.after = question.after;
  page.relays = Serves();
  if (!page.relays) return page;
  FillPage(page, view_.servers);
  page.revision = state_.revision;
  const SteadyTime current_at = std::min(state_.current_at, view_.configuration_current_at);
  page.age_us = Microseconds(BootClock::now() - current_at);
  page.configuration_version = Version();
  return page;
}

SnapshotReader::PageResult StoreView::TakePage(const ServersPage& page, const std::string& from) {
  using PageResult = SnapshotReader::PageResult;
  const PageResult taken = snapshot_.Take(page, from);
  if (taken == PageResult::kIgnored || taken == PageResult::kDeclined) return taken;
  // What the page does not name between its first and its last server is not there any more.
  std::unordered_set<std::string> named;
  for (ServerChange server : page.servers) {
    named.insert(server.record.id);
    server.revision = page.revision;  // It changed at some revision up to this one.
    TakeChange(server);
  }
  std::vector<std::string> missing;
  const ServerDirectory::ById& all = view_.servers.all();
  const auto end = page.more ? all.upper_bound(page.last) : all.end();
  for (auto known = all.upper_bound(page.after); known != end; ++known)
    if (!named.contains(known->first)) missing.push_back(known->first);
  for (const std::string& id : missing) servers_.TakeRemoval(id, page.revision);
  const bool newer = page.configuration_version > Version();
  if (newer) told_version_ = page.configuration_version;
  const SteadyTime asked_at{std::chrono::microseconds(page.asked_at_us)};
  const std::chrono::microseconds age{std::max<std::int64_t>(0, page.age_us)};
  Decide(follow::ServersPageTaken{page.revision, newer, asked_at - age});
  if (taken == PageResult::kLastPage) EndSnapshot();
  return taken;
}

std::optional<ConfigurationRequest> StoreView::ConfigurationQuestionDue() {
  if (follow::WantsConfiguration(state_) && told_version_ > Version())
    configuration_reader_.Want(told_version_);
  else
    configuration_reader_.Stop();
  return configuration_reader_.Due(BootClock::now());
}

std::optional<ConfigurationPart> StoreView::Part(const ConfigurationRequest& question) const {
  if (question.version != Version()) return std::nullopt;
  return PartOf(configuration_text_, configuration_entry_revision_, question);
}

void StoreView::TakePart(const ConfigurationPart& part) {
  const std::optional<ConfigurationReader::Text> text = configuration_reader_.Take(part);
  if (!text) return;
  KeyValue entry;
  entry.key = protocol_.layout().configuration_key;
  entry.value = text->bytes;
  entry.mod_revision = text->revision;
  TakeEntry(entry);
  if (Version() < told_version_) return;
  Decide(follow::ConfigurationTaken{});
  NoteChanged();
  ReadWhenDue();
}

void StoreView::EndSnapshot() {
  if (state_.listed)
    changes_.RecordListing(state_.revision, snapshot_.revision());
  else
    changes_.Restart(snapshot_.revision());
  Decide(follow::ServersTaken{snapshot_.revision(), snapshot_.current_at()});
  NoteSource(true);
  NoteChanged();
  ReadWhenDue();
}

void StoreView::TakeAnswer(const ChangeAnswer& answer) {
  const SteadyTime asked_at{std::chrono::microseconds(answer.asked_at_us)};
  const std::int64_t configuration = Version();
  const StoreRevision known = state_.revision;
  const std::chrono::microseconds age{std::max<std::int64_t>(0, answer.age_us)};
  if (answer.configuration_version > configuration) told_version_ = answer.configuration_version;
  const follow::Relayed relayed{answer.gap,
                                !answer.leads,
                                answer.from_revision,
                                answer.to_revision,
                                answer.configuration_version > configuration,
                                asked_at - age,
                                answer.partial};
  if (answer.leads && !answer.relays) return;
  const SteadyTime current_before = state_.current_at;
  const bool apply = Decide(relayed);
  if (apply) {
    for (const ServerChange& change : answer.servers)
      if (change.revision > known) TakeChange(change);
    changes_.Advance(answer.to_revision);
    metrics_.relayed_changes += answer.servers.size();
    if (!answer.servers.empty()) NoteChanged();
  }
  if (state_.current_at > current_before) {
    NoteContact(state_.current_at);
    NoteSource(true);
    ++metrics_.relay_answers_taken;
  }
  ReadWhenDue();
}

void StoreView::TakeChange(const ServerChange& change) {
  if (change.gone) {
    TakeRemoval(protocol_.layout().server_prefix + change.record.id, change.revision);
    return;
  }
  ServerRecord record = change.record;
  const ServerPtr known = view_.servers.Find(record.id);
  if (known != nullptr && !IsLaterLife(record.life, known->record().life)) {
    record.in_memory = known->record().in_memory;
    record.on_disk = known->record().on_disk;
  }
  servers_.Put(std::move(record), change.revision);
}

}  // namespace moorfold
