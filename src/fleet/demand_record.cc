#include "fleet/demand_record.h"

#include "fleet/fleet_messages.h"

namespace moorfold {

namespace {

/// Between two writes. The usual demand is an average over 20 s: a quarter of that old, it still
/// tells what is asked for. Twelve calls a minute, for the whole fleet.
constexpr std::chrono::seconds kBetweenWrites{5};
/// After a read that failed.
constexpr std::chrono::milliseconds kReadPause{500};

}  // namespace

void DemandRecord::Read(ReadHandler done) {
  if (reading_ || BootClock::now() < next_read_) return;
  reading_ = true;
  store_.Range({key_, ""}, [this, done](const Outcome<RangeResult>& result) {
    reading_ = false;
    if (!result.ok()) {
      next_read_ = BootClock::now() + kReadPause;
      NoteProblem(result.failure().message);
      return;
    }
    UsualDemand demand;
    try {
      if (!result.value().entries.empty())
        demand = DecodeMessage<UsualDemand>(result.value().entries.front().value);
    } catch (const std::exception& error) {  // Of another version: it is replaced.
      NoteProblem(error.what());
    }
    done(demand);
  });
}

void DemandRecord::Write(const std::function<UsualDemand()>& demand) {
  if (writing_ || BootClock::now() < next_write_) return;
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{key_, EncodeMessage(demand()), 0});
  writing_ = true;
  store_.Transact(std::move(transaction), [this](const Outcome<TransactionResult>& result) {
    writing_ = false;
    next_write_ = BootClock::now() + kBetweenWrites;
    if (!result.ok()) NoteProblem(result.failure().message);
  });
}

void DemandRecord::NoteProblem(const std::string& problem) {
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kDemandNotStored)
                                     .Field(LogField::kKey, key_)
                                     .Field(LogField::kProblem, problem));
}

}  // namespace moorfold
