#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/load_window.h"

namespace moorfold {

/// In the store: that `holder` may have sent orders to a server, the last of them announced
/// `age_ms` before the record was written.
struct AnnouncedServer {
  std::string server_id;
  std::string holder;
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, holder, age_ms);
  }
};

/// What a leader leaves in the store for whoever leads next. Times are relative to the writing,
/// since machines share no clock.
struct OrderHistoryRecord {
  std::vector<AnnouncedServer> servers;
  /// For how long each load from the weight store still counts against the bound on loads.
  std::vector<std::int64_t> loads_count_for_ms;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(servers, loads_count_for_ms);
  }
};

/// Which servers got orders lately and from whom, so that orders of two machines to one server
/// always lie apart. Contract, on one machine's steady clock:
/// - A leader *announces* a server in the store before it sends an order there. The write holds
///   only while the leader key is still its own.
/// - An announcement serves orders that are sent within kAnnouncementLife of its writing, each
///   given up within kLongestOrder. So the last order of an announcement arrives no later than both
///   together after it.
/// - Whoever leads next reads the record after it has won, when the leader before can announce
///   nothing more, and keeps away from each announced server until the bound has passed.
/// A pause between the last check and the sending is the platform's concern
/// (docs/PLATFORM-DESIGN.md). Pure; one thread.
class OrderHistory {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Milliseconds = std::chrono::milliseconds;

  static constexpr Milliseconds kAnnouncementLife{1'000};
  /// An order that has no answer by then is given up with its connection.
  static constexpr Milliseconds kLongestOrder{600};

  /// @param holder this machine's name in orders.
  /// @param orders_apart how long orders of two machines to one server must lie apart.
  /// @param load_window of the bound on loads from the weight store.
  OrderHistory(std::string holder, Milliseconds orders_apart, Milliseconds load_window);

  /// Begins a term with what the leaders before have left.
  /// @param seen_at when this machine first saw the record; it was written no later.
  void TakeOver(const OrderHistoryRecord& record, Time seen_at);

  /// Begins a term without knowing what was left: nothing is free until it cannot matter.
  void TakeOverUnknown(Time now);

  /// Asks for a server to be announced by the next record.
  void Want(const std::string& server_id) { wanted_.insert(server_id); }
  bool AnyWanted() const { return !wanted_.empty(); }
  /// @return the record that announces what is wanted, as of `now`, the time of its sending.
  OrderHistoryRecord BeginWrite(Time now);
  /// The record of the last BeginWrite is in the store.
  void ConfirmWrite();
  /// It may not be: its announcements do not hold.
  void AbandonWrite() { being_written_.clear(); }

  /// @return whether an order to the server may be sent now.
  bool MaySend(const std::string& server_id, Time now) const;
  /// @return when orders of other machines, and of this machine's earlier process, can no longer
  /// arrive too close to one sent then.
  Time FreeAt(const std::string& server_id) const;

  LoadWindow& loads() { return loads_; }

 private:
  struct Inherited {
    std::string holder;
    Time announced_at;
  };
  Time FreeAfter(const Inherited& entry) const;
  void Forget(Time now);

  std::string holder_;
  Milliseconds orders_apart_;
  Milliseconds load_window_;
  LoadWindow loads_;
  Time none_before_{};
  std::set<std::string> wanted_;
  std::map<std::string, Time> being_written_;
  std::map<std::string, Time> announced_;
  std::map<std::string, std::vector<Inherited>> inherited_;
};

}  // namespace moorfold
