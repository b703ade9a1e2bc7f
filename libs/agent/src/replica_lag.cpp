#include "agent/replica_lag.hpp"

namespace zinccleat::agent {
namespace {
/// Observations beyond this number are merged into the newest one, which limits the memory used. The lag depends on the
/// oldest observation, so merging does not understate it.
constexpr std::size_t kMaxObservations = 64;
}  // namespace

void ReplicaLag::recordCommitted(TimePoint at, std::int64_t committed) {
  if (committed <= applied_ || (!missing_.empty() && committed <= missing_.back().index))
    return;
  if (missing_.size() >= kMaxObservations)
    missing_.back().index = committed;
  else
    missing_.push_back({committed, at});
}
void ReplicaLag::recordApplied(std::int64_t applied) {
  applied_ = std::max(applied_, applied);
  while (!missing_.empty() && missing_.front().index <= applied_)
    missing_.pop_front();
}
std::optional<TimePoint> ReplicaLag::since() const {
  return missing_.empty() ? std::nullopt : std::optional(missing_.front().observedAt);
}
Duration ReplicaLag::at(TimePoint now) const {
  return missing_.empty() ? Duration(0) : std::max(Duration(0), toDuration(now - missing_.front().observedAt));
}
}  // namespace zinccleat::agent
