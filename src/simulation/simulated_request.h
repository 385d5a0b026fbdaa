#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "core/intent.h"
#include "core/types.h"

namespace moorfold {

enum class RequestEnd : std::uint8_t { kPending, kServed, kRefusedNotRun, kUnknown };

/// One caller's request, from its arrival to its end, with what the back ends did for it.
struct SimulatedRequest {
  std::uint64_t id = 0;
  bool is_service = false;
  std::string name;  ///< Model or service.
  AdapterName adapter;
  std::string key;  ///< Idempotency key; empty: none.
  bool repeatable = true;
  Priority priority = Priority::kInteractive;
  Timestamp arrival{};
  Timestamp deadline{};
  std::uint32_t tokens = 0;
  std::uint64_t prefix_hash = 0;
  ZoneName zone;
  std::uint32_t router = 0;  ///< Which daemon of the zone the caller turns to.

  RequestEnd end = RequestEnd::kPending;
  std::uint32_t executions = 0;  ///< As the modelled back ends counted.
  std::uint32_t client_tries = 0;
  bool cold = false;
  bool measured = true;
  Timestamp first_token{};
};
using SimulatedRequestPtr = std::shared_ptr<SimulatedRequest>;

}  // namespace moorfold
