#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "quarantine/fingerprint.h"
#include "quarantine/quarantine_messages.h"
#include "quarantine/recent_successes.h"

namespace moorfold {

/// Detects requests that crash the servers processing them ("queries of death").
///
/// Clients retry such a request through any daemon, each time with a new request ID, so it can
/// crash one server after another. The tracker keeps a case for each request that was running on a
/// server when that server crashed. A case is removed when it expires.
///
/// Evidence. A connection closed by the server does not yet prove a crash, because connections are
/// also cut and reset. The closed connection is held as unconfirmed evidence until the server is
/// shown to have ended: nothing listens at its address any more, or another incarnation of the
/// server does. A response to a request that was sent after the connection closed shows that the
/// server is still running and discards the evidence.
///
/// Decision. Any of the requests running on a crashed server may be the cause. A request is
/// quarantined once `servers` servers have crashed under it. One crash fewer is enough when every
/// other request that shared one of those servers has fewer crashes of its own. Daemons learn of
/// those other requests within `propagation_time`; until then the state is kUndecided. A complete
/// response clears the request for that software version, at once and on all daemons. A request
/// that received a complete response within `recent_success_window` is not suspected at all, so a
/// client that polls with the same request is not blamed for a crash caused by another request on
/// that server.
///
/// Consistency. Updates from other daemons merge with the same result in any order and any number
/// of times: crashes are merged by server, and the newest clearance of each version counts.
///
/// Parts of prompts. Requests that differ may crash servers because of a part that their prompts
/// share. Each part, apart from a request's last, has a case of its own, with the crashes of all
/// requests that have the part. A complete response clears all parts of its request, so parts that
/// sound requests share are cleared again and again, while a part that crashes servers never is. A
/// part is quarantined after three crashes that no quarantined part explains, unless another part
/// on those servers is as likely the cause: it has as many crashes, and its last clearance is no
/// newer. Parts that are equally likely are quarantined after five crashes. Crashes at the same
/// moment count once: they have another cause, such as a rack that lost power.
///
/// Trials. A sound part that no request succeeds with before the fifth crash is quarantined with
/// the guilty one. A request is refused if it has both. If it has one of them only, that part is
/// not proven guilty (kUnproven), and trial requests decide: a complete response clears the part,
/// and two crashes that the other part does not explain prove it guilty.
///
/// Expiry. A case is removed `retention` after its last crash or clearance. Decisions hold for one
/// version of the servers' software; after a quarantine, a single crash on another version
/// quarantines the request for that version too.
///
/// Bounds. At most `max_cases` cases are kept; the oldest cases that are not quarantined are
/// evicted first. Each case keeps a small number of crashes and clearances.
///
/// State changes only through Reduce, which reads no clock and performs no I/O; the actions to take
/// are returned in Effects. Not thread-safe.
namespace quarantine {

struct Settings {
  /// Number of servers that may crash under one request before it is quarantined; 0 disables
  /// quarantine. The platform requires at most three.
  std::uint32_t servers = 3;
  /// How long a request stays quarantined after its last crash.
  Milliseconds retention{600'000};
  /// Time within which crash reports of other daemons normally arrive: reports are sent at once and
  /// a datagram takes milliseconds.
  Milliseconds propagation_time{300};
  /// How long a closed connection is kept while it is unknown whether its server has crashed.
  Milliseconds confirmation_timeout{5'000};
  /// A request that received a complete response within this time is not suspected.
  Milliseconds recent_success_window{10'000};
  /// As above, for a part of prompts: it is shorter, since a part may begin to crash servers at any
  /// moment, and popular parts have successes all the time.
  Milliseconds recent_part_success_window{1'000};
  /// Maximum number of cases. A case and its index entries take about 400 bytes, so 4 MB in total.
  std::size_t max_cases = 10'000;
};

/// State of a request for servers of one software version.
enum class QuarantineState : std::uint8_t {
  kClear,       ///< No evidence against the request.
  kSuspect,     ///< A server crashed while running it; the cause is not proven.
  kUndecided,   ///< Near the threshold; evidence from other daemons may still arrive.
  kUnproven,    ///< A part is quarantined, but a part that the request lacks explains its crashes.
  kQuarantined  ///< Servers crash under it; the request is refused.
};

/// The server closed the connection before the response to a request was complete.
struct ConnectionClosed {
  Fingerprint fingerprint;
  std::string service;
  std::string server_id;
  std::string version;
  std::vector<Fingerprint> parts = {};  ///< Of its prompt, without the last one.
};
/// A server has ended: nothing listens at its address, or another incarnation does.
struct ServerEnded {
  std::string server_id;
};
/// A server has responded to a request that was sent at `sent_at`.
struct ServerResponded {
  std::string server_id;
  Time sent_at{};
};
/// A server of that version has completed a successful response to a request.
struct RequestSucceeded {
  Fingerprint fingerprint;
  std::string version;
  std::vector<Fingerprint> parts = {};  ///< Of its prompt, without the last one.
};
/// Cases received from another daemon or read from the store.
struct CasesReceived {
  std::vector<CaseUpdate> cases;
};
/// The operator has released a request from quarantine.
struct Released {
  Fingerprint fingerprint;
};
/// Periodic event: expires old evidence and cases, and reevaluates the remaining cases.
struct Tick {};
using Event = std::variant<ConnectionClosed, ServerEnded, ServerResponded, RequestSucceeded,
                           CasesReceived, Released, Tick>;

enum class CaseChangeKind : std::uint8_t {
  kSuspected,
  kQuarantined,
  kCleared,
  kReleased,
  kForgotten
};

/// A change of a case that is logged for operators.
struct CaseChange {
  CaseChangeKind kind = CaseChangeKind::kSuspected;
  Fingerprint fingerprint;
  std::string service;
  std::size_t servers = 0;  ///< Servers that crashed while running the request or part.
};

struct Effects {
  /// Cases with new evidence, to be sent to other daemons.
  std::vector<Fingerprint> updated_cases;
  /// Servers that may have crashed and are to be probed.
  std::vector<std::string> servers_to_probe;
  std::vector<CaseChange> changes;
  std::size_t dropped = 0;  ///< Cases that were invalid or for which there was no room.
};

/// One quarantined request or part of prompts in the list shown to the operator.
struct ListedCase {
  Fingerprint fingerprint;
  std::string service;
  std::size_t servers = 0;
  std::vector<std::string> versions;  ///< Versions for which the request is quarantined.
  Milliseconds time_left{0};          ///< Time until the case expires.
};

class CrashTracker {
 public:
  explicit CrashTracker(Settings settings)
      : settings_(settings),
        recent_successes_(settings.recent_success_window),
        recent_part_successes_(settings.recent_part_success_window) {}

  Effects Reduce(const Event& event, Time now);

  /// Costs one hash lookup; nearly all requests have no case.
  bool HasCase(const Fingerprint& fingerprint) const { return cases_.contains(fingerprint); }
  QuarantineState StateFor(const Fingerprint& fingerprint, std::string_view version,
                           Time now) const;
  /// @return the state of a request as far as it follows from the parts of its prompt: kClear,
  /// kUnproven or kQuarantined.
  QuarantineState StateOfParts(const std::vector<Fingerprint>& parts,
                               std::string_view version) const;
  /// @return whether the request or part is quarantined for the version.
  bool IsQuarantined(const Fingerprint& fingerprint, std::string_view version) const;
  /// @return whether the request or part is quarantined for any version.
  bool IsQuarantined(const Fingerprint& fingerprint) const;
  /// @return whether a connection that the server closed is not yet confirmed as a crash.
  bool AwaitsConfirmation(const std::string& server_id) const {
    return unconfirmed_closes_.contains(server_id);
  }
  /// @return the evidence of a case, to be sent to other daemons; without a service if there is no
  /// such case.
  CaseUpdate ExportCase(const Fingerprint& fingerprint, Time now) const;
  /// @return all cases that are quarantined for some version, those that expire last first.
  std::vector<ListedCase> List(Time now) const;
  /// @return a digest over the cases that are quarantined, have crashes on two or more servers, or
  /// hold a clearance. Equal sets of such cases give equal digests; daemons whose digests differ
  /// exchange cases.
  std::uint64_t Digest() const { return digest_; }
  /// @return up to `max_count` cases that count in the digest. Each call continues round-robin from
  /// `cursor`.
  std::vector<Fingerprint> NextCasesToSync(std::size_t max_count, std::size_t& cursor) const;
  std::size_t quarantined() const { return quarantined_; }
  std::size_t size() const { return cases_.size(); }

 private:
  struct Crash {
    std::string server_id;
    std::string version;
    Time at{};
  };
  struct Clearance {
    std::string version;
    Time at{};
  };
  struct Case {
    std::string service;
    std::vector<Crash> crashes;
    std::vector<Clearance> clearances;
    std::vector<std::string> quarantined_versions;
    Time last_crash_learned_at{};  ///< When this daemon learned of the newest crash.
    std::uint64_t digest_part = 0;
  };
  struct UnconfirmedClose {
    ConnectionClosed connection;
    Time at{};
  };
  /// What the other parts on a crashed server say about a part, for one version of the software.
  struct OtherSuspects {
    bool explain_crash = false;    ///< A part is quarantined that is likelier to be the cause.
    bool one_is_likelier = false;  ///< Not quarantined, with as many crashes and an older success.
    bool one_is_as_likely = false;
  };
  using CaseMap = std::unordered_map<Fingerprint, Case, FingerprintHash>;

  void Handle(const ConnectionClosed& event, Time now, Effects& effects);
  void Handle(const ServerEnded& event, Time now, Effects& effects);
  void Handle(const ServerResponded& event, Time now, Effects& effects);
  void Handle(const RequestSucceeded& event, Time now, Effects& effects);
  void Handle(const CasesReceived& event, Time now, Effects& effects);
  void Handle(const Released& event, Time now, Effects& effects);
  void Handle(const Tick& event, Time now, Effects& effects);

  bool SucceededRecently(const Fingerprint& fingerprint, std::string_view version, Time now) const;
  /// Records a crash of a server under a request or part.
  /// @return whether the evidence is new.
  bool RecordCrash(const Fingerprint& fingerprint, const UnconfirmedClose& closed, Time now,
                   Effects& effects);
  /// Records a success of a request or part, and clears it of crashes.
  void RecordSuccess(const Fingerprint& fingerprint, const std::string& version, Time now,
                     Effects& effects);
  /// @return how long after a clearance crashes are covered by it. For a part this is the time
  /// after a success in which it is not suspected, so that all daemons ignore the same crashes.
  Milliseconds SuccessCoverage(const Fingerprint& fingerprint) const;
  /// @return whether the crash is new and no clearance covers it.
  bool AddCrash(const Fingerprint& fingerprint, Case& tracked, Crash crash, Time now);
  /// @return whether the clearance is newer than the one held for its version.
  bool AddClearance(const Fingerprint& fingerprint, Case& tracked, const Clearance& clearance);
  /// Removes the crashes and quarantined versions that a clearance covers.
  /// @return whether there were any.
  bool RemoveClearedEvidence(const Fingerprint& fingerprint, Case& tracked,
                             const Clearance& clearance);
  /// Merges a received case. @return whether anything changed.
  bool MergeUpdate(Case& tracked, const CaseUpdate& update, Time now);
  /// @return whether the sender of an update that changed nothing has missed a clearance. The
  /// digest does not cover parts that are not quarantined.
  static bool IsOutdated(const CaseUpdate& update, const Case& tracked);
  Case* FindOrCreateCase(const Fingerprint& fingerprint, const std::string& service);
  bool EvictOldestCase();
  void EvaluateCase(const Fingerprint& fingerprint, Case& tracked, Time now, Effects& effects);
  /// @return the servers whose crashes a quarantined part explains; none for other cases.
  static std::vector<std::string> ServersExplainedBy(const Fingerprint& fingerprint,
                                                     const Case& tracked);
  /// Evaluates the parts that were running on the servers, after the part that explained their
  /// crashes has been cleared.
  void EvaluatePartsOn(const std::vector<std::string>& server_ids, Time now, Effects& effects);
  void Quarantine(const Fingerprint& fingerprint, Case& tracked, const std::string& version,
                  Effects& effects);
  bool IsGuiltyRequest(const Fingerprint& fingerprint, const Case& tracked,
                       const std::string& version, Time now) const;
  OtherSuspects CompareParts(const Fingerprint& fingerprint, const Case& tracked,
                             const std::string& server_id, std::string_view version) const;
  bool IsGuiltyPart(const Fingerprint& fingerprint, const Case& tracked, const std::string& version,
                    Time now) const;
  bool HasMoreCrashesThanNeighbors(const Fingerprint& fingerprint, const Case& tracked,
                                   const std::string& version) const;
  /// @return whether the crashes of a quarantined part of a request prove it guilty, because parts
  /// that the request lacks do not explain enough of them.
  bool IsProvenGuilty(const Case& part, const std::vector<Fingerprint>& parts_of_request,
                      std::string_view version) const;
  /// @return whether a part that the request lacks is at least as likely as `part` to have crashed
  /// the server.
  bool IsExplainedByOtherPart(const Case& part, const std::string& server_id,
                              const std::vector<Fingerprint>& parts_of_request,
                              std::string_view version) const;
  void RemoveCase(const Fingerprint& fingerprint, Effects& effects);
  void UpdateDigest(const Fingerprint& fingerprint, Case& tracked);
  void RemoveFromServerIndex(const Fingerprint& fingerprint, const std::string& server_id);
  static std::size_t CrashCount(const Case& tracked, std::string_view version);
  static bool IsQuarantined(const Case& tracked, std::string_view version);
  /// Crashes within that time of each other may have one cause.
  static constexpr Milliseconds kSameMoment{200};
  /// @return how many of the times are further than kSameMoment from the one counted before.
  static std::size_t MomentCount(std::vector<Time> times);
  /// @return the number of moments at which servers of the version crashed under a part.
  static std::size_t CrashMoments(const Case& tracked, std::string_view version);
  /// @return when the part was last cleared for the version; Time{} if never.
  static Time LastClearance(const Case& tracked, std::string_view version);
  /// @return whether there is room for one more crash, possibly after removing one that shares its
  /// moment with another.
  bool MakeRoomForCrash(const Fingerprint& fingerprint, Case& tracked, const Crash& added);
  static bool IsValid(const CaseUpdate& update);

  Settings settings_;
  CaseMap cases_;
  /// Keyed by server ID.
  std::unordered_map<std::string, std::vector<UnconfirmedClose>> unconfirmed_closes_;
  std::size_t unconfirmed_close_count_ = 0;
  /// For each crashed server, the cases that were running on it.
  std::unordered_map<std::string, std::vector<Fingerprint>> cases_by_server_;
  RecentSuccesses recent_successes_;
  RecentSuccesses recent_part_successes_;
  std::size_t quarantined_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace quarantine
}  // namespace moorfold
