#include "agent/replica_lag.hpp"

namespace zinccleat::agent {
namespace {
/// Observations beyond this number are merged into the newest one, which limits the memory used. The lag depends on the
/// oldest observation, so merging does not understate it.
constexpr std::size_t kMaxObservations = 64;
}  // namespace

void ReplicaLag::recordCommitted(TimePoint at, std::int64_t committed) {
  if (committed <= applied_ || (!observations_.empty() && committed <= observations_.back().index))
    return;
  if (observations_.size() >= kMaxObservations)
    observations_.back().index = committed;
  else
    observations_.push_back({committed, at});
}
void ReplicaLag::recordApplied(std::int64_t applied) {
  applied_ = std::max(applied_, applied);
  while (!observations_.empty() && observations_.front().index <= applied_)
    observations_.pop_front();
}
std::optional<TimePoint> ReplicaLag::since() const {
  return observations_.empty() ? std::nullopt : std::optional(observations_.front().observedAt);
}
Duration ReplicaLag::at(TimePoint now) const {
  return observations_.empty() ? Duration(0)
                               : std::max(Duration(0), toDuration(now - observations_.front().observedAt));
}
}  // namespace zinccleat::agent
