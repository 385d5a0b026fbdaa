#include "gateway/explain.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

const std::string kLog =
    "t_us=1000 event=start name=n zone=z\n"
    "no event here\n"
    "t_us=2000 event=configuration version=4 before=-1 routes=17\n"
    "t_us=3000 event=server server=i-1 service=s state=ready\n"
    "t_us=4000 event=server server=i-2 service=s state=ready\n"
    "t_us=5000 event=store_lost problem=\"no answer\"\n"
    "t_us=6000 event=attempt_failed id=r1 server=i-1 status=0 ran=maybe problem=\"reset by peer\"\n"
    "t_us=7000 event=request_end id=r1 outcome=failed status=502 work=paced pool=other server=i-1\n"
    "t_us=8000 event=configuration version=9 before=4 routes=18\n"
    "t_us=9000 event=request_end id=r10 outcome=answered status=200\n";

TEST_CASE("A request's lines are explained with the daemon's state at that time") {
  const auto report = ExplainRequest(ParseLog(kLog, "a.log"), "r1");
  std::string all;
  for (const std::string& line : report) all += line + "\n";
  CHECK(all.find("version=4") != std::string::npos);
  CHECK(all.find("store_lost") != std::string::npos);
  CHECK(all.find("event=server server=i-1") != std::string::npos);
  CHECK(all.find("reset by peer") != std::string::npos);
  CHECK(all.find("status=502 work=paced pool=other") != std::string::npos);
  CHECK(all.find("version=9") == std::string::npos);  // Later than the request.
  CHECK(all.find("i-2") == std::string::npos);        // No attempt was sent there.
  CHECK(all.find("id=r10") == std::string::npos);
  CHECK(all.find("2.0 ms before its end: event=store_lost") != std::string::npos);
}

TEST_CASE("A request that no log names has no explanation") {
  CHECK(ExplainRequest(ParseLog(kLog, "a.log"), "r2").empty());
  CHECK(ExplainRequest(ParseLog("", "a.log"), "r1").empty());
}

TEST_CASE("A request in progress when its daemon was killed is explained by the daemon's restart") {
  const std::string log =
      "t_us=1000 event=start name=n zone=z\n"
      "t_us=2000 event=requests_open ids=r1,r2\n"
      "t_us=3000 event=request_end id=r2 outcome=answered status=200\n"
      "t_us=9000 event=start name=n zone=z\n";
  const auto killed = ExplainRequest(ParseLog(log, "a.log"), "r1");
  REQUIRE_FALSE(killed.empty());
  CHECK(killed.back().find("ended without logging a stop; it started again 7.0 ms later") !=
        std::string::npos);
  const auto served = ExplainRequest(ParseLog(log, "a.log"), "r2");
  CHECK(served.back().find("event=request_end id=r2") != std::string::npos);
  CHECK(ExplainRequest(ParseLog(log, "a.log"), "r").empty());
}

}  // namespace
}  // namespace moorfold
