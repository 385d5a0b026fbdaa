#include "http/request_memory.h"

#include <algorithm>

namespace moorfold {

namespace {

/// Connections between requests may rest this many times longer than stalled ones.
constexpr int kIdleFactor = 4;

}  // namespace

const char* Name(EvictionReason reason) {
  switch (reason) {
    case EvictionReason::kStalled:
      return "stalled";
    case EvictionReason::kLargest:
      return "largest";
    case EvictionReason::kIdle:
      return "idle";
  }
  return "";
}

RequestMemory::Account::Account(std::shared_ptr<RequestMemory> memory, Holder& holder,
                                const void* group)
    : memory_(std::move(memory)), holder_(holder), group_(group) {
  memory_->accounts_.insert(this);
}

RequestMemory::Account::~Account() {
  memory_->bytes_ -= bytes_;
  memory_->accounts_.erase(this);
}

bool RequestMemory::Account::Resize(std::size_t bytes) {
  if (bytes > bytes_ && !memory_->Fits(bytes, bytes - bytes_) &&
      !memory_->MakeRoom(*this, bytes, bytes - bytes_)) {
    ++memory_->charges_denied_;
    return false;
  }
  memory_->bytes_ += bytes;
  memory_->bytes_ -= bytes_;
  memory_->peak_bytes_ = std::max(memory_->peak_bytes_, memory_->bytes_);
  bytes_ = bytes;
  return true;
}

void RequestMemory::Account::SetPhase(Phase phase) {
  phase_ = phase;
  RecordProgress();
}

bool RequestMemory::Fits(std::size_t account_bytes, std::size_t added) const {
  if (limits_.bytes == 0) return true;
  const double share =
      account_bytes > limits_.small_account_bytes ? 1 - limits_.reserved_share : 1.0;
  return static_cast<double>(bytes_ + added) <= static_cast<double>(limits_.bytes) * share;
}

bool RequestMemory::MakeRoom(const Account& needy, std::size_t needy_bytes, std::size_t added) {
  const Time now = BootClock::now();
  while (!Fits(needy_bytes, added)) {
    Account* const victim = LeastDeserving(needy, needy_bytes, now);
    if (victim == nullptr) return false;
    Evict(*victim, IsStalled(*victim, now) ? EvictionReason::kStalled : EvictionReason::kLargest);
  }
  return true;
}

bool RequestMemory::IsStalled(const Account& account, Time now) const {
  const bool owes_bytes = account.phase_ == Phase::kReading || account.phase_ == Phase::kNew;
  return owes_bytes && now - account.progress_at_ >= limits_.stalled_after;
}

RequestMemory::Account* RequestMemory::LeastDeserving(const Account& needy, std::size_t needy_bytes,
                                                      Time now) const {
  Account* worst = nullptr;
  bool worst_stalled = false;
  for (Account* const account : accounts_) {
    if (account == &needy || account->evicted_ || account->phase_ != Phase::kReading) continue;
    const bool stalled = IsStalled(*account, now);
    if (!stalled && account->bytes_ <= needy_bytes) continue;
    if (worst != nullptr && worst_stalled && !stalled) continue;
    const bool same_class = worst != nullptr && worst_stalled == stalled;
    if (same_class && worst->bytes_ >= account->bytes_) continue;
    worst = account;
    worst_stalled = stalled;
  }
  return worst;
}

RequestMemory::Account* RequestMemory::LongestInactive(const void* group, Time now) const {
  Account* longest = nullptr;
  for (Account* const account : accounts_) {
    if (account->group_ != group || account->evicted_) continue;
    const bool rested = account->phase_ == Phase::kIdle &&
                        now - account->progress_at_ >= limits_.stalled_after * kIdleFactor;
    if (!rested && !IsStalled(*account, now)) continue;
    const bool preferred = longest == nullptr || (longest->phase_ == Phase::kIdle && !rested) ||
                           ((longest->phase_ == Phase::kIdle) == rested &&
                            account->progress_at_ < longest->progress_at_);
    if (preferred) longest = account;
  }
  return longest;
}

std::size_t RequestMemory::EvictInactive(const void* group, std::size_t count) {
  const Time now = BootClock::now();
  std::size_t evicted = 0;
  while (evicted < count) {
    Account* const account = LongestInactive(group, now);
    if (account == nullptr) break;
    Evict(*account,
          account->phase_ == Phase::kIdle ? EvictionReason::kIdle : EvictionReason::kStalled);
    ++evicted;
  }
  return evicted;
}

void RequestMemory::Evict(Account& account, EvictionReason reason) {
  const std::size_t held = account.bytes_;
  account.evicted_ = true;
  account.holder_.Evict(reason);
  if (on_eviction_) on_eviction_(reason, held);
}

}  // namespace moorfold
