#pragma once

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "core/types.h"

namespace moorfold {

/// One mistake in a file. Lines and columns count from 1.
struct ConfigProblem {
  std::string file;
  int line = 0;
  int column = 0;
  std::string what;
  std::string remedy;
};

/// @return "file:line:column: what; remedy".
std::string ToString(const ConfigProblem& problem);

/// All mistakes of a file at once, in the order of the file.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(std::vector<ConfigProblem> problems);
  const std::vector<ConfigProblem>& problems() const { return problems_; }

 private:
  std::vector<ConfigProblem> problems_;
};

/// Collects the mistakes found while one file is read.
class ConfigProblems {
 public:
  explicit ConfigProblems(std::string file) : file_(std::move(file)) {}
  void Add(const YAML::Mark& mark, std::string what, std::string remedy);
  /// @throws ConfigError when there is any.
  void ThrowIfAny() const;
  const std::string& file() const { return file_; }

 private:
  std::string file_;
  std::vector<ConfigProblem> problems_;
};

/// Parses YAML text. @throws ConfigError on a syntax error.
YAML::Node ParseYaml(const std::string& text, const std::string& file);
/// @throws ConfigError when the file cannot be read.
std::string ReadTextFile(const std::string& file);

/// A mapping whose keys are all accounted for: a key that no accessor asked for is a mistake,
/// reported by Finish. Accessors report wrong types, units and ranges and then return the default,
/// so that reading goes on and all mistakes come out together.
class YamlMap {
 public:
  YamlMap(YAML::Node node, ConfigProblems& problems, std::string path);

  bool Has(const std::string& key);
  std::string RequiredString(const std::string& key);
  std::string String(const std::string& key, const std::string& fallback);
  std::vector<std::string> Strings(const std::string& key);
  bool Bool(const std::string& key, bool fallback);
  std::int64_t Integer(const std::string& key, std::int64_t min, std::int64_t max,
                       std::optional<std::int64_t> fallback);
  double Number(const std::string& key, double min, double max, std::optional<double> fallback);
  /// "250ms", "30s", "10m", "2h".
  Duration Time(const std::string& key, Duration min, Duration max,
                std::optional<Duration> fallback);
  /// "512MiB", "24GiB".
  MebiBytes Memory(const std::string& key, MebiBytes min, MebiBytes max,
                   std::optional<MebiBytes> fallback);
  /// @return the index of the value among `names`.
  std::size_t Choice(const std::string& key, const std::vector<std::string>& names,
                     std::size_t fallback);
  std::optional<YamlMap> Map(const std::string& key, bool required);
  std::vector<YamlMap> List(const std::string& key, bool required);
  /// A list whose entries have a unique "name".
  std::vector<std::pair<std::string, YamlMap>> NamedList(const std::string& key, bool required);
  /// A mapping from free names to counts, as "zone-a: 2".
  std::vector<std::pair<std::string, std::int64_t>> Counts(const std::string& key, std::int64_t min,
                                                           std::int64_t max, bool required);
  /// The free keys of this map, each with its mapping.
  std::vector<std::pair<std::string, YamlMap>> Entries();

  void Problem(const std::string& key, std::string what, std::string remedy);
  void Finish();
  const std::string& path() const { return path_; }

 private:
  YAML::Node Find(const std::string& key, bool required);
  void CheckKeys();

  YAML::Node node_;
  ConfigProblems* problems_;
  std::string path_;
  std::set<std::string> asked_;
};

}  // namespace moorfold
