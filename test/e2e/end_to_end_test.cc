// Real daemons and the stand-in platform on loopback sockets.

#include <catch2/catch.hpp>

#include "cluster.h"
#include "http/listen_error.h"

namespace moorfold {
namespace {

TEST_CASE("Requests for cold models are held, loaded and answered, from any daemon") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  std::vector<LoadRequest> requests;
  for (std::size_t daemon = 0; daemon < cluster.size(); ++daemon)
    for (const char* called_as : {"both", "only-z", "adapted", "adapted:one", "adapted:two"})
      for (const bool stream : {false, true})
        requests.push_back(cluster.ModelRequest(daemon, called_as, stream));
  const std::vector<LoadOutcome> outcomes = SendAll(requests);
  for (std::size_t index = 0; index < requests.size(); ++index) {
    CAPTURE(index, requests[index].called_as, requests[index].stream, outcomes[index].code);
    CHECK(outcomes[index].end == LoadEnd::kServed);
  }
}

TEST_CASE("Bad requests get a typed error, and the daemon goes on") {
  Cluster cluster(Cluster::Small(), 1);
  cluster.Establish();
  struct Case {
    const char* name;
    HttpRequest request;
    unsigned status;
    const char* code;
  };
  const std::string completions = "/v1/completions";
  const std::string good = R"({"model":"both","prompt":"x"})";
  const std::vector<Case> cases = {
      {"no JSON", {"POST", completions, {}, "{"}, 400, "bad_request"},
      {"a list", {"POST", completions, {}, "[]"}, 400, "bad_request"},
      {"no model", {"POST", completions, {}, R"({"prompt":"x"})"}, 400, "bad_request"},
      {"model of a wrong type",
       {"POST", completions, {}, R"({"model":7,"prompt":"x"})"},
       400,
       "bad_request"},
      {"no prompt", {"POST", completions, {}, R"({"model":"both"})"}, 400, "bad_request"},
      {"stream of a wrong type",
       {"POST", completions, {}, R"({"model":"both","prompt":"x","stream":"yes"})"},
       400,
       "bad_request"},
      {"tokens below one",
       {"POST", completions, {}, R"({"model":"both","prompt":"x","max_tokens":0})"},
       400,
       "bad_request"},
      {"chat without messages", {"POST", "/v1/chat/completions", {}, good}, 400, "bad_request"},
      {"unknown model",
       {"POST", completions, {}, R"({"model":"none","prompt":"x"})"},
       404,
       "model_not_found"},
      {"unknown service", {"POST", "/services/none/x", {}, ""}, 404, "service_not_found"},
      {"unknown path", {"GET", "/nowhere", {}, ""}, 404, "not_found"},
      {"wrong method", {"GET", completions, {}, ""}, 405, "method_not_allowed"},
      {"bad deadline",
       {"POST", completions, {{"x-deadline-ms", "soon"}}, good},
       400,
       "bad_request"},
      {"bad priority", {"POST", completions, {{"x-priority", "asap"}}, good}, 400, "bad_request"},
      {"a body over the limit",
       {"POST", completions, {}, std::string(9 << 20, 'x')},
       413,
       "unreadable_request"},
      {"an intent with mistakes", {"POST", "/operator/plan", {}, "zones: []"}, 422, "bad_intent"},
      {"a confirmation without id", {"POST", "/operator/confirm", {}, "{}"}, 422, "bad_request"},
      {"an unknown plan",
       {"POST", "/operator/confirm", {}, R"({"plan_id":"x"})"},
       404,
       "unknown_plan"},
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    const HttpResponse response = Call(cluster.daemon(0).http_endpoint(), each.request);
    CHECK(response.status == each.status);
    const boost::json::value body = ParseJson(response.body);
    CHECK(body.at("error").at("code").as_string() == each.code);
    CHECK(body.at("executed").as_string() == "no");
    CHECK_FALSE(body.at("remedy").as_string().empty());
  }
  CHECK(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kServed);
}

TEST_CASE("A daemon without its platform is not ready, says so, and goes on") {
  Deployment deployment = Cluster::Small();
  Cluster cluster(deployment, 1);
  cluster.Fault(R"({"component":"key_value","down":true})");
  const Endpoint endpoint = cluster.daemon(0).http_endpoint();
  CHECK(Call(endpoint, {"GET", "/readyz", {}, ""}).status == 503);
  CHECK(Call(endpoint, {"GET", "/healthz", {}, ""}).status == 200);
  CHECK(SendOne(cluster.ModelRequest(0, "both")).code == "not_ready");
  CHECK(Call(endpoint, {"POST", "/operator/plan", {}, Cluster::kIntent}).status == 503);
  cluster.Fault(R"({"component":"key_value","down":false})");
  cluster.Establish();
  CHECK(Call(endpoint, {"GET", "/readyz", {}, ""}).status == 200);
}

TEST_CASE("No plan is made, and refused, on a list of machines that was never read") {
  Cluster cluster(Cluster::Small(), 1);
  DaemonSettings settings;
  settings.name = "blind";
  settings.zone = "y";
  settings.peer_key = "end-to-end-test-key";
  settings.key_value = cluster.key_value();
  settings.machine_list = {"127.0.0.1", 1};  // Nobody listens there.
  Daemon blind(settings);
  blind.Start();
  const HttpResponse plan =
      Call(blind.http_endpoint(), {"POST", "/operator/plan", {}, Cluster::kIntent});
  CHECK(plan.status == 503);
  CHECK(plan.body.find("machine_list_unread") != std::string::npos);
}

TEST_CASE("Cold starts go on while the key-value service is down") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  cluster.Fault(R"({"component":"key_value","down":true})");
  CHECK(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kServed);
  CHECK(SendOne(cluster.ModelRequest(2, "only-z")).end == LoadEnd::kServed);
}

TEST_CASE("A load that fails, or whose answer is lost, ends in a served request") {
  const char* fault = GENERATE(R"("abort_loads":1)", R"("lost_answers":1)");
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  cluster.Fault(std::string(R"({"component":"engine","name":"y-engine-0",)") + fault + "}");
  CHECK(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kServed);
}

TEST_CASE("An engine that dies partway through a load is loaded again after its restart") {
  Deployment deployment = Cluster::Small();
  deployment.weight_store.speed = 0.1;
  deployment.engine.disk_tier_speed = 0.1;
  Cluster cluster(deployment);
  cluster.Establish();
  std::thread restarter([&] {
    Cluster::WaitFor([&] {
      return Fetch(cluster.daemon(0).http_endpoint(), "/operator/status").find("LOADING") !=
             std::string::npos;
    });
    cluster.Fault(R"({"component":"engine","name":"y-engine-0","action":"kill"})");
    cluster.Fault(R"({"component":"engine","name":"y-engine-0","action":"restart"})");
  });
  LoadRequest request = cluster.ModelRequest(0, "both");
  request.deadline = std::chrono::seconds(60);
  const LoadOutcome outcome = SendOne(request);
  restarter.join();
  CHECK(outcome.end == LoadEnd::kServed);
}

TEST_CASE("One key sent to all daemons at once runs once, and all get its answer") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  std::vector<LoadRequest> requests;
  for (std::size_t round = 0; round < 5; ++round)
    for (std::size_t daemon = 0; daemon < cluster.size(); ++daemon)
      requests.push_back(cluster.Booking(daemon, "key-" + std::to_string(round)));
  for (const LoadOutcome& outcome : SendAll(requests)) {
    CAPTURE(outcome.code);
    CHECK((outcome.end == LoadEnd::kServed || outcome.code == "no_claim_majority"));
  }
  for (std::size_t round = 0; round < 5; ++round)
    CHECK(cluster.RunsOfKey("key-" + std::to_string(round)) <= 1);
  LoadRequest again = cluster.Booking(0, "key-0");
  CHECK(SendOne(again).end == LoadEnd::kServed);
  CHECK(cluster.RunsOfKey("key-0") == 1);
}

TEST_CASE("A booking whose answer is lost is reported as unknown and never run again") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  for (const char* name : {"y-booking-0", "z-booking-0"})
    cluster.Fault(std::string(R"({"component":"service","lost_answers":1,"name":")") + name +
                  R"("})");
  CHECK(SendOne(cluster.Booking(0, "lost")).end == LoadEnd::kUnknown);
  LoadRequest again = cluster.Booking(3, "lost");
  again.deadline = std::chrono::milliseconds(800);
  const LoadOutcome outcome = SendOne(again);
  CHECK(outcome.end == LoadEnd::kUnknown);
  CHECK(outcome.code == "idempotency_key_in_use");
  CHECK(cluster.RunsOfKey("lost") == 1);
}

TEST_CASE("A booking goes to another server when one is down: nothing was sent there") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  cluster.Fault(R"({"component":"service","name":"y-booking-0","action":"leave"})");
  for (int index = 0; index < 4; ++index) {
    const std::string key = "away-" + std::to_string(index);
    CHECK(SendOne(cluster.Booking(0, key)).end == LoadEnd::kServed);
    CHECK(cluster.RunsOfKey(key) == 1);
  }
}

TEST_CASE("An answer that breaks off") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  REQUIRE(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kServed);
  cluster.Fault(R"({"component":"engine","name":"y-engine-0","cut_streams":1})");
  SECTION("is fetched again when none of it was passed on") {
    CHECK(SendOne(cluster.ModelRequest(0, "both", false)).end == LoadEnd::kServed);
  }
  SECTION("is seen to be broken when some of it was") {
    const LoadOutcome outcome = SendOne(cluster.ModelRequest(0, "both", true));
    CHECK(outcome.end == LoadEnd::kUnknown);
  }
  CHECK(SendOne(cluster.ModelRequest(0, "both", true)).end == LoadEnd::kServed);
}

TEST_CASE("A request that cannot be served in time is refused in time, as not run") {
  Deployment deployment = Cluster::Small();
  deployment.weight_store.speed = 0.001;
  deployment.engine.disk_tier_speed = 0.001;
  Cluster cluster(deployment);
  cluster.Establish();
  LoadRequest request = cluster.ModelRequest(0, "both");
  request.deadline = std::chrono::milliseconds(700);
  const LoadOutcome outcome = SendOne(request);
  CHECK(outcome.end == LoadEnd::kRefusedNotRun);
  CHECK(outcome.code == "model_loading");
}

TEST_CASE("A planned stop cuts off no stream and takes no new work") {
  Deployment deployment = Cluster::Small();
  deployment.engine.between_tokens = std::chrono::milliseconds(30);
  Cluster cluster(deployment);
  cluster.Establish();
  REQUIRE(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kServed);
  LoadRequest long_request = cluster.ModelRequest(0, "both", true);
  long_request.tokens = 60;
  LoadOutcome outcome;
  std::thread caller([&] { outcome = SendOne(long_request); });
  Cluster::WaitFor([&] { return cluster.RequestsRun() >= 2; });
  cluster.daemon(0).BeginStop();
  CHECK(cluster.daemon(0).AwaitStopped());
  caller.join();
  CHECK(outcome.end == LoadEnd::kServed);
  CHECK(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kRefusedNotRun);
  CHECK(SendOne(cluster.ModelRequest(1, "both")).end == LoadEnd::kServed);
}

TEST_CASE(
    "A daemon's addresses are its own until it has drained; whoever comes sooner is told so") {
  // Found by a soak: a daemon was started again while the one before drained, and ended unnoticed.
  Deployment deployment = Cluster::Small();
  deployment.engine.between_tokens = std::chrono::milliseconds(30);
  Cluster cluster(deployment, 1);
  cluster.Establish();
  REQUIRE(SendOne(cluster.ModelRequest(0, "both")).end == LoadEnd::kServed);
  LoadRequest long_request = cluster.ModelRequest(0, "both", true);
  long_request.tokens = 60;
  LoadOutcome outcome;
  std::thread caller([&] { outcome = SendOne(long_request); });
  Cluster::WaitFor([&] { return cluster.RequestsRun() >= 2; });
  cluster.daemon(0).BeginStop();
  DaemonSettings settings;
  settings.name = "again";
  settings.zone = "y";
  settings.peer_key = "end-to-end-test-key";
  settings.peer_listen = cluster.daemon(0).peer_endpoint();
  try {
    Daemon again(settings);
    FAIL("two daemons at one address");
  } catch (const ListenError& error) {
    CHECK(std::string(error.what()).find("may still be draining") != std::string::npos);
  }
  CHECK(cluster.daemon(0).AwaitStopped());
  caller.join();
  CHECK(outcome.end == LoadEnd::kServed);
}

TEST_CASE("A leaving engine's models are served elsewhere") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  REQUIRE(SendOne(cluster.ModelRequest(2, "only-z")).end == LoadEnd::kServed);
  const std::string status = Fetch(cluster.daemon(2).http_endpoint(), "/operator/status");
  const boost::json::value parsed = ParseJson(status);
  std::string holder;
  for (const boost::json::value& server : parsed.at("servers").as_array())
    for (const boost::json::value& replica : server.at("replicas").as_array())
      if (replica.at("servable").as_string() == "only-z@1")
        holder = std::string(server.at("name").as_string());
  REQUIRE_FALSE(holder.empty());
  cluster.Fault(R"({"component":"engine","action":"leave","name":")" + holder + R"("})");
  const LoadOutcome outcome = SendOne(cluster.ModelRequest(2, "only-z"));
  INFO("refused as " << outcome.code);
  CHECK(outcome.end == LoadEnd::kServed);
}

TEST_CASE("The stand-in publishes cache events late and with gaps") {
  Deployment deployment = Cluster::Small();
  deployment.engine.report_lag = std::chrono::milliseconds(300);
  Cluster cluster(deployment, 1);
  cluster.Establish();
  std::vector<LoadRequest> requests;
  for (int index = 0; index < 25; ++index) {
    requests.push_back(cluster.ModelRequest(0, "both"));
    requests.back().prompt = "document " + std::to_string(index);
  }
  for (const LoadOutcome& outcome : SendAll(requests)) REQUIRE(outcome.end == LoadEnd::kServed);
  const Endpoint engine = cluster.EngineEndpoint("y-engine-0");
  const auto sequences = [&] {
    std::vector<std::uint64_t> numbers;
    const boost::json::value events = ParseJson(Fetch(engine, "/admin/cache-events?after=0"));
    for (const boost::json::value& event : events.as_array())
      numbers.push_back(event.at("sequence").to_number<std::uint64_t>());
    return numbers;
  };
  Cluster::WaitFor([&] { return sequences().size() >= 23; });
  const std::vector<std::uint64_t> seen = sequences();
  CHECK(std::is_sorted(seen.begin(), seen.end()));
  CHECK(std::find(seen.begin(), seen.end(), 10) == seen.end());
}

TEST_CASE("Operators race: one plan wins, the other is told to plan again") {
  Cluster cluster(Cluster::Small());
  cluster.Establish();
  const std::string base = Cluster::kIntent;
  std::vector<boost::json::value> plans;
  for (const char* deadline : {"21s", "22s"}) {
    std::string intent = base;
    intent.replace(intent.find("20s"), 3, deadline);
    plans.push_back(ParseJson(
        Call(cluster.daemon(0).http_endpoint(), {"POST", "/operator/plan", {}, intent}).body));
  }
  std::vector<unsigned> statuses;
  for (std::size_t index = 0; index < plans.size(); ++index) {
    const boost::json::value body = {{"plan_id", plans[index].at("id")}};
    statuses.push_back(Call(cluster.daemon(index).http_endpoint(),
                            {"POST", "/operator/confirm", {}, boost::json::serialize(body)})
                           .status);
  }
  CHECK(statuses == std::vector<unsigned>{200, 409});
  Cluster::WaitFor([&] {
    for (std::size_t index = 0; index < cluster.size(); ++index)
      if (cluster.Status(cluster.daemon(index)).at("configuration_revision") != 2) return false;
    return true;
  });
}

}  // namespace
}  // namespace moorfold
