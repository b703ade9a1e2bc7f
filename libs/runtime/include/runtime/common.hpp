// The project's one common header: the words every package shares.
#pragma once
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <utility>
#include <vector>

namespace zc {
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Span = std::chrono::milliseconds;

struct Fault {
  int code = 0;  // an HTTP status where one fits, else 0
  std::string text;
};
template <class T>
using Outcome = tl::expected<T, Fault>;
inline tl::unexpected<Fault> fault(int code, std::string text) {
  return tl::unexpected<Fault>(Fault{code, std::move(text)});
}
inline Span toSpan(Clock::duration d) {
  return std::chrono::duration_cast<Span>(d);
}

// Only a broken invariant of our own may stop the process; everything else is a value.
[[noreturn]] void scuttle(const char* what);
inline void must(bool ok, const char* what) {
  if (!ok)
    scuttle(what);
}
std::uint64_t hash64(std::string_view s, std::uint64_t seed = 0);
std::string digestOf(std::string_view s);  // 128 bits, hex
std::uint64_t drawSeed();                  // from the system's entropy, once per process
}  // namespace zc
