// Request metrics by route, kind, outcome and reason, and the log of open requests.

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "pipeline_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

const std::string kSealed = "X-Response-Seal: s1\r\nX-Request-Id: one\r\n";

std::uint64_t CountEnded(PipelineFixture& fixture, const char* kind, RequestOutcome outcome,
                         EndReason reason, const char* route = "r") {
  std::uint64_t count = 0;
  fixture.OnThread([&] {
    count = fixture.metrics().requests_ended.Count(
        {{"route", route}, {"kind", kind}, {"outcome", Name(outcome)}, {"reason", Name(reason)}});
  });
  return count;
}

ScriptedServer::Script AnswerWith(const std::string& answer) {
  return [answer](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) connection.Write(answer);
  };
}

/// Polls `condition`: counters are updated after the client has received its response.
bool EventuallyTrue(const std::function<bool()>& condition) {
  for (int attempt = 0; attempt < 1'000; ++attempt) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

TEST_CASE("Each end of a request is counted by route, kind, outcome and reason") {
  PipelineFixture fixture;
  ScriptedServer good(AnswerWith("HTTP/1.1 200 OK\r\n" + kSealed + "Content-Length: 0\r\n\r\n"));
  ScriptedServer failing(
      AnswerWith("HTTP/1.1 500 Bad\r\n" + kSealed + "Content-Length: 0\r\n\r\n"));
  ScriptedServer resetting([](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Reset();
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  struct Case {
    const char* id;
    const ScriptedServer* server;
    RequestOutcome outcome;
    EndReason reason;
  };
  const std::vector<Case> cases = {
      {"i-1", &good, RequestOutcome::kAnswered, EndReason::kNone},
      {"i-2", &failing, RequestOutcome::kAnswered, EndReason::kServerError},
      {"i-3", &resetting, RequestOutcome::kFailed, EndReason::kServerFailed},
  };
  for (const Case& each : cases) {
    CAPTURE(Name(each.reason));
    fixture.AddServer(each.id, each.server->endpoint());
    fixture.Exchange(PipelineFixture::Request());
    CHECK(EventuallyTrue(
        [&] { return CountEnded(fixture, "at_most_once", each.outcome, each.reason) == 1; }));
    fixture.OnThread([&] { fixture.view().servers.Remove(each.id); });
  }
  fixture.Exchange(PipelineFixture::Request("/p/x", "", "40"));
  CHECK(CountEnded(fixture, "at_most_once", RequestOutcome::kRefused, EndReason::kNoServer) == 1);
  fixture.Exchange(PipelineFixture::Request("/other/"));
  CHECK(CountEnded(fixture, "none", RequestOutcome::kRefused, EndReason::kNoRoute, "none") == 1);
}

TEST_CASE("The time to the response head and the gaps between events are separate metrics") {
  PipelineFixture fixture;
  ScriptedServer server([](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 200 OK\r\n" + kSealed + "Connection: close\r\n\r\n");
    connection.Write("id: 1\ndata: a\n\n");
    std::this_thread::sleep_for(milliseconds(30));
    connection.Write("id: 2\ndata: b\n\n");
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kStream)});
  fixture.AddServer("i-1", server.endpoint());
  fixture.Exchange(PipelineFixture::Request());
  std::string text;
  REQUIRE(EventuallyTrue([&] {
    fixture.OnThread([&] { text = fixture.metrics().Render(); });
    return text.find("moorfold_time_to_end_ms_count 1\n") != std::string::npos;
  }));
  CHECK(text.find("moorfold_time_to_answer_ms_count 1\n") != std::string::npos);
  CHECK(text.find("moorfold_event_gap_ms_count 1\n") != std::string::npos);
  CHECK(text.find("moorfold_event_gap_ms_bucket{le=\"20\"} 0\n") != std::string::npos);
}

TEST_CASE("A client disconnect is counted by the progress of its request") {
  PipelineFixture fixture;
  std::atomic<int> reached{0};
  ScriptedServer silent([&](ScriptedConnection& connection) {
    connection.ReadHead();
    ++reached;
    connection.AwaitClose(milliseconds(20'000));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", silent.endpoint());
  fixture.SendAndDisconnect(PipelineFixture::Request(), [&] { return reached > 0; });
  CHECK(EventuallyTrue([&] {
    return CountEnded(fixture, "at_most_once", RequestOutcome::kClientLeft,
                      EndReason::kLeftAtServer) == 1;
  }));
  fixture.OnThread([&] { fixture.view().servers.Remove("i-1"); });
  fixture.SendAndDisconnect(PipelineFixture::Request(), [&] {
    bool waiting = false;
    fixture.OnThread([&] { waiting = fixture.view().demand.Waiting() > 0; });
    return waiting;
  });
  CHECK(EventuallyTrue([&] {
    return CountEnded(fixture, "at_most_once", RequestOutcome::kClientLeft,
                      EndReason::kLeftWaiting) == 1;
  }));
}

TEST_CASE("Requests interrupted by a planned stop are counted with their own reason") {
  PipelineFixture fixture;
  std::atomic<int> reached{0};
  ScriptedServer silent([&](ScriptedConnection& connection) {
    connection.ReadHead();
    ++reached;
    connection.AwaitClose(milliseconds(20'000));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", silent.endpoint());
  fixture.SendAndDisconnect(PipelineFixture::Request(), [&] {
    if (reached == 0) return false;
    fixture.OnThread([&] { fixture.pipeline().ReportInterrupted(); });
    return true;
  });
  CHECK(CountEnded(fixture, "at_most_once", RequestOutcome::kFailed, EndReason::kDaemonStopped) ==
        1);
}

/// @return an urgent stream route under /p/ and a less urgent one under /q/.
std::vector<Route> RoutesOfTwoPriorities() {
  Route urgent = PipelineFixture::MakeRoute(RouteType::kStream);
  urgent.gap_target = milliseconds(300);
  Route other = PipelineFixture::MakeRoute(RouteType::kStream);
  other.name = "q";
  other.path_prefix = "/q/";
  other.priority = 1;
  return {urgent, other};
}

TEST_CASE("Paced requests and long prompts are counted by work and pool") {
  const bool separation = GENERATE(true, false);
  CAPTURE(separation);
  PipelineSettings settings{"z"};
  settings.prompt_separation = separation;
  PipelineFixture fixture(settings);
  ScriptedServer server([](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 200 OK\r\n" + kSealed + "Connection: close\r\n\r\n");
    connection.Write("id: 1\ndata: a\n\n");
  });
  fixture.SetRoutes(RoutesOfTwoPriorities(), true);
  fixture.AddServer("i-1", server.endpoint(), {{"m", {}}});
  const std::string short_prompt = "X-Model: m\r\nX-Prompt-Prefix: a:600\r\n";
  const std::string long_prompt = "X-Model: m\r\nX-Prompt-Prefix: a:9000\r\n";
  for (const char* path : {"/p/x", "/q/x"})
    for (const std::string& headers : {short_prompt, long_prompt})
      CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request(path, headers))) ==
            200);
  GatewayMetrics& metrics = fixture.metrics();
  REQUIRE(EventuallyTrue([&] {
    std::uint64_t ended = 0;
    fixture.OnThread([&] { ended = metrics.requests_ended.Total(); });
    return ended == 4;
  }));
  const std::uint64_t expected = separation ? 1 : 0;
  fixture.OnThread([&] {
    const LabelledCounter& counter = metrics.requests_by_pool;
    CHECK(counter.Count({{"work", "paced"}, {"pool", "own"}}) == expected);
    CHECK(counter.Count({{"work", "long_prompt"}, {"pool", "own"}}) == expected);
    CHECK(counter.Total() == 2 * expected);
  });
}

/// @return what a reporter logs during `action`.
std::string LoggedBy(const std::function<void(RequestReporter&)>& action) {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  boost::asio::io_context context;
  FleetView view(context.get_executor());
  GatewayMetrics metrics;
  EventLog log(ends[1], {});
  RequestReporter reporter(view, metrics, log);
  action(reporter);
  log.Flush();
  close(ends[1]);
  std::string out(4096, '\0');
  const ssize_t length = read(ends[0], out.data(), out.size());
  close(ends[0]);
  REQUIRE(length > 0);
  out.resize(static_cast<std::size_t>(length));
  return out;
}

std::string EndLineOf(const GatewayRequest& request) {
  return LoggedBy([&](RequestReporter& reporter) {
    RequestEnd end;
    end.outcome = RequestOutcome::kRefused;
    reporter.ReportEnd(request, end);
  });
}

TEST_CASE("A failed attempt's line tells which sending, which connection and whose response") {
  GatewayRequest request;
  request.id = "one";
  request.sends = 3;
  ServerRecord record;
  record.id = "i-1";
  const Server server(std::move(record));
  AttemptResult result;
  result.trace = {17, 5, ResponseIdentity::kAbsent};
  const auto line = LoggedBy(
      [&](RequestReporter& reporter) { reporter.ReportFailedAttempt(request, server, result); });
  CHECK(line.find(" server=i-1 sends=3 connection=17 carried=5 response_id=absent ") !=
        std::string::npos);
}

TEST_CASE("The line of a request's end names its work, and its pool once it was sent") {
  GatewayRequest request;
  request.id = "one";
  request.arrival = BootClock::now();
  request.sends = 1;
  CHECK(EndLineOf(request).find(" work=") == std::string::npos);
  CHECK(EndLineOf(request).find(" pool=") == std::string::npos);
  request.work = balancing::RequestWork::kPaced;
  CHECK(EndLineOf(request).find(" work=paced pool=own") != std::string::npos);
  request.work = balancing::RequestWork::kLongPrompt;
  request.other_pool = true;
  CHECK(EndLineOf(request).find(" work=long_prompt pool=other") != std::string::npos);
  request.sends = 0;
  CHECK(EndLineOf(request).find(" work=long_prompt") != std::string::npos);
  CHECK(EndLineOf(request).find(" pool=") == std::string::npos);
}

TEST_CASE("Requests open for a while are logged once, so that the log names them after a kill") {
  const auto now = BootClock::now();
  GatewayRequest long_open;
  long_open.id = "old-one";
  long_open.arrival = now - milliseconds(600);
  GatewayRequest recent;
  recent.id = "young";
  recent.arrival = now;
  const std::set<GatewayRequest*> active = {&long_open, &recent};
  const std::string out = LoggedBy([&](RequestReporter& reporter) {
    reporter.LogOpenRequests(active, now);
    reporter.LogOpenRequests(active, now);
  });
  CHECK(out.find("event=requests_open ids=old-one\n") != std::string::npos);
  CHECK(out.find("old-one", out.find("old-one") + 1) == std::string::npos);
  CHECK(out.find("young") == std::string::npos);
}

}  // namespace
}  // namespace moorfold
