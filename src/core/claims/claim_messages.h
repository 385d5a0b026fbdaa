#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/types.h"

namespace moorfold {

/// One daemon that remembers idempotency keys. A restarted daemon has forgotten: with its new
/// boot it is another owner.
struct ClaimOwner {
  DaemonName name;
  ZoneName zone;
  Incarnation boot = 0;

  auto operator<=>(const ClaimOwner&) const = default;
};

constexpr std::size_t kClaimHistory = 8;

/// The set of owners, agreed through the key-value service and numbered. A claim names the number
/// of its view; an owner in another view refuses it.
struct ClaimView {
  std::uint64_t number = 0;
  std::vector<ClaimOwner> owners;  ///< Sorted.
  /// The owners of the views before, newest first, at most kClaimHistory of them.
  std::vector<std::vector<ClaimOwner>> history;

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

  auto operator<=>(const KeptAnswer&) const = default;
};

/// One key as an owner holds it. Of two records of a key the one with the higher state counts.
struct ClaimRecord {
  std::string key;
  std::string holder;  ///< The request that claimed it; unique.
  ClaimState state = ClaimState::kUnclaimed;
  KeptAnswer answer;
  std::int64_t expires_microseconds = 0;  ///< Since the epoch.

  auto operator<=>(const ClaimRecord&) const = default;
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
  std::string key;
  std::string holder;
  ClaimState state = ClaimState::kFinished;  ///< kUnclaimed gives the key back: it was not run.
  KeptAnswer answer;
};
/// An owner of view `view` asks an owner of an earlier view for everything it holds. Whoever gets
/// this grants nothing in older views any more.
struct ClaimTransferRequest {
  std::uint64_t view = 0;
  Incarnation boot = 0;  ///< Of the owner that is asked.
};
struct ClaimTransferReply {
  std::uint64_t view = 0;
  Incarnation boot = 0;           ///< As asked for.
  bool gone = false;              ///< That owner runs no more; this is a later start.
  std::uint64_t served_view = 0;  ///< The newest view whose earlier claims it had all of.
  std::vector<ClaimRecord> records;
  bool complete = false;  ///< The last of the messages that make up the reply.
};

using ClaimMessage =
    std::variant<ClaimRequest, ClaimReply, ClaimUpdate, ClaimTransferRequest, ClaimTransferReply>;

}  // namespace moorfold
