#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "common/boot_clock.h"
#include "http/http_types.h"

namespace moorfold {

/// Why a connection to a server was given up from this side.
enum class CancelReason : std::uint8_t { kNone, kTimeLimit, kCallerLeft };

/// One connection to a server, used for one request at a time. A request's body is sent while the
/// answer is read, since a server may answer before it has read everything. One thread.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// @param socket_buffer_bytes that the kernel is asked to hold in each direction; 0: as it likes.
  UpstreamConnection(boost::asio::io_context& context, Endpoint endpoint,
                     std::size_t socket_buffer_bytes = 0);
  ~UpstreamConnection();
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  /// @throws HttpError (kConnecting).
  Awaitable<void> Connect(Deadline deadline);
  /// Begins to send `request`; its framing headers are set here, all others are sent as given.
  /// @param body stays valid until the connection is done with it: it is kept by the owner.
  void BeginSend(const HttpRequest& head, std::shared_ptr<const std::string> body);
  /// Reads the head of the next answer.
  /// @throws HttpError (kSending when nothing can have been answered, else kAwaitingAnswer).
  Awaitable<void> ReadHead();
  /// @return whether the head of an answer to the request that was sent last has been read.
  bool HasHead() const;
  unsigned status() const;
  HttpHeaders headers() const;
  /// @return the next bytes of the body; empty at its end.
  /// @throws HttpError (kReadingAnswer) when the answer breaks off.
  Awaitable<std::string> ReadSome();
  /// Reads the rest of the body, or until `enough` bytes of it, with the framing of chunks, have
  /// come.
  /// @throws HttpError (kReadingAnswer).
  Awaitable<std::string> ReadUpTo(std::size_t enough);
  /// Drops the rest of the body.
  /// @return whether it ended within `most_bytes` and `longest`; if not, the connection is of no
  /// use any more.
  Awaitable<bool> Discard(std::size_t most_bytes, std::chrono::milliseconds longest);
  /// @return whether the whole body has been read.
  bool Complete() const;

  /// Ends whatever is under way with an error; any later call does the same.
  void Cancel(CancelReason reason);
  CancelReason cancelled() const;
  /// Records that the server refused the request, so that the request may be sent again. It must
  /// not be sent over this connection: the refusal could come a second time there and would be
  /// taken for the answer to the later sending, which has the same ID.
  void RecordRefused(std::string_view request_id);
  /// @return whether RecordRefused was called for that ID, or, rarely, for another one.
  bool HasRefused(std::string_view request_id) const;
  /// @return whether another request may be sent: the answer was whole, nothing is left over, the
  /// whole request was sent, neither side wants to close, and the refused requests are not too many
  /// to be remembered.
  bool Reusable() const;
  /// @return whether nothing has come and the peer has not closed, as far as can be seen.
  bool Idle();
  const Endpoint& endpoint() const;
  /// @return how long it rested before it was taken up again; 0 for a fresh one.
  std::chrono::milliseconds rested() const;
  void set_rested(std::chrono::milliseconds rested);
  /// @return a number that no other connection of this process has; from 1.
  std::uint64_t number() const;
  /// @return requests that it carried before the one that was sent last.
  std::uint32_t carried() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};
using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

/// Connections that rest between requests, by the server's id. One thread.
class UpstreamPool {
 public:
  /// @return the connection to that server that was used last of those that rested no longer than
  /// `longest_rest`, show no sign of an end and have not refused the request; or null.
  UpstreamConnectionPtr Take(const std::string& server_id, std::string_view request_id,
                             std::chrono::milliseconds longest_rest);
  void Give(const std::string& server_id, UpstreamConnectionPtr connection,
            std::chrono::milliseconds keep);
  void Drop(const std::string& server_id) { idle_.erase(server_id); }
  /// Closes connections that have rested too long.
  void Sweep();

 private:
  struct Resting {
    UpstreamConnectionPtr connection;
    BootClock::time_point since;
    BootClock::time_point until;
  };
  std::map<std::string, std::vector<Resting>> idle_;
};

}  // namespace moorfold
