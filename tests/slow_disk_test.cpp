/// Tests with slow disks on one machine, a minority, a majority or all machines, for seconds or minutes, and with a
/// disk that stalls permanently. A leader must be elected, writes must be acknowledged, and leadership must not be
/// transferred needlessly. Guards against a fault in which no member started an election while syncs took 700 ms or
/// more on all disks; docs/incidents/slow-disks.md describes the timeline and the cause.
#include <gtest/gtest.h>

#include <ostream>

#include "simulated_cluster.hpp"

namespace {
using namespace zinccleat;
using namespace std::chrono_literals;
using consensus::AppendEntries;
using consensus::AppendEntriesResponse;
using consensus::PersistRecord;
using consensus::RaftNode;
using consensus::RaftOptions;
using consensus::SendMessage;
using sim::SimulatedCluster;

const std::vector<std::string> kMachines = {"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.1.0.2", "10.2.0.2"};

/// A test case: which disks are slow, and the limits that must be met meanwhile.
struct SlowDisks {
  const char* name;
  std::size_t slowDisks;   ///< the number of slow disks out of five; the leader's disk is one of them
  Duration syncTime;       ///< the duration of a sync on a slow disk
  Duration slowFor;        ///< how long the disks are slow and observed
  bool leaderIsLost;       ///< the leader's process ends when the disks become slow
  Duration leaderBound;    ///< the longest time without a leader that has a lease
  Duration writeBound;     ///< the longest time of nine in ten writes: two syncs, a write retry (120 ms) and a step
  std::int64_t termBound;  ///< the largest number of new terms
};
const SlowDisks kCases[] = {
    {"one", 1, 1500ms, 10s, false, 100ms, 200ms, 1},
    {"one, stalled permanently", 1, 3600s, 120s, false, 100ms, 200ms, 1},
    {"a minority", 2, 1500ms, 10s, false, 100ms, 200ms, 1},
    {"a minority, the leader is lost", 2, 1500ms, 10s, true, 1600ms, 1600ms, 2},
    {"a majority", 3, 1500ms, 10s, false, 0ms, 3150ms, 0},
    {"a majority, the leader is lost", 3, 1500ms, 60s, true, 4200ms, 3150ms, 2},
    {"all, just slower than a stall", 5, 700ms, 60s, true, 2500ms, 1500ms, 2},
    {"all", 5, 1500ms, 10s, false, 0ms, 3150ms, 0},
    {"all, for minutes", 5, 1500ms, 300s, false, 0ms, 3150ms, 0},
    {"all, the leader is lost", 5, 1500ms, 60s, true, 4200ms, 3150ms, 2},
    {"all very slow, the leader is lost", 5, 4s, 120s, true, 9500ms, 8500ms, 2},
};

constexpr Duration kUnacknowledged{1h};
/// The measurements while the disks were slow.
struct Observed {
  Duration longestWithoutLeader{0};
  std::vector<Duration> writeTimes;  ///< in ascending order; unacknowledged writes are last
  std::int64_t newTerms = 0;
  Duration ninetiethPercentile() const {
    return writeTimes.empty() ? kUnacknowledged : writeTimes[writeTimes.size() * 9 / 10];
  }
};
std::int64_t highestTerm(const SimulatedCluster& cluster) {
  std::int64_t term = 0;
  for (const auto& [ip, node] : cluster.nodes)
    if (node.up)
      term = std::max(term, node.raft->term());
  return term;
}
void slowDown(SimulatedCluster& cluster, const SlowDisks& disks) {
  const auto leader = cluster.leader();
  std::size_t slowed = 0;
  for (auto& [ip, node] : cluster.nodes) {
    const bool isSlow = ip == leader || slowed + 1 < disks.slowDisks;
    if (!isSlow)
      continue;
    slowed += ip != leader;
    node.syncTime = disks.syncTime;
  }
  if (disks.leaderIsLost)
    cluster.crash(leader);
}
/// Starts a write at one of the machines, which is retried until the write is acknowledged.
/// @return the operation id of the write; empty: the machine is down.
std::string writeAt(SimulatedCluster& cluster, std::size_t number) {
  constexpr int kAttempts = 1000;
  auto& node = cluster.nodes[kMachines[number % kMachines.size()]];
  if (!node.up)
    return {};
  auto id = node.id + "/" + std::to_string(++cluster.operationCount);
  auto entry = state_machine::configurationEntry(0, cluster.operationCount, id, id);
  entry.operationId = id;
  cluster.attemptWrite(node.ip, node.incarnation, entry, kAttempts);
  return id;
}
/// Runs a case with a write at one of the machines every 200 ms.
Observed runCase(const SlowDisks& disks, std::uint64_t seed) {
  constexpr Duration kStep{20};
  constexpr int kStepsPerWrite = 10;
  SimulatedCluster cluster(seed);
  cluster.toleratedLosses = 2;
  for (const auto& ip : kMachines)
    cluster.start(ip, {kMachines.begin(), kMachines.begin() + 3}, true);
  cluster.runFor(6000ms);
  while (cluster.leader().empty())
    cluster.runFor(kStep);
  const auto firstTerm = highestTerm(cluster);
  slowDown(cluster, disks);
  Observed observed;
  std::map<std::string, TimePoint> sent;
  Duration withoutLeader{0};
  const auto steps = disks.slowFor / kStep;
  for (int step = 0; step < steps; ++step) {
    if (step % kStepsPerWrite == 0)
      if (const auto id = writeAt(cluster, static_cast<std::size_t>(step / kStepsPerWrite)); !id.empty())
        sent[id] = cluster.now;
    cluster.runFor(kStep);
    withoutLeader = cluster.leader().empty() ? withoutLeader + kStep : Duration(0);
    observed.longestWithoutLeader = std::max(observed.longestWithoutLeader, withoutLeader);
    for (auto write = sent.begin(); write != sent.end();) {
      const bool done = cluster.acknowledged.contains(write->first);
      if (done)
        observed.writeTimes.push_back(toDuration(cluster.now - write->second));
      write = done ? sent.erase(write) : std::next(write);
    }
  }
  for (const auto& [id, at] : sent)
    if (cluster.now - at > disks.writeBound)
      observed.writeTimes.push_back(kUnacknowledged);
  std::sort(observed.writeTimes.begin(), observed.writeTimes.end());
  observed.newTerms = highestTerm(cluster) - firstTerm;
  for (const auto& violation : cluster.violations)
    ADD_FAILURE() << disks.name << ": " << violation;
  return observed;
}
}  // namespace

TEST(SlowDisks, ALeaderIsFoundAndWritesGoOn) {
  for (const auto& disks : kCases)
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      SCOPED_TRACE(testing::Message() << disks.name << ", seed " << seed);
      const auto observed = runCase(disks, seed);
      EXPECT_LE(observed.longestWithoutLeader, disks.leaderBound);
      EXPECT_LE(observed.newTerms, disks.termBound);
      EXPECT_LE(observed.ninetiethPercentile(), disks.writeBound);
    }
}

namespace {
/// Takes the actions of a node and appends the tickets of its records to `tickets`.
/// @return the number of AppendEntries responses among the actions, which are lease promises.
std::size_t promisesIn(RaftNode& node, std::vector<std::int64_t>& tickets) {
  std::size_t promises = 0;
  for (const auto& action : node.takeActions()) {
    if (const auto* record = std::get_if<PersistRecord>(&action))
      tickets.push_back(record->ticket);
    if (const auto* sent = std::get_if<SendMessage>(&action))
      promises += std::holds_alternative<AppendEntriesResponse>(sent->message);
  }
  return promises;
}
}  // namespace
// Guards against a promise that is sent too early: later records are merged into a record that waits for the write
// before it, and the merged record has the ticket of the newest one. A promise that waits for the record of its term,
// under an older ticket, must not be sent before the merged record is synced.
TEST(SlowDisks, APromiseWaitsForTheRecordThatItsTermWasGatheredInto) {
  const TimePoint now{100s};
  RaftNode node("10.2.0.1#0", RaftOptions{}, 1, now);
  std::vector<std::int64_t> tickets;
  node.bootstrap({"10.1.0.1#0", "10.2.0.1#0", "10.3.0.1#0"}, now);
  ASSERT_EQ(promisesIn(node, tickets), 0U);
  ASSERT_EQ(tickets.size(), 1U);

  AppendEntries heartbeat;
  heartbeat.term = 1;
  heartbeat.heartbeatId = 1;
  node.receive(now, "10.1.0.1#0", heartbeat);  // the record of the new term waits for the first record
  AppendEntries append = heartbeat;
  append.entries.resize(1);
  append.entries[0].index = append.entries[0].term = 1;
  node.receive(now, "10.1.0.1#0", append);  // the record of the entry is merged into the record of the term
  node.persisted(now, tickets.back(), true);
  EXPECT_EQ(promisesIn(node, tickets), 0U) << "the term is not on the disk";
  ASSERT_EQ(tickets.size(), 2U);
  node.persisted(now, tickets.back(), true);
  EXPECT_GE(promisesIn(node, tickets), 1U);
}
// While all disks are full, no member can write, so a leadership transfer would gain nothing. The leader must keep its
// lease, so that leases that depend on it are renewed and traffic continues.
TEST(SlowDisks, WhileAllDisksAreFullTheLeaderKeepsItsLease) {
  SimulatedCluster cluster(4);
  for (const auto& ip : kMachines)
    cluster.start(ip, {kMachines.begin(), kMachines.begin() + 3}, true);
  cluster.runFor(6000ms);
  const auto leader = cluster.leader();
  ASSERT_FALSE(leader.empty());
  for (auto& [ip, node] : cluster.nodes)
    node.diskFull = true;
  const auto id = writeAt(cluster, 0);
  for (int step = 0; step < 200; ++step) {
    cluster.runFor(50ms);
    ASSERT_EQ(cluster.leader(), leader);
  }
  EXPECT_FALSE(cluster.acknowledged.contains(id));
  for (auto& [ip, node] : cluster.nodes)
    node.diskFull = false;
  cluster.runFor(2000ms);
  EXPECT_TRUE(cluster.acknowledged.contains(id));
}
