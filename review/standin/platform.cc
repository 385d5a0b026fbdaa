#include "platform.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <condition_variable>
#include <cstring>
#include <iomanip>
#include <set>
#include <sstream>
#include <stdexcept>

#include "common/async_signal.h"
#include "common/closable_context.h"
#include "store_emulator.h"

namespace review {

namespace {

constexpr double kHeartbeatMs = 1'200;  // heartbeatMs of the pages.
const Clock::time_point kBegan = Clock::now();

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

bool SameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

}  // namespace

double Now() { return std::chrono::duration<double, std::milli>(Clock::now() - kBegan).count(); }

void SleepMs(double milliseconds) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(milliseconds));
}

void SleepUntil(double at_ms) {
  if (at_ms > Now()) SleepMs(at_ms - Now());
}

Record::Record(const std::string& file) : file_(file) {}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  file_ << std::fixed << std::setprecision(1) << Now() << " " << text << std::endl;
}

std::string Message::Get(std::string_view name) const {
  for (const Header& header : headers)
    if (SameName(header.name, name)) return header.value;
  return {};
}

Connection::~Connection() { ::close(descriptor_); }

std::unique_ptr<Connection> Connection::To(std::uint16_t port) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(descriptor);
    return nullptr;
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(descriptor);
}

bool Connection::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

ReadEnd Connection::ReadMore(double until_ms) {
  pollfd wanted{descriptor_, POLLIN, 0};
  const int left = std::max(0, static_cast<int>(until_ms - Now()));
  if (::poll(&wanted, 1, left) <= 0) return ReadEnd::kTimeout;
  char bytes[16 * 1024];
  const ssize_t got = ::recv(descriptor_, bytes, sizeof(bytes), 0);
  if (got == 0) return ReadEnd::kClosed;
  if (got < 0) return ReadEnd::kReset;
  buffer_.append(bytes, static_cast<std::size_t>(got));
  return ReadEnd::kWhole;
}

ReadEnd Connection::ReadHead(Message& message, double until_ms) {
  message = {};
  while (buffer_.find("\r\n\r\n") == std::string::npos)
    if (const ReadEnd end = ReadMore(until_ms); end != ReadEnd::kWhole) return end;
  const std::size_t length = buffer_.find("\r\n\r\n");
  std::istringstream lines(buffer_.substr(0, length + 2));
  buffer_.erase(0, length + 4);
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (message.start.empty()) {
      message.start = line;
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.push_back(
        {line.substr(0, colon), value == std::string::npos ? "" : line.substr(value)});
  }
  return ReadEnd::kWhole;
}

ReadEnd Connection::ReadBody(Message& message, bool answer, double until_ms) {
  const std::string length = message.Get("Content-Length");
  if (!length.empty()) {
    const std::size_t wanted = std::stoul(length);
    while (buffer_.size() < wanted)
      if (const ReadEnd end = ReadMore(until_ms); end != ReadEnd::kWhole) return end;
    message.body = buffer_.substr(0, wanted);
    buffer_.erase(0, wanted);
    return ReadEnd::kWhole;
  }
  if (SameName(message.Get("Transfer-Encoding"), "chunked")) {
    while (true) {
      while (buffer_.find("\r\n") == std::string::npos)
        if (const ReadEnd end = ReadMore(until_ms); end != ReadEnd::kWhole) return end;
      const std::size_t line = buffer_.find("\r\n");
      const std::size_t size = std::stoul(buffer_.substr(0, line), nullptr, 16);
      while (buffer_.size() < line + 2 + size + 2)
        if (const ReadEnd end = ReadMore(until_ms); end != ReadEnd::kWhole) return end;
      message.body += buffer_.substr(line + 2, size);
      buffer_.erase(0, line + 2 + size + 2);
      if (size == 0) return ReadEnd::kWhole;
    }
  }
  if (!answer) return ReadEnd::kWhole;
  while (true) {
    const ReadEnd end = ReadMore(until_ms);
    message.body += std::exchange(buffer_, "");
    if (end == ReadEnd::kClosed) return ReadEnd::kWhole;
    if (end != ReadEnd::kWhole) return end;
  }
}

std::size_t Connection::Skip(std::size_t most) {
  if (!buffer_.empty()) {
    const std::size_t dropped = std::min(most, buffer_.size());
    buffer_.erase(0, dropped);
    return dropped;
  }
  std::string bytes(most, '\0');
  const ssize_t got = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  return got <= 0 ? 0 : static_cast<std::size_t>(got);
}

Listener::Listener(int receive_buffer) {
  descriptor_ = ::socket(AF_INET, SOCK_STREAM, 0);
  if (receive_buffer > 0)
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  sockaddr_in address = Loopback(0);
  socklen_t length = sizeof(address);
  if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), length) != 0 ||
      ::listen(descriptor_, 256) != 0 ||
      ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length) != 0)
    throw std::runtime_error("cannot listen");
  port_ = ntohs(address.sin_port);
}

void Listener::Serve(std::function<void(Connection&)> serve) {
  std::thread([descriptor = descriptor_, serve = std::move(serve)] {
    while (true) {
      const int accepted = ::accept(descriptor, nullptr, nullptr);
      if (accepted < 0) continue;
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([accepted, serve] {
        Connection connection(accepted);
        serve(connection);
      }).detach();
    }
  }).detach();
}

void Listener::CloseHere() {
  ::close(descriptor_);
  descriptor_ = -1;
}

struct Platform::Impl {
  Impl(std::string text, std::vector<ServerEntry> entries)
      : context(1),
        store(context, 1),
        configuration(std::move(text)),
        servers(std::move(entries)) {}

  std::string EntryOf(const ServerEntry& server) {
    return "{\"service\":\"" + server.service +
           "\",\"address\":\"127.0.0.1:" + std::to_string(server.port) +
           "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" + std::to_string(server.slots) +
           ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" + std::to_string(++beats) +
           (server.more ? server.more() : "") + "}";
  }

  moorfold::Awaitable<void> Beat() {
    while (true) {
      for (const ServerEntry& server : servers)
        if (!crashed.contains(server.id)) store.Put("servers/" + server.id, EntryOf(server));
      co_await moorfold::Sleep(std::chrono::milliseconds(static_cast<int>(kHeartbeatMs)));
    }
  }

  moorfold::Awaitable<void> LetLapse(std::string id) {
    co_await moorfold::Sleep(std::chrono::milliseconds(static_cast<int>(3 * kHeartbeatMs)));
    store.Remove("servers/" + id);
  }

  moorfold::ClosableContext context;
  moorfold::StoreEmulator store;
  std::string configuration;
  std::vector<ServerEntry> servers;
  std::set<std::string> crashed;
  std::int64_t beats = 0;
  std::thread thread;
};

Platform::Platform(std::string configuration, std::vector<ServerEntry> servers)
    : impl_(std::make_unique<Impl>(std::move(configuration), std::move(servers))) {
  ::signal(SIGPIPE, SIG_IGN);
  impl_->store.Start();
  impl_->store.Put("op/config", impl_->configuration);
  boost::asio::co_spawn(impl_->context, impl_->Beat(), boost::asio::detached);
  impl_->thread = std::thread([this] { impl_->context.run(); });
}

Platform::~Platform() {
  impl_->context.stop();
  impl_->thread.join();
  impl_->context.DestroyHandlers();
}

std::uint16_t Platform::store_port() const { return impl_->store.endpoint().port; }

void Platform::Configure(const std::string& configuration) {
  boost::asio::post(impl_->context,
                    [this, configuration] { impl_->store.Put("op/config", configuration); });
}

void Platform::ServerCrashed(const std::string& id) {
  boost::asio::post(impl_->context, [this, id] {
    impl_->crashed.insert(id);
    boost::asio::co_spawn(impl_->context, impl_->LetLapse(id), boost::asio::detached);
  });
}

namespace {

/// @return a port that is free for TCP and UDP now, below those that the kernel gives to
/// connections; another one each time.
std::uint16_t FreePort() {
  constexpr std::uint16_t kFirst = 20'000;
  constexpr std::uint16_t kCount = 12'000;
  static std::uint16_t next = static_cast<std::uint16_t>(::getpid() * 37 % kCount);
  for (int tried = 0; tried < kCount; ++tried) {
    const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    const sockaddr_in address = Loopback(port);
    const int stream = ::socket(AF_INET, SOCK_STREAM, 0);
    const int datagram = ::socket(AF_INET, SOCK_DGRAM, 0);
    const auto* plain = reinterpret_cast<const sockaddr*>(&address);
    const bool free = ::bind(stream, plain, sizeof(address)) == 0 &&
                      ::bind(datagram, plain, sizeof(address)) == 0;
    ::close(stream);
    ::close(datagram);
    if (free) return port;
  }
  throw std::runtime_error("no free port");
}

}  // namespace

Gateway WriteSettings(const std::string& folder, const std::string& name,
                      std::uint16_t store_port) {
  const Gateway gateway{name, FreePort(), FreePort()};
  const std::string host = "127.0.0.1:";
  std::ofstream file(folder + "/" + name + ".yaml");
  file << "name: \"" << name << "\"\nzone: \"z\"\nlisten: \"" << host << gateway.front
       << "\"\nreadiness: \"" << host << gateway.ready << "\"\npeer: \"" << host << FreePort()
       << "\"\nstore: \"" << host << store_port
       << "\"\nretry_window: 10s\nretry_ratio: 0.2\nretry_minimum: 54\norder_handover: 3000ms"
          "\nload_window: 5s\ndrain_timeout: 8s\nstaleness_bound: 2000ms"
          "\nconfiguration_bound: 2000ms\ncpu_share: 0.25\nlink_mbps: 1000.0\nmemory_mb: 260"
          "\nmax_descriptors: 4100\n";
  return gateway;
}

bool AwaitReady(const Gateway& gateway) {
  const double until = Now() + 20'000;
  while (Now() < until) {
    if (auto connection = Connection::To(gateway.ready)) {
      Message answer;
      connection->Write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (connection->ReadHead(answer, Now() + 1'000) == ReadEnd::kWhole && StatusOf(answer) == 200)
        return true;
    }
    SleepMs(100);
  }
  return false;
}

int StatusOf(const Message& answer) {
  return answer.start.starts_with("HTTP/1.1 ") && answer.start.size() >= 12
             ? std::atoi(answer.start.c_str() + 9)
             : 0;
}

}  // namespace review
