#include "gateway/labelled_counter.h"

namespace moorfold {

namespace {

void AppendEscaped(std::string_view value, std::string& text) {
  for (const char character : value) {
    if (character == '"' || character == '\\') text += '\\';
    if (character == '\n')
      text += "\\n";
    else
      text += character;
  }
}

std::string RenderLabels(std::initializer_list<MetricLabel> labels) {
  std::string text;
  for (const MetricLabel& label : labels) {
    if (!text.empty()) text += ',';
    text += label.name;
    text += "=\"";
    AppendEscaped(label.value, text);
    text += '"';
  }
  return text;
}

}  // namespace

void LabelledCounter::Add(std::initializer_list<MetricLabel> labels, std::uint64_t amount) {
  const std::string key = RenderLabels(labels);
  const auto found = series_.find(key);
  if (found != series_.end())
    found->second += amount;
  else if (series_.size() < kMaxSeries)
    series_.emplace(key, amount);
  else
    others_ += amount;
}

std::uint64_t LabelledCounter::Count(std::initializer_list<MetricLabel> labels) const {
  const auto found = series_.find(RenderLabels(labels));
  return found == series_.end() ? 0 : found->second;
}

std::uint64_t LabelledCounter::Total() const {
  std::uint64_t total = others_;
  for (const auto& [labels, count] : series_) total += count;
  return total;
}

void LabelledCounter::Render(const std::string& name, std::string& text) const {
  const auto line = [&](const std::string& labels, std::uint64_t count) {
    for (const char* part : {"moorfold_", name.c_str(), "{", labels.c_str(), "} "}) text += part;
    text += std::to_string(count);
    text += '\n';
  };
  for (const auto& [labels, count] : series_) line(labels, count);
  if (others_ > 0) line("others=\"true\"", others_);
}

}  // namespace moorfold
