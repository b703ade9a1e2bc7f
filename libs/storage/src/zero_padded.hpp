/// @file
/// Numbers of fixed width in file names and formats.
#pragma once
#include <cstdint>
#include <string>

namespace zinccleat::storage {
/// A number in decimal, with zeros in front up to `width` digits. Negative numbers are not padded sensibly.
inline std::string zeroPadded(std::int64_t number, std::size_t width) {
  auto digits = std::to_string(number);
  if (digits.size() < width)
    digits.insert(0, width - digits.size(), '0');
  return digits;
}
}  // namespace zinccleat::storage
