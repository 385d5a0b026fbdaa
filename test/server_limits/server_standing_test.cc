#include <catch2/catch.hpp>

#include "fleet/server_advisory.h"
#include "gateway/server_directory.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = ServerAdvisoryState::Time;

const Time kStart{std::chrono::hours(1)};

ServerAdvisory Limit(double per_second) {
  ServerAdvisory statement;
  statement.limit_per_second = per_second;
  return statement;
}

ServerRecord Record(std::int64_t incarnation) {
  ServerRecord record;
  record.id = "i-1";
  record.service = "s";
  record.incarnation = incarnation;
  return record;
}

TEST_CASE("A limit holds until a response to a later request states none") {
  ServerAdvisoryState advisory_state;
  CHECK(advisory_state.Take(Limit(2), kStart, kStart + milliseconds(50), false));
  CHECK(advisory_state.limit_per_second == 2.0);
  // Sent before the limit was learned, so its response may predate the limit.
  CHECK_FALSE(advisory_state.Take({}, kStart + milliseconds(40), kStart + milliseconds(60), true));
  CHECK(advisory_state.limit_per_second == 2.0);
  // A refusal or a response to an order need not state the limit.
  CHECK_FALSE(advisory_state.Take({}, kStart + milliseconds(70), kStart + milliseconds(80), false));
  CHECK(advisory_state.limit_per_second == 2.0);
  CHECK(advisory_state.Take({}, kStart + milliseconds(70), kStart + milliseconds(80), true));
  CHECK_FALSE(advisory_state.limit_per_second.has_value());
}

TEST_CASE("A stated limit survives new records of the same server incarnation and ends with it") {
  ServerDirectory directory;
  directory.Put(Record(7), kStart);
  directory.Find("i-1")->ApplyStatement(Limit(1), kStart, kStart, true);
  directory.Put(Record(7), kStart + milliseconds(400));
  CHECK(directory.Find("i-1")->advisory_state().limit_per_second == 1.0);
  ServerRecord moved = Record(7);
  moved.service = "t";
  directory.Put(moved, kStart + milliseconds(500));
  CHECK(directory.Find("i-1")->advisory_state().limit_per_second == 1.0);
  moved.incarnation = 8;
  directory.Put(moved, kStart + milliseconds(600));
  CHECK_FALSE(directory.Find("i-1")->advisory_state().limit_per_second.has_value());
}

}  // namespace
}  // namespace moorfold
