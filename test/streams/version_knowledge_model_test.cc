// Ways for a daemon to know which software version began a stream, played on whole fleets.

#include "version_knowledge_model.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <string>
#include <utility>

namespace moorfold::streams::model {
namespace {

constexpr Way kWays[] = {Way::kEntries, Way::kImplied, Way::kHash, Way::kDigest,
                         Way::kNamedDaemons};
constexpr Fault kFaults[] = {Fault::kKillAll, Fault::kFreezeOne, Fault::kStoreAway,
                             Fault::kStoreRestored};
constexpr Edge kEdges[] = {Edge::kFirstNew, Edge::kLastOld, Edge::kRecordCloses,
                           Edge::kImpliedChanges};
constexpr milliseconds kOffsets[] = {milliseconds(0), milliseconds(10), milliseconds(100),
                                     milliseconds(2'000)};

const char* Name(Way way) {
  switch (way) {
    case Way::kEntries:
      return "A entries";
    case Way::kImplied:
      return "A2 implied";
    case Way::kHash:
      return "B hash";
    case Way::kDigest:
      return "C digest";
    case Way::kNamedDaemons:
      return "D named";
  }
  return "";
}

/// Half and whole releases, each fault around each edge that the way has.
template <typename Use>
void ForEachPlay(Play play, const Use& use) {
  for (const double share : {0.5, 0.7, 1.0}) {
    for (const seconds lasts : {seconds(4), seconds(20)}) {
      play.releases = {{seconds(30), 1, share, lasts}};
      for (const Edge edge : kEdges) {
        const bool of_record = edge == Edge::kRecordCloses || edge == Edge::kImpliedChanges;
        if (share < 1 && edge == Edge::kLastOld) continue;
        if (of_record && (share <= 0.5 || play.way != Way::kImplied)) continue;
        for (const Fault fault : kFaults) {
          for (const milliseconds offset : kOffsets) {
            play.edge = edge;
            play.fault = fault;
            play.offset = offset;
            use(play);
          }
        }
      }
    }
  }
}

Outcome RunAll(const Play& base, int seeds) {
  Outcome sum;
  ForEachPlay(base, [&](const Play& play) {
    for (int seed = 1; seed <= seeds; ++seed) sum.Add(Run(play, static_cast<std::uint64_t>(seed)));
  });
  return sum;
}

void PrintHead() {
  std::printf(
      "| way | daemons | load | joined | after kill | went on / began | take-ups | unknown | "
      "writes/s peak, calm | reads/s peak, calm | bytes/s | entries | added ms median, p99 |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
}
void Print(const std::string& name, const Play& play, const Outcome& outcome) {
  std::printf(
      "| %s | %d | %.0f | %lld | %.3f | %.3f / %.3f | %lld | %lld | %.0f, %.1f | %.0f, %.0f | "
      "%.0f | %zu | %.1f, %.1f |\n",
      name.c_str(), play.daemons, play.load, static_cast<long long>(outcome.joined),
      outcome.WentOnAfterKill(), outcome.WentOnShare(), outcome.BeganShare(),
      static_cast<long long>(outcome.take_ups), static_cast<long long>(outcome.unknown),
      outcome.peak_writes, outcome.calm_writes, outcome.peak_reads, outcome.calm_reads,
      outcome.peak_bytes, outcome.entries, outcome.added_median, outcome.added_p99);
  std::fflush(stdout);
}

Play PlayOf(Way way, int daemons, double load) {
  Play play;
  play.way = way;
  play.daemons = daemons;
  play.load = load;
  return play;
}

TEST_CASE("No way of knowing a stream's version joins two around releases and faults") {
  const Way way = GENERATE(from_range(std::begin(kWays), std::end(kWays)));
  const int daemons = GENERATE(1, 2, 7);
  CAPTURE(Name(way), daemons);
  ForEachPlay(PlayOf(way, daemons, 10), [](const Play& play) {
    CAPTURE(static_cast<int>(play.fault), static_cast<int>(play.edge), play.offset.count());
    CHECK(Run(play, 1).joined == 0);
  });
}

TEST_CASE("Streams go on after a kill of all daemons if their version is in the store") {
  const Way way = GENERATE(Way::kEntries, Way::kImplied);
  const int daemons = GENERATE(2, 7, 58);
  CAPTURE(Name(way), daemons);
  for (const double share : {0.5, 0.7, 1.0}) {
    for (const milliseconds offset : kOffsets) {
      Play play = PlayOf(way, daemons, 10);
      play.releases = {{seconds(30), 1, share, seconds(10)}};
      play.fault = Fault::kKillAll;
      play.edge = share < 1 ? Edge::kFirstNew : Edge::kLastOld;
      play.offset = offset;
      const Outcome outcome = Run(play, 1);
      CAPTURE(share, offset.count(), outcome.take_ups, outcome.killed_take_ups);
      CHECK(outcome.WentOnShare() >= 0.9 * outcome.BeganShare());
      CHECK(outcome.WentOnAfterKill() >= 0.9 * outcome.BeganShare());
    }
  }
}

TEST_CASE("No streams are joined when versions return, are three at once or daemons keep ending") {
  Play play = PlayOf(Way::kImplied, 7, 10);
  play.kills_every = GENERATE(seconds(0), seconds(7));
  SECTION("a release that goes back before the implied version changed") {
    play.releases = {{seconds(30), 1, 1, seconds(4)}, {seconds(60), 0, 1, seconds(4)}};
  }
  SECTION("a release that goes back just as the implied version changes") {
    play.releases = {{seconds(30), 1, 1, seconds(4)}, {seconds(104), 0, 1, seconds(4)}};
  }
  SECTION("a release that goes back long after it") {
    play.releases = {{seconds(30), 1, 1, seconds(4)}, {seconds(150), 0, 1, seconds(4)}};
  }
  SECTION("three versions") {
    play.releases = {{seconds(30), 1, 0.4, seconds(10)}, {seconds(33), 2, 0.4, seconds(20)}};
  }
  SECTION("one release after the other") {
    play.releases = {{seconds(30), 1, 1, seconds(4)}, {seconds(40), 2, 1, seconds(40)}};
  }
  play.lasts = seconds(400);
  for (int seed = 1; seed <= 3; ++seed) {
    const Outcome outcome = Run(play, static_cast<std::uint64_t>(seed));
    CHECK(outcome.joined == 0);
    CHECK(outcome.WentOnShare() >= 0.9 * outcome.BeganShare());
  }
}

/// @return streams joined by a fleet that leaves out a rule, over that many seeds.
std::int64_t JoinedWithout(const LeftOut& left_out, Fault fault) {
  std::int64_t joined = 0;
  for (int seed = 1; seed <= 30; ++seed) {
    Play play = PlayOf(Way::kImplied, 7, 10);
    play.releases = {{seconds(30), 1, 0.7, seconds(seed)}};
    play.fault = fault;
    play.offset = milliseconds(100) * (seed % 5);
    play.left_out = left_out;
    joined += Run(play, static_cast<std::uint64_t>(seed)).joined;
  }
  return joined;
}

TEST_CASE("Each rule of the implied version is needed: a fleet without it joins streams") {
  CHECK(JoinedWithout({}, Fault::kStoreAway) == 0);
  LeftOut left_out;
  SECTION("a record that is closing is read anew for each take-up") {
    left_out.fresh_read_while_closing = true;
    CHECK(JoinedWithout(left_out, Fault::kNone) > 0);
  }
  SECTION("an attempt with an unanswered entry needs an acknowledged one") {
    left_out.acknowledged_after_unanswered = true;
    CHECK(JoinedWithout(left_out, Fault::kStoreAway) > 0);
  }
  SECTION("after a restore of the store nothing is implied for a while") {
    left_out.unknown_after_restore = true;
    CHECK(JoinedWithout(left_out, Fault::kStoreRestored) > 0);
  }
  SECTION("the record is closing for longer than a stream can live") {
    left_out.wait_before_change = true;
    CHECK(JoinedWithout(left_out, Fault::kNone) > 0);
  }
}

TEST_CASE("The record is closing for long enough only if streams do not outlive it") {
  Play play = PlayOf(Way::kImplied, 7, 10);
  play.releases = {{seconds(30), 1, 0.7, seconds(4)}};
  play.longest_stream = seconds(300);
  CHECK(Run(play, 1).joined > 0);
  play.longest_stream = kStreamLifetime - seconds(20);
  CHECK(Run(play, 1).joined == 0);
}

/// For large fleets: kills of all daemons around a release of most servers, one seed.
Outcome RunKills(Play play) {
  Outcome sum;
  play.fault = Fault::kKillAll;
  play.releases = {{seconds(30), 1, 0.7, seconds(10)}};
  for (const milliseconds offset : {milliseconds(10), milliseconds(2'000)}) {
    play.offset = offset;
    sum.Add(Run(play, 1));
  }
  return sum;
}

TEST_CASE("Table of the ways: all faults", "[.table]") {
  PrintHead();
  const std::pair<int, double> sizes[] = {{1, 1}, {1, 10}, {2, 1}, {2, 10},
                                          {7, 1}, {7, 10}, {58, 1}};
  for (const auto& [daemons, load] : sizes) {
    for (const Way way : kWays) {
      const Play play = PlayOf(way, daemons, load);
      const Outcome outcome = RunAll(play, daemons * load < 30 ? 3 : 1);
      Print(Name(way), play, outcome);
      CHECK(outcome.joined == 0);
    }
  }
}

TEST_CASE("Table of the ways: kills of all daemons", "[.table]") {
  PrintHead();
  const std::pair<int, double> sizes[] = {{7, 1},   {7, 10},   {58, 1},  {58, 10},
                                          {300, 1}, {300, 10}, {985, 1}, {985, 10}};
  for (const auto& [daemons, load] : sizes) {
    for (const Way way : kWays) {
      const Play play = PlayOf(way, daemons, load);
      const Outcome outcome = RunKills(play);
      Print(Name(way), play, outcome);
      CHECK(outcome.joined == 0);
    }
    Play play = PlayOf(Way::kImplied, daemons, load);
    play.max_age = seconds(300);
    const Outcome outcome = RunKills(play);
    Print("A2, age 300 s", play, outcome);
    CHECK(outcome.joined == 0);
  }
}

}  // namespace
}  // namespace moorfold::streams::model
