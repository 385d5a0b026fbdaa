#include "detour/server_contact.h"

#include <catch2/catch.hpp>

namespace moorfold::detour {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kManyServers = 20;

TEST_CASE("Failures of one server do not make the daemon doubt its own network") {
  ServerContact contact;
  const ServerContact::Time now{std::chrono::seconds(100)};
  for (int failure = 0; failure < 10; ++failure) contact.RecordFailure("a", now);
  CHECK(contact.State(kManyServers, now) == ContactState::kReachable);
}

TEST_CASE("Different servers that fail in a row isolate the daemon until one responds") {
  ServerContact contact;
  const ServerContact::Time now{std::chrono::seconds(100)};
  contact.RecordFailure("a", now);
  contact.RecordFailure("b", now);
  CHECK(contact.State(kManyServers, now) == ContactState::kDoubtful);
  contact.RecordFailure("c", now);
  contact.RecordFailure("d", now);
  CHECK(contact.State(kManyServers, now) == ContactState::kIsolated);
  contact.RecordResponse();
  CHECK(contact.State(kManyServers, now) == ContactState::kReachable);
}

TEST_CASE("A daemon of few servers is isolated when all of them fail") {
  ServerContact contact;
  const ServerContact::Time now{std::chrono::seconds(100)};
  contact.RecordFailure("a", now);
  contact.RecordFailure("b", now);
  CHECK(contact.State(2, now) == ContactState::kIsolated);
}

TEST_CASE("Failures of the past do not isolate a daemon that has tried nothing since") {
  ServerContact contact;
  const ServerContact::Time now{std::chrono::seconds(100)};
  for (const char* server : {"a", "b", "c", "d"}) contact.RecordFailure(server, now);
  CHECK(contact.State(kManyServers, now + milliseconds(3'001)) == ContactState::kReachable);
}

}  // namespace
}  // namespace moorfold::detour
