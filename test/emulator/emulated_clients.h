#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "emulated_platform.h"
#include "http/http_client.h"

namespace moorfold {

/// Where a gateway is reached, and whether it may be used: the entry deals no connections to one
/// that is not ready.
struct GatewayAddress {
  Endpoint front;
  Endpoint readiness;
  bool ready = false;
  /// Until then the gateway, or its way to the store, is or was lately disturbed.
  BootClock::time_point disturbed_until{};
  /// Until then the gateway's process was lately stopped, started again or held.
  BootClock::time_point signalled_until{};
  /// Around a planned stop with no other trouble: what is cut then is lost.
  BootClock::time_point stop_from{};
  BootClock::time_point stop_until{};
};

struct ClientCounts {
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  std::uint64_t refused = 0;  ///< Answered as not run.
  std::uint64_t unknown = 0;  ///< Neither served nor refused.
  std::uint64_t left = 0;     ///< Given up by the client before its deadline.
};

/// Clients of each kind of request, and the entry that deals them to gateways. One thread.
class EmulatedClients {
 public:
  EmulatedClients(boost::asio::io_context& context, EmulatedPlatform& platform,
                  std::vector<GatewayAddress>& gateways, std::uint64_t seed);

  /// @param count clients that send one request after the other until Stop.
  void Start(int count);
  void Stop() { stopping_ = true; }
  /// A client that sends one request under which servers end, over and over until Stop: the same
  /// caller, path and body, another id each time, at any gateway.
  /// @param name tells it from others.
  /// @param copies tries under way at the same time.
  void StartEnding(const std::string& name, RequestKind kind, std::chrono::milliseconds pause,
                   int copies);
  /// A client that sends streams until Stop, no two alike, at any gateway: every other one has a
  /// prompt part under which servers end, the others share their first part only.
  /// @param ending_only time at the start in which all streams have the ending part.
  void StartEndingPart(const std::string& name, std::chrono::milliseconds pause,
                       std::chrono::milliseconds ending_only = std::chrono::milliseconds(0));
  /// What became of the sound ones among them.
  const ClientCounts& beside_ending_parts() const { return beside_ending_parts_; }
  /// While `calm` holds, such clients send nothing: no server is to end then.
  void SetCalm(std::function<bool()> calm) { calm_ = std::move(calm); }
  /// Whether clients that were refused come back at once, and more than once.
  void SetImpatient(bool impatient) { impatient_ = impatient; }
  /// Whether every other client stays with its gateway, over its open connections, ready or not,
  /// until the process there is gone. Such clients also meet listeners that are closed by then.
  void SetStaying(bool staying) { staying_ = staying; }
  int running() const { return running_; }
  const ClientCounts& counts() const { return counts_; }

 private:
  Awaitable<void> Probe();
  Awaitable<void> RunClient(int number);
  /// @return whether the request was served.
  Awaitable<bool> SendOne(int client, const std::string& id);
  Awaitable<void> RunEnding(std::string name, RequestKind kind, std::chrono::milliseconds pause);
  Awaitable<void> RunEndingPart(std::string name, std::chrono::milliseconds pause,
                                std::chrono::milliseconds ending_only);
  Awaitable<bool> SendRequest(GatewayAddress& gateway, const std::string& id, RequestKind kind);
  /// Sends a request and closes the connection after a moment.
  Awaitable<void> SendAndLeave(const GatewayAddress& gateway, const std::string& id);
  HttpRequest MakeRequest(const std::string& id, RequestKind kind);
  /// Lets a request show the key of its tenant, which its id tells; some show keys that nobody has
  /// or that are gone, or headers that are the system's own.
  void ShowKey(HttpRequest& request, const std::string& id);
  Awaitable<void> SendProbe(GatewayAddress& gateway, const std::string& id);
  Awaitable<ClientAnswer> Exchange(const Endpoint& gateway, HttpRequest request, std::string id,
                                   RequestKind kind);
  GatewayAddress* PickGateway();
  GatewayAddress* GatewayOf(int client);
  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }

  boost::asio::io_context& context_;
  EmulatedPlatform& platform_;
  std::vector<GatewayAddress>& gateways_;
  std::mt19937_64 random_;
  HttpClient client_;
  ClientCounts counts_;
  ClientCounts beside_ending_parts_;
  std::map<int, GatewayAddress*> stays_with_;              ///< Of clients that stay.
  std::map<std::string, const GatewayAddress*> taken_by_;  ///< Of each request.
  std::function<bool()> calm_ = [] { return false; };
  bool stopping_ = false;
  bool impatient_ = false;
  bool staying_ = false;
  int running_ = 0;
  std::uint64_t next_id_ = 0;
};

}  // namespace moorfold
