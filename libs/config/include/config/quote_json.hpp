/// Encodes text as JSON strings.
#pragma once
#include <string>
#include <string_view>
namespace zinccleat::config {
/// Encodes a text as a JSON string, including the quotes. Bytes of 0x80 and above are copied unchanged.
std::string quoteJson(std::string_view text);
}  // namespace zinccleat::config
