/// @file
/// A configuration text encoded as its difference from another one, the base: copied ranges of the base and literals
/// between them (as in VCDIFF, RFC 3284, but cut at the parts of a JSON text instead of at any byte).
///
/// Cut points are the members of the outer object and the elements of its lists, so a change of one route or tenant
/// travels as that one element. Applying a delta gives back the encoded text byte for byte; its digest is checked.
///
/// Pure functions without state. All offsets and lengths are bytes.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// A range copied from the base, followed by a literal. Either may be empty.
struct DeltaSegment {
  std::int64_t copyOffset = 0;
  std::int64_t copyLength = 0;
  std::string literal;
  /// Lists the fields in wire order; the names are those of the Avro schema.
  template <class V>
  void fields(V& v) {
    v("from", copyOffset), v("length", copyLength), v("text", literal);
  }
};

/// The decoded form of a delta.
struct Delta {
  std::string baseDigest;    ///< digest of the text that the delta applies to
  std::string resultDigest;  ///< digest of the text that applying it gives
  std::vector<DeltaSegment> segments;
  /// Lists the fields in wire order; the names are those of the Avro schema.
  template <class V>
  void fields(V& v) {
    v("base", baseDigest), v("result", resultDigest), v("runs", segments);
  }
};

/// Splits a JSON text into the parts that a delta copies or replaces. Any other text is split somehow, never wrongly:
/// the parts always join to the text.
/// @return the end offset of each part, strictly rising except for an empty text; the last one is the text's length.
std::vector<std::size_t> partEnds(std::string_view text);

/// Encodes `text` as a delta on `base`.
/// @param baseDigest `digestOf(base)`, which the caller has at hand.
/// @param textDigest `digestOf(text)`, likewise.
/// @return the encoded delta, which may be longer than the text itself.
std::string computeDelta(std::string_view base, std::string_view baseDigest, std::string_view text,
                         std::string_view textDigest);

/// Rebuilds the text of an encoded delta.
/// @return ErrorCode::corruption for bytes that are no delta, a delta on another base, a range outside the base, a
///         result larger than 64 MiB, or a result that does not match the delta's own digest.
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta);
/// The same; also ErrorCode::corruption if the delta announces another result than the text with `expectedDigest`.
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta,
                               std::string_view expectedDigest);
}  // namespace zinccleat::state_machine
