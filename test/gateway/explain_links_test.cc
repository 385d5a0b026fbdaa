#include "gateway/explain_links.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

TEST_CASE(
    "A request that crashed several servers is listed before requests that shared one server") {
  const std::string log =
      "1.0 a t_us=1 event=attempt_failed id=1 server=i-1 status=0 ran=maybe problem=\"x\" "
      "link=ended_by_server fingerprint=cc\n"
      "1.0 b t_us=1 event=attempt_failed id=2 server=i-1 status=200 ran=maybe problem=\"x\" "
      "link=ended_by_server fingerprint=aa\n"
      "2.0 b t_us=2 event=attempt_failed id=3 server=i-2 status=0 ran=maybe problem=\"x\" "
      "link=ended_by_server fingerprint=cc\n"
      "2.0 b t_us=2 event=attempt_failed id=4 server=i-3 status=0 ran=no problem=\"x\" "
      "link=open fingerprint=aa\n";
  const std::vector<std::string> expected = {
      "links ended by servers, by request:", "  cc: 2 servers, 2 tries at 2 daemons: i-1 i-2",
      "  aa: 1 servers, 1 tries at 1 daemons: i-1"};
  CHECK(ExplainEndedLinks(ParseLog(log, "all.log")) == expected);
}

TEST_CASE("Requests that differ but share a prompt part are listed together under that part") {
  const std::string log =
      "1.0 a t_us=1 event=attempt_failed id=1 server=i-1 status=0 ran=maybe problem=\"x\" "
      "link=ended_by_server fingerprint=aa parts=p1,p2\n"
      "2.0 b t_us=2 event=attempt_failed id=2 server=i-2 status=0 ran=maybe problem=\"x\" "
      "link=ended_by_server fingerprint=bb parts=p3,p2\n";
  const std::vector<std::string> report = ExplainEndedLinks(ParseLog(log, "all.log"));
  REQUIRE(report.size() == 7);
  CHECK(report[3] == "links ended by servers, by shared part of the prompt:");
  CHECK(report[4] == "  p2: 2 servers, 2 tries at 2 daemons: i-1 i-2");
}

TEST_CASE("Logs without connections closed by servers give no table") {
  CHECK(ExplainEndedLinks(ParseLog("t_us=1 event=start name=a\n", "a.log")).empty());
}

}  // namespace
}  // namespace moorfold
