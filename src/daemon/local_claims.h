#pragma once

#include <map>
#include <mutex>

#include "request/claim_service.h"

namespace moorfold {

/// Claims of one daemon alone.
class LocalClaims : public ClaimService {
 public:
  Awaitable<ClaimResult> Claim(std::string key, std::string holder) override {
    const std::lock_guard lock(mutex_);
    ClaimRecord& record = records_[key];
    if (record.state == ClaimState::kFinished)
      co_return ClaimResult{ClaimEnd::kFinished, record.answer};
    if (record.state == ClaimState::kClaimed && record.holder != holder)
      co_return ClaimResult{ClaimEnd::kInUse, {}};
    record.state = ClaimState::kClaimed;
    record.holder = holder;
    co_return ClaimResult{ClaimEnd::kGranted, {}};
  }
  void Finish(std::string key, std::string holder, KeptAnswer answer) override {
    const std::lock_guard lock(mutex_);
    ClaimRecord& record = records_[key];
    if (record.holder != holder) return;
    record.state = ClaimState::kFinished;
    record.answer = std::move(answer);
  }
  void GiveBack(std::string key, std::string holder) override {
    const std::lock_guard lock(mutex_);
    ClaimRecord& record = records_[key];
    if (record.holder == holder) record.state = ClaimState::kUnclaimed;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, ClaimRecord> records_;
};

}  // namespace moorfold
