#include "quarantine/quarantine_record.h"

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "fake_key_value_store.h"
#include "fleet/fleet_messages.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kKey = "moorfold/quarantine";

CaseUpdate Quarantined(const std::string& body) {
  return {FingerprintOf({"h", "/p", "", body}), "s", {{"i-1", "v1", 5}}, {}, {"v1"}};
}

struct RecordFixture {
  RecordFixture() : store(context, table), log(-1, {}) {}

  QuarantineNotice Stored() {
    const RangeResult read = table.Range({kKey, ""});
    return read.entries.empty() ? QuarantineNotice{}
                                : DecodeMessage<QuarantineNotice>(read.entries[0].value);
  }
  /// Calls Write repeatedly, as a leader does, until the store holds the given number of cases.
  bool WriteUntilStored(const QuarantineNotice& new_record, std::size_t cases) {
    const auto deadline = BootClock::now() + milliseconds(10'000);
    while (Stored().cases.size() != cases && BootClock::now() < deadline) {
      record.Write(new_record);
      context.restart();
      context.run_for(milliseconds(100));
    }
    return Stored().cases.size() == cases;
  }

  boost::asio::io_context context;
  KeyValueTable table;
  FakeKeyValueStore store;
  EventLog log;
  std::vector<QuarantineNotice> received_notices;
  QuarantineRecord record{store, log, kKey, [this](const QuarantineNotice& notice) {
                            received_notices.push_back(notice);
                          }};
};

TEST_CASE("A leader with an outdated view of the store entry reads it before it writes its own") {
  RecordFixture fixture;
  // A previous leader wrote the entry while this daemon followed it and read no keys.
  Transaction before;
  before.operations.emplace_back(
      PutOperation{kKey, EncodeMessage(QuarantineNotice{{Quarantined("a")}}), {}});
  fixture.table.Transact(before);
  CHECK(fixture.WriteUntilStored({{Quarantined("a"), Quarantined("b")}}, 2));
  REQUIRE(fixture.received_notices.size() == 1);
  CHECK(fixture.received_notices[0].cases.size() == 1);
}

TEST_CASE(
    "A write whose response is lost is found to be applied, and an empty list removes the entry") {
  RecordFixture fixture;
  fixture.record.Seen("", fixture.table.revision());  // From the listing at daemon start.
  fixture.store.lose_answers = true;
  CHECK(fixture.WriteUntilStored({{Quarantined("a")}}, 1));
  fixture.store.lose_answers = false;
  CHECK(fixture.WriteUntilStored({{Quarantined("a"), Quarantined("b")}}, 2));
  CHECK(fixture.WriteUntilStored({}, 0));
  CHECK(fixture.table.Range({kKey, ""}).entries.empty());
}

TEST_CASE(
    "Nothing is written if the store holds the same quarantined requests, whatever their ages") {
  RecordFixture fixture;
  CHECK(fixture.WriteUntilStored({{Quarantined("a")}}, 1));
  const StoreRevision revision = fixture.table.Range({kKey, ""}).revision;
  QuarantineNotice older{{Quarantined("a")}};
  older.cases[0].crashes[0].age_ms = 60'000;
  for (int write = 0; write < 3; ++write) {
    fixture.record.Write(older);
    fixture.context.restart();
    fixture.context.run_for(milliseconds(600));
  }
  CHECK(fixture.table.Range({kKey, ""}).revision == revision);
}

}  // namespace
}  // namespace moorfold
