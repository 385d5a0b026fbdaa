#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace moorfold {

/// How often each request id was run by a back end, so that a double shows.
class ExecutionLog {
 public:
  void Record(const std::string& id) { ++counts_[id]; }
  const std::map<std::string, std::uint32_t>& counts() const { return counts_; }

 private:
  std::map<std::string, std::uint32_t> counts_;
};

}  // namespace moorfold
