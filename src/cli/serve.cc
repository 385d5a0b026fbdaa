#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdio>
#include <fstream>
#include <functional>

#include "cli/command_line.h"
#include "common/log_line.h"
#include "config/settings_file.h"
#include "daemon/daemon.h"
#include "ports/json_codec.h"

namespace moorfold {
namespace {

class ServeFlags {
 public:
  ServeFlags() : line_("serve", "Runs the daemon until SIGTERM; SIGHUP reads the settings again") {}

  bool Parse(const std::vector<std::string>& arguments) { return line_.Parse(arguments); }
  std::string settings_file() const { return settings_.getValue(); }
  std::string ready_file() const { return ready_file_.getValue(); }

  /// Reads the settings file and applies the flags over it.
  DaemonSettings Read() const {
    DaemonSettings settings = ReadSettingsFile(settings_.getValue());
    if (name_.isSet()) settings.name = name_.getValue();
    if (zone_.isSet()) settings.zone = zone_.getValue();
    Override(listen_, settings.listen);
    Override(peer_listen_, settings.peer_listen);
    Override(key_value_, settings.key_value);
    Override(machine_list_, settings.machine_list);
    Require(!settings.name.empty(), "a daemon's name", "--name");
    Require(settings.key_value.port != 0, "the key-value service's address", "--key-value");
    Require(settings.machine_list.port != 0, "the machine list's address", "--machine-list");
    return settings;
  }

 private:
  using TextFlag = TCLAP::ValueArg<std::string>;

  static void Override(const TextFlag& flag, Endpoint& endpoint) {
    if (!flag.isSet()) return;
    try {
      endpoint = ParseEndpoint(flag.getValue());
    } catch (const std::invalid_argument& error) {
      throw UsageError("moorfold serve: --" + flag.getName() + ": " + error.what());
    }
  }
  static void Require(bool given, const std::string& what, const std::string& flag) {
    if (!given)
      throw UsageError("moorfold serve: " + what +
                       " is missing; put it in the settings file or "
                       "give " +
                       flag);
  }

  CommandLine line_;
  TextFlag settings_{"", "settings", "Settings file (YAML)", true, "", "FILE", line_.tclap()};
  TextFlag name_{"", "name", "This daemon's name", false, "", "NAME", line_.tclap()};
  TextFlag zone_{"", "zone", "This daemon's zone", false, "", "ZONE", line_.tclap()};
  TextFlag listen_{"", "listen", "Callers' address", false, "", "IP:PORT", line_.tclap()};
  TextFlag peer_listen_{"", "peer-listen", "Daemons' address", false, "", "IP:PORT", line_.tclap()};
  TextFlag key_value_{"", "key-value", "Key-value service", false, "", "IP:PORT", line_.tclap()};
  TextFlag machine_list_{"", "machine-list", "Machine list", false, "", "IP:PORT", line_.tclap()};
  TextFlag ready_file_{
      "",     "ready-file", "Where to write the bound ports, as a machine (JSON)", false, "",
      "FILE", line_.tclap()};
};

/// Written under another name first, so that a reader never sees half of it.
void WriteReadyFile(const std::string& file, const Daemon& daemon) {
  Machine machine;
  machine.name = daemon.identity().name;
  machine.zone = daemon.identity().zone;
  machine.kind = MachineKind::kDaemon;
  machine.address = daemon.http_endpoint().address;
  machine.http_port = daemon.http_endpoint().port;
  machine.peer_port = daemon.peer_endpoint().port;
  const std::string unfinished = file + ".tmp";
  std::ofstream(unfinished) << ToJson(machine) << "\n";
  std::rename(unfinished.c_str(), file.c_str());
}

void ReloadSettings(const ServeFlags& flags, Daemon& daemon) {
  try {
    daemon.Reload(flags.Read().core);
  } catch (const std::exception& error) {
    LOG(WARNING) << LogLine("settings_rejected").Field("problem", error.what());
  }
}

}  // namespace

int RunServe(const std::vector<std::string>& arguments) {
  ServeFlags flags;
  if (!flags.Parse(arguments)) return kExitDone;
  Daemon daemon(flags.Read());
  daemon.Start();
  if (!flags.ready_file().empty()) WriteReadyFile(flags.ready_file(), daemon);
  LOG(INFO) << LogLine("serving")
                   .Field("daemon", daemon.identity().name)
                   .Field("zone", daemon.identity().zone)
                   .Field("http", ToString(daemon.http_endpoint()))
                   .Field("peer", ToString(daemon.peer_endpoint()));
  boost::asio::io_context context(1);
  boost::asio::signal_set stop(context, SIGINT, SIGTERM);
  boost::asio::signal_set reload(context, SIGHUP);
  std::function<void()> await_reload = [&] {
    reload.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      ReloadSettings(flags, daemon);
      await_reload();
    });
  };
  await_reload();
  stop.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
  context.run();
  daemon.BeginStop();
  return daemon.AwaitStopped() ? kExitDone : kExitFailed;
}

}  // namespace moorfold
