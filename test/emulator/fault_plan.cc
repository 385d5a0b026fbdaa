#include "fault_plan.h"

#include <algorithm>
#include <iostream>
#include <set>

namespace moorfold {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLongestFault{4'000};
/// Bytes a second: one configuration takes most of a second.
constexpr double kNarrowLink = 40'000;

}  // namespace

const std::array<FaultPlan::Fault, 18> FaultPlan::kFaults{
    &FaultPlan::StoreDown,
    &FaultPlan::StoreSlow,
    &FaultPlan::StoreLosesAnswers,
    &FaultPlan::StoreForgets,
    &FaultPlan::GatewayCutFromStore,
    &FaultPlan::ServerLink,
    &FaultPlan::ServerLink,
    &FaultPlan::ServerErrors,
    &FaultPlan::OrdersLate,
    &FaultPlan::StoreThrottles,
    &FaultPlan::StoreGrantsSlowly,
    &FaultPlan::ImpatientClients,
    &FaultPlan::StoreConnectionsSilent,
    &FaultPlan::ServerConnectionsSilent,
    &FaultPlan::ConfigurationsInSeries,
    &FaultPlan::NarrowLinkToStore,
    &FaultPlan::ReleaseServers,
    &FaultPlan::NewConfiguration,
};

FaultPlan::FaultPlan(EmulatedPlatform& platform, std::vector<GatewayAddress>& gateways,
                     EmulatedClients& clients, std::uint64_t seed)
    : platform_(platform),
      gateways_(gateways),
      clients_(clients),
      random_(seed),
      ordinary_(OrdinaryServers()) {}

Awaitable<void> FaultPlan::Run() {
  while (!stopped_) {
    co_await Sleep(milliseconds(Draw(1'500, 5'000)));
    const auto number = static_cast<std::size_t>(Draw(0, static_cast<int>(kFaults.size()) - 1));
    if (!Calm()) co_await Inject(kFaults.at(number));
  }
}

Awaitable<void> FaultPlan::RunEndings() {
  constexpr int kMostEndings = 12;
  clients_.SetCalm([this] { return Calm(); });
  for (int ending = 0; ending < kMostEndings && !stopped_; ++ending) {
    co_await Sleep(milliseconds(Draw(4'000, 9'000)));
    if (stopped_) break;
    const auto kind = static_cast<RequestKind>(Draw(0, 2));
    const milliseconds pause(Draw(200, 1'500));
    const int copies = Draw(1, 2);
    constexpr int kPartOf = 4;  // One of so many is a part of prompts.
    const bool part = ending % kPartOf == 1;
    Say(part ? "ending_part" : "ending_request");
    if (part)
      clients_.StartEndingPart(std::to_string(ending), pause);
    else
      clients_.StartEnding(std::to_string(ending), kind, pause, copies);
  }
}

Awaitable<void> FaultPlan::RunRefusals() {
  while (!stopped_) {
    co_await Sleep(milliseconds(Draw(1'000, 4'000)));
    if (stopped_ || Calm()) continue;
    Say("surplus_refusals");
    const auto number =
        static_cast<std::size_t>(Draw(0, static_cast<int>(platform_.servers().size()) - 1));
    ServerEmulator* server = platform_.servers()[number].get();
    server->faults().refusal_share = 0.3;
    server->faults().repeated_refusal_share = 0.5;
    server->faults().unnamed_refusal_share = 0.05;
    co_await Sleep(milliseconds(Draw(1'000, 3'000)));
    // Another may have its place by then.
    if (platform_.servers()[number].get() != server) continue;
    ServerFaults& faults = server->faults();
    faults.refusal_share = faults.repeated_refusal_share = faults.unnamed_refusal_share = 0;
  }
}

Awaitable<void> FaultPlan::RunDrills() {
  while (!stopped_) {
    co_await Sleep(milliseconds(Draw(5'000, 12'000)));
    if (stopped_ || Calm()) continue;
    co_await Drill();
    if (Draw(0, 3) > 0) continue;
    co_await Sleep(milliseconds(Draw(200, 4'000)));
    if (!stopped_ && !Calm()) co_await Drill();
  }
}

Awaitable<void> FaultPlan::RunLimits() {
  constexpr int kMostPerSecond = 8;
  while (!stopped_) {
    co_await Sleep(milliseconds(Draw(500, 2'500)));
    if (stopped_) break;
    const auto number =
        static_cast<std::size_t>(Draw(0, static_cast<int>(platform_.servers().size()) - 1));
    const ServerEmulator* server = platform_.servers()[number].get();
    Say("server_limit");
    platform_.servers()[number]->NameLimit(Draw(1, kMostPerSecond));
    ++limits_;
    co_await Sleep(milliseconds(Draw(5'000, 11'000)));
    // Another may have its place by then.
    if (platform_.servers()[number].get() == server)
      platform_.servers()[number]->NameLimit(std::nullopt);
  }
}

Awaitable<void> FaultPlan::RunCuts() {
  const int gateways = static_cast<int>(gateways_.size());
  while (!stopped_) {
    co_await Sleep(milliseconds(Draw(3'000, 9'000)));
    if (stopped_ || Calm()) continue;
    const auto cut = static_cast<ServerCut>(Draw(1, 3));
    const int first = Draw(0, gateways - 1);
    const int count = Draw(1, gateways);
    std::set<int> isolated;
    for (int number = first; number < first + count; ++number) isolated.insert(number % gateways);
    Say("gateways_cut_from_servers");
    for (const int gateway : isolated) platform_.CutFromServers(gateway, cut);
    platform_.isolation_checker().CutBegan(isolated, BootClock::now());
    const auto end = BootClock::now() + milliseconds(Draw(2'000, 9'000));
    while (BootClock::now() < end && !Calm() && !stopped_) co_await Sleep(milliseconds(100));
    platform_.isolation_checker().CutEnded();
    for (const int gateway : isolated) platform_.CutFromServers(gateway, ServerCut::kNone);
  }
}

void FaultPlan::KeepCalm(BootClock::time_point from, BootClock::time_point until) {
  calm_.push_back({from - kLongestFault, until});
}

bool FaultPlan::Calm() const {
  const auto now = BootClock::now();
  return std::any_of(calm_.begin(), calm_.end(),
                     [&](const CalmTime& time) { return now >= time.from && now < time.until; });
}

void FaultPlan::Say(const std::string& what) {
  std::cout << "event=fault what=" << what << std::endl;
}

void FaultPlan::Disturb(int gateway, milliseconds length) {
  constexpr milliseconds kSettles{6'000};
  for (std::size_t number = 0; number < gateways_.size(); ++number)
    if (gateway < 0 || static_cast<int>(number) == gateway)
      gateways_[number].disturbed_until = BootClock::now() + length + kSettles;
}

Awaitable<void> FaultPlan::Inject(Fault fault) {
  const milliseconds length(Draw(500, 4'000));
  const auto server =
      static_cast<std::size_t>(Draw(0, static_cast<int>(platform_.servers().size()) - 1));
  const int gateway = Draw(0, static_cast<int>(gateways_.size()) - 1);
  const auto mode = static_cast<ProxyMode>(Draw(1, 4));
  co_await (this->*fault)({length, server, gateway, mode});
}

Awaitable<void> FaultPlan::StoreDown(FaultScope scope) {
  StoreFaults& store = platform_.store().faults();
  Say("store_down");
  Disturb(-1, scope.length);
  (Draw(0, 1) == 0 ? store.unavailable : store.silent) = true;
  co_await Sleep(scope.length);
  store.unavailable = store.silent = false;
}

Awaitable<void> FaultPlan::StoreSlow(FaultScope scope) {
  StoreFaults& store = platform_.store().faults();
  Say("store_slow");
  Disturb(-1, scope.length);
  store.delay = milliseconds(Draw(50, 400));
  co_await Sleep(scope.length);
  store.delay = milliseconds(0);
}

Awaitable<void> FaultPlan::StoreLosesAnswers(FaultScope scope) {
  StoreFaults& store = platform_.store().faults();
  Say("store_loses_answers");
  Disturb(-1, scope.length);
  store.lose_share = 0.4;
  store.lost_apply_late = milliseconds(Draw(0, 1) * 1'500);
  co_await Sleep(scope.length);
  store.lose_share = 0;
}

Awaitable<void> FaultPlan::StoreForgets(FaultScope scope) {
  StoreFaults& store = platform_.store().faults();
  Say("store_forgets");
  Disturb(-1, scope.length);
  store.history_gone = true;
  co_await Sleep(scope.length);
  store.history_gone = false;
}

Awaitable<void> FaultPlan::GatewayCutFromStore(FaultScope scope) {
  Say("gateway_cut_from_store");
  Disturb(scope.gateway, scope.length);
  platform_.store_proxy(scope.gateway).SetMode(scope.mode);
  co_await Sleep(scope.length);
  platform_.store_proxy(scope.gateway).SetMode(ProxyMode::kPass);
}

Awaitable<void> FaultPlan::ServerLink(FaultScope scope) {
  Say("server_link");
  platform_.server_links(scope.server).SetMode(scope.mode);
  co_await Sleep(scope.length);
  platform_.server_links(scope.server).SetMode(ProxyMode::kPass);
}

Awaitable<void> FaultPlan::ServerErrors(FaultScope scope) {
  Say("server_errors");
  platform_.servers()[scope.server]->faults().error_share = 0.3;
  platform_.servers()[scope.server]->faults().no_answer_share = 0.1;
  co_await Sleep(scope.length);
  platform_.servers()[scope.server]->faults() = {};
}

Awaitable<void> FaultPlan::OrdersLate(FaultScope scope) {
  Say("orders_late");
  for (const auto& each : platform_.servers()) each->faults().late_order_share = 0.4;
  co_await Sleep(scope.length);
  for (const auto& each : platform_.servers()) each->faults().late_order_share = 0;
}

Awaitable<void> FaultPlan::StoreThrottles(FaultScope scope) {
  StoreFaults& store = platform_.store().faults();
  Say("store_throttles");
  Disturb(-1, scope.length);
  store.writes_per_second = store.reads_per_second = 4;
  co_await Sleep(scope.length);
  store.writes_per_second = StoreFaults{}.writes_per_second;
  store.reads_per_second = StoreFaults{}.reads_per_second;
}

Awaitable<void> FaultPlan::StoreGrantsSlowly(FaultScope scope) {
  StoreFaults& store = platform_.store().faults();
  Say("store_grants_slowly");
  Disturb(-1, scope.length);
  store.grant_answer_delay = milliseconds(Draw(200, 900));
  platform_.store_proxy(scope.gateway).SetMode(scope.mode);
  co_await Sleep(scope.length);
  store.grant_answer_delay = milliseconds(0);
  platform_.store_proxy(scope.gateway).SetMode(ProxyMode::kPass);
}

Awaitable<void> FaultPlan::ImpatientClients(FaultScope scope) {
  Say("impatient_clients");
  clients_.SetImpatient(true);
  co_await Sleep(scope.length);
  clients_.SetImpatient(false);
}

Awaitable<void> FaultPlan::StoreConnectionsSilent(FaultScope scope) {
  Say("store_connections_silent");
  Disturb(scope.gateway, milliseconds(0));
  platform_.store_proxy(scope.gateway).SilenceStanding();
  co_return;
}

Awaitable<void> FaultPlan::ServerConnectionsSilent(FaultScope scope) {
  Say("server_connections_silent");
  platform_.server_links(scope.server).SilenceStanding();
  co_return;
}

Awaitable<void> FaultPlan::ConfigurationsInSeries(FaultScope scope) {
  Say("configurations_in_series");
  co_await ChangeConfigurations(scope.length);
}

Awaitable<void> FaultPlan::NarrowLinkToStore(FaultScope scope) {
  Say("narrow_link_to_store");
  Disturb(scope.gateway, scope.length);
  platform_.store_proxy(scope.gateway).SetBytesPerSecond(kNarrowLink);
  co_await Sleep(scope.length);
  platform_.store_proxy(scope.gateway).SetBytesPerSecond(0);
}

Awaitable<void> FaultPlan::ReleaseServers(FaultScope /*scope*/) {
  Say("release");
  co_await ReplaceServers();
}

Awaitable<void> FaultPlan::NewConfiguration(FaultScope /*scope*/) {
  Say("configuration");
  platform_.Configure();
  co_return;
}

Awaitable<void> FaultPlan::Drill() {
  StoreFaults& store = platform_.store().faults();
  const milliseconds away(Draw(50, 1'500));
  Say("store_comes_back");
  Disturb(-1, away);
  bool StoreFaults::*const how = Draw(0, 1) == 0 ? &StoreFaults::unavailable : &StoreFaults::silent;
  store.*how = true;
  co_await Sleep(away);
  platform_.store().ComeBackFromCopy(milliseconds(Draw(1'000, 10'000)));
  store.*how = false;
  ++drills_;
}

Awaitable<void> FaultPlan::ChangeConfigurations(milliseconds length) {
  constexpr milliseconds kEvery{150};
  const auto end = BootClock::now() + length;
  while (BootClock::now() < end) {
    platform_.Configure();
    co_await Sleep(kEvery);
  }
}

Awaitable<void> FaultPlan::ReplaceServers() {
  constexpr milliseconds kServesOn{2'500};
  for (std::size_t& number : ordinary_)
    if (!Calm()) number = co_await platform_.ReleaseServer(number, kServesOn);
}

std::vector<std::size_t> FaultPlan::OrdinaryServers() const {
  std::vector<std::size_t> ordinary;
  for (std::size_t number = 0; number < platform_.servers().size(); ++number)
    if (!platform_.servers()[number]->options().engine) ordinary.push_back(number);
  return ordinary;
}

}  // namespace moorfold
