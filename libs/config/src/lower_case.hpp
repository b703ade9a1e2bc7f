/// Conversion to lower case, for the case-insensitive comparison of host names.
#pragma once
#include <string>
#include <string_view>
namespace zinccleat::config {
/// Returns a copy of the text with the ASCII letters A to Z in lower case.
std::string lowerCase(std::string_view text);
}  // namespace zinccleat::config
