#include "runtime/common.hpp"

#include <xxhash.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "runtime/log_ring.hpp"

namespace zinccleat {
void abortOnBrokenInvariant(const char* what) {
  log::info("invariant_broken", {{"invariant", what}});
  log::dump();
  std::abort();
}
std::uint64_t hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}
std::string digestOf(std::string_view text) {
  constexpr int kHexDigits = 32;
  const auto hash = XXH3_128bits(text.data(), text.size());
  char digits[kHexDigits + 1];
  std::snprintf(digits, sizeof digits, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return digits;
}
std::uint64_t randomSeed() {
  std::random_device entropy;
  return (static_cast<std::uint64_t>(entropy()) << 32) ^ entropy();
}
}  // namespace zinccleat
