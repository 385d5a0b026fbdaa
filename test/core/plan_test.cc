#include "core/configuration/plan.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

ModelIntent MakeModel(const ModelName& name) {
  ModelIntent model;
  model.name = name;
  model.memory = 400;
  model.replicas["z"] = 1;
  return model;
}

TEST_CASE("A plan refuses what cannot be met, and says how to mend it") {
  struct Case {
    const char* name;
    std::function<void(ModelIntent&)> change;
    const char* refusal;  ///< Part of it; empty: none.
  };
  const std::vector<Case> cases = {
      {"a model that fits", [](ModelIntent&) {}, ""},
      {"larger than any server", [](ModelIntent& m) { m.memory = 5000; }, "lower memory"},
      {"adapters push it over", [](ModelIntent& m) { m.adapter_memory = 700; }, "lower memory"},
      {"more replicas than servers", [](ModelIntent& m) { m.replicas["z"] = 3; },
       "ask for at most 2"},
      {"a zone without servers", [](ModelIntent& m) { m.replicas["y"] = 1; }, "name a zone"},
      {"an adapter larger than its reserve",
       [](ModelIntent& m) {
         m.adapters.push_back({"big", 50});
       },
       "raise adapter_memory"},
  };
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      Intent intent;
      ModelIntent model = MakeModel("m");
      each.change(model);
      intent.models["m"] = model;
      const Fleet fleet{{{"z", {1000, 1000}}}};
      const Plan plan = MakePlan({}, intent, fleet, "id");
      const std::string expected = each.refusal;
      REQUIRE(plan.refusals.empty() == expected.empty());
      if (!expected.empty()) CHECK(plan.refusals[0].find(expected) != std::string::npos);
    }
  }
}

TEST_CASE("A plan lists what is added, changed and removed") {
  ConfigurationSnapshot in_force{4, {}};
  in_force.intent.models["old"] = MakeModel("old");
  in_force.intent.models["same"] = MakeModel("same");
  in_force.intent.models["other"] = MakeModel("other");
  Intent intent = in_force.intent;
  intent.models.erase("old");
  intent.models["new"] = MakeModel("new");
  intent.models["other"].version = 2;
  const Plan plan = MakePlan(in_force, intent, Fleet{{{"z", {1000}}}}, "id");
  CHECK(plan.base_revision == 4);
  std::map<std::string, ChangeKind> changes;
  for (const PlannedChange& change : plan.changes) changes[change.subject] = change.kind;
  const std::map<std::string, ChangeKind> expected = {{"model new", ChangeKind::kAdd},
                                                      {"model old", ChangeKind::kRemove},
                                                      {"model other", ChangeKind::kChange}};
  CHECK(changes == expected);
}

}  // namespace
}  // namespace moorfold
