#include "json_object.hpp"

namespace zinccleat::controller {
std::string jsonArray(const std::vector<std::string>& elements) {
  std::string text;
  for (const auto& element : elements)
    text += (text.empty() ? "" : ",") + element;
  return "[" + text + "]";
}
std::string jsonTexts(const std::vector<std::string>& texts) {
  std::vector<std::string> quoted;
  quoted.reserve(texts.size());
  for (const auto& text : texts)
    quoted.push_back(config::quoteJson(text));
  return jsonArray(quoted);
}
}  // namespace zinccleat::controller
