#include "simulation/socket_network.h"

#include <boost/asio/io_context.hpp>

#include "peer/transport.h"

namespace moorfold {
namespace {

constexpr const char* kKey = "hollow-daemons-key";
constexpr std::chrono::microseconds kPollTime{500};

class SocketNetwork : public SimulatedNetwork {
 public:
  explicit SocketNetwork(World& world) : SimulatedNetwork(world) {}

  void Attach(const DaemonName& name, ZoneName zone, Deliver deliver) override {
    const auto boot = static_cast<Incarnation>(world_.queue.Now().time_since_epoch().count());
    auto transport = std::make_unique<PeerTransport>(
        context_, Endpoint{"127.0.0.1", 0}, FrameCodec(kKey, name, boot),
        [this] { return world_.queue.Now(); },
        [this, deliver](const DaemonName& from, const PeerPayload& payload) {
          world_.queue.After(Duration{0}, [deliver, from, payload] { deliver(from, payload); });
        });
    transport->Start();
    zones_[name] = std::move(zone);
    transports_[name] = std::move(transport);
    before_.erase(name);  // A new life counts from zero.
  }

  void Detach(const DaemonName& name) override { transports_.erase(name); }

  void Send(const DaemonName& from, const ZoneName& from_zone, const DaemonName& to,
            PeerPayload payload) override {
    const auto sender = transports_.find(from);
    const auto receiver = transports_.find(to);
    if (sender == transports_.end() || receiver == transports_.end()) return;
    if (world_.Cut(from_zone, zones_[to]) || world_.Chance(world_.faults.message_loss)) return;
    sender->second->Send(receiver->second->endpoint(), payload);
    Update(from, *sender->second);
    Update(to, *receiver->second);
  }

  void StartMeasuring() override {
    for (const auto& [name, transport] : transports_) before_[name] = transport->statistics();
    SimulatedNetwork::StartMeasuring();
  }

  void Poll() override {
    context_.restart();
    context_.run_one_for(kPollTime);
    context_.poll();
  }

 private:
  void Update(const DaemonName& name, const PeerTransport& transport) {
    const TransportStatistics now = transport.statistics();
    const TransportStatistics& before = before_[name];
    sent_[name] = {now.messages_sent - before.messages_sent, now.bytes_sent - before.bytes_sent};
    received_[name] = {now.messages_received - before.messages_received,
                       now.bytes_received - before.bytes_received};
  }

  boost::asio::io_context context_{1};
  std::map<DaemonName, std::unique_ptr<PeerTransport>> transports_;
  std::map<DaemonName, ZoneName> zones_;
  std::map<DaemonName, TransportStatistics> before_;
};

}  // namespace

std::unique_ptr<SimulatedNetwork> MakeSocketNetwork(World& world) {
  return std::make_unique<SocketNetwork>(world);
}

}  // namespace moorfold
