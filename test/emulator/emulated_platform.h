#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fault_proxy.h"
#include "isolation_checker.h"
#include "promise_checker.h"
#include "server_emulator.h"
#include "server_links.h"
#include "statement_checker.h"
#include "store_emulator.h"
#include "tenant_checker.h"

namespace moorfold {

struct PlatformOptions {
  std::uint64_t seed = 1;
  int model_servers = 4;
  int plain_servers = 3;
  std::chrono::milliseconds restart_after{1'500};  ///< Of a server whose process ended.
  bool same_id = false;  ///< Such a server comes back under the id that it had.
  int models = 6;        ///< The first ones stand on a server at the start, as far as room allows.
  std::chrono::milliseconds load_time{300};
  int gateways = 3;      ///< Each gets a way to the store of its own.
  bool tenants = false;  ///< Requests need keys, and tenants have limits.
  int spare_routes = 0;  ///< Of each configuration, which nobody asks for: they give it its size.
};

/// The emulated platform: a store, servers behind a link for each gateway, an operator. One thread.
class EmulatedPlatform {
 public:
  static constexpr const char* kHost = "host.example";
  /// Path of the less urgent stream route for long prompts; the other stream route is urgent.
  static constexpr const char* kLongPromptPath = "/stream/long/";
  /// Path of the stream route whose streams may be resumed, see ResumablePath.
  static constexpr const char* kResumablePath = "/stream/resumable/";

  EmulatedPlatform(boost::asio::io_context& context, PlatformOptions options);

  void Start();
  /// @return where gateway `number` finds the store: a proxy of its own.
  Endpoint store_for(int number) const { return store_proxies_.at(number)->endpoint(); }
  StoreEmulator& store() { return store_; }
  PromiseChecker& checker() { return checker_; }
  TenantChecker& tenant_checker() { return tenant_checker_; }
  StatementChecker& statement_checker() { return statement_checker_; }
  IsolationChecker& isolation_checker() { return isolation_checker_; }
  bool tenants() const { return options_.tenants; }
  /// Tenants with limits, and one whose key changes with each configuration.
  static constexpr const char* kSmallTenant = "small";
  static constexpr const char* kLargeTenant = "large";
  static constexpr const char* kTurningTenant = "turning";
  /// @param version of the configuration that brings the key of the tenant that changes it; two
  /// configurations later it is gone.
  static std::string KeyOf(const std::string& tenant, std::int64_t version) {
    return tenant == kTurningTenant ? "key-turning-" + std::to_string(version) : "key-" + tenant;
  }
  /// @return when that version was written; the beginning of time where it never was.
  BootClock::time_point WrittenAt(std::int64_t version) const;
  std::vector<std::unique_ptr<ServerEmulator>>& servers() { return servers_; }
  ServerLinks& server_links(std::size_t number) { return *server_links_.at(number); }
  /// Puts links before a server that is not one of the platform's own; only where it has none.
  /// @return the address that the server is to announce.
  Endpoint AddLinksTo(const Endpoint& server);
  /// Cuts one gateway off from all servers, also those that come later, or ends that.
  void CutFromServers(int gateway, ServerCut cut);
  /// One gateway reaches the servers that there are now over that link.
  void SetServerLink(int gateway, const std::shared_ptr<SharedLink>& link);
  FaultProxy& store_proxy(int number) { return *store_proxies_.at(number); }
  const std::vector<std::string>& models() const { return models_; }

  /// Writes a new configuration; its version names a route of its own, and the one of the version
  /// before the last goes.
  void Configure();
  std::int64_t version() const { return version_; }
  BootClock::time_point configured_at() const { return configured_at_; }
  /// Servers that start from now on run that version of their software.
  void SetServerVersion(std::string version) { server_version_ = std::move(version); }
  /// Another model server joins. @return its number.
  std::size_t AddModelServer(std::vector<LoadedModel> models);
  /// One server leaves and another of its kind comes.
  void ReplaceServer(std::size_t number);
  /// As in a release: the new one comes first, the old one says that it leaves, serves on for that
  /// time and goes. @return the number of the new one.
  Awaitable<std::size_t> ReleaseServer(std::size_t number, std::chrono::milliseconds serves_on);

 private:
  void AddServer(bool engine, std::vector<LoadedModel> models);
  /// Makes a server of the next id, for callers behind `proxy`.
  /// @param id of an earlier incarnation; empty: a new one.
  std::unique_ptr<ServerEmulator> MakeServer(bool engine, std::vector<LoadedModel> models,
                                             const std::string& id = "");
  void Serve(std::size_t number);
  /// A server whose process has ended comes back at its address under a new id or the one that it
  /// had, with nothing loaded.
  Awaitable<void> Restart(std::size_t number);
  std::string ConfigurationText() const;
  /// @return where gateway `number` finds the server that is announced at `address`.
  std::string AddressFor(int gateway, const std::string& address) const;

  boost::asio::io_context& context_;
  PlatformOptions options_;
  PromiseChecker checker_;
  TenantChecker tenant_checker_;
  StatementChecker statement_checker_;
  IsolationChecker isolation_checker_;
  StoreEmulator store_;
  std::vector<std::string> models_;
  std::vector<std::unique_ptr<FaultProxy>> store_proxies_;
  std::vector<std::unique_ptr<ServerLinks>> server_links_;
  std::map<int, ServerCut> cuts_;  ///< By gateway.
  std::vector<std::unique_ptr<ServerEmulator>> servers_;
  /// Servers whose processes have ended: their last handlers may still run.
  std::vector<std::unique_ptr<ServerEmulator>> ended_;
  std::string server_version_ = "v1";
  std::int64_t version_ = 0;
  BootClock::time_point configured_at_{};
  std::map<std::int64_t, BootClock::time_point> written_at_;
  int next_server_ = 0;
  std::int64_t last_born_ = 0;  ///< Of the server that started last.
};

}  // namespace moorfold
