#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/claims/claim_messages.h"
#include "core/time.h"
#include "request/claims/claim_service.h"

namespace moorfold {

/// What a ClaimNode wants done.
struct ClaimOutput {
  std::vector<std::pair<DaemonName, ClaimMessage>> messages;
  std::vector<std::pair<std::uint64_t, ClaimResult>> finished;  ///< Calls that have their result.
};

/// How long a key is remembered after its claim, and again after its end.
constexpr Duration kClaimRetention = std::chrono::minutes(10);

/// @return the owners of a key: the highest rendezvous weight in each of the three best zones,
///   so that the loss of a zone leaves a majority; with fewer zones, the three best owners.
std::vector<ClaimOwner> OwnersOf(const ClaimView& view, const std::string& key);

/// Both sides of the claims on idempotency keys in one daemon: as an owner it remembers keys, as
/// a router's agent it collects a majority. Pure: time is an argument, messages are data.
///
/// Why a key runs at most once: a claim is granted by two of its three owners of one view, in two
/// zones, and an owner grants a key once. An owner of a new view grants nothing until it holds all
/// earlier claims: it asks the owners of the view before for everything; each of those stops
/// granting in older views before it replies; replies from all but one zone hold every claim of
/// that view. A replier that served that view holds all claims of the views before it; if none
/// did, the view before is asked in the same way, and so on. When owners of two zones are gone for
/// good, a new owner waits until what they knew has expired; while they are merely out of reach,
/// it goes on waiting, since they may still be granting.
class ClaimNode {
 public:
  ClaimNode(DaemonName self, Incarnation boot) : self_(std::move(self)), boot_(boot) {}

  void SetView(const ClaimView& view, Timestamp now, ClaimOutput& output);
  /// Claims `key` for `holder`; the result of `call` comes in some later output.
  void Claim(std::uint64_t call, const std::string& key, const std::string& holder, Timestamp now,
             ClaimOutput& output);
  void Finish(const std::string& key, const std::string& holder, const KeptAnswer& answer,
              Timestamp now, ClaimOutput& output);
  void GiveBack(const std::string& key, const std::string& holder, Timestamp now,
                ClaimOutput& output);
  void OnMessage(const DaemonName& from, const ClaimMessage& message, Timestamp now,
                 ClaimOutput& output);
  /// Ends calls that took too long, repeats transfer requests, forgets expired keys.
  void Tick(Timestamp now, ClaimOutput& output);

  /// Owners that are on the machine list no more are gone for good.
  void SetListedDaemons(const std::set<DaemonName>& listed) { listed_ = listed; }

  bool serving() const { return serving_; }
  std::uint64_t view_number() const { return view_.number; }
  std::size_t remembered() const { return records_.size(); }

 private:
  struct PendingCall {
    std::string key;
    std::string holder;
    Timestamp started{};
    std::vector<ClaimOwner> owners;
    std::map<DaemonName, ClaimVerdict> verdicts;
  };

  void On(const DaemonName& from, const ClaimRequest& request, Timestamp now, ClaimOutput& output);
  void On(const DaemonName& from, const ClaimReply& reply, Timestamp now, ClaimOutput& output);
  void On(const DaemonName& from, const ClaimUpdate& update, Timestamp now, ClaimOutput& output);
  void On(const DaemonName& from, const ClaimTransferRequest& request, Timestamp now,
          ClaimOutput& output);
  void On(const DaemonName& from, const ClaimTransferReply& reply, Timestamp now,
          ClaimOutput& output);
  ClaimReply Judge(const ClaimRequest& request, Timestamp now);
  void Merge(const ClaimRecord& record);
  void AskOldOwners(Timestamp now, ClaimOutput& output);
  void ServeWhenComplete(Timestamp now);
  /// Whether the given silent owners of `generation` cannot hide a claim that nobody else knows.
  static bool Tolerable(const std::vector<ClaimOwner>& generation,
                        const std::vector<ClaimOwner>& silent);
  bool HasAllEarlierClaims() const;
  bool OldViewsCannotGrant() const;
  bool Gone(const ClaimOwner& owner) const;
  void Tell(const std::string& key, const ClaimUpdate& update, Timestamp now, ClaimOutput& output);
  void EndCall(std::uint64_t call, ClaimEnd end, const KeptAnswer& answer, Timestamp now,
               ClaimOutput& output);
  bool OwnsIn(const std::vector<ClaimOwner>& owners) const;

  DaemonName self_;
  Incarnation boot_;
  ClaimView view_;
  Timestamp view_since_{};
  bool serving_ = false;           ///< Owner of the view, with all that was claimed before it.
  std::uint64_t served_view_ = 0;  ///< The last view this node served as an owner.
  std::uint64_t lowest_view_ = 0;  ///< Grants nothing in older ones.
  std::map<ClaimOwner, std::uint64_t> answered_;  ///< Old owners that sent all, and served_view.
  std::set<ClaimOwner> gone_;
  std::set<DaemonName> listed_;
  std::optional<Timestamp> powerless_since_;  ///< Since then no older view can grant anything.
  Timestamp last_asked_{};
  /// By key and holder: each holder's claim ends by itself.
  std::map<std::string, std::map<std::string, ClaimRecord>> records_;
  std::map<std::uint64_t, PendingCall> calls_;
  Timestamp last_forgotten_{};
};

}  // namespace moorfold
