/// @file
/// The bodies of applications' calls on replicated counters, read and checked; api/control.yaml comes first and calls a
/// counter a tally.
///
/// Errors: `ErrorCode::invalidArgument` with the first problem, in one line.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Bytes of an `instanceId`; 1 at least.
constexpr std::size_t kMaxInstanceIdBytes = 128;
/// The largest amount of one increment, and with a minus the smallest: what any JSON reader reads exactly.
constexpr std::int64_t kMaxIncrementAmount = (std::int64_t{1} << 53) - 1;

/// The body of Tallies.Modify.
struct IncrementRequest {
  std::string instanceId;   ///< names the increment: it counts once
  std::int64_t amount = 0;  ///< the field `actor`
};
Result<IncrementRequest> parseIncrementRequest(std::string_view body);
}  // namespace zinccleat::config
