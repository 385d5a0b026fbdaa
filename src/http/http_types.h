#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

template <typename T>
using Awaitable = boost::asio::awaitable<T>;

using Deadline = BootClock::time_point;

/// An IP number and a port. No host names: nothing here resolves them.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

inline std::string ToString(const Endpoint& endpoint) {
  return endpoint.address + ":" + std::to_string(endpoint.port);
}

/// @param text "ADDRESS:PORT".
/// @throws std::invalid_argument naming the expected form.
Endpoint ParseEndpoint(const std::string& text);

struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

/// @return the value of the first header of that name (case-insensitive), or an empty string.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
};

/// How far an exchange got when it failed: it decides what may be said about the request.
enum class HttpStage : std::uint8_t {
  kConnecting,      ///< No byte was sent: the request was not run.
  kSending,         ///< Some bytes may have arrived: it may have run.
  kAwaitingAnswer,  ///< All was sent, no answer came: it may have run.
  kReadingAnswer,   ///< The answer broke off.
};

class HttpError : public std::runtime_error {
 public:
  HttpError(HttpStage stage, bool timed_out, const std::string& what, bool peer_ended = false)
      : std::runtime_error(what), stage_(stage), timed_out_(timed_out), peer_ended_(peer_ended) {}
  HttpStage stage() const { return stage_; }
  bool timed_out() const { return timed_out_; }
  /// @return whether the other side closed or reset the connection before its answer was whole, or
  /// (kConnecting) nobody listens there.
  bool peer_ended() const { return peer_ended_; }

 private:
  HttpStage stage_;
  bool timed_out_;
  bool peer_ended_;
};

}  // namespace moorfold
