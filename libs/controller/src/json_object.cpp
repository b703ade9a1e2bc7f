#include "json_object.hpp"

namespace zinccleat::controller {
std::string jsonArray(const std::vector<std::string>& elements) {
  std::string text;
  for (const auto& element : elements)
    text += (text.empty() ? "" : ",") + element;
  return "[" + text + "]";
}
}  // namespace zinccleat::controller
