/// Writing text into JSON.
#pragma once
#include <string>
#include <string_view>
namespace zinccleat::config {
/// Encodes a text as a JSON string, quotes included. Bytes of 0x80 and above are copied as they are.
std::string quoteJson(std::string_view text);
}  // namespace zinccleat::config
