#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "host/core_host.h"
#include "simulation/event_queue.h"

namespace moorfold {

/// One process that can be killed and paused. Everything that reaches it goes through a gate: to a
/// dead one it is lost, to a paused one it comes when it resumes.
class Process {
 public:
  explicit Process(EventQueue& queue) : state_(std::make_shared<GateState>()), queue_(queue) {}

  void Start() {
    state_->alive = true;
    ++state_->life;
  }
  void Kill() {
    state_->alive = false;
    state_->paused = false;
    state_->backlog.clear();
  }
  void Pause() { state_->paused = state_->alive; }
  void Resume() {
    if (!state_->paused) return;
    state_->paused = false;
    std::vector<std::function<void()>> backlog = std::move(state_->backlog);
    state_->backlog.clear();
    for (std::function<void()>& callback : backlog) queue_.After(Duration{0}, std::move(callback));
  }
  bool alive() const { return state_->alive; }
  bool paused() const { return state_->paused; }
  std::uint64_t life() const { return state_->life; }

  /// @return a callback that runs `callback` in this life of the process only.
  template <typename Callback>
  auto Gate(Callback callback) const {
    return [state = state_, life = state_->life, callback = std::move(callback)](auto... values) {
      if (!state->alive || state->life != life) return;
      if (!state->paused) return callback(std::move(values)...);
      state->backlog.push_back([state, life, callback, values...]() mutable {
        if (state->alive && state->life == life) callback(std::move(values)...);
      });
    };
  }

 private:
  struct GateState {
    bool alive = false;
    bool paused = false;
    std::uint64_t life = 0;
    std::vector<std::function<void()>> backlog;
  };
  std::shared_ptr<GateState> state_;
  EventQueue& queue_;
};

class ProcessScheduler : public Scheduler {
 public:
  ProcessScheduler(EventQueue& queue, const Process& process) : queue_(queue), process_(process) {}
  Timestamp Now() const override { return queue_.Now(); }
  void After(Duration delay, std::function<void()> callback) override {
    queue_.After(delay, process_.Gate(std::move(callback)));
  }

 private:
  EventQueue& queue_;
  const Process& process_;
};

}  // namespace moorfold
