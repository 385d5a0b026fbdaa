#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace moorfold {

/// Cuts a stream of events into whole events, so that a caller never gets part of one. An event
/// ends with an empty line. One stream, one thread.
class EventSplitter {
 public:
  /// @return the whole events that `bytes` completes, as they came; may be empty.
  std::string Take(std::string_view bytes) {
    pending_.append(bytes);
    const std::size_t end = LastEventEnd();
    std::string whole = pending_.substr(0, end);
    pending_.erase(0, end);
    NoteLastId(whole);
    return whole;
  }
  /// @return the id of the last whole event, or an empty text.
  const std::string& last_id() const { return last_id_; }
  /// @return bytes of an event that has not ended.
  const std::string& pending() const { return pending_; }
  /// Forgets the event that has not ended: the stream goes on from the last whole one.
  void DropPending() { pending_.clear(); }

 private:
  std::size_t LastEventEnd() const {
    const std::size_t plain = pending_.rfind("\n\n");
    const std::size_t crlf = pending_.rfind("\r\n\r\n");
    std::size_t end = plain == std::string::npos ? 0 : plain + 2;
    if (crlf != std::string::npos) end = std::max(end, crlf + 4);
    return end;
  }

  void NoteLastId(std::string_view whole) {
    constexpr std::string_view kField = "id:";
    std::size_t at = whole.rfind("\nid:");
    if (at != std::string_view::npos)
      ++at;
    else if (whole.starts_with(kField))
      at = 0;
    else
      return;
    std::string_view id = whole.substr(at + kField.size());
    id = id.substr(0, id.find_first_of("\r\n"));
    if (id.starts_with(' ')) id.remove_prefix(1);
    last_id_ = std::string(id);
  }

  std::string pending_;
  std::string last_id_;
};

}  // namespace moorfold
