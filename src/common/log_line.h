#pragma once

#include <ostream>
#include <string>
#include <type_traits>

namespace moorfold {

/// One event of the log: "event=NAME key=value ...". Values with spaces or quotes are quoted.
class LogLine {
 public:
  explicit LogLine(const std::string& event) : text_("event=" + event) {}

  LogLine& Field(const std::string& key, const std::string& value) {
    text_ += " " + key + "=" + Quote(value);
    return *this;
  }
  template <typename Number>
    requires std::is_arithmetic_v<Number>
  LogLine& Field(const std::string& key, Number value) {
    text_ += " " + key + "=" + std::to_string(value);
    return *this;
  }

  const std::string& text() const { return text_; }

  friend std::ostream& operator<<(std::ostream& stream, const LogLine& line) {
    return stream << line.text_;
  }

 private:
  static std::string Quote(const std::string& value) {
    if (!value.empty() && value.find_first_of(" \"\n=") == std::string::npos) return value;
    std::string quoted = "\"";
    for (const char character : value) {
      if (character == '"' || character == '\\') quoted += '\\';
      quoted += character == '\n' ? ' ' : character;
    }
    return quoted + "\"";
  }

  std::string text_;
};

}  // namespace moorfold
