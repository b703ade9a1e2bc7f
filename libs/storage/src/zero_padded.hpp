/// @file
/// Formats numbers with a fixed width for file names and record envelopes.
#pragma once
#include <cstdint>
#include <string>

namespace zinccleat::storage {
/// Formats a number in decimal with leading zeros up to `width` digits. The number must not be negative.
inline std::string zeroPadded(std::int64_t number, std::size_t width) {
  auto digits = std::to_string(number);
  if (digits.size() < width)
    digits.insert(0, width - digits.size(), '0');
  return digits;
}
}  // namespace zinccleat::storage
