/// @file
/// How a controller's member of a shard starts: the shard's log is founded once, by the voters of the fleet's log.
#include <gtest/gtest.h>

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
/// A controller whose fleet member has started from an empty disk.
struct Started {
  ControllerContext context;
  Started(const std::string& ip, bool firstStart) : context(settingsOf(ip, firstStart)) {
    startRaft(context, {}, kIncarnation);
  }
  std::unique_ptr<consensus::RaftNode> shardFrom(const storage::Recovery& recovery) const {
    return startShardMember(context, recovery, {}, kIncarnation);
  }
};
/// What a member writes that is founded.
storage::Recovery recordsOf(consensus::RaftNode& member) {
  storage::Recovery recovery;
  for (auto& action : member.takeActions())
    if (auto* persisted = std::get_if<consensus::PersistRecord>(&action))
      recovery.records.push_back(persisted->record);
  return recovery;
}
}  // namespace

TEST(ShardStartup, TheFleetsVotersFoundTheShard) {
  const Started founder("10.0.0.1", true);
  const auto member = founder.shardFrom({});
  EXPECT_EQ(member->self(), founder.context.raft->self());
  EXPECT_EQ(member->voters(), founder.context.raft->voters());
  EXPECT_EQ(member->voters().size(), 3U);
}
TEST(ShardStartup, AMachineThatJoinsTheFleetJoinsTheShard) {
  const Started newcomer("10.0.0.9", true);
  EXPECT_TRUE(newcomer.shardFrom({})->voters().empty());
  const Started wiped("10.0.0.1", false);
  const auto member = wiped.shardFrom({});
  EXPECT_TRUE(member->voters().empty()) << "a lost disk is a new member";
  EXPECT_NE(member->self(), "10.0.0.1#0");
}
TEST(ShardStartup, RecordsAreResumedUnderTheirIdentity) {
  const Started founder("10.0.0.1", true);
  const auto recovery = recordsOf(*founder.shardFrom({}));
  ASSERT_FALSE(recovery.records.empty());
  const Started later("10.0.0.1", false);
  const auto member = later.shardFrom(recovery);
  EXPECT_EQ(member->self(), "10.0.0.1#0");
  EXPECT_EQ(member->voters().size(), 3U);
}
// Disks of a version without shards: the fleet's log resumes, the shard's files hold nothing.
TEST(ShardStartup, AnUpdateFoundsTheShardWithTheFleetsVoters) {
  const Started before("10.0.0.2", true);
  const auto fleetRecords = recordsOf(*before.context.raft);
  ControllerContext updated(settingsOf("10.0.0.2", false));
  startRaft(updated, fleetRecords, kIncarnation);
  const auto member = startShardMember(updated, {}, {}, kIncarnation);
  EXPECT_EQ(member->self(), "10.0.0.2#0");
  EXPECT_EQ(member->voters().size(), 3U);
}
// An update in the middle of a replacement: one machine knows the voters from before it, another those from after it.
// Each would found a log of its own.
TEST(ShardStartup, MachinesThatKnowDifferentVotersDoNotFoundTwoLogs) {
  const Started before("10.0.0.2", true);
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
// Its shard's records were corrupted and set aside: it may have voted under its identity, and must not again.
TEST(ShardStartup, AQuarantinedShardJoinsAsANewMember) {
  const Started founder("10.0.0.1", true);
  storage::Recovery quarantined;
  quarantined.identityLost = true;
  const auto member = founder.shardFrom(quarantined);
  EXPECT_TRUE(member->voters().empty());
  EXPECT_NE(member->self(), founder.context.raft->self());
}
