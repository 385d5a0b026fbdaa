#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/routing_configuration.h"
#include "outlook/load_outlook.h"
#include "outlook/outlook_messages.h"

namespace moorfold::outlook {

/// @return whether a load of the service's models from the weight store takes longer than the
/// longest target of its stream routes, so that no request that waits for it is served in time.
/// False for a service without an engine or without stream routes.
bool LoadsExceedTarget(const RoutingConfiguration& configuration,
                       const ServiceDescription& service);

/// @param models Names of models of the engine; others are left out.
std::vector<AwaitedModel> WithLoadTimes(const std::vector<std::string>& models,
                                        const EngineDescription& engine);

/// Sends the outlook of each service's awaited models and logs models that newly have one. Runs in
/// the leader. Not thread-safe.
class OutlookAnnouncer {
 public:
  using Time = BootClock::time_point;
  using Handler = std::function<void(const LoadOutlookNotice&)>;

  OutlookAnnouncer(EventLog& log, Handler send) : log_(log), send_(std::move(send)) {}

  /// @return whether the next announcement for the service may be made.
  bool Due(const std::string& service, Time now) const;
  /// Sends at most one notice. More awaited models than fit into it are announced in turn.
  void Announce(const std::string& service, const std::vector<AwaitedModel>& awaited,
                const WeightStoreState& state, Time now);
  /// Discards the state of an earlier leadership term.
  void Reset() { services_.clear(); }

 private:
  struct ServiceState {
    Time not_before{};
    std::set<std::string> models;  ///< Models that had an outlook at the last announcement.
    std::size_t next = 0;          ///< Index of the first model of the next notice.
  };

  void LogNewModels(ServiceState& state, const std::vector<ModelOutlook>& outlooks);

  EventLog& log_;
  Handler send_;
  std::map<std::string, ServiceState> services_;
};

}  // namespace moorfold::outlook
