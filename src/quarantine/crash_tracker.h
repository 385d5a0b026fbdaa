#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "common/boot_clock.h"
#include "quarantine/fingerprint.h"
#include "quarantine/quarantine_messages.h"

namespace moorfold {

/// Decides which requests servers end under (the field's name: query of death).
///
/// Such a request comes again at any daemon, under another id each time, and takes one server after
/// the other. The book holds a case for each request that was running on a server when that server
/// ended, until its innocence is shown or the case is old.
///
/// Evidence. A link that the server's side ended is not yet a crash: links are cut and reset too.
/// It waits until the server is shown to have ended (nobody listens at its address any more, or
/// another incarnation does); an answer to a request that was sent later shows that it has not.
///
/// Verdict. All requests on a server that ended look alike; one of them is the cause. A case is
/// quarantined once `servers` servers have ended under it. One less is enough when every other
/// request that shared one of those servers has fewer on its account; daemons hear of those within
/// `settle`, and until then the case is undecided. A whole answer of a server clears the request
/// for that version of the software, at once and everywhere; a request that was answered a moment
/// before is not suspected at all. So a caller who asks the same thing over and over is not blamed
/// for its neighbours.
///
/// Agreement. What daemons tell each other of a case is merged in any order and any number of times
/// with the same result: crashes are joined by server, the newest clearance of a version counts.
///
/// End. A case is forgotten `life` after its last crash. Verdicts hold for one version of the
/// servers' software; on the next version a single crash is enough.
///
/// Bounds. `max_cases` in all, the oldest harmless ones go first; a few crashes and clearances a
/// case. State changes by Reduce alone, which asks no clock and sends nothing: what is to be done
/// is in its effects. One thread.
namespace quarantine {

using Time = BootClock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Settings {
  /// Servers that may end under one request; 0: nothing is ever quarantined. The platform bounds it
  /// by three.
  std::uint32_t servers = 3;
  /// How long a request stays out after the last server that ended under it.
  Milliseconds retention{600'000};
  /// Within that time what others saw of the same crash is known here, in ordinary times: reports
  /// are sent at once, and a datagram takes milliseconds.
  Milliseconds propagation_time{300};
  /// An ended link waits so long for a sign of its server's end.
  Milliseconds confirmation_timeout{5'000};
  /// A request that was answered whole so lately is not suspected.
  Milliseconds recent_success_window{10'000};
  /// The longest that a case and what hangs on it take: about 400 bytes, so 4 MB at most.
  std::size_t max_cases = 10'000;
};

/// How a request stands with servers of one version.
enum class QuarantineState : std::uint8_t {
  kClear,       ///< Nothing is known against it.
  kSuspect,     ///< A server ended under it; so did others beside it.
  kUndecided,   ///< More evidence may be on its way.
  kQuarantined  ///< Servers end under it: it is not to be sent.
};

/// A link of a request was ended by the server's side, before the answer was whole.
struct LinkEnded {
  Fingerprint fingerprint;
  std::string service;
  std::string server_id;
  std::string version;
};
/// A server has ended: nobody listens at its address, or another incarnation does.
struct ServerEnded {
  std::string server_id;
};
/// A server has answered a request that was sent at that time.
struct ServerAnswered {
  std::string server_id;
  Time sent_at{};
};
/// A server of that version has answered a request whole.
struct Served {
  Fingerprint fingerprint;
  std::string version;
};
/// Another daemon, or the store, tells of cases.
struct CasesReceived {
  std::vector<CaseUpdate> cases;
};
/// The operator lets a request run again.
struct Released {
  Fingerprint fingerprint;
};
/// Time has passed.
struct Tick {};
using Event =
    std::variant<LinkEnded, ServerEnded, ServerAnswered, Served, CasesReceived, Released, Tick>;

enum class CaseChangeKind : std::uint8_t {
  kSuspected,
  kQuarantined,
  kCleared,
  kReleased,
  kForgotten
};

/// A change that operators may want to read of.
struct CaseChange {
  CaseChangeKind kind = CaseChangeKind::kSuspected;
  Fingerprint fingerprint;
  std::string service;
  std::size_t servers = 0;  ///< That ended under it.
};

struct Effects {
  /// Cases of which this daemon has learnt something: others should hear of them.
  std::vector<Fingerprint> news;
  std::vector<std::string>
      servers_to_probe;  ///< Servers of which it should be seen whether they live.
  std::vector<CaseChange> changes;
  std::size_t dropped = 0;  ///< Cases heard that cannot be, or for which there is no room.
};

/// One row of the operator's list.
struct ListedCase {
  Fingerprint fingerprint;
  std::string service;
  std::size_t servers = 0;
  std::vector<std::string> versions;  ///< For which it is quarantined.
  Milliseconds left{0};               ///< Until it is forgotten.
};

class CrashTracker {
 public:
  explicit CrashTracker(Settings settings) : settings_(settings) {}

  Effects Reduce(const Event& event, Time now);

  /// Nearly all requests: nothing but one look-up.
  bool HasCase(const Fingerprint& fingerprint) const { return cases_.contains(fingerprint); }
  QuarantineState StateFor(const Fingerprint& fingerprint, std::string_view version,
                           Time now) const;
  /// @return whether an ended link to the server still waits for a sign.
  bool AwaitsConfirmation(const std::string& server_id) const {
    return ended_links_.contains(server_id);
  }
  /// @return what is known of a case, to be told to others.
  CaseUpdate ExportCase(const Fingerprint& fingerprint, Time now) const;
  /// @return all cases that are quarantined for some version, the newest crash first.
  std::vector<ListedCase> List(Time now) const;
  /// @return equal numbers for equal sets of what is quarantined, suspected by two or more servers,
  /// or cleared since: daemons whose numbers differ tell each other.
  std::uint64_t Digest() const { return digest_; }
  /// @return up to `most` cases that count in the digest, going round with each call from `cursor`.
  std::vector<Fingerprint> NextCasesToSync(std::size_t most, std::size_t& cursor) const;
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
    Time heard_at{};  ///< Of the newest crash, here.
    std::uint64_t digest_part = 0;
  };
  struct EndedLink {
    LinkEnded link;
    Time at{};
  };
  using CaseMap = std::unordered_map<Fingerprint, Case, FingerprintHash>;

  void Take(const LinkEnded& event, Time now, Effects& effects);
  void Take(const ServerEnded& event, Time now, Effects& effects);
  void Take(const ServerAnswered& event, Time now, Effects& effects);
  void Take(const Served& event, Time now, Effects& effects);
  void Take(const CasesReceived& event, Time now, Effects& effects);
  void Take(const Released& event, Time now, Effects& effects);
  void Take(const Tick& event, Time now, Effects& effects);

  /// @return whether the crash was not known and counts.
  bool AddCrash(const Fingerprint& fingerprint, Case& found, Crash crash, Time now);
  /// @return whether the clearance is newer than what was known.
  bool AddClearance(const Fingerprint& fingerprint, Case& found, const Clearance& clearance);
  /// Drops the crashes and verdicts that a clearance covers.
  void DropCleared(const Fingerprint& fingerprint, Case& found, const Clearance& clearance);
  /// Merges what was heard. @return whether anything was new.
  bool Merge(Case& found, const CaseUpdate& news, Time now);
  Case* FindOrMake(const Fingerprint& fingerprint, const std::string& service);
  bool MakeRoom();
  void Judge(const Fingerprint& fingerprint, Case& found, Time now, Effects& effects);
  void Quarantine(const Fingerprint& fingerprint, Case& found, const std::string& version,
                  Effects& effects);
  bool AloneAtTop(const Fingerprint& fingerprint, const Case& found,
                  const std::string& version) const;
  void Forget(const Fingerprint& fingerprint, Effects& effects);
  void UpdateDigest(const Fingerprint& fingerprint, Case& found);
  void RemoveFromServer(const Fingerprint& fingerprint, const std::string& server_id);
  bool ServedLately(const Fingerprint& fingerprint, Time now) const;
  void RememberServed(const Fingerprint& fingerprint, Time now);
  static std::size_t CrashesOf(const Case& found, std::string_view version);
  static bool Plausible(const CaseUpdate& news);

  Settings settings_;
  CaseMap cases_;
  std::unordered_map<std::string, std::vector<EndedLink>> ended_links_;  ///< By server.
  std::size_t ended_link_count_ = 0;
  /// Who was on each server that ended, among the cases.
  std::unordered_map<std::string, std::vector<Fingerprint>> by_server_;
  std::unordered_map<Fingerprint, Time, FingerprintHash> served_;
  std::deque<Fingerprint> served_order_;
  std::size_t quarantined_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace quarantine
}  // namespace moorfold
