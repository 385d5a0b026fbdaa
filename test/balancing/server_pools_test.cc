// Guards against daemons that divide the same servers differently, and against empty pools.

#include "balancing/server_pools.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace moorfold::balancing {
namespace {

using Ids = std::vector<std::string>;

Ids MakeIds(int count) {
  Ids ids;
  for (int server = 0; server < count; ++server) ids.push_back("gpu-" + std::to_string(server));
  return ids;
}

/// @return the servers of the pool of paced requests, in the order of `ids`.
Ids PacedPool(const Ids& ids) {
  ServerPools pools;
  for (const std::string& id : ids) pools.Add(RankOf(id));
  pools.Divide();
  Ids paced;
  for (const std::string& id : ids) {
    const bool other_of_paced = pools.InOtherPool(RankOf(id), RequestWork::kPaced);
    const bool other_of_prompts = pools.InOtherPool(RankOf(id), RequestWork::kLongPrompt);
    CHECK((ids.size() < 2 || other_of_paced != other_of_prompts));
    CHECK_FALSE(pools.InOtherPool(RankOf(id), RequestWork::kNeutral));
    if (!other_of_paced) paced.push_back(id);
  }
  return paced;
}

TEST_CASE("Each pool has at least one server, that of paced requests two of five") {
  for (int servers = 2; servers <= 100; ++servers) {
    CAPTURE(servers);
    const std::size_t paced = PacedPool(MakeIds(servers)).size();
    CHECK(paced >= 1);
    CHECK(paced < static_cast<std::size_t>(servers));
    CHECK(static_cast<double>(paced) == Approx(0.4 * servers).margin(0.5));
  }
}

TEST_CASE("A single server belongs to both pools") {
  ServerPools pools;
  pools.Add(RankOf("only"));
  pools.Divide();
  CHECK_FALSE(pools.InOtherPool(RankOf("only"), RequestWork::kPaced));
  CHECK_FALSE(pools.InOtherPool(RankOf("only"), RequestWork::kLongPrompt));
}

TEST_CASE("No servers are divided without a fault") {
  ServerPools pools;
  pools.Divide();
  CHECK_FALSE(pools.InOtherPool(RankOf("gone"), RequestWork::kPaced));
}

TEST_CASE("Daemons that know the same servers divide them alike, in whatever order they came") {
  const Ids ids = MakeIds(40);
  Ids reversed = ids;
  std::reverse(reversed.begin(), reversed.end());
  Ids other = PacedPool(reversed);
  std::reverse(other.begin(), other.end());
  CHECK(PacedPool(ids) == other);
}

TEST_CASE("The rank of a server is the same in every build") {
  // Daemons of different builds run side by side during an update.
  CHECK(RankOf("") == 533409179972964373ULL);
  CHECK(RankOf("gpu-1") == 4166911072743752859ULL);
}

TEST_CASE("A daemon that lacks a server divides the others almost like the rest") {
  const Ids ids = MakeIds(40);
  const Ids paced = PacedPool(ids);
  for (const std::string& missing : ids) {
    CAPTURE(missing);
    Ids known = ids;
    std::erase(known, missing);
    const Ids paced_there = PacedPool(known);
    int different = 0;
    for (const std::string& id : known) {
      const bool here = std::find(paced.begin(), paced.end(), id) != paced.end();
      const bool there = std::find(paced_there.begin(), paced_there.end(), id) != paced_there.end();
      different += here != there ? 1 : 0;
    }
    CHECK(different <= 1);
  }
}

}  // namespace
}  // namespace moorfold::balancing
