// Guards against drift between docs/OPERATIONS.md and the log: the page must explain exactly the
// listed events and fields, and each listed one must be used in the sources.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "common/log_event.h"

namespace moorfold {
namespace {

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string GatewaySources() {
  const std::filesystem::path root = MOORFOLD_SOURCE_DIR;
  std::string text = ReadFile(root / "src/common/event_log.cc");
  for (const char* folder : {"src/gateway", "src/fleet", "src/quarantine", "src/tenants",
                             "src/outlook", "src/streams", "platform"})
    for (const auto& entry : std::filesystem::directory_iterator(root / folder))
      if (entry.path().extension() == ".cc") text += ReadFile(entry.path());
  return text;
}

/// @return the names in the first column of the table that begins with `head`; a row may hold
/// several.
std::set<std::string> NamesInTable(const std::string& page, const std::string& head) {
  const std::size_t begin = page.find(head);
  REQUIRE(begin != std::string::npos);
  std::istringstream rows(page.substr(begin, page.find("\n\n", begin) - begin));
  std::set<std::string> names;
  std::string row;
  std::getline(rows, row);  // Skips the table header.
  while (std::getline(rows, row)) {
    const std::string column = row.substr(1, row.find('|', 1) - 1);
    const std::regex name("[a-z_]{2,}");
    for (std::sregex_iterator match(column.begin(), column.end(), name), last; match != last;
         ++match)
      names.insert(match->str());
  }
  return names;
}

/// Converts "request_end" to "kRequestEnd".
std::string EnumeratorOf(const std::string& name) {
  std::string enumerator = "k";
  bool upper = true;
  for (const char character : name) {
    if (character == '_') {
      upper = true;
      continue;
    }
    enumerator += upper ? static_cast<char>(std::toupper(character)) : character;
    upper = false;
  }
  return enumerator;
}

TEST_CASE("docs/OPERATIONS.md explains exactly the events and fields that are logged") {
  const std::filesystem::path root = MOORFOLD_SOURCE_DIR;
  const std::string page = ReadFile(root / "docs/OPERATIONS.md");
  const std::set<std::string> events(kLogEventNames.begin(), kLogEventNames.end());
  const std::set<std::string> fields(kLogFieldNames.begin(), kLogFieldNames.end());
  CHECK(NamesInTable(page, "| event | says |") == events);
  CHECK(NamesInTable(page, "| field | says |") == fields);
}

TEST_CASE("Each listed event and field is used in the sources by its enumerator") {
  const std::string sources = GatewaySources();
  for (const char* event : kLogEventNames) {
    CAPTURE(event);
    CHECK(sources.find("LogEvent::" + EnumeratorOf(event)) != std::string::npos);
  }
  for (const char* field : kLogFieldNames) {
    CAPTURE(field);
    CHECK(sources.find("LogField::" + EnumeratorOf(field)) != std::string::npos);
  }
}

TEST_CASE("Log lines contain events and fields under their listed names") {
  const std::string text = EventLine(LogEvent::kLeadershipResigned)
                               .Field(LogField::kToken, 7)
                               .Field(LogField::kTotal, 3)
                               .text();
  CHECK(text == "event=leadership_resigned token=7 total=3");
}

}  // namespace
}  // namespace moorfold
