#include "agent/log_follower.hpp"

namespace zinccleat::agent {
transport::FollowLog LogFollower::follow(TimePoint now, bool refetch) {
  lastFollow_ = now;
  following_ = true;
  // A corrupted replica requests the complete state.
  return {.lastApplied = replica_.corrupted() ? 0 : replica_.lastApplied(),
          .cachedDigest = replica_.state().digest,
          .refetch = refetch};
}
bool LogFollower::isBehind() const {
  return replica_.hasGap() || replica_.lastApplied() < newestIndex_ || replica_.corrupted();
}
Duration LogFollower::stalledFor(TimePoint now) {
  if (!isBehind())
    stalledSince_.reset();
  else if (!stalledSince_)
    stalledSince_ = now;
  return stalledSince_ ? toDuration(now - *stalledSince_) : Duration(0);
}
void LogFollower::offer(transport::FeedEntries feed) {
  for (auto& entry : feed.entries)
    replica_.offer(std::move(entry));
  newestIndex_ = std::max(newestIndex_, feed.newestIndex);
}
std::optional<FollowedReplica::Applied> LogFollower::applyNext() {
  auto applied = replica_.applyNext();
  if (!applied)
    return std::nullopt;
  stalledSince_.reset();
  lag_.recordApplied(applied->entry.index);
  retain(applied->entry);
  return applied;
}
void LogFollower::retain(const transport::LogEntry& entry) {
  tail_.push_back(entry);
  tailBytes_ += entry.body.size();
  while (tail_.size() > kTailCapacity || (tailBytes_ > kTailBytes && tail_.size() > 1)) {
    tailBytes_ -= tail_.front().body.size();
    tail_.pop_front();
  }
}
Result<void> LogFollower::restore(const transport::FeedSnapshot& snapshot) {
  if (auto restored = replica_.restore(snapshot); !restored) {
    replica_.markCorrupted();
    return restored;
  }
  stalledSince_.reset();
  lag_.recordApplied(snapshot.lastIncludedIndex);
  tail_.clear();
  tailBytes_ = 0;
  newestIndex_ = std::max(newestIndex_, snapshot.lastIncludedIndex);
  return {};
}
bool LogFollower::recordCommitIndex(TimePoint now, std::int64_t index) {
  newestIndex_ = std::max(newestIndex_, index);
  lag_.recordCommitted(now, index);
  return replica_.lastApplied() < index;
}
std::optional<transport::FeedEntries> LogFollower::entriesAfter(std::int64_t index) const {
  transport::FeedEntries feed;
  for (const auto& entry : tail_)
    if (entry.index > index)
      feed.entries.push_back(entry);
  const bool behind = index < replica_.lastApplied();
  const bool tailReaches = !feed.entries.empty() && feed.entries.front().index == index + 1;
  if (behind && !tailReaches)
    return std::nullopt;
  feed.newestIndex = replica_.lastApplied();
  return feed;
}
}  // namespace zinccleat::agent
