#pragma once

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include "common/closable_context.h"
#include "emulated_platform.h"
#include "free_ports.h"

namespace moorfold {

/// Limits of the machine on which a gateway under test runs.
struct MachineLimits {
  std::uint32_t memory_mb = 0;
  std::uint32_t descriptors = 0;
};

/// The emulated platform on a thread of its own, for processes under test.
class PlatformThread {
 public:
  explicit PlatformThread(const PlatformOptions& options = {});
  ~PlatformThread();
  PlatformThread(const PlatformThread&) = delete;
  PlatformThread& operator=(const PlatformThread&) = delete;

  Endpoint store() const { return platform_.store_for(0); }
  /// A server that is not the platform's own joins a service and stays.
  void AddServer(const std::string& id, const std::string& service, const Endpoint& address);

 private:
  ClosableContext context_;
  EmulatedPlatform platform_;
  std::thread thread_;
};

/// One gateway as a process of its own, with samples of what it uses.
class GatewayProcess {
 public:
  /// Starts the process and waits until it is ready.
  /// @param more lines for the settings file.
  /// @throws std::runtime_error if it does not become ready.
  GatewayProcess(const Endpoint& store, MachineLimits limits, const std::string& more = "");
  /// Kills the process.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  Endpoint front() const { return front_; }
  Endpoint peer() const { return peer_; }
  Endpoint readiness() const { return readiness_; }
  /// From now on, bytes that came from that port count as unread, too.
  void WatchServer(std::uint16_t port) { server_port_ = port; }
  void Terminate() const;
  bool Lives();
  /// @return whether the process ends within the time.
  bool AwaitEnd(std::chrono::milliseconds patience);
  /// @return the most memory seen so far, in bytes: resident, and received but unread.
  std::uint64_t peak_memory() const { return peak_memory_; }
  std::uint64_t peak_unread() const { return peak_unread_; }
  /// @return the most open descriptors seen so far.
  std::uint64_t peak_descriptors() const { return peak_descriptors_; }
  /// @return what the process has logged so far.
  std::string Log() const;

 private:
  void Sample();
  std::uint64_t UnreadBytes() const;

  FreePorts ports_;
  Endpoint front_;
  Endpoint peer_;
  Endpoint readiness_;
  std::string folder_;
  pid_t pid_ = -1;
  bool ended_ = false;
  std::atomic<std::uint16_t> server_port_{0};
  std::atomic<bool> sampling_{true};
  std::atomic<std::uint64_t> peak_memory_{0};
  std::atomic<std::uint64_t> peak_unread_{0};
  std::atomic<std::uint64_t> peak_descriptors_{0};
  std::thread sampler_;
};

}  // namespace moorfold
