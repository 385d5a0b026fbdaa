#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "common/wall_clock.h"
#include "http/http_server.h"
#include "modelled/key_value_table.h"

namespace moorfold {

/// What may be wrong with the emulated store.
struct StoreFaults {
  bool unavailable = false;  ///< 503, nothing is done.
  bool silent = false;       ///< Calls are not answered, nothing is done.
  std::chrono::milliseconds delay{0};
  double lose_share = 0;                         ///< Writes that are done and not answered.
  std::chrono::milliseconds lost_apply_late{0};  ///< Lost writes are done so much later.
  /// Leases run from their grant, whose answers come so much later: others win in between.
  std::chrono::milliseconds grant_answer_delay{0};
  bool history_gone = false;    ///< Watches answer 410.
  bool next_read_lost = false;  ///< The next read's answer never comes, its connection stands.
  /// The next read is done in time, its answer comes so much later.
  std::chrono::milliseconds next_read_late{0};
  bool tells_era = true;           ///< Answers carry the era.
  double writes_per_second = 400;  ///< Of all callers together; more get 429.
  double reads_per_second = 2'000;
};

/// Calls that are left in a second, filled up as time goes by.
class CallBudget {
 public:
  /// @return whether one more call may be made now; counts it if so.
  bool Take(double per_second, BootClock::time_point now) {
    const double passed = std::chrono::duration<double>(now - filled_).count();
    left_ = std::min(per_second, left_ + passed * per_second);
    filled_ = now;
    if (left_ < 1) return false;
    left_ -= 1;
    return true;
  }

 private:
  double left_ = 0;
  BootClock::time_point filled_{};
};

/// The platform's metadata store as its pages describe it, over HTTP. One thread.
class StoreEmulator {
 public:
  StoreEmulator(boost::asio::io_context& context, std::uint64_t seed);

  void Start();
  Endpoint endpoint() const { return server_.endpoint(); }
  /// Maps the announced address of a server to the one at which a caller finds it.
  using AddressView = std::function<std::string(const std::string& announced)>;
  /// Opens another listener, whose callers read the servers' addresses through `view`.
  Endpoint AddListener(AddressView view);
  StoreFaults& faults() { return faults_; }
  /// What the operator and the servers write; faults do not concern them.
  std::int64_t Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /// Comes back from a copy of about that age, at most some 10 s. What the operator and the servers
  /// wrote since is written again.
  void ComeBackFromCopy(std::chrono::milliseconds age);
  /// Of the system, lost by a return from a copy and put again since.
  int records_written_again() const { return written_again_; }
  std::uint64_t calls() const { return calls_; }
  /// Listings, reads of keys and reads of changes that were answered.
  std::uint64_t reads_answered() const { return reads_answered_; }
  const KeyValueTable& table() const { return table_; }

 private:
  struct Copy {
    BootClock::time_point taken_at;
    KeyValueTable table;
  };
  Awaitable<void> Handle(HttpServerExchange& exchange, AddressView view);
  Awaitable<HttpResponse> Answer(const HttpRequest& request);
  Awaitable<HttpResponse> Watch(const std::string& target);
  HttpResponse Range(const std::string& target);
  HttpResponse ReadKey(const std::string& target);
  HttpResponse Transact(const std::string& body);
  HttpResponse Lease(const std::string& body);
  Awaitable<void> ExpireLeases();
  Awaitable<void> KeepCopies();
  const KeyValueTable& CopyOfAge(std::chrono::milliseconds age) const;
  /// Of a read that was done: whether its answer goes out now.
  Awaitable<bool> HoldAnswer();
  bool LosesAnswer(const HttpRequest& request);
  bool WithinRate(const HttpRequest& request);

  boost::asio::io_context& context_;
  KeyValueTable table_;
  std::deque<Copy> copies_;     ///< Oldest first.
  std::set<std::string> lost_;  ///< Keys of the system that a copy did not have as they were.
  int written_again_ = 0;
  WallClock clock_;
  StoreFaults faults_;
  AsyncSignal changed_;
  std::mt19937_64 random_;
  CallBudget writes_;
  CallBudget reads_;
  std::uint64_t calls_ = 0;
  std::uint64_t reads_answered_ = 0;
  HttpServer server_;
  std::vector<std::unique_ptr<HttpServer>> listeners_;
};

}  // namespace moorfold
