#include "lower_case.hpp"

namespace zinccleat::config {
std::string lowerCase(std::string_view text) {
  std::string lowered(text);
  for (auto& character : lowered)
    if (character >= 'A' && character <= 'Z')
      character = static_cast<char>(character - 'A' + 'a');
  return lowered;
}
}  // namespace zinccleat::config
