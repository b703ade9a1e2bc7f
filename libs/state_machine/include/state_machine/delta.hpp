// A configuration as its difference from another: runs of bytes that the base has, and the text between them. Cut where
// the operator's text has its parts (members of the outer object, elements of its lists), so that a change to one route
// or tenant travels as that one. The result is the taken text byte for byte. Pure. Offsets and lengths are bytes.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::state_machine {
struct DeltaRun {
  std::int64_t from = 0, length = 0;  // of the base
  std::string text;                   // after it
  template <class V>
  void fields(V& v) {
    v("from", from), v("length", length), v("text", text);
  }
};
struct Delta {
  std::string base;    // digest of the text that it builds on
  std::string result;  // digest of what comes of it
  std::vector<DeltaRun> runs;
  template <class V>
  void fields(V& v) {
    v("base", base), v("result", result), v("runs", runs);
  }
};
// Where a text may be cut: the ends of its parts, rising, the last one its length.
std::vector<std::size_t> partsOf(std::string_view s);
std::string deltaOf(std::string_view base, std::string_view baseDigest, std::string_view text, std::string_view digest);
// Declined: no delta, another base, runs outside of it, or another result than its digest says.
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta);
// Declined as well: a result other than the one with the digest `expected`.
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta,
                               std::string_view expected);
}  // namespace zinccleat::state_machine
