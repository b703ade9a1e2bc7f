#include "config/quote_json.hpp"

namespace zinccleat::config {
namespace {
constexpr unsigned char kFirstPrintable = 0x20;

std::string escapeControlCharacter(unsigned char character) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string escape = "\\u00";
  escape += kHexDigits[character >> 4];
  escape += kHexDigits[character & 0x0F];
  return escape;
}
}  // namespace

std::string quoteJson(std::string_view text) {
  std::string quoted = "\"";
  for (const char character : text) {
    if (static_cast<unsigned char>(character) < kFirstPrintable) {
      quoted += escapeControlCharacter(static_cast<unsigned char>(character));
      continue;
    }
    if (character == '"' || character == '\\')
      quoted += '\\';
    quoted += character;
  }
  return quoted + "\"";
}
}  // namespace zinccleat::config
