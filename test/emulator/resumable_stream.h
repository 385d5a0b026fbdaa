#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_client.h"
#include "version_checker.h"

namespace moorfold {

/// The path of a stream that may be resumed; it tells the servers the stream's name and length.
struct ResumablePath {
  std::string name;
  int events = 0;

  std::string Target() const;
  /// @return nothing for any other path.
  static std::optional<ResumablePath> Parse(std::string_view target);
};

/// @return an event that names the server, its software version and the stream.
std::string MakeStreamEvent(int number, const std::string& server, const std::string& version,
                            const std::string& stream);

/// What became of one try of a client.
struct StreamTry {
  unsigned status = 0;  ///< 0: no answer.
  int events = 0;       ///< That it brought.
  bool complete = false;
};

/// A stream as its client has it: the events of all its tries. After the first event each try takes
/// the stream up. One thread; the checker outlives it.
class ResumableStream {
 public:
  ResumableStream(ResumablePath path, std::string model, VersionChecker& checker)
      : path_(std::move(path)), model_(std::move(model)), checker_(checker) {}

  /// Sends the request to `gateway` and reads until the answer ends, `deadline` passes or
  /// `leave_after` events have come (0: reads all). Tries follow one another.
  /// @param gateway_number for the checker.
  Awaitable<StreamTry> Try(HttpClient& client, Endpoint gateway, int gateway_number,
                           Deadline deadline, int leave_after = 0);
  /// From now on take-ups name that attempt; nothing: they name none.
  void SetResumes(std::optional<std::string> attempt_id) { resumes_ = std::move(attempt_id); }
  bool begun() const { return last_event_ > 0; }
  bool complete() const { return last_event_ == path_.events; }
  /// @return of the server that sent the first event; empty before.
  const std::string& version() const { return version_; }
  const std::string& name() const { return path_.name; }
  /// @return the id of the latest try.
  std::string attempt_id() const { return path_.name + "-" + std::to_string(tries_); }
  int tries() const { return tries_; }

 private:
  HttpRequest MakeRequest(Deadline deadline) const;
  /// Takes the complete events from `pending`. @return how many there were.
  int TakeEvents(std::string& pending, int gateway_number);

  ResumablePath path_;
  std::string model_;
  VersionChecker& checker_;
  std::optional<std::string> resumes_;
  std::string version_;
  int last_event_ = 0;
  int tries_ = 0;
};

}  // namespace moorfold
