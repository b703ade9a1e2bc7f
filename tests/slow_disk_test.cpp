/// Disks that are slow, on one machine, a minority, a majority or all, for seconds or minutes, and one that stalls for
/// good: a leader is found, writes are acknowledged, and no machine gives the leadership away for nothing. Known fault:
/// with syncs of 700 ms and more on all disks no member stood for election. A timeline and the cause:
/// docs/incidents/slow-disks.md.
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

/// What is done to the disks, and what must hold meanwhile.
struct SlowDisks {
  const char* name;
  std::size_t slowDisks;   ///< of five; the leader's is the first of them
  Duration syncTime;       ///< of a slow disk
  Duration slowFor;        ///< then they are as usual
  bool leaderIsLost;       ///< its process ends as the disks turn slow
  Duration leaderBound;    ///< from the loss of a leader, or the beginning, to a leader with a lease
  Duration writeBound;     ///< of nine in ten writes: two syncs, a retry of the write (120 ms) and a step
  std::int64_t termBound;  ///< terms that may begin
};
const SlowDisks kCases[] = {
    {"one", 1, 1500ms, 10s, false, 100ms, 200ms, 1},
    {"one, stalled for good", 1, 3600s, 120s, false, 100ms, 200ms, 1},
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
/// What was seen while the disks were slow.
struct Observed {
  Duration longestWithoutLeader{0};
  std::vector<Duration> writeTimes;  ///< in the order of their length; those without an end last
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
/// A write at one of the machines, tried again until it is acknowledged.
/// @return its id; empty: the machine is down.
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
/// Plays a case, with a write at some machine every 200 ms.
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
/// The answers to heartbeats among a node's actions; the tickets of its records go to `tickets`.
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
// Found on reading: a record that waits behind one on its way to the disk gathers what comes later, and took the later
// ticket. The promise to a leader, which waits for its term's record under the earlier ticket, then left too soon.
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
  node.receive(now, "10.1.0.1#0", heartbeat);  // the new term waits behind the first record
  AppendEntries append = heartbeat;
  append.entries.resize(1);
  append.entries[0].index = append.entries[0].term = 1;
  node.receive(now, "10.1.0.1#0", append);  // gathered with it
  node.persisted(now, tickets.back(), true);
  EXPECT_EQ(promisesIn(node, tickets), 0U) << "the term is not on the disk";
  ASSERT_EQ(tickets.size(), 2U);
  node.persisted(now, tickets.back(), true);
  EXPECT_GE(promisesIn(node, tickets), 1U);
}
// A full disk refuses every write. Nobody can write then, wherever the leader is: it stays, so that leases are renewed
// and traffic goes on.
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
