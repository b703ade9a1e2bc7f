// Runs the model checker on the consensus code, and on code with injected faults, which the model checker must find.
// Run a longer search with: tools/model_check.sh [STATES].
#include "model_checker.hpp"

#include <gtest/gtest.h>

#include <cstdlib>

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::model;
namespace {
constexpr std::size_t kStatesInCi = 24000;
constexpr std::size_t kWalksInCi = 120;
constexpr std::size_t kStatesPerWalk = 200;
constexpr std::size_t kStatesToFind = 400000;
constexpr Duration kElectionTime{1500};

std::size_t statesToVisit() {
  const char* text = std::getenv("ZINCCLEAT_MODEL_STATES");
  return text ? static_cast<std::size_t>(std::strtoull(text, nullptr, 10)) : kStatesInCi;
}
std::size_t walksToRun() {
  return statesToVisit() * kWalksInCi / kStatesInCi;
}
// The founders, one time step before their first election.
World beforeElection(const InjectedFaults& faults = {}) {
  auto options = modelOptions();
  options.faults = faults;
  World world(options);
  world.runFairly(options.electionTimeout);
  return world;
}
// Machine a is the leader, and an entry is committed on all machines.
World worldWithLeader(const InjectedFaults& faults = {}) {
  auto options = modelOptions();
  options.faults = faults;
  World world(options);
  world.budgets.maxInFlight = 1000;
  world.runFairly(kElectionTime);
  checkInvariant(world.leaderWithLease() < kMachines, "the fair run elects a leader");
  return world;
}
// A world with a leader, in which the spare is running and receives the log.
World worldWithLeaderAndSpare(const InjectedFaults& faults = {}) {
  auto world = worldWithLeader(faults);
  world.budgets.spares = 1;
  world.apply({ActionKind::startSpare, kFounders});
  world.runFairly(kElectionTime);
  return world;
}
void print(const char* what, const SearchResult& result) {
  std::printf("%s: %s\n", what, result.summary().c_str());
  if (result.violation.empty())
    return;
  std::printf("  broken: %s\n", result.violation.c_str());
  for (const auto& action : result.trace)
    std::printf("    %s\n", action.c_str());
}
void expectNoViolation(const char* what, const SearchResult& result) {
  print(what, result);
  EXPECT_EQ(result.violation, "") << what;
}
void expectViolation(const char* what, const SearchResult& result, const std::string& violation) {
  print(what, result);
  EXPECT_EQ(result.violation, violation) << what;
}
Budgets allFaults() {
  Budgets budgets;
  budgets.crashes = 2;
  budgets.wipes = 1;
  budgets.leaves = 1;
  budgets.cuts = 1;
  budgets.freezes = 1;
  budgets.duplicates = 1;
  budgets.losses = 2;
  budgets.compactions = 2;
  budgets.writes = 2;
  budgets.spares = 1;
  budgets.timeSteps = 40;
  budgets.maxTerms = 6;
  budgets.maxInFlight = 16;
  return budgets;
}
}  // namespace

TEST(ModelChecker, FirstElection) {
  auto world = beforeElection();
  world.budgets.crashes = 1;
  world.budgets.timeSteps = 6;
  world.budgets.maxTerms = 2;
  world.budgets.maxInFlight = 6;
  expectNoViolation("first election", search(world, {statesToVisit(), 500}));
}
TEST(ModelChecker, CrashesUnderALeader) {
  auto world = worldWithLeader();
  world.budgets = Budgets{};
  world.budgets.crashes = 2;
  world.budgets.writes = 1;
  world.budgets.timeSteps = 6;
  world.budgets.maxInFlight = 6;
  expectNoViolation("crashes under a leader", search(world, {statesToVisit(), 500}));
}
// The state space is small enough to visit every order of all actions.
TEST(ModelChecker, ExhaustsAWrite) {
  auto world = worldWithLeader();
  world.budgets = Budgets{};
  world.budgets.writes = 1;
  world.budgets.maxInFlight = 3;
  const auto result = search(world, {kStatesToFind / 4, 500});
  expectNoViolation("a write", result);
  EXPECT_TRUE(result.exhausted);
}
TEST(ModelChecker, PlannedLeaveAndSpare) {
  auto world = worldWithLeader();
  world.budgets = Budgets{};
  world.budgets.leaves = 1;
  world.budgets.spares = 1;
  world.budgets.crashes = 1;
  world.budgets.timeSteps = 8;
  world.budgets.maxInFlight = 6;
  expectNoViolation("planned leave and spare", search(world, {statesToVisit(), 200}));
}
TEST(ModelChecker, WalksThroughAllFaults) {
  auto world = worldWithLeader();
  world.budgets = allFaults();
  expectNoViolation("walks through all faults", walk(world, {walksToRun(), kStatesPerWalk, 1}));
}
TEST(ModelChecker, WalksWithTheSpareRunning) {
  auto world = worldWithLeaderAndSpare();
  world.budgets = allFaults();
  expectNoViolation("walks with the spare running", walk(world, {walksToRun(), kStatesPerWalk, 1000000}));
}
TEST(ModelChecker, WalksThroughAChangeOfVoters) {
  auto world = worldWithLeaderAndSpare();
  world.budgets = allFaults();
  world = worldAfter(world, {"leave b", "deliver b#0 -> a LeaveRequest", "sync a"});
  expectNoViolation("walks through a change of voters", walk(world, {walksToRun(), kStatesPerWalk, 2000000}));
}
// A regression that the random walks found. A disk is lost, and directly afterwards another member asks to leave. The
// leader must not allow that member to exit before the machine with the lost disk has caught up.
TEST(ModelChecker, AMemberStaysWhileALostDiskIsNotReplaced) {
  auto world = worldWithLeader();
  world.budgets = allFaults();
  EXPECT_EQ(replayTrace(world, {"lose the disk of c", "leave b", "deliver b#0 -> a LeaveRequest",
                                "deliver a#0 -> b LeaveResponse"}),
            "");
}
// A regression that the random walks found. One of the two remaining voters has the newer term, the other one the
// longer log. The voter with the newer term must not be elected, and the voter with the longer log must learn of the
// newer term in order to be elected.
TEST(ModelChecker, ALongerLogWithAnOlderTermStillWins) {
  auto world = worldWithLeader();
  world.budgets = allFaults();
  EXPECT_EQ(
      replayTrace(world, {"lose the disk of c", "write", "lose a#0 -> b AppendEntries term 1, 1 after 1, committed 1",
                          "sync a", "leave a", "crash a", "deliver a#0 -> b TransferLeadership", "sync b",
                          "deliver b#0 -> a VoteRequest term 2"}),
      "");
}
TEST(ModelChecker, FindsACommitWithoutMajority) {
  InjectedFaults faults;
  faults.commitWithoutMajority = true;
  auto world = beforeElection(faults);
  world.budgets.timeSteps = 6;
  expectViolation("commit without majority", search(world, {kStatesToFind, 0}), "committed without a quorum's disks");
}
TEST(ModelChecker, FindsSeparateMajorities) {
  InjectedFaults faults;
  faults.skipJointConfig = true;
  auto world = worldWithLeaderAndSpare(faults);
  world.budgets = allFaults();
  expectViolation("separate majorities", search(world, {kStatesToFind, 0}),
                  "two configurations without overlapping majorities");
}
// Issue 14, point A: a new member is added to the voters, but the member that left is never removed from the
// configuration.
TEST(ModelChecker, FindsTheDeadMemberThatIsNeverRemoved) {
  InjectedFaults faults;
  faults.voterSetNeverShrinks = true;
  auto world = worldWithLeaderAndSpare(faults);
  world.budgets = Budgets{};
  world.budgets.leaves = 1;
  world.budgets.maxInFlight = 16;
  const auto result = search(world, {kStatesToFind, 1});
  print("a dead member that is never removed", result);
  EXPECT_EQ(result.violation.rfind("the loss of ", 0), 0U) << result.violation;
}
TEST(ModelChecker, FindsALeaseThatOutlivesTheLeadership) {
  InjectedFaults faults;
  faults.leaseOutlivesStepDown = true;
  auto world = worldWithLeader(faults);
  world.budgets = Budgets{};
  world.budgets.leaves = 1;
  world.budgets.maxInFlight = 6;
  expectViolation("a lease that outlives the leadership", search(world, {kStatesToFind, 0}),
                  "a lease holder lacks committed entries");
}
// The search starts when a vote was sent before its record was synced. The voter is then killed, which loses the vote,
// and the candidate stays paused.
TEST(ModelChecker, FindsAVoteSentBeforeItsSync) {
  InjectedFaults faults;
  faults.voteBeforeSync = true;
  auto world = beforeElection(faults);
  world.budgets.freezes = 1;
  world.budgets.crashes = 1;
  world = worldAfter(world, {"tick a", "deliver a#0 -> c VoteRequest term 1 (pre-vote)",
                             "deliver c#0 -> a VoteResponse term 1 (pre-vote)", "sync a",
                             "deliver a#0 -> c VoteRequest term 1", "freeze a", "crash c"});
  world.inFlight.clear();
  world.budgets = Budgets{};
  world.budgets.timeSteps = 5;
  world.budgets.maxInFlight = 5;
  world.budgets.maxTerms = 1;
  expectViolation("a vote sent before its sync", search(world, {kStatesToFind, 0}),
                  "two votes of one member in a term");
}
