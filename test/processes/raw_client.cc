#include "raw_client.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>

namespace moorfold {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

milliseconds Remaining(Clock::time_point end) {
  return std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(end - Clock::now()));
}

/// @return whether `response` holds a whole one with a length or in chunks.
bool IsWhole(const std::string& response) {
  const std::size_t head = response.find("\r\n\r\n");
  if (head == std::string::npos) return false;
  constexpr std::size_t kSeparator = 4;
  const std::size_t body = response.size() - head - kSeparator;
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t length = response.find(kLength);
  if (length != std::string::npos && length < head)
    return body >= std::strtoull(response.c_str() + length + kLength.size(), nullptr, 10);
  return response.ends_with("0\r\n\r\n");
}

}  // namespace

RawClient::RawClient(const Endpoint& to) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.port);
  ::inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
  descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (::connect(descriptor_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
    return;
  constexpr milliseconds kPatience{3'000};
  pollfd waits{descriptor_, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof(error);
  if (errno != EINPROGRESS || ::poll(&waits, 1, static_cast<int>(kPatience.count())) != 1 ||
      ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    Close();
}

void RawClient::Close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

std::size_t RawClient::SendSome(std::string_view bytes) {
  if (!open()) return 0;
  const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  if (sent >= 0) return static_cast<std::size_t>(sent);
  if (errno != EAGAIN) Close();
  return 0;
}

bool RawClient::SendAll(std::string_view bytes, milliseconds patience) {
  const auto end = Clock::now() + patience;
  while (open() && !bytes.empty() && Clock::now() < end) {
    bytes.remove_prefix(SendSome(bytes));
    pollfd waits{descriptor_, POLLOUT, 0};
    if (open() && !bytes.empty()) ::poll(&waits, 1, static_cast<int>(Remaining(end).count()));
  }
  return bytes.empty();
}

bool RawClient::ReceiveSome(std::string& bytes, milliseconds patience) {
  if (!open()) return false;
  pollfd waits{descriptor_, POLLIN, 0};
  if (::poll(&waits, 1, static_cast<int>(patience.count())) != 1) return false;
  std::array<char, 16 * 1024> piece{};
  const ssize_t got = ::recv(descriptor_, piece.data(), piece.size(), 0);
  if (got <= 0) {
    Close();
    return false;
  }
  bytes.append(piece.data(), static_cast<std::size_t>(got));
  return true;
}

std::size_t RawClient::Unacknowledged() const {
  int bytes = 0;
  return open() && ::ioctl(descriptor_, SIOCOUTQ, &bytes) == 0 ? static_cast<std::size_t>(bytes)
                                                               : 0;
}

void RawClient::Discard() {
  std::string bytes;
  while (ReceiveSome(bytes, milliseconds(0))) bytes.clear();
}

std::string RawClient::ReadResponse(milliseconds patience) {
  const auto end = Clock::now() + patience;
  std::string response;
  while (!IsWhole(response))
    if (!ReceiveSome(response, Remaining(end))) return {};
  return response;
}

std::string RawClient::ReadToEnd(milliseconds patience) {
  const auto end = Clock::now() + patience;
  std::string bytes;
  while (ReceiveSome(bytes, Remaining(end))) {
  }
  return bytes;
}

int RawClient::StatusOfGet(const Endpoint& to, const std::string& target) {
  RawClient client(to);
  constexpr milliseconds kPatience{3'000};
  if (!client.SendAll("GET " + target + " HTTP/1.1\r\nHost: any\r\n\r\n", kPatience)) return 0;
  return StatusOf(client.ReadResponse(kPatience));
}

int RawClient::StatusOf(std::string_view response) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  if (!response.starts_with(kVersion)) return 0;
  return std::atoi(std::string(response.substr(kVersion.size(), 3)).c_str());
}

}  // namespace moorfold
