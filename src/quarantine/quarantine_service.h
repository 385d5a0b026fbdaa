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

namespace moorfold {

/// Counts of one daemon, for its figures.
struct QuarantineCounters {
  std::uint64_t servers_ended = 0;  ///< Under requests of this daemon, as far as shown.
  std::uint64_t refused = 0;        ///< Requests that were not sent since servers end under them.
  std::uint64_t cases_dropped = 0;  ///< Heard and not believed, or without room.
  std::int64_t cases = 0;
  std::int64_t quarantined = 0;
};

/// Keeps a daemon's case book (see quarantine::CrashTracker) in touch with its surroundings: looks
/// whether servers live whose links have ended, tells other daemons what is new, writes the log.
///
/// Spreading does without a leader: what this daemon saw goes at once to the leader and to some
/// other daemons, and again with each report for a while, so that lost datagrams and a change of
/// leader are made up for; what it heard anew it passes on to a few. Each doubles the number that
/// know, so 295 daemons know within some exchanges of milliseconds. Daemons that were out of reach
/// compare a digest with the leader twice a second and are told what they lack.
///
/// One thread.
class QuarantineService {
 public:
  /// How it reaches what is around it.
  struct Ports {
    std::function<void(const std::string& to, const QuarantineNotice& notice)> send;
    /// To all daemons that reported; does nothing where this daemon does not lead.
    std::function<void(const QuarantineNotice& notice)> broadcast;
    /// "IP:PORT" of the leader, if it is another daemon.
    std::function<std::optional<std::string>()> leader;
    /// "IP:PORT" of other daemons, as far as known.
    std::function<std::vector<std::string>()> peers;
    std::function<std::optional<Endpoint>(const std::string& server_id)> server;
    std::function<bool(const std::string& service)> service_exists;
    /// Requests that wait may look again.
    std::function<void()> changed;
  };

  QuarantineService(boost::asio::io_context& context, quarantine::Settings settings, EventLog& log,
                    QuarantineCounters& figures, Ports ports);

  const quarantine::CrashTracker& tracker() const { return book_; }
  quarantine::QuarantineState StateFor(const Fingerprint& fingerprint,
                                       const std::string& version) const {
    return book_.StateFor(fingerprint, version, BootClock::now());
  }

  /// Takes in what has happened here.
  void Note(const quarantine::Event& event);
  /// Takes in what another daemon, or the store, tells.
  void Hear(const QuarantineNotice& notice);
  /// Before a request whose link was ended is sent to another server: returns once it is known
  /// whether the server has ended, or cannot be told soon; a suspect waits also for what other
  /// daemons say of it.
  Awaitable<void> AwaitEvidence(const std::string& server_id, const Fingerprint& fingerprint);

  /// Of a try of a suspected request, while it is at a server.
  class SuspectAttempt {
   public:
    SuspectAttempt(QuarantineService& service, const Fingerprint& fingerprint,
                   std::string server_id);
    ~SuspectAttempt();
    SuspectAttempt(const SuspectAttempt&) = delete;
    SuspectAttempt& operator=(const SuspectAttempt&) = delete;

   private:
    QuarantineService& service_;
    Fingerprint fingerprint_;
    std::string server_id_;
  };
  /// @return whether a try of the same request is at a server now.
  bool HasAttemptInFlight(const Fingerprint& fingerprint) const {
    return trials_.contains(fingerprint);
  }
  /// @return servers that have a suspected request of this daemon now.
  std::vector<std::string> ServersWithSuspects() const;

  /// Twice a second: repeats what is young, forgets what is old.
  void Tick();
  /// @param digest of another daemon's book: it is told what it may lack.
  void SendCasesIfDigestDiffers(std::uint64_t digest, const std::string& address);
  /// @return all that is quarantined, as far as one entry of the store should carry.
  QuarantineNotice QuarantinedCases() const;

 private:
  using Time = BootClock::time_point;

  void Apply(const quarantine::Effects& effects, bool own);
  void Log(const quarantine::CaseChange& ruling);
  void SpreadSoon(const std::vector<Fingerprint>& news, bool own);
  void Spread();
  void JudgeSoon();
  Awaitable<void> LookAt(std::string server_id);
  std::vector<QuarantineNotice> Pack(const std::vector<Fingerprint>& fingerprints) const;
  /// @return the leader and up to `most` other daemons, drawn anew each time.
  std::vector<std::string> Targets(std::size_t most);
  void SendTo(const std::vector<std::string>& targets,
              const std::vector<QuarantineNotice>& notices);

  boost::asio::io_context& context_;
  quarantine::CrashTracker book_;
  quarantine::Settings settings_;
  EventLog& log_;
  QuarantineCounters& figures_;
  Ports ports_;
  AsyncSignal signs_;
  std::set<Fingerprint> outgoing_;
  bool outgoing_own_ = false;
  BootTimer spread_timer_;
  BootTimer judge_timer_;
  /// What this daemon learnt itself, by when: repeated while it is young.
  std::map<Fingerprint, Time> young_;
  std::multimap<Fingerprint, std::string> trials_;
  std::size_t cursor_ = 0;
  std::mt19937 random_{std::random_device{}()};
};

}  // namespace moorfold
