#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "fleet/routing_configuration.h"

namespace moorfold::balancing {

/// What a request does to the other requests that its server runs.
enum class RequestWork : std::uint8_t {
  kNeutral,    ///< Neither of the two below.
  kPaced,      ///< A stream of an urgent route: its events must not pause.
  kLongPrompt  ///< Its prefill pauses the streams at the same server.
};

/// @return the name in logs and metrics.
const char* Name(RequestWork work);

/// Decides for one service which requests are kept apart. Responds to load in which long prompts of
/// less urgent routes pause the streams of the most urgent ones. Immutable.
class SeparationPolicy {
 public:
  /// A policy that is off: every request is neutral.
  SeparationPolicy() = default;
  /// The policy is on if the service has an engine, its stream routes have at least two priorities
  /// and a stream route of the most urgent priority states a gap target. Routes that give the
  /// service no weight send it nothing and do not count.
  SeparationPolicy(const RoutingConfiguration& configuration, const std::string& service);

  bool enabled() const { return enabled_; }
  /// @param prompt_tokens Length of the whole prompt.
  RequestWork Classify(const Route& route, double prompt_tokens) const;

 private:
  bool enabled_ = false;
  std::uint32_t urgent_priority_ = 0;
  double long_prompt_tokens_ = 0;  ///< Prompts with more tokens are long.
};

/// The policies of all services with an engine, by service name.
using SeparationPolicies = std::map<std::string, SeparationPolicy>;
SeparationPolicies MakeSeparationPolicies(const RoutingConfiguration& configuration);

}  // namespace moorfold::balancing
