#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "common/event_log.h"
#include "http/http_types.h"
#include "quarantine/crash_tracker.h"
#include "quarantine/part_trials.h"

namespace moorfold {

/// Counters of one daemon, exported as metrics.
struct QuarantineCounters {
  /// Servers that ended under requests of this daemon, as far as detected.
  std::uint64_t servers_ended = 0;
  std::uint64_t refused = 0;  ///< Requests that were refused because servers crash under them.
  /// Cases that were invalid or of an unknown service, or for which there was no room.
  std::uint64_t cases_dropped = 0;
  std::int64_t cases = 0;
  std::int64_t quarantined = 0;
};

/// Connects the crash tracker of a daemon (see quarantine::CrashTracker) to the network: probes
/// servers that closed connections, sends new evidence to other daemons, and writes the log.
///
/// Dissemination does not depend on a leader (gossip). Evidence that this daemon observed goes at
/// once to the leader and a few random peers, and is repeated with each periodic tick for a while
/// to make up for lost datagrams and a change of leader. Evidence received from others is forwarded
/// to a few random peers if it was new. Each round doubles the number of daemons that have the
/// evidence, so 295 daemons have it within a few message exchanges of milliseconds each. Daemons
/// that were unreachable compare a digest with the leader twice a second and are sent the cases
/// they lack.
///
/// Not thread-safe.
class QuarantineService {
 public:
  /// Functions through which the service reaches the rest of the daemon.
  struct Ports {
    std::function<void(const std::string& to, const QuarantineNotice& notice)> send;
    /// Sends to all daemons that report to this one; does nothing if this daemon is not the leader.
    std::function<void(const QuarantineNotice& notice)> broadcast;
    /// @return whether this daemon is the leader.
    std::function<bool()> leads;
    /// @return "IP:PORT" of the leader if it is another daemon.
    std::function<std::optional<std::string>()> leader;
    /// @return "IP:PORT" of each other known daemon.
    std::function<std::vector<std::string>()> peers;
    std::function<std::optional<Endpoint>(const std::string& server_id)> server;
    std::function<bool(const std::string& service)> service_exists;
    /// @return whether a refused connection to the server shows that the server has ended, and not
    /// that this daemon is cut off from the servers.
    std::function<bool(const std::string& server_id)> refusal_shows_end;
    /// Called after a change, so that waiting requests can select a server again.
    std::function<void()> changed;
  };

  QuarantineService(boost::asio::io_context& context, quarantine::Settings settings, EventLog& log,
                    QuarantineCounters& counters, Ports ports);

  const quarantine::CrashTracker& tracker() const { return tracker_; }
  quarantine::QuarantineState StateFor(const Fingerprint& fingerprint,
                                       const std::string& version) const {
    return tracker_.StateFor(fingerprint, version, BootClock::now());
  }

  /// Handles an event that this daemon observed.
  void Note(const quarantine::Event& event);
  /// Handles a connection that a server refused.
  /// @return whether this shows that the server has ended.
  bool NoteRefusedConnection(const std::string& server_id);
  /// Handles cases received from another daemon or read from the store.
  void Hear(const QuarantineNotice& notice);
  /// Called before a request whose connection was closed is sent to another server. Returns once it
  /// is known whether the server has ended, or after a short timeout. If the request then has a
  /// case, also waits for evidence from other daemons.
  Awaitable<void> AwaitEvidence(const std::string& server_id, const Fingerprint& fingerprint);

  /// Registers an attempt to send a suspected request to a server, for the lifetime of this object.
  class SuspectAttempt {
   public:
    /// @param trial_parts the quarantined parts of the request's prompt; empty if it is no trial.
    SuspectAttempt(QuarantineService& service, const Fingerprint& fingerprint,
                   std::string server_id, std::vector<Fingerprint> trial_parts);
    ~SuspectAttempt();
    SuspectAttempt(const SuspectAttempt&) = delete;
    SuspectAttempt& operator=(const SuspectAttempt&) = delete;

    /// The server completed the request, or did not run it.
    void RecordNoCrash() { crash_possible_ = false; }

   private:
    QuarantineService& service_;
    Fingerprint fingerprint_;
    std::string server_id_;
    std::vector<Fingerprint> trial_parts_;
    bool crash_possible_ = true;
  };
  /// @param parts the quarantined parts of a request's prompt.
  /// @return whether this daemon may send the request as a trial now. Only the leader sends trials:
  /// their number is limited over all daemons.
  bool MayTry(const std::vector<Fingerprint>& parts) const {
    return ports_.leads() && trials_.MayBegin(parts);
  }
  /// @return whether an attempt of the same request is in flight on a server.
  bool HasAttemptInFlight(const Fingerprint& fingerprint) const {
    return suspect_attempts_.contains(fingerprint);
  }
  /// @return servers on which this daemon has suspected requests in flight.
  std::vector<std::string> ServersWithSuspects() const;

  /// Called twice a second: repeats recent evidence and removes expired cases.
  void Tick();
  /// Sends cases to another daemon if its digest differs from that of this daemon.
  /// @param digest of the other daemon's tracker.
  void SendCasesIfDigestDiffers(std::uint64_t digest, const std::string& address);
  /// @return the quarantined cases, up to the number that one store entry can hold.
  QuarantineNotice QuarantinedCases() const;

 private:
  using Time = BootClock::time_point;

  void Apply(const quarantine::Effects& effects, bool local);
  void Log(const quarantine::CaseChange& change);
  void ScheduleUpdates(const std::vector<Fingerprint>& updated, bool local);
  void SendUpdates();
  void ScheduleEvaluation();
  Awaitable<void> ProbeServer(std::string server_id);
  std::vector<QuarantineNotice> MakeNotices(const std::vector<Fingerprint>& fingerprints) const;
  /// @return the leader and up to `max_peers` other daemons, selected at random on each call.
  std::vector<std::string> PickTargets(std::size_t max_peers);
  void SendTo(const std::vector<std::string>& targets,
              const std::vector<QuarantineNotice>& notices);

  boost::asio::io_context& context_;
  quarantine::CrashTracker tracker_;
  quarantine::Settings settings_;
  EventLog& log_;
  QuarantineCounters& counters_;
  Ports ports_;
  AsyncSignal evidence_changed_;
  std::set<Fingerprint> outgoing_;
  bool outgoing_has_local_ = false;
  BootTimer update_timer_;
  BootTimer evaluation_timer_;
  /// Evidence that this daemon observed, with the time of observation; repeated while it is recent.
  std::map<Fingerprint, Time> recently_observed_;
  std::multimap<Fingerprint, std::string> suspect_attempts_;
  quarantine::PartTrials trials_;
  std::size_t sync_cursor_ = 0;
  std::mt19937 random_{std::random_device{}()};
};

}  // namespace moorfold
