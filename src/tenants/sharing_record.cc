#include "tenants/sharing_record.h"

#include "fleet/fleet_messages.h"

namespace moorfold {

namespace {

/// Between two writes; also after one that failed.
constexpr std::chrono::milliseconds kBetweenWrites{1'000};

}  // namespace

void SharingRecord::Write(const CreditSharing& wanted) {
  if (calling_ || wanted == written_ || BootClock::now() < not_before_) return;
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{key_, EncodeMessage(wanted), 0});
  calling_ = true;
  store_.Transact(std::move(transaction), [this, wanted](const Outcome<TransactionResult>& result) {
    calling_ = false;
    not_before_ = BootClock::now() + kBetweenWrites;
    if (result.ok()) {
      written_ = wanted;
      return;
    }
    log_.Write(LogRank::kDecision, EventLine(LogEvent::kSharingNotStored)
                                       .Field(LogField::kKey, key_)
                                       .Field(LogField::kProblem, result.failure().message));
  });
}

}  // namespace moorfold
