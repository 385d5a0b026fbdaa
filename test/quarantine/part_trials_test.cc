// Limits of the trial requests for a quarantined part of prompts.

#include "quarantine/part_trials.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using quarantine::PartTrials;

const std::vector<Fingerprint> kPart = {PartFingerprintOf("s", "a")};
const std::vector<Fingerprint> kBothParts = {PartFingerprintOf("s", "a"),
                                             PartFingerprintOf("s", "b")};

void Try(PartTrials& trials, const std::vector<Fingerprint>& parts, bool crash_possible) {
  REQUIRE(trials.MayBegin(parts));
  trials.Begin(parts);
  trials.End(parts, crash_possible);
}

TEST_CASE("A part has one trial in flight at a time") {
  PartTrials trials;
  REQUIRE(trials.MayBegin(kPart));
  trials.Begin(kPart);
  CHECK_FALSE(trials.MayBegin(kPart));
  CHECK_FALSE(trials.MayBegin(kBothParts));
  trials.End(kPart, false);
  CHECK(trials.MayBegin(kBothParts));
}

TEST_CASE(
    "Requests with the same quarantined parts have no trial after one that may have crashed") {
  PartTrials trials;
  Try(trials, kPart, false);
  Try(trials, kBothParts, true);
  CHECK_FALSE(trials.MayBegin({kBothParts[1], kBothParts[0]}));
  CHECK(trials.MayBegin(kPart));
}

TEST_CASE("A part has no further trial after two that may have crashed their servers") {
  PartTrials trials;
  Try(trials, kBothParts, true);
  Try(trials, kPart, true);
  CHECK_FALSE(trials.MayBegin({kPart[0], PartFingerprintOf("s", "c")}));
  CHECK(trials.MayBegin({kBothParts[1]}));
}

TEST_CASE("Trials of a part are counted anew after its quarantine has ended") {
  PartTrials trials;
  Try(trials, kPart, true);
  trials.Prune([](const Fingerprint&) { return true; });
  CHECK_FALSE(trials.MayBegin(kPart));
  trials.Prune([](const Fingerprint&) { return false; });
  CHECK(trials.MayBegin(kPart));
  CHECK(trials.size() == 0);
}

TEST_CASE("A trial in flight is not forgotten") {
  PartTrials trials;
  trials.Begin(kPart);
  trials.Prune([](const Fingerprint&) { return false; });
  CHECK_FALSE(trials.MayBegin(kPart));
}

}  // namespace
}  // namespace moorfold
