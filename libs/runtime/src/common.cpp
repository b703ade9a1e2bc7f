#include "runtime/common.hpp"

#include <xxhash.h>

#include <cstdio>
#include <cstdlib>
#include <random>

#include "runtime/log_ring.hpp"

namespace zinccleat {
void abortOnBrokenInvariant(const char* what) {
  log::info(std::string("broken invariant: ") + what);
  log::dump();
  std::abort();
}
std::uint64_t hash64(std::string_view s, std::uint64_t seed) {
  return XXH3_64bits_withSeed(s.data(), s.size(), seed);
}
std::string digestOf(std::string_view s) {
  const auto h = XXH3_128bits(s.data(), s.size());
  char buf[40];
  std::snprintf(buf, sizeof buf, "%016llx%016llx", static_cast<unsigned long long>(h.high64),
                static_cast<unsigned long long>(h.low64));
  return buf;
}
std::uint64_t randomSeed() {
  std::random_device rd;
  return (static_cast<std::uint64_t>(rd()) << 32) ^ rd();
}
}  // namespace zinccleat
