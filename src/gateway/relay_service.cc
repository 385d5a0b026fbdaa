#include "gateway/relay_service.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr const char* kPlanKey = "moorfold/relays";
/// Of a relay's word on who leads: several questions long.
constexpr milliseconds kLeaderTold{3'000};
/// A leader names relays within some seconds of its election, if it is of a build that knows any.
constexpr milliseconds kPlanExpected{6'000};
/// What was lost on its way is looked at so often: no sooner than it would be asked for again.
constexpr milliseconds kPullAgain{160};

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
      pull_timer_(context) {}

void RelayService::TakeRecord(const std::optional<KeyValue>& entry, StoreRevision revision) {
  record_.Seen(entry, revision);
  if (entry) TakePlan(DecodeMessage<RelayPlan>(entry->value));
}

void RelayService::TakePlan(const RelayPlan& plan) {
  newest_number_ = std::max(newest_number_, plan.number);
  if (plan.number <= plan_.number) return;
  plan_ = plan;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kRelayPlan)
                                     .Field(LogField::kVersion, plan_.number)
                                     .Field(LogField::kDaemons, plan_.daemons)
                                     .Field(LogField::kRelays, plan_.AllRelays().size()));
  sources_.SetPlan(plan_, BootClock::now());
  Apply();
}

void RelayService::Apply() {
  if (!plan_.needed()) {
    watches_ = false;
    view_.SetServing(false);
    if (plan_.number > 0) view_.SetRelays(false);
    return;
  }
  sources_.SetLearning(view_.WaitsForServers());
  const Time now = BootClock::now();
  sources_.RecordOwnReads(!view_.StoreInTouch(), now);
  watches_ = sources_.Watches(now);
  view_.SetServing(IsRelay());
  view_.SetWatching(watches_ || ports_.leads());
  view_.SetRelays(!watches_);
  Pull();
}

void RelayService::NoteFleetSize(std::uint32_t daemons) {
  const bool large = settings_.from_daemons > 0 && daemons >= settings_.from_daemons;
  if (!large || plan_.number > 0 || plan_expected_since_) return;
  plan_expected_since_ = BootClock::now();
  view_.SetRelays(true);
}

void RelayService::EndExpectation() {
  if (plan_.number > 0 || !plan_expected_since_ || expectation_ended_) return;
  if (BootClock::now() - *plan_expected_since_ < kPlanExpected) return;
  expectation_ended_ = true;
  view_.SetRelays(false);
}

void RelayService::TakeReport(const DemandReport& report) {
  if (!ports_.leads()) return;
  planner_.Note({report.address, report.zone, report.strength, report.stopping,
                 report.relay_plan.has_value()},
                BootClock::now());
  if (!report.relay_plan) return;
  newest_number_ = std::max(newest_number_, *report.relay_plan);
  if (plan_.number > 0 && *report.relay_plan != plan_.number) ports_.send(report.address, plan_);
}

void RelayService::MakePlan(Time now) {
  if (leading_since_ == Time{}) leading_since_ = now;
  RelayPlan next = planner_.Plan(plan_, leading_since_, now);
  // Whoever knows a later plan, of a leader that this one never heard of, would not take this one.
  const bool outrun = plan_.number > 0 && newest_number_ > plan_.number;
  if (next.number == plan_.number && !outrun) return;
  next.number = std::max(next.number, newest_number_ + 1);
  TakePlan(next);
  ports_.broadcast(plan_);
}

void RelayService::Tick() {
  EndExpectation();
  const Time now = BootClock::now();
  if (ports_.leads()) {
    MakePlan(now);
    if (plan_.number > 0) record_.Write(plan_);
  } else {
    leading_since_ = {};
  }
  Apply();
}

void RelayService::Ask() {
  Apply();
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
    leader_told_ = answer.leader;
    leader_told_at_ = now;
  }
  return true;
}

std::string RelayService::LeaderTold() const {
  return BootClock::now() - leader_told_at_ < kLeaderTold ? leader_told_ : std::string();
}

void RelayService::AnswerServersQuestion(const ServersRequest& question, const std::string& from) {
  ++metrics_.servers_pages_sent;
  ports_.send(from, view_.Page(question));
}

bool RelayService::FromRelay(const std::string& from) {
  const bool known = sources_.Contains(from);
  if (!known) ports_.dropped("an answer of a daemon that is not asked as a relay", from);
  return known;
}

void RelayService::TakeServersPage(const ServersPage& page, const std::string& from) {
  if (!FromRelay(from)) return;
  switch (view_.TakePage(page, from)) {
    case SnapshotReader::PageResult::kIgnored:
      return;
    case SnapshotReader::PageResult::kDeclined:
      sources_.RecordDecline(from, BootClock::now());
      return;
    case SnapshotReader::PageResult::kPage:
    case SnapshotReader::PageResult::kLastPage:
      ++metrics_.servers_pages_taken;
      sources_.RecordAnswer(from, std::chrono::microseconds(0), BootClock::now());
      Pull();
      return;
  }
}

void RelayService::AnswerConfigurationQuestion(const ConfigurationRequest& question,
                                               const std::string& from) {
  if (const std::optional<ConfigurationPart> part = view_.Part(question)) ports_.send(from, *part);
}

void RelayService::TakeConfigurationPart(const ConfigurationPart& part, const std::string& from) {
  if (!FromRelay(from)) return;
  view_.TakePart(part);
  Pull();
}

void RelayService::Pull() {
  if (!Asks()) return;
  const Time now = BootClock::now();
  const std::string relay = sources_.Current(now);
  if (relay.empty()) return;
  if (const std::optional<ServersRequest> servers = view_.ServersQuestionDue()) {
    sources_.RecordRequest(now);
    ports_.send(relay, *servers);
  }
  if (const std::optional<ConfigurationRequest> text = view_.ConfigurationQuestionDue())
    ports_.send(relay, *text);
  if (!view_.PullsServers() && !view_.PullsConfiguration()) return;
  pull_timer_.expires_after(kPullAgain);
  pull_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) Pull();
  });
}

}  // namespace moorfold
