#include "relay/follow_state.h"

#include <catch2/catch.hpp>

#include "store_revisions.h"

namespace moorfold::follow {
namespace {

using std::chrono::milliseconds;

constexpr Settings kSettings{milliseconds(2'200), milliseconds(400), milliseconds(500)};
const Time kStart{std::chrono::hours(1)};

State Listed(std::int64_t revision) {
  State state = Reduce(kSettings, {}, ReadBegun{ReadKind::kListing}, kStart).state;
  return Reduce(kSettings, state, ReadEnded{At(revision)}, kStart + milliseconds(30)).state;
}

Relayed Answer(std::int64_t from, std::int64_t to, Time current_at) {
  Relayed answer;
  answer.from_revision = At(from);
  answer.to_revision = At(to);
  answer.current_at = current_at;
  return answer;
}

TEST_CASE("Without a watcher the store is read again when the data reaches its maximum age") {
  State state;
  CHECK(NextRead(kSettings, state) <= kStart);  // Immediately after start.
  state = Listed(7);
  CHECK(state.revision == At(7));
  // The age counts from the send time of the read, not from its answer.
  CHECK(NextRead(kSettings, state) == kStart + milliseconds(2'200));
  state = Reduce(kSettings, state, ReadBegun{}, kStart + milliseconds(2'200)).state;
  CHECK(NextRead(kSettings, state) == Time::max());
  state = Reduce(kSettings, state, RoleChanged{true}, kStart + milliseconds(2'300)).state;
  state = Reduce(kSettings, state, ReadEnded{At(9)}, kStart + milliseconds(2'300)).state;
  CHECK(NextRead(kSettings, state) == kStart + milliseconds(2'600));  // A watcher reads more often.
}

TEST_CASE("While a watcher answers, a follower does not read the store") {
  State state = Listed(7);
  Time now = kStart;
  for (int request = 0; request < 50; ++request) {
    now += milliseconds(500);
    const Decision decision =
        Reduce(kSettings, state,
               Answer(state.revision.number, state.revision.number + 2, now - milliseconds(400)),
               now + milliseconds(20));
    CHECK(decision.apply);
    state = decision.state;
    CHECK(NextRead(kSettings, state) > now + milliseconds(500));
  }
  // After the answers stop, the next read is due one maximum age after the last current time.
  CHECK(NextRead(kSettings, state) == now - milliseconds(400) + milliseconds(2'200));
}

TEST_CASE("Changes that a watcher cannot relay are read soon, but not repeatedly") {
  const Time now = kStart + milliseconds(1'000);
  Relayed gap = Answer(9, 12, now);
  Relayed too_short = Answer(7, 7, now);
  too_short.gap = true;
  Relayed retired = Answer(7, 7, now);
  retired.retired = true;
  for (const Relayed& answer : {gap, too_short, retired}) {
    const Decision decision = Reduce(kSettings, Listed(7), answer, now);
    CHECK_FALSE(decision.apply);
    CHECK(decision.state.revision == At(7));  // A read from there returns what is missing.
    CHECK(NextRead(kSettings, decision.state) <= now);
    State state = Reduce(kSettings, decision.state, ReadBegun{}, now).state;
    state = Reduce(kSettings, state, ReadEnded{At(8)}, now + milliseconds(10)).state;
    state = Reduce(kSettings, state, answer, now + milliseconds(20)).state;
    if (state.urgent) CHECK(NextRead(kSettings, state) == now + milliseconds(510));
  }
}

TEST_CASE("An announced configuration version causes a prompt read of the configuration only") {
  const Time now = kStart + milliseconds(1'000);
  Relayed answer = Answer(7, 12, now);
  answer.newer_configuration = true;
  const Decision decision = Reduce(kSettings, Listed(7), answer, now);
  CHECK(decision.apply);  // Server changes do not wait for it.
  CHECK_FALSE(decision.state.ConfigurationIsCurrent());
  CHECK(decision.state.configuration_at == kStart);
  CHECK(NextRead(kSettings, decision.state) <= now);
  CHECK(NextReadKind(kSettings, decision.state, now) == ReadKind::kAnnouncedConfiguration);
  State state = Reduce(kSettings, decision.state, ReadBegun{ReadKind::kConfiguration}, now).state;
  // Relayed server changes still apply during the configuration read.
  const Decision later = Reduce(kSettings, state, Answer(12, 15, now), now + milliseconds(5));
  CHECK(later.apply);
  state = Reduce(kSettings, later.state, ReadEnded{At(14)}, now + milliseconds(10)).state;
  CHECK(state.revision == At(15));
  CHECK(state.configuration_at == now);
  state = Reduce(kSettings, state, answer, now + milliseconds(20)).state;
  CHECK(NextRead(kSettings, state) == now + milliseconds(510));  // Rate-limited.
}

TEST_CASE(
    "Changes are not read from a relayed revision that is newer than an unread configuration") {
  const Time now = kStart + milliseconds(1'000);
  Relayed answer = Answer(7, 12, now);
  answer.newer_configuration = true;
  State state = Reduce(kSettings, Listed(7), answer, now).state;
  const Time later = now + milliseconds(2'300);  // The watcher is gone; server data expires.
  CHECK(NextReadKind(kSettings, state, later) == ReadKind::kListing);
  CHECK(NextReadKind(kSettings, Listed(7), later) == ReadKind::kChanges);
}

TEST_CASE("An unanswered read is followed by one that requests less") {
  const Time now = kStart + milliseconds(2'300);
  State state = Reduce(kSettings, Listed(7), ReadBegun{ReadKind::kChanges}, now).state;
  state = Reduce(kSettings, state, ReadFailed{milliseconds(100), true}, now).state;
  CHECK(NextReadKind(kSettings, state, now) == ReadKind::kListing);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kListing}, now).state;
  state = Reduce(kSettings, state, ReadFailed{milliseconds(100), true}, now).state;
  CHECK(NextReadKind(kSettings, state, now) == ReadKind::kServers);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kServers}, now).state;
  state = Reduce(kSettings, state, ReadEnded{At(30)}, now + milliseconds(50)).state;
  CHECK(state.revision == At(30));
  // The configuration read follows immediately.
  CHECK(NextRead(kSettings, state) <= now + milliseconds(100));
  CHECK(NextReadKind(kSettings, state, now + milliseconds(50)) == ReadKind::kConfiguration);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kConfiguration}, now).state;
  state = Reduce(kSettings, state, ReadEnded{At(31)}, now + milliseconds(90)).state;
  CHECK(state.ConfigurationIsCurrent());
  const Time next = NextRead(kSettings, state);
  CHECK(next == now + milliseconds(2'200));
  CHECK(NextReadKind(kSettings, state, next) == ReadKind::kChanges);
}

TEST_CASE("A read that the store refused is retried unchanged; the caller increases its delay") {
  State state = Reduce(kSettings, Listed(7), ReadBegun{ReadKind::kChanges}, kStart).state;
  state = Reduce(kSettings, state, ReadFailed{milliseconds(100), false}, kStart).state;
  CHECK(NextReadKind(kSettings, state, kStart + milliseconds(100)) == ReadKind::kChanges);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kChanges}, kStart).state;
  state = Reduce(kSettings, state, ReadFailed{milliseconds(100), false, true}, kStart).state;
  CHECK(NextReadKind(kSettings, state, kStart + milliseconds(100)) == ReadKind::kListing);
}

TEST_CASE("A listing is read only while it is expected to be smaller than the changes") {
  State state = Reduce(kSettings, {}, ReadBegun{ReadKind::kListing}, kStart).state;
  state = Reduce(kSettings, state, ReadEnded{At(7), 80'000}, kStart + milliseconds(30)).state;
  // Heartbeats: 20 kB/s.
  Time now = kStart + milliseconds(2'000);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kChanges}, now).state;
  state = Reduce(kSettings, state, ReadEnded{At(40), 40'000, 40'000}, now + milliseconds(20)).state;
  CHECK(NextReadKind(kSettings, state, now + milliseconds(2'200)) == ReadKind::kChanges);
  CHECK(NextReadKind(kSettings, state, now + milliseconds(4'100)) == ReadKind::kListing);
  // Configurations: 350 kB/s.
  now += milliseconds(2'000);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kChanges}, now).state;
  state =
      Reduce(kSettings, state, ReadEnded{At(90), 700'000, 700'000}, now + milliseconds(20)).state;
  now += milliseconds(2'200);
  CHECK(NextReadKind(kSettings, state, now) == ReadKind::kListing);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kListing}, now).state;
  state = Reduce(kSettings, state, ReadEnded{At(140), 80'000, std::nullopt}, now).state;
  CHECK(NextReadKind(kSettings, state, now + milliseconds(2'200)) == ReadKind::kListing);
  now += milliseconds(2'200);
  state = Reduce(kSettings, state, ReadBegun{ReadKind::kListing}, now).state;
  state = Reduce(kSettings, state, ReadEnded{At(170), 80'000, 30'000}, now).state;
  CHECK(NextReadKind(kSettings, state, now + milliseconds(2'200)) == ReadKind::kChanges);
}

TEST_CASE("Relayed changes are not applied before the first listing or during a listing") {
  const Relayed answer = Answer(0, 12, kStart);
  CHECK_FALSE(Reduce(kSettings, {}, answer, kStart).apply);
  const State listing = Reduce(kSettings, Listed(7), ReadBegun{ReadKind::kListing}, kStart).state;
  const Decision decision = Reduce(kSettings, listing, Answer(7, 12, kStart), kStart);
  CHECK_FALSE(decision.apply);
  CHECK(decision.state.revision == At(7));
}

TEST_CASE(
    "An answer to a request from before the last read does not confirm data newer than that read") {
  // Found by the model test: a server added before the read and removed before the watcher's
  // listing appears as removed in neither, and stayed in use although the follower considered its
  // data complete.
  const Time now = kStart + milliseconds(1'000);
  const Decision decision = Reduce(kSettings, Listed(9), Answer(7, 12, now), now);
  CHECK_FALSE(decision.apply);
  CHECK(decision.state.revision == At(9));
  CHECK(decision.state.current_at == kStart);
  // An answer that covers nothing newer than the read is still valid.
  const Decision older = Reduce(kSettings, Listed(9), Answer(7, 9, now), now);
  CHECK(older.state.current_at == now);
}

TEST_CASE("Answers of another era are not applied, and those of a later era cause a listing") {
  const Time now = kStart + milliseconds(1'000);
  Relayed later = Answer(7, 12, now);
  later.to_revision = {2, 4};  // Lower number, but later era.
  const Decision told = Reduce(kSettings, Listed(7), later, now);
  CHECK_FALSE(told.apply);
  CHECK(told.state.revision == At(7));
  CHECK(told.state.current_at == kStart);
  CHECK(NextRead(kSettings, told.state) <= now);
  CHECK(NextReadKind(kSettings, told.state, now) == ReadKind::kListing);
  State listed = Reduce(kSettings, told.state, ReadBegun{ReadKind::kListing}, now).state;
  listed = Reduce(kSettings, listed, ReadEnded{{2, 4}}, now + milliseconds(10)).state;
  CHECK(listed.revision == StoreRevision{2, 4});
  const Time after = now + milliseconds(500);
  const Decision earlier = Reduce(kSettings, listed, Answer(7, 300, after), after);
  CHECK_FALSE(earlier.apply);
  CHECK(earlier.state.revision == StoreRevision{2, 4});
  CHECK(earlier.state.current_at == now);
  CHECK(NextReadKind(kSettings, Reduce(kSettings, Listed(7), EraObserved{2}, now).state, now) ==
        ReadKind::kListing);
}

TEST_CASE("A failed read is retried after its delay, also while a watcher answers") {
  State state = Reduce(kSettings, Listed(7), ReadBegun{}, kStart).state;
  state = Reduce(kSettings, state, ReadFailed{milliseconds(100)}, kStart + milliseconds(900)).state;
  CHECK(NextRead(kSettings, state) == kStart + milliseconds(1'000));
}

TEST_CASE("A gap reported during a read causes another read") {
  State state = Reduce(kSettings, Listed(7), ReadBegun{}, kStart).state;
  Relayed gap = Answer(9, 12, kStart);
  state = Reduce(kSettings, state, gap, kStart + milliseconds(5)).state;
  state = Reduce(kSettings, state, ReadEnded{At(8)}, kStart + milliseconds(10)).state;
  CHECK(NextRead(kSettings, state) == kStart + milliseconds(510));
}

TEST_CASE("A complete answer cancels the urgent read that a failure had caused") {
  State state = Reduce(kSettings, Listed(7), ReadBegun{}, kStart + milliseconds(2'200)).state;
  state =
      Reduce(kSettings, state, ReadFailed{milliseconds(500)}, kStart + milliseconds(2'210)).state;
  const Time now = kStart + milliseconds(2'600);
  state = Reduce(kSettings, state, Answer(7, 9, now - milliseconds(100)), now).state;
  CHECK(NextRead(kSettings, state) == now - milliseconds(100) + milliseconds(2'200));
}

TEST_CASE("Followers retry the store less often if the watcher cannot read it either") {
  const Time now = kStart + milliseconds(3'000);
  State state = Reduce(kSettings, Listed(7), Answer(7, 7, kStart), now).state;
  CHECK(MaxRetryDelay(kSettings, state, now) == kSettings.max_age);
  CHECK(MaxRetryDelay(kSettings, state, now + milliseconds(1'300)) == kSettings.max_retry_delay);
  const State leads = Reduce(kSettings, state, RoleChanged{true}, now).state;
  CHECK(MaxRetryDelay(kSettings, leads, now) == kSettings.max_retry_delay);
  // The watcher reads the store; only this daemon cannot reach it.
  state = Reduce(kSettings, state, Answer(7, 7, now - milliseconds(300)), now).state;
  CHECK(MaxRetryDelay(kSettings, state, now) == kSettings.max_retry_delay);
}

TEST_CASE("An announced configuration may be read stale; its version shows an outdated answer") {
  const Time now = kStart + milliseconds(1'000);
  Relayed answer = Answer(7, 12, now - milliseconds(50));
  answer.newer_configuration = true;
  State told = Reduce(kSettings, Listed(7), answer, now).state;
  CHECK(NextReadKind(kSettings, told, now) == ReadKind::kAnnouncedConfiguration);
  told = Reduce(kSettings, told, ReadBegun{ReadKind::kAnnouncedConfiguration}, now).state;
  // The announced version: it is current as of the watcher's statement, regardless of the revision
  // in the store's answer.
  const State read = Reduce(kSettings, told, ReadEnded{At(9)}, now + milliseconds(10)).state;
  CHECK(read.configuration_revision == At(12));
  CHECK(read.configuration_at == now - milliseconds(50));
  CHECK(NextRead(kSettings, read) > now + milliseconds(500));
  // An older version: it is read again immediately, without allowing a stale answer.
  ReadEnded outdated{At(9)};
  outdated.outdated = true;
  State missed = Reduce(kSettings, told, outdated, now + milliseconds(10)).state;
  CHECK(missed.configuration_at == kStart);
  CHECK(NextRead(kSettings, missed) <= now + milliseconds(10));
  CHECK(NextReadKind(kSettings, missed, now + milliseconds(10)) == ReadKind::kConfiguration);
}

}  // namespace
}  // namespace moorfold::follow
