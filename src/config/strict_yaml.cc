#include "config/strict_yaml.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <fstream>
#include <sstream>

#include "config/nearest_name.h"

namespace moorfold {
namespace {

std::string Join(const std::vector<ConfigProblem>& problems) {
  std::string text;
  for (const ConfigProblem& problem : problems)
    text += (text.empty() ? "" : "\n") + ToString(problem);
  return text;
}

struct Unit {
  const char* suffix;
  double factor;
};

/// Splits "2.5h" into number and unit. @return the value in the base unit, or nothing.
std::optional<double> ParseWithUnit(const std::string& text, const std::vector<Unit>& units) {
  std::size_t used = 0;
  double number = 0;
  try {
    number = std::stod(text, &used);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  const std::string suffix = text.substr(used);
  for (const Unit& unit : units)
    if (suffix == unit.suffix) return number * unit.factor;
  return std::nullopt;
}

const std::vector<Unit> kTimeUnits = {
    {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3.6e9}};
const std::vector<Unit> kMemoryUnits = {{"MiB", 1}, {"GiB", 1024}, {"TiB", 1024.0 * 1024}};

std::string FormatTime(Duration duration) {
  std::ostringstream text;
  text << ToSeconds(duration) << "s";
  return text.str();
}

std::string Quote(const std::string& text) { return "'" + text + "'"; }

}  // namespace

std::string ToString(const ConfigProblem& problem) {
  return problem.file + ":" + std::to_string(problem.line) + ":" + std::to_string(problem.column) +
         ": " + problem.what + "; " + problem.remedy;
}

ConfigError::ConfigError(std::vector<ConfigProblem> problems)
    : std::runtime_error(Join(problems)), problems_(std::move(problems)) {}

void ConfigProblems::Add(const YAML::Mark& mark, std::string what, std::string remedy) {
  problems_.push_back({file_, mark.line + 1, mark.column + 1, std::move(what), std::move(remedy)});
}

void ConfigProblems::ThrowIfAny() const {
  if (problems_.empty()) return;
  std::vector<ConfigProblem> sorted = problems_;
  std::stable_sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) {
    return std::pair(left.line, left.column) < std::pair(right.line, right.column);
  });
  throw ConfigError(std::move(sorted));
}

YAML::Node ParseYaml(const std::string& text, const std::string& file) {
  try {
    YAML::Node node = YAML::Load(text);
    if (node.IsMap()) return node;
    throw ConfigError({{file, 1, 1, "the file is no mapping", "start it with 'key: value' lines"}});
  } catch (const YAML::Exception& error) {
    throw ConfigError(
        {{file, error.mark.line + 1, error.mark.column + 1, error.msg, "correct the YAML there"}});
  }
}

std::string ReadTextFile(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  if (stream) text << stream.rdbuf();
  if (!stream || !text) throw ConfigError({{file, 0, 0, "cannot be read", "name a readable file"}});
  return text.str();
}

YamlMap::YamlMap(YAML::Node node, ConfigProblems& problems, std::string path)
    : node_(node), problems_(&problems), path_(std::move(path)) {
  CheckKeys();
}

void YamlMap::CheckKeys() {
  std::set<std::string> seen;
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (!seen.insert(key).second)
      problems_->Add(entry.first.Mark(), "duplicate key " + Quote(key), "keep one of them");
  }
}

YAML::Node YamlMap::Find(const std::string& key, bool required) {
  asked_.insert(key);
  for (const auto& entry : node_)
    if (entry.first.as<std::string>("") == key) return entry.second;
  if (required)
    problems_->Add(node_.Mark(), path_ + " lacks " + Quote(key), "add '" + key + ": ...'");
  return YAML::Node(YAML::NodeType::Undefined);
}

bool YamlMap::Has(const std::string& key) { return Find(key, false).IsDefined(); }

void YamlMap::Problem(const std::string& key, std::string what, std::string remedy) {
  const YAML::Node node = Find(key, false);
  problems_->Add(node.IsDefined() ? node.Mark() : node_.Mark(), std::move(what), std::move(remedy));
}

std::string YamlMap::RequiredString(const std::string& key) {
  const YAML::Node node = Find(key, true);
  if (!node.IsDefined()) return {};
  if (node.IsScalar() && !node.Scalar().empty()) return node.Scalar();
  problems_->Add(node.Mark(), Quote(key) + " is no text", "write one word or a quoted text");
  return {};
}

std::string YamlMap::String(const std::string& key, const std::string& fallback) {
  return Has(key) ? RequiredString(key) : fallback;
}

std::vector<std::string> YamlMap::Strings(const std::string& key) {
  const YAML::Node node = Find(key, false);
  std::vector<std::string> texts;
  if (!node.IsDefined()) return texts;
  if (!node.IsSequence()) {
    problems_->Add(node.Mark(), Quote(key) + " is no list", "write [a, b]");
    return texts;
  }
  for (const YAML::Node& entry : node) {
    if (entry.IsScalar())
      texts.push_back(entry.Scalar());
    else
      problems_->Add(entry.Mark(), "an entry of " + Quote(key) + " is no text", "write [a, b]");
  }
  return texts;
}

bool YamlMap::Bool(const std::string& key, bool fallback) {
  const YAML::Node node = Find(key, false);
  if (!node.IsDefined()) return fallback;
  bool value = fallback;
  if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))
    problems_->Add(node.Mark(), Quote(key) + " is neither true nor false", "write true or false");
  return value;
}

std::int64_t YamlMap::Integer(const std::string& key, std::int64_t min, std::int64_t max,
                              std::optional<std::int64_t> fallback) {
  const double value =
      Number(key, static_cast<double>(min), static_cast<double>(max),
             fallback ? std::optional<double>(static_cast<double>(*fallback)) : std::nullopt);
  if (value != std::floor(value))
    Problem(key, Quote(key) + " is no whole number", "write digits only");
  return static_cast<std::int64_t>(value);
}

double YamlMap::Number(const std::string& key, double min, double max,
                       std::optional<double> fallback) {
  const YAML::Node node = Find(key, !fallback);
  const double otherwise = fallback.value_or(min);
  if (!node.IsDefined()) return otherwise;
  double value = 0;
  if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || std::isnan(value)) {
    problems_->Add(node.Mark(), Quote(key) + " is no number", "write a number without a unit");
    return otherwise;
  }
  if (value >= min && value <= max) return value;
  std::ostringstream range;
  range << "write a number from " << min << " to " << max;
  problems_->Add(node.Mark(), Quote(key) + " is out of range", range.str());
  return otherwise;
}

Duration YamlMap::Time(const std::string& key, Duration min, Duration max,
                       std::optional<Duration> fallback) {
  const YAML::Node node = Find(key, !fallback);
  const Duration otherwise = fallback.value_or(min);
  if (!node.IsDefined()) return otherwise;
  const std::optional<double> value =
      node.IsScalar() ? ParseWithUnit(node.Scalar(), kTimeUnits) : std::nullopt;
  if (!value) {
    problems_->Add(node.Mark(), Quote(key) + " is no duration",
                   "write a number with us, ms, s, m or h, as 30s");
    return otherwise;
  }
  const Duration duration(static_cast<std::int64_t>(*value));
  if (duration >= min && duration <= max) return duration;
  problems_->Add(node.Mark(), Quote(key) + " is out of range",
                 "write a duration from " + FormatTime(min) + " to " + FormatTime(max));
  return otherwise;
}

MebiBytes YamlMap::Memory(const std::string& key, MebiBytes min, MebiBytes max,
                          std::optional<MebiBytes> fallback) {
  const YAML::Node node = Find(key, !fallback);
  const MebiBytes otherwise = fallback.value_or(min);
  if (!node.IsDefined()) return otherwise;
  const std::optional<double> value =
      node.IsScalar() ? ParseWithUnit(node.Scalar(), kMemoryUnits) : std::nullopt;
  if (!value || *value < 0) {
    problems_->Add(node.Mark(), Quote(key) + " is no amount of memory",
                   "write a number with MiB, GiB or TiB, as 24GiB");
    return otherwise;
  }
  const auto memory = static_cast<MebiBytes>(*value);
  if (memory >= min && memory <= max) return memory;
  problems_->Add(
      node.Mark(), Quote(key) + " is out of range",
      "write an amount from " + std::to_string(min) + "MiB to " + std::to_string(max) + "MiB");
  return otherwise;
}

std::size_t YamlMap::Choice(const std::string& key, const std::vector<std::string>& names,
                            std::size_t fallback) {
  const YAML::Node node = Find(key, false);
  if (!node.IsDefined()) return fallback;
  const std::string value = node.IsScalar() ? node.Scalar() : "";
  const auto found = std::find(names.begin(), names.end(), value);
  if (found != names.end()) return static_cast<std::size_t>(found - names.begin());
  std::string valid;
  for (const std::string& name : names) valid += (valid.empty() ? "" : ", ") + name;
  problems_->Add(node.Mark(), Quote(value) + " is no valid " + key,
                 "did you mean '" + NearestName(value, names) + "'? Valid: " + valid);
  return fallback;
}

std::optional<YamlMap> YamlMap::Map(const std::string& key, bool required) {
  const YAML::Node node = Find(key, required);
  if (!node.IsDefined()) return std::nullopt;
  if (node.IsMap()) return YamlMap(node, *problems_, path_ + "." + key);
  problems_->Add(node.Mark(), Quote(key) + " is no mapping", "write 'key: value' lines below it");
  return std::nullopt;
}

std::vector<YamlMap> YamlMap::List(const std::string& key, bool required) {
  const YAML::Node node = Find(key, required);
  std::vector<YamlMap> maps;
  if (!node.IsDefined()) return maps;
  if (!node.IsSequence()) {
    problems_->Add(node.Mark(), Quote(key) + " is no list", "write entries that begin with '- '");
    return maps;
  }
  for (const YAML::Node& entry : node) {
    const std::string path = path_ + "." + key + "[" + std::to_string(maps.size()) + "]";
    if (entry.IsMap())
      maps.emplace_back(entry, *problems_, path);
    else
      problems_->Add(entry.Mark(), path + " is no mapping", "write 'key: value' lines");
  }
  return maps;
}

std::vector<std::pair<std::string, YamlMap>> YamlMap::NamedList(const std::string& key,
                                                                bool required) {
  std::vector<std::pair<std::string, YamlMap>> named;
  std::set<std::string> names;
  for (YamlMap& entry : List(key, required)) {
    const std::string name = entry.RequiredString("name");
    if (!name.empty() && !names.insert(name).second)
      entry.Problem("name", "duplicate name " + Quote(name) + " in " + Quote(key),
                    "give each its own name");
    named.emplace_back(name, std::move(entry));
  }
  return named;
}

std::vector<std::pair<std::string, std::int64_t>> YamlMap::Counts(const std::string& key,
                                                                  std::int64_t min,
                                                                  std::int64_t max, bool required) {
  std::vector<std::pair<std::string, std::int64_t>> counts;
  std::optional<YamlMap> map = Map(key, required);
  if (!map) return counts;
  for (const auto& entry : map->node_) {
    const auto name = entry.first.as<std::string>("");
    counts.emplace_back(name, map->Integer(name, min, max, std::nullopt));
  }
  return counts;
}

std::vector<std::pair<std::string, YamlMap>> YamlMap::Entries() {
  std::vector<std::pair<std::string, YamlMap>> entries;
  for (const auto& entry : node_) {
    const auto name = entry.first.as<std::string>("");
    std::optional<YamlMap> map = Map(name, true);
    if (map) entries.emplace_back(name, std::move(*map));
  }
  return entries;
}

void YamlMap::Finish() {
  const std::vector<std::string> known(asked_.begin(), asked_.end());
  for (const auto& entry : node_) {
    const auto key = entry.first.as<std::string>("");
    if (asked_.contains(key)) continue;
    problems_->Add(entry.first.Mark(), path_ + " has no key " + Quote(key),
                   "did you mean '" + NearestName(key, known) + "'?");
  }
}

}  // namespace moorfold
