#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/demand/demand.h"
#include "core/intent.h"
#include "core/settings.h"

namespace moorfold {

/// Decides how long an idle replica stays loaded and when a model is loaded ahead of demand.
/// Implementations are pure and stateless; everything they know is in the arguments.
class ResidencyPolicy {
 public:
  virtual ~ResidencyPolicy() = default;

  /// @param level which replica: 0 is the last one that would be released.
  /// @return how long the replica stays loaded after it was last needed.
  virtual Duration KeepAlive(const ModelIntent& model, const ModelDemand& demand,
                             std::uint32_t level, Timestamp now) const = 0;
  /// @return whether one replica is held loaded at `now` though nobody asks for it.
  virtual bool HoldAhead(const ModelIntent& model, const ModelDemand& demand,
                         Timestamp now) const = 0;
};

using ResidencyPolicyConstPtr = std::shared_ptr<const ResidencyPolicy>;

ResidencyPolicyConstPtr MakeResidencyPolicy(const CoreSettings& settings);

/// @return the name used in settings and reports.
const char* ToString(PolicyKind kind);
/// @return the names of all policies, in the order of PolicyKind.
std::vector<std::string> PolicyNames();

}  // namespace moorfold
