// One member of the replicated log as a pure state machine: events in, actions out, the clock passed in. It touches
// no socket, no file and no clock. Design, invariants and what differs from published Raft: docs/consensus.md.
//
// A caller feeds it events (`tick`, `receive`, `submit`, `persisted`, ...) and after each one carries out what
// `takeActions` returns, in order. All times are the steady clock's.
#pragma once
#include "consensus/disk_record.hpp"
#include "consensus/messages.hpp"
namespace zinccleat::consensus {
enum class Role { learner, follower, candidate, leader };

// Faults that a test plants to show that its checks would find them. Never set outside of tests.
struct InjectedFaults {
  bool commitWithoutMajority = false;
  bool voteBeforeSync = false;
  bool leaseOutlivesStepDown = false;
  bool separateMajorities = false;  // a change of voters skips the joint configuration
  // A newcomer only takes a silent voter's place or is added; a voter that fell silent before is never removed.
  bool newcomerIsAddedOnly = false;
};
struct RaftOptions {
  Duration heartbeatInterval{120};
  Duration lease{500};            // a follower promises its leader to elect nobody else for so long
  Duration leaseMargin{80};       // the leader stops relying on the promise so much sooner
  Duration electionTimeout{550};  // longer than the lease
  Duration electionTimeoutSpread{300};
  Duration tickInterval{50};        // how often `tick` is called
  Duration syncStallTimeout{700};   // a sync this old makes a leader hand over, if another member has synced more
  Duration unreachableAfter{2500};  // a voter not heard for so long may be replaced or removed
  Duration voteRetryInterval{100};  // a pre-vote without a majority is asked again
  Duration resendTimeout{400};      // entries without an acknowledgement are sent again
  Duration joinInterval{500};
  Duration leaveInterval{100};
  Duration persistRetryInterval{300};  // a record that the disk refused is handed to it again
  std::size_t largeBodyBytes = 16384;  // bytes; bodies above this are sent ahead by the node that took the write
  std::size_t maxVoters = 9;           // further machines only follow: each write would wait for more syncs
  // Whether the applied state could be restored from a snapshot's text; a snapshot that fails it is not installed.
  std::function<bool(const std::string&)> snapshotIsValid;
  InjectedFaults faults;
};

struct SendMessage {
  MemberId to;  // or an address alone, for a join request
  ConsensusMessage message;
};
// Write the record to the disk, then call `persisted` with the ticket.
struct PersistRecord {
  std::int64_t ticket = 0;
  DiskRecord record;
};
// The entry is committed; entries come in order, each once in a life, after the snapshot below them.
struct ApplyEntry {
  transport::LogEntry entry;
};
// Replaces the applied state.
struct RestoreSnapshot {
  std::int64_t index = 0, term = 0;
  std::string state;
};
using RaftAction = std::variant<SendMessage, PersistRecord, ApplyEntry, RestoreSnapshot>;

class RaftNode {
 public:
  // `self`: this disk's identity. `seed`: of the election jitter.
  RaftNode(MemberId self, RaftOptions options, std::uint64_t seed, TimePoint now);
  ~RaftNode();
  RaftNode(const RaftNode& other);
  RaftNode& operator=(const RaftNode& other);

  // Start with exactly one of: the founders, on the first start of the whole system; the records that the disk
  // held; or neither, with an empty disk: a learner.
  void bootstrap(const std::vector<MemberId>& founders, TimePoint now);
  void recover(const std::vector<DiskRecord>& records, TimePoint now);
  // Addresses to ask where no configuration is known.
  void setSeedAddresses(std::vector<std::string> addresses);

  void tick(TimePoint now);
  void receive(TimePoint now, const MemberId& from, ConsensusMessage message);
  // Appends a write. False: this member is not the leader, or the write's large body is not here.
  bool submit(TimePoint now, transport::LogEntry entry);
  // The disk has taken a record (`ok`), or refused it: it will be handed over again.
  void persisted(TimePoint now, std::int64_t ticket, bool ok);
  // Replaces the log up to `number` by the applied state at that number.
  void compact(std::int64_t number, std::string state, TimePoint now);
  // Gives the leadership away, where there is a member to take it.
  void transferLeadership(TimePoint now);
  // Begins to leave for good: hands the leadership over and asks the leader until `mayExit`.
  void leave(TimePoint now);
  std::vector<RaftAction> takeActions();

  Role role() const;
  std::int64_t term() const;
  MemberId leader() const;  // empty: unknown
  std::int64_t commitIndex() const;
  std::int64_t firstIndex() const;  // the oldest entry still in the log
  // Whether this member is the leader, holds a valid lease and has committed an entry of its own term.
  bool hasLease(TimePoint now) const;
  // Whether a majority has been in touch within the lease: the leader by its own lease, others by their leader's.
  bool inContactWithMajority(TimePoint now) const;
  // Whether the others can do without this member, after `leave`.
  bool mayExit() const;
  const ClusterConfig& config() const;
  // All voters of the newest configuration.
  std::vector<MemberId> voters() const;
  const transport::LogEntry* entryAt(std::int64_t number) const;  // null: not in the log
  bool diskStalled() const;
  const MemberId& self() const;
  std::int64_t snapshotsRefused() const;
  // All that decides how this member goes on, with times relative to `now`: equal texts behave alike. For tests.
  std::string fingerprint(TimePoint now) const;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};
}  // namespace zinccleat::consensus
