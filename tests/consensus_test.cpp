/// Tests of the consensus code on simulated clusters: elections, leases, replication and disks, in fixed scenarios and
/// in seeded scenarios with random faults. A failing seeded scenario prints its seed.
#include <gtest/gtest.h>

#include <cstdlib>

#include "simulated_cluster.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::storage;
using namespace zinccleat::transport;
using zinccleat::sim::kDefaultMaxDelayMs;
using zinccleat::sim::kDefaultSyncTime;
using zinccleat::sim::SimulatedCluster;
namespace {
const std::vector<std::string> kSeeds = {"10.1.0.1", "10.2.0.1", "10.3.0.1"};
constexpr std::size_t kSmallWriteBytes = 10, kLargeWriteBytes = 40000;
constexpr int kNeverRestarts = 5000;  // the incarnation that marks a machine as permanently lost

void startFounders(SimulatedCluster& cluster) {
  for (const auto& ip : kSeeds)
    cluster.start(ip, kSeeds, true);
  cluster.runFor(4000ms);
}
// Starts a cluster of `count` machines, whose first three are the founders. Two machines may be lost at the same time.
std::vector<std::string> startMany(SimulatedCluster& cluster, int count) {
  cluster.toleratedLosses = 2;
  std::vector<std::string> machines = kSeeds;
  for (int i = 3; i < count; ++i)
    machines.push_back("10." + std::to_string(i % 3 + 1) + ".0." + std::to_string(2 + i / 3));
  for (const auto& ip : machines)
    cluster.start(ip, kSeeds, true);
  cluster.runFor(6000ms);
  return machines;
}
void writeAtAnyOf(SimulatedCluster& cluster, const std::vector<std::string>& machines, int writes) {
  for (int i = 0; i < writes; ++i) {
    cluster.write(machines[cluster.draw(machines.size())]);
    cluster.runFor(60ms);
  }
}
void restartAllThatAreDown(SimulatedCluster& cluster, const std::vector<std::string>& machines) {
  for (const auto& ip : machines)
    if (!cluster.nodes[ip].up)
      cluster.start(ip, kSeeds, false);
}
void crashAndWipe(SimulatedCluster& cluster, const std::string& ip) {
  cluster.crash(ip);
  cluster.nodes[ip].disk.clear();
}
std::string joinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const auto& line : lines)
    text += line + "\n";
  return text;
}
bool belongsToCluster(const SimulatedCluster::Node& node) {
  return node.incarnation > 0 && node.incarnation < kNeverRestarts;
}
std::vector<std::string> presentMachines(const SimulatedCluster& cluster) {
  std::vector<std::string> machines;
  for (const auto& [ip, node] : cluster.nodes)
    if (belongsToCluster(node))
      machines.push_back(ip);
  return machines;
}
// Three of the present machines, as the seeds that the settings file names when a process starts.
std::vector<std::string> presentSeeds(const SimulatedCluster& cluster) {
  auto machines = presentMachines(cluster);
  machines.resize(std::min<std::size_t>(machines.size(), 3));
  return machines;
}
void restartIfDown(SimulatedCluster& cluster, const std::string& ip) {
  auto& node = cluster.nodes[ip];
  if (!node.up && belongsToCluster(node))
    cluster.start(ip, presentSeeds(cluster), false);
}
void endAllFaults(SimulatedCluster& cluster) {
  cluster.cutLinks.clear();
  cluster.lossRate = 0;
  for (auto& [ip, node] : cluster.nodes) {
    node.paused = false;
    node.diskFull = false;
    node.syncTime = kDefaultSyncTime;
    restartIfDown(cluster, ip);
  }
}
std::string describe(const SimulatedCluster::Node& node) {
  auto text = node.id + " role " + std::to_string(static_cast<int>(node.raft->role()));
  text += " term " + std::to_string(node.raft->term()) + " committed " + std::to_string(node.raft->commitIndex());
  text += " stalled " + std::to_string(node.raft->diskStalled()) + " last record ";
  text += node.disk.empty() ? "none" : std::to_string(decodeRecord(node.disk.back())->seq);
  text += " voters";
  for (const auto& voter : node.raft->voters())
    text += " " + voter;
  return text + "\n";
}
std::string describe(const SimulatedCluster& cluster) {
  std::string text;
  for (const auto& [ip, node] : cluster.nodes)
    if (node.up)
      text += describe(node);
  return text;
}
// Ends all faults and checks that the cluster has a leader, commits a write, and has lost no acknowledged write.
void expectRecoveryAfterFaults(SimulatedCluster& cluster) {
  endAllFaults(cluster);
  cluster.runFor(12000ms);
  const auto leader = cluster.leader();
  ASSERT_FALSE(leader.empty()) << "no leader (seed " << cluster.seed << ")\n" << describe(cluster);
  const auto before = cluster.acknowledged.size();
  cluster.write(leader);
  cluster.runFor(3000ms);
  EXPECT_GT(cluster.acknowledged.size(), before) << "no write commits at the end (seed " << cluster.seed << ")";
  std::string allCommitted;
  for (const auto& [index, content] : cluster.committed)
    allCommitted += content + "\n";
  for (const auto& [operation, index] : cluster.acknowledged)
    EXPECT_NE(allCommitted.find("|" + operation + "|"), std::string::npos)
        << operation << " lost (seed " << cluster.seed << ")";
  EXPECT_GE(cluster.nodes[leader].raft->commitIndex(), cluster.committed.rbegin()->first) << "seed " << cluster.seed;
  EXPECT_TRUE(cluster.violations.empty()) << joinLines(cluster.violations);
}

// --- the faults of a seeded scenario ---

bool isHealthy(const SimulatedCluster::Node& node, const RaftNode& leader) {
  const bool runs = node.up && !node.paused && !node.diskFull && node.syncTime == kDefaultSyncTime;
  return runs && node.raft->commitIndex() + 2 >= leader.commitIndex();
}
// Whether the cluster is healthy: each machine votes, except for one if the number of machines is even; no machine lags
// behind or is cut off.
bool isHealthy(SimulatedCluster& cluster, const std::vector<std::string>& machines) {
  const auto leaderIp = cluster.leader();
  if (leaderIp.empty() || !cluster.cutLinks.empty())
    return false;
  const auto& leader = *cluster.nodes[leaderIp].raft;
  std::size_t voting = 0;
  for (const auto& ip : machines) {
    if (!isHealthy(cluster.nodes[ip], leader))
      return false;
    voting += leader.config().isVoter(cluster.nodes[ip].id);
  }
  const auto wanted = machines.size() % 2 ? machines.size() : machines.size() - 1;
  return !leader.config().joint() && voting == wanted && leader.voters().size() == voting;
}
void crashTemporarily(SimulatedCluster& cluster, const std::string& ip) {
  if (!cluster.nodes[ip].up)
    return;
  cluster.crash(ip);
  cluster.schedule(Duration(300 + cluster.draw(3000)), [&cluster, ip] { restartIfDown(cluster, ip); });
}
// Loses as many disks as the deployment tolerates, of consecutive machines starting with `ip`.
void loseDisks(SimulatedCluster& cluster, const std::vector<std::string>& machines, const std::string& ip) {
  const auto first = static_cast<std::size_t>(std::find(machines.begin(), machines.end(), ip) - machines.begin());
  for (std::size_t i = 0; i < cluster.toleratedLosses; ++i) {
    const auto& lost = machines[(first + i) % machines.size()];
    crashAndWipe(cluster, lost);
    cluster.schedule(Duration(300 + cluster.draw(2000)), [&cluster, lost] { restartIfDown(cluster, lost); });
  }
  cluster.runFor(9000ms);
}
void pauseTemporarily(SimulatedCluster& cluster, const std::string& ip) {
  cluster.nodes[ip].paused = true;
  cluster.schedule(Duration(500 + cluster.draw(4000)), [&cluster, ip] { cluster.nodes[ip].paused = false; });
}
void isolateTemporarily(SimulatedCluster& cluster, const std::string& ip) {
  cluster.isolate(ip, cluster.draw(3) != 0);
  cluster.schedule(Duration(500 + cluster.draw(5000)), [&cluster] { cluster.cutLinks.clear(); });
}
void slowDownDiskTemporarily(SimulatedCluster& cluster, const std::string& ip) {
  cluster.nodes[ip].syncTime = Duration(cluster.draw(2) ? 100 : 2500);
  cluster.schedule(4000ms, [&cluster, ip] { cluster.nodes[ip].syncTime = kDefaultSyncTime; });
}
void slowDownDisksTemporarily(SimulatedCluster& cluster, const std::vector<std::string>& machines) {
  const Duration syncTime(100 + cluster.draw(2000));
  for (const auto& ip : machines)
    cluster.nodes[ip].syncTime = syncTime;
  cluster.schedule(Duration(2000 + cluster.draw(6000)), [&cluster, machines] {
    for (const auto& ip : machines)
      cluster.nodes[ip].syncTime = kDefaultSyncTime;
  });
}
void fillDiskTemporarily(SimulatedCluster& cluster, const std::string& ip) {
  cluster.nodes[ip].diskFull = true;
  cluster.schedule(3000ms, [&cluster, ip] { cluster.nodes[ip].diskFull = false; });
}
void degradeNetworkTemporarily(SimulatedCluster& cluster) {
  cluster.lossRate = 0.15;
  cluster.maxDelayMs = 120;
  cluster.schedule(2500ms, [&cluster] {
    cluster.lossRate = 0;
    cluster.maxDelayMs = kDefaultMaxDelayMs;
  });
}
void transferLeadership(SimulatedCluster& cluster, SimulatedCluster::Node& node) {
  if (!node.up || node.paused)
    return;
  node.raft->transferLeadership(cluster.now);
  cluster.carryOutActions(node);
}
void crashAllTemporarily(SimulatedCluster& cluster, const std::vector<std::string>& machines) {
  for (const auto& ip : machines) {
    if (!cluster.nodes[ip].up)
      continue;
    cluster.crash(ip);
    cluster.schedule(Duration(200 + cluster.draw(900)), [&cluster, ip] { restartIfDown(cluster, ip); });
  }
}
// Restarts one machine, as in a rolling restart.
void restartGracefully(SimulatedCluster& cluster, const std::string& ip) {
  if (!cluster.nodes[ip].up || cluster.nodes[ip].paused)
    return;
  cluster.leave(ip);
  cluster.runFor(Duration(500 + cluster.draw(1500)));
  cluster.schedule(Duration(cluster.draw(800)), [&cluster, ip] { restartIfDown(cluster, ip); });
}
// Planned replacement: a new machine starts, then the old machine shuts down gracefully and does not return.
void replaceMachine(SimulatedCluster& cluster, const std::string& old) {
  const auto newcomer = "10.9.1." + std::to_string(++cluster.operationCount);
  cluster.start(newcomer, presentSeeds(cluster), false);
  cluster.runFor(Duration(200 + cluster.draw(1500)));
  cluster.leave(old);
  cluster.runFor(6800ms);
  if (cluster.nodes[old].up)
    cluster.crash(old);
  cluster.nodes[old].incarnation = kNeverRestarts;
}
enum class FaultKind {
  crash,
  loseDisks,
  pause,
  isolate,
  slowDisk,
  slowDisks,
  fullDisk,
  badNetwork,
  transferLeadership,
  crashAll,
  restartGracefully,
  replaceMachine,
  count
};
void injectFaults(SimulatedCluster& cluster) {
  const auto machines = presentMachines(cluster);
  const auto& ip = machines[cluster.draw(machines.size())];
  const bool healthy = isHealthy(cluster, machines);
  cluster.faultsDrawnWhileHealthy += healthy;
  switch (static_cast<FaultKind>(cluster.draw(static_cast<std::uint64_t>(FaultKind::count)))) {
    case FaultKind::crash:
      return crashTemporarily(cluster, ip);
    case FaultKind::loseDisks:  // only in a healthy cluster: no more losses at a time need be tolerated
      if (healthy)
        loseDisks(cluster, machines, ip);
      return;
    case FaultKind::pause:
      return pauseTemporarily(cluster, ip);
    case FaultKind::isolate:
      return isolateTemporarily(cluster, ip);
    case FaultKind::slowDisk:
      return slowDownDiskTemporarily(cluster, ip);
    case FaultKind::slowDisks:
      return slowDownDisksTemporarily(cluster, machines);
    case FaultKind::fullDisk:
      return fillDiskTemporarily(cluster, ip);
    case FaultKind::badNetwork:
      return degradeNetworkTemporarily(cluster);
    case FaultKind::transferLeadership:
      return transferLeadership(cluster, cluster.nodes[ip]);
    case FaultKind::crashAll:
      return crashAllTemporarily(cluster, machines);
    case FaultKind::restartGracefully:
      return restartGracefully(cluster, ip);
    case FaultKind::replaceMachine:
      if (healthy)
        replaceMachine(cluster, ip);
      return;
    case FaultKind::count:
      return;
  }
}
// Returns how often the cluster was healthy when a fault was drawn. Disks are lost and machines are replaced only then.
int runSeededScenario(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  if (seed % 4 == 1)
    startMany(cluster, 6);
  else if (seed % 4 == 3)
    startMany(cluster, 8);
  else
    startFounders(cluster);
  for (int round = 0; round < 14; ++round) {
    for (int i = 0; i < 3; ++i) {
      const std::size_t bytes = cluster.draw(6) == 0 ? kLargeWriteBytes : kSmallWriteBytes;
      const auto writers = presentSeeds(cluster);
      cluster.write(writers[cluster.draw(writers.size())], bytes);
      cluster.runFor(Duration(50 + cluster.draw(400)));
    }
    injectFaults(cluster);
    cluster.runFor(Duration(200 + cluster.draw(2500)));
  }
  expectRecoveryAfterFaults(cluster);
  return cluster.faultsDrawnWhileHealthy;
}
std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// --- a single node with scripted peers ---

// One of three founders. The disk syncs at once, and the two peers accept every request at once.
class NodeWithAgreeingPeers {
 public:
  TimePoint now{100s};
  RaftNode node{"10.1.0.1#0", RaftOptions{}, 1, now};
  bool transferredLeadership = false;
  bool diskUnresponsive = false;

  NodeWithAgreeingPeers() { node.bootstrap({"10.1.0.1#0", "10.2.0.1#0", "10.3.0.1#0"}, now); }
  void carryOutActions() {
    for (auto actions = node.takeActions(); !actions.empty(); actions = node.takeActions())
      for (const auto& action : actions)
        carryOut(action);
  }
  void tickAfter(Duration wait) {
    now += wait;
    node.tick(now);
    carryOutActions();
  }

 private:
  struct PeerAnswer {
    NodeWithAgreeingPeers& self;
    const MemberId& peer;
    void operator()(const VoteRequest& request) {
      self.node.receive(self.now, peer, VoteResponse{request.term, request.preVote});
    }
    void operator()(const AppendEntries& append) {
      AppendEntriesResponse response;
      response.term = append.term;
      response.heartbeatId = append.heartbeatId;
      response.matchIndex = append.prevLogIndex + static_cast<std::int64_t>(append.entries.size());
      self.node.receive(self.now, peer, response);
    }
    void operator()(const TransferLeadership&) { self.transferredLeadership = true; }
    template <class Other>
    void operator()(const Other&) {}
  };
  void carryOut(const RaftAction& action) {
    if (const auto* record = std::get_if<PersistRecord>(&action); record && !diskUnresponsive)
      node.persisted(now, record->ticket, true);
    if (const auto* sent = std::get_if<SendMessage>(&action))
      std::visit(PeerAnswer{*this, sent->to}, sent->message);
  }
};
LogEntry entryOf(std::int64_t index, std::int64_t term) {
  LogEntry entry;
  entry.index = index;
  entry.term = term;
  entry.operationId = std::to_string(index);
  return entry;
}
}  // namespace

TEST(Consensus, FoundersElectALeaderAndWritesCommit) {
  SimulatedCluster cluster(1);
  startFounders(cluster);
  ASSERT_FALSE(cluster.leader().empty());
  for (const auto& ip : kSeeds)
    cluster.write(ip);
  cluster.runFor(1000ms);
  EXPECT_EQ(cluster.acknowledged.size(), 3U);
  EXPECT_TRUE(cluster.violations.empty()) << joinLines(cluster.violations);
}
TEST(Consensus, AnotherLeaderIsElectedAfterTheLeaderCrashes) {
  SimulatedCluster cluster(2);
  startFounders(cluster);
  const auto first = cluster.leader();
  cluster.crash(first);
  cluster.runFor(3500ms);
  const auto second = cluster.leader();
  EXPECT_FALSE(second.empty());
  EXPECT_NE(first, second);
}
namespace {
std::ptrdiff_t leaseHolders(const SimulatedCluster& cluster) {
  return std::count_if(cluster.nodes.begin(), cluster.nodes.end(),
                       [&](const auto& node) { return node.second.raft->hasLease(cluster.now); });
}
void runIsolatedLeader(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  startFounders(cluster);
  const auto first = cluster.leader();
  ASSERT_FALSE(first.empty());
  cluster.isolate(first);
  for (int i = 0; i < 100; ++i) {
    cluster.runFor(40ms);
    EXPECT_LE(leaseHolders(cluster), 1) << "seed " << seed;
  }
  EXPECT_FALSE(cluster.nodes[first].raft->hasLease(cluster.now));
  EXPECT_FALSE(cluster.leader().empty());
}
}  // namespace
TEST(Consensus, AnIsolatedLeaderLosesItsLeaseBeforeAnotherGetsOne) {
  for (std::uint64_t seed = 10; seed < 30 && !HasFatalFailure(); ++seed)
    runIsolatedLeader(seed);
}
TEST(Consensus, AnEmptyDiskIsANewMemberThatReplacesTheOldOne) {
  SimulatedCluster cluster(3);
  startFounders(cluster);
  for (int i = 0; i < 5; ++i) {
    cluster.write(kSeeds[0]);
    cluster.runFor(100ms);
  }
  const auto wiped = cluster.leader() == kSeeds[2] ? kSeeds[1] : kSeeds[2];
  const auto oldId = cluster.nodes[wiped].id;
  crashAndWipe(cluster, wiped);
  cluster.runFor(1000ms);
  cluster.start(wiped, kSeeds, false);
  EXPECT_EQ(cluster.nodes[wiped].raft->role(), Role::learner);
  cluster.runFor(8000ms);
  const auto leader = cluster.leader();
  ASSERT_FALSE(leader.empty());
  const auto voters = cluster.nodes[leader].raft->voters();
  EXPECT_EQ(voters.size(), 3U);
  EXPECT_EQ(std::count(voters.begin(), voters.end(), oldId), 0);
  EXPECT_EQ(std::count(voters.begin(), voters.end(), cluster.nodes[wiped].id), 1);
  expectRecoveryAfterFaults(cluster);
}
TEST(Consensus, AMachineAtAnotherAddressReplacesALostOne) {
  SimulatedCluster cluster(4);
  startFounders(cluster);
  cluster.write(kSeeds[0]);
  cluster.runFor(300ms);
  cluster.crash(kSeeds[1]);
  cluster.nodes[kSeeds[1]].incarnation = kNeverRestarts;
  cluster.runFor(1500ms);
  cluster.start("10.9.0.9", kSeeds, false);
  cluster.runFor(9000ms);
  const auto leader = cluster.leader();
  ASSERT_FALSE(leader.empty());
  const auto voters = cluster.nodes[leader].raft->voters();
  EXPECT_EQ(std::count(voters.begin(), voters.end(), cluster.nodes["10.9.0.9"].id), 1) << joinLines(voters);
  EXPECT_EQ(voters.size(), 3U);
  expectRecoveryAfterFaults(cluster);
}
// One member loses its disk and is replaced. Later another member loses its disk while all others crash at the same
// time.
TEST(Consensus, AWipedMemberAndACrashOfAllOthersAtOnce) {
  for (std::uint64_t seed = 100; seed < 130; ++seed) {
    SimulatedCluster cluster(seed);
    startFounders(cluster);
    writeAtAnyOf(cluster, kSeeds, 40);
    for (const bool othersCrash : {false, true}) {
      const auto& wiped = kSeeds[cluster.draw(3)];
      crashAndWipe(cluster, wiped);
      if (othersCrash)
        for (const auto& other : kSeeds)
          if (other != wiped)
            cluster.crash(other);
      cluster.runFor(900ms);
      restartAllThatAreDown(cluster, kSeeds);
      cluster.runFor(9000ms);
      writeAtAnyOf(cluster, kSeeds, 12);
    }
    expectRecoveryAfterFaults(cluster);
  }
}
// A delayed snapshot may arrive at a member whose log already extends beyond the snapshot. The member must keep its
// log, since the leader may have counted those entries towards a commit.
TEST(Consensus, ALateSnapshotKeepsSyncedEntries) {
  NodeWithAgreeingPeers self;
  self.carryOutActions();
  const MemberId leader = "10.2.0.1#0";
  AppendEntries append;
  append.term = 1;
  for (int index = 1; index <= 5; ++index)
    append.entries.push_back(entryOf(index, 1));
  self.node.receive(self.now, leader, append);
  self.carryOutActions();

  InstallSnapshot snapshot;
  snapshot.term = 1;
  snapshot.lastIncludedIndex = 3;
  snapshot.lastIncludedTerm = 1;
  snapshot.config = encodeConfig(self.node.config());
  self.node.receive(self.now, leader, snapshot);
  self.carryOutActions();

  ASSERT_NE(self.node.entryAt(5), nullptr) << "an acknowledged entry is missing";
  EXPECT_EQ(self.node.entryAt(5)->operationId, "5");
  EXPECT_EQ(self.node.commitIndex(), 3);
}
namespace {
// Two machines lose their disks. With an even seed, all other machines crash at the same time.
void runTwoDisksLost(int size, std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  const auto machines = startMany(cluster, size);
  writeAtAnyOf(cluster, machines, 10);
  const auto firstWiped = cluster.draw(machines.size());
  const auto secondWiped = (firstWiped + 1 + cluster.draw(machines.size() - 1)) % machines.size();
  for (std::size_t i = 0; i < machines.size(); ++i) {
    if (i == firstWiped || i == secondWiped)
      crashAndWipe(cluster, machines[i]);
    else if (seed % 2 == 0)
      cluster.crash(machines[i]);
  }
  cluster.runFor(900ms);
  restartAllThatAreDown(cluster, machines);
  cluster.runFor(4000ms);
  ASSERT_FALSE(cluster.leader().empty()) << size << " machines, seed " << seed;
  expectRecoveryAfterFaults(cluster);
}
}  // namespace
// Guards against clusters in which only the three founders are voters: six machines must tolerate two lost disks.
TEST(Consensus, TwoOfSixOrEightDisksLostWhileAllOthersCrash) {
  for (const int size : {6, 8})
    for (std::uint64_t seed = 400; seed < 430 && !HasFailure(); ++seed)
      runTwoDisksLost(size, seed);
}
namespace {
// Cuts all links between three random machines and the rest. Returns the three machines.
std::set<std::string> partitionMinority(SimulatedCluster& cluster, const std::vector<std::string>& machines) {
  std::set<std::string> minority;
  while (minority.size() < 3)
    minority.insert(machines[cluster.draw(machines.size())]);
  for (const auto& from : machines)
    for (const auto& receiver : machines)
      if (minority.contains(from) != minority.contains(receiver))
        cluster.cutLinks.insert({from, receiver});
  return minority;
}
}  // namespace
// The majority must be able to continue, regardless of which machines are the founders.
TEST(Consensus, APartitionLeavesALeaderInTheMajority) {
  for (std::uint64_t seed = 500; seed < 540 && !HasFailure(); ++seed) {
    SimulatedCluster cluster(seed);
    const auto machines = startMany(cluster, 8);
    const auto minority = partitionMinority(cluster, machines);
    cluster.runFor(4000ms);
    const auto leader = cluster.leader();
    ASSERT_FALSE(leader.empty()) << "seed " << seed;
    EXPECT_FALSE(minority.contains(leader)) << "seed " << seed;
    expectRecoveryAfterFaults(cluster);
  }
}
namespace {
// Partitions the machines into two halves, while clients reach both halves.
void runEvenPartition(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  const auto machines = startMany(cluster, seed % 2 ? 6 : 5);
  for (std::size_t from = 0; from < machines.size(); ++from)
    for (std::size_t receiver = 0; receiver < machines.size(); ++receiver)
      if (from % 2 != receiver % 2)
        cluster.cutLinks.insert({machines[from], machines[receiver]});
  for (int round = 0; round < 30; ++round) {
    cluster.write(machines[0]);
    cluster.write(machines[1]);
    cluster.runFor(150ms);
  }
  expectRecoveryAfterFaults(cluster);
}
// More machines lose power at the same time than the cluster tolerates, but all disks are kept.
void runOverlappingCrashes(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  const auto machines = startMany(cluster, 5);
  for (const auto& ip : machines) {
    writeAtAnyOf(cluster, machines, 2);
    cluster.crash(ip);
    if (cluster.draw(3) == 0)
      restartIfDown(cluster, machines[cluster.draw(machines.size())]);
    cluster.runFor(Duration(cluster.draw(700)));
  }
  restartAllThatAreDown(cluster, machines);
  cluster.runFor(4000ms);
  EXPECT_FALSE(cluster.leader().empty()) << "seed " << seed;
  expectRecoveryAfterFaults(cluster);
}
}  // namespace
// At most one half may continue, conflicting writes must not both commit, and no acknowledged write may be lost.
TEST(Consensus, TwoHalvesThatCannotReachEachOther) {
  for (std::uint64_t seed = 1000; seed < 1040 && !HasFailure(); ++seed)
    runEvenPartition(seed);
}
TEST(Consensus, LossesThatOverlapBeyondWhatIsToleratedLoseNothing) {
  for (std::uint64_t seed = 1100; seed < 1140 && !HasFailure(); ++seed)
    runOverlappingCrashes(seed);
}
namespace {
// The leader's disk does not complete a write for about a second, in which ticks are regular or few and late.
void runUnresponsiveDisk(bool loopIsLate) {
  NodeWithAgreeingPeers self;
  for (int i = 0; i < 100 && self.node.role() != Role::leader; ++i)
    self.tickAfter(50ms);
  ASSERT_EQ(self.node.role(), Role::leader);
  self.diskUnresponsive = true;
  LogEntry entry;
  entry.operationId = "w";
  ASSERT_TRUE(self.node.submit(self.now, entry));
  self.carryOutActions();

  const int ticks = loopIsLate ? 3 : 20;
  for (int i = 0; i < ticks; ++i)
    self.tickAfter(loopIsLate ? 350ms : 50ms);

  EXPECT_EQ(self.transferredLeadership, !loopIsLate);
}
}  // namespace
// A delayed event loop processes the completions of its disk late. The disk must not count as stalled in that case.
TEST(Consensus, ADelayedEventLoopDoesNotTransferLeadership) {
  runUnresponsiveDisk(true);
  runUnresponsiveDisk(false);
}
TEST(Consensus, NoTransferToAMemberThatHasSyncedNoMore) {
  SimulatedCluster cluster(7);
  startFounders(cluster);
  for (auto& [ip, node] : cluster.nodes)
    node.syncTime = 1500ms;
  const auto leader = cluster.leader();
  const auto term = cluster.nodes[leader].raft->term();
  cluster.write(leader);
  cluster.runFor(5000ms);
  EXPECT_EQ(cluster.leader(), leader);
  EXPECT_EQ(cluster.nodes[leader].raft->term(), term);
}
namespace {
// Returns whether there is a leader 300 ms after the restart of all processes.
bool hasLeaderSoonAfterRestartOfAll(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  const auto machines = seed % 2 ? startMany(cluster, 8) : kSeeds;
  if (seed % 2 == 0)
    startFounders(cluster);
  writeAtAnyOf(cluster, machines, 5);
  for (const auto& ip : machines)
    cluster.crash(ip);
  cluster.runFor(500ms);
  for (const auto& ip : machines)
    cluster.start(ip, kSeeds, false);
  cluster.runFor(300ms);
  const bool leads = !cluster.leader().empty();
  expectRecoveryAfterFaults(cluster);
  return leads;
}
}  // namespace
// The lease of the former leader ended with its process. The former leader states this in its vote requests, so the
// other members grant votes before their lease promise has expired.
TEST(Consensus, ARestartOfAllTakesLessThanALease) {
  int inTime = 0;
  for (std::uint64_t seed = 600; seed < 640 && !HasFailure(); ++seed)
    inTime += hasLeaderSoonAfterRestartOfAll(seed);
  EXPECT_GE(inTime, 36) << "restarts in time, of 40";
}
TEST(Consensus, LeadershipTransferTakesEffectAtOnce) {
  SimulatedCluster cluster(5);
  startFounders(cluster);
  const auto first = cluster.leader();
  transferLeadership(cluster, cluster.nodes[first]);
  cluster.runFor(400ms);
  EXPECT_FALSE(cluster.leader().empty());
  EXPECT_NE(cluster.leader(), first);
}
TEST(Consensus, AStalledDiskTransfersLeadership) {
  SimulatedCluster cluster(6);
  startFounders(cluster);
  const auto first = cluster.leader();
  cluster.nodes[first].syncTime = 20000ms;
  cluster.write(first);
  cluster.runFor(3000ms);
  EXPECT_FALSE(cluster.leader().empty());
  EXPECT_NE(cluster.leader(), first);
}
// Guards against one sync per entry: with hundreds of machines, a burst of 600 joining runners kept the disk busy for
// 2.4 s. The leader considered its own disk stalled and transferred the leadership again and again.
TEST(Consensus, ABurstOfWritesSharesItsSyncs) {
  constexpr int kBurst = 600;
  SimulatedCluster cluster(8);
  startFounders(cluster);
  const auto leader = cluster.leader();
  const auto term = cluster.nodes[leader].raft->term();
  for (int i = 0; i < kBurst; ++i)
    cluster.write(leader);
  cluster.runFor(200ms);  // the time of 50 syncs
  EXPECT_EQ(cluster.acknowledged.size(), std::size_t{kBurst});
  EXPECT_EQ(cluster.nodes[leader].raft->term(), term);
  expectRecoveryAfterFaults(cluster);
}
namespace {
/// The leader is lost while each sync takes `syncTime` on all disks.
void runElectionOnSlowDisks(std::uint64_t seed, Duration syncTime) {
  SimulatedCluster cluster(seed);
  const auto machines = startMany(cluster, 5);
  for (auto& [ip, node] : cluster.nodes)
    node.syncTime = syncTime;
  cluster.crash(cluster.leader());
  cluster.runFor(10 * syncTime + 3000ms);
  EXPECT_FALSE(cluster.leader().empty()) << "seed " << seed << ", sync " << syncTime.count() << " ms";
}
}  // namespace
// Guards against failed elections on slow disks: with syncs of 250 ms and more, the election timeout of each candidate
// expired before its own vote or a voter's vote was synced, so no election ever succeeded.
TEST(Consensus, ALeaderIsElectedWhileEachSyncIsSlow) {
  for (const auto syncTime : {200ms, 250ms, 300ms, 400ms, 500ms, 600ms})
    for (std::uint64_t seed = 900; seed < 920 && !HasFailure(); ++seed)
      runElectionOnSlowDisks(seed, syncTime);
}
namespace {
void runFullDisk(std::uint64_t seed) {
  SimulatedCluster cluster(seed);
  startFounders(cluster);
  const auto leader = cluster.leader();
  const auto full = leader == kSeeds[0] ? kSeeds[1] : kSeeds[0];
  cluster.nodes[full].diskFull = true;
  for (int i = 0; i < 200; ++i) {
    cluster.write(leader);
    cluster.runFor(65ms);
  }
  cluster.nodes[full].diskFull = false;
  cluster.runFor(500ms);
  EXPECT_FALSE(cluster.nodes[full].raft->diskStalled()) << "seed " << seed;
  cluster.crash(leader);
  cluster.runFor(2500ms);
  ASSERT_FALSE(cluster.leader().empty()) << "seed " << seed;
  expectRecoveryAfterFaults(cluster);
}
}  // namespace
// Guards against a slow recovery from a full disk: pending records accumulated while the disk was full and were then
// retried one by one and out of order. The member could neither vote nor lead for up to half a minute after the disk
// had space again.
TEST(Consensus, AMemberWhoseDiskWasFullServesAgainAtOnce) {
  for (std::uint64_t seed = 700; seed < 720 && !HasFailure(); ++seed)
    runFullDisk(seed);
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
  EXPECT_EQ(node.rejectedSnapshotCount(), 1);
  EXPECT_TRUE(node.takeActions().empty());
  snapshot.state = "good";
  node.receive(now, "10.2.0.1#0", snapshot);
  EXPECT_EQ(node.commitIndex(), 5);
}
TEST(Consensus, MessagesThatDoNotParseAreRefused) {
  EXPECT_FALSE(decodeMessage(""));
  EXPECT_FALSE(decodeMessage(std::string("\x7f") + "x"));
  const auto bytes = encodeMessage(AppendEntries{});
  EXPECT_TRUE(decodeMessage(bytes));
  EXPECT_FALSE(decodeMessage(std::string_view(bytes).substr(0, bytes.size() - 1)));
}
// Runs seeded scenarios with random faults. Run more seeds with:
// ZINCCLEAT_WORLDS=5000 ZINCCLEAT_FROM=1000 target/zinccleat_tests --gtest_filter='*Worlds'
TEST(Consensus, SeededWorlds) {
  const auto from = numberFromEnvironment("ZINCCLEAT_FROM", 1000);
  const auto count = numberFromEnvironment("ZINCCLEAT_WORLDS", 300);
  std::uint64_t faultsDrawnWhileHealthy = 0;
  for (auto seed = from; seed < from + count; ++seed) {
    faultsDrawnWhileHealthy += static_cast<std::uint64_t>(runSeededScenario(seed));
    if (HasFailure()) {
      std::printf("replay: ZINCCLEAT_FROM=%llu ZINCCLEAT_WORLDS=1\n", static_cast<unsigned long long>(seed));
      return;
    }
  }
  EXPECT_GE(faultsDrawnWhileHealthy, count * 2) << "too few faults were drawn while the cluster was healthy";
}
