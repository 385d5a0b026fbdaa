// The gateway's messages to and from other daemons: demand reports, change questions and answers,
// placement notices.

#include <algorithm>

#include "common/boot_clock.h"
#include "gateway/gateway.h"
#include "outlook/outlook_receiver.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Peer addresses in one answer. In a fleet of seven a daemon knows all peers after two answers; in
/// a fleet of 295 it has as many as it keeps within half a minute.
constexpr std::size_t kPeersPerAnswer = 4;
constexpr milliseconds kReportInterval{500};
/// Time after which the server's record shows whether the model was unloaded.
constexpr milliseconds kUnloadSettleTime{5'000};
constexpr milliseconds kMinReportGap{60};
/// Interval at which a relay follower without demand reports to the leader to stay a known member.
constexpr milliseconds kPresenceInterval{3'000};
/// Number of change questions that may await an answer; older ones are abandoned.
constexpr std::size_t kMaxOpenQuestions = 4;

/// @return whether the service has servers of another software version.
bool HasOtherVersion(const ServerDirectory& servers, const std::string& service,
                     const std::string& software_version) {
  const auto& of_service = servers.Of(service);
  return std::any_of(of_service.begin(), of_service.end(), [&](const ServerPtr& server) {
    return server->record().software_version != software_version;
  });
}

}  // namespace

void Gateway::BroadcastToFleet(const FleetMessage& notice) {
  if (!relays_.plan().needed()) {
    channel_.Broadcast(notice);
    return;
  }
  for (const std::string& relay : relays_.plan().AllRelays()) channel_.SendTo(relay, notice);
}

void Gateway::ReceivePlacementNotice(const PlacementNotice& notice, const std::string& from) {
  ApplyPlacementNotice(notice);
  // Relays forward only notices from the leader, which prevents forwarding loops.
  if (relays_.IsRelay() && from == LeaderAddress()) channel_.Broadcast(notice);
}

void Gateway::ReceiveLoadOutlook(const LoadOutlookNotice& notice, const std::string& from) {
  const std::string leader = LeaderAddress();
  const std::vector<std::string> relays =
      relays_.UsesRelays() ? relays_.plan().AllRelays() : std::vector<std::string>();
  if (election_.leading() || !outlook::IsAcceptedSender(from, leader, relays)) {
    LogDroppedDatagram("load outlook from a sender other than the leader", from);
    return;
  }
  ApplyLoadOutlook(notice, from);
  if (relays_.IsRelay() && from == leader) channel_.Broadcast(notice);
}

void Gateway::ApplyLoadOutlook(const LoadOutlookNotice& notice, const std::string& from) {
  if (!settings_.load_outlook) return;
  if (outlook::ApplyNotice(notice, BootClock::now(), view_.expected) > 0)
    RecordUnreadableMessage({from, kMessageFormat, "load outlook with a time out of range"});
  view_.changed.NotifyAll();
}

void Gateway::ApplyPlacementNotice(const PlacementNotice& notice) {
  const ServerPtr server = view_.servers.Find(notice.server_id);
  if (!server || IsLaterIncarnation(server->record().incarnation, notice.incarnation)) return;
  const auto now = BootClock::now();
  if (notice.expected_ms > 0) {
    view_.expected.Note(notice.name, {now, now + milliseconds(notice.expected_ms)});
    return;
  }
  if (notice.held)
    view_.servers.RecordModelHeld(server, notice.name, now);
  else
    server->RecordModelMissing(notice.name, now, kUnloadSettleTime);
  if (notice.held) view_.changed.NotifyAll();
}

std::vector<std::string> Gateway::UnreachableServers() const {
  const auto now = BootClock::now();
  std::vector<std::string> servers;
  // Different servers that fail in a row say something about this daemon, not about them.
  if (contact_.state() != detour::ContactState::kReachable) return servers;
  for (const auto& [id, server] : view_.servers.all())
    if (server->Unreachable(now)) servers.push_back(id);
  return servers;
}

/// Limits the rate of change questions: reports are sent more often while requests wait, questions
/// are not.
bool Gateway::QuestionDue(BootClock::time_point now) {
  if (now - last_question_at_ < kReportInterval - kMinReportGap) return false;
  last_question_at_ = now;
  return true;
}

DemandReport Gateway::MakeEmptyReport() const {
  DemandReport report;
  report.sender = settings_.name;
  report.address = ToString(channel_.endpoint());
  report.uptime_ms =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - started_at_).count();
  report.strength = settings_.cpu_share;
  report.stopping = stopping_;
  report.isolated = contact_.isolated();
  report.quarantine_digest = quarantine_.tracker().Digest();
  report.zone = ZoneIdOf(settings_.zone);
  report.relay_plan = relays_.plan().number;
  return report;
}

RelayService::Ports Gateway::RelayPorts() {
  RelayService::Ports ports;
  ports.send = [this](const std::string& to, const FleetMessage& message) {
    channel_.SendTo(to, message);
  };
  ports.broadcast = [this](const FleetMessage& message) { channel_.Broadcast(message); };
  ports.ask = [this] {
    DemandReport report = MakeEmptyReport();
    AttachChangeQuestion(report);
    return report;
  };
  ports.leads = [this] { return election_.leading(); };
  ports.dropped = [this](const std::string& problem, const std::string& from) {
    LogDroppedDatagram(problem, from);
  };
  return ports;
}

std::string Gateway::LeaderAddress() const {
  std::string leader_from_relay = relays_.UsesRelays() ? relays_.ReportedLeader() : std::string();
  if (!leader_from_relay.empty()) return leader_from_relay;
  return election_.leader() ? election_.leader()->address : std::string();
}

Awaitable<void> Gateway::ReportDemand() {
  while (true) {
    co_await view_.demand_raised.Wait(BootClock::now() + kReportInterval);
    DemandReport report = MakeEmptyReport();
    report.entries = view_.demand.Take();
    report.unreachable = UnreachableServers();
    if (election_.leading())
      controller_.AddReport(report);
    else if (relays_.UsesRelays())
      ReportAsRelayFollower(report);
    else
      ReportToLeader(std::move(report));
    ReportVersionDemand();
    co_await Sleep(kMinReportGap);
  }
}

void Gateway::ReportToLeader(DemandReport report) {
  const std::string leader = LeaderAddress();
  if (leader.empty()) return;
  if (QuestionDue(BootClock::now())) AttachChangeQuestion(report);
  channel_.SendReport(leader, report);
}

void Gateway::AttachChangeQuestion(DemandReport& report) {
  report.question = store_view_.MakeChangeQuestion();
  if (!report.question) return;
  open_question_times_us_.push_back(report.question->asked_at_us);
  if (open_question_times_us_.size() > kMaxOpenQuestions) open_question_times_us_.pop_front();
}

/// From a relay follower the leader needs only its demand and a sign that it is alive.
void Gateway::ReportAsRelayFollower(const DemandReport& report) {
  const auto now = BootClock::now();
  const std::string leader = LeaderAddress();
  const bool has_content =
      !report.entries.empty() || !report.unreachable.empty() || report.stopping;
  if (!leader.empty() && (has_content || now - last_report_at_ >= kPresenceInterval)) {
    last_report_at_ = now;
    channel_.SendReport(leader, report);
  }
  if (QuestionDue(now)) relays_.RequestChanges();
}

void Gateway::ReportVersionDemand() {
  VersionDemand demand{settings_.name, view_.demand.TakeVersionDemand()};
  // The report states all that the leader needs if every server is of that version.
  std::erase_if(demand.entries, [&](const VersionDemandEntry& entry) {
    return !HasOtherVersion(view_.servers, entry.service, entry.software_version);
  });
  if (demand.entries.empty()) return;
  const std::string leader = LeaderAddress();
  if (election_.leading())
    controller_.AddVersionDemand(demand);
  else if (!leader.empty())
    channel_.SendVersionDemand(leader, demand);
}

void Gateway::HandleDemandReport(const DemandReport& report) {
  members_.Note(report, BootClock::now());
  census_.Note(report.address, report.strength, BootClock::now());
  peers_.Note(report.address, BootClock::now());
  if (report.question)
    quarantine_.SendCasesIfDigestDiffers(report.quarantine_digest, report.address);
  relays_.TakeReport(report);
  controller_.AddReport(report);
  if (report.question) AnswerChangeQuestion(report);
}

void Gateway::AnswerChangeQuestion(const DemandReport& report) {
  const ChangeRequest& question = *report.question;
  ChangeAnswer answer;
  if (election_.leading() || relays_.IsRelay()) {
    const std::uint32_t daemons =
        election_.leading() ? FleetSizeFromReports() : relays_.plan().daemons;
    answer = store_view_.MakeChangeAnswer(question, daemons, report.relay_plan.has_value());
    answer.leader = LeaderAddress();
  } else {
    answer.asked_at_us = question.asked_at_us;
    answer.leads = false;
  }
  answer.peers = members_.NextAddresses(kPeersPerAnswer);
  answer.quarantine_digest = quarantine_.tracker().Digest();
  ++metrics_.relay_answers_sent;
  channel_.SendTo(report.address, answer);
}

void Gateway::LogDroppedDatagram(const std::string& problem, const std::string& from) {
  log_.Write(LogRank::kRoutine, EventLine(LogEvent::kDatagramDropped)
                                    .Field(LogField::kProblem, problem)
                                    .Field(LogField::kAddress, from));
}

bool Gateway::MatchesOpenQuestion(const ChangeAnswer& answer) const {
  return std::find(open_question_times_us_.begin(), open_question_times_us_.end(),
                   answer.asked_at_us) != open_question_times_us_.end();
}

void Gateway::HandleChangeAnswer(const ChangeAnswer& answer, const std::string& from) {
  const bool from_leader = LeaderAddress() == from;
  const bool from_expected_sender =
      relays_.UsesRelays() ? relays_.TakeAnswer(answer, from) : from_leader;
  if (!MatchesOpenQuestion(answer) || !from_expected_sender || election_.leading()) {
    LogDroppedDatagram("answer matches no open question, or its sender is not the daemon asked",
                       from);
    return;
  }
  if (answer.leads) {
    if (from_leader) election_.NoteLeaderHeard(answer.daemons);
    fleet_size_ = answer.daemons;
    relays_.HandleFleetSize(answer.daemons);
  }
  for (const std::string& peer : answer.peers) peers_.Note(peer, BootClock::now());
  quarantine_.SendCasesIfDigestDiffers(answer.quarantine_digest, from);
  store_view_.TakeAnswer(answer);
  if (!relays_.UsesRelays()) return;
  if (answer.partial) relays_.RequestChanges();
  relays_.SendDueQuestions();
}

void Gateway::RecordUnreadableMessage(const UndecodableMessage& message) {
  const std::string format = std::to_string(message.format);
  metrics_.messages_unread.Add({{"sender", message.from}, {"format", format}});
  log_.Write(LogRank::kRoutine, EventLine(LogEvent::kDatagramDropped)
                                    .Field(LogField::kProblem, message.problem)
                                    .Field(LogField::kAddress, message.from)
                                    .Field(LogField::kFormat, message.format));
}

}  // namespace moorfold
