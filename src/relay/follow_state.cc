#include "relay/follow_state.h"

#include <algorithm>

namespace moorfold::follow {

namespace {

/// A change rate over a shorter interval is unreliable, since changes arrive in small bursts.
constexpr std::chrono::duration<double> kMinRateInterval{0.1};

double SecondsBetween(Time from, Time to) {
  return std::max(kMinRateInterval, std::chrono::duration<double>(to - from)).count();
}

bool ReadsServers(ReadKind kind) {
  return kind != ReadKind::kConfiguration && kind != ReadKind::kAnnouncedConfiguration;
}
bool ReadsConfiguration(ReadKind kind) { return kind != ReadKind::kServers; }
/// @return whether the answer holds the current state of servers rather than changes.
bool ListsServers(ReadKind kind) {
  return kind == ReadKind::kListing || kind == ReadKind::kServers;
}

void Apply(State& state, const ReadBegun& read, Time now) {
  state.reading_since = now;
  state.reading = read.kind;
  state.listing_all_pages = ListsServers(read.kind) && (state.listed || state.first_page_applied);
  // This read covers everything that was announced before.
  if (ReadsServers(read.kind)) state.urgent = false;
  if (ReadsConfiguration(read.kind)) state.configuration_wanted = false;
  if (read.kind == ReadKind::kAnnouncedConfiguration) state.reading_announced = *state.announced;
}

void ApplyServers(State& state, const ReadEnded& read, Time since) {
  const bool lists_servers = ListsServers(state.reading);
  if (read.change_bytes && state.listed)
    state.change_bytes_per_s = *read.change_bytes / SecondsBetween(state.current_at, since);
  // A listing is complete, so it replaces the previous revision even if that was higher.
  state.revision = lists_servers ? read.revision : std::max(state.revision, read.revision);
  state.listed = state.listed || lists_servers;
  state.partially_updated = false;
  state.current_at = std::max(state.current_at, since);
  state.changes_unavailable = false;
}

void ApplyAnnounced(State& state, const AnnouncedConfiguration& announced) {
  state.configuration_revision = std::max(state.configuration_revision, announced.revision);
  state.configuration_at = std::max(state.configuration_at, announced.current_at);
}

void ApplyAnnounced(State& state, const ReadEnded& read) {
  state.announced_missed = read.outdated;
  if (read.outdated)
    state.configuration_wanted = true;
  else
    ApplyAnnounced(state, state.reading_announced);
}

void ApplyConfiguration(State& state, const ReadEnded& read, Time since) {
  if (state.reading == ReadKind::kAnnouncedConfiguration) {
    ApplyAnnounced(state, read);
    return;
  }
  state.announced_missed = false;
  state.configuration_revision = std::max(state.configuration_revision, read.revision);
  state.configuration_at = std::max(state.configuration_at, since);
  state.split_reads = false;
}

void Apply(const Settings& settings, State& state, const ReadEnded& read, Time now) {
  const Time since = state.reading_since.value_or(now);
  if (ReadsServers(state.reading)) ApplyServers(state, read, since);
  if (ReadsConfiguration(state.reading)) ApplyConfiguration(state, read, since);
  if (state.reading == ReadKind::kListing) state.listing_bytes = read.bytes;
  state.reading_since.reset();
  // The read that follows an outdated answer is not delayed as another urgent read.
  if (!read.outdated) state.urgent_read_not_before = now + settings.min_urgent_interval;
}

void Apply(State& state, const ReadFailed& failure, Time now) {
  const bool changes = state.reading == ReadKind::kChanges;
  state.reading_since.reset();
  state.retry_not_before = now + failure.pause;
  if (ReadsServers(state.reading)) state.urgent = true;
  if (ReadsConfiguration(state.reading)) state.configuration_wanted = true;
  if (state.reading == ReadKind::kAnnouncedConfiguration) state.announced_missed = true;
  if (changes && (failure.unanswered || failure.history_gone)) state.changes_unavailable = true;
  if (state.reading == ReadKind::kListing && failure.unanswered) state.split_reads = true;
}

/// Changes since a revision of an earlier era cannot be requested from the store.
void Apply(State& state, const EraObserved& observed) {
  if (!state.listed || observed.era <= state.revision.era) return;
  state.urgent = true;
  state.changes_unavailable = true;
}

/// Another daemon reported whether a newer configuration exists, as of `revision` and time `at`.
void ApplyConfigurationStatus(State& state, bool newer, StoreRevision revision, Time at, Time now) {
  if (newer) {
    if (!state.configuration_wanted) state.configuration_wanted_since = now;
    state.configuration_wanted = true;
    state.announced = AnnouncedConfiguration{revision, at};
    return;
  }
  // A later answer that overtook this one may already have announced a newer configuration.
  const bool newest = !state.announced || state.announced->revision <= revision;
  if (newest && at > state.configuration_at) state.configuration_wanted = false;
  state.configuration_revision = std::max(state.configuration_revision, revision);
  state.configuration_at = std::max(state.configuration_at, at);
}

/// @return whether to apply the changes.
bool Apply(State& state, const Relayed& answer, Time now) {
  if (!answer.retired && answer.to_revision.era < state.revision.era) return false;
  if (!answer.retired) {
    state.watcher_heard_at = now;
    state.watcher_current_at = answer.current_at;
  }
  // A listing in progress may return older data than what is relayed meanwhile.
  const bool listing = state.reading_since && ListsServers(state.reading);
  if (!state.listed || listing) return false;
  const bool other_era = answer.to_revision.era != state.revision.era;
  if (!answer.retired && other_era) Apply(state, EraObserved{answer.to_revision.era});
  const bool gap = answer.gap || other_era || answer.from_revision > state.revision;
  if (answer.retired || gap) {
    state.urgent = true;  // A read from the current revision returns the missing changes.
    return false;
  }
  // A server that was added and removed before the watcher's last listing is in no log. The watcher
  // confirmed completeness since the requested revision only, not since one read in the meantime.
  const bool read_meanwhile =
      answer.from_revision < state.revision && answer.to_revision > state.revision;
  if (read_meanwhile || (state.partially_updated && answer.from_revision < state.revision))
    return false;
  ApplyConfigurationStatus(state, answer.newer_configuration, answer.to_revision, answer.current_at,
                           now);
  const bool apply = answer.to_revision > state.revision;
  state.revision = std::max(state.revision, answer.to_revision);
  // The missing changes may be as old as those in this part.
  state.partially_updated = answer.partial;
  if (answer.partial) return apply;
  // The data is now complete as of a later time than before.
  if (answer.current_at > state.current_at) state.urgent = false;
  state.current_at = std::max(state.current_at, answer.current_at);
  return apply;
}

void ApplyFirstPage(const Settings& settings, State& state, const FirstPageEnded& page, Time now) {
  const Time since = state.reading_since.value_or(now);
  state.reading_since.reset();
  state.first_page_applied = true;
  state.servers_not_before = now + settings.listing_delay;
  state.configuration_revision = std::max(state.configuration_revision, page.revision);
  state.configuration_at = std::max(state.configuration_at, since);
}

/// Abandons a listing of all servers when relays are named, and takes the servers from a relay. If
/// every daemon of a large fleet finished its listing, the store would be busy for longer than a
/// leader's lease, and the listings of the relays would queue behind the others.
void AbandonListing(const Settings& settings, State& state, Time now) {
  if (!state.reading_since || !state.listing_all_pages || state.watches) return;
  state.reading_since.reset();
  state.listed = false;
  state.first_page_applied = true;
  state.servers_not_before = now + settings.listing_delay;
}

void Apply(const Settings& settings, State& state, const RelaysChanged& relays, Time now) {
  if (relays.named && !state.relayed) {
    state.relays_known_since = now;
    AbandonListing(settings, state, now);
  }
  state.relayed = relays.named;
  if (!relays.named) state.servers_not_before = Time{};
}

void Apply(State& state, const ServersPageTaken& page, Time now) {
  state.watcher_heard_at = now;
  if (page.revision.era != state.configuration_revision.era) return;
  ApplyConfigurationStatus(state, page.newer_configuration, page.revision, page.current_at, now);
}

void Apply(State& state, const ConfigurationTaken&) {
  if (!state.announced) return;
  state.configuration_wanted = false;
  ApplyAnnounced(state, *state.announced);
}

void Apply(State& state, const ServersTaken& taken) {
  // A read of the store that finished meanwhile or is in progress has newer data.
  const bool listing = state.reading_since && ListsServers(state.reading);
  if (listing || (state.listed && taken.revision < state.revision)) return;
  state.listed = true;
  state.partially_updated = false;
  state.revision = taken.revision;
  state.current_at = std::max(state.current_at, taken.current_at);
  state.changes_unavailable = false;
  state.urgent = false;
}

Milliseconds MaxAge(const Settings& settings, const State& state) {
  return state.watches ? settings.max_watcher_age : settings.max_age;
}

/// @return whether servers come from relays, or may do so once relays are named.
bool MayUseRelays(const State& state) {
  if (state.watches) return false;
  return state.relayed || (state.first_page_applied && !state.listed);
}

/// @return when to read servers from the store.
Time ServersDue(const Settings& settings, const State& state) {
  const Time relay_wait_start = std::max(state.watcher_heard_at, state.relays_known_since);
  if (!state.listed && MayUseRelays(state)) {
    const Time earliest = state.relayed ? relay_wait_start + settings.listing_delay : Time{};
    return std::max(state.servers_not_before, earliest);
  }
  if (!state.listed) return Time{};
  Time due = state.current_at + MaxAge(settings, state);
  if (MayUseRelays(state)) return std::max(due, relay_wait_start + settings.relay_timeout);
  if (state.urgent) due = std::min(due, state.urgent_read_not_before);
  return due;
}

Time ConfigurationDue(const Settings& settings, const State& state) {
  const Time due = state.configuration_at + MaxAge(settings, state);
  if (!state.configuration_wanted) return due;
  const bool from_relay = WantsConfiguration(state);
  const Time earliest =
      from_relay ? state.configuration_wanted_since + settings.configuration_relay_timeout : Time{};
  return std::min(due, std::max(state.urgent_read_not_before, earliest));
}

bool ListingIsSmaller(const State& state, Time now) {
  const double seconds = SecondsBetween(state.current_at, now);
  return state.change_bytes_per_s * seconds > state.listing_bytes;
}

}  // namespace

bool WantsConfiguration(const State& state) {
  if (!state.relayed || state.watches || !state.configuration_wanted) return false;
  return state.announced && state.announced->revision > state.configuration_revision;
}

Decision Reduce(const Settings& settings, State state, const Event& event, Time now) {
  Decision decision{state, false};
  if (const auto* read_begun = std::get_if<ReadBegun>(&event))
    Apply(decision.state, *read_begun, now);
  else if (const auto* ended = std::get_if<ReadEnded>(&event))
    Apply(settings, decision.state, *ended, now);
  else if (const auto* failed = std::get_if<ReadFailed>(&event))
    Apply(decision.state, *failed, now);
  else if (const auto* relayed = std::get_if<Relayed>(&event))
    decision.apply = Apply(decision.state, *relayed, now);
  else if (const auto* observed = std::get_if<EraObserved>(&event))
    Apply(decision.state, *observed);
  else if (const auto* page = std::get_if<FirstPageEnded>(&event))
    ApplyFirstPage(settings, decision.state, *page, now);
  else if (const auto* relays = std::get_if<RelaysChanged>(&event))
    Apply(settings, decision.state, *relays, now);
  else if (const auto* servers = std::get_if<ServersPageTaken>(&event))
    Apply(decision.state, *servers, now);
  else if (const auto* configuration = std::get_if<ConfigurationTaken>(&event))
    Apply(decision.state, *configuration);
  else if (const auto* taken = std::get_if<ServersTaken>(&event))
    Apply(decision.state, *taken);
  else
    decision.state.watches = std::get<RoleChanged>(event).watches;
  return decision;
}

Time NextRead(const Settings& settings, const State& state) {
  if (state.reading_since) return Time::max();
  // The clock counts from machine start, so its value may be less than the maximum age.
  if (!state.listed && !state.first_page_applied) return state.retry_not_before;
  const bool configuration_read_pending = state.split_reads && state.configuration_wanted;
  if (configuration_read_pending) return state.retry_not_before;
  const Time due = std::min(ServersDue(settings, state), ConfigurationDue(settings, state));
  return std::max(due, state.retry_not_before);
}

Milliseconds MaxRetryDelay(const Settings& settings, const State& state, Time now) {
  const bool watcher_alive = now - state.watcher_heard_at < settings.watcher_timeout;
  const bool watcher_behind = now - state.watcher_current_at > settings.max_age;
  const bool store_unreachable_for_all = !state.watches && watcher_alive && watcher_behind;
  return store_unreachable_for_all ? std::max(settings.max_retry_delay, settings.max_age)
                                   : settings.max_retry_delay;
}

bool WantsServers(const State& state) {
  if (!state.relayed || state.watches) return false;
  const bool listing = state.reading_since && ListsServers(state.reading);
  return !listing && (!state.listed || state.urgent || state.changes_unavailable);
}

ReadKind NextReadKind(const Settings& settings, const State& state, Time now) {
  // Alternates between the two reads; continuous server changes would starve the configuration.
  const bool configuration_read_pending = state.split_reads && state.configuration_wanted;
  if (configuration_read_pending && state.configuration_at < state.current_at)
    return ReadKind::kConfiguration;
  const bool old = now >= state.current_at + MaxAge(settings, state);
  const bool servers = MayUseRelays(state) ? now >= ServersDue(settings, state)
                                           : !state.listed || state.urgent || old;
  const bool announced =
      state.announced && state.announced->revision > state.configuration_revision;
  if (!servers && announced && !state.announced_missed) return ReadKind::kAnnouncedConfiguration;
  if (!servers) return ReadKind::kConfiguration;
  if (state.split_reads) return ReadKind::kServers;
  // Changes since a relayed revision omit configurations from before that revision.
  const bool changes_show_all =
      state.listed && !state.changes_unavailable && state.ConfigurationIsCurrent();
  // While relays are in use, the change rate is not measured; the size of a listing is bounded.
  const bool measured = !state.relayed || state.watches;
  if (!changes_show_all || !measured || ListingIsSmaller(state, now)) return ReadKind::kListing;
  return ReadKind::kChanges;
}

}  // namespace moorfold::follow
