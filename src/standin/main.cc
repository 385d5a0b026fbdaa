#include <glog/logging.h>
#include <tclap/CmdLine.h>

#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>

#include "config/intent_file.h"
#include "config/strict_yaml.h"
#include "standin/platform.h"

namespace moorfold {
namespace {

constexpr int kBadUsage = 2;

struct StandinArguments {
  std::string deployment;
  std::string intent;
  std::string endpoints_file;
  PlatformOptions options;
};

StandinArguments ParseArguments(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Plays the platform of a deployment on loopback: key-value service, machine "
      "list, weight store, model engines and back ends.",
      ' ', "0.1.0");
  TCLAP::ValueArg<std::string> deployment("", "deployment", "Deployment file (YAML)", true, "",
                                          "FILE", line);
  TCLAP::ValueArg<std::string> intent("", "intent", "Intent whose models are cached on some disks",
                                      false, "", "FILE", line);
  TCLAP::ValueArg<std::string> endpoints("", "endpoints-file",
                                         "Where to write the addresses, as shell variables", false,
                                         "", "FILE", line);
  TCLAP::ValueArg<unsigned> admin_port("", "admin-port", "Machine list and faults; 0: any", false,
                                       0, "PORT", line);
  TCLAP::ValueArg<unsigned> key_value_port("", "key-value-port", "0: any", false, 0, "PORT", line);
  TCLAP::ValueArg<double> speedup("", "load-speedup", "Divides load times", false, 1, "FACTOR",
                                  line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "For the caches at the start", false, 1, "N",
                                      line);
  line.parse(argc, argv);
  StandinArguments arguments;
  arguments.deployment = deployment.getValue();
  arguments.intent = intent.getValue();
  arguments.endpoints_file = endpoints.getValue();
  arguments.options.admin_port = static_cast<std::uint16_t>(admin_port.getValue());
  arguments.options.key_value_port = static_cast<std::uint16_t>(key_value_port.getValue());
  arguments.options.load_speedup = speedup.getValue();
  arguments.options.seed = seed.getValue();
  return arguments;
}

/// Written under another name first, so that a reader never sees half of it.
void WriteEndpoints(const std::string& file, const Platform& platform) {
  const std::string unfinished = file + ".tmp";
  {
    std::ofstream stream(unfinished);
    stream << "KEY_VALUE=" << ToString(platform.key_value()) << "\n"
           << "MACHINE_LIST=" << ToString(platform.admin()) << "\n";
  }
  std::rename(unfinished.c_str(), file.c_str());
}

int Run(const StandinArguments& arguments) {
  Deployment deployment = ReadDeploymentFile(arguments.deployment);
  PlatformOptions options = arguments.options;
  if (!arguments.intent.empty())
    for (const auto& [name, model] : ReadIntentFile(arguments.intent).models)
      options.checkpoints.push_back(name);
  boost::asio::io_context context(1);
  Platform platform(context, std::move(deployment), std::move(options));
  platform.Start();
  if (!arguments.endpoints_file.empty()) WriteEndpoints(arguments.endpoints_file, platform);
  LOG(INFO) << "event=standin_ready key_value=" << ToString(platform.key_value())
            << " admin=" << ToString(platform.admin());
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](const auto&, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace
}  // namespace moorfold

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  try {
    return moorfold::Run(moorfold::ParseArguments(argc, argv));
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.error() << " " << error.argId() << "\n";
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
  }
  return moorfold::kBadUsage;
}
