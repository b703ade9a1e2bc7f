/// @file
/// Delta encoding of a configuration text against another text, the base: ranges copied from the base, with literals
/// between them (as in VCDIFF, RFC 3284, but split at the elements of a JSON text instead of at any byte).
///
/// The text is split at the members of the outer object and at the elements of its lists, so a change of one route or
/// tenant is encoded as that one element. Applying a delta reproduces the encoded text byte for byte and checks the
/// text's digest.
///
/// Stateless pure functions. All offsets and lengths are in bytes.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// A range copied from the base, followed by a literal. Both the range and the literal may be empty.
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
  std::string resultDigest;  ///< digest of the text that results from applying the delta
  std::vector<DeltaSegment> segments;
  /// Lists the fields in wire order; the names are those of the Avro schema.
  template <class V>
  void fields(V& v) {
    v("base", baseDigest), v("result", resultDigest), v("runs", segments);
  }
};

/// Splits a JSON text into the parts that a delta copies or replaces. For a text that is not JSON the split points are
/// unspecified. In both cases the concatenated parts equal the text.
/// @return the end offset of each part in strictly ascending order; the last offset is the text's length. An empty text
///         has the single offset 0.
std::vector<std::size_t> partEnds(std::string_view text);

/// Encodes `text` as a delta on `base`.
/// @param baseDigest `digestOf(base)`, passed in because the caller has computed it already.
/// @param textDigest `digestOf(text)`, passed in for the same reason.
/// @return the encoded delta, which may be longer than the text itself.
std::string computeDelta(std::string_view base, std::string_view baseDigest, std::string_view text,
                         std::string_view textDigest);

/// Rebuilds the text from an encoded delta.
/// @return ErrorCode::corruption for bytes that are not a valid delta, a delta on another base, a range outside the
///         base, a result larger than 64 MiB, or a result that does not match the delta's `resultDigest`.
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta);
/// Same as above, and also returns ErrorCode::corruption if the delta's `resultDigest` differs from `expectedDigest`.
Result<std::string> applyDelta(std::string_view base, std::string_view baseDigest, std::string_view delta,
                               std::string_view expectedDigest);
}  // namespace zinccleat::state_machine
