#include "server_limits/permit_allocator.h"

#include <algorithm>

#include "server_limits/limit_shares.h"

namespace moorfold::limits {

namespace {

using std::chrono::microseconds;

/// Of a server that nobody has asked for: by then a limit is heard anew where it still holds.
constexpr std::chrono::seconds kForgottenAfter{60};
/// Many more servers than are in need at once.
constexpr std::size_t kMostServers = 4'096;
/// Turns that nobody asked for in time and that are not lost.
constexpr int kTurnsKept = 1;
/// Daemons that were denied ask again so often for each turn, all together.
constexpr double kQuestionsPerTurn = 4;

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

/// @return what a message states, within what can be: it may come from anywhere.
microseconds Bounded(std::int64_t stated_us) {
  constexpr std::int64_t kMost = 3'600'000'000;
  return microseconds(std::clamp<std::int64_t>(stated_us, 0, kMost));
}

}  // namespace

BootClock::duration PermitAllocator::Between(const Entry& entry, AllocatorRole role) {
  const double share = role == AllocatorRole::kLeader ? kLeaderShare : kDeputyShare;
  const double per_second = std::max(kProbesPerSecond, share * entry.limit_per_second.value_or(0));
  return std::chrono::duration_cast<BootClock::duration>(
      std::chrono::duration<double>(1 / per_second));
}

void PermitAllocator::Forget(Time now) {
  if (now < forget_due_ && entries_.size() < kMostServers) return;
  forget_due_ = now + kForgottenAfter;
  std::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.asked_at > kForgottenAfter || entries_.size() > kMostServers;
  });
}

PermitAllocator::Entry& PermitAllocator::Find(const PermitRequest& question, AllocatorRole role,
                                              Time now) {
  const Time stated_at = now - Bounded(question.age_us);
  const auto [found, fresh] = entries_.try_emplace(Key{question.server_id, question.life});
  Entry& entry = found->second;
  entry.asked_at = now;
  if (!fresh && stated_at < entry.stated_at) return entry;
  const bool had_limit = entry.limit_per_second.has_value();
  entry.stated_at = stated_at;
  entry.limit_per_second =
      question.limited ? std::optional(question.limit_per_second) : std::nullopt;
  // A leader before this one may just have given turns out.
  if (question.limited && !had_limit) entry.next_turn = now + Between(entry, role);
  return entry;
}

PermitResponse PermitAllocator::Answer(const PermitRequest& question, AllocatorRole role,
                                       Time now) {
  PermitResponse answer{question.asked_at_us, PermitVerdict::kNotAllocator, 0};
  if (role == AllocatorRole::kNone) return answer;
  Forget(now);
  Entry& entry = Find(question, role, now);
  if (!entry.limit_per_second) {
    answer.verdict = PermitVerdict::kUnlimited;
    return answer;
  }
  const BootClock::duration between = Between(entry, role);
  const BootClock::duration wait = std::max(BootClock::duration{}, entry.next_turn - now);
  if (question.max_wait_us >= 0 && wait <= Bounded(question.max_wait_us)) {
    entry.next_turn = std::max(entry.next_turn, now - between * kTurnsKept) + between;
    entry.denied = std::max(0.0, entry.denied - kQuestionsPerTurn);
    answer.verdict = PermitVerdict::kGranted;
    answer.wait_us = Microseconds(wait);
    return answer;
  }
  answer.verdict = PermitVerdict::kDenied;
  const auto behind =
      std::chrono::duration_cast<BootClock::duration>(between * entry.denied / kQuestionsPerTurn);
  if (question.max_wait_us >= 0) ++entry.denied;
  answer.wait_us = Microseconds(std::min<BootClock::duration>(wait + behind, kMaxRetryDelay));
  return answer;
}

}  // namespace moorfold::limits
