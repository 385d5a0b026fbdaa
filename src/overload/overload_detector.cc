#include "overload/overload_detector.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace moorfold::overload {

namespace {

using std::chrono::milliseconds;

/// Share of the link that requests and responses may use. The rest is for acknowledgements,
/// handshakes, the store and other daemons.
constexpr double kLinkShare = 0.6;
/// A shortage of the link begins at this delay. Short beside the targets of interactive requests,
/// long beside the transfer of one request.
constexpr milliseconds kMaxLinkDelay{100};
/// A shortage ends at these shares of where it begins.
constexpr double kRecoveredDelayShare = 0.1;
constexpr double kRecoveredLateShare = 0.5;
constexpr double kRecoveredConnectionShare = 0.9;
/// Headers of the packets that carry one message and its acknowledgement.
constexpr double kMessageOverheadBytes = 120;
/// Packets that open and close a client's connection and one to a server, in each direction.
constexpr double kConnectionOverheadBytes = 800;
/// The estimated speed falls to this share of itself at each interval with delayed connections,
/// down to a share of the nominal speed, and otherwise rises by a share of the nominal speed per
/// second.
constexpr double kSpeedDecrease = 0.7;
constexpr double kMinSpeedShare = 0.2;
constexpr double kSpeedIncreasePerSecond = 0.25;
constexpr double kFirstRequestBytes = 4'096;
constexpr double kRequestBytesWeight = 0.05;
/// A loop that is late for most of the time has more to do than processor time to do it.
constexpr double kMaxLateShare = 0.5;
constexpr milliseconds kLateShareWindow{100};
/// A client's connection comes with one to a server; the rest is for pooled connections, the store
/// and other daemons.
constexpr double kDescriptorShare = 0.4;
constexpr std::size_t kReservedDescriptors = 200;
/// Buffers of a client's connection, its request and the connection to the server.
constexpr double kConnectionMegabytes = 0.125;
constexpr double kConnectionMemoryShare = 0.5;

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMegabit = 1e6;

/// @return bytes per second for requests and responses; 0: unknown.
double NominalSpeed(const Capacity& capacity) {
  return capacity.link_mbps * kBitsPerMegabit / kBitsPerByte * kLinkShare;
}

double Seconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

const char* Name(Shortage shortage) {
  switch (shortage) {
    case Shortage::kNone:
      return "none";
    case Shortage::kLink:
      return "link";
    case Shortage::kProcessor:
      return "processor";
    case Shortage::kConnections:
      return "connections";
  }
  return "";
}

std::size_t ConnectionCapacity(std::size_t descriptors, std::size_t memory_mb) {
  std::size_t capacity = std::numeric_limits<std::size_t>::max();
  if (descriptors > 0) {
    const std::size_t usable = descriptors - std::min(descriptors, kReservedDescriptors);
    capacity = static_cast<std::size_t>(static_cast<double>(usable) * kDescriptorShare);
  }
  if (memory_mb > 0) {
    const double megabytes = static_cast<double>(memory_mb) * kConnectionMemoryShare;
    capacity = std::min(capacity, static_cast<std::size_t>(megabytes / kConnectionMegabytes));
  }
  if (capacity == std::numeric_limits<std::size_t>::max()) return 0;
  return std::max<std::size_t>(1, capacity);
}

OverloadDetector::OverloadDetector(Capacity capacity)
    : capacity_(capacity), link_(NominalSpeed(capacity)), request_bytes_(kFirstRequestBytes) {}

double OverloadDetector::ExpectedBytes(std::size_t connections) const {
  return static_cast<double>(connections) * (request_bytes_ + kConnectionOverheadBytes);
}

void OverloadDetector::ConnectionsClosedUnread(std::size_t count, Time now) {
  link_.Add(ExpectedBytes(count), now);
}

void OverloadDetector::RequestRead(std::size_t bytes, bool first, Time now) {
  const double counted = first ? ExpectedBytes(1) - kConnectionOverheadBytes : 0;
  link_.Add(static_cast<double>(bytes) + kMessageOverheadBytes - counted, now);
  request_bytes_ += (static_cast<double>(bytes) - request_bytes_) * kRequestBytesWeight;
}

void OverloadDetector::ResponseWritten(std::size_t bytes, Time now) {
  link_.Add(static_cast<double>(bytes) + kMessageOverheadBytes, now);
}

void OverloadDetector::ConnectTimed(BootClock::duration delay, Time now) {
  if (!connect_delay_.Add(delay, now) || !connect_delay_.standing(now)) return;
  SetLinkSpeed(link_.bytes_per_second() * kSpeedDecrease);
}

void OverloadDetector::SetLinkSpeed(double bytes_per_second) {
  const double nominal = NominalSpeed(capacity_);
  link_.SetBytesPerSecond(std::clamp(bytes_per_second, nominal * kMinSpeedShare, nominal));
}

void OverloadDetector::RecoverLinkSpeed(Time now) {
  const double elapsed_s = Seconds(now - std::exchange(updated_at_, now));
  if (connect_delay_.standing(now)) return;
  SetLinkSpeed(link_.bytes_per_second() +
               NominalSpeed(capacity_) * kSpeedIncreasePerSecond * elapsed_s);
}

void OverloadDetector::LoopSampled(BootClock::duration late, BootClock::duration elapsed) {
  const double elapsed_s = Seconds(elapsed);
  if (elapsed_s <= 0) return;
  const double late_share = std::clamp(Seconds(late) / elapsed_s, 0.0, 1.0);
  const double weight = std::min(1.0, elapsed_s / Seconds(kLateShareWindow));
  loop_late_share_ += (late_share - loop_late_share_) * weight;
}

bool OverloadDetector::IsShort(Shortage resource, Time now) const {
  const bool lasts = shortage_ == resource;
  switch (resource) {
    case Shortage::kNone:
      return false;
    case Shortage::kLink:
      if (connect_delay_.standing(now)) return true;
      return Seconds(LinkDelay(now)) > Seconds(kMaxLinkDelay) * (lasts ? kRecoveredDelayShare : 1);
    case Shortage::kProcessor:
      return loop_late_share_ > kMaxLateShare * (lasts ? kRecoveredLateShare : 1);
    case Shortage::kConnections: {
      if (capacity_.connections == 0) return false;
      const double limit = static_cast<double>(capacity_.connections);
      return static_cast<double>(connections_) >= limit * (lasts ? kRecoveredConnectionShare : 1);
    }
  }
  return false;
}

std::size_t OverloadDetector::SurplusConnections() const {
  const auto enough = static_cast<std::size_t>(static_cast<double>(capacity_.connections) *
                                               kRecoveredConnectionShare);
  return capacity_.connections == 0 || connections_ < enough ? 0 : connections_ - enough + 1;
}

Shortage OverloadDetector::Update(Time now) {
  RecoverLinkSpeed(now);
  if (shortage_ != Shortage::kNone && IsShort(shortage_, now)) return shortage_;
  shortage_ = Shortage::kNone;
  for (const Shortage resource : {Shortage::kConnections, Shortage::kLink, Shortage::kProcessor}) {
    if (!IsShort(resource, now)) continue;
    shortage_ = resource;
    break;
  }
  return shortage_;
}

}  // namespace moorfold::overload
