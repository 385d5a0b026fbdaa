#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "common/boot_clock.h"
#include "fake_key_value_store.h"
#include "gateway/store_view.h"
#include "protocol.h"

namespace moorfold {

/// A StoreView on a fake store to which the test writes as the operator and the servers do.
struct ViewFixture {
  ViewFixture() : store(context, table), log(-1, {}), view(context.get_executor()) {}

  void Start() {
    store_view.Start(
        "moorfold/leader",
        [this](const std::optional<KeyValue>& entry, StoreRevision) {
          internal_key_values.push_back(entry ? entry->value : "gone");
        },
        [this](const RoutingConfiguration&) { ++configurations_applied; });
  }
  void Put(const std::string& key, const std::string& value) {
    Transaction transaction;
    transaction.operations.emplace_back(PutOperation{key, value, {}});
    table.Transact(transaction);
  }
  void Remove(const std::string& key) {
    Transaction transaction;
    transaction.operations.emplace_back(DeleteOperation{key});
    table.Transact(transaction);
  }
  void PutServer(const std::string& id, const std::string& state = "ready") {
    Put("servers/" + id, Entry(1'000, state));
  }
  /// @return the entry of a server that started at `born`, in milliseconds.
  static std::string Entry(std::int64_t born, const std::string& state = "ready") {
    return R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","state":")" + state +
           R"(","slots":4,"born":)" + std::to_string(born) + "}";
  }
  void PutVersion(int version) {
    Put("op/config", R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})");
  }
  std::int64_t Version() const { return view.routes ? view.routes->configuration().version : -1; }
  bool RunUntil(const std::function<bool()>& done,
                std::chrono::milliseconds timeout = std::chrono::milliseconds(20'000)) {
    const auto give_up = BootClock::now() + timeout;
    while (!done() && BootClock::now() < give_up) {
      store.Deliver();
      if (context.stopped()) context.restart();
      if (context.run_one_for(std::chrono::milliseconds(5)) == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return done();
  }

  boost::asio::io_context context;
  KeyValueTable table;
  FakeKeyValueStore store;
  EventLog log;
  platform::Protocol protocol;
  GatewayMetrics metrics;
  FleetView view;
  /// Short intervals between reads keep the tests fast.
  static constexpr follow::Settings kSettings{
      std::chrono::milliseconds(20), std::chrono::milliseconds(10), std::chrono::milliseconds(10)};
  StoreView store_view{context, store, protocol, view, metrics, log, kSettings};
  std::vector<std::string> internal_key_values;
  int configurations_applied = 0;
};

}  // namespace moorfold
