// Requests whose last bytes come late in a planned stop, at a gateway as a process of its own.

#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <set>
#include <thread>

#include "gateway_process.h"
#include "raw_client.h"
#include "scripted_server.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr MachineLimits kMachine{260, 4'100};
constexpr std::chrono::seconds kPatience{20};
constexpr milliseconds kGrace{8'000};
constexpr milliseconds kRouteTimeout{4'000};  // As the emulated platform configures it.
const std::string kId = "X-Request-Id: ";

std::string IdIn(const std::string& head) {
  const std::size_t begin = head.find(kId) + kId.size();
  return head.substr(begin, head.find('\r', begin) - begin);
}

/// A server that gets requests and answers none.
class SilentServer {
 public:
  SilentServer()
      : server([this](ScriptedConnection& connection) {
          const std::string head = connection.ReadHead();
          if (head.find(kId) == std::string::npos) return;
          {
            const std::lock_guard lock(mutex_);
            arrived_.insert(IdIn(head));
          }
          connection.AwaitClose(kPatience);
        }) {}
  std::set<std::string> Arrived() {
    const std::lock_guard lock(mutex_);
    return arrived_;
  }

 private:
  std::mutex mutex_;
  std::set<std::string> arrived_;

 public:
  ScriptedServer server;
};

struct LateRequest {
  std::string id;
  milliseconds last_byte;  ///< From SIGTERM.
  std::string response;
};

/// Sends a request but for its last byte, waits for the signal, sends the byte and reads on.
void SendLate(const Endpoint& to, const std::string& path,
              const std::atomic<std::chrono::steady_clock::time_point>& signalled,
              LateRequest& request) {
  RawClient client(to);
  client.SendAll("POST " + path + " HTTP/1.1\r\nHost: " + std::string(EmulatedPlatform::kHost) +
                     "\r\n" + kId + request.id +
                     "\r\nX-Deadline-Ms: 60000\r\nX-Model: m0\r\nContent-Length: 4\r\n\r\nbod",
                 kPatience);
  while (signalled.load() == std::chrono::steady_clock::time_point{})
    std::this_thread::sleep_for(milliseconds(5));
  std::this_thread::sleep_until(signalled.load() + request.last_byte);
  if (client.SendAll("y", kPatience)) request.response = client.ReadResponse(kPatience);
}

void PlayLateRequests(const std::string& path, const std::string& service) {
  PlatformOptions options;
  options.model_servers = 0;
  options.plain_servers = 0;
  PlatformThread platform(options);
  SilentServer server;
  platform.AddServer("i-silent", service, server.server.endpoint());
  GatewayProcess gateway(platform.store(), kMachine, "drain_timeout: 8s\n");
  std::vector<LateRequest> requests;
  for (int last_byte = 2'000; last_byte <= 7'900; last_byte += 100)
    requests.push_back({"late-" + std::to_string(last_byte), milliseconds(last_byte), ""});
  std::atomic<std::chrono::steady_clock::time_point> signalled{};
  std::vector<std::thread> clients;
  for (LateRequest& request : requests)
    clients.emplace_back(
        [&, &request = request] { SendLate(gateway.front(), path, signalled, request); });
  std::this_thread::sleep_for(milliseconds(500));
  gateway.Terminate();
  signalled = std::chrono::steady_clock::now();
  for (std::thread& client : clients) client.join();
  CHECK(gateway.AwaitEnd(kPatience));
  const std::set<std::string> arrived = server.Arrived();
  CHECK_FALSE(arrived.empty());
  for (const LateRequest& request : requests) {
    CAPTURE(request.id, request.response);
    // Nothing that a server may have run ends without a word.
    if (arrived.contains(request.id)) CHECK_FALSE(request.response.empty());
    if (request.response.starts_with("HTTP/1.1 503")) CHECK_FALSE(arrived.contains(request.id));
    // A server may take as long as the route allows.
    if (request.last_byte + kRouteTimeout > kGrace) CHECK_FALSE(arrived.contains(request.id));
  }
}

TEST_CASE("Requests that may not be repeated are not cut at the end of a planned stop",
          "[stop_unsafe]") {
  PlayLateRequests("/once/x", "booking");
}

TEST_CASE("Requests that may be repeated are not cut at the end of a planned stop", "[stop_safe]") {
  PlayLateRequests("/safe/x", "booking");
}

TEST_CASE("Streams are not cut before their first event at the end of a planned stop",
          "[stop_stream]") {
  PlayLateRequests("/stream/x", "models");
}

}  // namespace
}  // namespace moorfold
