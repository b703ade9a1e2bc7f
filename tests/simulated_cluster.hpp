/// A deterministic simulation of a cluster of `RaftNode`s. The network loses and delays messages and can be
/// partitioned; disks can be slow, full or wiped; processes can pause, lose power and restart. Time is simulated, so
/// tests never sleep, and a seed always produces the same run.
#pragma once
#include <queue>
#include <random>
#include <set>

#include "consensus/raft_node.hpp"
#include "state_machine/replicated_state.hpp"
#include "storage/storage.hpp"

namespace zinccleat::sim {
using namespace zinccleat::consensus;
using namespace zinccleat::state_machine;
using namespace zinccleat::storage;
using namespace zinccleat::transport;

constexpr Duration kDefaultSyncTime{4};
constexpr int kDefaultMaxDelayMs = 3;

class SimulatedCluster {
 public:
  struct PendingRecord {
    std::int64_t ticket = 0;
    DiskRecord record;
  };
  struct Node {
    std::string ip, id;
    std::unique_ptr<RaftNode> raft;
    ReplicatedState replica;
    std::vector<std::string> disk;  ///< the synced records, encoded
    int incarnation = 0;            ///< incremented at each start and each end of the process
    bool up = false, paused = false, diskFull = false;
    Duration syncTime = kDefaultSyncTime;
    std::deque<PendingRecord> pendingRecords;  ///< records that are not synced yet
    std::int64_t lastApplied = 0;
  };
  using Link = std::pair<std::string, std::string>;  ///< sender and receiver, by IP

  // The state of the simulation. Tests read and modify it at any time.
  std::mt19937_64 random;
  std::uint64_t seed;
  TimePoint now{std::chrono::seconds(1000)};
  std::map<std::string, Node> nodes;  ///< by IP
  std::set<Link> cutLinks;
  double lossRate = 0.0;
  int maxDelayMs = kDefaultMaxDelayMs;
  RaftOptions options;
  std::size_t toleratedLosses = 1;  ///< the number of machines that may lose their disks at the same time

  // The history of the run, and the violations of invariants.
  std::map<std::int64_t, std::string> committed;                     ///< content of each committed entry by index
  std::map<std::int64_t, std::set<std::string>> leaseHoldersByTerm;  ///< members that had a lease, by term
  std::map<std::string, std::int64_t> acknowledged;                  ///< operation id -> index when acknowledged
  std::vector<std::string> violations;
  int operationCount = 0;
  int faultsDrawnWhileHealthy = 0;  ///< how often the cluster was healthy when the next fault was drawn

  explicit SimulatedCluster(std::uint64_t clusterSeed) : random(clusterSeed), seed(clusterSeed) {}
  virtual ~SimulatedCluster() = default;

  // --- time and random numbers ---

  /// A random number below `bound`.
  std::uint64_t draw(std::uint64_t bound) { return random() % bound; }
  /// Runs `task` after a delay.
  void schedule(Duration delay, std::function<void()> task) {
    events_.push({now + delay, ++eventCount_, std::move(task)});
  }
  void runFor(Duration duration) {
    const auto end = now + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const auto event = events_.top();
      events_.pop();
      now = std::max(now, event.at);
      event.task();
      if (violations.size() > kMaxViolations)
        return;
    }
    now = end;
  }

  // --- processes ---

  /// Starts the process at an address with the disk of that machine.
  /// @param firstStart whether the cluster is started for the first time, with the seeds as founders.
  void start(const std::string& ip, const std::vector<std::string>& seeds, bool firstStart) {
    auto& node = nodes[ip];
    node.ip = ip;
    node.up = true;
    node.paused = false;
    ++node.incarnation;
    node.replica = ReplicatedState{};
    node.lastApplied = 0;
    onProcessStart(node);
    node.pendingRecords.clear();
    const auto records = recordsOn(node.disk);
    const bool founder = firstStart && std::find(seeds.begin(), seeds.end(), ip) != seeds.end();
    node.id = !records.empty() ? records.front().self : founder ? founderAt(ip) : newIdentityAt(ip);
    node.raft = std::make_unique<RaftNode>(node.id, options, random(), now);
    node.raft->setSeedAddresses(seeds);
    if (!records.empty())
      node.raft->recover(records, now);
    else if (founder)
      node.raft->bootstrap(foundersAt(seeds), now);
    carryOutActions(node);
    scheduleTick(ip, node.incarnation);
  }
  /// Simulates a power loss: the process ends, and records that are not synced are lost.
  void crash(const std::string& ip) {
    auto& node = nodes[ip];
    node.up = false;
    ++node.incarnation;
    node.raft.reset();
  }
  /// Starts a graceful shutdown: the member asks to leave, and its process ends when the leader allows it or after
  /// `grace`.
  void leave(const std::string& ip, Duration grace = Duration(6500)) {
    auto& node = nodes[ip];
    if (!node.up)
      return;
    node.raft->leave(now);
    carryOutActions(node);
    exitWhenAllowed(ip, node.incarnation, now + grace);
  }
  /// The IP of the node that is leader with a valid lease; empty: none.
  std::string leader() {
    for (auto& [ip, node] : nodes)
      if (node.up && !node.paused && node.raft->hasLease(now))
        return ip;
    return {};
  }
  /// Cuts the links from a node to all other nodes and, with `bothWays`, the links to the node.
  void isolate(const std::string& ip, bool bothWays = true) {
    for (const auto& [other, node] : nodes) {
      if (other == ip)
        continue;
      cutLinks.insert({ip, other});
      if (bothWays)
        cutLinks.insert({other, ip});
    }
  }
  /// Carries out all pending actions of a node's state machine.
  void carryOutActions(Node& node) {
    for (auto actions = node.raft->takeActions(); !actions.empty(); actions = node.raft->takeActions())
      for (auto& action : actions)
        std::visit([&](auto& alternative) { carryOut(node, alternative); }, action);
    afterActions(node);
  }

  // --- writes ---

  /// Sends a client's write to a node. The node forwards the write to the leader, and acknowledges the write once the
  /// node has applied it.
  void write(const std::string& ip, std::size_t bytes = 10) {
    auto& node = nodes[ip];
    if (!node.up || node.paused)
      return;
    const auto operation = node.id + "/" + std::to_string(++operationCount);
    auto entry = configurationEntry(0, operationCount, std::string(bytes, 'x') + operation, operation);
    entry.operationId = operation + "@" + std::to_string(operationCount);
    attemptWrite(ip, node.incarnation, entry, kWriteAttempts);
  }
  void attemptWrite(const std::string& ip, int incarnation, LogEntry entry, int attemptsLeft) {
    auto& node = nodes[ip];
    if (!node.up || node.incarnation != incarnation || attemptsLeft == 0)
      return;
    if (!node.paused) {
      if (node.replica.outcomeOf(entry.operationId)) {
        acknowledged.emplace(entry.operationId, node.lastApplied);
        return;
      }
      submitToLeader(node, entry);
    }
    schedule(kWriteRetryInterval,
             [this, ip, incarnation, entry, attemptsLeft] { attemptWrite(ip, incarnation, entry, attemptsLeft - 1); });
  }
  static constexpr Duration kWriteRetryInterval{120};

 protected:
  // --- the replicated state machine; derived classes may replace `ReplicatedState` ---

  /// Called when a process starts, which resets the applied state.
  virtual void onProcessStart(Node&) {}
  virtual void applyEntry(Node& node, const LogEntry& entry) { node.replica.apply(entry); }
  virtual bool restoreState(Node& node, const std::string& state) { return node.replica.restore(state).has_value(); }
  virtual std::string snapshotOf(const Node& node) const { return node.replica.snapshot(); }
  /// Called after a node has carried out all actions of its state machine.
  virtual void afterActions(Node&) {}

  void reportViolation(const std::string& what) { violations.push_back(what + " (seed " + std::to_string(seed) + ")"); }
  bool isLost(const std::string& from, const std::string& receiver) {
    return cutLinks.contains({from, receiver}) || std::uniform_real_distribution<>(0, 1)(random) < lossRate;
  }
  Duration drawDelay() { return Duration(1 + draw(static_cast<std::uint64_t>(maxDelayMs))); }
  /// The node at `receiver`; null if the node is down or the link from `from` is cut.
  Node* findReachableNode(const std::string& from, const std::string& receiver) {
    const auto node = nodes.find(receiver);
    if (node == nodes.end() || !node->second.up || cutLinks.contains({from, receiver}))
      return nullptr;
    return &node->second;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> task;
    /// Orders a priority queue with the earliest event on top.
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  static constexpr std::size_t kMaxViolations = 5;
  static constexpr int kWriteAttempts = 12;
  static constexpr Duration kPausedRetry{50};        // delay before the next delivery attempt to a paused process
  static constexpr Duration kExitPoll{50};           // interval of the checks whether a leaving member may exit
  static constexpr std::int64_t kCompactEvery = 16;  // entries

  // --- starting ---

  static std::string founderAt(const std::string& ip) { return ip + "#0"; }
  std::string newIdentityAt(const std::string& ip) { return ip + "#" + std::to_string(draw(1000000) + 1); }
  static std::vector<std::string> foundersAt(const std::vector<std::string>& seeds) {
    std::vector<std::string> founders;
    founders.reserve(seeds.size());
    for (const auto& ip : seeds)
      founders.push_back(founderAt(ip));
    return founders;
  }
  /// The newest full record on a disk and all records after it.
  static std::vector<DiskRecord> recordsOn(const std::vector<std::string>& disk) {
    std::vector<DiskRecord> records;
    for (const auto& bytes : disk) {
      const auto record = decodeRecord(bytes);
      checkInvariant(record.has_value(), "a synced record can be decoded");
      if (record->full)
        records.clear();
      records.push_back(*record);
    }
    return records;
  }
  void scheduleTick(const std::string& ip, int incarnation) {
    schedule(Duration(40 + draw(20)), [this, ip, incarnation] {
      auto& node = nodes[ip];
      if (!node.up || node.incarnation != incarnation)
        return;
      if (!node.paused) {
        node.raft->tick(now);
        carryOutActions(node);
        if (node.raft->hasLease(now))
          checkLease(node);
      }
      scheduleTick(ip, incarnation);
    });
  }
  void checkLease(const Node& node) {
    for (const auto& [ip, other] : nodes)
      if (ip != node.ip && other.up && other.raft->hasLease(now))
        reportViolation("two valid leases at the same time, " + node.ip + " and " + ip);
    auto& holders = leaseHoldersByTerm[node.raft->term()];
    holders.insert(node.id);
    if (holders.size() > 1)
      reportViolation("two leaders in term " + std::to_string(node.raft->term()));
    for (const auto& [operation, index] : acknowledged)
      if (index > node.raft->commitIndex())
        reportViolation("a lease holder lacks an acknowledged write");
  }
  void exitWhenAllowed(const std::string& ip, int incarnation, TimePoint deadline) {
    schedule(kExitPoll, [this, ip, incarnation, deadline] {
      auto& node = nodes[ip];
      if (!node.up || node.incarnation != incarnation)
        return;
      if ((node.raft->mayExit() && !node.paused) || now >= deadline)
        return crash(ip);
      exitWhenAllowed(ip, incarnation, deadline);
    });
  }

  // --- actions ---

  void carryOut(Node& node, const SendMessage& action) { sendBytes(node, action.to, encodeMessage(action.message)); }
  void carryOut(Node& node, const PersistRecord& action) {
    node.pendingRecords.push_back({action.ticket, action.record});
    if (node.pendingRecords.size() == 1)
      startSync(node.ip, node.incarnation);
  }
  void carryOut(Node& node, const ApplyEntry& action) {
    const auto& entry = action.entry;
    if (entry.index != node.lastApplied + 1)
      reportViolation("applied out of order at " + node.ip);
    node.lastApplied = entry.index;
    const auto [known, added] = committed.emplace(entry.index, contentOf(entry));
    if (!added && known->second != contentOf(entry))
      reportViolation("two writes at index " + std::to_string(entry.index));
    applyEntry(node, entry);
    if (entry.index % kCompactEvery == 0)
      node.raft->compact(entry.index, snapshotOf(node), now);
  }
  void carryOut(Node& node, const RestoreSnapshot& action) {
    if (action.index < node.lastApplied)
      reportViolation("the applied index decreased at " + node.ip);
    node.lastApplied = action.index;
    if (!restoreState(node, action.state))
      reportViolation("snapshot unreadable");
  }
  static std::string contentOf(const LogEntry& entry) {
    return std::to_string(entry.term) + "|" + entry.operationId + "|" + entry.body;
  }

  // --- the network ---

  /// Sends a message in encoded form, so that the simulation delivers only what the wire format can represent.
  void sendBytes(const Node& from, const std::string& member, const std::string& bytes) {
    const auto receiver = addressOf(member);
    if (isLost(from.ip, receiver))
      return;
    schedule(drawDelay(),
             [this, receiver, bytes, fromIp = from.ip, sender = from.id] { deliver(fromIp, sender, receiver, bytes); });
  }
  void deliver(const std::string& from, const MemberId& sender, const std::string& receiver, const std::string& bytes) {
    auto* node = findReachableNode(from, receiver);
    if (!node)
      return;
    if (node->paused)
      return schedule(kPausedRetry, [this, from, sender, receiver, bytes] { deliver(from, sender, receiver, bytes); });
    auto message = decodeMessage(bytes);
    checkInvariant(message.has_value(), "an encoded message can be decoded");
    node->raft->receive(now, sender, std::move(*message));
    carryOutActions(*node);
  }
  void submitToLeader(Node& node, const LogEntry& entry) {
    const auto leaderId = node.raft->leader();
    if (leaderId == node.id) {
      node.raft->submit(now, entry);
      carryOutActions(node);
    } else if (!leaderId.empty()) {
      forwardWrite(node, leaderId, entry);
    }
  }
  void forwardWrite(const Node& from, const MemberId& leaderId, const LogEntry& entry) {
    const auto receiver = addressOf(leaderId);
    if (isLost(from.ip, receiver))
      return;
    schedule(drawDelay(), [this, receiver, entry, fromIp = from.ip] { deliverWrite(fromIp, receiver, entry); });
  }
  void deliverWrite(const std::string& from, const std::string& receiver, const LogEntry& entry) {
    auto* node = findReachableNode(from, receiver);
    if (!node)
      return;
    if (node->paused)
      return schedule(kPausedRetry, [this, from, receiver, entry] { deliverWrite(from, receiver, entry); });
    node->raft->submit(now, entry);
    carryOutActions(*node);
  }

  // --- the disks: a disk syncs one record at a time; `syncTime` at the start of a sync is its duration ---

  void startSync(const std::string& ip, int incarnation) {
    schedule(nodes[ip].syncTime, [this, ip, incarnation] { endSync(ip, incarnation); });
  }
  void endSync(const std::string& ip, int incarnation) {
    auto& node = nodes[ip];
    if (node.incarnation != incarnation || !node.up)
      return;  // the power loss happened before the sync, so the record is lost
    if (node.paused)
      return schedule(kPausedRetry, [this, ip, incarnation] { endSync(ip, incarnation); });
    const auto [ticket, record] = node.pendingRecords.front();
    node.pendingRecords.pop_front();
    if (!node.pendingRecords.empty())
      startSync(ip, incarnation);
    const std::int64_t lastSequence = node.disk.empty() ? 0 : decodeRecord(node.disk.back())->seq;
    const bool synced = !node.diskFull && record.seq == lastSequence + 1;
    if (synced)
      node.disk.push_back(encodeRecord(record));
    node.raft->persisted(now, ticket, synced);
    carryOutActions(node);
  }

  std::priority_queue<Event> events_;
  std::uint64_t eventCount_ = 0;
};
}  // namespace zinccleat::sim
