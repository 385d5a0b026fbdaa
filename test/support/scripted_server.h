#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "common/boot_clock.h"
#include "http/http_types.h"

namespace moorfold {

/// One connection of a scripted server, as its script sees it.
class ScriptedConnection {
 public:
  using tcp = boost::asio::ip::tcp;

  explicit ScriptedConnection(tcp::socket socket) : socket_(std::move(socket)) {}

  /// @return the head of the next request, or nothing when the caller has closed.
  std::string ReadHead() {
    boost::system::error_code error;
    const std::size_t length = boost::asio::read_until(socket_, buffer_, "\r\n\r\n", error);
    if (error) return {};
    std::string head(boost::asio::buffers_begin(buffer_.data()),
                     boost::asio::buffers_begin(buffer_.data()) + static_cast<long>(length));
    buffer_.consume(length);
    return head;
  }
  /// Reads `length` bytes of a body.
  std::string ReadBody(std::size_t length) {
    boost::system::error_code error;
    while (buffer_.size() < length && !error)
      boost::asio::read(socket_, buffer_, boost::asio::transfer_at_least(1), error);
    const std::size_t got = std::min(length, buffer_.size());
    std::string body(boost::asio::buffers_begin(buffer_.data()),
                     boost::asio::buffers_begin(buffer_.data()) + static_cast<long>(got));
    buffer_.consume(got);
    return body;
  }
  /// @return whether the caller still takes bytes.
  bool Write(const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
  }
  void Reset() {
    const std::lock_guard lock(closing_);
    boost::system::error_code ignored;
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }
  /// Sends no more; what the caller sends still arrives.
  void FinishWriting() {
    boost::system::error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
  }
  /// Waits until the caller closes. @return whether it did within `patience`.
  bool AwaitClose(std::chrono::milliseconds patience) {
    const auto give_up = BootClock::now() + patience;
    boost::system::error_code error;
    socket_.non_blocking(true);
    char byte = 0;
    while (BootClock::now() < give_up) {
      socket_.receive(boost::asio::buffer(&byte, 1), 0, error);
      if (error && error != boost::asio::error::would_block) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }
  /// Any thread.
  void Shutdown() {
    const std::lock_guard lock(closing_);
    if (socket_.is_open()) ::shutdown(socket_.native_handle(), SHUT_RDWR);
  }

 private:
  tcp::socket socket_;
  std::mutex closing_;  ///< Held where the socket is closed or another thread ends it.
  boost::asio::streambuf buffer_;
};

/// A server whose answers are given byte by byte: what a sound library never sends. Each connection
/// runs the script on a thread of its own.
class ScriptedServer {
 public:
  using tcp = boost::asio::ip::tcp;
  using Script = std::function<void(ScriptedConnection&)>;

  explicit ScriptedServer(Script script)
      : script_(std::move(script)),
        acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    endpoint_ = {"127.0.0.1", acceptor_.local_endpoint().port()};
    thread_ = std::thread([this] { Accept(); });
  }
  ~ScriptedServer() {
    stopping_ = true;
    boost::system::error_code ignored;
    tcp::socket knock(context_);  // Wakes the blocking accept.
    knock.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), endpoint_.port), ignored);
    thread_.join();
    for (const auto& connection : open_) connection->Shutdown();  // Ends scripts that still read.
    for (std::thread& running : scripts_) running.join();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  const Endpoint& endpoint() const { return endpoint_; }
  /// Takes no more connections, as of a process that has ended. Any thread.
  void StopListening() {
    stopping_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
  }
  int connections() const { return connections_; }

 private:
  void Accept() {
    while (!stopping_) {
      tcp::socket socket(context_);
      boost::system::error_code error;
      acceptor_.accept(socket, error);
      if (error || stopping_) continue;
      ++connections_;
      auto connection = std::make_shared<ScriptedConnection>(std::move(socket));
      open_.push_back(connection);
      scripts_.emplace_back([this, connection] {
        script_(*connection);
        connection->Shutdown();
      });
    }
  }

  Script script_;
  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  Endpoint endpoint_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::vector<std::shared_ptr<ScriptedConnection>> open_;
  std::vector<std::thread> scripts_;
  std::thread thread_;
};

}  // namespace moorfold
