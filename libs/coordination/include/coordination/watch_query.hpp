/// @file
/// Evaluates a watch on a group of cells against the local replica.
#pragma once
#include "coordination/shard_state.hpp"
namespace zinccleat::coordination {
/// A watch on a group of cells.
struct WatchQuery {
  std::string group;
  std::int64_t after = 0;  ///< report puts above this revision; 0: report only the current revision
  /// The leaseholder's log index at the time of the call; the replica must have applied it.
  std::int64_t readIndex = 0;
};
/// Evaluates a watch.
/// @param timeIsUp whether the watch may not wait any longer.
/// @return none if the watch has to keep waiting. `ErrorCode::unavailable` if the time is up before the replica has
/// applied `readIndex`: an answer without events would wrongly claim that there are none.
std::optional<Result<WatchedEvents>> answerWatch(const ShardState& state, const WatchQuery& query, bool timeIsUp);
}  // namespace zinccleat::coordination
