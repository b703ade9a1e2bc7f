// Tests which member of the core sends the log to an agent, and how the agent continues when that member fails or lags.
#include "agent/feed_source.hpp"

#include <gtest/gtest.h>

#include "agent/log_follower.hpp"
#include "replica_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::agent;
using namespace zinccleat::replica_fixtures;
using transport::MemberZone;

namespace {
const std::string kLeader = "10.0.0.1", kNearby = "10.0.0.2";
const std::vector<MemberZone> kMembers{{kLeader, "a"}, {kNearby, "b"}, {"10.0.0.3", "c"}};

bool allConnected(const std::string&) {
  return true;
}
FeedSource sourceIn(const std::string& zone, std::uint64_t seed = 1) {
  FeedSource source(zone, seed);
  source.setMembers(kMembers, kNow - 1h);
  return source;
}
}  // namespace

TEST(FeedSource, PrefersTheMemberOfItsOwnZone) {
  EXPECT_EQ(sourceIn("b").choose(kNow, kLeader, "", allConnected), kNearby);
  EXPECT_EQ(sourceIn("a").choose(kNow, kLeader, "", allConnected), kLeader);
  EXPECT_EQ(sourceIn("elsewhere").choose(kNow, kLeader, "", allConnected), kLeader) << "the zone has no member";
  EXPECT_EQ(sourceIn("").choose(kNow, kLeader, "", allConnected), kLeader) << "the agent's zone is unknown";
}
TEST(FeedSource, TakesTheLeaderWhileTheNearbyMemberIsNotConnected) {
  const auto onlyLeader = [](const std::string& address) { return address == kLeader; };
  EXPECT_EQ(sourceIn("b").choose(kNow, kLeader, "", onlyLeader), kLeader);
  EXPECT_EQ(sourceIn("b").choose(kNow, "", "", onlyLeader), "") << "the leader is unknown";
  EXPECT_EQ(sourceIn("b").choose(kNow, "", "", allConnected), kNearby)
      << "a member can send committed entries without a leader";
}
// Regression, found in a replay with 300 machines: at the start, all agents requested the complete state from the
// leader in another zone, because the connection to the member of their zone was not established yet, and then
// requested it again from that member.
TEST(FeedSource, WaitsAMomentForTheConnectionToANewMember) {
  FeedSource source("b", 1);
  source.setMembers(kMembers, kNow);
  const auto onlyLeader = [](const std::string& address) { return address == kLeader; };
  EXPECT_EQ(source.choose(kNow + 100ms, kLeader, "", onlyLeader), "");
  EXPECT_EQ(source.choose(kNow + 100ms, kLeader, kLeader, onlyLeader), kLeader) << "the current source is kept";
  EXPECT_EQ(source.choose(kNow + 100ms, kLeader, "", allConnected), kNearby);
  EXPECT_EQ(source.choose(kNow + FeedSource::kStallTimeout, kLeader, "", onlyLeader), kLeader);
  source.setMembers(kMembers, kNow + 1s);
  EXPECT_EQ(source.choose(kNow + 1100ms, kLeader, "", onlyLeader), kLeader) << "the member is no longer new";
}
// Regression, found after a power failure of all 300 machines: a new leader at first listed only itself as a member.
// All agents in other zones switched from the member of their zone to the leader, and back within a second.
TEST(FeedSource, KeepsAMemberThatANewLeaderDoesNotListYet) {
  auto source = sourceIn("b");
  source.setMembers(kMembers, kNow);
  source.setMembers({{kLeader, "a"}}, kNow + 100ms);
  EXPECT_EQ(source.choose(kNow + 100ms, kLeader, kNearby, allConnected), kNearby);
  const auto onlyLeader = [](const std::string& address) { return address == kLeader; };
  EXPECT_EQ(source.choose(kNow + 400ms, kLeader, "", onlyLeader), kLeader)
      << "a member that is not connected may have failed";
  source.setMembers({{kLeader, "a"}}, kNow + FeedSource::kRetentionTime);
  EXPECT_EQ(source.choose(kNow + FeedSource::kRetentionTime, kLeader, kNearby, allConnected), kLeader);
}
TEST(FeedSource, AvoidsAMemberThatLagsForAWhile) {
  auto source = sourceIn("b");
  source.avoid(kNearby, kNow);
  EXPECT_EQ(source.choose(kNow + 1s, kLeader, "", allConnected), kLeader);
  EXPECT_EQ(source.memberInZone(kNow + 1s), "");
  EXPECT_EQ(source.choose(kNow + FeedSource::kAvoidTime, kLeader, "", allConnected), kNearby);
}
TEST(FeedSource, AgentsSpreadOverTheMembersOfAZone) {
  std::set<std::string> chosen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    FeedSource source("z", seed);
    source.setMembers({{"10.0.0.1", "z"}, {"10.0.0.2", "z"}, {"10.0.0.3", "z"}}, kNow - 1h);
    chosen.insert(source.choose(kNow, "10.0.9.9", "", allConnected));
  }
  EXPECT_EQ(chosen.size(), 3U);
}
TEST(FeedSource, AStatusWithoutMembersChangesNothing) {
  auto source = sourceIn("b");
  source.setMembers({}, kNow);
  EXPECT_EQ(source.memberInZone(kNow), kNearby);
}

// The source fails while it is sending entries. The leader continues after the entry that the agent applied last.
// Duplicate entries are dropped, and no entry is applied out of order.
TEST(FeedSource, ALostMemberLeavesAGapThatTheLeaderCloses) {
  LogFollower follower;
  std::vector<std::int64_t> applied;
  const auto applyAll = [&] {
    while (const auto next = follower.applyNext())
      applied.push_back(next->entry.index);
  };
  follower.offer(feedOf({runnerJoins(1), runnerJoins(2)}, 5));
  applyAll();
  follower.offer(feedOf({runnerJoins(5)}, 5));  // entries 3 and 4 were lost with the connection
  applyAll();
  EXPECT_EQ(applied, (std::vector<std::int64_t>{1, 2}));
  EXPECT_EQ(follower.stalledFor(kNow), Duration(0)) << "the time is counted from this call";
  EXPECT_GE(follower.stalledFor(kNow + FeedSource::kStallTimeout), FeedSource::kStallTimeout);

  EXPECT_EQ(follower.follow(kNow + 400ms, true).lastApplied, 2);
  follower.offer(feedOf({runnerJoins(3), runnerJoins(4), runnerJoins(5)}, 5));
  follower.offer(feedOf({runnerJoins(4)}, 5));  // a delayed duplicate from the failed source
  applyAll();
  EXPECT_EQ(applied, (std::vector<std::int64_t>{1, 2, 3, 4, 5}));
  EXPECT_EQ(follower.stalledFor(kNow + 10s), Duration(0));
}
// A follower of the core commits an entry slightly later than the leader. An agent that learns of the entry from a
// lease response must not treat its source as stalled in between.
TEST(FeedSource, BeingBehindForAMomentIsNoStall) {
  LogFollower follower;
  follower.offer(feedOf({runnerJoins(1)}, 1));
  while (follower.applyNext())
    ;
  follower.recordCommitIndex(kNow, 2);
  EXPECT_EQ(follower.stalledFor(kNow), Duration(0));
  EXPECT_EQ(follower.stalledFor(kNow + 200ms), Duration(200));
  follower.offer(feedOf({runnerJoins(2)}, 2));
  while (follower.applyNext())
    ;
  follower.recordCommitIndex(kNow, 3);
  EXPECT_EQ(follower.stalledFor(kNow + 290ms), Duration(0)) << "an entry was applied in between";
}
TEST(FeedSource, HowLongASourceIsWaitedForDependsOnWhatItHasSaid) {
  const FeedSource::Activity silent{kNow - FeedSource::kStallTimeout, true};
  EXPECT_FALSE(FeedSource::isStalled(kNow, FeedSource::kStallTimeout - 1ms, silent));
  EXPECT_TRUE(FeedSource::isStalled(kNow, FeedSource::kStallTimeout, silent));
  const FeedSource::Activity isolated{kNow - 10ms, false};
  EXPECT_FALSE(FeedSource::isStalled(kNow, FeedSource::kIsolationTimeout - 1ms, isolated));
  EXPECT_TRUE(FeedSource::isStalled(kNow, FeedSource::kIsolationTimeout, isolated))
      << "the source sends messages but lacks the entries";
  const FeedSource::Activity busy{kNow - 10ms, true};
  EXPECT_FALSE(FeedSource::isStalled(kNow, FeedSource::kTransferTimeout - 1ms, busy)) << "the transfer is in progress";
  EXPECT_TRUE(FeedSource::isStalled(kNow, FeedSource::kTransferTimeout, busy)) << "the time for a transfer is limited";
}
