#include "version_knowledge_model.h"

namespace moorfold::streams::model {
namespace {

constexpr double kStreamsPerDaemon = 0.46;  ///< A second.
constexpr milliseconds kStoreCall{4};
constexpr milliseconds kUnansweredCall{400};
constexpr milliseconds kFirstEventAfter{100};
constexpr milliseconds kLeaderInterval{500};
constexpr milliseconds kDigestInterval{200};
constexpr seconds kRestartTime{1};
constexpr seconds kFaultLasts{5};
constexpr seconds kLostByRestore{2};
constexpr seconds kEntriesUntilNewLease{30};
constexpr double kBreaks = 0.25;      ///< Part of the streams that break without a fault.
constexpr double kLateRecords = 0.5;  ///< Part of the leader's writes carried out late.
constexpr int kTries = 3;             ///< Of a client that takes a stream up.
constexpr double kDigestBytes = 12, kQuestionBytes = 100;
constexpr int kVersions = 3;

enum class Kind {
  kArrive,
  kFirstEvent,
  kCommitAnswer,
  kCommitLater,
  kCommitUnanswered,
  kLateWrite,
  kLateRecord,
  kBreak,
  kEnd,
  kTakeUp,
  kTakeUpDecision,
  kRefresh,
  kRefreshAnswer,
  kLeaderTick,
  kServerDown,
  kServerUp,
  kFault,
  kRestart
};

struct Event {
  Time at{};
  std::uint64_t order = 0;
  Kind kind{};
  std::size_t index = 0;     ///< Stream, daemon or server.
  std::uint64_t number = 0;  ///< Of the stream's life or the daemon's process; else free.
  bool operator<(const Event& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct Server {
  Version version = 0;
  bool up = true;
};

struct Stream {
  StreamId id = 0;
  std::uint64_t life = 0;  ///< Rises at each break, so that events of before are void.
  bool in_use = false, began = false, entry_sent = false, counted = false, killed = false;
  Version version = 0;
  std::size_t server = 0, daemon = 0, first_daemon = 0;
  std::uint64_t first_process = 0;
  int tries = 0;
  Time first_ready{}, first_sent{}, ends{}, broke_at{}, take_up_came{};
  std::optional<Version> read_entry;
  std::optional<VersionRecord> read_record;
  int read_era = 0;
  bool read_answered = false;
};

struct Waiting {
  std::size_t slot = 0;
  StreamId id = 0;
};

struct Daemon {
  std::uint64_t process = 1;
  Time started{}, frozen_until{}, lease_until{};
  std::optional<CachedRecord> cached, reading;
  int known_era = 1;
  std::deque<Waiting> waiting;
  std::vector<Waiting> in_flight;
  int refusals = 0;
  LeaderMemory memory;
  std::size_t shares = 0;  ///< Way kHash: row of the history of shares.
};

struct Entry {
  Version version = 0;
  Time written{};
};

struct LateWrite {
  StreamId id = 0;
  Version version = 0;
};

struct RecordWrite {
  std::optional<VersionRecord> record;
  std::int64_t over_revision = 0;  ///< 0: there is no record.
};

std::uint64_t Mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

/// @return the version that the id falls to: a rendezvous hash weighted by the servers.
Version FallsTo(StreamId id, const std::vector<int>& servers) {
  Version best = 0;
  double least = 1e300;
  for (Version version = 0; version < kVersions; ++version) {
    const int weight = servers[static_cast<std::size_t>(version)];
    const std::uint64_t hash = Mix(id * 8 + static_cast<std::uint64_t>(version));
    const double uniform = (static_cast<double>(hash >> 11) + 0.5) / 9007199254740992.0;
    const double score = weight == 0 ? 1e299 : -std::log(uniform) / weight;
    if (score < least) best = version;
    least = std::min(least, score);
  }
  return best;
}

/// Calls of the last second, and the most in any second of the clock.
class CallRate {
 public:
  explicit CallRate(double per_second) : per_second_(per_second), tokens_(per_second) {}
  bool Take(Time now) {
    Count(now);
    tokens_ = std::min(per_second_, tokens_ + per_second_ * Seconds(now - last_));
    last_ = now;
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }
  void Count(Time now, double amount = 1) {
    const auto second = static_cast<std::size_t>(now / seconds(1));
    if (by_second_.size() <= second) by_second_.resize(second + 1);
    by_second_[second] += amount;
  }
  double Peak(std::size_t from) const {
    double peak = 0;
    for (std::size_t at = from; at < by_second_.size(); ++at) peak = std::max(peak, by_second_[at]);
    return peak;
  }
  double Mean(std::size_t from, std::size_t to) const {
    double sum = 0;
    for (std::size_t at = from; at < to && at < by_second_.size(); ++at) sum += by_second_[at];
    return sum / static_cast<double>(to - from);
  }
  static double Seconds(Time time) { return static_cast<double>(time.count()) / 1e6; }

 private:
  double per_second_, tokens_;
  Time last_{};
  std::vector<double> by_second_;
};

double Between(int daemons, double at_7, double at_300) {
  return at_7 + (at_300 - at_7) * std::clamp((daemons - 7) / 293.0, 0.0, 1.0);
}

enum class Answer { kDone, kTooMany, kNone };

class Fleet {
 public:
  Fleet(const Play& play, std::uint64_t seed)
      : play_(play),
        random_(seed),
        daemons_(static_cast<std::size_t>(play.daemons)),
        servers_(static_cast<std::size_t>(std::max(8, 2 * play.daemons))),
        counts_(kVersions, 0),
        writes_(Between(play.daemons, 400, 3'200)),
        reads_(Between(play.daemons, 2'000, 16'000)),
        bytes_(1e300) {
    counts_[0] = static_cast<int>(servers_.size());
    record_ = VersionRecord{0, false, era_, 1};
    record_history_.push_back({Time{}, record_});
    shares_.push_back({Time{}, counts_});
    Plan();
  }

  Outcome Run() {
    while (!events_.empty() && events_.top().at < end_) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    return Result();
  }

 private:
  void Push(Time at, Kind kind, std::size_t index = 0, std::uint64_t number = 0) {
    events_.push({at, ++order_, kind, index, number});
  }
  Time Uniform(Time from, Time to) {
    return Time(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(random_));
  }
  bool Chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
  std::size_t Any(std::size_t size) {
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
  }

  void Plan() {
    Time last{};
    std::size_t next_server = 0;
    for (const Release& release : play_.releases) {
      const auto replaced = static_cast<std::size_t>(
          std::lround(release.share * static_cast<double>(servers_.size())));
      for (std::size_t number = 0; number < replaced; ++number) {
        const Time at = release.begin + release.lasts * static_cast<std::int64_t>(number) /
                                            static_cast<std::int64_t>(replaced);
        Push(at, Kind::kServerDown, (next_server + number) % servers_.size(),
             static_cast<std::uint64_t>(release.version));
        last = std::max(last, at);
      }
      next_server += replaced;
    }
    end_ = play_.lasts.count() > 0
               ? play_.lasts
               : last + kStreamLifetime + play_.max_age + kClientPatience + seconds(60);
    Push(Time(1), Kind::kArrive);
    Push(Time(2), Kind::kLeaderTick);
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) {
      daemons_[daemon].cached = CachedRecord{*record_, Time{}};
      Push(Uniform(Time{}, RefreshInterval()), Kind::kRefresh, daemon, 1);
    }
    if (play_.kills_every.count() > 0) Push(play_.kills_every, Kind::kFault, 1);
  }
  Time RefreshInterval() const { return std::min<Time>(seconds(20), play_.max_age / 3); }

  void Handle(const Event& event) {
    switch (event.kind) {
      case Kind::kArrive:
        return Arrive();
      case Kind::kFirstEvent:
        return FirstEvent(event);
      case Kind::kCommitAnswer:
        return CommitAnswer(event);
      case Kind::kCommitLater:
        return CommitLater(event);
      case Kind::kCommitUnanswered:
        return CommitUnanswered(event);
      case Kind::kLateWrite:
        return Put(late_writes_[event.index]);
      case Kind::kLateRecord:
        return WriteRecord(late_records_[event.index]);
      case Kind::kBreak:
        return Break(event.index, event.number, Uniform(milliseconds(100), milliseconds(400)));
      case Kind::kEnd:
        return End(event);
      case Kind::kTakeUp:
        return TakeUp(event);
      case Kind::kTakeUpDecision:
        return TakeUpDecision(event);
      case Kind::kRefresh:
        return Refresh(event);
      case Kind::kRefreshAnswer:
        return RefreshAnswer(event);
      case Kind::kLeaderTick:
        return LeaderTick();
      case Kind::kServerDown:
        return ServerDown(event);
      case Kind::kServerUp:
        return ServerUp(event);
      case Kind::kFault:
        return InjectFault(event);
      case Kind::kRestart:
        return Restart();
    }
  }

  // The store.

  bool StoreIsAway() const { return now_ < store_away_until_; }
  Answer Read() {
    if (!reads_.Take(now_)) return Answer::kTooMany;
    return StoreIsAway() ? Answer::kNone : Answer::kDone;
  }
  Answer Write() {
    if (!writes_.Take(now_)) return Answer::kTooMany;
    return StoreIsAway() ? Answer::kNone : Answer::kDone;
  }
  std::optional<Version> FindEntry(StreamId id) const {
    const auto found = entries_.find(id);
    if (found == entries_.end() || now_ - found->second.written > kEntryLifetime)
      return std::nullopt;
    return found->second.version;
  }
  /// An entry is only ever created: the first of an id holds.
  void Put(const LateWrite& write) {
    if (!entries_.emplace(write.id, Entry{write.version, now_}).second) {
      if (play_.left_out.acknowledged_after_unanswered)
        entries_[write.id] = Entry{write.version, now_};
      return;
    }
    by_age_.push_back(write.id);
    while (!by_age_.empty()) {
      const auto oldest = entries_.find(by_age_.front());
      if (oldest != entries_.end() && now_ - oldest->second.written <= kEntryLifetime) break;
      if (oldest != entries_.end()) entries_.erase(oldest);
      by_age_.pop_front();
    }
    most_entries_ = std::max(most_entries_, entries_.size());
  }
  void RestoreStore() {
    ++era_;
    for (auto entry = entries_.begin(); entry != entries_.end();)
      entry = entry->second.written > now_ - kLostByRestore ? entries_.erase(entry) : ++entry;
    while (record_history_.size() > 1 && record_history_.back().first > now_ - kLostByRestore)
      record_history_.pop_back();
    record_ = record_history_.back().second;
  }

  // Streams that begin.

  void Arrive() {
    const double rate = kStreamsPerDaemon * play_.load * play_.daemons;
    const double wait = std::exponential_distribution<double>(rate)(random_);
    Push(now_ + Time(1 + static_cast<std::int64_t>(wait * 1e6)), Kind::kArrive);
    if (now_ < down_until_) return;
    const std::size_t slot = FreeSlot();
    Stream& stream = streams_[slot];
    const std::uint64_t life = stream.life + 1;
    stream = Stream{};
    stream.id = ++next_id_;
    stream.life = life;
    stream.in_use = true;
    stream.daemon = Any(daemons_.size());
    ++arrived_;
    Daemon& daemon = daemons_[stream.daemon];
    std::optional<std::size_t> server = AnyServer(std::nullopt);
    if (play_.way == Way::kHash) {
      const bool fresh = daemon.cached && now_ - daemon.cached->read_at <= play_.max_age;
      server = fresh ? AnyServer(FallsTo(stream.id, shares_[daemon.shares].second)) : std::nullopt;
    }
    if (!server) return Free(slot);
    stream.server = *server;
    stream.version = servers_[*server].version;
    Push(now_ + kFirstEventAfter, Kind::kFirstEvent, slot, life);
  }
  std::size_t FreeSlot() {
    if (!free_.empty()) {
      const std::size_t slot = free_.back();
      free_.pop_back();
      return slot;
    }
    streams_.emplace_back();
    return streams_.size() - 1;
  }
  void Free(std::size_t slot) {
    streams_[slot].in_use = false;
    ++streams_[slot].life;
    free_.push_back(slot);
  }
  /// @return any ready server of that version.
  std::optional<std::size_t> AnyServer(std::optional<Version> version) {
    const std::size_t begin = Any(servers_.size());
    for (std::size_t step = 0; step < servers_.size(); ++step) {
      const std::size_t server = (begin + step) % servers_.size();
      if (servers_[server].up && (!version || servers_[server].version == *version)) return server;
    }
    return std::nullopt;
  }
  bool IsVoid(const Event& event) const {
    return !streams_[event.index].in_use || streams_[event.index].life != event.number;
  }
  /// @return whether a frozen daemon handles the event only when it goes on.
  bool Postponed(const Event& event, std::size_t daemon) {
    if (now_ >= daemons_[daemon].frozen_until) return false;
    Push(daemons_[daemon].frozen_until, event.kind, event.index, event.number);
    return true;
  }

  void FirstEvent(const Event& event) {
    if (IsVoid(event)) return;
    Stream& stream = streams_[event.index];
    if (stream.first_ready.count() == 0) stream.first_ready = now_;
    if (Postponed(event, stream.daemon)) return;
    const Daemon& daemon = daemons_[stream.daemon];
    const bool waits = play_.way == Way::kEntries ||
                       (play_.way == Way::kImplied &&
                        NeedsEntry(daemon.cached, stream.version, daemon.known_era,
                                   stream.entry_sent, play_.max_age, now_, play_.left_out));
    if (!waits) return Begin(event.index);
    daemons_[stream.daemon].waiting.push_back({event.index, stream.id});
    SendEntries(stream.daemon);
  }
  void Begin(std::size_t slot) {
    Stream& stream = streams_[slot];
    if (now_ - stream.first_ready > kClientPatience) return Free(slot);
    ++began_;
    if (now_ >= play_.releases.front().begin)
      added_.push_back(CallRate::Seconds(now_ - stream.first_ready) * 1e3);
    stream.began = true;
    stream.first_sent = now_;
    stream.first_daemon = stream.daemon;
    stream.first_process = daemons_[stream.daemon].process;
    stream.ends = now_ + Uniform(seconds(1), play_.longest_stream);
    if (play_.way == Way::kDigest) bytes_.Count(now_, kDigestBytes * (play_.daemons - 1));
    if (play_.way == Way::kNamedDaemons) bytes_.Count(now_, 2 * kQuestionBytes);
    Continue(slot);
  }
  void Continue(std::size_t slot) {
    const Stream& stream = streams_[slot];
    const bool breaks = Chance(kBreaks);
    Push(breaks ? Uniform(now_, stream.ends) : stream.ends, breaks ? Kind::kBreak : Kind::kEnd,
         slot, stream.life);
  }
  void End(const Event& event) {
    if (!IsVoid(event)) Free(event.index);
  }

  // Group commit: one transaction in flight a daemon.

  void SendEntries(std::size_t index) {
    Daemon& daemon = daemons_[index];
    if (!daemon.in_flight.empty() || daemon.waiting.empty()) return;
    if (daemon.lease_until < now_) {
      writes_.Count(now_);  // A lease for the entries of the next while.
      daemon.lease_until = now_ + kEntriesUntilNewLease;
    }
    while (!daemon.waiting.empty() && daemon.in_flight.size() < kMaxEntriesInTransaction) {
      daemon.in_flight.push_back(daemon.waiting.front());
      daemon.waiting.pop_front();
    }
    const Answer answer = Write();
    if (answer == Answer::kTooMany) {
      const int doublings = std::min(daemon.refusals++, 4);
      const Time pause = milliseconds(20) * (1 << doublings);
      return Push(now_ + Uniform(pause / 2, pause), Kind::kCommitLater, index, daemon.process);
    }
    daemon.refusals = 0;
    if (answer == Answer::kNone) {
      for (const Waiting& waiting : daemon.in_flight) WriteLate(waiting);
      return Push(now_ + kUnansweredCall, Kind::kCommitUnanswered, index, daemon.process);
    }
    for (const Waiting& waiting : daemon.in_flight)
      if (StillThere(waiting)) Put({waiting.id, streams_[waiting.slot].version});
    Push(now_ + kStoreCall, Kind::kCommitAnswer, index, daemon.process);
  }
  bool StillThere(const Waiting& waiting) const {
    return streams_[waiting.slot].in_use && streams_[waiting.slot].id == waiting.id;
  }
  /// A call without an answer may be carried out seconds after the store is back.
  void WriteLate(const Waiting& waiting) {
    if (!StillThere(waiting) || !Chance(0.5)) return;
    late_writes_.push_back({waiting.id, streams_[waiting.slot].version});
    Push(store_away_until_ + Uniform(Time{}, seconds(3)), Kind::kLateWrite,
         late_writes_.size() - 1);
  }
  bool OfAnotherProcess(const Event& event) const {
    return daemons_[event.index].process != event.number;
  }
  std::vector<Waiting> TakeInFlight(std::size_t index) {
    return std::exchange(daemons_[index].in_flight, {});
  }
  void CommitAnswer(const Event& event) {
    if (OfAnotherProcess(event) || Postponed(event, event.index)) return;
    daemons_[event.index].known_era = std::max(daemons_[event.index].known_era, era_);
    for (const Waiting& waiting : TakeInFlight(event.index)) {
      if (!StillThere(waiting)) continue;
      const std::optional<Version> holds = FindEntry(waiting.id);
      if (holds == streams_[waiting.slot].version)
        Begin(waiting.slot);
      else
        Free(waiting.slot);
    }
    SendEntries(event.index);
  }
  void CommitLater(const Event& event) {
    if (OfAnotherProcess(event)) return;
    const std::vector<Waiting> again = TakeInFlight(event.index);
    std::deque<Waiting>& waiting = daemons_[event.index].waiting;
    waiting.insert(waiting.begin(), again.begin(), again.end());
    SendEntries(event.index);
  }
  /// The attempt may be sent to another server, maybe of another version, before its first event.
  void CommitUnanswered(const Event& event) {
    if (OfAnotherProcess(event) || Postponed(event, event.index)) return;
    for (const Waiting& waiting : TakeInFlight(event.index)) {
      if (!StillThere(waiting)) continue;
      Stream& stream = streams_[waiting.slot];
      stream.entry_sent = true;
      const std::optional<std::size_t> other = AnyServer(std::nullopt);
      if (!other || now_ - stream.first_ready > kClientPatience) {
        Free(waiting.slot);
        continue;
      }
      if (Chance(0.5)) {
        stream.server = *other;
        stream.version = servers_[*other].version;
      }
      Push(now_, Kind::kFirstEvent, waiting.slot, stream.life);
    }
    SendEntries(event.index);
  }

  // Streams that are taken up.

  void Break(std::size_t slot, std::uint64_t life, Time client_waits) {
    Stream& stream = streams_[slot];
    if (!stream.in_use || stream.life != life) return;
    if (!stream.began) return Free(slot);
    ++stream.life;
    if (stream.broke_at.count() == 0) stream.broke_at = now_;
    stream.tries = 0;
    stream.counted = false;
    Push(now_ + client_waits, Kind::kTakeUp, slot, stream.life);
  }
  void TakeUp(const Event& event) {
    if (IsVoid(event)) return;
    Stream& stream = streams_[event.index];
    const bool can_go_on = counts_[static_cast<std::size_t>(stream.version)] >= 2;
    if (stream.tries == 0 && can_go_on) {
      ++take_ups_;
      if (stream.killed) ++killed_take_ups_;
      stream.counted = true;
    }
    if (!can_go_on && stream.counted) {
      --take_ups_;
      if (stream.killed) --killed_take_ups_;
      stream.counted = false;
    }
    if (now_ < down_until_) return Refuse(event.index);
    stream.daemon = Any(daemons_.size());
    stream.take_up_came = now_;
    if (now_ < daemons_[stream.daemon].frozen_until) return Refuse(event.index);
    Ask(stream);
    if (play_.way == Way::kNamedDaemons) bytes_.Count(now_, 2 * kQuestionBytes);
    Push(now_ + kStoreCall, Kind::kTakeUpDecision, event.index, stream.life);
  }
  /// Reads what the way needs; the answer is used when the daemon gets to it.
  void Ask(Stream& stream) {
    const Daemon& daemon = daemons_[stream.daemon];
    stream.read_answered = true;
    stream.read_record = std::nullopt;
    stream.read_entry = std::nullopt;
    if (play_.way == Way::kDigest || play_.way == Way::kNamedDaemons) return;
    stream.read_answered = Read() == Answer::kDone;
    stream.read_era = era_;
    if (play_.way == Way::kHash) return;
    stream.read_entry = FindEntry(stream.id);
    if (play_.way == Way::kEntries) return;
    if (CachedRecordSuffices(daemon.cached, play_.max_age, now_, play_.left_out)) {
      stream.read_record = daemon.cached->record;
      return;
    }
    stream.read_answered = Read() == Answer::kDone && stream.read_answered;
    stream.read_record = record_;
  }
  void TakeUpDecision(const Event& event) {
    if (IsVoid(event)) return;
    Stream& stream = streams_[event.index];
    if (Postponed(event, stream.daemon)) return;
    if (now_ - stream.take_up_came > kClientPatience) return Refuse(event.index);
    const std::optional<Version> version = Knows(stream);
    if (!version) {
      ++unknown_;
      return Refuse(event.index);
    }
    const std::optional<std::size_t> server = AnyServer(*version);
    if (!server) return Refuse(event.index);
    if (*version != stream.version) ++joined_;
    if (stream.counted) ++went_on_;
    if (stream.counted && stream.killed) ++killed_went_on_;
    stream.killed = false;
    stream.server = *server;
    stream.ends += now_ - stream.broke_at;
    stream.broke_at = Time{};
    Continue(event.index);
  }
  void Refuse(std::size_t slot) {
    Stream& stream = streams_[slot];
    if (++stream.tries >= kTries) return Free(slot);
    Push(now_ + milliseconds(700), Kind::kTakeUp, slot, stream.life);
  }
  std::optional<Version> Knows(const Stream& stream) const {
    if (!stream.read_answered) return std::nullopt;
    switch (play_.way) {
      case Way::kEntries:
        return stream.read_entry;
      case Way::kImplied:
        return VersionOfStream(stream.read_entry, stream.read_era, stream.read_record);
      case Way::kHash:
        return FellTo(stream.id);
      case Way::kDigest:
        return WasTold(stream);
      case Way::kNamedDaemons:
        return NamedDaemonKnows(stream);
    }
    return std::nullopt;
  }
  /// @return the version that the id fell to for as long as the stream can have begun.
  std::optional<Version> FellTo(StreamId id) const {
    const Time since = now_ - kStreamLifetime - play_.max_age - kClientPatience;
    if (restored_at_ > since) return std::nullopt;
    const Version last = FallsTo(id, shares_.back().second);
    for (std::size_t row = shares_.size(); row-- > 0;) {
      if (FallsTo(id, shares_[row].second) != last) return std::nullopt;
      if (shares_[row].first <= since) break;
    }
    return last;
  }
  std::optional<Version> WasTold(const Stream& stream) const {
    const Daemon& daemon = daemons_[stream.daemon];
    const Daemon& first = daemons_[stream.first_daemon];
    const Time told = stream.first_sent + kDigestInterval;
    if (&daemon == &first && first.process == stream.first_process) return stream.version;
    const bool was_sent =
        first.process == stream.first_process || first.started > told + kRestartTime;
    const bool was_there = daemon.started <= stream.first_sent && now_ >= told;
    return was_sent && was_there ? std::optional(stream.version) : std::nullopt;
  }
  std::optional<Version> NamedDaemonKnows(const Stream& stream) const {
    for (std::uint64_t copy = 0; copy < 2; ++copy) {
      const Daemon& named = daemons_[Mix(stream.id * 2 + copy) % daemons_.size()];
      if (named.started <= stream.first_sent && now_ >= named.frozen_until) return stream.version;
    }
    return std::nullopt;
  }

  // The record.

  void Refresh(const Event& event) {
    if (OfAnotherProcess(event)) return;
    if (Postponed(event, event.index)) return;
    Daemon& daemon = daemons_[event.index];
    Push(now_ + RefreshInterval(), Kind::kRefresh, event.index, event.number);
    if (play_.way != Way::kImplied && play_.way != Way::kHash) return;
    if (Read() != Answer::kDone) return;
    daemon.reading = record_ ? std::optional(CachedRecord{*record_, now_}) : std::nullopt;
    Push(now_ + kStoreCall, Kind::kRefreshAnswer, event.index, event.number);
  }
  void RefreshAnswer(const Event& event) {
    if (OfAnotherProcess(event) || Postponed(event, event.index)) return;
    Daemon& daemon = daemons_[event.index];
    daemon.known_era = std::max(daemon.known_era, daemon.reading ? daemon.reading->record.era : 0);
    daemon.cached = daemon.reading;
    daemon.shares = shares_.size() - 1;
  }
  std::optional<std::size_t> Leader() const {
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon)
      if (now_ >= daemons_[daemon].frozen_until) return daemon;
    return std::nullopt;
  }
  void LeaderTick() {
    Push(now_ + kLeaderInterval, Kind::kLeaderTick);
    const std::optional<std::size_t> leader = Leader();
    if (now_ < down_until_ || !leader || Read() != Answer::kDone) return;
    if (play_.way == Way::kHash && counts_ != shares_.back().second && Write() == Answer::kDone)
      shares_.push_back({now_, counts_});
    if (play_.way != Way::kImplied) return;
    const std::optional<VersionRecord> next = NextRecord(
        record_, era_, daemons_[*leader].memory, counts_, play_.max_age, now_, play_.left_out);
    if (!next) return;
    const RecordWrite write{next, record_ ? record_->revision : 0};
    if (Write() != Answer::kDone) return;
    const bool without_answer = play_.fault == Fault::kStoreAway && Chance(kLateRecords);
    if (!without_answer) return WriteRecord(write);
    late_records_.push_back(write);
    Push(now_ + Uniform(Time{}, seconds(3)), Kind::kLateRecord, late_records_.size() - 1);
  }
  /// Has an effect only on the revision that the leader saw.
  void WriteRecord(const RecordWrite& write) {
    const std::optional<VersionRecord> before = record_;
    if ((before ? before->revision : 0) != write.over_revision) return;
    record_ = write.record;
    record_->revision = ++revision_;
    record_history_.push_back({now_, record_});
    if (before && !before->closing && record_->closing) Reached(Edge::kRecordCloses);
    if (before && before->implied != record_->implied && record_->implied) {
      ++implied_changes_;
      Reached(Edge::kImpliedChanges);
    }
  }

  // Servers and faults.

  void ServerDown(const Event& event) {
    Server& server = servers_[event.index];
    if (server.up) --counts_[static_cast<std::size_t>(server.version)];
    server.up = false;
    Push(now_ + milliseconds(400), Kind::kServerUp, event.index, event.number);
    for (std::size_t slot = 0; slot < streams_.size(); ++slot)
      if (streams_[slot].in_use && streams_[slot].server == event.index)
        Break(slot, streams_[slot].life, Uniform(milliseconds(50), milliseconds(300)));
  }
  void ServerUp(const Event& event) {
    Server& server = servers_[event.index];
    server.version = static_cast<Version>(event.number);
    server.up = true;
    ++counts_[event.number];
    Reached(Edge::kFirstNew);
    if (counts_[0] == 0) Reached(Edge::kLastOld);
  }
  void Reached(Edge edge) {
    if (play_.fault == Fault::kNone || edge != play_.edge || edge_reached_) return;
    edge_reached_ = true;
    Push(now_ + play_.offset, Kind::kFault);
  }
  void InjectFault(const Event& event) {
    if (event.index == 1) {
      Push(now_ + play_.kills_every, Kind::kFault, 1);
      return KillAll();
    }
    switch (play_.fault) {
      case Fault::kNone:
        return;
      case Fault::kKillAll:
        return KillAll();
      case Fault::kFreezeOne:
        return Freeze();
      case Fault::kStoreAway:
        store_away_until_ = now_ + kFaultLasts;
        return;
      case Fault::kStoreRestored:
        restored_at_ = now_;
        return RestoreStore();
    }
  }
  void Freeze() { daemons_[Any(daemons_.size())].frozen_until = now_ + kFaultLasts; }
  void KillAll() {
    down_until_ = now_ + kRestartTime;
    for (std::size_t slot = 0; slot < streams_.size(); ++slot) {
      if (!streams_[slot].in_use) continue;
      if (!streams_[slot].began) --arrived_;
      streams_[slot].killed = true;
      Break(slot, streams_[slot].life,
            kRestartTime + Uniform(milliseconds(10), milliseconds(1'500)));
    }
    for (Daemon& daemon : daemons_) {
      const std::uint64_t process = daemon.process + 1;
      daemon = Daemon{};
      daemon.process = process;
      daemon.known_era = 0;
      daemon.started = down_until_;
    }
    Push(down_until_, Kind::kRestart);
  }
  void Restart() {
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon)
      Push(now_ + Uniform(Time{}, milliseconds(50)), Kind::kRefresh, daemon,
           daemons_[daemon].process);
  }

  Outcome Result() {
    Outcome outcome;
    outcome.arrived = arrived_;
    outcome.began = began_;
    outcome.take_ups = take_ups_;
    outcome.went_on = went_on_;
    outcome.joined = joined_;
    outcome.killed_take_ups = killed_take_ups_;
    outcome.killed_went_on = killed_went_on_;
    outcome.unknown = unknown_;
    outcome.implied_changes = implied_changes_;
    outcome.peak_writes = writes_.Peak(0);
    outcome.peak_reads = reads_.Peak(0);
    outcome.calm_writes = writes_.Mean(10, 30);
    outcome.calm_reads = reads_.Mean(10, 30);
    outcome.peak_bytes = bytes_.Peak(0);
    outcome.entries = most_entries_;
    if (added_.empty()) return outcome;
    std::sort(added_.begin(), added_.end());
    outcome.added_median = added_[added_.size() / 2];
    outcome.added_p99 = added_[added_.size() * 99 / 100];
    return outcome;
  }

  const Play play_;
  std::mt19937_64 random_;
  Time now_{}, end_{};
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;

  std::vector<Daemon> daemons_;
  std::vector<Server> servers_;
  std::vector<int> counts_;  ///< Ready servers by version.
  std::vector<Stream> streams_;
  std::vector<std::size_t> free_;
  StreamId next_id_ = 0;
  Time down_until_{};
  bool edge_reached_ = false;

  int era_ = 1;
  std::int64_t revision_ = 1;
  Time store_away_until_{}, restored_at_{-seconds(1'000)};
  std::optional<VersionRecord> record_;
  std::vector<std::pair<Time, std::optional<VersionRecord>>> record_history_;
  std::vector<std::pair<Time, std::vector<int>>> shares_;  ///< Way kHash: servers by version.
  std::unordered_map<StreamId, Entry> entries_;
  std::deque<StreamId> by_age_;
  std::vector<LateWrite> late_writes_;
  std::vector<RecordWrite> late_records_;
  CallRate writes_, reads_, bytes_;

  std::int64_t arrived_ = 0, began_ = 0, take_ups_ = 0, went_on_ = 0, joined_ = 0, unknown_ = 0;
  std::int64_t implied_changes_ = 0, killed_take_ups_ = 0, killed_went_on_ = 0;
  std::size_t most_entries_ = 0;
  std::vector<double> added_;
};

}  // namespace

void Outcome::Add(const Outcome& other) {
  arrived += other.arrived;
  began += other.began;
  take_ups += other.take_ups;
  went_on += other.went_on;
  joined += other.joined;
  killed_take_ups += other.killed_take_ups;
  killed_went_on += other.killed_went_on;
  unknown += other.unknown;
  implied_changes += other.implied_changes;
  peak_writes = std::max(peak_writes, other.peak_writes);
  peak_reads = std::max(peak_reads, other.peak_reads);
  calm_writes = std::max(calm_writes, other.calm_writes);
  calm_reads = std::max(calm_reads, other.calm_reads);
  peak_bytes = std::max(peak_bytes, other.peak_bytes);
  entries = std::max(entries, other.entries);
  added_median = std::max(added_median, other.added_median);
  added_p99 = std::max(added_p99, other.added_p99);
}

Outcome Run(const Play& play, std::uint64_t seed) { return Fleet(play, seed).Run(); }

}  // namespace moorfold::streams::model
