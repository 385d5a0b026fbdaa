#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace moorfold {

/// The set of daemons that own claims, agreed through the key-value service. A claim names the
/// number of its view; an owner of another view refuses it.
struct ClaimView {
  std::uint64_t number = 0;
  struct Owner {
    DaemonName name;
    Incarnation incarnation = 0;  ///< A restarted daemon has forgotten: it is another owner.
    auto operator<=>(const Owner&) const = default;
  };
  std::vector<Owner> owners;  ///< Sorted by name.

  auto operator<=>(const ClaimView&) const = default;
};

enum class ClaimState : std::uint8_t {
  kUnclaimed,  ///< Nobody holds the key, or its holder gave it back unused.
  kClaimed,    ///< Somebody may be running it, or ran it with an unknown end.
  kFinished,   ///< It was run; the answer is kept.
};

struct KeptAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

/// One key as an owner holds it. Of two records of a key the one with the higher state counts.
struct ClaimRecord {
  std::string key;
  std::string holder;  ///< The request that claimed it; unique.
  ClaimState state = ClaimState::kUnclaimed;
  KeptAnswer answer;
  std::int64_t expires_microseconds = 0;  ///< Since the epoch.
};

/// Asks an owner to claim `key` for `holder`.
struct ClaimRequest {
  std::uint64_t call = 0;
  std::uint64_t view = 0;
  std::string key;
  std::string holder;
};
enum class ClaimVerdict : std::uint8_t { kGranted, kHeldByOther, kFinished, kWrongView };
struct ClaimReply {
  std::uint64_t call = 0;
  ClaimVerdict verdict = ClaimVerdict::kWrongView;
  KeptAnswer answer;  ///< With kFinished.
};
/// Tells an owner how the claimed request ended.
struct ClaimUpdate {
  std::uint64_t view = 0;
  std::string key;
  std::string holder;
  ClaimState state = ClaimState::kFinished;  ///< kUnclaimed gives the key back: it was not run.
  KeptAnswer answer;
};
/// An owner of view `view` asks an owner of the view before for everything it holds.
struct ClaimTransferRequest {
  std::uint64_t view = 0;
};
struct ClaimTransferReply {
  std::uint64_t view = 0;
  std::vector<ClaimRecord> records;
};

using ClaimMessage =
    std::variant<ClaimRequest, ClaimReply, ClaimUpdate, ClaimTransferRequest, ClaimTransferReply>;

}  // namespace moorfold
