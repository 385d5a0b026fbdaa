#include "gateway_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "raw_client.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr const char* kLoopback = "127.0.0.1";
constexpr milliseconds kSampleInterval{10};

/// @return the program under test; the variable MOORFOLD_GATEWAY_PROGRAM names another build of it.
const char* Program() {
  const char* const other = std::getenv("MOORFOLD_GATEWAY_PROGRAM");
  return other != nullptr ? other : MOORFOLD_GATEWAY;
}

/// @return the environment of the process: a sanitizer keeps few freed blocks there, so that the
/// memory of the process is what it holds.
std::vector<char*> Environment() {
  static std::string sanitizer = "ASAN_OPTIONS=quarantine_size_mb=8";
  std::vector<char*> variables;
  for (char** variable = environ; *variable != nullptr; ++variable)
    if (!std::string_view(*variable).starts_with("ASAN_OPTIONS=")) variables.push_back(*variable);
  variables.push_back(sanitizer.data());
  variables.push_back(nullptr);
  return variables;
}

std::uint64_t ResidentBytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  constexpr std::uint64_t kKilobyte = 1024;
  std::string line;
  while (std::getline(status, line))
    if (line.starts_with("VmRSS:")) return std::stoull(line.substr(6)) * kKilobyte;
  return 0;
}

std::uint64_t OpenDescriptors(pid_t pid) {
  std::error_code error;
  std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid) + "/fd", error);
  std::uint64_t count = 0;
  for (; !error && entries != std::filesystem::directory_iterator(); entries.increment(error))
    ++count;
  return count;
}

}  // namespace

PlatformThread::PlatformThread(const PlatformOptions& options)
    : context_(1), platform_(context_, options) {
  platform_.Start();
  thread_ = std::thread([this] { context_.run(); });
}

PlatformThread::~PlatformThread() {
  context_.stop();
  thread_.join();
  context_.DestroyHandlers();
}

void PlatformThread::AddServer(const std::string& id, const std::string& service,
                               const Endpoint& address) {
  const std::string entry = R"({"service":")" + service + R"(","address":")" + ToString(address) +
                            R"(","zone":"z","version":"v1","slots":64,"state":"ready",)" +
                            R"("coldLeftMs":0,"seq":1,"models":[{"name":"m0","adapters":[]}]})";
  boost::asio::post(context_, [this, id, entry] { platform_.store().Put("servers/" + id, entry); });
}

GatewayProcess::GatewayProcess(const Endpoint& store, MachineLimits limits, const std::string& more)
    : ports_(::getpid()) {
  front_ = {kLoopback, ports_.Next()};
  peer_ = {kLoopback, ports_.Next()};
  readiness_ = {kLoopback, ports_.Next()};
  std::string pattern =
      (std::filesystem::temp_directory_path() / "moorfold-gateway-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
  folder_ = pattern;
  std::ofstream(folder_ + "/settings.yaml")
      << "name: gateway\nzone: z\nlisten: " << ToString(front_)
      << "\nreadiness: " << ToString(readiness_) << "\npeer: " << ToString(peer_)
      << "\nstore: " << ToString(store) << "\nmemory_mb: " << limits.memory_mb
      << "\nmax_descriptors: " << limits.descriptors << "\n"
      << more;
  const std::string settings = folder_ + "/settings.yaml";
  const std::string log = folder_ + "/log";
  posix_spawn_file_actions_t actions;
  ::posix_spawn_file_actions_init(&actions);
  constexpr int kOwnerOnly = 0600;
  ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kOwnerOnly);
  ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> arguments = {Program(), "--settings", settings};
  std::vector<char*> pointers;
  for (std::string& argument : arguments) pointers.push_back(argument.data());
  pointers.push_back(nullptr);
  const int failed =
      ::posix_spawn(&pid_, Program(), &actions, nullptr, pointers.data(), Environment().data());
  ::posix_spawn_file_actions_destroy(&actions);
  if (failed != 0) throw std::runtime_error(std::string("cannot start ") + Program());
  sampler_ = std::thread([this] { Sample(); });
  const auto give_up = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (RawClient::StatusOfGet(readiness_, "/readyz") != 200) {
    if (std::chrono::steady_clock::now() > give_up || !Lives()) {
      const std::string text = Log();
      sampling_ = false;
      sampler_.join();
      throw std::runtime_error("the gateway does not become ready: " + text);
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
}

GatewayProcess::~GatewayProcess() {
  sampling_ = false;
  if (sampler_.joinable()) sampler_.join();
  if (Lives()) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void GatewayProcess::Terminate() const { ::kill(pid_, SIGTERM); }

bool GatewayProcess::Lives() {
  if (!ended_) ended_ = ::waitpid(pid_, nullptr, WNOHANG) != 0;
  return !ended_;
}

bool GatewayProcess::AwaitEnd(milliseconds patience) {
  const auto give_up = std::chrono::steady_clock::now() + patience;
  while (Lives() && std::chrono::steady_clock::now() < give_up)
    std::this_thread::sleep_for(kSampleInterval);
  return ended_;
}

std::string GatewayProcess::Log() const {
  std::ifstream log(folder_ + "/log");
  return {std::istreambuf_iterator<char>(log), {}};
}

std::uint64_t GatewayProcess::UnreadBytes() const {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  std::uint64_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues;
    fields >> number >> local >> remote >> state >> queues;
    constexpr const char* kListening = "0A";
    constexpr int kHex = 16;
    const auto port = std::stoul(local.substr(local.find(':') + 1), nullptr, kHex);
    const auto remote_port = std::stoul(remote.substr(remote.find(':') + 1), nullptr, kHex);
    const bool own = port == front_.port || port == peer_.port || port == readiness_.port ||
                     (remote_port == server_port_ && server_port_ != 0);
    if (own && state != kListening)
      bytes += std::stoull(queues.substr(queues.find(':') + 1), nullptr, kHex);
  }
  return bytes;
}

void GatewayProcess::Sample() {
  while (sampling_) {
    const std::uint64_t unread = UnreadBytes();
    peak_unread_ = std::max<std::uint64_t>(peak_unread_, unread);
    peak_memory_ = std::max<std::uint64_t>(peak_memory_, ResidentBytes(pid_) + unread);
    peak_descriptors_ = std::max<std::uint64_t>(peak_descriptors_, OpenDescriptors(pid_));
    std::this_thread::sleep_for(kSampleInterval);
  }
}

}  // namespace moorfold
