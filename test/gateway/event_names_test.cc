// docs/OPERATIONS.md lists every event that the gateway logs, and no other of that table is
// unknown.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace moorfold {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> EventsInSources(const std::filesystem::path& root) {
  const std::regex logged("LogLine(?: line)?\\(\"([a-z_]+)\"\\)");
  std::set<std::string> events = {"log_lines_left_out"};  // Written without a LogLine.
  for (const char* folder : {"src/gateway", "src/fleet", "platform"})
    for (const auto& entry : std::filesystem::directory_iterator(root / folder)) {
      if (entry.path().extension() != ".cc") continue;
      const std::string text = ReadFile(entry.path());
      for (std::sregex_iterator match(text.begin(), text.end(), logged), end; match != end; ++match)
        events.insert((*match)[1]);
    }
  return events;
}

/// The first column of the table under "## Logs"; a row may name several events.
std::set<std::string> EventsInTable(const std::string& page) {
  const std::size_t begin = page.find("| event | says |");
  const std::size_t end = page.find("\n\n", begin);
  std::istringstream rows(page.substr(begin, end - begin));
  std::set<std::string> events;
  std::string row;
  while (std::getline(rows, row)) {
    const std::string column = row.substr(1, row.find('|', 1) - 1);
    const std::regex name("[a-z_]{2,}");
    for (std::sregex_iterator match(column.begin(), column.end(), name), last; match != last;
         ++match)
      events.insert(match->str());
  }
  events.erase("event");
  return events;
}

TEST_CASE("The operators' page lists just the events that are logged") {
  const std::filesystem::path root = MOORFOLD_SOURCE_DIR;
  const std::set<std::string> logged = EventsInSources(root);
  REQUIRE(logged.size() > 10);
  CHECK(EventsInTable(ReadFile(root / "docs/OPERATIONS.md")) == logged);
}

}  // namespace
}  // namespace moorfold
