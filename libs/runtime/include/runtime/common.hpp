/// Basic types and functions that all libraries share: time, errors as values, invariants and hashes.
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

namespace zinccleat {
using namespace std::chrono_literals;
/// The steady clock. Pure code does not read the clock; callers pass the current time as an argument.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::milliseconds;

/// The kind of an `Error`. Callers branch on the code, never on the message.
enum class ErrorCode {
  invalidArgument,     ///< the input violates its format or a documented bound
  permissionDenied,    ///< the caller lacks the permission for the operation
  notFound,            ///< the named object does not exist
  unavailable,         ///< the operation is temporarily not possible; it had no effect
  outcomeUnknown,      ///< the operation may or may not have taken effect
  limitReached,        ///< the operation would exceed a documented limit; it had no effect
  corruption,          ///< stored or received bytes differ from what was written
  incompatibleFormat,  ///< the bytes have the format of another version of this program
  outOfOrder,          ///< the call violates the call order that the interface requires
  locked,              ///< another process uses the resource
  addressTaken,        ///< a connection of this machine has the address as its local one
  ioError,             ///< a system call failed; `Error::subcode` is the `errno`
};

/// An error as a value.
struct Error {
  ErrorCode code = ErrorCode::invalidArgument;
  std::string message;  ///< one line for an operator, without a full stop
  int subcode = 0;      ///< `errno` of the failed system call, else 0
};

/// A value or an `Error`.
template <class T>
using Result = tl::expected<T, Error>;

/// Makes the error alternative of a `Result`.
/// @param subcode the operating system's `errno`, or 0.
inline tl::unexpected<Error> makeError(ErrorCode code, std::string message, int subcode = 0) {
  return tl::unexpected<Error>(Error{code, std::move(message), subcode});
}
/// Rounds a duration of the steady clock down to whole milliseconds.
inline Duration toDuration(Clock::duration duration) {
  return std::chrono::duration_cast<Duration>(duration);
}

/// Logs the violated invariant, writes the log's ring buffer to standard error and aborts the process.
[[noreturn]] void abortOnBrokenInvariant(const char* what);
/// Aborts the process if an invariant of the program itself is violated. All other errors are returned as values.
inline void checkInvariant(bool holds, const char* what) {
  if (!holds)
    abortOnBrokenInvariant(what);
}

/// A fast 64-bit hash (XXH3) that gives the same value on every node. Not cryptographic.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
/// A 128-bit digest (XXH3) as 32 hex digits that is the same on every node. Not cryptographic.
std::string digestOf(std::string_view text);
/// A random seed from the operating system's entropy source.
std::uint64_t randomSeed();
}  // namespace zinccleat
