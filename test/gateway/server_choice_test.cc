#include "gateway/server_choice.h"

#include <catch2/catch.hpp>
#include <map>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kNow{seconds(1000)};

ServerRecord MakeRecord(const std::string& id, const std::string& zone = "z") {
  ServerRecord record;
  record.id = id;
  record.service = "s";
  record.zone = zone;
  record.slots = 8;
  record.models = {{"m", {"a1"}}};
  return record;
}

ChoiceRequest MakeRequest(const std::string& model = "") {
  ChoiceRequest request;
  request.service = "s";
  request.model = ParseModelReference(model);
  request.zone = "z";
  return request;
}

std::string Chosen(const ServerDirectory& directory, const ChoiceRequest& request,
                   SteadyTime now = kNow) {
  const Choice choice = ChooseServer(directory, request, now);
  return choice.server ? choice.server->record().id : "";
}

TEST_CASE("The own zone, an empty queue and no failures are preferred") {
  ServerDirectory directory;
  directory.Put(MakeRecord("far", "y"), kNow);
  directory.Put(MakeRecord("near"), kNow);
  CHECK(Chosen(directory, MakeRequest()) == "near");
  SECTION("a long queue") {
    directory.Find("near")->NoteLoad(8, 9, kNow);
    CHECK(Chosen(directory, MakeRequest()) == "far");
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(5)) == "near");  // Old news.
  }
  SECTION("failures") {
    directory.Find("near")->RecordFailure(kNow);
    CHECK(Chosen(directory, MakeRequest()) == "far");
    for (int answer = 0; answer < 30; ++answer) directory.Find("near")->RecordSuccess();
    CHECK(Chosen(directory, MakeRequest()) == "near");
  }
  SECTION("error answers while its health is good") {
    for (int answer = 0; answer < 5; ++answer) directory.Find("near")->RecordErrorResponse();
    CHECK(Chosen(directory, MakeRequest()) == "far");
  }
}

TEST_CASE("Servers that leave, are gone, full or out of reach are not used") {
  ServerDirectory directory;
  directory.Put(MakeRecord("only"), kNow);
  const ServerPtr only = directory.Find("only");
  SECTION("draining") {
    ServerRecord record = MakeRecord("only");
    record.draining = true;
    directory.Put(record, kNow);
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(60)).empty());
  }
  SECTION("gone") {
    only->MarkGone();
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(60)).empty());
  }
  SECTION("full, for a moment") {
    only->MarkFull(kNow);
    CHECK(Chosen(directory, MakeRequest()).empty());
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(1)) == "only");
  }
  SECTION("out of reach, longer each time") {
    for (int failure = 0; failure < 4; ++failure) only->MarkUnreachable(kNow);
    CHECK(Chosen(directory, MakeRequest(), kNow + milliseconds(1'500)).empty());
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(4)) == "only");
  }
  SECTION("removed") {
    directory.Remove("only");
    CHECK(ChooseServer(directory, MakeRequest(), kNow).reason == NoServerReason::kUnknownService);
  }
}

TEST_CASE("A model or adapter is asked for only where it stands") {
  ServerDirectory directory;
  directory.Put(MakeRecord("i"), kNow);
  const ServerPtr server = directory.Find("i");
  CHECK(Chosen(directory, MakeRequest("m")) == "i");
  CHECK(Chosen(directory, MakeRequest("m/a1")) == "i");
  CHECK(Chosen(directory, MakeRequest("m/a2")).empty());
  CHECK(ChooseServer(directory, MakeRequest("n"), kNow).reason == NoServerReason::kModelNotHeld);
  SECTION("a notice comes before the record") {
    directory.RecordModelHeld(server, {"m", "a2"}, kNow);
    CHECK(Chosen(directory, MakeRequest("m/a2")) == "i");
    CHECK(Chosen(directory, MakeRequest("m/a2"), kNow + seconds(30)).empty());
  }
  SECTION("an unload of the model hides its adapters, too") {
    // Found on a calm day: requests for adapters were sent to a server that was unloading their
    // model.
    server->RecordModelMissing({"m", ""}, kNow, milliseconds(5'000));
    CHECK(Chosen(directory, MakeRequest("m/a1"), kNow + milliseconds(4'900)).empty());
    CHECK(Chosen(directory, MakeRequest("m/a1"), kNow + seconds(6)) == "i");
  }
}

TEST_CASE("A prompt goes to the server that has read its beginning") {
  ServerDirectory directory;
  directory.Put(MakeRecord("i"), kNow);
  directory.Put(MakeRecord("j"), kNow);
  ChoiceRequest request = MakeRequest("m");
  request.parts = {{"shared", 6000}, {"own", 500}};
  for (const char* id : {"i", "j"}) {
    CAPTURE(id);
    ServerDirectory fresh;
    fresh.Put(MakeRecord("i"), kNow);
    fresh.Put(MakeRecord("j"), kNow);
    fresh.Find(id)->RecordPrompt({"m", ""}, {{"shared", 6000}, {"other", 9}});
    CHECK(Chosen(fresh, request) == id);
    request.model.adapter = "a1";  // Another adapter's memory does not serve.
    CHECK(fresh.Find(id)->CachedPrefixTokens(request.model, request.parts) == 0);
    request.model.adapter.clear();
  }
  // Daemons that know nothing agree.
  ServerDirectory other;
  other.Put(MakeRecord("j"), kNow);
  other.Put(MakeRecord("i"), kNow);
  CHECK(Chosen(directory, request) == Chosen(other, request));
}

TEST_CASE("Kept prompts are bounded, the oldest are forgotten") {
  RecentPrompts prompts;
  prompts.Remember({"m", ""}, {{"first", 100}});
  CHECK(prompts.CachedPrefixTokens({"m", ""}, {{"first", 100}}) == 100);
  for (int prompt = 0; prompt < 1000; ++prompt)
    prompts.Remember({"m", ""}, {{std::to_string(prompt), 1}});
  CHECK(prompts.CachedPrefixTokens({"m", ""}, {{"first", 100}}) == 0);
  CHECK(prompts.CachedPrefixTokens({"m", ""}, {{"999", 1}}) == 1);
}

/// @return how many of so many daemons, which know the same, choose each server.
std::map<std::string, int> ChoicesOf(int daemons, const ServerDirectory& directory,
                                     ChoiceRequest request) {
  std::map<std::string, int> chosen;
  for (int daemon = 0; daemon < daemons; ++daemon) {
    request.chooser = "edge-" + std::to_string(daemon);
    ++chosen[Chosen(directory, request)];
  }
  return chosen;
}

TEST_CASE("Daemons that know the same spread over servers without models") {
  constexpr int kServers = 60;
  constexpr int kDaemons = 600;
  ServerDirectory directory;
  for (int server = 0; server < kServers; ++server) {
    ServerRecord record = MakeRecord("i-" + std::to_string(server));
    record.models.clear();
    directory.Put(record, kNow);
  }
  const std::map<std::string, int> chosen = ChoicesOf(kDaemons, directory, MakeRequest());
  CHECK(chosen.size() > kServers * 9 / 10);
  for (const auto& [server, count] : chosen) {
    CAPTURE(server);
    CHECK(count < 4 * kDaemons / kServers);
  }
}

TEST_CASE("Whoever holds a model is found among it alone, whatever its record becomes") {
  ServerDirectory directory;
  for (int server = 0; server < 100; ++server) {
    ServerRecord record = MakeRecord("i-" + std::to_string(server));
    record.models = {{"m" + std::to_string(server % 50), {}}};
    directory.Put(record, kNow);
  }
  const std::string service = directory.Find("i-0")->record().service;
  CHECK(directory.ServersWithModel(service, "m7").size() == 2);
  ServerRecord moved = directory.Find("i-7")->record();
  moved.models = {{"m8", {}}, {"m9", {}}};
  directory.Put(moved, kNow);
  CHECK(directory.ServersWithModel(service, "m7").size() == 1);
  CHECK(directory.ServersWithModel(service, "m8").size() == 3);
  directory.RecordModelHeld(directory.Find("i-7"), {"m7", "a1"}, kNow);
  CHECK(directory.ServersWithModel(service, "m7").size() == 2);
  directory.Remove("i-7");
  CHECK(directory.ServersWithModel(service, "m7").size() == 1);
  CHECK(directory.ServersWithModel(service, "m9").size() == 2);
  CHECK(directory.ServersWithModel(service, "m7").front()->record().id == "i-57");
}

}  // namespace
}  // namespace moorfold
