// Small components of the gateway: routes, prompts, events, settings, log, metrics.

#include <fcntl.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "config/strict_yaml.h"
#include "fake_key_value_store.h"
#include "gateway/counting_store.h"
#include "gateway/event_splitter.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/prompt.h"
#include "gateway/route_table.h"
#include "http/header_rules.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RouteTable MakeTable(const std::vector<std::pair<std::string, std::string>>& routes) {
  auto configuration = std::make_shared<RoutingConfiguration>();
  for (const auto& [host, prefix] : routes) {
    Route route;
    route.name = host + prefix;
    route.host = host;
    route.path_prefix = prefix;
    configuration->routes.push_back(route);
  }
  return RouteTable(configuration);
}

TEST_CASE("The longest matching path prefix selects the route of a host") {
  const RouteTable table = MakeTable({{"h", "/a/"}, {"h", "/a/b/"}, {"g", "/"}});
  struct Case {
    const char* host;
    const char* target;
    const char* route;
  };
  for (const Case& each : {Case{"h", "/a/b/c", "h/a/b/"}, Case{"h", "/a/bc", "h/a/"},
                           Case{"h:8080", "/a/", "h/a/"}, Case{"g", "/a/b/?x=/a/", "g/"},
                           Case{"h", "/", ""}, Case{"k", "/a/", ""}, Case{"h", "/x?/a/", ""}}) {
    CAPTURE(each.host, each.target);
    const Route* route = table.Find(each.host, each.target);
    CHECK((route == nullptr ? std::string() : route->name) == each.route);
  }
}

TEST_CASE("Any sequence of requests of a weighted route is close to its weights") {
  rc::check([] {
    Route route;
    route.name = "r";
    const auto parts = *rc::gen::inRange(2, 5);
    double total = 0;
    for (int part = 0; part < parts; ++part) {
      const double weight = *rc::gen::inRange(1, 100);
      route.services.push_back({std::to_string(part), weight});
      total += weight;
    }
    WeightedRoundRobin selector;
    std::map<std::string, double> counts;
    for (int request = 1; request <= 300; ++request) {
      ++counts[selector.Next(route)];
      for (const WeightedService& part : route.services)
        RC_ASSERT(std::abs(counts[part.service] - request * part.weight / total) <= parts);
    }
  });
}

TEST_CASE("Prompt parts and model names are parsed, and malformed parts are skipped") {
  const std::vector<PromptPart> parts = ParsePromptParts("a:800, b:410,bad,:7,c:x,d:2");
  REQUIRE(parts.size() == 4);
  CHECK(parts[0].id == "a");
  CHECK(parts[1].tokens == 410);
  CHECK(parts[3].id == "d");
  CHECK(ParsePromptParts("").empty());
  CHECK(ParseModelReference("m/a1").adapter == "a1");
  CHECK(ParseModelReference("m").adapter.empty());
  CHECK(ToString(ParseModelReference("m/a1")) == "m/a1");
}

TEST_CASE("Events come out complete, however the bytes are split") {
  rc::check([] {
    const std::string stream =
        "id: 1\ndata: x\n\nid: 2\ndata: y\n\nevent: z\r\ndata: 3\r\n\r\nrest";
    EventSplitter splitter;
    std::string out;
    std::size_t at = 0;
    while (at < stream.size()) {
      const auto length = *rc::gen::inRange<std::size_t>(1, 9);
      const std::string whole = splitter.Take(stream.substr(at, length));
      RC_ASSERT(whole.empty() || whole.ends_with("\n\n") || whole.ends_with("\r\n\r\n"));
      out += whole;
      at += length;
    }
    RC_ASSERT(out + "rest" == stream);
    RC_ASSERT(splitter.pending() == "rest");
    RC_ASSERT(splitter.last_id() == "2");
  });
}

TEST_CASE("Hop-by-hop headers are not forwarded") {
  const HttpHeaders headers = {{"Connection", "close, X-Own"}, {"X-Own", "1"},
                               {"Keep-Alive", "timeout=5"},    {"Transfer-Encoding", "chunked"},
                               {"Content-Length", "3"},        {"X-Kept", "2"}};
  const HttpHeaders passed = EndToEndHeaders(headers);
  REQUIRE(passed.size() == 1);
  CHECK(passed[0].name == "X-Kept");
}

const std::string kGoodSettings =
    "name: n\nzone: z\nlisten: 127.0.0.1:1\nreadiness: 127.0.0.1:2\npeer: 127.0.0.1:3\n"
    "store: 127.0.0.1:4\n";

TEST_CASE("Settings are parsed completely, and each error names its location and remedy") {
  const GatewaySettings settings = ParseGatewaySettings(
      kGoodSettings + "metrics: 9100/m\nretry_ratio: 0.1\norder_handover: 3s\n", "f");
  CHECK(settings.metrics->port == 9100);
  CHECK(settings.metrics->path == "/m");
  CHECK(settings.order_handover == seconds(3));
  CHECK(settings.prompt_separation);
  CHECK_FALSE(
      ParseGatewaySettings(kGoodSettings + "prompt_separation: false\n", "f").prompt_separation);
  struct Case {
    const char* name;
    std::string text;
    const char* expected_text;
  };
  for (const Case& each :
       {Case{"a missing field", "name: n\n", "zone"},
        Case{"a wrong address", kGoodSettings + "metrics: x/y\n", "PORT/PATH"},
        Case{"an unknown field", kGoodSettings + "retry_ration: 1\n", "retry_ratio"},
        Case{"no unit", kGoodSettings + "load_window: 5\n", "load_window"},
        Case{"out of range", kGoodSettings + "retry_ratio: 3\n", "retry_ratio"},
        Case{"neither true nor false", kGoodSettings + "prompt_separation: sometimes\n",
             "prompt_separation"},
        Case{"no YAML", "a: [", "f:"}}) {
    CAPTURE(each.name);
    try {
      ParseGatewaySettings(each.text, "f");
      FAIL("no error");
    } catch (const ConfigError& error) {
      CHECK(std::string(error.what()).find(each.expected_text) != std::string::npos);
    }
  }
}

TEST_CASE("The log never blocks: when its output is full, lines are dropped and counted") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  {
    EventLog log(ends[1], {.routine_per_second = 1'000'000,
                           .lines_per_second = 1'000'000,
                           .failures_per_second = 1'000'000});
    const std::string text(200, 'x');
    for (int line = 0; line < 5'000; ++line)  // One megabyte; the pipe is not read.
      log.Write(LogRank::kFailure, EventLine(LogEvent::kServer).Field(LogField::kProblem, text));
    CHECK(log.lost() > 0);
  }
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("Routine lines are dropped first when the log exceeds its rate") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  EventLog log(ends[1], {.routine_per_second = 2, .lines_per_second = 5, .failures_per_second = 9});
  for (int line = 0; line < 20; ++line)
    log.Write(LogRank::kRoutine, EventLine(LogEvent::kRequestEnd));
  for (int line = 0; line < 4; ++line)
    log.Write(LogRank::kFailure, EventLine(LogEvent::kStoreLost));
  log.Flush();
  std::string out(4096, '\0');
  const ssize_t got = read(ends[0], out.data(), out.size());
  REQUIRE(got > 0);
  out.resize(static_cast<std::size_t>(got));
  std::size_t failures = 0;
  for (std::size_t at = out.find("store_lost"); at != std::string::npos;
       at = out.find("store_lost", at + 1))
    ++failures;
  CHECK(failures == 4);
  CHECK(log.lost() >= 16);
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("Metrics are rendered in the Prometheus text format") {
  GatewayMetrics metrics;
  metrics.requests = 7;
  metrics.time_to_response_head.Observe(15);
  metrics.requests_ended.Add({{"route", "a"}, {"reason", "no_server"}});
  metrics.repeats_left.push_back({"s", 2.5});
  const std::string text = metrics.Render();
  CHECK(text.find("moorfold_requests_total 7\n") != std::string::npos);
  CHECK(text.find("moorfold_time_to_answer_ms_bucket{le=\"10\"} 0\n") != std::string::npos);
  CHECK(text.find("moorfold_time_to_answer_ms_bucket{le=\"20\"} 1\n") != std::string::npos);
  CHECK(text.find("moorfold_time_to_answer_ms_bucket{le=\"+Inf\"} 1\n") != std::string::npos);
  CHECK(text.find("moorfold_requests_ended_total{route=\"a\",reason=\"no_server\"} 1\n") !=
        std::string::npos);
  CHECK(text.find("moorfold_repeats_left{service=\"s\"} 2.5\n") != std::string::npos);
}

TEST_CASE("Label values are escaped, and the number of series is bounded") {
  LabelledCounter counter;
  counter.Add({{"route", "a\"b\\c\nd"}});
  counter.Add({{"route", "a\"b\\c\nd"}});
  std::string text;
  counter.Render("r", text);
  CHECK(text == "moorfold_r{route=\"a\\\"b\\\\c\\nd\"} 2\n");
  for (std::size_t route = 0; route < 2 * LabelledCounter::kMaxSeries; ++route)
    counter.Add({{"route", std::to_string(route)}});
  CHECK(counter.Total() == 2 + 2 * LabelledCounter::kMaxSeries);
  CHECK(counter.Count({{"route", "0"}}) == 1);
  CHECK(counter.Count({{"route", "100000"}}) == 0);
  std::string bounded;
  counter.Render("r", bounded);
  CHECK(bounded.find("others=\"true\"") != std::string::npos);
  CHECK(static_cast<std::size_t>(std::count(bounded.begin(), bounded.end(), '\n')) ==
        LabelledCounter::kMaxSeries + 1);
}

TEST_CASE("Calls to the store are counted by kind and outcome") {
  boost::asio::io_context context;
  KeyValueTable table;
  FakeKeyValueStore store(context, table);
  GatewayMetrics metrics;
  CountingStore counting(store, metrics);
  int answers = 0;
  counting.Range({"a", ""}, [&](const Outcome<RangeResult>& result) { answers += result.ok(); });
  counting.GrantLease(std::chrono::seconds(3), [&](const Outcome<LeaseId>&) { ++answers; });
  counting.KeepLeaseAlive({1, 99}, [&](const Outcome<Duration>&) { ++answers; });
  counting.RevokeLease({1, 99}, [&](const Outcome<bool>&) { ++answers; });
  store.lose_answers = true;
  counting.Transact({}, [&](const Outcome<TransactionResult>&) { ++answers; });
  store.unreachable = true;
  counting.Range({"a", ""}, [&](const Outcome<RangeResult>&) { ++answers; });
  bool ended = false;
  const auto watch = counting.Watch(
      {"a", ""}, {1, 1}, [](const WatchBatch&) {}, [&](const PlatformFailure&) { ended = true; });
  store.EndWatch();
  context.run();
  CHECK(answers == 6);
  CHECK(ended);
  const auto count = [&](const char* call, const char* outcome) {
    return metrics.store_calls.Count({{"call", call}, {"outcome", outcome}});
  };
  CHECK(count("range", "ok") == 1);
  CHECK(count("range", "unavailable") == 1);
  CHECK(count("grant_lease", "ok") == 1);
  CHECK(count("keep_lease", "rejected") == 1);
  CHECK(count("revoke_lease", "ok") == 1);
  CHECK(count("transact", "no_answer") == 1);
  CHECK(count("watch", "no_answer") == 1);
}

TEST_CASE("A log with a limit of 0 lines writes none and counts the dropped ones") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  EventLog log(ends[1], EventLog::Options::For(0));
  log.Write(LogRank::kFailure, EventLine(LogEvent::kStoreLost));
  log.Flush();
  close(ends[1]);
  char byte = 0;
  CHECK(read(ends[0], &byte, 1) == 0);
  CHECK(log.lost() == 1);
  close(ends[0]);
}

}  // namespace
}  // namespace moorfold
