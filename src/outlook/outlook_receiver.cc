#include "outlook/outlook_receiver.h"

#include <algorithm>

namespace moorfold::outlook {

namespace {
using std::chrono::milliseconds;
/// Longer than any client's retry time; a later time would block a model for no reason.
constexpr milliseconds kMaxReadyIn = std::chrono::minutes(10);
}  // namespace

bool IsAcceptedSender(const std::string& from, const std::string& leader,
                      const std::vector<std::string>& relays) {
  if (from.empty()) return false;
  return from == leader || std::find(relays.begin(), relays.end(), from) != relays.end();
}

std::size_t ApplyNotice(const LoadOutlookNotice& notice, SteadyTime now,
                        ExpectedModelLoads& expected) {
  std::size_t applied = 0;
  for (const LoadOutlookNotice::Entry& entry : notice.entries) {
    if (applied >= LoadOutlookNotice::kMaxEntries) break;
    if (entry.model.empty() || entry.ready_in_ms < 0 || entry.ready_in_ms > kMaxReadyIn.count())
      continue;
    ++applied;
    expected.NoteOutlook({entry.model, ""}, {now, now + milliseconds(entry.ready_in_ms), true});
  }
  return notice.entries.size() - applied;
}

}  // namespace moorfold::outlook
