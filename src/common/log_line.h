#pragma once

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <string>
#include <string_view>
#include <type_traits>

namespace moorfold {

/// One event of the log: "event=NAME key=value ...". A value other than a plain word is quoted. In
/// quotes, a backslash precedes a quote or a backslash, and every byte that is not printable ASCII
/// is written as \xNN. Values are cut off at kMaxValueBytes.
class LogLine {
 public:
  static constexpr std::size_t kMaxValueBytes = 4'096;

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
  static bool IsPrintable(char character) { return character >= ' ' && character <= '~'; }
  static bool IsPlain(char character) {
    constexpr std::string_view kQuotedCharacters = " \"\\=";
    return IsPrintable(character) && kQuotedCharacters.find(character) == std::string_view::npos;
  }

  static void AppendEscaped(std::string& text, char character) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr unsigned kBitsPerDigit = 4;
    constexpr unsigned kDigitMask = 15;
    if (IsPrintable(character)) {
      if (character == '"' || character == '\\') text += '\\';
      text += character;
      return;
    }
    const auto byte = static_cast<unsigned char>(character);
    text += "\\x";
    text += kDigits[byte >> kBitsPerDigit];
    text += kDigits[byte & kDigitMask];
  }

  static std::string Quote(std::string_view value) {
    const bool cut = value.size() > kMaxValueBytes;
    value = value.substr(0, kMaxValueBytes);
    if (!cut && !value.empty() && std::all_of(value.begin(), value.end(), IsPlain))
      return std::string(value);
    std::string quoted = "\"";
    for (const char character : value) AppendEscaped(quoted, character);
    return quoted + (cut ? "...\"" : "\"");
  }

  std::string text_;
};

}  // namespace moorfold
