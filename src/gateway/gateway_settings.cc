#include "gateway/gateway_settings.h"

#include <charconv>

#include "config/strict_yaml.h"

namespace moorfold {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

Endpoint ReadEndpoint(YamlMap& map, const std::string& key) {
  const std::string text = map.RequiredString(key);
  if (text.empty()) return {};
  try {
    return ParseEndpoint(text);
  } catch (const std::invalid_argument&) {
    map.Problem(key, "'" + key + "' is not an address", "write IP:PORT, as 127.0.0.1:7400");
    return {};
  }
}

constexpr double kMaxQuotaSlack = 1e12;
constexpr double kMaxRetries = 1'000'000;
constexpr std::int64_t kMaxLogLines = 100'000;
constexpr std::int64_t kMaxDaemons = 1'000'000;
constexpr std::int64_t kMaxQuarantineServers = 3;
constexpr double kMaxLinkMbps = 1e6;
constexpr std::int64_t kMaxMemoryMb = 1 << 24;
constexpr std::int64_t kMaxSocketBufferKb = 64 * 1024;
constexpr std::int64_t kMaxDescriptors = 1 << 30;

/// Reads the optional "PORT/PATH".
std::optional<MetricsEndpoint> ReadMetrics(YamlMap& map) {
  const std::string text = map.String("metrics", "");
  if (text.empty()) return std::nullopt;
  MetricsEndpoint metrics;
  const std::size_t slash = text.find('/');
  const std::string port = text.substr(0, slash);
  const auto read = std::from_chars(port.data(), port.data() + port.size(), metrics.port);
  if (read.ec != std::errc() || read.ptr != port.data() + port.size() || metrics.port == 0)
    map.Problem("metrics", "'metrics' has no valid port", "write PORT/PATH, as 9100/metrics");
  metrics.path = slash == std::string::npos ? "/" : text.substr(slash);
  return metrics;
}

milliseconds ReadTime(YamlMap& map, const std::string& key, milliseconds fallback) {
  const Duration read = map.Time(key, milliseconds(1), hours(1), Duration(fallback));
  return std::chrono::duration_cast<milliseconds>(read);
}

}  // namespace

GatewaySettings ParseGatewaySettings(const std::string& text, const std::string& file) {
  ConfigProblems problems(file);
  YamlMap root(ParseYaml(text, file), problems, "the settings");
  GatewaySettings settings;
  settings.name = root.RequiredString("name");
  settings.zone = root.RequiredString("zone");
  settings.listen = ReadEndpoint(root, "listen");
  settings.readiness = ReadEndpoint(root, "readiness");
  settings.peer = ReadEndpoint(root, "peer");
  settings.store = ReadEndpoint(root, "store");
  settings.metrics = ReadMetrics(root);
  settings.retry_window = ReadTime(root, "retry_window", settings.retry_window);
  settings.retry_ratio = root.Number("retry_ratio", 0, 1, settings.retry_ratio);
  settings.retry_minimum = root.Number("retry_minimum", 0, kMaxRetries, settings.retry_minimum);
  settings.order_handover = ReadTime(root, "order_handover", settings.order_handover);
  settings.load_window = ReadTime(root, "load_window", settings.load_window);
  settings.drain_timeout = ReadTime(root, "drain_timeout", settings.drain_timeout);
  settings.staleness_bound = ReadTime(root, "staleness_bound", settings.staleness_bound);
  settings.configuration_bound =
      ReadTime(root, "configuration_bound", settings.configuration_bound);
  settings.log_lines_per_second = static_cast<std::uint32_t>(
      root.Integer("log_lines_per_second", 0, kMaxLogLines, settings.log_lines_per_second));
  settings.relay_from_daemons = static_cast<std::uint32_t>(
      root.Integer("relay_from_daemons", 0, kMaxDaemons, settings.relay_from_daemons));
  settings.relays_from_daemons = static_cast<std::uint32_t>(
      root.Integer("relays_from_daemons", 0, kMaxDaemons, settings.relays_from_daemons));
  settings.quarantine_servers = static_cast<std::uint32_t>(
      root.Integer("quarantine_servers", 0, kMaxQuarantineServers, settings.quarantine_servers));
  settings.quarantine_time = ReadTime(root, "quarantine_time", settings.quarantine_time);
  settings.quota_window = ReadTime(root, "quota_window", settings.quota_window);
  settings.quota_overshoot = root.Number("quota_overshoot", 0, 1, settings.quota_overshoot);
  settings.quota_slack = root.Number("quota_slack", 0, kMaxQuotaSlack, settings.quota_slack);
  settings.prompt_separation = root.Bool("prompt_separation", settings.prompt_separation);
  settings.load_outlook = root.Bool("load_outlook", settings.load_outlook);
  settings.cpu_share = root.Number("cpu_share", 0, 4096, settings.cpu_share);
  settings.link_mbps = root.Number("link_mbps", 0, kMaxLinkMbps, settings.link_mbps);
  settings.memory_mb =
      static_cast<std::uint32_t>(root.Integer("memory_mb", 0, kMaxMemoryMb, settings.memory_mb));
  settings.request_memory_mb = static_cast<std::uint32_t>(
      root.Integer("request_memory_mb", 0, kMaxMemoryMb, settings.request_memory_mb));
  settings.stalled_after = ReadTime(root, "stalled_after", settings.stalled_after);
  settings.socket_buffer_kb = static_cast<std::uint32_t>(
      root.Integer("socket_buffer_kb", 0, kMaxSocketBufferKb, settings.socket_buffer_kb));
  settings.max_descriptors = static_cast<std::uint32_t>(
      root.Integer("max_descriptors", 0, kMaxDescriptors, settings.max_descriptors));
  root.Finish();
  problems.ThrowIfAny();
  return settings;
}

GatewaySettings ReadGatewaySettings(const std::string& file) {
  return ParseGatewaySettings(ReadTextFile(file), file);
}

}  // namespace moorfold
