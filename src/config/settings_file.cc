#include "config/settings_file.h"

#include "config/strict_yaml.h"
#include "core/demand/residency_policy.h"

namespace moorfold {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxThreads = 256;
constexpr std::int64_t kMaxQueued = 1'000'000;
constexpr MebiBytes kMaxQueuedMemory = 64ULL * 1024;
constexpr std::uint64_t kBytesPerMebi = 1024ULL * 1024;
constexpr std::size_t kMinKeyLength = 16;

Endpoint ReadEndpoint(YamlMap& map, const std::string& key, const Endpoint& fallback) {
  if (!map.Has(key)) return fallback;
  try {
    return ParseEndpoint(map.RequiredString(key));
  } catch (const std::invalid_argument& error) {
    map.Problem(key, "'" + key + "' is no address", "write IP:PORT, as 127.0.0.1:7400");
    return fallback;
  }
}

void ReadTiming(YamlMap& map, CoreSettings& core) {
  const Duration shortest = milliseconds(20);
  const auto read = [&](const char* key, Duration& value) {
    value = map.Time(key, shortest, hours(1), value);
  };
  read("probe_interval", core.probe_interval);
  read("probe_timeout", core.probe_timeout);
  read("suspicion_timeout", core.suspicion_timeout);
  read("poll_interval", core.poll_interval);
  read("load_share_interval", core.load_share_interval);
  read("leader_patience", core.leader_patience);
  read("configuration_read_interval", core.configuration_read_interval);
  read("order_retry", core.order_retry);
  if (core.probe_timeout >= core.probe_interval)
    map.Problem("probe_timeout", "probe_timeout is not below probe_interval",
                "leave time for an indirect probe");
  map.Finish();
}

void ReadResidency(YamlMap& map, CoreSettings& core) {
  core.policy = static_cast<PolicyKind>(
      map.Choice("policy", PolicyNames(), static_cast<std::size_t>(core.policy)));
  core.keep_alive = map.Time("keep_alive", seconds(0), hours(24 * 30), core.keep_alive);
  core.assumed_load_time =
      map.Time("assumed_load_time", milliseconds(1), hours(1), core.assumed_load_time);
  map.Finish();
}

void ReadLimits(YamlMap& map, DaemonSettings& settings) {
  settings.max_queued_per_model = static_cast<std::uint32_t>(
      map.Integer("queued_per_model", 1, kMaxQueued, settings.max_queued_per_model));
  settings.max_queued_bytes = kBytesPerMebi * map.Memory("queued_memory", 1, kMaxQueuedMemory,
                                                         settings.max_queued_bytes / kBytesPerMebi);
  settings.max_requests_per_caller = static_cast<std::uint32_t>(
      map.Integer("requests_per_caller", 1, kMaxQueued, settings.max_requests_per_caller));
  settings.drain_timeout = map.Time("drain_timeout", seconds(1), hours(24), settings.drain_timeout);
  map.Finish();
}

}  // namespace

DaemonSettings ParseSettings(const std::string& text, const std::string& file) {
  ConfigProblems problems(file);
  YamlMap root(ParseYaml(text, file), problems, "the settings");
  DaemonSettings settings;
  settings.name = root.String("name", "");
  settings.zone = root.RequiredString("zone");
  settings.listen = ReadEndpoint(root, "listen", settings.listen);
  settings.peer_listen = ReadEndpoint(root, "peer_listen", settings.peer_listen);
  settings.key_value = ReadEndpoint(root, "key_value", {});
  settings.machine_list = ReadEndpoint(root, "machine_list", {});
  settings.peer_key = root.RequiredString("peer_key");
  if (!settings.peer_key.empty() && settings.peer_key.size() < kMinKeyLength)
    root.Problem("peer_key", "'peer_key' is too short", "use at least 16 random characters");
  settings.threads =
      static_cast<std::uint32_t>(root.Integer("threads", 1, kMaxThreads, settings.threads));
  settings.machine_list_interval = root.Time("machine_list_interval", milliseconds(50), minutes(5),
                                             settings.machine_list_interval);
  if (std::optional<YamlMap> timing = root.Map("timing", false)) ReadTiming(*timing, settings.core);
  if (std::optional<YamlMap> residency = root.Map("residency", false))
    ReadResidency(*residency, settings.core);
  if (std::optional<YamlMap> limits = root.Map("limits", false)) ReadLimits(*limits, settings);
  root.Finish();
  problems.ThrowIfAny();
  return settings;
}

DaemonSettings ReadSettingsFile(const std::string& file) {
  return ParseSettings(ReadTextFile(file), file);
}

}  // namespace moorfold
