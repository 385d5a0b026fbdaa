#pragma once

#include <functional>
#include <optional>

#include "core/types.h"
#include "ports/key_value_store.h"

namespace moorfold {

struct OrderResult {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  std::optional<ServerReport> report;  ///< The engine's state right after the order.
};

/// The control side of the model engines of one zone. Requests for tokens go through the request
/// path instead.
class ModelEngine {
 public:
  using ReportCallback = std::function<void(Outcome<ServerReport>)>;
  using OrderCallback = std::function<void(OrderResult)>;
  virtual ~ModelEngine() = default;
  /// Asks `server` for its newest report. Answers once, never from within the call.
  virtual void Report(const Machine& server, ReportCallback done) = 0;
  /// Hands `order` to `server`; answers once when it is carried out, refused, or when its fate is
  /// unknown (OrderOutcome::kUnknown). Doing the same order twice has the effect of doing it once.
  virtual void Execute(const Machine& server, Order order, OrderCallback done) = 0;
};

}  // namespace moorfold
