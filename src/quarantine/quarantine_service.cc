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

/// Pauses before each look whether a server still takes connections: a process that ends resets
/// its connections a moment before its port is free.
constexpr std::array kLooks = {milliseconds(0), milliseconds(40), milliseconds(200),
                               milliseconds(600)};
constexpr milliseconds kLookTime{300};
/// What a try waits for a sign of its server's end: most come with the first look.
constexpr milliseconds kLongestSign{150};
/// News of other daemons arrive by then: they are collected, sent, and one exchange away. Without
/// it, two copies at two daemons ended three servers within 31 ms (soak).
constexpr milliseconds kNewsTime{50};
/// News of one moment, as of all requests that were on one server, go together.
constexpr milliseconds kCollect{10};
/// Longer than a fleet is without a leader after a leader's end.
constexpr milliseconds kYoung{10'000};
/// Daemons that hear of what this one saw, and of what it heard. With 8 and then 3 each, all of 295
/// hear in four exchanges but for a few in a hundred, whom the repeats and the leader reach.
constexpr std::size_t kFirstPeers = 8;
constexpr std::size_t kNextPeers = 3;
constexpr std::size_t kRepeatPeers = 2;
/// A datagram carries 8 kB; a case takes 150 to 400 bytes.
constexpr std::size_t kCasesOfNotice = 16;
constexpr std::size_t kNoticesOfExchange = 2;
/// Of the store's entry, well below what a value may hold: 100 kB or so.
constexpr std::size_t kMostRecorded = 512;

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
                                     QuarantineCounters& figures, Ports ports)
    : context_(context),
      book_(settings),
      settings_(settings),
      log_(log),
      figures_(figures),
      ports_(std::move(ports)),
      signs_(context.get_executor()),
      spread_timer_(context),
      judge_timer_(context) {}

void QuarantineService::Note(const quarantine::Event& event) {
  Apply(book_.Reduce(event, BootClock::now()), true);
  signs_.NotifyAll();
}

void QuarantineService::Hear(const QuarantineNotice& notice) {
  quarantine::CasesReceived heard;
  for (const CaseUpdate& news : notice.cases) {
    if (ports_.service_exists(news.service))
      heard.cases.push_back(news);
    else
      ++figures_.cases_dropped;
  }
  Apply(book_.Reduce(heard, BootClock::now()), false);
}

void QuarantineService::Apply(const quarantine::Effects& effects, bool own) {
  figures_.cases_dropped += effects.dropped;
  figures_.cases = static_cast<std::int64_t>(book_.size());
  figures_.quarantined = static_cast<std::int64_t>(book_.quarantined());
  for (const CaseChange& ruling : effects.changes) Log(ruling);
  for (const std::string& server_id : effects.servers_to_probe)
    boost::asio::co_spawn(context_, LookAt(server_id), boost::asio::detached);
  if (effects.news.empty()) return;
  SpreadSoon(effects.news, own);
  JudgeSoon();
  ports_.changed();
}

void QuarantineService::Log(const CaseChange& ruling) {
  const bool routine =
      ruling.kind == CaseChangeKind::kSuspected || ruling.kind == CaseChangeKind::kCleared;
  log_.Write(routine ? LogRank::kDecision : LogRank::kFailure,
             EventLine(LogEvent::kQuarantine)
                 .Field(LogField::kState, Name(ruling.kind))
                 .Field(LogField::kFingerprint, ToString(ruling.fingerprint))
                 .Field(LogField::kService, ruling.service)
                 .Field(LogField::kServers, ruling.servers));
}

/// Verdicts on what is undecided fall due once others could be heard.
void QuarantineService::JudgeSoon() {
  judge_timer_.expires_after(settings_.propagation_time);
  judge_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Apply(book_.Reduce(quarantine::Tick{}, BootClock::now()), true);
  });
}

void QuarantineService::SpreadSoon(const std::vector<Fingerprint>& news, bool own) {
  const bool waits = !outgoing_.empty();
  outgoing_.insert(news.begin(), news.end());
  outgoing_own_ = outgoing_own_ || own;
  if (own)
    for (const Fingerprint& fingerprint : news) young_[fingerprint] = BootClock::now();
  if (waits) return;
  spread_timer_.expires_after(kCollect);
  spread_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Spread();
  });
}

void QuarantineService::Spread() {
  const std::vector<Fingerprint> news(outgoing_.begin(), outgoing_.end());
  outgoing_.clear();
  const std::vector<QuarantineNotice> notices = Pack(news);
  for (const QuarantineNotice& notice : notices) ports_.broadcast(notice);
  SendTo(Targets(std::exchange(outgoing_own_, false) ? kFirstPeers : kNextPeers), notices);
}

std::vector<QuarantineNotice> QuarantineService::Pack(
    const std::vector<Fingerprint>& fingerprints) const {
  std::vector<QuarantineNotice> notices;
  const auto now = BootClock::now();
  for (const Fingerprint& fingerprint : fingerprints) {
    if (!book_.HasCase(fingerprint)) continue;
    if (notices.empty() || notices.back().cases.size() >= kCasesOfNotice) notices.emplace_back();
    notices.back().cases.push_back(book_.ExportCase(fingerprint, now));
  }
  return notices;
}

std::vector<std::string> QuarantineService::Targets(std::size_t most) {
  std::vector<std::string> targets;
  const std::vector<std::string> peers = ports_.peers();
  std::sample(peers.begin(), peers.end(), std::back_inserter(targets), most, random_);
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
  Apply(book_.Reduce(quarantine::Tick{}, now), true);
  std::erase_if(young_, [&](const auto& each) { return now - each.second > kYoung; });
  if (young_.empty()) return;
  std::vector<Fingerprint> repeated;
  for (const auto& [fingerprint, at] : young_) {
    if (repeated.size() >= kCasesOfNotice * kNoticesOfExchange) break;
    repeated.push_back(fingerprint);
  }
  SendTo(Targets(kRepeatPeers), Pack(repeated));
}

void QuarantineService::SendCasesIfDigestDiffers(std::uint64_t digest, const std::string& address) {
  if (digest == book_.Digest()) return;
  SendTo({address}, Pack(book_.NextCasesToSync(kCasesOfNotice * kNoticesOfExchange, cursor_)));
}

QuarantineNotice QuarantineService::QuarantinedCases() const {
  QuarantineNotice record;
  const auto now = BootClock::now();
  for (const quarantine::ListedCase& listed : book_.List(now)) {
    if (record.cases.size() >= kMostRecorded) break;
    record.cases.push_back(book_.ExportCase(listed.fingerprint, now));
  }
  return record;
}

Awaitable<void> QuarantineService::LookAt(std::string server_id) {
  for (const milliseconds pause : kLooks) {
    co_await Sleep(pause);
    if (!book_.AwaitsConfirmation(server_id)) co_return;
    const std::optional<Endpoint> endpoint = ports_.server(server_id);
    if (!endpoint) co_return;
    UpstreamConnection connection(context_, *endpoint);
    try {
      co_await connection.Connect(BootClock::now() + kLookTime);
    } catch (const HttpError& error) {
      if (!error.peer_ended()) continue;
      ++figures_.servers_ended;
      Note(quarantine::ServerEnded{server_id});
      co_return;
    }
  }
}

Awaitable<void> QuarantineService::AwaitEvidence(const std::string& server_id,
                                                 const Fingerprint& fingerprint) {
  const auto until = BootClock::now() + kLongestSign;
  while (book_.AwaitsConfirmation(server_id) && BootClock::now() < until)
    co_await signs_.Wait(until);
  if (book_.HasCase(fingerprint)) co_await Sleep(kNewsTime);
}

QuarantineService::SuspectAttempt::SuspectAttempt(QuarantineService& service,
                                                  const Fingerprint& fingerprint,
                                                  std::string server_id)
    : service_(service), fingerprint_(fingerprint), server_id_(std::move(server_id)) {
  service_.trials_.emplace(fingerprint_, server_id_);
}

QuarantineService::SuspectAttempt::~SuspectAttempt() {
  const auto [first, last] = service_.trials_.equal_range(fingerprint_);
  const auto own =
      std::find_if(first, last, [&](const auto& trial) { return trial.second == server_id_; });
  if (own != last) service_.trials_.erase(own);
  service_.ports_.changed();
}

std::vector<std::string> QuarantineService::ServersWithSuspects() const {
  std::vector<std::string> servers;
  for (const auto& [fingerprint, server_id] : trials_) servers.push_back(server_id);
  return servers;
}

}  // namespace moorfold
