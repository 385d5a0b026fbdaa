#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "config/deployment_file.h"
#include "config/intent_file.h"
#include "config/nearest_name.h"
#include "config/settings_file.h"
#include "config/strict_yaml.h"

namespace moorfold {
namespace {

const std::string kGoodIntent =
    "zones: [a, b]\n"
    "models:\n"
    "  - name: m\n"
    "    memory: 4GiB\n"
    "    adapter_memory: 1GiB\n"
    "    replicas: {a: 1}\n"
    "    adapters:\n"
    "      - {name: x, memory: 100MiB}\n";

std::string Replace(std::string text, const std::string& what, const std::string& by) {
  text.replace(text.find(what), what.size(), by);
  return text;
}

/// @return all problems as one text, or nothing.
template <typename Parse>
std::string ProblemsOf(Parse parse, const std::string& text) {
  try {
    parse(text, "f.yaml");
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("An intent's mistakes are named with place and remedy") {
  struct Case {
    const char* name;
    std::string text;
    const char* place;
    const char* remedy;
  };
  const std::vector<Case> cases = {
      {"unknown key", Replace(kGoodIntent, "memory: 4GiB", "memory: 4GiB\n    prioritty: batch"),
       "f.yaml:5:5", "did you mean 'priority'"},
      {"wrong unit", Replace(kGoodIntent, "4GiB", "4GB"), "f.yaml:4:13", "GiB"},
      {"missing unit", Replace(kGoodIntent, "4GiB", "4096"), "f.yaml:4:13", "24GiB"},
      {"wrong type", Replace(kGoodIntent, "{a: 1}", "many"), "f.yaml:6:15", "lines below it"},
      {"out of range", Replace(kGoodIntent, "{a: 1}", "{a: -1}"), "f.yaml:6:19", "from 0 to"},
      {"no whole number", Replace(kGoodIntent, "{a: 1}", "{a: 1.5}"), "f.yaml:6:19", "digits only"},
      {"undeclared zone", Replace(kGoodIntent, "{a: 1}", "{c: 1}"), "f.yaml:6:15",
       "add it to 'zones'"},
      {"missing key", Replace(kGoodIntent, "    memory: 4GiB\n", ""), "f.yaml:3:5", "add 'memory"},
      {"duplicate key", kGoodIntent + "zones: [a]\n", "f.yaml:9:1", "keep one of them"},
      {"duplicate model", kGoodIntent + "  - {name: m, memory: 1GiB, replicas: {a: 1}}\n",
       "f.yaml:9:12", "its own name"},
      {"duplicate adapter",
       Replace(kGoodIntent, "100MiB}", "100MiB}\n      - {name: x, memory: 1MiB}"), "f.yaml:9:16",
       "its own name"},
      {"adapter named as a model", Replace(kGoodIntent, "name: x", "name: m"), "f.yaml:3:3",
       "rename one"},
      {"bad YAML", "zones: [a\nmodels: {", "f.yaml:2", "correct the YAML"},
      {"no mapping", "- a\n- b\n", "f.yaml:1:1", "key: value"},
      {"bad choice", Replace(kGoodIntent, "memory: 4GiB", "memory: 4GiB\n    priority: urgent"),
       "f.yaml:5:15", "Valid: critical"},
  };
  CHECK(ProblemsOf(ParseIntent, kGoodIntent).empty());
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      const std::string problems = ProblemsOf(ParseIntent, each.text);
      CAPTURE(problems);
      CHECK(problems.find(each.place) != std::string::npos);
      CHECK(problems.find(each.remedy) != std::string::npos);
    }
  }
}

TEST_CASE("All mistakes come at once, in the file's order") {
  const std::string text =
      Replace(Replace(kGoodIntent, "4GiB", "much"), "100MiB", "a lot") + "sevices: []\n";
  const std::string problems = ProblemsOf(ParseIntent, text);
  CHECK(std::count(problems.begin(), problems.end(), '\n') == 2);
  CHECK(problems.find("f.yaml:4:") < problems.find("f.yaml:8:"));
  CHECK(problems.find("f.yaml:8:") < problems.find("f.yaml:9:"));
}

TEST_CASE("Settings are checked as strictly") {
  struct Case {
    const char* text;
    const char* expected;
  };
  const std::vector<Case> cases = {
      {"zone: a\npeer_key: 0123456789abcdef\n", ""},
      {"zone: a\n", "lacks 'peer_key'"},
      {"zone: a\npeer_key: short\n", "at least 16"},
      {"zone: a\npeer_key: 0123456789abcdef\nlisten: localhost\n", "IP:PORT"},
      {"zone: a\npeer_key: 0123456789abcdef\nthreads: 0\n", "from 1 to"},
      {"zone: a\npeer_key: 0123456789abcdef\ntiming: {probe_timeout: 5s}\n", "indirect probe"},
      {"zone: a\npeer_key: 0123456789abcdef\nresidency: {policy: magic}\n", "did you mean"},
      {"zone: a\npeer_key: 0123456789abcdef\nresidency: {keep_alive: 5 minutes}\n", "as 30s"},
  };
  for (const Case& each : cases) {
    const std::string problems = ProblemsOf(ParseSettings, each.text);
    CAPTURE(each.text, problems);
    CHECK(problems.empty() == std::string(each.expected).empty());
    CHECK(problems.find(each.expected) != std::string::npos);
  }
}

TEST_CASE("No text crashes a parser") {
  rc::check("intents, settings and deployments", [](const std::string& text) {
    ProblemsOf(ParseIntent, text);
    ProblemsOf(ParseSettings, text);
    ProblemsOf(ParseDeployment, text);
  });
}

TEST_CASE("The nearest name is the one a person meant") {
  CHECK(NearestName("confrim", {"plan", "confirm", "status"}) == "confirm");
  CHECK(NearestName("x", {}).empty());
}

}  // namespace
}  // namespace moorfold
