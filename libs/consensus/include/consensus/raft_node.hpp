/// One member of the replicated log as a pure state machine: the caller passes in events and the time, and carries out
/// the actions that come out. The state machine uses no sockets, files or clocks. docs/consensus.md describes the
/// design, the invariants and the differences from published Raft.
///
/// After each event (`tick`, `receive`, `submit`, `persisted`, ...) the caller carries out the actions that
/// `takeActions` returns, in order. All time points are of the steady clock.
#pragma once
#include "consensus/disk_record.hpp"
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
/// A learner receives the log but has no vote. It becomes a follower once the configuration lists it as a voter.
enum class Role { learner, follower, candidate, leader };
/// The name of a role in reports and log lines.
std::string_view nameOf(Role role);

/// Faults that tests inject to verify that their checks detect them. Never set outside tests.
struct InjectedFaults {
  bool commitWithoutMajority = false;
  bool voteBeforeSync = false;
  bool leaseOutlivesStepDown = false;
  bool skipJointConfig = false;  ///< a change of voters goes directly to the new configuration
  /// A new member replaces an unreachable voter or is added to the voters; no voter is removed without a replacement.
  bool voterSetNeverShrinks = false;
};
/// Timers and limits. The values are equal on all members of a cluster.
struct RaftOptions {
  Duration heartbeatInterval{90};  ///< less than two ticks, so a heartbeat is sent at every second tick
  Duration lease{400};             ///< how long the leader asks followers not to help elect another leader
  Duration maxLease{500};         ///< longest lease of a leader of any version; assumed if AppendEntries names no lease
  Duration leaseMargin{67};       ///< the leader's lease ends this much earlier than the promise, a sixth of `lease`
  Duration electionTimeout{430};  ///< longer than the lease
  Duration electionTimeoutSpread{200};
  Duration tickInterval{50};        ///< how often `tick` is called
  Duration syncStallTimeout{700};   ///< a leader with a longer sync transfers its leadership if a quorum is much faster
  Duration unreachableAfter{2500};  ///< a voter that is silent for longer may be replaced or removed
  Duration voteRetryInterval{100};  ///< between two pre-vote requests while a majority is missing
  Duration resendTimeout{400};      ///< unacknowledged entries are sent again after this time
  Duration joinInterval{500};       ///< between two join requests
  Duration leaveInterval{100};      ///< between two leave requests
  Duration persistRetryInterval{300};  ///< delay before a record that the disk failed to write is written again
  std::size_t largeBodyBytes = 16384;  ///< larger bodies are sent ahead by the node that accepted the write
  std::size_t maxVoters = 9;  ///< further machines stay learners, since each write waits for the syncs of a majority
  /// Whether the applied state can be restored from the state text of a snapshot. A snapshot for which this function
  /// returns false is not installed.
  std::function<bool(const std::string&)> snapshotIsValid;
  InjectedFaults faults;
};

/// Send a message. The network may lose the message.
struct SendMessage {
  MemberId to;  ///< for a join request, an address without a nonce
  ConsensusMessage message;
};
/// Write the record to the disk, after all earlier ones, then call `persisted` with the ticket.
struct PersistRecord {
  std::int64_t ticket = 0;
  DiskRecord record;
};
/// Apply a committed entry. Each process applies each entry once, in the order of the indexes, starting after the
/// newest restored snapshot.
struct ApplyEntry {
  transport::LogEntry entry;
};
/// Replace the applied state by the state of a snapshot.
struct RestoreSnapshot {
  std::int64_t index = 0, term = 0;  ///< the last entry that the state covers
  std::string state;
};
/// An action that the caller carries out after an event.
using RaftAction = std::variant<SendMessage, PersistRecord, ApplyEntry, RestoreSnapshot>;

struct RaftCore;

/// Copyable: a copy behaves like the original when it receives the same events.
class RaftNode {
 public:
  /// @param self this disk's identity.
  /// @param seed the random seed of the election jitter.
  RaftNode(MemberId self, RaftOptions options, std::uint64_t seed, TimePoint now);
  ~RaftNode();
  RaftNode(const RaftNode& other);
  RaftNode& operator=(const RaftNode& other);

  // Call `bootstrap` or `recover` at most once, after construction. A node with an empty disk that joins an existing
  // cluster calls neither and starts as a learner.

  /// Starts a new cluster, whose first voters are the founders.
  void bootstrap(const std::vector<MemberId>& founders, TimePoint now);
  /// Restores the state after a restart.
  /// @param records the records on the disk in the order of their sequence numbers, starting with a full record or with
  ///        record 1.
  void recover(const std::vector<DiskRecord>& records, TimePoint now);
  /// Sets the addresses that receive join requests in addition to the known voters.
  void setSeedAddresses(std::vector<std::string> addresses);

  /// Runs the timers. The caller must call it every `RaftOptions::tickInterval`.
  void tick(TimePoint now);
  void receive(TimePoint now, const MemberId& from, ConsensusMessage message);
  /// Appends a write to the log.
  /// @return false if this member is not the leader, or if the entry lacks its large body and the body has not arrived.
  bool submit(TimePoint now, transport::LogEntry entry);
  /// Reports that the disk has synced a record or failed to write it. A failed record is written again later.
  /// @param ticket of the `PersistRecord` action.
  /// @param synced whether the record is durable.
  void persisted(TimePoint now, std::int64_t ticket, bool synced);
  /// Log compaction: replaces the log up to `index`, which must be applied, by the applied state at that index.
  void compact(std::int64_t index, std::string state, TimePoint now);
  /// Transfers the leadership to another member. Does nothing if this member is not the leader or has no successor.
  void transferLeadership(TimePoint now);
  /// Starts a graceful exit: transfers the leadership and sends leave requests to the leader until `mayExit`.
  void leave(TimePoint now);
  /// Removes and returns the pending actions, in the order in which they must be carried out.
  std::vector<RaftAction> takeActions();

  Role role() const;
  std::int64_t term() const;
  /// The leader of the current term; empty if unknown.
  MemberId leader() const;
  std::int64_t commitIndex() const;
  /// The index of the first entry after the snapshot.
  std::int64_t firstIndex() const;
  /// Whether this member is the leader, holds a valid lease and has committed an entry of its own term.
  bool hasLease(TimePoint now) const;
  /// Whether a majority of the voters was in contact within the lease. A leader reports its own lease, any other member
  /// the lease state that its leader sent last.
  bool inContactWithMajority(TimePoint now) const;
  /// Whether this member may exit. Always false before `leave`.
  bool mayExit() const;
  /// The newest configuration in the log, committed or not.
  const ClusterConfig& config() const;
  /// All voters of `config()`.
  std::vector<MemberId> voters() const;
  /// @return null if the entry is not in the log.
  const transport::LogEntry* entryAt(std::int64_t index) const;
  /// Whether the disk failed to write the oldest pending record, or has not completed it within
  /// `RaftOptions::syncStallTimeout`.
  bool diskStalled() const;
  /// The duration of the newest sync, with a resolution of one or two ticks; 0 if shorter or if there was no sync yet.
  Duration lastSyncTime() const;
  const MemberId& self() const;
  /// The number of snapshots that were not installed, because they had no configuration or failed
  /// `RaftOptions::snapshotIsValid`.
  std::int64_t rejectedSnapshotCount() const;
  /// A text of all state that affects the further behaviour of this member, with times relative to `now`. Two members
  /// with equal fingerprints behave alike. For tests.
  std::string fingerprint(TimePoint now) const;

 private:
  std::unique_ptr<RaftCore> core_;
};
}  // namespace zinccleat::consensus
