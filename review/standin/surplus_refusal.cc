// Case 1: servers send some answers twice, the second time in the place where the next answer is
// due. Usage: surplus_refusal FOLDER RECORD TROUBLE

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <iostream>

#include "platform.h"

namespace {

using namespace review;

constexpr int kGateways = 7;
constexpr int kServers = 2;
constexpr int kFaultyServers = 1;  ///< A share of 0.5.
constexpr int kSlots = 1;
constexpr int kQueue = 1;
constexpr double kWorkMs = 50;
constexpr int kClients = 7;
constexpr double kPlayMs = 72'000;
/// A faulty server sends one of so many answers twice: a share of 0.0294.
constexpr int kAnswersForOneSurplus = 34;
/// The clients send at the same moments.
constexpr double kClumpEveryMs = 200;
/// The fault lasts so long, and comes again.
constexpr double kFaultMs = 5'000;
constexpr double kFaultEveryMs = 6'000;

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"alert","host":"pages.example","pathPrefix":"/alert/",)"
         R"("type":"unsafe","timeoutMs":3000,"targetMs":500,"priority":2,"service":"page-service",)"
         R"("attempts":1}],"services":[{"name":"page-service","maxConns":100}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

/// What the servers saw, by request.
class Runs {
 public:
  explicit Runs(Record& record) : record_(record) {}
  void Ran(const std::string& id, const std::string& server) {
    const std::lock_guard lock(mutex_);
    std::vector<std::string>& servers = by_id_[id];
    servers.push_back(server);
    ++runs_;
    std::string all;
    for (const std::string& each : servers) all += " " + each;
    record_.Line("server " + server + " runs " + id +
                 (servers.size() > 1 ? "; TWICE: it ran at" + all : ""));
    if (servers.size() == 2) ++twice_;
  }
  bool HasRun(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return by_id_.contains(id);
  }
  int twice() const { return twice_; }
  int runs() const { return runs_; }

 private:
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, std::vector<std::string>> by_id_;
  std::atomic<int> twice_{0};
  std::atomic<int> runs_{0};
};

class Server {
 public:
  Server(std::string id, bool faulty, Runs& runs, Record& record)
      : id_(std::move(id)), faulty_(faulty), runs_(runs), record_(record) {}
  void Start() {
    listener_.Serve([this](Connection& connection) { Serve(connection); });
  }
  std::uint16_t port() const { return listener_.port(); }

 private:
  /// @return the answer, after the run if there is one.
  std::string Answer(const std::string& id) {
    std::unique_lock lock(mutex_);
    const std::string load =
        std::to_string(running_) + "," + std::to_string(waiting_) + "," + std::to_string(kSlots);
    const std::string common = "X-Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
    if (running_ >= kSlots && waiting_ >= kQueue) {
      record_.Line("server " + id_ + " refuses " + id + " (503, not executed)");
      return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Server-Load: " + load +
             "\r\n" + common + "Content-Length: 0\r\n\r\n";
    }
    ++waiting_;
    free_.wait(lock, [this] { return running_ < kSlots; });
    --waiting_;
    ++running_;
    lock.unlock();
    runs_.Ran(id, id_);
    SleepMs(kWorkMs);
    lock.lock();
    --running_;
    lock.unlock();
    free_.notify_one();
    const std::string body = "done " + id;
    return "HTTP/1.1 200 OK\r\nX-Response-Seal: seal-" + id + "\r\nX-Server-Load: " + load +
           "\r\n" + common + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  /// In each period of the fault, of each kAnswersForOneSurplus answers one refusal at most.
  bool SendsTwice(bool refusal) {
    const double now = Now();
    if (!faulty_ || std::fmod(now, kFaultEveryMs) >= kFaultMs) return false;
    const std::lock_guard lock(mutex_);
    const int period = static_cast<int>(now / kFaultEveryMs);
    if (period != period_) {
      period_ = period;
      answers_ = 0;
      surplus_due_ = false;
    }
    if (++answers_ % kAnswersForOneSurplus == 0) surplus_due_ = true;
    return refusal && std::exchange(surplus_due_, false);
  }

  void Serve(Connection& connection) {
    Message request;
    std::string surplus;
    while (connection.ReadHead(request, Now() + 10'000) == ReadEnd::kWhole) {
      if (connection.ReadBody(request, false, Now() + 10'000) != ReadEnd::kWhole) return;
      const std::string id = request.Get("X-Request-Id");
      if (!surplus.empty()) {
        record_.Line("server " + id_ + " sends an earlier answer again where that of " + id +
                     " is due: " + surplus.substr(0, 12) + ", of " + IdOf(surplus));
        if (!connection.Write(std::exchange(surplus, ""))) return;
      }
      const std::string answer = Answer(id);
      if (SendsTwice(answer.starts_with("HTTP/1.1 503"))) surplus = answer;
      if (!connection.Write(answer)) return;
    }
  }

  static std::string IdOf(const std::string& answer) {
    const std::size_t at = answer.find("X-Request-Id: ") + 14;
    return answer.substr(at, answer.find('\r', at) - at);
  }

  std::string id_;
  bool faulty_;
  Runs& runs_;
  Record& record_;
  Listener listener_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  int period_ = -1;
  int answers_ = 0;  ///< In this period of the fault.
  bool surplus_due_ = false;
};

/// One client with a connection that it keeps.
class Client {
 public:
  Client(int number, const Gateway& gateway, Record& record)
      : number_(number), gateway_(gateway), record_(record) {}

  void Play(double until) {
    while (Now() < until) {
      SendOne();
      SleepUntil(std::ceil(Now() / kClumpEveryMs) * kClumpEveryMs);
    }
  }
  /// @return requests that were answered with the promise that they have not run and never will.
  const std::vector<std::string>& refused() const { return refused_; }
  int sent() const { return sent_; }

 private:
  void SendOne() {
    if (!connection_) connection_ = Connection::To(gateway_.front);
    if (!connection_) return;
    const std::string id = "c" + std::to_string(number_) + "-" + std::to_string(sent_++);
    const std::string body = "alert of " + id;
    const bool written = connection_->Write(
        "POST /alert/send HTTP/1.1\r\nHost: pages.example\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body);
    Message answer;
    const double until = Now() + 3'000;
    const bool whole = written && connection_->ReadHead(answer, until) == ReadEnd::kWhole &&
                       connection_->ReadBody(answer, true, until) == ReadEnd::kWhole;
    const int status = whole ? StatusOf(answer) : 0;
    if (status == 503 || status == 429 || status == 408 || status == 421) refused_.push_back(id);
    record_.Line("client gets " + id + ": " + (whole ? std::to_string(status) : "no answer"));
    if (!whole || answer.Get("Connection") == "close") connection_.reset();
  }

  int number_;
  const Gateway& gateway_;
  Record& record_;
  std::unique_ptr<Connection> connection_;
  int sent_ = 0;
  std::vector<std::string> refused_;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  const bool trouble = std::string(argv[3]) != "0";
  Record record(argv[2]);
  Runs runs(record);
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<ServerEntry> entries;
  for (int number = 0; number < kServers; ++number) {
    const std::string id = "i-" + std::to_string(number);
    servers.push_back(
        std::make_unique<Server>(id, trouble && number < kFaultyServers, runs, record));
    servers.back()->Start();
    entries.push_back({id, "page-service", servers.back()->port(), kSlots});
  }
  Platform platform(Configuration(), entries);
  std::vector<Gateway> gateways;
  for (int number = 0; number < kGateways; ++number)
    gateways.push_back(
        WriteSettings(argv[1], "gateway-" + std::to_string(number), platform.store_port()));
  std::ofstream(std::string(argv[1]) + "/ready") << "1\n";
  int status = 2;
  if (std::all_of(gateways.begin(), gateways.end(), AwaitReady)) {
    SleepMs(1'000);
    std::vector<Client> clients;
    for (int number = 0; number < kClients; ++number)
      clients.emplace_back(number, gateways[static_cast<std::size_t>(number % kGateways)], record);
    std::vector<std::thread> threads;
    const double until = Now() + kPlayMs;
    for (Client& client : clients) threads.emplace_back([&client, until] { client.Play(until); });
    for (std::thread& thread : threads) thread.join();
    SleepMs(1'000);  // Until the last runs have ended.
    int sent = 0;
    int refused = 0;
    for (const Client& client : clients) {
      sent += client.sent();
      for (const std::string& id : client.refused()) {
        if (!runs.HasRun(id)) continue;
        ++refused;
        record.Line("REFUSED: " + id + " was answered 'not run' and has run");
      }
    }
    record.Line("requests sent " + std::to_string(sent) + ", runs " + std::to_string(runs.runs()) +
                "; TWICE: " + std::to_string(runs.twice()) +
                " requests that are not idempotent ran twice; REFUSED: " + std::to_string(refused) +
                " were answered 'not run' though they had run");
    status = runs.twice() > 0 || refused > 0 ? 1 : 0;
  } else {
    record.Line("a gateway was not ready within 20 s");
  }
  std::cout << "status " << status << std::endl;
  ::_exit(status);
}
