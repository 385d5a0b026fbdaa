// The path of a request, against servers that answer as no sound server would.

#include <catch2/catch.hpp>

#include "clock_jump.h"
#include "common/boot_clock.h"
#include "pipeline_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

const std::string kSealed = "X-Response-Seal: s1\r\nX-Request-Id: one\r\n";

std::string Ok(const std::string& body, const std::string& headers = kSealed) {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Answers each request on a connection with the same bytes.
ScriptedServer::Script Always(std::string answer, std::atomic<int>* requests = nullptr) {
  return [answer, requests](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      if (requests != nullptr) ++*requests;
      connection.Write(answer);
    }
  };
}

ScriptedServer::Script ResetEach(std::atomic<int>* requests) {
  return [requests](ScriptedConnection& connection) {
    if (connection.ReadHead().empty()) return;
    ++*requests;
    connection.Reset();
  };
}

TEST_CASE("An answer passes with its status, headers and body unchanged") {
  PipelineFixture fixture;
  std::string seen;
  ScriptedServer server([&](ScriptedConnection& connection) {
    seen = connection.ReadHead();
    connection.Write("HTTP/1.1 404 Not Found\r\n" + kSealed +
                     "X-Other: kept\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  const std::string answer =
      fixture.Exchange(PipelineFixture::Request("/p/x?q=1", "X-Mine: 7\r\nKeep-Alive: 5\r\n"));
  CHECK(PipelineFixture::Status(answer) == 404);
  CHECK(answer.find("X-Response-Seal: s1") != std::string::npos);
  CHECK(answer.find("X-Other: kept") != std::string::npos);
  CHECK(answer.ends_with("\r\n\r\nbody"));
  CHECK(seen.starts_with("GET /p/x?q=1 HTTP/1.1"));
  CHECK(seen.find("X-Request-Id: one") != std::string::npos);
  CHECK(seen.find("X-Mine: 7") != std::string::npos);
  CHECK(seen.find("X-Expect-Instance: i-1") != std::string::npos);
  CHECK(seen.find("Keep-Alive") == std::string::npos);
}

TEST_CASE("The server gets the time that is left, never more") {
  PipelineFixture fixture;
  std::string seen;
  ScriptedServer server([&](ScriptedConnection& connection) {
    seen = connection.ReadHead();
    connection.Write(Ok("x"));
  });
  fixture.AddServer("i-1", server.endpoint());
  struct Case {
    const char* stated;
    int most;
  };
  for (const Case& each : {Case{"900", 900}, Case{"9000", 4'000}}) {
    fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kRepeatable)});
    fixture.Exchange(PipelineFixture::Request("/p/x", "", each.stated));
    const std::size_t at = seen.find("X-Deadline-Ms: ");
    REQUIRE(at != std::string::npos);
    const int left = std::stoi(seen.substr(at + 15));
    CHECK(left <= each.most);
    CHECK(left > 0);
  }
}

TEST_CASE("A request that must not run twice is sent once when no answer comes") {
  PipelineFixture fixture;
  std::atomic<int> requests{0};
  ScriptedServer first(ResetEach(&requests));
  ScriptedServer second(ResetEach(&requests));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", first.endpoint());
  fixture.AddServer("i-2", second.endpoint());
  const std::string answer = fixture.Exchange(PipelineFixture::Request());
  CHECK(PipelineFixture::Status(answer) == 502);  // No promise: it may have run.
  CHECK(answer.find("\"executed\":\"unknown\"") != std::string::npos);
  CHECK(requests == 1);
}

TEST_CASE("A request that may be repeated goes to another server, as often as its route allows") {
  PipelineFixture fixture;
  std::atomic<int> broken{0};
  ScriptedServer first(ResetEach(&broken));
  ScriptedServer second(ResetEach(&broken));
  ScriptedServer third(ResetEach(&broken));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kRepeatable)});
  fixture.AddServer("i-1", first.endpoint());
  fixture.AddServer("i-2", second.endpoint());
  fixture.AddServer("i-3", third.endpoint());
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request())) == 502);
  CHECK(broken == 2);
}

TEST_CASE("Any request goes elsewhere after a server says that it has not run it") {
  PipelineFixture fixture;
  fixture.OnThread([&] { fixture.pipeline().SetFreeRepeats(20); });
  std::atomic<int> refused{0};
  ScriptedServer full(
      Always("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nX-Server-Load: 4,9,4\r\n"
             "X-Request-Id: one\r\nContent-Length: 0\r\n\r\n",
             &refused));
  ScriptedServer sound(Always(Ok("done")));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", full.endpoint());
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request())) == 503);
  CHECK(refused >= 1);
  fixture.AddServer("i-2", sound.endpoint());
  CHECK(fixture.Exchange(PipelineFixture::Request()).ends_with("done"));
}

TEST_CASE(
    "A request that was not run waits for its share of the repeats instead of being refused") {
  // Found on the bench: after a restart the share was used up, and a request whose model had just
  // been unloaded was refused with most of its time left.
  PipelineFixture fixture;
  fixture.OnThread([&] { fixture.pipeline().SetFreeRepeats(0); });
  std::atomic<int> requests{0};
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty())
      connection.Write(requests++ == 0 ? "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
                                         "X-Request-Id: one\r\nContent-Length: 0\r\n\r\n"
                                       : Ok("done"));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  auto answer =
      std::async(std::launch::async, [&] { return fixture.Exchange(PipelineFixture::Request()); });
  while (requests == 0) std::this_thread::sleep_for(milliseconds(2));
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(requests == 1);  // No share, no second send.
  fixture.OnThread([&] { fixture.pipeline().SetFreeRepeats(5); });
  CHECK(answer.get().ends_with("done"));
}

TEST_CASE("A refusal of a server that does not say 'not run' never reaches the client as one") {
  PipelineFixture fixture;
  ScriptedServer server(Always("HTTP/1.1 503 Odd\r\n" + kSealed + "Content-Length: 0\r\n\r\n"));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request())) == 502);
}

TEST_CASE("A refusal names a time to come back and says that nothing ran") {
  PipelineFixture fixture;
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  const std::string answer = fixture.Exchange(PipelineFixture::Request("/p/x", "", "300"));
  CHECK(PipelineFixture::Status(answer) == 503);
  CHECK(answer.find("Retry-After: 0.") != std::string::npos);
  CHECK(answer.find("\"executed\":\"no\"") != std::string::npos);
}

TEST_CASE("A stream that finds no server is refused before its client gives a silent stream up") {
  // Found on the bench: clients leave a stream without an event after some seconds, long before
  // their deadline, and were held without a word until then.
  PipelineFixture fixture;
  Route route = PipelineFixture::MakeRoute(RouteType::kStream);
  route.timeout = std::chrono::minutes(10);
  fixture.SetRoutes({route}, true);
  const auto began = BootClock::now();
  const std::string answer =
      fixture.Exchange(PipelineFixture::Request("/p/x", "X-Model: nowhere\r\n", "600000"));
  CHECK(PipelineFixture::Status(answer) == 503);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  CHECK(BootClock::now() - began < std::chrono::minutes(1));
}

TEST_CASE("An unknown route is 404 only while the store was heard from lately") {
  PipelineFixture fixture;
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request("/q/"))) == 503);
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request("/q/"))) == 404);
  fixture.OnThread([&] { fixture.view().configuration_current_at -= std::chrono::seconds(60); });
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request("/q/"))) == 503);
}

TEST_CASE(
    "Answers that are not the server's whole answer to this request do not reach the client") {
  struct Case {
    const char* name;
    std::string bytes;
  };
  const std::vector<Case> cases = {
      {"no seal", Ok("x", "X-Request-Id: one\r\n")},
      {"an encoding nobody asked for", Ok("x", kSealed + "Content-Encoding: gzip\r\n")},
      {"cut short", "HTTP/1.1 200 OK\r\n" + kSealed + "Content-Length: 10\r\n\r\nabc"},
      {"no answer in the protocol", "\x01\x02garbage garbage\r\n\r\n"},
      {"only answers to another request",
       Ok("foreign", "X-Response-Seal: s\r\nX-Request-Id: two\r\n")}};
  for (const Case& each : cases) {
    CAPTURE(each.name);
    PipelineFixture fixture;
    ScriptedServer server([&](ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(each.bytes);
    });
    fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
    fixture.AddServer("i-1", server.endpoint());
    const std::string answer = fixture.Exchange(PipelineFixture::Request());
    CHECK(PipelineFixture::Status(answer) == 502);
    CHECK(answer.find("foreign") == std::string::npos);
  }
}

TEST_CASE("A surplus answer in the place of the next one is passed over") {
  PipelineFixture fixture;
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(Ok("old", "X-Response-Seal: s0\r\nX-Request-Id: zero\r\n") + Ok("mine"));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  CHECK(fixture.Exchange(PipelineFixture::Request()).ends_with("mine"));
}

TEST_CASE("A connection with bytes left over is not used again") {
  PipelineFixture fixture;
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) connection.Write(Ok("a") + "HTTP/1.1 200 OK\r\n");
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kRepeatable)});
  fixture.AddServer("i-1", server.endpoint());
  for (int round = 0; round < 3; ++round)
    CHECK(fixture.Exchange(PipelineFixture::Request()).ends_with("a"));
  CHECK(server.connections() == 3);
}

TEST_CASE("An answer that comes before the body was read passes, and its connection is not kept") {
  PipelineFixture fixture;
  ScriptedServer server([&](ScriptedConnection& connection) {
    if (connection.ReadHead().empty()) return;
    connection.Write(Ok("early"));
    connection.AwaitClose(milliseconds(20'000));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kRepeatable)});
  fixture.AddServer("i-1", server.endpoint());
  const std::string body(6 * 1024 * 1024, 'b');  // More than the socket buffers take.
  const std::string request =
      "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nConnection: close\r\n"
      "X-Deadline-Ms: 3000\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  CHECK(fixture.Exchange(request).ends_with("early"));
  CHECK(fixture.Exchange(PipelineFixture::Request()).ends_with("early"));
  CHECK(server.connections() == 2);
}

TEST_CASE("Another incarnation at the address ends the use of the server") {
  PipelineFixture fixture;
  std::atomic<int> requests{0};
  ScriptedServer server(Always(
      "HTTP/1.1 421 Misdirected\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n", &requests));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request("/p/", "", "300"))) ==
        503);
  fixture.Exchange(PipelineFixture::Request("/p/", "", "300"));
  CHECK(requests == 1);
}

TEST_CASE("A stream passes event by event, and a broken one does not look whole") {
  PipelineFixture fixture;
  const std::string head = "HTTP/1.1 200 OK\r\n" + kSealed + "Transfer-Encoding: chunked\r\n\r\n";
  const auto chunk = [](const std::string& text) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return std::string(size.data()) + text + "\r\n";
  };
  Route route = PipelineFixture::MakeRoute(RouteType::kStream);
  route.attempts = 1;
  SECTION("whole") {
    ScriptedServer server([&](ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
      connection.Write(chunk("ta: b\n\n") + "0\r\n\r\n");
    });
    fixture.SetRoutes({route});
    fixture.AddServer("i-1", server.endpoint());
    const std::string answer = fixture.Exchange(PipelineFixture::Request());
    CHECK(answer.find("id: 1\ndata: a\n\n") != std::string::npos);
    CHECK(answer.find("id: 2\ndata: b\n\n") != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
  }
  SECTION("broken off inside an event") {
    ScriptedServer server([&](ScriptedConnection& connection) {
      connection.ReadHead();
      connection.Write(head + chunk("id: 1\ndata: a\n\nid: 2\nda"));
      connection.Reset();
    });
    fixture.SetRoutes({route});
    fixture.AddServer("i-1", server.endpoint());
    const std::string answer = fixture.Exchange(PipelineFixture::Request());
    CHECK(answer.find("id: 2") == std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
  }
}

TEST_CASE("A resumable stream goes on at another server from the last whole event") {
  PipelineFixture fixture;
  std::atomic<int> servers_asked{0};
  std::string resumed_head;
  const auto script = [&](ScriptedConnection& connection) {
    const std::string head = connection.ReadHead();
    if (head.empty()) return;
    const std::string answer =
        "HTTP/1.1 200 OK\r\n" + kSealed + "Transfer-Encoding: chunked\r\n\r\n";
    if (servers_asked++ == 0) {
      connection.Write(answer + "11\r\nid: 1\ndata: a\n\nid\r\n");
      connection.Reset();
      return;
    }
    resumed_head = head;
    connection.Write(answer + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
  };
  ScriptedServer first(script);
  ScriptedServer second(script);
  Route route = PipelineFixture::MakeRoute(RouteType::kStream);
  route.resumable = true;
  fixture.SetRoutes({route});
  fixture.AddServer("i-1", first.endpoint());
  fixture.AddServer("i-2", second.endpoint());
  const std::string answer = fixture.Exchange(PipelineFixture::Request());
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(answer.find("data: b") != std::string::npos);
  CHECK(answer.ends_with("0\r\n\r\n"));
  CHECK(resumed_head.find("Last-Event-Id: 1") != std::string::npos);
}

TEST_CASE("A client that leaves ends the work of its server") {
  PipelineFixture fixture;
  std::promise<bool> closed;
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    closed.set_value(connection.AwaitClose(milliseconds(20'000)));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kStream)});
  fixture.AddServer("i-1", server.endpoint());
  {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), fixture.front().endpoint().port});
    boost::asio::write(socket, boost::asio::buffer(PipelineFixture::Request()));
    while (server.connections() == 0) std::this_thread::sleep_for(milliseconds(2));
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(closed.get_future().get());
}

TEST_CASE("The time of a route ends a request whose server keeps silent") {
  PipelineFixture fixture;
  ScriptedServer server([&](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.AwaitClose(milliseconds(20'000));
  });
  Route route = PipelineFixture::MakeRoute(RouteType::kAtMostOnce);
  route.timeout = milliseconds(150);
  fixture.SetRoutes({route});
  fixture.AddServer("i-1", server.endpoint());
  CHECK(PipelineFixture::Status(fixture.Exchange(PipelineFixture::Request())) == 504);
}

TEST_CASE("A request for a model that stands nowhere waits until a notice says where it is") {
  PipelineFixture fixture;
  ScriptedServer server(Always(Ok("loaded")));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kRepeatable)}, true);
  fixture.AddServer("i-1", server.endpoint());
  auto answer = std::async(std::launch::async, [&] {
    return fixture.Exchange(PipelineFixture::Request("/p/x", "X-Model: m/a1\r\n"));
  });
  bool waiting = false;
  while (!waiting) fixture.OnThread([&] { waiting = fixture.view().demand.Waiting() > 0; });
  fixture.OnThread([&] {
    ServerDirectory& servers = fixture.view().servers;
    servers.RecordModelHeld(servers.Find("i-1"), {"m", "a1"}, BootClock::now());
    fixture.view().changed.NotifyAll();
  });
  CHECK(answer.get().ends_with("loaded"));
}

TEST_CASE("Before a stop, what waits is refused and what runs without an answer gets one") {
  PipelineFixture fixture;
  std::atomic<bool> reached{false};
  ScriptedServer silent([&](ScriptedConnection& connection) {
    connection.ReadHead();
    reached = true;
    connection.AwaitClose(milliseconds(20'000));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)}, true);
  fixture.AddServer("i-1", silent.endpoint(), {{"held", {}}});
  auto running = std::async(std::launch::async, [&] {
    return fixture.Exchange(PipelineFixture::Request("/p/x", "X-Model: held\r\n"));
  });
  auto waiting = std::async(std::launch::async, [&] {
    return fixture.Exchange(PipelineFixture::Request("/p/x", "X-Model: nowhere\r\n"));
  });
  bool both = false;
  while (!both) fixture.OnThread([&] { both = reached && fixture.view().demand.Waiting() > 0; });
  fixture.OnThread([&] { fixture.pipeline().RefuseWaiting(); });
  CHECK(PipelineFixture::Status(waiting.get()) == 503);
  fixture.OnThread([&] { fixture.pipeline().AnswerAll(); });
  CHECK(PipelineFixture::Status(running.get()) == 504);
}

TEST_CASE("No request is taken on a kept connection after the last answers have begun") {
  // Found by a hunt: between the end of a stream and the next closing of idle connections, one more
  // request was read, and the process ended in the middle of its answer.
  PipelineFixture fixture;
  std::atomic<int> requests{0};
  std::promise<void> answer_now;
  std::shared_future<void> gate = answer_now.get_future().share();
  ScriptedServer server([&, gate](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      ++requests;
      gate.wait();
      connection.Write(Ok("x"));
    }
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kRepeatable)});
  fixture.AddServer("i-1", server.endpoint());
  const std::string request = "GET /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\n\r\n";
  auto answer = std::async(std::launch::async, [&] { return fixture.Exchange(request + request); });
  while (requests == 0) std::this_thread::sleep_for(milliseconds(2));
  fixture.OnThread([&] { fixture.front().CloseIdle(); });
  answer_now.set_value();
  CHECK(PipelineFixture::Status(answer.get()) == 200);
  CHECK(requests == 1);
}

TEST_CASE("A request whose time has passed while the machine was suspended is sent to no server") {
  ClockJump jump;
  PipelineFixture fixture;
  std::atomic<int> requests{0};
  ScriptedServer server(Always(Ok("x"), &requests));
  Route route = PipelineFixture::MakeRoute(RouteType::kAtMostOnce);
  route.target = milliseconds(2'000);
  fixture.SetRoutes({route});
  fixture.AddServer("i-0", {"127.0.0.1", 1});  // Nobody listens there: the request waits.
  std::string answer;
  std::thread client([&] { answer = fixture.Exchange(PipelineFixture::Request()); });
  std::this_thread::sleep_for(milliseconds(300));
  jump.Sleep(milliseconds(60'000));
  fixture.AddServer("i-1", server.endpoint());
  fixture.OnThread([&] { fixture.view().changed.NotifyAll(); });
  client.join();
  CHECK(PipelineFixture::Status(answer) == 503);
  CHECK(requests == 0);
}

}  // namespace
}  // namespace moorfold
