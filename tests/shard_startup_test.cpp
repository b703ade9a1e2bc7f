/// @file
/// Tests of the start of a controller's member of a shard. The shard's log is founded once, by the founders named in an
/// entry of the fleet's log. Also tests how the leader of the fleet's log chooses the founders.
#include <gtest/gtest.h>

#include "coordination/sharding.hpp"
#include "shard_founder.hpp"
#include "startup.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
namespace {
constexpr std::uint64_t kIncarnation = 6;

config::Settings settingsOf(const std::string& ip, bool firstStart) {
  config::Settings settings;
  settings.ip = ip;
  settings.seeds = {"10.0.0.1:8407", "10.0.0.2:8407", "10.0.0.3:8407"};
  settings.initialAttach = firstStart;
  return settings;
}
/// A controller whose member of the fleet's log has started from an empty disk.
struct StartedController {
  ControllerContext context;
  StartedController(const std::string& ip, bool firstStart) : context(settingsOf(ip, firstStart)) {
    startRaft(context, {}, kIncarnation);
  }
  std::unique_ptr<consensus::RaftNode> startShard(const storage::Recovery& recovery) const {
    return startShardMember(context, recovery, {}, kIncarnation);
  }
  /// Applies an entry of the fleet's log that names the founders of the shards.
  void applyFounding(const std::vector<consensus::MemberId>& founders) {
    transport::LogEntry entry = state_machine::shardsFoundedEntry({coordination::kShardCount, founders}, "founding");
    entry.index = context.replica.state().index + 1;
    entry.term = 1;
    (void)context.replica.apply(entry);
  }
  std::unique_ptr<consensus::RaftNode> foundShard() const { return foundShardMember(context, {}, kIncarnation); }
};
const std::vector<consensus::MemberId> kFounders{"10.0.0.1#0", "10.0.0.2#0", "10.0.0.3#0"};
consensus::ClusterConfig configOf(const std::vector<consensus::MemberId>& voters) {
  return {voters, {}};
}
const TimePoint kStart = TimePoint{} + 1h;
/// Returns the records that a newly founded member writes to disk.
storage::Recovery recordsOf(consensus::RaftNode& member) {
  storage::Recovery recovery;
  for (auto& action : member.takeActions())
    if (auto* persisted = std::get_if<consensus::PersistRecord>(&action))
      recovery.records.push_back(persisted->record);
  return recovery;
}
}  // namespace

TEST(ShardStartup, NobodyFoundsBeforeItIsAgreed) {
  const StartedController founder("10.0.0.1", true);
  EXPECT_TRUE(founder.startShard({})->voters().empty());
  EXPECT_FALSE(founder.foundShard());
}
TEST(ShardStartup, ThoseWhoAreNamedFoundTheShardFromTheSameState) {
  for (const auto* ip : {"10.0.0.1", "10.0.0.2", "10.0.0.3"}) {
    StartedController founder(ip, true);
    founder.applyFounding(kFounders);
    const auto member = founder.foundShard();
    ASSERT_TRUE(member) << ip;
    EXPECT_EQ(member->self(), founder.context.raft->self());
    EXPECT_EQ(member->voters(), kFounders);
    EXPECT_EQ(member->term(), 0);
  }
}
TEST(ShardStartup, AMachineThatIsNotNamedJoins) {
  StartedController newcomer("10.0.0.9", true);
  newcomer.applyFounding(kFounders);
  EXPECT_FALSE(newcomer.foundShard());
  EXPECT_TRUE(newcomer.startShard({})->voters().empty());
  StartedController wiped("10.0.0.1", false);
  wiped.applyFounding(kFounders);
  EXPECT_FALSE(wiped.foundShard()) << "a machine that lost its disk joins as a new member";
  EXPECT_NE(wiped.startShard({})->self(), "10.0.0.1#0");
}
TEST(ShardStartup, OnlyTheFirstAgreementCounts) {
  StartedController founder("10.0.0.1", true);
  founder.applyFounding(kFounders);
  founder.applyFounding({"10.0.0.7#7", "10.0.0.8#8"});
  EXPECT_EQ(founder.context.replica.state().shardFounding.founders, kFounders);
  auto invalid = state_machine::shardsFoundedEntry({0, kFounders}, "other");
  invalid.index = 9;
  (void)founder.context.replica.apply(invalid);
  EXPECT_EQ(founder.context.replica.state().shardFounding.shards, coordination::kShardCount);
}
TEST(ShardStartup, TheAgreementIsInAControllersSnapshotAndInNoOther) {
  StartedController founder("10.0.0.1", true);
  founder.applyFounding(kFounders);
  state_machine::ReplicatedState restored;
  ASSERT_TRUE(restored.restore(founder.context.replica.snapshot()));
  EXPECT_EQ(restored.state().shardFounding, founder.context.replica.state().shardFounding);
  ASSERT_TRUE(restored.restore(founder.context.replica.snapshotFor("")));
  EXPECT_FALSE(restored.state().shardFounding.isAgreed());
}
TEST(ShardStartup, RecordsAreResumedUnderTheirIdentity) {
  StartedController founder("10.0.0.1", true);
  founder.applyFounding(kFounders);
  const auto recovery = recordsOf(*founder.foundShard());
  ASSERT_FALSE(recovery.records.empty());
  const StartedController later("10.0.0.1", false);
  const auto member = later.startShard(recovery);
  EXPECT_EQ(member->self(), "10.0.0.1#0");
  EXPECT_EQ(member->voters().size(), 3U);
}
// A founder that was down, or that exited before its first record was on disk, founds the shard after its restart.
TEST(ShardStartup, AFounderThatComesLateFoundsTheSameShard) {
  const StartedController before("10.0.0.2", true);
  const auto fleetRecords = recordsOf(*before.context.raft);
  StartedController later("10.0.0.2", false);
  startRaft(later.context, fleetRecords, kIncarnation);
  later.applyFounding(kFounders);
  ASSERT_TRUE(later.foundShard());
  EXPECT_EQ(later.foundShard()->self(), "10.0.0.2#0");
  EXPECT_EQ(later.foundShard()->voters(), kFounders);
}
// Regression case: during a software update in the middle of a member replacement, one machine has the voters before
// the replacement and another the voters after it. Each machine would create a log of its own.
TEST(ShardStartup, MachinesThatKnowDifferentVotersDoNotFoundTwoLogs) {
  const StartedController before("10.0.0.2", true);
  const auto fleetRecords = recordsOf(*before.context.raft);
  auto laterRecords = fleetRecords;
  laterRecords.records.front().snapshotConfig = "10.0.0.1#0 10.0.0.2#0 10.0.0.9#5";
  std::vector<std::vector<consensus::MemberId>> founded;
  for (const auto& records : {fleetRecords, laterRecords}) {
    ControllerContext updated(settingsOf("10.0.0.2", false));
    startRaft(updated, records, kIncarnation);
    const auto member = startShardMember(updated, {}, {}, kIncarnation);
    if (!member->voters().empty())
      founded.push_back(member->voters());
  }
  EXPECT_TRUE(founded.empty() || (founded.size() == 2 && founded[0] == founded[1]));
}
// The shard's records were corrupted and set aside. The member may have voted under its old identity and must not vote
// under it again.
TEST(ShardStartup, AQuarantinedShardJoinsAsANewMember) {
  const StartedController founder("10.0.0.1", true);
  storage::Recovery quarantined;
  quarantined.identityLost = true;
  const auto member = founder.startShard(quarantined);
  EXPECT_TRUE(member->voters().empty());
  EXPECT_NE(member->self(), founder.context.raft->self());
}

// --- choice of the founders ---

TEST(ShardFounder, AllVotersWithoutRecordsFound) {
  ShardFounder founder;
  const auto config = configOf(kFounders);
  const ShardFounder::Leader leader{kFounders[0], config, false};
  EXPECT_FALSE(founder.decide(kStart, leader));
  EXPECT_EQ(founder.membersToQuery(kStart, leader).size(), 2U);
  EXPECT_TRUE(founder.membersToQuery(kStart + 100ms, leader).empty());
  founder.recordAnswer(kFounders[1], false);
  EXPECT_FALSE(founder.decide(kStart + 200ms, leader)) << "the third voter may have records";
  EXPECT_EQ(founder.membersToQuery(kStart + 300ms, leader), std::vector<consensus::MemberId>{kFounders[2]});
  founder.recordAnswer(kFounders[2], false);
  const auto founding = founder.decide(kStart + 400ms, leader);
  ASSERT_TRUE(founding);
  EXPECT_EQ(founding->founders, kFounders);
  EXPECT_EQ(founding->shards, coordination::kShardCount);
}
// The leader has lost its disk or joined recently, so it has no records although the shards exist on other machines.
TEST(ShardFounder, NobodyFoundsWhereOneHasRecords) {
  const auto config = configOf(kFounders);
  ShardFounder founderOfEmptyLeader;
  const ShardFounder::Leader without{kFounders[0], config, false};
  EXPECT_FALSE(founderOfEmptyLeader.decide(kStart, without));
  founderOfEmptyLeader.recordAnswer(kFounders[1], false);
  founderOfEmptyLeader.recordAnswer(kFounders[2], true);
  ASSERT_TRUE(founderOfEmptyLeader.decide(kStart, without));
  EXPECT_TRUE(founderOfEmptyLeader.decide(kStart, without)->founders.empty());
  EXPECT_TRUE(founderOfEmptyLeader.decide(kStart, without)->isAgreed());
  ShardFounder founderOfLeaderWithRecords;
  const ShardFounder::Leader with{kFounders[0], config, true};
  EXPECT_TRUE(founderOfLeaderWithRecords.decide(kStart, with)->founders.empty());
  EXPECT_TRUE(founderOfLeaderWithRecords.membersToQuery(kStart, with).empty());
}
TEST(ShardFounder, AMajorityFoundsOnceTheOthersWereSilentForLong) {
  ShardFounder founder;
  const auto config = configOf(kFounders);
  const ShardFounder::Leader leader{kFounders[0], config, false};
  EXPECT_FALSE(founder.decide(kStart, leader));
  EXPECT_FALSE(founder.decide(kStart + 2 * ShardFounder::kSilentVoterTimeout, leader))
      << "the leader alone is no majority";
  founder.recordAnswer(kFounders[1], false);
  EXPECT_FALSE(founder.decide(kStart + ShardFounder::kSilentVoterTimeout - 1ms, leader));
  ASSERT_TRUE(founder.decide(kStart + ShardFounder::kSilentVoterTimeout, leader));
  EXPECT_EQ(founder.decide(kStart + ShardFounder::kSilentVoterTimeout, leader)->founders, kFounders);
}
TEST(ShardFounder, NothingIsDecidedDuringAChangeOfVoters) {
  ShardFounder founder;
  auto config = configOf(kFounders);
  config.nextVoters = {kFounders[0], kFounders[1], "10.0.0.9#5"};
  const ShardFounder::Leader leader{kFounders[0], config, false};
  for (const auto& member : config.allVoters())
    founder.recordAnswer(member, false);
  EXPECT_FALSE(founder.decide(kStart, leader));
  EXPECT_FALSE(founder.decide(kStart + 2 * ShardFounder::kSilentVoterTimeout, leader));
}
// Answers from an earlier leadership are discarded: since then a disk may have been lost or the shards may have been
// founded.
TEST(ShardFounder, AnswersCountForOneLeadership) {
  ShardFounder founder;
  const auto config = configOf(kFounders);
  const ShardFounder::Leader leader{kFounders[0], config, false};
  founder.recordAnswer(kFounders[1], false);
  founder.recordAnswer(kFounders[2], false);
  founder.reset();
  EXPECT_FALSE(founder.decide(kStart, leader));
}
