#include "text.hpp"

namespace zinccleat::operations {
std::string trim(std::string_view text) {
  const auto last = text.find_last_not_of(" \t\r");
  text = text.substr(0, last == std::string_view::npos ? 0 : last + 1);
  const auto first = text.find_first_not_of(" \t");
  return first == std::string_view::npos ? std::string() : std::string(text.substr(first));
}
SplitWord splitFirstWord(std::string_view text) {
  const auto space = text.find(' ');
  if (space == std::string_view::npos)
    return {std::string(text), {}, false};
  return {std::string(text.substr(0, space)), trim(text.substr(space)), true};
}
}  // namespace zinccleat::operations
