// Tests the agent's part of the protocol that replicates the log.
#include "agent/log_follower.hpp"

#include <gtest/gtest.h>

#include "replica_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::agent;
using namespace zinccleat::replica_fixtures;

namespace {
std::vector<std::int64_t> applyAll(LogFollower& follower) {
  std::vector<std::int64_t> indexes;
  while (const auto applied = follower.applyNext())
    indexes.push_back(applied->entry.index);
  return indexes;
}
/// Creates a follower with a corrupted replica: its configuration of version 1 differs from the leader's, as after a
/// memory error, so the delta to version 2 does not apply.
LogFollower corruptedFollower() {
  LogFollower follower;
  follower.offer(feedOf({firstConfiguration("x"), deltaConfiguration()}, 2));
  applyAll(follower);
  return follower;
}
/// Creates a follower that has applied entries 1 to `index`.
LogFollower followerAt(std::int64_t index) {
  LogFollower follower;
  for (std::int64_t i = 1; i <= index; ++i)
    follower.offer(feedOf({runnerJoins(i)}, i));
  applyAll(follower);
  return follower;
}
using Indexes = std::vector<std::int64_t>;
}  // namespace

TEST(LogFollower, AppliesEntriesInOrder) {
  LogFollower follower;
  follower.offer(feedOf({runnerJoins(2), firstConfiguration()}, 2));
  EXPECT_EQ(applyAll(follower), (Indexes{1, 2}));
  EXPECT_EQ(follower.replica().state().version, 1);
  EXPECT_FALSE(follower.isBehind());
}
// Guards against an agent that grows over its memory because it retains many large configurations for its proxy.
TEST(LogFollower, RetainsABoundedNumberOfBytes) {
  constexpr int kEntries = 40;
  const std::size_t bytes = LogFollower::kTailBytes / 4;
  LogFollower follower;
  for (std::int64_t i = 1; i <= kEntries; ++i) {
    auto entry = runnerJoins(i);
    entry.body.resize(bytes, ' ');
    follower.offer(feedOf({entry}, i));
  }
  applyAll(follower);
  EXPECT_EQ(follower.replica().lastApplied(), kEntries);
  std::size_t retained = 0;
  for (std::int64_t from = kEntries - 1; from > 0; --from)
    if (const auto entries = follower.entriesAfter(from))
      retained = entries->entries.size();
  EXPECT_EQ(retained, 4U);
  EXPECT_FALSE(follower.entriesAfter(1)) << "a proxy that is further behind gets a snapshot";
}
TEST(LogFollower, AGapBlocksAllThatFollows) {
  LogFollower follower;
  follower.offer(feedOf({runnerJoins(1), runnerJoins(3)}, 3));
  EXPECT_EQ(applyAll(follower), (Indexes{1}));
  EXPECT_TRUE(follower.isBehind());

  follower.offer(feedOf({runnerJoins(2)}, 3));
  EXPECT_EQ(applyAll(follower), (Indexes{2, 3}));
  EXPECT_FALSE(follower.isBehind());
}
TEST(LogFollower, IsBehindWhenTheCoreHasCommittedMore) {
  LogFollower follower;
  follower.offer(feedOf({runnerJoins(1)}, 1));
  applyAll(follower);
  EXPECT_FALSE(follower.recordCommitIndex(kNow, 1));
  EXPECT_FALSE(follower.isBehind());
  EXPECT_TRUE(follower.recordCommitIndex(kNow, 2));
  EXPECT_TRUE(follower.isBehind());
}
TEST(LogFollower, AFeedWithoutEntriesShowsThatSomeAreMissing) {
  LogFollower follower;
  follower.offer(feedOf({}, 4));
  EXPECT_TRUE(follower.isBehind());
}
TEST(LogFollower, RefetchesOnlyAfterTheInterval) {
  LogFollower follower;
  EXPECT_TRUE(follower.mayRefetch(kNow));
  follower.follow(kNow, true);
  EXPECT_FALSE(follower.mayRefetch(kNow + 149ms));
  EXPECT_TRUE(follower.mayRefetch(kNow + 150ms));
}
TEST(LogFollower, RequestNamesWhatIsHere) {
  LogFollower follower;
  follower.offer(feedOf({firstConfiguration(), runnerJoins(2)}, 2));
  applyAll(follower);
  const auto request = follower.follow(kNow, true);
  EXPECT_EQ(request.lastApplied, 2);
  EXPECT_EQ(request.cachedDigest, digestOf(configurationText(1, 10)));
  EXPECT_TRUE(request.refetch);
}
TEST(LogFollower, FollowsUntilThereIsAnotherLeader) {
  LogFollower follower;
  EXPECT_FALSE(follower.following());
  follower.follow(kNow, false);
  EXPECT_TRUE(follower.following());
  follower.stopFollowing();
  EXPECT_FALSE(follower.following());
}
TEST(LogFollower, LargeEntryWaitsForTheBodySentAhead) {
  LogFollower follower;
  auto entry = firstConfiguration();
  auto body = std::exchange(entry.body, {});
  entry.omitted = true;
  follower.offer(feedOf({entry}, 1));
  EXPECT_EQ(applyAll(follower), Indexes{});
  EXPECT_TRUE(follower.isBehind());

  follower.offerBody({.digest = entry.digest, .body = std::move(body)});
  EXPECT_EQ(applyAll(follower), (Indexes{1}));
  EXPECT_EQ(follower.replica().state().configuration, configurationText(1, 10));
}
TEST(LogFollower, ACorruptedReplicaRequestsTheCompleteState) {
  LogFollower follower;
  follower.offer(feedOf({firstConfiguration("x"), deltaConfiguration()}, 2));
  EXPECT_FALSE(follower.applyNext()->change.corrupted);
  EXPECT_TRUE(follower.applyNext()->change.corrupted);

  EXPECT_TRUE(follower.isBehind());
  const auto request = follower.follow(kNow, true);
  EXPECT_EQ(request.lastApplied, 0);
  EXPECT_EQ(request.cachedDigest, "");
}
TEST(LogFollower, ASnapshotOfTheSameIndexRepairsACorruptedReplica) {
  auto follower = corruptedFollower();
  const auto snapshot = snapshotAfter({firstConfiguration(), deltaConfiguration()});
  ASSERT_TRUE(follower.needsSnapshot(snapshot));
  ASSERT_TRUE(follower.restore(snapshot));
  EXPECT_FALSE(follower.isBehind());
  EXPECT_EQ(follower.replica().state().configuration, configurationText(2, 11));
  EXPECT_FALSE(follower.needsSnapshot(snapshot)) << "an intact replica has applied this index before";
}
TEST(LogFollower, ASnapshotNeverLeadsBack) {
  LogFollower follower;
  follower.offer(feedOf({firstConfiguration(), runnerJoins(2)}, 2));
  applyAll(follower);
  EXPECT_FALSE(follower.needsSnapshot(snapshotAfter({firstConfiguration()})));
  EXPECT_FALSE(follower.needsSnapshot(snapshotAfter({firstConfiguration(), runnerJoins(2)})));
  EXPECT_TRUE(follower.needsSnapshot(snapshotAfter({firstConfiguration(), runnerJoins(2), runnerJoins(3)})));
  auto corrupted = corruptedFollower();
  EXPECT_FALSE(corrupted.needsSnapshot(snapshotAfter({firstConfiguration()})))
      << "an older snapshot does not repair a corrupted replica";
}
TEST(LogFollower, ASnapshotThatCannotBeReadCorruptsTheReplica) {
  LogFollower follower;
  follower.offer(feedOf({firstConfiguration()}, 1));
  applyAll(follower);
  transport::FeedSnapshot unreadable;
  unreadable.lastIncludedIndex = 5;
  unreadable.state = "no snapshot";
  EXPECT_FALSE(follower.restore(unreadable));
  EXPECT_TRUE(follower.replica().corrupted());
  EXPECT_EQ(follower.replica().lastApplied(), 1);
  EXPECT_TRUE(follower.isBehind());
}
TEST(LogFollower, EntriesBehindASnapshotAreAppliedAfterIt) {
  LogFollower follower;
  follower.offer(feedOf({runnerJoins(3)}, 3));
  ASSERT_TRUE(follower.restore(snapshotAfter({firstConfiguration(), runnerJoins(2)})));
  EXPECT_EQ(applyAll(follower), (Indexes{3}));
}
TEST(LogFollower, EntriesAfterAnIndexOnlyWhereTheTailReaches) {
  const auto follower = followerAt(300);
  const auto fromTail = follower.entriesAfter(44);
  ASSERT_TRUE(fromTail);
  EXPECT_EQ(fromTail->entries.size(), LogFollower::kTailCapacity);
  EXPECT_EQ(fromTail->entries.front().index, 45);
  EXPECT_EQ(fromTail->newestIndex, 300);
  EXPECT_FALSE(follower.entriesAfter(43)) << "entry 44 is no longer retained";
}
TEST(LogFollower, NoEntriesForAProxyThatHasThemAll) {
  const auto follower = followerAt(300);
  for (const std::int64_t index : {300, 301}) {
    const auto feed = follower.entriesAfter(index);
    ASSERT_TRUE(feed) << "no snapshot is needed at index " << index;
    EXPECT_TRUE(feed->entries.empty()) << index;
  }
}
TEST(LogFollower, ASnapshotEmptiesTheTail) {
  LogFollower follower;
  follower.offer(feedOf({runnerJoins(1)}, 1));
  applyAll(follower);
  ASSERT_TRUE(follower.restore(snapshotAfter({runnerJoins(1), runnerJoins(2)})));
  EXPECT_FALSE(follower.entriesAfter(0));
  EXPECT_TRUE(follower.entriesAfter(2));
}
