#include "quarantine/fingerprint.h"

#include <catch2/catch.hpp>
#include <set>

namespace moorfold {
namespace {

TEST_CASE("Requests that differ in host, path, model or body have different fingerprints") {
  const RequestIdentity identity{"host", "/p/x?q=1", "m", "body"};
  CHECK(FingerprintOf(identity) == FingerprintOf(identity));
  const std::set<Fingerprint> different = {
      FingerprintOf(identity), FingerprintOf({"hos", "/p/x?q=1", "m", "body"}),
      FingerprintOf({"host", "/p/x", "m", "body"}), FingerprintOf({"host", "/p/x?q=1", "", "body"}),
      FingerprintOf({"host", "/p/x?q=1", "m", ""}),
      // The same characters, divided differently between the parts.
      FingerprintOf({"host/", "p/x?q=1", "m", "body"}),
      FingerprintOf({"host", "/p/x?q=1", "mb", "ody"})};
  CHECK(different.size() == 7);
}

TEST_CASE("A fingerprint survives conversion to text and back, and other text is rejected") {
  const Fingerprint fingerprint = FingerprintOf({"host", "/p", "m", "body"});
  CHECK(ToString(fingerprint).size() == 32);
  CHECK(ParseFingerprint(ToString(fingerprint)) == fingerprint);
  for (const char* wrong :
       {"", "00", "000102030405060708090a0b0c0d0e0", "zz0102030405060708090a0b0c0d0e0f",
        "000102030405060708090a0b0c0d0e0f00", "+00102030405060708090a0b0c0d0e0f"})
    CHECK_FALSE(ParseFingerprint(wrong));
}

}  // namespace
}  // namespace moorfold
