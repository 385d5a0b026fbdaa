#include "server_limits/permit_service.h"

#include <algorithm>

#include "server_limits/limit_shares.h"

namespace moorfold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A leader that has not answered is asked again after that.
constexpr milliseconds kAskSilentAgain{500};
/// Between two looks for an own turn.
constexpr milliseconds kOwnTurnPause{100};

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

}  // namespace

PermitService::PermitService(boost::asio::io_context& context, std::string self,
                             PermitFigures& figures, Ports ports)
    : self_(std::move(self)),
      figures_(figures),
      ports_(std::move(ports)),
      own_turns_(std::hash<std::string>{}(self_)),
      answered_(context.get_executor()) {}

PermitQuestion PermitService::MakeQuestion(const Server& server, microseconds patience) {
  const auto now = BootClock::now();
  // Questions are told apart by it.
  last_asked_us_ = std::max(last_asked_us_ + 1, Microseconds(now.time_since_epoch()));
  const ServerAdvisoryState& standing = server.standing();
  return {last_asked_us_,
          server.record().id,
          server.record().life,
          standing.limit_per_second.has_value(),
          standing.limit_per_second.value_or(0),
          Microseconds(now - standing.limit_requested_at),
          patience.count()};
}

Awaitable<std::optional<PermitAnswer>> PermitService::Ask(const PermitQuestion& question) {
  ++figures_.asked;
  if (ports_.role() == limits::PoolRole::kLeader) {
    ++figures_.answered;
    co_return pool_.Answer(question, limits::PoolRole::kLeader, BootClock::now());
  }
  const std::string leader = ports_.leader();
  const auto asked_at = BootClock::now();
  if (leader.empty() || leader == self_ || asked_at < silent_until_) co_return std::nullopt;
  const std::int64_t id = question.asked_at_us;
  open_[id].reset();
  ports_.ask(leader, question);
  const Time give_up = asked_at + limits::kAnswerTimeout;
  while (!open_[id] && BootClock::now() < give_up) co_await answered_.Wait(give_up);
  std::optional<PermitAnswer> answer = open_[id];
  open_.erase(id);
  const bool here = answer && answer->verdict != PermitVerdict::kNotHere;
  if (!answer) ++figures_.unanswered;
  if (here) co_return answer;
  silent_until_ = BootClock::now() + kAskSilentAgain;
  co_return std::nullopt;
}

bool PermitService::TakeOwnTurn(Server& server) {
  const auto now = BootClock::now();
  const double limit = server.standing().limit_per_second.value_or(0);
  if (own_turns_.Take(server.record().id, limit, ports_.daemons(), now)) {
    ++figures_.own_turns;
    return true;
  }
  ++figures_.denied;
  server.MarkAtLimit(now + kOwnTurnPause);
  return false;
}

Awaitable<bool> PermitService::Acquire(ServerPtr server, milliseconds patience) {
  if (!server->standing().limit_per_second) co_return true;
  const PermitQuestion question = MakeQuestion(*server, patience);
  const std::optional<PermitAnswer> answer = co_await Ask(question);
  if (!answer) co_return TakeOwnTurn(*server);
  const auto now = BootClock::now();
  if (answer->verdict == PermitVerdict::kUnlimited) {
    server->ClearLimit(Time(microseconds(question.asked_at_us)));
    co_return true;
  }
  const bool granted = answer->verdict == PermitVerdict::kGranted;
  const microseconds least = granted ? microseconds(0) : microseconds(limits::kShortestDenied);
  const microseconds longest =
      granted ? microseconds(patience) : microseconds(limits::kLongestDenied);
  const microseconds wait = std::clamp(microseconds(answer->wait_us), least, longest);
  if (!granted) {
    ++figures_.denied;
    server->MarkAtLimit(now + wait);
    co_return false;
  }
  ++figures_.granted;
  if (wait.count() > 0) co_await Sleep(wait);
  co_return true;
}

void PermitService::TellUnlimited(const Server& server) {
  constexpr microseconds kTellsOnly{-1};
  const PermitQuestion news = MakeQuestion(server, kTellsOnly);
  if (ports_.role() == limits::PoolRole::kLeader) {
    pool_.Answer(news, limits::PoolRole::kLeader, BootClock::now());
    return;
  }
  const std::string leader = ports_.leader();
  if (!leader.empty() && leader != self_) ports_.ask(leader, news);
}

void PermitService::Hear(const PermitQuestion& question, const std::string& from) {
  ++figures_.answered;
  const PermitAnswer answer = pool_.Answer(question, ports_.role(), BootClock::now());
  if (question.patience_us >= 0) ports_.answer(from, answer);
}

void PermitService::Hear(const PermitAnswer& answer, const std::string& from) {
  const auto open = open_.find(answer.asked_at_us);
  if (open == open_.end() || from != ports_.leader()) {
    ++figures_.dropped;
    return;
  }
  open->second = answer;
  answered_.NotifyAll();
}

}  // namespace moorfold
