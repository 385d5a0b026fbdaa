// Refusals that must not be reported to a client while its request runs.

#include <catch2/catch.hpp>

#include "pipeline_fixture.h"

namespace moorfold {
namespace {

/// A status line of a refusal, with or without the header that states that the request did not run.
struct RefusalForm {
  const char* status;
  const char* not_run;
};

std::string RefusalBytes(const RefusalForm& form, const std::string& id_header) {
  return "HTTP/1.1 " + std::string(form.status) + "\r\n" + form.not_run + id_header +
         "Content-Length: 0\r\n\r\n";
}

const std::string kId = "X-Request-Id: one\r\n";
const std::string kOk =
    "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\n" + kId + "Content-Length: 4\r\n\r\ndone";

/// A server without capacity for the first request; sends its refusal again before the next
/// response on that connection.
class RepeatingServer {
 public:
  explicit RepeatingServer(std::string refusal)
      : refusal_(std::move(refusal)),
        server_([this](ScriptedConnection& connection) { Serve(connection); }) {}
  const Endpoint& endpoint() const { return server_.endpoint(); }
  int runs() const { return runs_; }

 private:
  void Serve(ScriptedConnection& connection) {
    bool repeats = false;
    while (!connection.ReadHead().empty()) {
      if (repeats) connection.Write(refusal_);
      repeats = !refused_.exchange(true);
      if (!repeats) ++runs_;
      connection.Write(repeats ? refusal_ : kOk);
    }
  }

  std::string refusal_;
  std::atomic<bool> refused_{false};
  std::atomic<int> runs_{0};
  ScriptedServer server_;
};

TEST_CASE("A refusal that a server sends twice is not reported for a request that runs there") {
  const RefusalForm form = GENERATE(RefusalForm{"503 Service Unavailable", "X-Not-Executed: 1\r\n"},
                                    RefusalForm{"429 Too Many Requests", "X-Not-Executed: 1\r\n"});
  CAPTURE(form.status);
  PipelineFixture fixture;
  fixture.SetRetryGrants(20);
  RepeatingServer server(RefusalBytes(form, kId));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  const std::string answer = fixture.Exchange(PipelineFixture::Request());
  CHECK(server.runs() == 1);
  CHECK(PipelineFixture::Status(answer) == 200);
}

TEST_CASE("A refusal that a server sends twice does not let a request run at two servers") {
  PipelineFixture fixture;
  fixture.SetRetryGrants(20);
  RepeatingServer first(RefusalBytes({"503 Service Unavailable", "X-Not-Executed: 1\r\n"}, kId));
  RepeatingServer second(RefusalBytes({"503 Service Unavailable", "X-Not-Executed: 1\r\n"}, kId));
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", first.endpoint());
  fixture.AddServer("i-2", second.endpoint());
  fixture.Exchange(PipelineFixture::Request());
  CHECK(first.runs() + second.runs() == 1);
}

TEST_CASE("A refusal without a request ID is not reported for a request that runs") {
  const RefusalForm form =
      GENERATE(RefusalForm{"503 Service Unavailable", "X-Not-Executed: 1\r\n"},
               RefusalForm{"429 Too Many Requests", "X-Not-Executed: 1\r\n"},
               RefusalForm{"421 Misdirected Request", ""},
               RefusalForm{"421 Misdirected Request", "X-Instance-Id: i-9\r\n"},
               RefusalForm{"408 Request Timeout", ""});
  CAPTURE(form.status);
  PipelineFixture fixture;
  std::atomic<int> runs{0};
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      ++runs;
      connection.Write(RefusalBytes(form, ""));
      connection.Write(kOk);
    }
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  const std::string answer = fixture.Exchange(PipelineFixture::Request());
  CHECK(PipelineFixture::Status(answer) == 502);
  CHECK(answer.find("\"executed\":\"unknown\"") != std::string::npos);
  CHECK(runs == 1);
}

TEST_CASE("A server's 408 is relayed as a refusal only if it states that the request did not run") {
  const bool stated = GENERATE(true, false);
  PipelineFixture fixture;
  const RefusalForm form{"408 Request Timeout", stated ? "X-Not-Executed: 1\r\n" : ""};
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty())
      connection.Write(RefusalBytes(form, "X-Response-Seal: s1\r\n" + kId));
  });
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.AddServer("i-1", server.endpoint());
  const std::string answer = fixture.Exchange(PipelineFixture::Request());
  CHECK(PipelineFixture::Status(answer) == (stated ? 503 : 502));
}

}  // namespace
}  // namespace moorfold
