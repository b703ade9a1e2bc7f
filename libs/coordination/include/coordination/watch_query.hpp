/// @file
/// A watch of a group of cells, and what a replica may answer to it.
#pragma once
#include "coordination/shard_state.hpp"
namespace zinccleat::coordination {
/// What a watch asks for.
struct WatchQuery {
  std::string group;
  std::int64_t after = 0;      ///< puts above this revision; 0: only the present revision
  std::int64_t readIndex = 0;  ///< the leaseholder's log index at the call: this must be applied first
};
/// What the replica answers.
/// @param timeIsUp the watch may wait no longer.
/// @return none: it has to wait. `ErrorCode::unavailable`: the time is up before the replica is as new as the
/// leaseholder was at the call; an answer without events would say that there are none.
std::optional<Result<WatchedEvents>> answerWatch(const ShardState& state, const WatchQuery& query, bool timeIsUp);
}  // namespace zinccleat::coordination
