/// @file
/// Parser for requests from applications to replicated counters. The authoritative description of these requests is
/// api/control.yaml, where a counter is called a tally.
///
/// An invalid request gives `ErrorCode::invalidArgument` with a one-line message about the first problem.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Maximum length of an `instanceId`, which must not be empty.
constexpr std::size_t kMaxInstanceIdBytes = 128;
/// Maximum absolute amount of one increment, 2^53 - 1: JSON readers that use doubles represent all integers up to this
/// value exactly.
constexpr std::int64_t kMaxIncrementAmount = (std::int64_t{1} << 53) - 1;

/// The body of Tallies.Modify.
struct IncrementRequest {
  std::string instanceId;   ///< identifies the increment: repetitions with the same id are counted once
  std::int64_t amount = 0;  ///< the field `actor`
};
Result<IncrementRequest> parseIncrementRequest(std::string_view body);
}  // namespace zinccleat::config
