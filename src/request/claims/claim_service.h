#pragma once

#include <string>

#include "core/claims/claim_messages.h"
#include "http/http_types.h"

namespace moorfold {

enum class ClaimEnd : std::uint8_t {
  kGranted,     ///< The caller alone may run the request with this key.
  kInUse,       ///< Somebody runs it, or ran it with an unknown end.
  kFinished,    ///< It was run before; `answer` is what it answered.
  kNoMajority,  ///< Too few owners answered: run nothing.
};

struct ClaimResult {
  ClaimEnd end = ClaimEnd::kNoMajority;
  KeptAnswer answer;
};

/// Claims on idempotency keys: of all requests with one key, sent to any daemons, at most one is
/// granted while the key is remembered (10 minutes after its end). Any thread.
class ClaimService {
 public:
  virtual ~ClaimService() = default;
  /// @param holder unique to the request.
  virtual Awaitable<ClaimResult> Claim(std::string key, std::string holder) = 0;
  /// The granted request was run and answered so.
  virtual void Finish(std::string key, std::string holder, KeptAnswer answer) = 0;
  /// The granted request was not run: another may have the key.
  virtual void GiveBack(std::string key, std::string holder) = 0;
};

}  // namespace moorfold
