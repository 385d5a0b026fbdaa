#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "http/http_types.h"

namespace moorfold {

/// Whether the request that is refused or failed was run by a back end.
enum class Executed : std::uint8_t { kNo, kUnknown };

/// An answer that is not the caller's wish: OpenAI's error shape, plus whether the request was
/// run and what the caller can do.
struct ApiError {
  unsigned status = 500;
  std::string code;     ///< Stable, for programs.
  std::string message;  ///< For people.
  std::string remedy;
  Executed executed = Executed::kNo;
  std::optional<std::chrono::seconds> retry_after;
};

HttpResponse ToResponse(const ApiError& error);

namespace errors {
ApiError BadRequest(const std::string& what, const std::string& remedy);
ApiError UnknownModel(const std::string& model);
ApiError UnknownService(const std::string& service);
ApiError NotReady();
ApiError CallerLimit(std::uint32_t limit);
ApiError QueueFull(const std::string& model);
ApiError TooLate(const std::string& model, double predicted_seconds);
ApiError StillLoading(const std::string& model);
ApiError NoBackend(const std::string& service);
ApiError BackendFailed(const std::string& what, Executed executed);
ApiError KeyInUse();
ApiError NoClaimMajority();
}  // namespace errors

}  // namespace moorfold
