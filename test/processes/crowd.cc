#include "crowd.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace moorfold {

namespace {
using Clock = std::chrono::steady_clock;
constexpr std::chrono::milliseconds kQuietTime{2'000};
constexpr std::chrono::seconds kLongest{60};
constexpr std::chrono::milliseconds kPause{2};
}  // namespace

void Crowd::Add(const Endpoint& to, ByteSource source) {
  members_.push_back(std::make_unique<Member>(Member{RawClient(to), std::move(source)}));
}

bool Crowd::SendPiece(Member& member) {
  if (member.pending.empty()) member.pending = member.source();
  member.finished = member.pending.empty();
  const std::size_t sent = member.client.SendSome(member.pending);
  member.pending.erase(0, sent);
  bytes_sent_ += sent;
  return sent > 0;
}

void Crowd::Send() {
  const auto began = Clock::now();
  auto progress = began;
  std::size_t unacknowledged_before = 0;
  while (Clock::now() - progress < kQuietTime && Clock::now() - began < kLongest) {
    bool any_open = false;
    bool any_sent = false;
    std::size_t unacknowledged = 0;
    for (const auto& member : members_) {
      if (reading_ == Reading::kDiscardsResponses) member->client.Discard();
      any_open = any_open || member->client.open();
      unacknowledged += member->client.Unacknowledged();
      if (member->client.open() && !member->finished) any_sent = SendPiece(*member) || any_sent;
    }
    if (!any_open) return;
    if (any_sent || unacknowledged != unacknowledged_before)
      progress = Clock::now();
    else
      std::this_thread::sleep_for(kPause);
    unacknowledged_before = unacknowledged;
  }
}

}  // namespace moorfold
