// Resumable streams while servers of two software versions serve side by side.

#include <catch2/catch.hpp>

#include "two_servers.h"

namespace moorfold {
namespace {

/// A server that breaks each new stream off after its first event and completes each resumed one.
struct StreamServer {
  explicit StreamServer(std::function<void(StreamServer&)> before_break = {})
      : server([this, before_break = std::move(before_break)](ScriptedConnection& connection) {
          for (std::string head = connection.ReadHead(); !head.empty();
               head = connection.ReadHead()) {
            connection.Write("HTTP/1.1 200 OK\r\n" + kSealed +
                             "Transfer-Encoding: chunked\r\n\r\n");
            if (head.find("Last-Event-Id: 1\r\n") != std::string::npos) {
              ++resumed;
              connection.Write("f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
              continue;
            }
            connection.Write("f\r\nid: 1\ndata: a\n\n\r\n");
            if (before_break) before_break(*this);
            connection.Reset();
            return;
          }
        }) {}

  std::atomic<int> resumed = 0;
  ScriptedServer server;
};

/// The route's streams may be resumed; the time is long enough for a machine that is busy.
struct ResumableStreams {
  ResumableStreams() {
    Route route = PipelineFixture::MakeRoute(RouteType::kStream);
    route.resumable = true;
    fixture.SetRoutes({route});
  }
  std::string Send() { return fixture.Exchange(PipelineFixture::Request("/p/x", "", "60000")); }
  static bool IsComplete(const std::string& answer) {
    return answer.find("data: a") != std::string::npos &&
           answer.find("data: b") != std::string::npos && answer.ends_with("0\r\n\r\n");
  }

  PipelineFixture fixture;
};

struct ServerIds {
  std::string first;
  std::string second;
  std::string third;
};

/// Each test runs with the IDs in any order, so that the tie-break does not matter.
ServerIds AnyOrderOfIds() {
  return GENERATE(ServerIds{"i-1", "i-2", "i-3"}, ServerIds{"i-1", "i-3", "i-2"},
                  ServerIds{"i-2", "i-1", "i-3"}, ServerIds{"i-2", "i-3", "i-1"},
                  ServerIds{"i-3", "i-1", "i-2"}, ServerIds{"i-3", "i-2", "i-1"});
}

TEST_CASE("A broken stream is not joined with events of a server of another software version") {
  const ServerIds ids = AnyOrderOfIds();
  const bool server_gone = GENERATE(false, true);
  CAPTURE(ids.first, ids.second, server_gone);
  ResumableStreams streams;
  StreamServer other;
  StreamServer first([&](StreamServer& self) {
    streams.fixture.AddServer(ids.second, other.server.endpoint(), {}, "v2");
    if (!server_gone) return;
    self.server.StopListening();
    streams.fixture.RemoveServer(ids.first);
  });
  streams.fixture.AddServer(ids.first, first.server.endpoint(), {}, "v1");
  const std::string answer = streams.Send();
  CAPTURE(answer);
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(other.resumed == 0);
  if (server_gone) CHECK(answer.find("data: b") == std::string::npos);
}

TEST_CASE("A broken stream goes on at another server of the software version that began it") {
  const ServerIds ids = AnyOrderOfIds();
  const bool server_gone = GENERATE(false, true);
  CAPTURE(ids.first, ids.second, server_gone);
  ResumableStreams streams;
  StreamServer same_version;
  StreamServer first([&](StreamServer& self) {
    streams.fixture.AddServer(ids.second, same_version.server.endpoint(), {}, "v1");
    if (!server_gone) return;
    self.server.StopListening();
    streams.fixture.RemoveServer(ids.first);
  });
  streams.fixture.AddServer(ids.first, first.server.endpoint(), {}, "v1");
  CHECK(ResumableStreams::IsComplete(streams.Send()));
  CHECK(same_version.resumed == 1);
}

TEST_CASE("A broken stream goes on at its software version while another one serves beside it") {
  const ServerIds ids = AnyOrderOfIds();
  const bool server_gone = GENERATE(false, true);
  CAPTURE(ids.first, ids.second, ids.third, server_gone);
  ResumableStreams streams;
  StreamServer same_version;
  StreamServer other;
  StreamServer first([&](StreamServer& self) {
    streams.fixture.AddServer(ids.second, same_version.server.endpoint(), {}, "v1");
    streams.fixture.AddServer(ids.third, other.server.endpoint(), {}, "v2");
    if (!server_gone) return;
    self.server.StopListening();
    streams.fixture.RemoveServer(ids.first);
  });
  streams.fixture.AddServer(ids.first, first.server.endpoint(), {}, "v1");
  CHECK(ResumableStreams::IsComplete(streams.Send()));
  CHECK(other.resumed == 0);
  CHECK(same_version.resumed == 1);
}

TEST_CASE("A broken stream is not joined at a server that took over the ID with other software") {
  const ServerIds ids = AnyOrderOfIds();
  CAPTURE(ids.first, ids.second);
  ResumableStreams streams;
  StreamServer successor;
  StreamServer other;
  StreamServer first([&](StreamServer& self) {
    self.server.StopListening();
    streams.fixture.RemoveServer(ids.first);
    streams.fixture.AddServer(ids.first, successor.server.endpoint(), {}, "v2");
    streams.fixture.AddServer(ids.second, other.server.endpoint(), {}, "v3");
  });
  streams.fixture.AddServer(ids.first, first.server.endpoint(), {}, "v1");
  const std::string answer = streams.Send();
  CAPTURE(answer);
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(successor.resumed == 0);
  CHECK(other.resumed == 0);
}

TEST_CASE("A request that has brought no event may run at a server of another software version") {
  const ServerIds ids = AnyOrderOfIds();
  CAPTURE(ids.first, ids.second);
  ResumableStreams streams;
  ScriptedServer resetting([&](ScriptedConnection& connection) {
    if (connection.ReadHead().empty()) return;
    connection.Write("HTTP/1.1 200 OK\r\n" + kSealed + "Transfer-Encoding: chunked\r\n\r\n");
    connection.Reset();
  });
  ScriptedServer other([&](ScriptedConnection& connection) {
    if (connection.ReadHead().empty()) return;
    connection.Write("HTTP/1.1 200 OK\r\n" + kSealed + "Content-Length: 30\r\n\r\n" +
                     "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  });
  streams.fixture.AddServer(ids.first, resetting.endpoint(), {}, "v1");
  streams.fixture.AddServer(ids.second, other.endpoint(), {}, "v2");
  const std::string answer = streams.Send();
  CAPTURE(answer);
  CHECK(answer.find("data: a") != std::string::npos);
  CHECK(answer.find("data: b") != std::string::npos);
  CHECK(PipelineFixture::Status(answer) == 200);
}

}  // namespace
}  // namespace moorfold
