#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <functional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// How often a model is usually asked for.
struct UsualRate {
  std::string service;
  std::string model;
  double arrivals_per_second = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, model, arrivals_per_second);
  }
};

/// What a leader has learned of demand, for the next one.
struct UsualDemand {
  std::vector<UsualRate> rates;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(rates);
  }
};

/// The store's entry of the usual demand: a leader that begins knows by it what must not be taken
/// away. The leader writes it every few seconds. Nobody else reads it. One thread.
class DemandRecord {
 public:
  /// @param demand without rates where there is no entry.
  using ReadHandler = std::function<void(const UsualDemand& demand)>;

  DemandRecord(KeyValueStore& store, EventLog& log, std::string key)
      : store_(store), log_(log), key_(std::move(key)) {}

  /// Reads the entry; does nothing while a read is under way, or just after one that failed. @param
  /// done is called where it could be read.
  void Read(ReadHandler done);
  /// Writes, if the last write lies far enough back. @pre this daemon leads.
  void Write(const std::function<UsualDemand()>& demand);

 private:
  void NoteProblem(const std::string& problem);

  KeyValueStore& store_;
  EventLog& log_;
  std::string key_;
  bool reading_ = false;
  bool writing_ = false;
  BootClock::time_point next_read_{};
  BootClock::time_point next_write_{};
};

}  // namespace moorfold
