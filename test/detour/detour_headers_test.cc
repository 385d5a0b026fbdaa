#include "detour/detour_headers.h"

#include <catch2/catch.hpp>
#include <limits>

namespace moorfold::detour {
namespace {

TEST_CASE("What one daemon tells another about a request arrives unchanged") {
  const Origin origin{std::numeric_limits<std::uint64_t>::max(), 61, true, false, 2};
  CHECK(ParseOrigin(Format(origin)) == origin);
  for (const Result& result : {Result{true, 0}, Result{false, 3}})
    CHECK(ParseResult(Format(result)) == result);
}

TEST_CASE("A malformed header from another daemon is not taken for a valid one") {
  for (const char* text : {"", ";", "1", "1;2;3;4", "1;2;3;4;", "1;2;3;4;5;6", "1;2;3;4;x",
                           " 1;2;3;4;5", "-1;2;3;4;5", "99999999999999999999;1;0;0;0"})
    CHECK_FALSE(ParseOrigin(text));
  for (const char* text : {"", "1", "1;", "1;2;3", "yes;0"}) CHECK_FALSE(ParseResult(text));
}

}  // namespace
}  // namespace moorfold::detour
