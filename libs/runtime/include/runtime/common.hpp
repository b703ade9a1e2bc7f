/// Vocabulary types that every library shares: time, errors as values, invariants and hashes.
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
/// The steady clock. Pure code never reads it: the present time is passed in.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::milliseconds;

/// What kind of error an `Error` is. Callers branch on this, never on the message.
enum class ErrorCode {
  invalidArgument,     ///< input that breaks its format or a stated bound
  permissionDenied,    ///< the caller may not do this
  notFound,            ///< the thing named does not exist
  unavailable,         ///< cannot be answered now; nothing was done
  outcomeUnknown,      ///< it may or may not have taken effect
  limitReached,        ///< a stated limit leaves no room for it; nothing was done
  corruption,          ///< stored or received bytes that are not what was written
  incompatibleFormat,  ///< bytes in a format of another version of this program
  outOfOrder,          ///< a call that breaks the order which its interface requires
  locked,              ///< a resource that another process uses
  ioError,             ///< the operating system refused; `Error::subcode` is its `errno`
};

/// An error as a value.
struct Error {
  ErrorCode code = ErrorCode::invalidArgument;
  std::string message;  ///< one line for an operator, without a full stop
  int subcode = 0;      ///< `errno` where the operating system refused, else 0
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

/// Logs what was broken, writes the log's ring buffer out and aborts.
[[noreturn]] void abortOnBrokenInvariant(const char* what);
/// Aborts unless an invariant of our own code holds. Every other error is a value.
inline void checkInvariant(bool holds, const char* what) {
  if (!holds)
    abortOnBrokenInvariant(what);
}

/// A fast 64-bit hash (XXH3), the same on every node. Not for secrets.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
/// A 128-bit digest (XXH3) as 32 hex digits, the same on every node. Not for secrets.
std::string digestOf(std::string_view text);
/// A seed from the operating system's entropy.
std::uint64_t randomSeed();
}  // namespace zinccleat
