#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace moorfold {

/// @return values that another writer might leave among the servers' entries: nested too deeply,
/// with numbers or ports out of range, of wrong types, cut short.
inline std::vector<std::string> OddServerEntries() {
  constexpr std::size_t kDepth = 20'000;
  const auto entry = [](const std::string& field) {
    return R"({"service":"models","address":"127.0.0.1:9","zone":"z","version":"v1","slots":4,)"
           R"("state":"ready","seq":1,)" +
           field + "}";
  };
  return {std::string(kDepth, '['),
          std::string(kDepth, '[') + std::string(kDepth, ']'),
          entry("\"models\":" + std::string(kDepth, '[') + std::string(kDepth, ']')),
          entry("\"slots\":1" + std::string(400, '0')),
          entry("\"slots\":-1"),
          entry("\"coldLeftMs\":1e999"),
          entry("\"seq\":99999999999999999999999"),
          entry("\"born\":-9223372036854775809"),
          entry("\"address\":\"127.0.0.1:70000\""),
          entry("\"address\":\"127.0.0.1:0\""),
          entry("\"address\":\"127.0.0.1:-\""),
          entry("\"address\":\"\""),
          entry("\"address\":7"),
          entry("\"version\":7"),
          entry("\"version\":\"" + std::string(5'000, 'v') + "\""),
          entry("\"service\":\"a\\u0000b\""),
          entry("\"models\":[{\"name\":3}]"),
          entry("\"models\":{}"),
          "",
          "null",
          "7",
          std::string("\0\xff\xfe", 3),
          R"({"service":"models","address":)"};
}

}  // namespace moorfold
