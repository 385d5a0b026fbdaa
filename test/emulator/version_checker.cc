#include "version_checker.h"

namespace moorfold {

namespace {

std::string Describe(const VersionChecker::Event& event) {
  return "event " + std::to_string(event.number) + " of " + event.server + " (" + event.version +
         ") in " + event.attempt + " through gateway " + std::to_string(event.gateway);
}

}  // namespace

void VersionChecker::Received(const std::string& stream, const Event& event, bool own) {
  if (!own) {
    ++summary_.foreign_events;
    violations_.push_back("stream " + stream + " got a foreign event: " + Describe(event));
  }
  const auto [entry, is_first] = streams_.try_emplace(stream, Stream{event, event});
  Stream& known = entry->second;
  if (is_first) ++summary_.streams;
  const int expected = is_first ? 1 : known.last.number + 1;
  if (event.number != expected && !known.misnumbered) {
    known.misnumbered = true;
    ++summary_.misnumbered;
    violations_.push_back("stream " + stream + " misses or repeats an event: expected " +
                          std::to_string(expected) + ", got " + Describe(event));
  }
  if (event.version != known.first.version && !known.joined) {
    known.joined = true;
    const bool inside = event.attempt == known.last.attempt;
    ++(inside ? summary_.joined_inside : summary_.joined_over);
    violations_.push_back("stream " + stream + " joined " +
                          (inside ? "inside one answer" : "over several tries") + ": first " +
                          Describe(known.first) + ", last " + Describe(known.last) + ", then " +
                          Describe(event));
  }
  known.last = event;
}

void VersionChecker::Asked(bool begun) {
  ++summary_.new_streams;
  if (begun) ++summary_.new_begun;
}

void VersionChecker::TookUp(bool went_on) {
  ++summary_.take_ups;
  if (went_on) ++summary_.went_on;
}

}  // namespace moorfold
