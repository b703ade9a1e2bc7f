#include "agent/followed_replica.hpp"

namespace zinccleat::agent {
std::optional<FollowedReplica::Applied> FollowedReplica::applyNext() {
  auto entry = queue_.next();
  if (!entry)
    return std::nullopt;
  const auto change = replica_.apply(*entry);
  return Applied{std::move(*entry), change};
}
bool FollowedReplica::needsSnapshot(const transport::FeedSnapshot& snapshot) const {
  return snapshot.lastIncludedIndex > lastApplied() || (snapshot.lastIncludedIndex == lastApplied() && corrupted());
}
Result<void> FollowedReplica::restore(const transport::FeedSnapshot& snapshot) {
  if (auto restored = replica_.restore(snapshot.state); !restored)
    return restored;
  queue_.resumeAfter(snapshot.lastIncludedIndex);
  return {};
}
transport::FeedSnapshot FollowedReplica::snapshotFor(const std::string& cachedDigest) const {
  transport::FeedSnapshot snapshot;
  snapshot.lastIncludedIndex = state().index;
  snapshot.state = replica_.snapshotFor(cachedDigest);
  return snapshot;
}
}  // namespace zinccleat::agent
