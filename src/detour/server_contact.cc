#include "detour/server_contact.h"

#include <algorithm>

namespace moorfold::detour {

namespace {

/// A server may fail at the same time as another one by coincidence; four may not.
constexpr std::size_t kDoubtfulServers = 2;
constexpr std::size_t kIsolatedServers = 4;
/// Failures older than this say nothing about the present.
constexpr std::chrono::milliseconds kFailureLifetime{3'000};
constexpr std::size_t kMaxFailures = 64;

}  // namespace

const char* Name(ContactState state) {
  switch (state) {
    case ContactState::kReachable:
      return "reachable";
    case ContactState::kDoubtful:
      return "doubtful";
    case ContactState::kIsolated:
      return "isolated";
  }
  return "unknown";
}

void ServerContact::RecordFailure(const std::string& server_id, Time now) {
  std::erase_if(failed_, [&](const auto& entry) { return now - entry.second > kFailureLifetime; });
  if (failed_.size() < kMaxFailures || failed_.contains(server_id)) failed_[server_id] = now;
}

std::size_t ServerContact::FailingServers(Time now) const {
  return static_cast<std::size_t>(
      std::count_if(failed_.begin(), failed_.end(),
                    [&](const auto& entry) { return now - entry.second <= kFailureLifetime; }));
}

ContactState ServerContact::State(std::size_t known_servers, Time now) const {
  const std::size_t failing = FailingServers(now);
  if (failing == 0) return ContactState::kReachable;
  if (failing >= std::min(known_servers, kIsolatedServers)) return ContactState::kIsolated;
  return failing >= kDoubtfulServers ? ContactState::kDoubtful : ContactState::kReachable;
}

}  // namespace moorfold::detour
