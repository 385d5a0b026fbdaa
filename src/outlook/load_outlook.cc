#include "outlook/load_outlook.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace moorfold::outlook {

namespace {
using std::chrono::milliseconds;
}  // namespace

std::vector<ModelOutlook> PlanOutlook(const std::vector<AwaitedModel>& awaited,
                                      const WeightStoreState& state) {
  // Times at which a running or planned load ends, the earliest first. A slot without an entry is
  // free now. The queue holds no more entries than loads in progress and awaited models.
  std::priority_queue<milliseconds, std::vector<milliseconds>, std::greater<>> ends;
  for (const milliseconds remaining : state.loads_in_progress)
    ends.push(std::max(milliseconds(0), remaining));
  const std::size_t slots = std::max<std::size_t>(1, state.concurrent_loads);
  std::vector<ModelOutlook> outlooks;
  outlooks.reserve(awaited.size());
  milliseconds free_at{0};
  for (const AwaitedModel& model : awaited) {
    // More loads than slots run if the limit was lowered after they began.
    while (ends.size() >= slots) {
      free_at = ends.top();
      ends.pop();
    }
    const milliseconds ready_in = free_at + std::max(milliseconds(0), model.load_time);
    ends.push(ready_in);
    outlooks.push_back({model.model, ready_in});
  }
  return outlooks;
}

}  // namespace moorfold::outlook
