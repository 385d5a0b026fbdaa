// What a process keeps of a key.

#include "tenants/key_digest.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace moorfold {
namespace {

TEST_CASE("One key has one digest, and other keys have others") {
  CHECK(DigestOfKey("a key") == DigestOfKey("a key"));
  std::set<KeyDigest> digests;
  for (int number = 0; number < 10'000; ++number)
    digests.insert(DigestOfKey("key " + std::to_string(number)));
  CHECK(digests.size() == 10'000);
}

TEST_CASE("Keys that begin alike, or hold each other, are told apart") {
  CHECK(DigestOfKey("abc") != DigestOfKey("ab"));
  CHECK(DigestOfKey("") != DigestOfKey(std::string(1, '\0')));
}

}  // namespace
}  // namespace moorfold
