// Types and functions that every module shares: time, errors as values, invariants, hashes.
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

// An error as a value.
struct Fault {
  int code = 0;  // an HTTP status where one fits, else 0
  std::string text;
};
// A result or an error.
template <class T>
using Outcome = tl::expected<T, Fault>;
inline tl::unexpected<Fault> fault(int code, std::string text) {
  return tl::unexpected<Fault>(Fault{code, std::move(text)});
}
inline Span toSpan(Clock::duration d) {
  return std::chrono::duration_cast<Span>(d);
}

// Logs what was broken, writes the log ring out and aborts.
[[noreturn]] void abortBrokenInvariant(const char* what);
// Checks an invariant of our own code. Only a broken one may stop the process; every other error is a value.
inline void must(bool ok, const char* what) {
  if (!ok)
    abortBrokenInvariant(what);
}
// A fast hash, not for secrets; the same on every node.
std::uint64_t hash64(std::string_view s, std::uint64_t seed = 0);
// A digest of 128 bits in hex, the same on every node.
std::string digestOf(std::string_view s);
// A seed from the system's entropy.
std::uint64_t drawSeed();
}  // namespace zc
