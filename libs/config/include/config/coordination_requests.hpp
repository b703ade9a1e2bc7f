/// @file
/// The bodies and queries of applications' calls for coordination, read and checked; api/control.yaml comes first.
///
/// Errors: `ErrorCode::invalidArgument` with the first problem, in one line.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
/// Bytes that a lock, number, cell, group or holder may be named by; 1 at least.
constexpr std::size_t kMaxNameBytes = 256;
/// Bytes of a cell's value.
constexpr std::size_t kMaxValueBytes = 4096;
/// How long a lock may be kept by one call, in ms; 1 at least.
constexpr std::int64_t kMaxHoldMs = 3'600'000;
/// How long a watch may wait, in ms.
constexpr std::int64_t kMaxWaitMs = 60'000;

/// The body of Locks.Begin, Locks.Heartbeat and Locks.Release.
struct LockRequest {
  std::string holder;
  std::int64_t fence = 0;   ///< Heartbeat, Release
  std::int64_t holdMs = 0;  ///< Begin, Heartbeat
};
/// Which fields a lock's call must have beside its holder.
struct LockFields {
  bool fence = false;
  bool hold = false;
};
Result<LockRequest> parseLockRequest(std::string_view body, LockFields required);

/// The body of Cells.Replace.
struct PutRequest {
  std::string value;
  std::optional<std::int64_t> appliesTo;  ///< the revision that the cell must have, 0: it must not exist; none: any
};
Result<PutRequest> parsePutRequest(std::string_view body);

/// The query of a watch.
struct WatchRequest {
  std::int64_t after = 0;
  std::int64_t waitMs = 0;
};
/// @param query what stands behind the question mark.
Result<WatchRequest> parseWatchRequest(std::string_view query);

/// Checks the name of a lock, number, cell or group.
Result<void> checkName(std::string_view name);
}  // namespace zinccleat::config
