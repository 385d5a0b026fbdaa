#include "quarantine/fingerprint.h"

#include <catch2/catch.hpp>
#include <set>

namespace moorfold {
namespace {

TEST_CASE("Caller, host, path and body make a fingerprint, and nothing else does") {
  const RequestIdentity asked{"10.0.0.1", "host", "/p/x?q=1", "body"};
  CHECK(FingerprintOf(asked) == FingerprintOf(asked));
  const std::set<Fingerprint> different = {FingerprintOf(asked),
                                           FingerprintOf({"10.0.0.2", "host", "/p/x?q=1", "body"}),
                                           FingerprintOf({"10.0.0.1", "hos", "/p/x?q=1", "body"}),
                                           FingerprintOf({"10.0.0.1", "host", "/p/x", "body"}),
                                           FingerprintOf({"10.0.0.1", "host", "/p/x?q=1", ""}),
                                           // The same characters, cut elsewhere.
                                           FingerprintOf({"10.0.0.1", "host/", "p/x?q=1", "body"}),
                                           FingerprintOf({"10.0.0.1", "host", "/p/x?q=1b", "ody"})};
  CHECK(different.size() == 7);
}

TEST_CASE("A fingerprint is written as text and read again, and nothing else is read") {
  const Fingerprint fingerprint = FingerprintOf({"10.0.0.1", "host", "/p", "body"});
  CHECK(ToString(fingerprint).size() == 32);
  CHECK(ParseFingerprint(ToString(fingerprint)) == fingerprint);
  for (const char* wrong :
       {"", "00", "000102030405060708090a0b0c0d0e0", "zz0102030405060708090a0b0c0d0e0f",
        "000102030405060708090a0b0c0d0e0f00", "+00102030405060708090a0b0c0d0e0f"})
    CHECK_FALSE(ParseFingerprint(wrong));
}

}  // namespace
}  // namespace moorfold
