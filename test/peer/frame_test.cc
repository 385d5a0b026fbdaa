#include "peer/frame.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "peer/message_codec.h"
#include "ports/json_codec.h"

namespace moorfold {
namespace {

using std::chrono::seconds;

const std::string kKey = "0123456789abcdef";
const Timestamp kNow{seconds(1'000'000)};

TEST_CASE("Only whole, fresh frames of the own deployment are opened") {
  struct Case {
    const char* name;
    std::function<std::string(FrameCodec&)> make;
    Duration later;
    FrameRejection expected;
  };
  const std::vector<Case> cases = {
      {"good", [](FrameCodec& codec) { return codec.Seal("hello", kNow); }, seconds(0),
       FrameRejection::kNone},
      {"another key",
       [](FrameCodec&) { return FrameCodec("another key here", "b", 1).Seal("hello", kNow); },
       seconds(0), FrameRejection::kForeign},
      {"one bit changed",
       [](FrameCodec& codec) {
         std::string frame = codec.Seal("hello", kNow);
         frame.back() = static_cast<char>(frame.back() ^ 1);
         return frame;
       },
       seconds(0), FrameRejection::kForeign},
      {"cut short", [](FrameCodec& codec) { return codec.Seal("hello", kNow).substr(0, 20); },
       seconds(0), FrameRejection::kMalformed},
      {"another version",
       [](FrameCodec& codec) {
         std::string frame = codec.Seal("hello", kNow);
         frame[0] = 9;
         return frame;
       },
       seconds(0), FrameRejection::kMalformed},
      {"too old", [](FrameCodec& codec) { return codec.Seal("hello", kNow); }, seconds(600),
       FrameRejection::kTooOld},
  };
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      FrameCodec sender(kKey, "b", 1);
      FrameCodec receiver(kKey, "a", 1);
      const OpenedFrame opened = receiver.Open(each.make(sender), kNow + each.later);
      CHECK(opened.rejection == each.expected);
      if (each.expected == FrameRejection::kNone) {
        CHECK(opened.from == "b");
        CHECK(opened.payload == "hello");
      }
    }
  }
}

TEST_CASE("A replayed frame is dropped, a late one is not") {
  FrameCodec sender(kKey, "b", 1);
  FrameCodec receiver(kKey, "a", 1);
  const std::string first = sender.Seal("1", kNow);
  const std::string second = sender.Seal("2", kNow);
  CHECK(receiver.Open(second, kNow).rejection == FrameRejection::kNone);
  CHECK(receiver.Open(first, kNow).rejection == FrameRejection::kNone);
  CHECK(receiver.Open(first, kNow).rejection == FrameRejection::kReplayed);
  CHECK(receiver.Open(second, kNow).rejection == FrameRejection::kReplayed);
  FrameCodec restarted(kKey, "b", 2);
  CHECK(receiver.Open(restarted.Seal("3", kNow), kNow).rejection == FrameRejection::kNone);
  CHECK(receiver.Open(sender.Seal("4", kNow), kNow).rejection == FrameRejection::kReplayed);
}

TEST_CASE("Payloads survive encoding") {
  ServerReportsMessage reports;
  reports.reports.push_back(
      {"s", 7, 3, 100, 40, true, {{{"m", 2}, ReplicaState::kReady, 1, 2, {"x"}}}, {"m"}});
  LedgerSnapshotMessage ledger;
  ledger.ledger.revision = 9;
  ledger.ledger.permits[{{"m", 1}, 0}] = {{{"m", 1}, 0}, "s", 7, PermitPhase::kMoving, 4, 100};
  ClaimTransferReply claims;
  claims.records.push_back({"k", "h", ClaimState::kFinished, {200, "text/plain", "ok"}, 5});
  const std::vector<PeerPayload> payloads = {
      PeerMessage(ProbeMessage{5, "c", {1, 2, 3, 4, 5}, {{"d", 6, MemberStatus::kDead}}}),
      PeerMessage(reports), PeerMessage(ledger), ClaimMessage(claims),
      ClaimMessage(ClaimReply{1, ClaimVerdict::kFinished, {200, "a", "b"}})};
  for (const PeerPayload& payload : payloads) {
    const std::string bytes = EncodePayload(payload);
    CHECK(EncodePayload(DecodePayload(bytes)) == bytes);
    CHECK_THROWS_AS(DecodePayload(bytes + "x"), DecodeError);
    CHECK_THROWS_AS(DecodePayload(bytes.substr(0, bytes.size() - 1)), DecodeError);
  }
}

TEST_CASE("No frame and no JSON crashes a decoder") {
  rc::check("frames", [](const std::string& bytes) {
    FrameCodec codec(kKey, "a", 1);
    RC_ASSERT(codec.Open(bytes, kNow).rejection != FrameRejection::kNone);
  });
  rc::check("documents", [](const std::string& text) {
    try {
      FromJson<Ledger>(text);
    } catch (const DecodeError&) {
    }
    try {
      FromJson<ServerReport>(text);
    } catch (const DecodeError&) {
    }
  });
  // Documents that are JSON, but not those asked for.
  for (const char* text : {"{}", "[]", "null", "{\"revision\":-1}", "{\"revision\":\"x\"}",
                           "{\"permits\":{}}", "[1,2,{\"a\":[]}]"}) {
    CHECK_THROWS_AS(FromJson<Ledger>(text), DecodeError);
    CHECK_THROWS_AS(FromJson<Order>(text), DecodeError);
  }
}

}  // namespace
}  // namespace moorfold
