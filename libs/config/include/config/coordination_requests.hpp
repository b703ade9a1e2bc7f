/// @file
/// Parsers for the bodies and queries of coordination requests (locks, cells and watches) from applications. The
/// authoritative description of these requests is api/control.yaml.
///
/// An invalid request gives `ErrorCode::invalidArgument` with a one-line message about the first problem.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Maximum length of the name of a lock, number, cell, group or lock holder. Names must not be empty.
constexpr std::size_t kMaxNameBytes = 256;
/// Maximum length of a cell's value.
constexpr std::size_t kMaxValueBytes = 4096;
/// Maximum time in ms for which one request acquires or extends a lock. The minimum is 1 ms.
constexpr std::int64_t kMaxHoldMs = 3'600'000;
/// Maximum time in ms that a watch waits for a change.
constexpr std::int64_t kMaxWaitMs = 60'000;

/// The body of Locks.Begin, Locks.Heartbeat and Locks.Release.
struct LockRequest {
  std::string holder;
  std::int64_t fence = 0;   ///< fencing number of the lock; Heartbeat and Release only
  std::int64_t holdMs = 0;  ///< requested hold time; Begin and Heartbeat only
};
/// Which fields a lock request must have in addition to `holder`.
struct LockFields {
  bool fence = false;
  bool hold = false;
};
Result<LockRequest> parseLockRequest(std::string_view body, LockFields required);

/// The body of Cells.Replace.
struct PutRequest {
  std::string value;
  std::optional<std::int64_t> appliesTo;  ///< expected revision of the cell; 0: the cell must not exist; none: any
};
Result<PutRequest> parsePutRequest(std::string_view body);

/// The query of a watch.
struct WatchRequest {
  std::int64_t after = 0;
  std::int64_t waitMs = 0;
};
/// Parses the query of a watch. Unknown parameters are ignored.
/// @param query the part of the request target after the question mark
Result<WatchRequest> parseWatchRequest(std::string_view query);

/// Checks that the name of a lock, number, cell or group has 1 to `kMaxNameBytes` bytes.
Result<void> checkName(std::string_view name);
}  // namespace zinccleat::config
