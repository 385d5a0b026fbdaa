#pragma once

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>

#include "common/boot_clock.h"
#include "fake_key_value_store.h"
#include "gateway/store_view.h"
#include "protocol.h"

namespace moorfold {

/// A daemon's view of a shared store.
struct Member {
  /// @param page_entries size of the store's first page; 0: unlimited.
  Member(boost::asio::io_context& context, KeyValueTable& table, std::chrono::milliseconds max_age,
         std::size_t page_entries = 0)
      : store(context, table),
        log(-1, {}),
        view(context.get_executor()),
        store_view(context, store, protocol, view, metrics, log,
                   {max_age, std::chrono::milliseconds(10), std::chrono::milliseconds(10)}) {
    store.page_entries = page_entries;
    store_view.Start(
        "moorfold/leader", [](const std::optional<KeyValue>&, StoreRevision) {},
        [](const RoutingConfiguration&) {});
  }
  std::int64_t Version() const { return view.routes ? view.routes->configuration().version : -1; }
  const ServerRecord* Record(const std::string& id) const {
    const ServerPtr server = view.servers.Find(id);
    return server ? &server->record() : nullptr;
  }

  FakeKeyValueStore store;
  EventLog log;
  platform::Protocol protocol;
  GatewayMetrics metrics;
  FleetView view;
  StoreView store_view;
};

inline std::string ServerText(const std::string& state, const std::string& models) {
  return R"({"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","state":")" + state +
         R"(","slots":4,"models":[)" + models + "]}";
}

inline void PutInto(KeyValueTable& table, const std::string& key, const std::string& value) {
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{key, value, {}});
  table.Transact(transaction);
}

/// Contains one configuration and one server.
inline KeyValueTable InitialTable() {
  KeyValueTable table;
  PutInto(table, "op/config", R"({"version":3,"routes":[],"services":[]})");
  PutInto(table, "servers/i-1", ServerText("ready", ""));
  return table;
}

/// A watcher, and a follower whose maximum age of one hour prevents periodic reads.
struct RelayFixture {
  RelayFixture()
      : table(InitialTable()),
        watcher(context, table, std::chrono::milliseconds(20)),
        follower(context, table, std::chrono::hours(1)) {
    REQUIRE(RunUntil([&] { return watcher.Version() == 3 && follower.Version() == 3; }));
    watcher.store_view.SetWatching(true);
  }
  void Put(const std::string& key, const std::string& value) { PutInto(table, key, value); }
  void Remove(const std::string& key) {
    Transaction transaction;
    transaction.operations.emplace_back(DeleteOperation{key});
    table.Transact(transaction);
  }
  void PutServer(const std::string& id, const std::string& state, const std::string& models) {
    Put("servers/" + id, ServerText(state, models));
  }
  /// Sends one request to the watcher and takes its answer.
  /// @param parts whether the follower accepts partial answers.
  ChangeAnswer Exchange(bool parts = false) {
    const std::optional<ChangeRequest> request = follower.store_view.MakeChangeQuestion();
    REQUIRE(request);
    ChangeAnswer answer = watcher.store_view.MakeChangeAnswer(*request, 20, parts);
    follower.store_view.TakeAnswer(answer);
    return answer;
  }
  bool RunUntil(const std::function<bool()>& done,
                std::chrono::milliseconds timeout = std::chrono::milliseconds(20'000)) {
    const auto give_up = BootClock::now() + timeout;
    while (!done() && BootClock::now() < give_up) {
      watcher.store.Deliver();
      follower.store.Deliver();
      if (context.stopped()) context.restart();
      if (context.run_one_for(std::chrono::milliseconds(5)) == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return done();
  }
  /// Waits until the watcher has all earlier writes.
  void WaitForWatcher() {
    const std::string marker = "i-marker-" + std::to_string(++markers_);
    PutServer(marker, "ready", "");
    REQUIRE(RunUntil([&] { return watcher.Record(marker) != nullptr; }));
  }

  boost::asio::io_context context;
  KeyValueTable table;
  Member watcher;
  Member follower;

 private:
  int markers_ = 0;
};

}  // namespace moorfold
