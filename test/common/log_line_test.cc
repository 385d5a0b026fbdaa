#include "common/log_line.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

std::string Logged(const std::string& value) {
  return LogLine("server").Field("service", value).text();
}

TEST_CASE("Bytes of other writers cannot end a log line or forge its fields") {
  CHECK(Logged("s-1.a/b:2") == "event=server service=s-1.a/b:2");
  CHECK(Logged("") == R"(event=server service="")");
  CHECK(Logged("two words") == R"(event=server service="two words")");
  CHECK(Logged("a=b") == R"(event=server service="a=b")");
  CHECK(Logged("a\"b") == R"(event=server service="a\"b")");
  CHECK(Logged("a\\b") == R"(event=server service="a\\b")");
  CHECK(Logged(std::string("a\0b", 3)) == R"(event=server service="a\x00b")");
  CHECK(Logged("a\nevent=start\r\t") == R"(event=server service="a\x0aevent=start\x0d\x09")");
  CHECK(Logged("\x1b[2J\x7f") == R"(event=server service="\x1b[2J\x7f")");
  CHECK(Logged("\xff\xc3\xa9") == R"(event=server service="\xff\xc3\xa9")");
}

TEST_CASE("A value of a megabyte does not make a log line of a megabyte") {
  const std::string line = Logged(std::string(1'000'000, '\n'));
  CHECK(line.size() < 20'000);
  CHECK(line.ends_with("...\""));
}

}  // namespace
}  // namespace moorfold
