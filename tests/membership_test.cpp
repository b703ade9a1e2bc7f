// Who votes, and what each step of joining, leaving and replacing bears: the rows of the table in docs/consensus.md.
#include <gtest/gtest.h>

#include "consensus/membership_policy.hpp"
#include "simulated_cluster.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::storage;
using zinccleat::sim::World;
namespace {
const std::vector<std::string> kSeeds = {"10.1.0.1", "10.2.0.1", "10.3.0.1"};
constexpr Duration kSettled{6000};
constexpr Duration kDiskBackAfter{6000};  // a lost machine counts as lost for so long after it is back

std::vector<std::string> bootMachines(World& world, std::size_t count) {
  auto machines = kSeeds;
  for (std::size_t i = 3; i < count; ++i)
    machines.push_back("10." + std::to_string(i % 3 + 1) + ".0." + std::to_string(2 + i / 3));
  for (const auto& machine : machines)
    world.boot(machine, kSeeds, true);
  world.runFor(kSettled);
  return machines;
}
void loseForGood(World& world, const std::string& machine) {
  world.kill(machine);
  world.nodes.erase(machine);
}
std::vector<std::string> machinesOf(const World& world) {
  std::vector<std::string> machines;
  machines.reserve(world.nodes.size());
  for (const auto& [ip, node] : world.nodes)
    machines.push_back(ip);
  return machines;
}
std::vector<std::string> seedsBut(const std::string& machine) {
  auto seeds = kSeeds;
  std::erase(seeds, machine);
  return seeds;
}
// A write passes at the leader that there is.
::testing::AssertionResult serves(World& world) {
  const auto leader = world.leader();
  if (leader.empty())
    return ::testing::AssertionFailure() << "no leader with a lease (seed " << world.seed << ")";
  const auto before = world.acked.size();
  world.write(leader);
  world.runFor(2000ms);
  if (world.acked.size() <= before)
    return ::testing::AssertionFailure() << "no write passes (seed " << world.seed << ")";
  if (!world.broken.empty())
    return ::testing::AssertionFailure() << world.broken.front();
  return ::testing::AssertionSuccess();
}
std::size_t votersAt(World& world) {
  const auto leader = world.leader();
  return leader.empty() ? 0 : world.nodes[leader].raft->config().voters.size();
}
// Planned: the newcomer starts first, then the old machine is told to end and never comes back.
void replacePlanned(World& world, const std::string& old, const std::string& newcomer) {
  world.boot(newcomer, kSeeds, false);
  world.runFor(1000ms);
  world.leave(old);
  world.runFor(kDiskBackAfter);
  if (world.nodes[old].up)
    world.runFor(2000ms);
  world.nodes.erase(old);
}
struct PolicyRow {
  const char* what;
  std::vector<VoterStatus> voters;
  std::vector<MemberId> learners;
  std::vector<MemberId> chosen;
};
constexpr auto kHealthy = VoterHealth::healthy, kSilent = VoterHealth::unreachable, kLeaving = VoterHealth::leaving,
               kSuperseded = VoterHealth::superseded;
}  // namespace

TEST(MembershipPolicy, Table) {
  const std::vector<PolicyRow> rows = {
      {"three, all well", {{"a"}, {"b"}, {"c"}}, {}, {"a", "b", "c"}},
      {"a fourth only follows", {{"a"}, {"b"}, {"c"}}, {"d"}, {"a", "b", "c"}},
      {"a fourth and a fifth vote together", {{"a"}, {"b"}, {"c"}}, {"d", "e"}, {"a", "b", "c", "d", "e"}},
      {"one of three silent stays", {{"a"}, {"b"}, {"c", kSilent}}, {}, {"a", "b", "c"}},
      {"one of three silent is replaced", {{"a"}, {"b"}, {"c", kSilent}}, {"d"}, {"a", "b", "d"}},
      {"one of three leaving stays", {{"a"}, {"b"}, {"c", kLeaving}}, {}, {"a", "b", "c"}},
      {"one of three leaving is replaced", {{"a"}, {"b"}, {"c", kLeaving}}, {"d"}, {"a", "b", "d"}},
      {"one of three came back empty", {{"a"}, {"b"}, {"c", kSuperseded}}, {"c2"}, {"a", "b", "c2"}},
      {"two of three silent stay", {{"a"}, {"b", kSilent}, {"c", kSilent}}, {}, {"a", "b", "c"}},
      {"one of five silent stays", {{"a"}, {"b"}, {"c"}, {"d"}, {"e", kSilent}}, {}, {"a", "b", "c", "d", "e"}},
      {"two of five silent go", {{"a"}, {"b"}, {"c"}, {"d", kSilent}, {"e", kSilent}}, {}, {"a", "b", "c"}},
      {"two of five came back empty, a sixth stands by",
       {{"a"}, {"b"}, {"c"}, {"d", kSuperseded}, {"e", kSuperseded}},
       {"d2", "e2", "f"},
       {"a", "b", "c", "d2", "e2"}},
      {"one of five silent, a sixth stands by",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e", kSilent}},
       {"f"},
       {"a", "b", "c", "d", "f"}},
      {"an even number sheds one", {{"a"}, {"b"}, {"c"}, {"d"}}, {}, {"a", "b", "c"}},
      {"an even number sheds the silent one", {{"a"}, {"b", kSilent}, {"c"}, {"d"}}, {}, {"a", "c", "d"}},
      {"two founders stay two", {{"a"}, {"b"}}, {}, {"a", "b"}},
      {"two founders and one that joins", {{"a"}, {"b"}}, {"c"}, {"a", "b", "c"}},
      {"one founder", {{"a"}}, {}, {"a"}},
      {"one founder and one that joins", {{"a"}}, {"b"}, {"a"}},
      {"one of seven silent stays",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}, {"f"}, {"g", kSilent}},
       {},
       {"a", "b", "c", "d", "e", "f", "g"}},
      {"three of seven silent: one of them is kept for an odd number",
       {{"a"}, {"b"}, {"c"}, {"d"}, {"e", kLeaving}, {"f", kSuperseded}, {"g", kSilent}},
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
  EXPECT_EQ(decodeConfig(encodeConfig(joint)), joint);
  EXPECT_EQ(joint.allVoters(), (std::vector<MemberId>{"a", "b", "c", "d", "e"}));
  const ClusterConfig single{{"a", "b", "c"}, {}};
  EXPECT_EQ(decodeConfig(encodeConfig(single)), single);
  EXPECT_TRUE(decodeConfig("").empty());
}
// The number of voters follows the number of machines, odd.
TEST(Membership, VotersByMachines) {
  const std::vector<std::pair<std::size_t, std::size_t>> rows = {{3, 3}, {4, 3}, {5, 5}, {6, 5},
                                                                 {8, 7}, {9, 9}, {11, 9}};
  for (const auto& [machines, voters] : rows) {
    World world(900 + machines);
    bootMachines(world, machines);
    EXPECT_EQ(votersAt(world), voters) << machines << " machines";
    EXPECT_TRUE(serves(world));
  }
}
// At rest, whichever machines are lost at once, as many as are owed, the rest goes on.
TEST(Membership, AtRestEachLossThatIsOwedIsBorne) {
  struct Row {
    std::size_t machines, owed;
  };
  for (const auto& [machines, owed] : {Row{3, 1}, Row{5, 2}, Row{6, 2}, Row{8, 2}, Row{8, 3}})
    for (std::size_t first = 0; first < machines; ++first)
      for (std::size_t second = first + 1; second < std::max(machines, first + 2); ++second) {
        if (owed == 1 && second > first + 1)
          break;
        World world(2000 + first * 16 + second);
        const auto ips = bootMachines(world, machines);
        loseForGood(world, ips[first]);
        if (owed > 1 && second < machines)
          loseForGood(world, ips[second]);
        if (owed > 2)
          loseForGood(world, ips[(second + 1) % machines == first ? (second + 2) % machines : (second + 1) % machines]);
        world.runFor(3000ms);
        ASSERT_TRUE(serves(world)) << machines << " machines without " << first << " and " << second;
      }
}
// Losses one after the other: once the rest has had time to change the voters, the next one is borne again.
TEST(Membership, LossesOneAfterTheOther) {
  struct Row {
    std::size_t machines, losses;
  };
  // From three machines one may go; from more, all but two, as long as each gives the rest time.
  for (const auto& [machines, losses] : {Row{3, 1}, Row{5, 3}, Row{6, 4}, Row{8, 6}})
    for (std::uint64_t seed = 0; seed < 6; ++seed) {
      World world(2500 + seed);
      auto ips = bootMachines(world, machines);
      for (std::size_t lost = 0; lost < losses; ++lost) {
        const auto victim = world.draw(ips.size());
        loseForGood(world, ips[victim]);
        ips.erase(ips.begin() + static_cast<std::ptrdiff_t>(victim));
        world.runFor(kSettled);
        ASSERT_TRUE(serves(world)) << machines << " machines, after " << lost + 1 << " losses";
      }
    }
}
// Found on the users' bench: the newcomer became a fourth voter, the one that had ended stayed in for ever, and one
// more loss left no majority: in 60 of 60 seeds.
TEST(Membership, APlannedReplacementAndThenALoss) {
  for (std::uint64_t seed = 3000; seed < 3060; ++seed) {
    World world(seed);
    bootMachines(world, 3);
    const auto& old = kSeeds[world.draw(3)];
    world.boot("10.9.0.9", kSeeds, false);
    world.runFor(1000ms);
    world.leave(old);
    world.runFor(Duration(4000 + world.draw(16000)));
    ASSERT_FALSE(world.nodes[old].up) << "seed " << seed;
    world.nodes.erase(old);
    const auto left = machinesOf(world);
    world.kill(left[world.draw(left.size())]);
    world.runFor(3000ms);
    ASSERT_TRUE(serves(world));
  }
}
TEST(Membership, ReplacementsOneAfterTheOtherAndThenAWipeOrACut) {
  for (const std::size_t machines : {3U, 5U, 6U, 8U})
    for (std::uint64_t seed = 0; seed < 12; ++seed) {
      World world(4000 + seed);
      auto ips = bootMachines(world, machines);
      for (int round = 0; round < 3; ++round) {
        const auto which = world.draw(ips.size());
        const auto newcomer = "10.9.0." + std::to_string(10 + round);
        replacePlanned(world, ips[which], newcomer);
        ips[which] = newcomer;
        ASSERT_TRUE(serves(world)) << machines << " machines, round " << round;
      }
      const auto victim = ips[world.draw(ips.size())];
      if (seed % 2) {
        world.cutOff(victim);
      } else {
        world.kill(victim);
        world.nodes[victim].disk.clear();
        world.at(900ms, [&world, victim] { world.boot(victim, kSeeds, false); });
      }
      world.runFor(4000ms);
      ASSERT_TRUE(serves(world)) << machines << " machines, at the end";
      EXPECT_EQ(votersAt(world) % 2, 1U);
    }
}
// A kill at any moment of leaving is as safe as the leave.
TEST(Membership, AKillInTheMiddleOfLeaving) {
  for (std::uint64_t seed = 5000; seed < 5060; ++seed) {
    World world(seed);
    bootMachines(world, 3);
    for (int i = 0; i < 4; ++i) {
      world.write(kSeeds[world.draw(3)]);
      world.runFor(60ms);
    }
    const auto& old = kSeeds[world.draw(3)];
    world.boot("10.9.0.9", kSeeds, false);
    world.runFor(Duration(world.draw(1200)));
    world.leave(old);
    world.runFor(Duration(world.draw(120)));
    loseForGood(world, old);
    world.runFor(kDiskBackAfter);
    ASSERT_TRUE(serves(world));
    const auto left = machinesOf(world);
    world.kill(left[world.draw(left.size())]);
    world.runFor(3000ms);
    ASSERT_TRUE(serves(world));
  }
}
// A rolling restart: each member ends in order and comes back with its disk, and is a voter or stands by again.
TEST(Membership, ARollingRestartLosesNothing) {
  for (const std::size_t machines : {3U, 4U, 6U}) {
    World world(6000 + machines);
    const auto ips = bootMachines(world, machines);
    for (const auto& ip : ips) {
      const auto begun = world.now;
      world.leave(ip);
      while (world.nodes[ip].up && world.now - begun < 7s)
        world.runFor(50ms);
      EXPECT_LT(world.now - begun, 2s) << "a member that restarts is let go soon";
      world.runFor(300ms);
      world.boot(ip, kSeeds, false);
      world.runFor(3000ms);
      ASSERT_TRUE(serves(world));
    }
    EXPECT_EQ(votersAt(world), machines % 2 ? machines : machines - 1);
  }
}
// A member that holds the only second copy does not end before another one has it.
TEST(Membership, WhoLeavesWaitsUntilAMajorityWithoutItHoldsWhatIsCommitted) {
  for (std::uint64_t seed = 7000; seed < 7030; ++seed) {
    World world(seed);
    bootMachines(world, 3);
    const auto leader = world.leader();
    const auto others = seedsBut(leader);
    world.nodes[others[0]].syncTime = Duration(1500);  // the slow one lags
    world.write(leader);
    world.runFor(100ms);
    world.leave(others[1]);
    while (world.nodes[others[1]].up)
      world.runFor(20ms);
    ASSERT_EQ(world.acked.size(), 1U) << "seed " << seed;
    // The one that left never comes back, and the leader's disk is lost: the write must still be there.
    world.nodes.erase(others[1]);
    world.kill(leader);
    const auto& survivor = world.nodes[others[0]];
    bool found = false;
    for (const auto& bytes : survivor.disk) {
      const auto record = decodeRecord(bytes);
      ASSERT_TRUE(record);
      for (const auto& entry : record->entries)
        found = found || entry.operationId == world.acked.begin()->first;
    }
    EXPECT_TRUE(found) << "seed " << seed;
  }
}
// Of three members two are told to end at the same moment: one is let go at once, the other one stays as long as it
// can.
TEST(Membership, TwoThatLeaveAtOnceAreLetGoOneAfterTheOther) {
  for (std::uint64_t seed = 7500; seed < 7520; ++seed) {
    World world(seed);
    bootMachines(world, 3);
    const auto leader = world.leader();
    const auto others = seedsBut(leader);
    for (const auto& ip : others)
      world.leave(ip);
    world.runFor(3000ms);
    EXPECT_EQ(world.nodes[others[0]].up + world.nodes[others[1]].up, 1) << "seed " << seed;
    ASSERT_TRUE(serves(world));
  }
}
TEST(Membership, AnAnswerToAnEarlierLeaveLetsNobodyGo) {
  const TimePoint now{100s};
  RaftNode node("10.1.0.1#0", RaftOptions{}, 1, now);
  node.bootstrap({"10.1.0.1#0", "10.2.0.1#0", "10.3.0.1#0"}, now);
  node.leave(now);
  node.receive(now, "10.2.0.1#0", LeaveResponse{0, -1});
  EXPECT_FALSE(node.mayExit());
}
// A voter that was removed while it was away, and whose known members are all gone, finds its way back by the seeds.
TEST(Membership, ARemovedVoterWithAnOldConfigurationComesBack) {
  World world(8000);
  auto ips = bootMachines(world, 5);
  const auto away = ips[4];
  world.kill(away);
  world.runFor(kSettled);
  for (int round = 0; round < 4; ++round) {
    const auto newcomer = "10.9.0." + std::to_string(10 + round);
    replacePlanned(world, ips[static_cast<std::size_t>(round)], newcomer);
    ips[static_cast<std::size_t>(round)] = newcomer;
  }
  world.boot(away, {ips[0], ips[1], ips[2]}, false);
  world.runFor(kSettled);
  ASSERT_TRUE(serves(world));
  EXPECT_EQ(world.nodes[away].raft->commitIndex(), world.nodes[world.leader()].raft->commitIndex());
}
// Votes do not depend on the voter's own configuration: it may be the older one.
TEST(Membership, AVoterWithTheOlderConfigurationVotesForANewVoter) {
  const TimePoint now{100s};
  RaftNode node("10.1.0.1#0", RaftOptions{}, 1, now);
  node.bootstrap({"10.1.0.1#0", "10.2.0.1#0", "10.3.0.1#0"}, now);
  bool voted = false;
  const auto settle = [&] {
    for (auto actions = node.takeActions(); !actions.empty(); actions = node.takeActions())
      for (auto& action : actions) {
        if (const auto* record = std::get_if<PersistRecord>(&action))
          node.persisted(now, record->ticket, true);
        if (const auto* sent = std::get_if<SendMessage>(&action))
          voted = voted || std::holds_alternative<VoteResponse>(sent->message);
      }
  };
  settle();
  VoteRequest request;
  request.term = 3;
  request.lastLogIndex = 9;
  request.lastLogTerm = 2;
  node.receive(now, "10.4.0.1#77", request);
  settle();
  EXPECT_TRUE(voted);
}
TEST(Consensus, ASnapshotThatCannotBeRestoredIsNotInstalled) {
  const TimePoint now{100s};
  RaftOptions options;
  options.snapshotIsValid = [](const std::string& state) { return state == "good"; };
  RaftNode node("10.1.0.1#7", options, 1, now);
  InstallSnapshot snapshot;
  snapshot.term = 1;
  snapshot.lastIncludedIndex = 5;
  snapshot.lastIncludedTerm = 1;
  snapshot.config = "10.2.0.1#0";
  snapshot.state = "bad";
  node.receive(now, "10.2.0.1#0", snapshot);
  EXPECT_EQ(node.commitIndex(), 0);
  EXPECT_EQ(node.snapshotsRefused(), 1);
  EXPECT_TRUE(node.takeActions().empty());
  snapshot.state = "good";
  node.receive(now, "10.2.0.1#0", snapshot);
  EXPECT_EQ(node.commitIndex(), 5);
}
TEST(Consensus, MessagesThatDoNotParseAreRefused) {
  EXPECT_FALSE(decodeMessage(""));
  EXPECT_FALSE(decodeMessage(std::string("\x7f") + "x"));
  const auto whole = encodeMessage(AppendEntries{});
  EXPECT_TRUE(decodeMessage(whole));
  EXPECT_FALSE(decodeMessage(std::string_view(whole).substr(0, whole.size() - 1)));
}
