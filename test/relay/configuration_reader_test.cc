#include "relay/configuration_reader.h"

#include <catch2/catch.hpp>

#include "fleet/fleet_messages.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = ConfigurationReader::Time;

constexpr Time kStart{std::chrono::seconds(1'000)};
constexpr std::int64_t kVersion = 7;
constexpr StoreRevision kRevision{1, 90};

std::string LongText(char filling) { return std::string(20'000, filling) + "}"; }

struct Reading {
  Reading() { reader.Want(kVersion); }
  /// Sends one request and takes the answer of a relay that has `text`.
  std::optional<ConfigurationReader::Text> Exchange(const std::string& text) {
    const std::optional<ConfigurationPartRequest> request = reader.Due(now);
    REQUIRE(request);
    const std::optional<ConfigurationPart> part = PartOf(text, kRevision, *request);
    REQUIRE(part);
    CHECK(EncodeMessage(FleetMessage(*part)).size() < 8'000);
    return reader.Take(*part);
  }
  ConfigurationReader reader;
  Time now = kStart;
};

TEST_CASE("A text is assembled from its parts exactly as stored") {
  Reading reading;
  CHECK_FALSE(reading.Exchange(LongText('a')));
  CHECK_FALSE(reading.Exchange(LongText('a')));
  const std::optional<ConfigurationReader::Text> text = reading.Exchange(LongText('a'));
  REQUIRE(text);
  CHECK(text->bytes == LongText('a'));
  CHECK(text->revision == kRevision);
  CHECK_FALSE(reading.reader.running());
}

TEST_CASE("Parts of two different texts are not combined") {
  Reading reading;
  CHECK_FALSE(reading.Exchange(LongText('a')));
  CHECK_FALSE(reading.Exchange(LongText('b')));
  // Restarts from the first part.
  CHECK(reading.reader.Due(reading.now)->part == 0);
}

TEST_CASE("A text that does not match its digest is rejected") {
  Reading reading;
  const std::optional<ConfigurationPartRequest> request = reading.reader.Due(reading.now);
  std::optional<ConfigurationPart> part = PartOf("{}", kRevision, *request);
  REQUIRE(part);
  CHECK_FALSE(part->more);
  part->bytes = "[]";
  CHECK_FALSE(reading.reader.Take(*part));
  CHECK(reading.reader.running());
}

TEST_CASE("A missing part is requested again; parts that were not requested are ignored") {
  Reading reading;
  const std::optional<ConfigurationPartRequest> first = reading.reader.Due(reading.now);
  REQUIRE(first);
  CHECK_FALSE(reading.reader.Due(reading.now + milliseconds(100)));
  CHECK(reading.reader.Due(reading.now + milliseconds(200)));
  ConfigurationPart other = *PartOf(LongText('a'), kRevision, *first);
  other.version = kVersion - 1;
  CHECK_FALSE(reading.reader.Take(other));
  ConfigurationPart late = *PartOf(LongText('a'), kRevision, {kVersion, 1});
  CHECK_FALSE(reading.reader.Take(late));
  reading.reader.Want(kVersion + 1);
  CHECK(reading.reader.Due(reading.now + milliseconds(200))->version == kVersion + 1);
  reading.reader.Stop();
  CHECK_FALSE(reading.reader.Due(reading.now + milliseconds(900)));
}

TEST_CASE("A request for a part beyond the end has no answer") {
  CHECK_FALSE(PartOf("{}", kRevision, {kVersion, 1}));
  CHECK_FALSE(PartOf("", kRevision, {kVersion, 0}));
}

}  // namespace
}  // namespace moorfold
