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

void VersionChecker::Asked(bool begun, std::int64_t second) {
  ++summary_.new_streams;
  ++seconds_[second].asked;
  if (!begun) return;
  ++summary_.new_begun;
  ++seconds_[second].begun;
}

void VersionChecker::TookUp(TakeUp result, std::int64_t second) {
  ++summary_.take_ups;
  ++seconds_[second].take_ups;
  if (result == TakeUp::kWentOn) ++summary_.went_on;
  if (result == TakeUp::kRefused) ++summary_.refused;
}

double VersionChecker::BeginShareBesideTakeUps() const {
  double begun = 0;
  double take_ups = 0;
  for (const auto& [at, second] : seconds_) {
    if (second.asked == 0) continue;
    const auto weight = static_cast<double>(second.take_ups);
    take_ups += weight;
    begun += weight * static_cast<double>(second.begun) / static_cast<double>(second.asked);
  }
  return take_ups == 0 ? 1 : begun / take_ups;
}

}  // namespace moorfold
