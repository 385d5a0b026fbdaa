#include <algorithm>
#include <atomic>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include "cli/command_line.h"
#include "config/scenario_file.h"
#include "simulation/result_report.h"
#include "simulation/simulation.h"

namespace moorfold {
namespace {

using Setting = std::pair<std::string, std::string>;

/// One cell of the grid and what its seeds gave.
struct Cell {
  std::vector<Setting> settings;
  std::vector<double> p99;
  std::vector<double> idle_hours;
  std::vector<double> served_share;
  std::uint64_t violations = 0;
};

std::vector<std::string> SplitValues(const std::string& text) {
  std::vector<std::string> values;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t comma = std::min(text.find(',', begin), text.size());
    values.push_back(text.substr(begin, comma - begin));
    begin = comma + 1;
  }
  return values;
}

/// The cross product of all --vary KEY=a,b,c.
std::vector<Cell> MakeGrid(const std::vector<std::string>& varied) {
  std::vector<Cell> grid(1);
  for (const std::string& text : varied) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
      throw UsageError("moorfold experiment: '" + text + "' varies nothing; write KEY=a,b,c");
    std::vector<Cell> next;
    for (const Cell& cell : grid) {
      for (const std::string& value : SplitValues(text.substr(equals + 1))) {
        next.push_back(cell);
        next.back().settings.emplace_back(text.substr(0, equals), value);
      }
    }
    grid = std::move(next);
  }
  return grid;
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return Percentile(values, 0.5);
}

std::string NameOf(const Cell& cell) {
  std::string name;
  for (const auto& [key, value] : cell.settings) name += (name.empty() ? "" : " ") + value;
  return name;
}

/// Runs all seeds of all cells on all cores.
void RunGrid(const std::string& file, std::vector<Cell>& grid, std::uint64_t first_seed,
             std::uint64_t seeds, FaultMode faults, const std::vector<Setting>& fixed) {
  struct Job {
    std::size_t cell;
    std::uint64_t seed;
  };
  std::vector<Job> jobs;
  for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed)
    for (std::size_t cell = 0; cell < grid.size(); ++cell) jobs.push_back({cell, seed});
  std::vector<SimulationResult> results(jobs.size());
  std::atomic<std::size_t> next{0};
  std::atomic<std::size_t> done{0};
  const auto work = [&] {
    for (std::size_t index = next++; index < jobs.size(); index = next++) {
      std::vector<Setting> overrides = fixed;
      const std::vector<Setting>& own = grid[jobs[index].cell].settings;
      overrides.insert(overrides.end(), own.begin(), own.end());
      SimulationOptions options;
      options.seed = jobs[index].seed;
      options.faults = faults;
      results[index] = Simulation(ReadScenarioFile(file, overrides), options).Run();
      std::cerr << "\r" << ++done << " of " << jobs.size() << " runs " << std::flush;
    }
  };
  std::vector<std::thread> workers;
  for (unsigned index = 0; index < std::max(1U, std::thread::hardware_concurrency()); ++index)
    workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();
  std::cerr << "\n";
  constexpr double kSecondsPerHour = 3600;
  for (std::size_t index = 0; index < jobs.size(); ++index) {
    Cell& cell = grid[jobs[index].cell];
    const SimulationResult& result = results[index];
    cell.p99.push_back(Percentile(result.cold_start_seconds, 0.99));
    cell.idle_hours.push_back(result.usage.idle_accelerator_seconds / kSecondsPerHour);
    cell.served_share.push_back(static_cast<double>(result.served) /
                                static_cast<double>(std::max<std::uint64_t>(1, result.offered)));
    cell.violations += result.violations.size();
  }
}

void PrintTable(const std::vector<Cell>& grid) {
  std::cout << "| setting | p99 cold start s, median (min-max) | idle accelerator hours, median "
               "(min-max) | p99 ratio | idle ratio | served | violations |\n"
            << "|---|---|---|---|---|---|---|\n"
            << std::fixed << std::setprecision(2);
  const double first_p99 = Median(grid.front().p99);
  const double first_idle = Median(grid.front().idle_hours);
  for (const Cell& cell : grid) {
    const auto spread = [](const std::vector<double>& values) {
      const auto [low, high] = std::minmax_element(values.begin(), values.end());
      return std::pair(*low, *high);
    };
    const auto [p99_low, p99_high] = spread(cell.p99);
    const auto [idle_low, idle_high] = spread(cell.idle_hours);
    std::cout << "| " << NameOf(cell) << " | " << Median(cell.p99) << " (" << p99_low << "-"
              << p99_high << ") | " << Median(cell.idle_hours) << " (" << idle_low << "-"
              << idle_high << ") | " << (first_p99 > 0 ? Median(cell.p99) / first_p99 : 0) << " | "
              << (first_idle > 0 ? Median(cell.idle_hours) / first_idle : 0) << " | "
              << 100 * Median(cell.served_share) << "% | " << cell.violations << " |\n";
  }
}

void WriteCsv(const std::string& file, const std::vector<Cell>& grid) {
  std::ofstream stream(file);
  stream << "setting,run,p99_cold_start_seconds,idle_accelerator_hours,served_share\n";
  for (const Cell& cell : grid)
    for (std::size_t run = 0; run < cell.p99.size(); ++run)
      stream << NameOf(cell) << "," << run << "," << cell.p99[run] << "," << cell.idle_hours[run]
             << "," << cell.served_share[run] << "\n";
}

}  // namespace

int RunExperiment(const std::vector<std::string>& arguments) {
  CommandLine line("experiment",
                   "Runs a scenario over a grid of settings and seeds; prints a table");
  TCLAP::ValueArg<std::string> file("", "scenario", "Scenario file (YAML)", true, "", "FILE",
                                    line.tclap());
  TCLAP::MultiArg<std::string> vary("", "vary", "A setting and its values", true, "KEY=a,b,c",
                                    line.tclap());
  TCLAP::MultiArg<std::string> set("", "set", "A setting for all runs", false, "KEY=VALUE",
                                   line.tclap());
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "Seeds for each cell", false, 5, "N",
                                       line.tclap());
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "N", line.tclap());
  TCLAP::ValueArg<std::string> faults("", "faults", "none or chaos", false, "none", "MODE",
                                      line.tclap());
  TCLAP::ValueArg<std::string> csv("", "csv", "Also write every run", false, "", "FILE",
                                   line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  if (faults.getValue() != "none" && faults.getValue() != "chaos")
    throw UsageError("moorfold experiment: --faults is none or chaos");
  std::vector<Setting> fixed;
  for (const std::string& text : set.getValue()) {
    const std::size_t equals = std::min(text.find('='), text.size());
    fixed.emplace_back(text.substr(0, equals), equals < text.size() ? text.substr(equals + 1) : "");
  }
  std::vector<Cell> grid = MakeGrid(vary.getValue());
  for (const Cell& cell : grid) {  // Mistakes show before the long work.
    std::vector<Setting> overrides = fixed;
    overrides.insert(overrides.end(), cell.settings.begin(), cell.settings.end());
    ReadScenarioFile(file.getValue(), overrides);
  }
  RunGrid(file.getValue(), grid, seed.getValue(), seeds.getValue(),
          faults.getValue() == "chaos" ? FaultMode::kChaos : FaultMode::kNone, fixed);
  PrintTable(grid);
  if (!csv.getValue().empty()) WriteCsv(csv.getValue(), grid);
  const bool broken =
      std::any_of(grid.begin(), grid.end(), [](const Cell& cell) { return cell.violations > 0; });
  return broken ? kExitFailed : kExitDone;
}

}  // namespace moorfold
