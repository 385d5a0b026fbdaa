#include "gateway/relay_service.h"

#include <algorithm>
#include <stdexcept>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr const char* kPlanKey = "moorfold/relays";
/// How long a relay's report of the leader is valid: several intervals between questions.
constexpr milliseconds kReportedLeaderLifetime{3'000};
/// A leader publishes a plan within a few seconds of its election, if its build supports relays.
constexpr milliseconds kPlanTimeout{6'000};
/// Interval between checks for lost messages: not shorter than the time after which a question is
/// sent again.
constexpr milliseconds kRetryInterval{160};
/// More plans than a fleet ever makes; later leaders can still count on from here.
constexpr std::int64_t kMaxPlanNumber = std::int64_t{1} << 53;

bool IsValidPlanNumber(std::int64_t number) { return number >= 0 && number <= kMaxPlanNumber; }

}  // namespace

RelayService::RelayService(boost::asio::io_context& context, KeyValueStore& store, StoreView& view,
                           GatewayMetrics& metrics, EventLog& log, RelaySettings settings,
                           Ports ports)
    : view_(view),
      metrics_(metrics),
      log_(log),
      settings_(std::move(settings)),
      ports_(std::move(ports)),
      record_(store, log, kPlanKey, LogEvent::kRelayPlanNotStored),
      planner_(settings_.from_daemons),
      sources_(settings_.address, ZoneIdOf(settings_.zone)),
      retry_timer_(context) {}

void RelayService::ApplyRecord(const std::optional<KeyValue>& entry, StoreRevision revision) {
  record_.Seen(entry, revision);
  if (entry) ApplyPlan(DecodeMessage<RelayPlan>(entry->value));
}

void RelayService::ApplyPlan(const RelayPlan& plan) {
  if (!IsValidPlanNumber(plan.number))
    throw std::runtime_error("the number of the relay plan is out of range");
  newest_plan_number_ = std::max(newest_plan_number_, plan.number);
  if (plan.number <= plan_.number) return;
  plan_ = plan;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kRelayPlan)
                                     .Field(LogField::kVersion, plan_.number)
                                     .Field(LogField::kDaemons, plan_.daemons)
                                     .Field(LogField::kRelays, plan_.AllRelays().size()));
  sources_.SetPlan(plan_, BootClock::now());
  UpdateRole();
}

void RelayService::UpdateRole() {
  if (!plan_.needed()) {
    watches_ = false;
    view_.SetServing(false);
    if (plan_.number > 0) view_.SetRelays(false);
    return;
  }
  sources_.SetLearning(view_.AwaitsServers());
  const Time now = BootClock::now();
  sources_.RecordOwnReads(!view_.StoreReachable(), now);
  watches_ = sources_.Watches(now);
  view_.SetServing(IsRelay());
  view_.SetWatching(watches_ || ports_.leads());
  view_.SetRelays(!watches_);
  SendDueQuestions();
}

void RelayService::HandleFleetSize(std::uint32_t daemons) {
  const bool large = settings_.from_daemons > 0 && daemons >= settings_.from_daemons;
  if (!large || plan_.number > 0 || plan_expected_since_) return;
  plan_expected_since_ = BootClock::now();
  view_.SetRelays(true);
}

void RelayService::StopExpectingPlan() {
  if (plan_.number > 0 || !plan_expected_since_ || plan_wait_ended_) return;
  if (BootClock::now() - *plan_expected_since_ < kPlanTimeout) return;
  plan_wait_ended_ = true;
  view_.SetRelays(false);
}

void RelayService::TakeReport(const DemandReport& report) {
  if (!ports_.leads()) return;
  planner_.Note({report.address, report.zone, report.strength, report.stopping,
                 report.relay_plan.has_value()},
                BootClock::now());
  if (!report.relay_plan) return;
  if (IsValidPlanNumber(*report.relay_plan))
    newest_plan_number_ = std::max(newest_plan_number_, *report.relay_plan);
  if (plan_.number > 0 && *report.relay_plan != plan_.number) ports_.send(report.address, plan_);
}

void RelayService::MakePlan(Time now) {
  if (leading_since_ == Time{}) leading_since_ = now;
  RelayPlan next = planner_.Plan(plan_, leading_since_, now);
  // A daemon that knows a later plan, from a leader unknown to this one, would ignore this plan.
  const bool superseded = plan_.number > 0 && newest_plan_number_ > plan_.number;
  if (next.number == plan_.number && !superseded) return;
  next.number = std::max(next.number, newest_plan_number_ + 1);
  ApplyPlan(next);
  ports_.broadcast(plan_);
}

void RelayService::Tick() {
  StopExpectingPlan();
  const Time now = BootClock::now();
  if (ports_.leads()) {
    MakePlan(now);
    if (plan_.number > 0) record_.Write(plan_);
  } else {
    leading_since_ = {};
  }
  UpdateRole();
}

void RelayService::RequestChanges() {
  UpdateRole();
  const Time now = BootClock::now();
  const std::string relay = sources_.Current(now);
  if (relay.empty()) return;
  const DemandReport report = ports_.ask();
  if (!report.question) return;
  sources_.RecordRequest(now);
  ports_.send(relay, report);
}

bool RelayService::TakeAnswer(const ChangeAnswer& answer, const std::string& from) {
  if (!sources_.Contains(from)) return false;
  const Time now = BootClock::now();
  if (!answer.relays) {
    sources_.RecordDecline(from, now);
    return true;
  }
  sources_.RecordAnswer(from, std::chrono::microseconds(answer.age_us), now);
  if (!answer.leader.empty()) {
    reported_leader_ = answer.leader;
    reported_leader_at_ = now;
  }
  return true;
}

std::string RelayService::ReportedLeader() const {
  return BootClock::now() - reported_leader_at_ < kReportedLeaderLifetime ? reported_leader_
                                                                          : std::string();
}

void RelayService::AnswerServersQuestion(const ServersRequest& question, const std::string& from) {
  ++metrics_.servers_pages_sent;
  ports_.send(from, view_.MakeServersPage(question));
}

bool RelayService::AcceptFromRelay(const std::string& from) {
  const bool is_source = sources_.Contains(from);
  if (!is_source)
    ports_.dropped("an answer from a daemon that is not one of the relays to ask", from);
  return is_source;
}

void RelayService::HandleServersPage(const ServersPage& page, const std::string& from) {
  if (!AcceptFromRelay(from)) return;
  switch (view_.ApplyServersPage(page, from)) {
    case SnapshotReader::PageResult::kIgnored:
      return;
    case SnapshotReader::PageResult::kDeclined:
      sources_.RecordDecline(from, BootClock::now());
      return;
    case SnapshotReader::PageResult::kPage:
    case SnapshotReader::PageResult::kLastPage:
      ++metrics_.servers_pages_taken;
      sources_.RecordAnswer(from, std::chrono::microseconds(0), BootClock::now());
      SendDueQuestions();
      return;
  }
}

void RelayService::AnswerConfigurationQuestion(const ConfigurationPartRequest& question,
                                               const std::string& from) {
  if (const std::optional<ConfigurationPart> part = view_.MakeConfigurationPart(question))
    ports_.send(from, *part);
}

void RelayService::HandleConfigurationPart(const ConfigurationPart& part, const std::string& from) {
  if (!AcceptFromRelay(from)) return;
  view_.ApplyConfigurationPart(part);
  SendDueQuestions();
}

void RelayService::SendDueQuestions() {
  if (!UsesRelays()) return;
  const Time now = BootClock::now();
  const std::string relay = sources_.Current(now);
  if (relay.empty()) return;
  if (const std::optional<ServersRequest> servers = view_.NextServersQuestion()) {
    sources_.RecordRequest(now);
    ports_.send(relay, *servers);
  }
  if (const std::optional<ConfigurationPartRequest> text = view_.NextConfigurationQuestion())
    ports_.send(relay, *text);
  if (!view_.FetchesServers() && !view_.FetchesConfiguration()) return;
  retry_timer_.expires_after(kRetryInterval);
  retry_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) SendDueQuestions();
  });
}

}  // namespace moorfold
