#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace moorfold {

/// The platform's machine list: what callers see is `lag` behind what happened.
class LaggingMachineList {
 public:
  explicit LaggingMachineList(Duration lag) : lag_(lag) {}

  void Put(const Machine& machine, Timestamp now);
  void Remove(const std::string& name, Timestamp now);
  void SetLeaving(const std::string& name, Timestamp now);
  /// Changes from now on show so much later.
  void SetLag(Duration lag) { lag_ = lag; }
  /// Shows all changes at once, for a start without waiting.
  void Settle();
  /// @return the same pointer as long as nothing changes.
  MachineListing Visible(Timestamp now);
  /// Rises with every change that shows.
  std::uint64_t version() const { return version_; }
  const std::map<std::string, Machine>& actual() const { return actual_; }

 private:
  struct Change {
    Timestamp visible_at;
    std::map<std::string, Machine> machines;
  };
  void Record(Timestamp now);

  Duration lag_;
  std::map<std::string, Machine> actual_;
  std::map<std::string, Machine> visible_;
  MachineListing listing_;
  std::uint64_t version_ = 0;
  std::deque<Change> changes_;
};

}  // namespace moorfold
