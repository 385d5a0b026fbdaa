// Fuzzes every decoder of store values and of messages from servers and daemons with mutations of
// valid input: bytes, types, out-of-range numbers, nesting depth. Each must decode the text or
// throw std::exception; the sanitizers detect memory errors and undefined behaviour. Seeded.

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <random>

#include "fleet/fleet_messages.h"
#include "protocol.h"

namespace moorfold {
namespace {

constexpr std::uint64_t kSeed = 20'261;
constexpr int kRounds = 2'000;

const platform::Protocol kProtocol;

class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random_(seed) {}

  std::string Mutate(std::string text) {
    const int changes = 1 + Draw(3);
    for (int change = 0; change < changes; ++change) text = MutateOnce(std::move(text));
    return text;
  }

 private:
  int Draw(int max_value) { return std::uniform_int_distribution<int>(0, max_value)(random_); }
  std::size_t RandomPosition(const std::string& text) {
    return text.empty() ? 0 : static_cast<std::size_t>(Draw(static_cast<int>(text.size()) - 1));
  }
  std::string MutateOnce(std::string text) {
    static const std::vector<std::string> kPieces = {
        "null", "-1",       "1e300",   "18446744073709551616",
        "1.5",  "[]",       "{}",      "\"x\"",
        "true", "\xff\x01", "\\u0000", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["};
    const std::size_t at = RandomPosition(text);
    switch (Draw(4)) {
      case 0:
        if (!text.empty()) text[at] = static_cast<char>(Draw(255));
        return text;
      case 1:
        return text.substr(0, at);
      case 2:
        return text.erase(at, static_cast<std::size_t>(Draw(12)));
      case 3:
        return text.insert(
            at, kPieces[static_cast<std::size_t>(Draw(static_cast<int>(kPieces.size()) - 1))]);
      default:
        return ReplaceValue(std::move(text), kPieces[static_cast<std::size_t>(Draw(8))]);
    }
  }
  /// Replaces the value after a random colon, which mostly keeps the text valid JSON.
  std::string ReplaceValue(std::string text, const std::string& value) {
    const std::size_t colon = text.find(':', RandomPosition(text));
    if (colon == std::string::npos) return text;
    const std::size_t end = text.find_first_of(",}]", colon);
    if (end == std::string::npos) return text;
    return text.replace(colon + 1, end - colon - 1, value);
  }

  std::mt19937_64 random_;
};

struct Decoder {
  const char* name;
  std::string valid_input;
  std::function<void(const std::string&)> decode;
};

std::vector<Decoder> Decoders() {
  const std::string configuration = R"({"version":7,"routes":[{"name":"r","host":"h",
    "pathPrefix":"/p/","type":"stream","timeoutMs":5000,"targetMs":800,"priority":1,
    "split":[{"service":"s","weight":90}],"attempts":2,"resumable":true,"gapTargetMs":400}],
    "services":[{"name":"s","maxConns":360,"engine":{"slots":64,"kvCapacity":1000,"models":[{"name":
    "m","weightsMb":42.5,"loadS":1.3,"adapters":2}],"weightsMb":200,"adapterSlots":8}}],
    "tenants":[{"name":"t","apiKeys":["k"],"unit":"tokens","ratePerS":3,"burst":4}],
    "limits":{"maxHeaderBytes":100,"idleTimeoutMs":9000}})";
  const std::string server = R"({"service":"s","zone":"z","address":"10.0.0.9:8080",
    "version":"v1","slots":64,"state":"ready","born":1790000000000,"models":[{"name":"m","adapters":
    ["a1"]}],"available":{"resident":["m"],"onDisk":["m","n"]},"seq":4})";
  const std::string report = R"({"models":[{"name":"m","adapters":[]}],"busy":true,"seq":2,
    "born":1790000000000,"incoming":["m/a3@1"],"available":{"onDisk":["m"]}})";
  LeaderRecord leader;
  leader.name = "one";
  leader.address = "127.0.0.1:1";
  CreditSharing sharing;
  sharing.daemons = 3;
  sharing.hosts = {"127.0.0.1:2"};
  QuarantineNotice quarantine;
  quarantine.cases = {CaseUpdate{Fingerprint{}, "s", {{"i-1", "v1", 5}}, {}, {"v1"}}};
  ChangeAnswer answer;
  answer.servers.push_back({{1, 4}, false, kProtocol.ParseServer("i-1", server)});
  const auto message = [](const std::string& text) { DecodeMessage<FleetMessage>(text); };
  return {
      {"configuration", configuration,
       [](const auto& text) { kProtocol.ParseConfiguration(text); }},
      {"server", server, [](const auto& text) { kProtocol.ParseServer("i-1", text); }},
      {"report", report, [](const auto& text) { kProtocol.ParseReport(text); }},
      {"leader", EncodeMessage(leader),
       [](const auto& text) { DecodeMessage<LeaderRecord>(text); }},
      {"sharing", EncodeMessage(sharing),
       [](const auto& text) { DecodeMessage<CreditSharing>(text); }},
      {"quarantine", EncodeMessage(quarantine),
       [](const auto& text) { DecodeMessage<QuarantineNotice>(text); }},
      {"datagram", EncodeMessage(FleetMessage(answer)), message},
  };
}

TEST_CASE("A decoder either accepts mutated input or throws std::exception") {
  Mutator mutator(kSeed);
  for (const Decoder& each : Decoders()) {
    INFO(each.name);
    CHECK_NOTHROW(each.decode(each.valid_input));
    int read = 0;
    int rejected = 0;
    for (int round = 0; round < kRounds; ++round) {
      const std::string text = mutator.Mutate(each.valid_input);
      try {
        each.decode(text);
        ++read;
      } catch (const std::exception&) {
        ++rejected;
      }
    }
    CHECK(read + rejected == kRounds);
    CHECK(rejected > 0);
  }
}

TEST_CASE("The fuzzer detects a decoder that accepts an out-of-range number") {
  // Deliberate fault, as of a decoder that uses an unchecked number as a length.
  const auto faulty_decoder = [](const std::string& text) {
    const boost::json::value value = boost::json::parse(text);
    if (value.at("seq").to_number<double>() > 1e9) throw 7;  // Not a std::exception.
  };
  Mutator mutator(kSeed);
  bool found = false;
  for (int round = 0; round < kRounds && !found; ++round) {
    try {
      faulty_decoder(mutator.Mutate(R"({"seq":2})"));
    } catch (const std::exception&) {
      continue;
    } catch (int) {
      found = true;
    }
  }
  CHECK(found);
}

}  // namespace
}  // namespace moorfold
