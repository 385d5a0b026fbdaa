#pragma once

// Small stand-ins for the review's scripts: the platform's store (the project's own StoreEmulator)
// with an operator and servers' entries, HTTP/1.1 over plain sockets, and a record of what was
// sent, answered and run.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the program's start.
double Now();
void SleepMs(double milliseconds);
/// Sleeps until Now() is at least that.
void SleepUntil(double at_ms);

/// Writes one line for each event to record.txt. Any thread.
class Record {
 public:
  explicit Record(const std::string& file);
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

struct Header {
  std::string name;
  std::string value;
};

/// A request or an answer.
struct Message {
  std::string start;  ///< First line.
  std::vector<Header> headers;
  std::string body;

  std::string Get(std::string_view name) const;
};

/// How reading ended.
enum class ReadEnd { kWhole, kClosed, kReset, kTimeout };

/// One connection. Not thread-safe.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return nothing if it does not come up.
  static std::unique_ptr<Connection> To(std::uint16_t port);
  /// @return whether all bytes were handed to the kernel.
  bool Write(std::string_view bytes);
  /// Reads the head, up to the empty line.
  ReadEnd ReadHead(Message& message, double until_ms);
  /// Reads a body with a length or in chunks; one with neither, if `answer`, up to the end of the
  /// connection.
  ReadEnd ReadBody(Message& message, bool answer, double until_ms);
  /// Reads some bytes and drops them. @return how many; 0: the connection has ended.
  std::size_t Skip(std::size_t most);
  int descriptor() const { return descriptor_; }

 private:
  ReadEnd ReadMore(double until_ms);

  int descriptor_;
  std::string buffer_;
};

/// Listens on a free loopback port; each connection is served on a thread of its own, which ends
/// with the process.
class Listener {
 public:
  /// @param receive_buffer of each connection, in bytes; 0: the system's.
  explicit Listener(int receive_buffer = 0);
  std::uint16_t port() const { return port_; }
  void Serve(std::function<void(Connection&)> serve);
  /// Closes this process's copy of the socket, after another process has taken it over.
  void CloseHere();

 private:
  int descriptor_ = -1;
  std::uint16_t port_ = 0;
};

struct ServerEntry {
  std::string id;
  std::string service;
  std::uint16_t port = 0;
  int slots = 6;
  /// More fields of its entry, each as `,"NAME":VALUE`; called on the platform's thread.
  std::function<std::string()> more = {};
};

/// The platform's store, the operator's configuration and the servers' entries. Has a thread of its
/// own.
class Platform {
 public:
  Platform(std::string configuration, std::vector<ServerEntry> servers);
  ~Platform();
  std::uint16_t store_port() const;
  /// The operator writes a configuration.
  void Configure(const std::string& configuration);
  /// The entry of that server goes after three heartbeats, as for one that crashed.
  void ServerCrashed(const std::string& id);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// One gateway, which run.sh starts: its settings as the template fills them for a machine of a
/// small site.
struct Gateway {
  std::string name;
  std::uint16_t front = 0;
  std::uint16_t ready = 0;
};

/// Writes FOLDER/NAME.yaml with free ports.
Gateway WriteSettings(const std::string& folder, const std::string& name, std::uint16_t store_port);
/// Waits until the gateway calls itself ready. @return whether it does within 20 s.
bool AwaitReady(const Gateway& gateway);

/// @return the HTTP status of an answer's first line; 0 if it is none.
int StatusOf(const Message& answer);

}  // namespace review
