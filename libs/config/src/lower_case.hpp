/// Host names compare without regard to case.
#pragma once
#include <string>
#include <string_view>
namespace zinccleat::config {
/// A copy with the ASCII letters A to Z in lower case.
std::string lowerCase(std::string_view text);
}  // namespace zinccleat::config
