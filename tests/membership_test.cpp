/// Tests of the choice of voters and of the losses that are tolerated at each step of joining, leaving and replacing
/// machines. The tests cover the rows of the table in docs/consensus.md.
#include <gtest/gtest.h>

#include "consensus/membership_policy.hpp"
#include "simulated_cluster.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::storage;
using zinccleat::sim::SimulatedCluster;
namespace {
const std::vector<std::string> kSeeds = {"10.1.0.1", "10.2.0.1", "10.3.0.1"};
constexpr Duration kStabilizationTime{6000};
constexpr Duration kRecoveryTime{6000};  // a machine counts as lost until this long after its return

std::vector<std::string> startMachines(SimulatedCluster& cluster, std::size_t count) {
  auto machines = kSeeds;
  for (std::size_t i = 3; i < count; ++i)
    machines.push_back("10." + std::to_string(i % 3 + 1) + ".0." + std::to_string(2 + i / 3));
  for (const auto& machine : machines)
    cluster.start(machine, kSeeds, true);
  cluster.runFor(kStabilizationTime);
  return machines;
}
void loseMachine(SimulatedCluster& cluster, const std::string& machine) {
  cluster.crash(machine);
  cluster.nodes.erase(machine);
}
std::vector<std::string> machinesOf(const SimulatedCluster& cluster) {
  std::vector<std::string> machines;
  machines.reserve(cluster.nodes.size());
  for (const auto& [ip, node] : cluster.nodes)
    machines.push_back(ip);
  return machines;
}
std::vector<std::string> seedsWithout(const std::string& machine) {
  auto seeds = kSeeds;
  std::erase(seeds, machine);
  return seeds;
}
// Whether there is a leader, a write commits, and no invariant was violated.
::testing::AssertionResult commitsAWrite(SimulatedCluster& cluster) {
  const auto leader = cluster.leader();
  if (leader.empty())
    return ::testing::AssertionFailure() << "no leader with a lease (seed " << cluster.seed << ")";
  const auto before = cluster.acknowledged.size();
  cluster.write(leader);
  cluster.runFor(2000ms);
  if (cluster.acknowledged.size() <= before)
    return ::testing::AssertionFailure() << "no write commits (seed " << cluster.seed << ")";
  if (!cluster.violations.empty())
    return ::testing::AssertionFailure() << cluster.violations.front();
  return ::testing::AssertionSuccess();
}
std::size_t votersAt(SimulatedCluster& cluster) {
  const auto leader = cluster.leader();
  return leader.empty() ? 0 : cluster.nodes[leader].raft->config().voters.size();
}
// Planned replacement: the new machine starts first, then the old machine shuts down gracefully and does not return.
void replaceMachine(SimulatedCluster& cluster, const std::string& old, const std::string& newcomer) {
  cluster.start(newcomer, kSeeds, false);
  cluster.runFor(1000ms);
  cluster.leave(old);
  cluster.runFor(kRecoveryTime);
  if (cluster.nodes[old].up)
    cluster.runFor(2000ms);
  cluster.nodes.erase(old);
}
struct PolicyRow {
  const char* what;
  std::vector<VoterStatus> voters;
  std::vector<MemberId> learners;
  std::vector<MemberId> chosen;
};
constexpr auto kUnreachable = VoterHealth::unreachable, kLeaving = VoterHealth::leaving,
               kSuperseded = VoterHealth::superseded;
}  // namespace

TEST(MembershipPolicy, Table) {
  const std::vector<PolicyRow> rows = {
      {"three, all healthy", {{"a"}, {"b"}, {"c"}}, {}, {"a", "b", "c"}},
      {"a fourth is a learner", {{"a"}, {"b"}, {"c"}}, {"d"}, {"a", "b", "c"}},
      {"a fourth and a fifth vote together", {{"a"}, {"b"}, {"c"}}, {"d", "e"}, {"a", "b", "c", "d", "e"}},
      {"one of three unreachable stays", {{"a"}, {"b"}, {"c", kUnreachable}}, {}, {"a", "b", "c"}},
      {"one of three unreachable is replaced", {{"a"}, {"b"}, {"c", kUnreachable}}, {"d"}, {"a", "b", "d"}},
      {"one of three leaving stays", {{"a"}, {"b"}, {"c", kLeaving}}, {}, {"a", "b", "c"}},
      {"one of three leaving is replaced", {{"a"}, {"b"}, {"c", kLeaving}}, {"d"}, {"a", "b", "d"}},
      {"one of three came back empty", {{"a"}, {"b"}, {"c", kSuperseded}}, {"c2"}, {"a", "b", "c2"}},
      {"two of three unreachable stay", {{"a"}, {"b", kUnreachable}, {"c", kUnreachable}}, {}, {"a", "b", "c"}},
      {"one of five unreachable stays",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e", kUnreachable}},
       {},
       {"a", "b", "c", "d", "e"}},
      {"two of five unreachable are removed",
       {{"a"}, {"b"}, {"c"}, {"d", kUnreachable}, {"e", kUnreachable}},
       {},
       {"a", "b", "c"}},
      {"two of five came back empty, a sixth is a learner",
       {{"a"}, {"b"}, {"c"}, {"d", kSuperseded}, {"e", kSuperseded}},
       {"d2", "e2", "f"},
       {"a", "b", "c", "d2", "e2"}},
      {"one of five unreachable, a sixth is a learner",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e", kUnreachable}},
       {"f"},
       {"a", "b", "c", "d", "f"}},
      {"an even number drops one", {{"a"}, {"b"}, {"c"}, {"d"}}, {}, {"a", "b", "c"}},
      {"an even number drops the unreachable one", {{"a"}, {"b", kUnreachable}, {"c"}, {"d"}}, {}, {"a", "c", "d"}},
      {"two founders stay two", {{"a"}, {"b"}}, {}, {"a", "b"}},
      {"two founders and one that joins", {{"a"}, {"b"}}, {"c"}, {"a", "b", "c"}},
      {"one founder", {{"a"}}, {}, {"a"}},
      {"one founder and one that joins", {{"a"}}, {"b"}, {"a"}},
      {"one of seven unreachable stays",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}, {"f"}, {"g", kUnreachable}},
       {},
       {"a", "b", "c", "d", "e", "f", "g"}},
      {"three of seven unhealthy: one of them is kept for an odd number",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e", kLeaving}, {"f", kSuperseded}, {"g", kUnreachable}},
       {},
       {"a", "b", "c", "d", "g"}},
      {"no more than nine",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}, {"f"}, {"g"}, {"h"}, {"i"}},
       {"j", "k"},
       {"a", "b", "c", "d", "e", "f", "g", "h", "i"}},
  };
  for (const auto& row : rows)
    EXPECT_EQ(chooseVoters(row.voters, row.learners, 9), row.chosen) << row.what;
}
TEST(ClusterConfig, AJointConfigurationNeedsAMajorityOfBothHalves) {
  const ClusterConfig joint{{"a", "b", "c"}, {"a", "d", "e"}};
  const auto agreed = [&](const std::string& members) {
    return joint.hasQuorum([&](const MemberId& member) { return members.find(member) != members.npos; });
  };
  EXPECT_TRUE(agreed("abd"));
  EXPECT_TRUE(agreed("bcde"));
  EXPECT_FALSE(agreed("abc"));
  EXPECT_FALSE(agreed("ade"));
  EXPECT_EQ(joint.allVoters(), (std::vector<MemberId>{"a", "b", "c", "d", "e"}));
}
TEST(ClusterConfig, ReadsBackWhatItEncodes) {
  const ClusterConfig joint{{"a", "b", "c"}, {"a", "d", "e"}};
  EXPECT_EQ(decodeConfig(encodeConfig(joint)), joint);
  const ClusterConfig single{{"a", "b", "c"}, {}};
  EXPECT_EQ(decodeConfig(encodeConfig(single)), single);
  EXPECT_TRUE(decodeConfig("").empty());
}
// The number of voters is the largest odd number up to the number of machines, and at most nine.
TEST(Membership, VotersByMachines) {
  const std::vector<std::pair<std::size_t, std::size_t>> rows = {{3, 3}, {4, 3}, {5, 5}, {6, 5},
                                                                 {8, 7}, {9, 9}, {11, 9}};
  for (const auto& [machines, voters] : rows) {
    SimulatedCluster cluster(900 + machines);
    startMachines(cluster, machines);
    EXPECT_EQ(votersAt(cluster), voters) << machines << " machines";
    EXPECT_TRUE(commitsAWrite(cluster));
  }
}
namespace {
struct ToleranceRow {
  std::size_t machines, tolerated;
};
// The indexes of the machines that are lost at the same time: `first`, then `second` and a third machine if as many
// losses are tolerated.
std::vector<std::size_t> lostTogether(const ToleranceRow& row, std::size_t first, std::size_t second) {
  std::vector<std::size_t> lost{first};
  if (row.tolerated > 1 && second < row.machines)
    lost.push_back(second);
  if (row.tolerated > 2) {
    const auto third = (second + 1) % row.machines;
    lost.push_back(third == first ? (second + 2) % row.machines : third);
  }
  return lost;
}
void runLossAtRest(const ToleranceRow& row, std::size_t first, std::size_t second) {
  SimulatedCluster cluster(2000 + first * 16 + second);
  const auto ips = startMachines(cluster, row.machines);
  for (const auto lost : lostTogether(row, first, second))
    loseMachine(cluster, ips[lost]);
  cluster.runFor(3000ms);
  ASSERT_TRUE(commitsAWrite(cluster)) << row.machines << " machines without " << first << " and " << second;
}
}  // namespace
// While no change of voters is in progress, any machines up to the tolerated number may be lost at the same time.
TEST(Membership, AnyToleratedLossAtRestIsSurvived) {
  for (const auto& row : {ToleranceRow{3, 1}, {5, 2}, {6, 2}, {8, 2}, {8, 3}})
    for (std::size_t first = 0; first < row.machines; ++first) {
      const auto end = row.tolerated == 1 ? first + 2 : std::max(row.machines, first + 2);
      for (auto second = first + 1; second < end && !HasFatalFailure(); ++second)
        runLossAtRest(row, first, second);
    }
}
namespace {
void runLossesInSequence(std::size_t machines, std::size_t losses, std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  auto ips = startMachines(cluster, machines);
  for (std::size_t lost = 0; lost < losses; ++lost) {
    const auto victim = cluster.draw(ips.size());
    loseMachine(cluster, ips[victim]);
    ips.erase(ips.begin() + static_cast<std::ptrdiff_t>(victim));
    cluster.runFor(kStabilizationTime);
    ASSERT_TRUE(commitsAWrite(cluster)) << machines << " machines, after " << lost + 1 << " losses";
  }
}
}  // namespace
// Once the remaining machines have had time to change the voters, the next loss is tolerated again.
TEST(Membership, LossesInSequenceAreSurvived) {
  struct Row {
    std::size_t machines, losses;
  };
  // Of three machines one may be lost; of more machines all but two, if there is enough time between the losses.
  for (const auto& [machines, losses] : {Row{3, 1}, Row{5, 3}, Row{6, 4}, Row{8, 6}})
    for (std::uint64_t seed = 2500; seed < 2506; ++seed)
      ASSERT_NO_FATAL_FAILURE(runLossesInSequence(machines, losses, seed));
}
// Guards against a voter set that is never reduced: the new machine became a fourth voter, the machine that had exited
// was never removed, and one more loss left no majority, in 60 of 60 seeds.
TEST(Membership, APlannedReplacementAndThenALoss) {
  for (std::uint64_t seed = 3000; seed < 3060; ++seed) {
    SimulatedCluster cluster(seed);
    startMachines(cluster, 3);
    const auto& old = kSeeds[cluster.draw(3)];
    cluster.start("10.9.0.9", kSeeds, false);
    cluster.runFor(1000ms);
    cluster.leave(old);
    cluster.runFor(Duration(4000 + cluster.draw(16000)));
    ASSERT_FALSE(cluster.nodes[old].up) << "seed " << seed;
    cluster.nodes.erase(old);
    const auto left = machinesOf(cluster);
    cluster.crash(left[cluster.draw(left.size())]);
    cluster.runFor(3000ms);
    ASSERT_TRUE(commitsAWrite(cluster));
  }
}
namespace {
void runReplacements(std::size_t machines, std::uint64_t seed) {
  SimulatedCluster cluster(4000 + seed);
  auto ips = startMachines(cluster, machines);
  for (int round = 0; round < 3; ++round) {
    const auto which = cluster.draw(ips.size());
    const auto newcomer = "10.9.0." + std::to_string(10 + round);
    replaceMachine(cluster, ips[which], newcomer);
    ips[which] = newcomer;
    ASSERT_TRUE(commitsAWrite(cluster)) << machines << " machines, round " << round;
  }
  const auto victim = ips[cluster.draw(ips.size())];
  if (seed % 2) {
    cluster.isolate(victim);
  } else {
    cluster.crash(victim);
    cluster.nodes[victim].disk.clear();
    cluster.schedule(900ms, [&cluster, victim] { cluster.start(victim, kSeeds, false); });
  }
  cluster.runFor(4000ms);
  ASSERT_TRUE(commitsAWrite(cluster)) << machines << " machines, at the end";
  EXPECT_EQ(votersAt(cluster) % 2, 1U);
}
}  // namespace
TEST(Membership, ReplacementsInSequenceThenAWipeOrAPartition) {
  for (const std::size_t machines : {3U, 5U, 6U, 8U})
    for (std::uint64_t seed = 0; seed < 12; ++seed)
      ASSERT_NO_FATAL_FAILURE(runReplacements(machines, seed));
}
// A crash at any moment of a graceful leave is as safe as the leave itself.
TEST(Membership, ACrashWhileLeaving) {
  for (std::uint64_t seed = 5000; seed < 5060; ++seed) {
    SimulatedCluster cluster(seed);
    startMachines(cluster, 3);
    for (int i = 0; i < 4; ++i) {
      cluster.write(kSeeds[cluster.draw(3)]);
      cluster.runFor(60ms);
    }
    const auto& old = kSeeds[cluster.draw(3)];
    cluster.start("10.9.0.9", kSeeds, false);
    cluster.runFor(Duration(cluster.draw(1200)));
    cluster.leave(old);
    cluster.runFor(Duration(cluster.draw(120)));
    loseMachine(cluster, old);
    cluster.runFor(kRecoveryTime);
    ASSERT_TRUE(commitsAWrite(cluster));
    const auto left = machinesOf(cluster);
    cluster.crash(left[cluster.draw(left.size())]);
    cluster.runFor(3000ms);
    ASSERT_TRUE(commitsAWrite(cluster));
  }
}
namespace {
void restartGracefully(SimulatedCluster& cluster, const std::string& ip) {
  const auto begun = cluster.now;
  cluster.leave(ip);
  while (cluster.nodes[ip].up && cluster.now - begun < 7s)
    cluster.runFor(50ms);
  EXPECT_LT(cluster.now - begun, 2s) << "a restarting member must be allowed to exit soon";
  cluster.runFor(300ms);
  cluster.start(ip, kSeeds, false);
  cluster.runFor(3000ms);
}
bool diskHolds(const SimulatedCluster::Node& node, const std::string& operationId) {
  for (const auto& bytes : node.disk) {
    const auto record = decodeRecord(bytes);
    EXPECT_TRUE(record);
    for (const auto& entry : record.value_or(DiskRecord{}).entries)
      if (entry.operationId == operationId)
        return true;
  }
  return false;
}
}  // namespace
// Each member in turn shuts down gracefully and restarts with its disk. It then becomes a voter or a learner again.
TEST(Membership, ARollingRestartLosesNothing) {
  for (const std::size_t machines : {3U, 4U, 6U}) {
    SimulatedCluster cluster(6000 + machines);
    for (const auto& ip : startMachines(cluster, machines)) {
      restartGracefully(cluster, ip);
      ASSERT_TRUE(commitsAWrite(cluster));
    }
    EXPECT_EQ(votersAt(cluster), machines % 2 ? machines : machines - 1);
  }
}
// A leaving member that has the only second copy of a committed entry must not exit before another member has a copy.
TEST(Membership, ALeavingMemberWaitsUntilAMajorityWithoutItHoldsTheCommittedLog) {
  for (std::uint64_t seed = 7000; seed < 7030; ++seed) {
    SimulatedCluster cluster(seed);
    startMachines(cluster, 3);
    const auto leader = cluster.leader();
    const auto others = seedsWithout(leader);
    cluster.nodes[others[0]].syncTime = 1500ms;
    cluster.write(leader);
    cluster.runFor(100ms);
    cluster.leave(others[1]);
    while (cluster.nodes[others[1]].up)
      cluster.runFor(20ms);
    ASSERT_EQ(cluster.acknowledged.size(), 1U) << "seed " << seed;
    // The member that left does not return, and the leader's disk is lost. The write must still exist.
    cluster.nodes.erase(others[1]);
    cluster.crash(leader);
    const auto& survivor = cluster.nodes[others[0]];
    EXPECT_TRUE(diskHolds(survivor, cluster.acknowledged.begin()->first)) << "seed " << seed;
  }
}
// Two of three members shut down at the same time: one of them exits at once, the other one must stay.
TEST(Membership, TwoMembersLeavingAtOnceExitInSequence) {
  for (std::uint64_t seed = 7500; seed < 7520; ++seed) {
    SimulatedCluster cluster(seed);
    startMachines(cluster, 3);
    const auto leader = cluster.leader();
    const auto others = seedsWithout(leader);
    for (const auto& ip : others)
      cluster.leave(ip);
    cluster.runFor(3000ms);
    EXPECT_EQ(cluster.nodes[others[0]].up + cluster.nodes[others[1]].up, 1) << "seed " << seed;
    ASSERT_TRUE(commitsAWrite(cluster));
  }
}
TEST(Membership, AResponseToAnEarlierLeaveAllowsNoExit) {
  const TimePoint now{100s};
  RaftNode node("10.1.0.1#0", RaftOptions{}, 1, now);
  node.bootstrap({"10.1.0.1#0", "10.2.0.1#0", "10.3.0.1#0"}, now);
  node.leave(now);
  node.receive(now, "10.2.0.1#0", LeaveResponse{0, -1});
  EXPECT_FALSE(node.mayExit());
}
// A voter is removed while it is down, and all members in its configuration are lost. It must rejoin through the seed
// addresses.
TEST(Membership, ARemovedVoterWithAnOldConfigurationRejoins) {
  SimulatedCluster cluster(8000);
  auto ips = startMachines(cluster, 5);
  const auto away = ips[4];
  cluster.crash(away);
  cluster.runFor(kStabilizationTime);
  for (int round = 0; round < 4; ++round) {
    const auto newcomer = "10.9.0." + std::to_string(10 + round);
    replaceMachine(cluster, ips[static_cast<std::size_t>(round)], newcomer);
    ips[static_cast<std::size_t>(round)] = newcomer;
  }
  cluster.start(away, {ips[0], ips[1], ips[2]}, false);
  cluster.runFor(kStabilizationTime);
  ASSERT_TRUE(commitsAWrite(cluster));
  EXPECT_EQ(cluster.nodes[away].raft->commitIndex(), cluster.nodes[cluster.leader()].raft->commitIndex());
}
// A member votes regardless of its own configuration, since that configuration may be outdated.
TEST(Membership, AVoterWithTheOlderConfigurationVotesForANewVoter) {
  const TimePoint now{100s};
  RaftNode node("10.1.0.1#0", RaftOptions{}, 1, now);
  node.bootstrap({"10.1.0.1#0", "10.2.0.1#0", "10.3.0.1#0"}, now);
  bool voted = false;
  const auto stabilize = [&] {
    for (auto actions = node.takeActions(); !actions.empty(); actions = node.takeActions())
      for (auto& action : actions) {
        if (const auto* record = std::get_if<PersistRecord>(&action))
          node.persisted(now, record->ticket, true);
        if (const auto* sent = std::get_if<SendMessage>(&action))
          voted = voted || std::holds_alternative<VoteResponse>(sent->message);
      }
  };
  stabilize();
  VoteRequest request;
  request.term = 3;
  request.lastLogIndex = 9;
  request.lastLogTerm = 2;
  node.receive(now, "10.4.0.1#77", request);
  stabilize();
  EXPECT_TRUE(voted);
}
