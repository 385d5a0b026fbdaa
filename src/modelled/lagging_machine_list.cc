#include "modelled/lagging_machine_list.h"

#include <algorithm>

namespace moorfold {

void LaggingMachineList::Record(Timestamp now) {
  // A shorter lag than before still keeps the order of changes.
  const Timestamp earliest = changes_.empty() ? now : changes_.back().visible_at;
  changes_.push_back({std::max(earliest, now + lag_), actual_});
}

void LaggingMachineList::Put(const Machine& machine, Timestamp now) {
  actual_[machine.name] = machine;
  Record(now);
}

void LaggingMachineList::Remove(const std::string& name, Timestamp now) {
  actual_.erase(name);
  Record(now);
}

void LaggingMachineList::SetLeaving(const std::string& name, Timestamp now) {
  const auto found = actual_.find(name);
  if (found == actual_.end()) return;
  found->second.leaving = true;
  Record(now);
}

void LaggingMachineList::Settle() {
  changes_.clear();
  visible_ = actual_;
  listing_.reset();
}

MachineListing LaggingMachineList::Visible(Timestamp now) {
  while (!changes_.empty() && changes_.front().visible_at <= now) {
    visible_ = std::move(changes_.front().machines);
    changes_.pop_front();
    listing_.reset();
  }
  if (listing_) return listing_;
  std::vector<Machine> machines;
  for (const auto& [name, machine] : visible_) machines.push_back(machine);
  ++version_;
  listing_ = std::make_shared<const std::vector<Machine>>(std::move(machines));
  return listing_;
}

}  // namespace moorfold
