#include "relay/change_answer.h"

#include <algorithm>

namespace moorfold {

std::size_t EncodedBytes(const ServerChange& change) {
  constexpr std::size_t kFixedBytes = 40;  ///< Revision, incarnation, slots, port, flags, counts.
  constexpr std::size_t kLengthBytes = 8;  ///< Length prefix of each string and list.
  const auto text = [](const std::string& value) { return kLengthBytes + value.size(); };
  const ServerRecord& record = change.record;
  std::size_t bytes = kFixedBytes + text(record.id) + text(record.service) +
                      text(record.endpoint.address) + text(record.zone) +
                      text(record.software_version) + kLengthBytes;
  for (const LoadedModel& held : record.models) {
    bytes += text(held.name) + kLengthBytes;
    for (const std::string& adapter : held.adapters) bytes += text(adapter);
  }
  return bytes;
}

namespace {

ServerChange MakeServerChange(const ChangeLog::Change& change, const RecordFinder& find_record) {
  const ServerRecord* record = change.gone ? nullptr : find_record(change.server_id);
  ServerChange server_change{change.revision, record == nullptr, {}};
  if (record == nullptr)
    server_change.record.id = change.server_id;
  else
    server_change.record = *record;
  return server_change;
}

/// Removes trailing changes of revision `next`, so that no revision is included only in part: one
/// transaction may change several servers.
void DropPartialRevision(std::vector<ServerChange>& servers, StoreRevision next) {
  while (!servers.empty() && servers.back().revision == next) servers.pop_back();
}

}  // namespace

bool EqualForRouting(const ServerRecord& left, const ServerRecord& right) {
  return left.incarnation == right.incarnation && left.service == right.service &&
         left.endpoint == right.endpoint && left.zone == right.zone &&
         left.software_version == right.software_version && left.slots == right.slots &&
         left.draining == right.draining && left.models == right.models;
}

void FillChanges(ChangeAnswer& answer, const ChangeLog& changes, const RecordFinder& find_record,
                 bool parts) {
  answer.to_revision = changes.newest();
  answer.gap = !changes.CoversSince(answer.from_revision);
  if (answer.gap) return;
  std::size_t bytes = 0;
  for (const ChangeLog::Change& change : changes.Since(answer.from_revision)) {
    ServerChange server_change = MakeServerChange(change, find_record);
    bytes += EncodedBytes(server_change);
    if (bytes > kMaxServersBytes) {
      DropPartialRevision(answer.servers, change.revision);
      answer.partial = parts && !answer.servers.empty();
      answer.gap = !answer.partial;
      break;
    }
    answer.servers.push_back(std::move(server_change));
  }
  if (answer.partial) {
    answer.to_revision = std::min(answer.to_revision, answer.servers.back().revision);
    // The log could not supply the next part from this revision.
    if (!changes.CoversSince(answer.to_revision)) answer.gap = true;
  }
  answer.partial = answer.partial && !answer.gap;
  if (answer.gap) answer.servers.clear();
}

}  // namespace moorfold
