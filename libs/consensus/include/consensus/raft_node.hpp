/// One member of the replicated log as a pure state machine: events in, actions out, the clock passed in. It touches
/// no socket, no file and no clock. Design, invariants and what differs from published Raft: docs/consensus.md.
///
/// A caller feeds it events (`tick`, `receive`, `submit`, `persisted`, ...) and after each one carries out what
/// `takeActions` returns, in order. All times are the steady clock's.
#pragma once
#include "consensus/disk_record.hpp"
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
/// A learner receives the log without a vote; it becomes a follower once the configuration names it a voter.
enum class Role { learner, follower, candidate, leader };
/// The role as reports and log lines have it.
std::string_view nameOf(Role role);

/// Faults that a test injects to show that its checks would find them. Never set outside of tests.
struct InjectedFaults {
  bool commitWithoutMajority = false;
  bool voteBeforeSync = false;
  bool leaseOutlivesStepDown = false;
  bool skipJointConfig = false;  ///< a change of voters skips the joint configuration
  /// A newcomer only replaces an unreachable voter or is added; an unreachable voter is never removed.
  bool voterSetNeverShrinks = false;
};
/// Timers and limits; equal on all members of a cluster.
struct RaftOptions {
  Duration heartbeatInterval{90};  ///< at the second tick, as ticks go
  Duration lease{400};             ///< as a leader: followers are asked to elect nobody else for so long
  Duration maxLease{500};          ///< that a leader of any version asks for; those before the extension name none
  Duration leaseMargin{67};        ///< the leader stops relying on the promise so much sooner: a sixth
  Duration electionTimeout{430};   ///< longer than the lease
  Duration electionTimeoutSpread{200};
  Duration tickInterval{50};           ///< how often `tick` is called
  Duration syncStallTimeout{700};      ///< a leader with a sync this old hands over if a quorum syncs much faster
  Duration unreachableAfter{2500};     ///< a voter not heard for so long may be replaced or removed
  Duration voteRetryInterval{100};     ///< between two pre-vote requests without a majority
  Duration resendTimeout{400};         ///< entries without an acknowledgement are sent again
  Duration joinInterval{500};          ///< between two join requests
  Duration leaveInterval{100};         ///< between two leave requests
  Duration persistRetryInterval{300};  ///< a record that the disk refused is handed to it again
  std::size_t largeBodyBytes = 16384;  ///< larger bodies are sent ahead by the node that accepted the write
  std::size_t maxVoters = 9;           ///< further machines stay learners: each write would wait for more syncs
  /// Whether the applied state could be restored from a snapshot's text; a snapshot that fails it is not installed.
  std::function<bool(const std::string&)> snapshotIsValid;
  InjectedFaults faults;
};

/// Send a message. Losing it is allowed.
struct SendMessage {
  MemberId to;  ///< or an address alone, for a join request
  ConsensusMessage message;
};
/// Write the record to the disk, after all earlier ones, then call `persisted` with the ticket.
struct PersistRecord {
  std::int64_t ticket = 0;
  DiskRecord record;
};
/// Apply a committed entry. Entries come in the order of their indexes, each once in a process, after the snapshot
/// below them.
struct ApplyEntry {
  transport::LogEntry entry;
};
/// Replace the applied state by a snapshot's.
struct RestoreSnapshot {
  std::int64_t index = 0, term = 0;  ///< the last entry that the state covers
  std::string state;
};
/// What a caller has to do after an event.
using RaftAction = std::variant<SendMessage, PersistRecord, ApplyEntry, RestoreSnapshot>;

struct RaftCore;

/// A value: a copy behaves like the original from then on.
class RaftNode {
 public:
  /// @param self this disk's identity.
  /// @param seed of the election jitter.
  RaftNode(MemberId self, RaftOptions options, std::uint64_t seed, TimePoint now);
  ~RaftNode();
  RaftNode(const RaftNode& other);
  RaftNode& operator=(const RaftNode& other);

  // A node starts with exactly one of `bootstrap` and `recover`, or with neither on an empty disk: as a learner.

  /// The first start of the whole cluster: the founders are its voters.
  void bootstrap(const std::vector<MemberId>& founders, TimePoint now);
  /// A restart.
  /// @param records what the disk held, from a full record on, in the order in which it was written.
  void recover(const std::vector<DiskRecord>& records, TimePoint now);
  /// Sets the addresses to send join requests to, besides those of the known voters.
  void setSeedAddresses(std::vector<std::string> addresses);

  /// Timers; to be called every `RaftOptions::tickInterval`.
  void tick(TimePoint now);
  void receive(TimePoint now, const MemberId& from, ConsensusMessage message);
  /// Appends a write.
  /// @return false if this member is not the leader or does not have the write's large body.
  bool submit(TimePoint now, transport::LogEntry entry);
  /// The disk has synced a record, or has refused it; a refused record will be handed over again.
  void persisted(TimePoint now, std::int64_t ticket, bool synced);
  /// Log compaction: replaces the log up to `index`, which must be applied, by the state at that index.
  void compact(std::int64_t index, std::string state, TimePoint now);
  /// Gives the leadership away, if there is a member to take it.
  void transferLeadership(TimePoint now);
  /// Starts to leave: hands the leadership over and asks the leader until `mayExit`.
  void leave(TimePoint now);
  /// Removes and returns the actions that are due, to be carried out in this order.
  std::vector<RaftAction> takeActions();

  Role role() const;
  std::int64_t term() const;
  /// The leader of the current term; empty: unknown.
  MemberId leader() const;
  std::int64_t commitIndex() const;
  /// The oldest entry still in the log.
  std::int64_t firstIndex() const;
  /// Whether this member is the leader, holds a valid lease and has committed an entry of its own term.
  bool hasLease(TimePoint now) const;
  /// Whether a majority has been in touch within the lease: the leader by its own lease, others by their leader's.
  bool inContactWithMajority(TimePoint now) const;
  /// Whether the others can do without this member, after `leave`.
  bool mayExit() const;
  /// The newest configuration in the log, committed or not.
  const ClusterConfig& config() const;
  /// All voters of `config()`.
  std::vector<MemberId> voters() const;
  /// @return null if the entry is not in the log.
  const transport::LogEntry* entryAt(std::int64_t index) const;
  /// Whether the disk has refused a record or has not answered for `RaftOptions::syncStallTimeout`.
  bool diskStalled() const;
  /// How long the newest sync took, to one or two ticks; 0: less than that, or none yet.
  Duration lastSyncTime() const;
  const MemberId& self() const;
  /// How many snapshots could not be installed, see `RaftOptions::snapshotIsValid`.
  std::int64_t rejectedSnapshotCount() const;
  /// All that decides the further behaviour of this member, with times relative to `now`: equal texts behave alike. For
  /// tests.
  std::string fingerprint(TimePoint now) const;

 private:
  std::unique_ptr<RaftCore> core_;
};
}  // namespace zinccleat::consensus
