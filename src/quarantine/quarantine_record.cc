#include "quarantine/quarantine_record.h"

#include <algorithm>

#include "fleet/fleet_messages.h"

namespace moorfold {

namespace {

/// Minimum time between two writes; also the delay after a failed call.
constexpr std::chrono::milliseconds kMinCallInterval{1'000};

}  // namespace

std::string QuarantineRecord::Summary(const QuarantineNotice& notice) {
  std::vector<std::string> rows;
  for (const CaseUpdate& update : notice.cases) {
    std::string row = ToString(update.fingerprint);
    for (const std::string& version : update.quarantined_versions) row += " " + version;
    rows.push_back(row);
  }
  std::sort(rows.begin(), rows.end());
  std::string summary;
  for (const std::string& row : rows) summary += row + "\n";
  return summary;
}

void QuarantineRecord::Seen(const std::string& value, StoreRevision revision) {
  if (revision < revision_) return;
  revision_ = value.empty() ? StoreRevision{revision.era, 0} : revision;
  stored_summary_ = value.empty() ? "" : Summary(DecodeMessage<QuarantineNotice>(value));
}

void QuarantineRecord::Write(const QuarantineNotice& desired) {
  const std::string summary = Summary(desired);
  if (call_in_flight_ || BootClock::now() < next_call_at_) return;
  if (needs_read_) {
    Read();
    return;
  }
  if (summary == stored_summary_) return;
  Transaction transaction;
  transaction.comparisons.push_back({key_, revision_});
  if (desired.cases.empty())
    transaction.operations.emplace_back(DeleteOperation{key_});
  else
    transaction.operations.emplace_back(PutOperation{key_, EncodeMessage(desired), {}});
  call_in_flight_ = true;
  store_.Transact(
      std::move(transaction),
      [this, summary](const Outcome<TransactionResult>& result) { FinishWrite(result, summary); });
}

void QuarantineRecord::FinishWrite(const Outcome<TransactionResult>& result,
                                   const std::string& summary) {
  call_in_flight_ = false;
  next_call_at_ = BootClock::now() + kMinCallInterval;
  if (result.ok() && result.value().succeeded) {
    stored_summary_ = summary;
    const StoreRevision written = result.value().revision;
    revision_ = summary.empty() ? StoreRevision{written.era, 0} : std::max(revision_, written);
    return;
  }
  needs_read_ = true;
  LogProblem(result.ok() ? "the entry was changed by another writer since the last read"
                         : result.failure().message);
}

void QuarantineRecord::Read() {
  call_in_flight_ = true;
  store_.Range({key_, ""}, [this](const Outcome<RangeResult>& result) { FinishRead(result); });
}

void QuarantineRecord::FinishRead(const Outcome<RangeResult>& result) {
  call_in_flight_ = false;
  if (!result.ok()) {
    next_call_at_ = BootClock::now() + kMinCallInterval;
    LogProblem(result.failure().message);
    return;
  }
  needs_read_ = false;
  revision_ = {result.value().revision.era, 0};
  stored_summary_.clear();
  if (result.value().entries.empty()) return;
  const KeyValue& entry = result.value().entries.front();
  revision_ = entry.mod_revision;
  try {
    const auto notice = DecodeMessage<QuarantineNotice>(entry.value);
    stored_summary_ = Summary(notice);
    on_read_(notice);
  } catch (const std::exception&
               error) {  // Written by an incompatible version; the next write replaces it.
    LogProblem(error.what());
  }
}

void QuarantineRecord::LogProblem(const std::string& problem) {
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kQuarantineNotStored)
                                     .Field(LogField::kKey, key_)
                                     .Field(LogField::kProblem, problem));
}

}  // namespace moorfold
