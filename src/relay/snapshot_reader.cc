#include "relay/snapshot_reader.h"

#include <algorithm>

namespace moorfold {

namespace {
/// A page takes a few milliseconds in transit; after this delay it is lost or the relay is slow.
constexpr std::chrono::milliseconds kRetryInterval{300};
}  // namespace

std::optional<ServersRequest> SnapshotReader::Due(Time now) {
  if (!running_) return std::nullopt;
  const bool open = asked_at_us_ || (declined_ && after_.empty());
  if (open && now - sent_at_ < kRetryInterval) return std::nullopt;
  sent_at_ = now;
  // A retry repeats the same request, so that the first answer of a slow relay still matches.
  if (!asked_at_us_) {
    asked_at_ = now;
    asked_at_us_ =
        std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
  }
  return ServersRequest{*asked_at_us_, after_};
}

bool SnapshotReader::Continues(const ServersPage& page, const std::string& from) const {
  if (relay_.empty()) return true;
  return from == relay_ && page.revision.era == revision_.era && page.revision >= revision_;
}

SnapshotReader::PageResult SnapshotReader::Take(const ServersPage& page, const std::string& from) {
  const bool is_requested_page =
      running_ && asked_at_us_ == page.asked_at_us && page.after == after_;
  if (!is_requested_page) return PageResult::kIgnored;
  if (!page.relays) {
    // Restarts from the first page after the retry interval: another relay may answer then.
    const Time sent_at = sent_at_;
    Begin();
    sent_at_ = sent_at;
    declined_ = true;
    return PageResult::kDeclined;
  }
  const bool endless = page.more && page.last <= page.after;
  if (endless || !Continues(page, from)) {
    Begin();
    return PageResult::kIgnored;
  }
  if (relay_.empty()) {
    relay_ = from;
    revision_ = page.revision;
    const std::chrono::microseconds age{std::max<std::int64_t>(0, page.age_us)};
    current_at_ = asked_at_ - age;
  }
  asked_at_us_.reset();
  declined_ = false;
  if (!page.more) {
    running_ = false;
    return PageResult::kLastPage;
  }
  after_ = page.last;
  return PageResult::kPage;
}

}  // namespace moorfold
