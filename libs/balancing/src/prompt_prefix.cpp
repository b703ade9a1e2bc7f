#include "balancing/prompt_prefix.hpp"

#include <charconv>

namespace zinccleat::balancing {
namespace {
std::int64_t parseTokenCount(std::string_view part) {
  const auto colon = part.find(':');
  std::int64_t tokens = 0;
  if (colon != part.npos)
    std::from_chars(part.data() + colon + 1, part.data() + part.size(), tokens);
  return tokens;
}
}  // namespace

PromptPrefix parsePromptPrefix(std::string_view text) {
  PromptPrefix prefix;
  if (const auto lastComma = text.rfind(','); lastComma != text.npos)
    prefix.affinity = hash64(text.substr(0, lastComma)) | 1;
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const bool isLast = comma == text.size();
    const auto tokens = parseTokenCount(text.substr(0, comma));
    prefix.totalTokens += tokens;
    if (!isLast)
      prefix.sharedTokens += tokens;
    text.remove_prefix(std::min(text.size(), comma + 1));
  }
  return prefix;
}
}  // namespace zinccleat::balancing
