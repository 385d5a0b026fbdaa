// Case 2: the operator takes a model out of the configuration while servers still hold it.
// Usage: dropped_model FOLDER RECORD TROUBLE

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <iostream>
#include <sstream>

#include "platform.h"

namespace {

using namespace review;
namespace json = boost::json;

constexpr int kServers = 3;
constexpr double kWeightsMb = 200'000;
constexpr double kModelMb = 72'700;  // Two of them fit on a server.
constexpr double kLoadMs = 1'500;
constexpr double kUnloadMs = 100;
constexpr int kEvents = 5;
constexpr double kEventGapMs = 20;
constexpr double kChangeAtMs = 4'000;  // After the gateway is ready.
constexpr double kNewModelAtMs = 9'000;
constexpr double kEndMs = 25'000;

/// Models a0 to a2 and b0 to b2 stand on the servers, one of each kind on each server; the model
/// "new" on none. The b models are those of the route /archive/.
std::string Configuration(int version, const std::vector<std::string>& models, bool archive) {
  json::array routes;
  for (const char* name : {"chat", "archive"})
    if (archive || std::string(name) == "chat")
      routes.push_back({{"name", name},
                        {"host", "pages.example"},
                        {"pathPrefix", "/" + std::string(name) + "/"},
                        {"type", "stream"},
                        {"timeoutMs", 15'000},
                        {"targetMs", 5'000},
                        {"gapTargetMs", 300},
                        {"priority", 0},
                        {"service", "newsroom-llm"},
                        {"attempts", 1}});
  json::array described;
  for (const std::string& model : models)
    described.push_back({{"name", model},
                         {"weightsMb", kModelMb},
                         {"loadS", kLoadMs / 1'000},
                         {"adapters", 0},
                         {"adapterMb", 12.0}});
  const json::value configuration = {{"version", version},
                                     {"routes", routes},
                                     {"services", json::array{{{"name", "newsroom-llm"},
                                                               {"maxConns", 360},
                                                               {"engine",
                                                                {{"slots", 64},
                                                                 {"kvCapacity", 265'792},
                                                                 {"weightsMb", kWeightsMb},
                                                                 {"adapterSlots", 8},
                                                                 {"loadsPerS", 4.2},
                                                                 {"models", described}}}}}},
                                     {"limits",
                                      {{"maxHeaderBytes", 16384},
                                       {"maxBodyBytes", 4194304},
                                       {"headerTimeoutMs", 3000},
                                       {"idleTimeoutMs", 15000}}}};
  return json::serialize(configuration);
}

/// A model server: holds models, takes orders, streams answers. It falls when it is ordered to load
/// more than it can hold.
class ModelServer {
 public:
  ModelServer(std::string id, std::vector<std::string> models, Record& record)
      : id_(std::move(id)), models_(std::move(models)), record_(record) {}
  void Start() {
    listener_.Serve([this](Connection& connection) { Serve(connection); });
  }
  std::uint16_t port() const { return listener_.port(); }
  bool overfilled() const { return overfilled_; }
  std::string EntryFields() {
    const std::lock_guard lock(mutex_);
    return ",\"stage\":\"both\",\"models\":" + json::serialize(Models());
  }

 private:
  json::array Models() const {
    json::array models;
    for (const std::string& model : models_)
      models.push_back({{"name", model}, {"version", 1}, {"adapters", json::array()}});
    return models;
  }
  bool Holds(const std::string& model) const {
    return std::find(models_.begin(), models_.end(), model) != models_.end();
  }

  static std::string Answer(int status, const std::string& headers, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  std::string Report() {
    const std::lock_guard lock(mutex_);
    const json::value report = {{"stage", "both"}, {"models", Models()}, {"busy", busy_},
                                {"seq", seq_},     {"waiting", 0},       {"running", 0},
                                {"kvUsed", 0},     {"kvTotal", 265'792}, {"handles", 0}};
    return Answer(200, "Content-Type: application/json\r\n", json::serialize(report));
  }

  std::string Order(const std::string& body) {
    const json::object order = json::parse(body).as_object();
    const bool load = order.at("operation").as_string() == "load";
    const std::string model(order.at("model").as_string());
    const std::lock_guard lock(mutex_);
    std::string held;
    for (const std::string& each : models_) held += " " + each;
    if (busy_ || (order.contains("prevRevision") &&
                  order.at("prevRevision").to_number<std::int64_t>() != seq_))
      return Answer(409, "", "");
    if (Holds(model) == load) return Answer(200, "", "");
    const double after = kModelMb * static_cast<double>(models_.size() + (load ? 1 : 0));
    std::string line = "server " + id_ + ", which holds" + held + ", is ordered to " +
                       (load ? "load " : "unload ") + model + " by " +
                       std::string(order.at("holder").as_string());
    if (load && after > kWeightsMb) {
      overfilled_ = true;
      line += "; LIMIT: " + std::to_string(static_cast<int>(after)) + " MB of weights where " +
              std::to_string(static_cast<int>(kWeightsMb)) + " fit: the server falls";
    }
    record_.Line(line);
    if (overfilled_) return "";
    ++seq_;
    busy_ = true;
    std::thread([this, load, model] {
      SleepMs(load ? kLoadMs : kUnloadMs);
      const std::lock_guard done(mutex_);
      busy_ = false;
      if (load)
        models_.push_back(model);
      else
        std::erase(models_, model);
    }).detach();
    return Answer(202, "", "");
  }

  void Serve(Connection& connection) {
    Message request;
    while (connection.ReadHead(request, Now() + 30'000) == ReadEnd::kWhole &&
           connection.ReadBody(request, false, Now() + 10'000) == ReadEnd::kWhole) {
      if (overfilled_) return;
      std::string answer;
      if (request.start.starts_with("GET /report")) {
        answer = Report();
      } else if (request.start.starts_with("POST /order")) {
        answer = Order(request.body);
      } else {
        answer = Stream(request);
      }
      if (answer.empty() || !connection.Write(answer)) return;
      if (answer.find("chunked") == std::string::npos) continue;
      for (int event = 1; event <= kEvents; ++event) {
        SleepMs(kEventGapMs);
        const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
        std::ostringstream size;
        size << std::hex << text.size();
        if (overfilled_ || !connection.Write(size.str() + "\r\n" + text + "\r\n")) return;
      }
      if (!connection.Write("0\r\n\r\n")) return;
    }
  }

  std::string Stream(const Message& request) {
    const std::string id = request.Get("X-Request-Id");
    const std::string head = "X-Request-Id: " + id + "\r\nX-Server-Load: 1,0,64\r\n";
    const std::lock_guard lock(mutex_);
    if (!Holds(request.Get("X-Model"))) return Answer(421, head, "");
    return "HTTP/1.1 200 OK\r\n" + head + "X-Response-Seal: seal-" + id +
           "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  std::string id_;
  std::vector<std::string> models_;
  Record& record_;
  Listener listener_;
  std::mutex mutex_;
  std::int64_t seq_ = 0;
  bool busy_ = false;
  std::atomic<bool> overfilled_{false};
};

/// Asks for a model again and again.
void Ask(const std::string& model, double from, double until, double pause_ms,
         const Gateway& gateway, Record& record) {
  SleepUntil(from);
  for (int number = 0; Now() < until; ++number) {
    const std::string id = model + "-" + std::to_string(number);
    const std::string body = "prompt";
    Message answer;
    bool whole = false;
    if (auto connection = Connection::To(gateway.front)) {
      whole = connection->Write(
                  "POST /chat/x HTTP/1.1\r\nHost: pages.example\r\nX-Request-Id: " + id +
                  "\r\nX-Model: " + model +
                  "\r\nX-Token-Usage: 1000,20\r\nX-Prompt-Prefix: " + std::to_string(number + 10) +
                  "abc:1000\r\nX-Deadline-Ms: 15000\r\nContent-Length: 6\r\n\r\n" + body) &&
              connection->ReadHead(answer, Now() + 15'000) == ReadEnd::kWhole &&
              connection->ReadBody(answer, true, Now() + 15'000) == ReadEnd::kWhole;
    }
    if (model == "new" || !whole || StatusOf(answer) != 200)
      record.Line("client gets " + id + ": " +
                  (whole ? std::to_string(StatusOf(answer)) : "no whole answer"));
    SleepMs(pause_ms);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const bool trouble = std::string(argv[3]) != "0";
  Record record(argv[2]);
  std::vector<std::string> all;
  std::vector<std::string> kept;
  std::vector<std::unique_ptr<ModelServer>> servers;
  std::vector<ServerEntry> entries;
  for (int number = 0; number < kServers; ++number) {
    const std::string id = "i-" + std::to_string(number);
    const std::string chat = "a" + std::to_string(number);
    const std::string archive = "b" + std::to_string(number);
    all.insert(all.end(), {chat, archive});
    kept.push_back(chat);
    servers.push_back(
        std::make_unique<ModelServer>(id, std::vector<std::string>{chat, archive}, record));
    servers.back()->Start();
    entries.push_back({id, "newsroom-llm", servers.back()->port(), 64,
                       [server = servers.back().get()] { return server->EntryFields(); }});
  }
  all.push_back("new");
  kept.push_back("new");
  Platform platform(Configuration(1, all, true), entries);
  const Gateway gateway = WriteSettings(argv[1], "gateway-0", platform.store_port());
  std::ofstream(std::string(argv[1]) + "/ready") << "1\n";
  int status = 2;
  if (AwaitReady(gateway)) {
    const double began = Now();
    std::vector<std::thread> clients;
    for (int number = 0; number < kServers; ++number)
      clients.emplace_back(Ask, "a" + std::to_string(number), began, began + kEndMs, 100,
                           std::cref(gateway), std::ref(record));
    clients.emplace_back(Ask, "new", began + kNewModelAtMs, began + kEndMs, 200, std::cref(gateway),
                         std::ref(record));
    SleepUntil(began + kChangeAtMs);
    if (trouble) {
      platform.Configure(Configuration(2, kept, false));
      record.Line(
          "the operator writes version 2, without the route /archive/ and its models b0, b1, b2");
    }
    for (std::thread& client : clients) client.join();
    const auto overfilled = std::count_if(servers.begin(), servers.end(),
                                          [](const auto& server) { return server->overfilled(); });
    record.Line("LIMIT broken at " + std::to_string(overfilled) + " of " +
                std::to_string(kServers) + " servers");
    status = overfilled > 0 ? 1 : 0;
  } else {
    record.Line("the gateway was not ready within 20 s");
  }
  std::cout << "status " << status << std::endl;
  ::_exit(status);
}
