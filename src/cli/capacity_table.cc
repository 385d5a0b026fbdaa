#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

#include "cli/command_line.h"
#include "ports/json_codec.h"

namespace moorfold {

namespace json = boost::json;

namespace {

struct Column {
  const char* title;
  const char* key;
  double factor;  ///< From the row's unit to the table's.
  double budget;  ///< 0: none.
};

constexpr double kPerKilo = 1e-3;
const std::vector<Column> kColumns = {
    {"messages/s p50", "messages_per_second_p50", 1, 0},
    {"messages/s max", "messages_per_second_max", 1, 0},
    {"KB/s p50", "bytes_per_second_p50", kPerKilo, 11},
    {"KB/s max", "bytes_per_second_max", kPerKilo, 11},
    {"% of a core", "cpu_percent_of_core", 1, 1.4},
    {"MiB", "memory_mib", 1, 32},
    {"in force max s", "in_force_seconds_max", 1, 19},
    {"KV reads/s", "key_value_reads_per_second", 1, 0},
    {"KV writes/s", "key_value_writes_per_second", 1, 0},
};

/// Which size varies in a series.
const std::map<std::string, const char*> kVaried = {{"daemons in a zone", "daemons"},
                                                    {"servers in a zone", "servers"},
                                                    {"models", "models"},
                                                    {"whole", "daemons"}};

struct Fit {
  double slope = 0;
  double intercept = 0;
  double r_squared = 0;
};

/// Least squares through the points.
Fit FitLine(const std::vector<std::pair<double, double>>& points) {
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / count;
    mean_y += y / count;
  }
  double covariance = 0;
  double variance_x = 0;
  double variance_y = 0;
  for (const auto& [x, y] : points) {
    covariance += (x - mean_x) * (y - mean_y);
    variance_x += (x - mean_x) * (x - mean_x);
    variance_y += (y - mean_y) * (y - mean_y);
  }
  Fit fit;
  if (variance_x == 0) return fit;
  fit.slope = covariance / variance_x;
  fit.intercept = mean_y - fit.slope * mean_x;
  fit.r_squared = variance_y == 0 ? 1 : covariance * covariance / (variance_x * variance_y);
  return fit;
}

double ValueOf(const json::value& row, const Column& column) {
  return row.at(column.key).to_number<double>() * column.factor;
}

void PrintSeries(const std::string& series, const std::vector<json::value>& rows) {
  const char* varied = kVaried.at(series);
  std::cout << "\n### " << series << "\n\n| daemons | zones | servers | models |";
  for (const Column& column : kColumns) std::cout << " " << column.title << " |";
  std::cout << "\n|---|---|---|---|";
  for (std::size_t index = 0; index < kColumns.size(); ++index) std::cout << "---|";
  std::cout << "\n" << std::setprecision(3);
  for (const json::value& row : rows) {
    for (const char* key : {"daemons", "zones", "servers", "models"})
      std::cout << "| " << row.at(key).to_number<double>() << " ";
    for (const Column& column : kColumns) std::cout << "| " << ValueOf(row, column) << " ";
    std::cout << "|\n";
  }
  std::cout << "| slope per " << varied << " | | | ";
  std::vector<Fit> fits;
  for (const Column& column : kColumns) {
    std::vector<std::pair<double, double>> points;
    for (const json::value& row : rows)
      points.emplace_back(row.at(varied).to_number<double>(), ValueOf(row, column));
    fits.push_back(FitLine(points));
    std::cout << "| " << fits.back().slope << " ";
  }
  std::cout << "|\n| intercept | | | ";
  for (const Fit& fit : fits) std::cout << "| " << fit.intercept << " ";
  std::cout << "|\n| R² of the fit | | | ";
  for (const Fit& fit : fits) std::cout << "| " << fit.r_squared << " ";
  std::cout << "|\n";
}

void PrintVerdict(const json::value& largest) {
  std::cout << "\n### Against the budget, at " << largest.at("daemons").to_number<double>()
            << " daemons\n\n| figure | measured | budget | |\n|---|---|---|---|\n";
  for (const Column& column : kColumns) {
    if (column.budget == 0) continue;
    const double value = ValueOf(largest, column);
    std::cout << "| " << column.title << " | " << value << " | " << column.budget << " | "
              << (value <= column.budget ? "met" : "MISSED") << " |\n";
  }
}

}  // namespace

int RunCapacityTable(const std::vector<std::string>& arguments) {
  CommandLine line("capacity-table", "Makes tables and fits from rows of 'moorfold hollow'");
  TCLAP::ValueArg<std::string> rows_file("", "rows", "One JSON object a line, with 'series'", true,
                                         "", "FILE", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  std::ifstream stream(rows_file.getValue());
  if (!stream)
    throw UsageError("moorfold capacity-table: " + rows_file.getValue() +
                     " cannot be read; name the output of scripts/capacity.sh");
  std::map<std::string, std::vector<json::value>> series;
  std::string text;
  while (std::getline(stream, text)) {
    const json::value row = ParseJson(text);
    series[std::string(row.at("series").as_string())].push_back(row);
  }
  for (const auto& [name, rows] : series) PrintSeries(name, rows);
  const auto whole = series.find("whole");
  if (whole != series.end()) PrintVerdict(whole->second.back());
  return kExitDone;
}

}  // namespace moorfold
