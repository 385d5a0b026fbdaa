#include "relay/follow_state.h"

#include <algorithm>

namespace moorfold::follow {

namespace {

void Take(State& state, const ReadBegun& read, Time now) {
  state.reading_since = now;
  state.listing = read.lists;
  state.urgent = false;  // Whatever was heard before, this read will show.
}

void Take(const Settings& settings, State& state, const ReadEnded& read, Time now) {
  // A listing says all there is, whatever was known before.
  state.revision = state.listing ? read.revision : std::max(state.revision, read.revision);
  state.listed = state.listed || state.listing;
  state.current_at = std::max(state.current_at, state.reading_since.value_or(now));
  state.reading_since.reset();
  state.listing = false;
  state.urgent_not_before = now + settings.between_urgent;
}

void Take(State& state, const ReadFailed& failure, Time now) {
  state.reading_since.reset();
  state.listing = false;
  state.urgent = true;
  state.not_before = now + failure.pause;
}

/// @return whether the changes are to be taken over.
bool Take(State& state, const Relayed& answer) {
  // What a listing under way shows may be older than what is relayed meanwhile.
  if (!state.listed || state.listing) return false;
  const bool gap = answer.gap || answer.from_revision > state.revision;
  if (answer.retired || gap || answer.newer_configuration) {
    // A read from the present revision brings what is missing, the configuration too.
    state.urgent = true;
    return false;
  }
  const bool apply = answer.to_revision > state.revision;
  state.revision = std::max(state.revision, answer.to_revision);
  state.current_at = std::max(state.current_at, answer.current_at);
  return apply;
}

}  // namespace

Decision Reduce(const Settings& settings, State state, const Event& event, Time now) {
  Decision decision{state, false};
  if (const auto* begun = std::get_if<ReadBegun>(&event))
    Take(decision.state, *begun, now);
  else if (const auto* ended = std::get_if<ReadEnded>(&event))
    Take(settings, decision.state, *ended, now);
  else if (const auto* failed = std::get_if<ReadFailed>(&event))
    Take(decision.state, *failed, now);
  else if (const auto* relayed = std::get_if<Relayed>(&event))
    decision.apply = Take(decision.state, *relayed);
  else if (std::holds_alternative<NewsHeard>(event))
    decision.state.urgent = true;
  else
    decision.state.watches = std::get<RoleTaken>(event).watches;
  return decision;
}

Time NextRead(const Settings& settings, const State& state) {
  if (state.reading_since) return Time::max();
  const Milliseconds age = state.watches ? settings.watcher_age : settings.longest_age;
  // A clock that began with the machine may show less than the age.
  const Time due = state.listed ? state.current_at + age : Time::min();
  const Time wanted = state.urgent ? std::min(due, state.urgent_not_before) : due;
  return std::max(wanted, state.not_before);
}

}  // namespace moorfold::follow
