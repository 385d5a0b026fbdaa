// Whole fleets of the production detour logic, with messages passed in memory.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <unordered_map>

#include "common/closable_context.h"
#include "detour/detour_service.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRequestInterval{100};
/// As many peers as a daemon keeps.
constexpr std::size_t kKnownPeers = 64;

struct FleetSize {
  std::size_t daemons;
  std::size_t isolated;  ///< The first ones.
};

/// Daemons of which some reach no server and need a detour for each of their requests.
class DetourFleet {
 public:
  explicit DetourFleet(FleetSize size) : size_(size), carried_(size.daemons) {
    for (std::size_t number = 0; number < size_.daemons; ++number) {
      numbers_[AddressOf(number)] = number;
      daemons_.push_back(std::make_unique<DetourService>(context_, counters_, MakePorts(number)));
    }
  }
  ~DetourFleet() { context_.DestroyHandlers(); }
  DetourFleet(const DetourFleet&) = delete;
  DetourFleet& operator=(const DetourFleet&) = delete;

  void RunFor(milliseconds time) {
    for (std::size_t number = 0; number < size_.isolated; ++number)
      boost::asio::co_spawn(context_, SendRequests(number, BootClock::now() + time),
                            boost::asio::detached);
    context_.run_for(time + milliseconds(200));
    context_.restart();
  }
  void ResetCounts() {
    found_ = requests_ = messages_ = 0;
    std::fill(carried_.begin(), carried_.end(), 0);
  }
  double FoundShare() const { return static_cast<double>(found_) / static_cast<double>(requests_); }
  double MessagesPerRequest() const {
    return static_cast<double>(messages_) / static_cast<double>(requests_);
  }
  /// @return the requests of the busiest helper, as a multiple of the mean.
  double Imbalance() const {
    const auto most = *std::max_element(carried_.begin(), carried_.end());
    const auto helpers = static_cast<double>(size_.daemons - size_.isolated);
    return static_cast<double>(most) * helpers / static_cast<double>(found_);
  }

 private:
  static std::string AddressOf(std::size_t number) {
    return "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) +
           ":7001";
  }
  std::size_t NumberOf(const std::string& address) const { return numbers_.at(address); }
  template <typename Message>
  void Pass(std::size_t from, const std::string& to, const Message& message) {
    ++messages_;
    boost::asio::post(context_, [this, from, to, message] {
      daemons_[NumberOf(to)]->Hear(message, AddressOf(from));
    });
  }
  DetourService::Ports MakePorts(std::size_t number) {
    std::vector<std::string> others;
    for (std::size_t other = 0; other < size_.daemons; ++other)
      if (other != number) others.push_back(AddressOf(other));
    std::vector<std::string> known;
    std::sample(others.begin(), others.end(), std::back_inserter(known), kKnownPeers, random_);
    DetourService::Ports ports;
    ports.ask = [this, number](const std::string& to, const DetourQuery& query) {
      Pass(number, to, query);
    };
    ports.answer = [this, number](const std::string& to, const DetourOffer& offer) {
      Pass(number, to, offer);
    };
    ports.peers = [known] { return known; };
    ports.accepts = [this, number] { return number >= size_.isolated; };
    ports.reaches = [](const std::string&) { return true; };
    ports.active = [] { return 0U; };
    ports.port = 7'001;
    return ports;
  }
  Awaitable<void> SendRequests(std::size_t number, BootClock::time_point until) {
    while (BootClock::now() < until) {
      const std::optional<detour::Target> target = co_await daemons_[number]->Find(detour::Need{});
      ++requests_;
      if (target) {
        ++found_;
        ++carried_[NumberOf(target->peer)];
      }
      co_await Sleep(kRequestInterval);
    }
  }

  FleetSize size_;
  ClosableContext context_{1};
  DetourCounters counters_;
  std::mt19937_64 random_{7};
  std::unordered_map<std::string, std::size_t> numbers_;  ///< By address.
  std::vector<std::unique_ptr<DetourService>> daemons_;
  std::vector<std::uint64_t> carried_;
  std::uint64_t found_ = 0;
  std::uint64_t requests_ = 0;
  std::uint64_t messages_ = 0;
};

TEST_CASE("Isolated daemons find detours in fleets of any size, and spread their requests") {
  const FleetSize size = GENERATE(FleetSize{2, 1}, FleetSize{7, 6}, FleetSize{58, 15},
                                  FleetSize{58, 50}, FleetSize{985, 70}, FleetSize{985, 700});
  CAPTURE(size.daemons, size.isolated);
  DetourFleet fleet(size);
  fleet.RunFor(milliseconds(1'000));
  fleet.ResetCounts();
  fleet.RunFor(milliseconds(2'000));
  CAPTURE(fleet.MessagesPerRequest(), fleet.Imbalance());
  CHECK(fleet.FoundShare() > 0.9);
  // Eight queries and their answers, as often as a request asks at the most.
  CHECK(fleet.MessagesPerRequest() <= 16);
}

TEST_CASE("Nothing is found, and little is asked, where all daemons are isolated") {
  DetourFleet fleet({58, 58});
  fleet.RunFor(milliseconds(1'000));
  CHECK(fleet.FoundShare() == 0);
  CHECK(fleet.MessagesPerRequest() <= 16);
}

}  // namespace
}  // namespace moorfold
