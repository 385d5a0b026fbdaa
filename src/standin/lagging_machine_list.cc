#include "standin/lagging_machine_list.h"

namespace moorfold {

void LaggingMachineList::Record() { changes_.push_back({clock_.Now() + lag_, actual_}); }

void LaggingMachineList::Put(const Machine& machine) {
  actual_[machine.name] = machine;
  Record();
}

void LaggingMachineList::Remove(const std::string& name) {
  actual_.erase(name);
  Record();
}

void LaggingMachineList::SetLeaving(const std::string& name) {
  const auto found = actual_.find(name);
  if (found == actual_.end()) return;
  found->second.leaving = true;
  Record();
}

void LaggingMachineList::Settle() {
  changes_.clear();
  visible_ = actual_;
}

std::vector<Machine> LaggingMachineList::Visible() {
  const Timestamp now = clock_.Now();
  while (!changes_.empty() && changes_.front().visible_at <= now) {
    visible_ = std::move(changes_.front().machines);
    changes_.pop_front();
  }
  std::vector<Machine> machines;
  for (const auto& [name, machine] : visible_) machines.push_back(machine);
  return machines;
}

}  // namespace moorfold
