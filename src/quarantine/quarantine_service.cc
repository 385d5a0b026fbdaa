#include "quarantine/quarantine_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "http/upstream_connection.h"

namespace moorfold {

using quarantine::CaseChange;
using quarantine::CaseChangeKind;
using std::chrono::milliseconds;

namespace {

/// Delays before each probe of whether a server still accepts connections. Several probes are
/// needed because a terminating process resets its connections shortly before its port is released.
constexpr std::array kProbeDelays = {milliseconds(0), milliseconds(40), milliseconds(200),
                                     milliseconds(600)};
constexpr milliseconds kProbeTimeout{300};
/// Maximum time that an attempt waits until a crash is confirmed or ruled out; the first probe
/// usually decides it.
constexpr milliseconds kMaxConfirmationWait{150};
/// Time within which evidence of other daemons arrives: it is batched, sent and one message
/// exchange away. Without this wait, two copies of a request on two daemons crashed three servers
/// within 31 ms in a soak test.
constexpr milliseconds kPropagationWait{50};
/// Batches evidence that arises together, such as that of all requests on one crashed server.
constexpr milliseconds kBatchDelay{10};
/// How long observed evidence is repeated: longer than a fleet has no leader after a leader fails.
constexpr milliseconds kRepeatPeriod{10'000};
/// Number of random peers that receive evidence when it is first observed, when it is forwarded,
/// and when it is repeated. With 8 and then 3 each, all of 295 daemons have it after four
/// exchanges, apart from a few percent; repeats and the leader reach those.
constexpr std::size_t kInitialFanOut = 8;
constexpr std::size_t kForwardFanOut = 3;
constexpr std::size_t kRepeatFanOut = 2;
/// A datagram carries 8 kB and a case takes 150 to 400 bytes.
constexpr std::size_t kMaxCasesPerNotice = 16;
constexpr std::size_t kMaxNoticesPerExchange = 2;
/// Cases in the store entry: about 100 kB, well below the maximum size of a value.
constexpr std::size_t kMaxStoredCases = 512;

const char* Name(CaseChangeKind kind) {
  switch (kind) {
    case CaseChangeKind::kSuspected:
      return "suspected";
    case CaseChangeKind::kQuarantined:
      return "quarantined";
    case CaseChangeKind::kCleared:
      return "cleared";
    case CaseChangeKind::kReleased:
      return "released";
    case CaseChangeKind::kForgotten:
      return "forgotten";
  }
  return "unknown";
}

}  // namespace

QuarantineService::QuarantineService(boost::asio::io_context& context,
                                     quarantine::Settings settings, EventLog& log,
                                     QuarantineCounters& counters, Ports ports)
    : context_(context),
      tracker_(settings),
      settings_(settings),
      log_(log),
      counters_(counters),
      ports_(std::move(ports)),
      evidence_changed_(context.get_executor()),
      update_timer_(context),
      evaluation_timer_(context) {}

void QuarantineService::Note(const quarantine::Event& event) {
  Apply(tracker_.Reduce(event, BootClock::now()), true);
  evidence_changed_.NotifyAll();
}

bool QuarantineService::NoteRefusedConnection(const std::string& server_id) {
  if (!ports_.refusal_shows_end(server_id)) return false;
  Note(quarantine::ServerEnded{server_id});
  return true;
}

void QuarantineService::Hear(const QuarantineNotice& notice) {
  quarantine::CasesReceived received;
  for (const CaseUpdate& update : notice.cases) {
    if (ports_.service_exists(update.service))
      received.cases.push_back(update);
    else
      ++counters_.cases_dropped;
  }
  Apply(tracker_.Reduce(received, BootClock::now()), false);
}

void QuarantineService::Apply(const quarantine::Effects& effects, bool local) {
  counters_.cases_dropped += effects.dropped;
  counters_.cases = static_cast<std::int64_t>(tracker_.size());
  counters_.quarantined = static_cast<std::int64_t>(tracker_.quarantined());
  for (const CaseChange& change : effects.changes) Log(change);
  for (const std::string& server_id : effects.servers_to_probe)
    boost::asio::co_spawn(context_, ProbeServer(server_id), boost::asio::detached);
  if (effects.updated_cases.empty()) return;
  ScheduleUpdates(effects.updated_cases, local);
  ScheduleEvaluation();
  ports_.changed();
}

void QuarantineService::Log(const CaseChange& change) {
  const bool routine =
      change.kind == CaseChangeKind::kSuspected || change.kind == CaseChangeKind::kCleared;
  log_.Write(
      routine ? LogRank::kDecision : LogRank::kFailure,
      EventLine(LogEvent::kQuarantine)
          .Field(LogField::kState, Name(change.kind))
          .Field(LogField::kKind, IsPartFingerprint(change.fingerprint) ? "prompt_part" : "request")
          .Field(LogField::kFingerprint, ToString(change.fingerprint))
          .Field(LogField::kService, change.service)
          .Field(LogField::kServers, change.servers));
}

/// Undecided cases can be decided once evidence of other daemons has had time to arrive.
void QuarantineService::ScheduleEvaluation() {
  evaluation_timer_.expires_after(settings_.propagation_time);
  evaluation_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Apply(tracker_.Reduce(quarantine::Tick{}, BootClock::now()), true);
  });
}

void QuarantineService::ScheduleUpdates(const std::vector<Fingerprint>& updated, bool local) {
  const bool scheduled = !outgoing_.empty();
  outgoing_.insert(updated.begin(), updated.end());
  outgoing_has_local_ = outgoing_has_local_ || local;
  if (local)
    for (const Fingerprint& fingerprint : updated)
      recently_observed_[fingerprint] = BootClock::now();
  if (scheduled) return;
  update_timer_.expires_after(kBatchDelay);
  update_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) SendUpdates();
  });
}

void QuarantineService::SendUpdates() {
  const std::vector<Fingerprint> updated(outgoing_.begin(), outgoing_.end());
  outgoing_.clear();
  const std::vector<QuarantineNotice> notices = MakeNotices(updated);
  for (const QuarantineNotice& notice : notices) ports_.broadcast(notice);
  SendTo(PickTargets(std::exchange(outgoing_has_local_, false) ? kInitialFanOut : kForwardFanOut),
         notices);
}

std::vector<QuarantineNotice> QuarantineService::MakeNotices(
    const std::vector<Fingerprint>& fingerprints) const {
  std::vector<QuarantineNotice> notices;
  const auto now = BootClock::now();
  for (const Fingerprint& fingerprint : fingerprints) {
    if (!tracker_.HasCase(fingerprint)) continue;
    if (notices.empty() || notices.back().cases.size() >= kMaxCasesPerNotice)
      notices.emplace_back();
    notices.back().cases.push_back(tracker_.ExportCase(fingerprint, now));
  }
  return notices;
}

std::vector<std::string> QuarantineService::PickTargets(std::size_t max_peers) {
  std::vector<std::string> targets;
  const std::vector<std::string> peers = ports_.peers();
  std::sample(peers.begin(), peers.end(), std::back_inserter(targets), max_peers, random_);
  const std::optional<std::string> leader = ports_.leader();
  if (leader && std::find(targets.begin(), targets.end(), *leader) == targets.end())
    targets.push_back(*leader);
  return targets;
}

void QuarantineService::SendTo(const std::vector<std::string>& targets,
                               const std::vector<QuarantineNotice>& notices) {
  for (const std::string& target : targets)
    for (const QuarantineNotice& notice : notices) ports_.send(target, notice);
}

void QuarantineService::Tick() {
  const auto now = BootClock::now();
  Apply(tracker_.Reduce(quarantine::Tick{}, now), true);
  trials_.Prune([this](const Fingerprint& part) { return tracker_.IsQuarantined(part); });
  std::erase_if(recently_observed_,
                [&](const auto& observation) { return now - observation.second > kRepeatPeriod; });
  if (recently_observed_.empty()) return;
  std::vector<Fingerprint> repeated;
  for (const auto& [fingerprint, at] : recently_observed_) {
    if (repeated.size() >= kMaxCasesPerNotice * kMaxNoticesPerExchange) break;
    repeated.push_back(fingerprint);
  }
  SendTo(PickTargets(kRepeatFanOut), MakeNotices(repeated));
}

void QuarantineService::SendCasesIfDigestDiffers(std::uint64_t digest, const std::string& address) {
  if (digest == tracker_.Digest()) return;
  SendTo({address}, MakeNotices(tracker_.NextCasesToSync(
                        kMaxCasesPerNotice * kMaxNoticesPerExchange, sync_cursor_)));
}

QuarantineNotice QuarantineService::QuarantinedCases() const {
  QuarantineNotice record;
  const auto now = BootClock::now();
  for (const quarantine::ListedCase& listed : tracker_.List(now)) {
    if (record.cases.size() >= kMaxStoredCases) break;
    record.cases.push_back(tracker_.ExportCase(listed.fingerprint, now));
  }
  return record;
}

Awaitable<void> QuarantineService::ProbeServer(std::string server_id) {
  for (const milliseconds pause : kProbeDelays) {
    co_await Sleep(pause);
    if (!tracker_.AwaitsConfirmation(server_id)) co_return;
    const std::optional<Endpoint> endpoint = ports_.server(server_id);
    if (!endpoint) co_return;
    UpstreamConnection connection(context_, *endpoint);
    try {
      co_await connection.Connect(BootClock::now() + kProbeTimeout);
    } catch (const HttpError& error) {
      if (!error.peer_ended() || !NoteRefusedConnection(server_id)) continue;
      ++counters_.servers_ended;
      co_return;
    }
  }
}

Awaitable<void> QuarantineService::AwaitEvidence(const std::string& server_id,
                                                 const Fingerprint& fingerprint) {
  const auto deadline = BootClock::now() + kMaxConfirmationWait;
  while (tracker_.AwaitsConfirmation(server_id) && BootClock::now() < deadline)
    co_await evidence_changed_.Wait(deadline);
  if (tracker_.HasCase(fingerprint)) co_await Sleep(kPropagationWait);
}

QuarantineService::SuspectAttempt::SuspectAttempt(QuarantineService& service,
                                                  const Fingerprint& fingerprint,
                                                  std::string server_id,
                                                  std::vector<Fingerprint> trial_parts)
    : service_(service),
      fingerprint_(fingerprint),
      server_id_(std::move(server_id)),
      trial_parts_(std::move(trial_parts)) {
  service_.suspect_attempts_.emplace(fingerprint_, server_id_);
  service_.trials_.Begin(trial_parts_);
}

QuarantineService::SuspectAttempt::~SuspectAttempt() {
  const auto [first, last] = service_.suspect_attempts_.equal_range(fingerprint_);
  const auto entry =
      std::find_if(first, last, [&](const auto& attempt) { return attempt.second == server_id_; });
  if (entry != last) service_.suspect_attempts_.erase(entry);
  service_.trials_.End(trial_parts_, crash_possible_);
  service_.ports_.changed();
}

std::vector<std::string> QuarantineService::ServersWithSuspects() const {
  std::vector<std::string> servers;
  for (const auto& [fingerprint, server_id] : suspect_attempts_) servers.push_back(server_id);
  return servers;
}

}  // namespace moorfold
