#pragma once

#include <functional>
#include <vector>

#include "core/types.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// The platform's list of live and leaving machines. It lags: a machine may be gone and listed,
/// or live and not yet listed. A machine that was listed and is no longer has ended for good.
class MachineList {
 public:
  using ListCallback = std::function<void(Outcome<MachineListing>)>;
  virtual ~MachineList() = default;
  /// Answers once, never from within the call.
  virtual void List(ListCallback done) = 0;
};

}  // namespace moorfold
