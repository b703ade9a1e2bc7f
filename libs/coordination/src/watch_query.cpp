#include "coordination/watch_query.hpp"

namespace zinccleat::coordination {
namespace {
constexpr std::size_t kMaxWatchResponseBytes = 1U << 20;
}

std::optional<Result<WatchedEvents>> answerWatch(const ShardState& state, const WatchQuery& query, bool timeIsUp) {
  const bool isFresh = state.index() >= query.readIndex;
  if (!isFresh && timeIsUp)
    return makeError(ErrorCode::unavailable, "this replica lags behind");
  if (!isFresh)
    return std::nullopt;
  if (query.after == 0)
    return WatchedEvents{false, {}, state.revisionOf(query.group)};
  auto found = state.eventsAfter(query.group, query.after, kMaxWatchResponseBytes);
  if (!found.discarded && found.events.empty() && !timeIsUp)
    return std::nullopt;
  return found;
}
}  // namespace zinccleat::coordination
