#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fake_key_value_store.h"
#include "fleet/leader_election.h"
#include "store_revisions.h"

namespace moorfold {

constexpr const char* kLeaderKey = "moorfold/leader";

/// A candidate with its own connection to the shared store.
struct Candidate {
  Candidate(boost::asio::io_context& context, KeyValueTable& table, const std::string& name,
            std::chrono::milliseconds handover = std::chrono::milliseconds(60),
            std::chrono::milliseconds candidacy_delay = std::chrono::milliseconds(0))
      : store(context, table),
        log(-1, {}),
        election(context, store, log,
                 {name, "127.0.0.1:1", kLeaderKey, std::chrono::milliseconds(1'500), handover,
                  std::chrono::milliseconds(5'000), candidacy_delay}) {
    watch = store.Watch(
        {kLeaderKey, ""}, At(1),
        [this](const WatchBatch& batch) {
          for (const WatchEvent& event : batch.events) {
            if (event.deleted)
              election.KeyChanged(std::nullopt, event.entry.mod_revision);
            else
              election.KeyChanged(event.entry, event.entry.mod_revision);
          }
        },
        [](const PlatformFailure&) {});
    election.KeyChanged(std::nullopt, At(1));
    election.Start();
  }
  FakeKeyValueStore store;
  EventLog log;
  LeaderElection election;
  std::unique_ptr<WatchHandle> watch;
};

/// Runs the event loop and delivers store changes to the candidates until `done` or a timeout.
inline bool RunUntil(boost::asio::io_context& context, std::vector<Candidate*> candidates,
                     const std::function<bool()>& done,
                     std::chrono::milliseconds timeout = std::chrono::milliseconds(20'000)) {
  const auto give_up = BootClock::now() + timeout;
  while (!done() && BootClock::now() < give_up) {
    for (Candidate* candidate : candidates) candidate->store.Deliver();
    context.run_one_for(std::chrono::milliseconds(10));
  }
  return done();
}

}  // namespace moorfold
