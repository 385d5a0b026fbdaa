#pragma once

#include <cstdint>
#include <fstream>
#include <string>

namespace moorfold {

/// @return this process's peak resident memory (VmHWM) in kilobytes; 0 where it cannot be read.
inline std::int64_t PeakMemoryKilobytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word != "VmHWM:") continue;
    std::int64_t kilobytes = 0;
    status >> kilobytes;
    return kilobytes;
  }
  return 0;
}

}  // namespace moorfold
