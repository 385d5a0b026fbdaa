#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace moorfold {

/// Splits a server-sent event stream into complete events, so that a client never receives part of
/// one. An event ends with an empty line. One object per stream; not thread-safe.
class EventSplitter {
 public:
  /// @return the unchanged bytes of all events that `bytes` completes; may be empty.
  std::string Take(std::string_view bytes) {
    // An event's end may have begun in earlier bytes.
    const std::size_t unsearched = pending_.size() - std::min(pending_.size(), kCrlfEnd.size() - 1);
    pending_.append(bytes);
    const std::size_t end = EndOfLastEvent(unsearched);
    std::string complete = pending_.substr(0, end);
    pending_.erase(0, end);
    UpdateLastId(complete);
    return complete;
  }
  /// @return the ID of the last complete event that has one, or an empty string.
  const std::string& last_id() const { return last_id_; }
  /// @return the bytes of an incomplete event.
  const std::string& pending() const { return pending_; }
  /// Discards the incomplete event, so that the stream can resume after the last complete one.
  void DropPending() { pending_.clear(); }

 private:
  static constexpr std::string_view kPlainEnd = "\n\n";
  static constexpr std::string_view kCrlfEnd = "\r\n\r\n";

  /// @return where the last complete event ends; 0 if none ends at or after `from`.
  std::size_t EndOfLastEvent(std::size_t from) const {
    const std::string_view text = std::string_view(pending_).substr(from);
    std::size_t end = 0;
    for (const std::string_view mark : {kPlainEnd, kCrlfEnd})
      if (const std::size_t at = text.rfind(mark); at != std::string_view::npos)
        end = std::max(end, from + at + mark.size());
    return end;
  }

  void UpdateLastId(std::string_view complete) {
    constexpr std::string_view kField = "id:";
    std::size_t at = complete.rfind("\nid:");
    if (at != std::string_view::npos)
      ++at;
    else if (complete.starts_with(kField))
      at = 0;
    else
      return;
    std::string_view id = complete.substr(at + kField.size());
    id = id.substr(0, id.find_first_of("\r\n"));
    if (id.starts_with(' ')) id.remove_prefix(1);
    last_id_ = std::string(id);
  }

  std::string pending_;
  std::string last_id_;
};

}  // namespace moorfold
