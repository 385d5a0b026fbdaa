#include "quarantine/quarantine_record.h"

#include <algorithm>

#include "fleet/fleet_messages.h"

namespace moorfold {

namespace {

/// Between two writes; also after one that failed.
constexpr std::chrono::milliseconds kBetweenWrites{1'000};

}  // namespace

std::string QuarantineRecord::Summary(const QuarantineNotice& notice) {
  std::vector<std::string> rows;
  for (const CaseUpdate& news : notice.cases) {
    std::string row = ToString(news.fingerprint);
    for (const std::string& version : news.quarantined_versions) row += " " + version;
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
  held_ = value.empty() ? "" : Summary(DecodeMessage<QuarantineNotice>(value));
}

void QuarantineRecord::Write(const QuarantineNotice& wanted) {
  const std::string summary = Summary(wanted);
  if (calling_ || BootClock::now() < not_before_) return;
  if (must_read_) {
    Read();
    return;
  }
  if (summary == held_) return;
  Transaction transaction;
  transaction.comparisons.push_back({key_, revision_});
  if (wanted.cases.empty())
    transaction.operations.emplace_back(DeleteOperation{key_});
  else
    transaction.operations.emplace_back(PutOperation{key_, EncodeMessage(wanted), {}});
  calling_ = true;
  store_.Transact(
      std::move(transaction),
      [this, summary](const Outcome<TransactionResult>& result) { EndWrite(result, summary); });
}

void QuarantineRecord::EndWrite(const Outcome<TransactionResult>& result,
                                const std::string& summary) {
  calling_ = false;
  not_before_ = BootClock::now() + kBetweenWrites;
  if (result.ok() && result.value().succeeded) {
    held_ = summary;
    const StoreRevision written = result.value().revision;
    revision_ = summary.empty() ? StoreRevision{written.era, 0} : std::max(revision_, written);
    return;
  }
  must_read_ = true;
  NoteProblem(result.ok() ? "the entry has changed meanwhile" : result.failure().message);
}

void QuarantineRecord::Read() {
  calling_ = true;
  store_.Range({key_, ""}, [this](const Outcome<RangeResult>& result) { EndRead(result); });
}

void QuarantineRecord::EndRead(const Outcome<RangeResult>& result) {
  calling_ = false;
  if (!result.ok()) {
    not_before_ = BootClock::now() + kBetweenWrites;
    NoteProblem(result.failure().message);
    return;
  }
  must_read_ = false;
  revision_ = {result.value().revision.era, 0};
  held_.clear();
  if (result.value().entries.empty()) return;
  const KeyValue& entry = result.value().entries.front();
  revision_ = entry.mod_revision;
  try {
    const auto notice = DecodeMessage<QuarantineNotice>(entry.value);
    held_ = Summary(notice);
    heard_(notice);
  } catch (const std::exception& error) {  // Of another version: it is replaced.
    NoteProblem(error.what());
  }
}

void QuarantineRecord::NoteProblem(const std::string& problem) {
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kQuarantineNotStored)
                                     .Field(LogField::kKey, key_)
                                     .Field(LogField::kProblem, problem));
}

}  // namespace moorfold
