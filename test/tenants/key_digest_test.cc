// Tests for key digests.

#include "tenants/key_digest.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace moorfold {
namespace {

TEST_CASE("Equal keys have equal digests, and different keys have different ones") {
  CHECK(DigestOfKey("a key") == DigestOfKey("a key"));
  std::set<KeyDigest> digests;
  for (int number = 0; number < 10'000; ++number)
    digests.insert(DigestOfKey("key " + std::to_string(number)));
  CHECK(digests.size() == 10'000);
}

TEST_CASE("Keys that share a prefix, and the empty key, have different digests") {
  CHECK(DigestOfKey("abc") != DigestOfKey("ab"));
  CHECK(DigestOfKey("") != DigestOfKey(std::string(1, '\0')));
}

}  // namespace
}  // namespace moorfold
