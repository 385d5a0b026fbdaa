#include "retry_budget/retry_budget_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "common/closable_context.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// One daemon that is not the leader.
struct Follower {
  Follower() : service(context, {std::chrono::seconds(10), 0.2, 40}, counters, MakePorts()) {}
  ~Follower() { context.DestroyHandlers(); }
  Follower(const Follower&) = delete;
  Follower& operator=(const Follower&) = delete;

  RetryBudgetService::Ports MakePorts() {
    RetryBudgetService::Ports ports;
    ports.ask = [this](const std::string&, const RetryGrantRequest& request) {
      queries.push_back(request);
    };
    ports.answer = [this](const std::string&, const RetryGrantResponse& response) {
      responses.push_back(response);
    };
    ports.leader = [this] { return leader; };
    ports.leads = [] { return false; };
    ports.service_exists = [](const std::string&) { return true; };
    return ports;
  }
  /// Starts one request's wait for a retry. @return its result, once there is one.
  std::shared_ptr<std::optional<bool>> Obtain() {
    auto result = std::make_shared<std::optional<bool>>();
    boost::asio::co_spawn(
        context, [this, result]() -> Awaitable<void> { *result = co_await service.Obtain("s"); },
        boost::asio::detached);
    context.poll();
    return result;
  }
  void RunUntil(const std::shared_ptr<std::optional<bool>>& result) {
    const auto give_up = BootClock::now() + std::chrono::seconds(60);
    while (!*result && BootClock::now() < give_up) context.run_one_for(milliseconds(20));
  }

  ClosableContext context{1};
  RetryBudgetCounters counters;
  std::string leader = "leader";
  std::vector<RetryGrantRequest> queries;
  std::vector<RetryGrantResponse> responses;
  RetryBudgetService service;
};

TEST_CASE("A daemon whose query for a retry is not answered sends none and pauses its queries") {
  Follower follower;
  const auto result = follower.Obtain();
  REQUIRE(follower.queries.size() == 1);
  follower.RunUntil(result);
  CHECK(*result == false);
  CHECK_FALSE(follower.service.TryTake("s"));
  CHECK_FALSE(follower.service.MayObtain("s"));
  CHECK(follower.counters.unanswered == 1);
}

TEST_CASE("Requests that wait for a retry share one query, and each grant is used once") {
  Follower follower;
  const auto first = follower.Obtain();
  const auto second = follower.Obtain();
  REQUIRE(follower.queries.size() == 1);
  follower.service.Hear(RetryGrantResponse{follower.queries[0].asked_at_us, 1}, "leader");
  follower.RunUntil(first);
  CHECK(*first == true);
  CHECK(follower.service.TryTake("s"));
  CHECK_FALSE(follower.service.TryTake("s"));
  follower.RunUntil(second);
  CHECK(second->has_value());
}

TEST_CASE("A grant counts once, only from the leader, and only for the query it answers") {
  Follower follower;
  const auto result = follower.Obtain();
  const std::int64_t query = follower.queries.at(0).asked_at_us;
  follower.service.Hear(RetryGrantResponse{query, 5}, "another daemon");
  follower.service.Hear(RetryGrantResponse{query + 1, 5}, "leader");
  CHECK_FALSE(result->has_value());
  follower.service.Hear(RetryGrantResponse{query, 1}, "leader");
  follower.service.Hear(RetryGrantResponse{query, 1}, "leader");
  follower.RunUntil(result);
  CHECK(*result == true);
  CHECK(follower.service.Available("s") == 1);
}

TEST_CASE("Without a leader only earned retries are sent") {
  Follower follower;
  follower.leader.clear();
  CHECK_FALSE(follower.service.MayObtain("s"));
  for (int request = 0; request < 6; ++request)
    follower.service.RecordRequest("s", BootClock::now());
  CHECK(follower.service.TryTake("s"));
  CHECK_FALSE(follower.service.TryTake("s"));
  CHECK(follower.queries.empty());
}

TEST_CASE("A daemon that does not lead grants no retries") {
  Follower follower;
  follower.service.Hear(RetryGrantRequest{7, "s", 3}, "another daemon");
  REQUIRE(follower.responses.size() == 1);
  CHECK(follower.responses[0].granted == 0);
}

}  // namespace
}  // namespace moorfold
