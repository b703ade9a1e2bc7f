/// The system that the model checker explores: the production consensus code on three founders and a spare machine.
/// Every event of the network, the disks, the processes and the clock is an explicit action. Copying a world is cheap,
/// since copies share machines and messages until they change.
#pragma once
#include <array>
#include <set>

#include "consensus/raft_node.hpp"

namespace zinccleat::model {
using namespace zinccleat::consensus;
using namespace zinccleat::transport;
constexpr std::size_t kFounders = 3;
constexpr std::size_t kMachines = 4;  ///< the last machine is the spare
constexpr Duration kTimeStep{100};    ///< the clock advances in these steps; each running process ticks once per step

/// The largest number of faults of each kind on one path.
struct Budgets {
  int crashes = 0;      ///< a process is killed and loses its unsynced records
  int wipes = 0;        ///< a process is killed and its disk is lost
  int leaves = 0;       ///< a member leaves permanently
  int cuts = 0;         ///< a machine loses all packets in one direction or in both directions
  int freezes = 0;      ///< a process is paused while time advances
  int duplicates = 0;   ///< a message is delivered twice
  int losses = 0;       ///< a single message is lost
  int compactions = 0;  ///< a member replaces its log by a snapshot
  int writes = 0;       ///< a client submits a write to the leader
  int spares = 0;       ///< the spare is started
  int timeSteps = 0;
  std::int64_t maxTerms = 3;
  std::size_t maxInFlight = 8;  ///< messages that are sent while this many are in flight are lost
};

struct Machine {
  std::string address;
  MemberId id;                           ///< the identity of the disk
  int identities = 0;                    ///< the number of disks that this machine has had
  std::shared_ptr<const RaftNode> raft;  ///< null: the process does not run
  std::vector<DiskRecord> disk;          ///< the synced records
  std::uint64_t diskHash = 0;            ///< a hash of the state that a restart would recover from `disk`
  std::deque<PersistRecord> pending;     ///< records that are not synced yet
  bool frozen = false, leaving = false;
  bool exited = false;  ///< the member has left permanently
  std::uint64_t hash(TimePoint now) const;

 private:
  mutable TimePoint hashedAt_{};
  mutable std::uint64_t hash_ = 0;
  friend struct World;
};

struct Message {
  MemberId from;
  std::size_t sender = 0, receiver = 0;  ///< indexes of machines, since messages are delivered by address
  ConsensusMessage content;
  std::string bytes;  ///< the encoded message, for comparisons and hashes
};

/// A committed entry on the path from the start to the current state.
struct CommittedEntry {
  std::string content;
  std::int64_t committedInTerm = 0;  ///< the first term in which a member knew that the entry is committed
};
/// The parts of the path from the start to the current state that the invariants need.
struct History {
  std::map<std::int64_t, CommittedEntry> committed;
  std::map<std::int64_t, MemberId> leaders;                        ///< by term
  std::map<std::pair<MemberId, std::int64_t>, std::string> votes;  ///< candidate's address by member and term
  std::set<MemberId> lostIdentities;                               ///< identities whose disk is lost
};

enum class ActionKind {
  deliver,
  lose,
  duplicate,
  sync,
  tick,
  advanceTime,
  write,
  crash,
  restart,
  wipe,
  startSpare,
  leave,
  exitAllowed,
  killLeaving,
  cutIncoming,
  cutOutgoing,
  cutBoth,
  heal,
  freeze,
  thaw,
  compact
};
struct Action {
  ActionKind kind = ActionKind::advanceTime;
  std::size_t index = 0;  ///< the index of the machine, or of the message in `World::inFlight`
};

struct World {
  RaftOptions options;
  Budgets budgets;
  TimePoint now{std::chrono::seconds(1000)};
  std::array<std::shared_ptr<const Machine>, kMachines> machines;
  std::vector<std::shared_ptr<const Message>> inFlight;  ///< sorted by `Message::bytes`
  std::set<std::pair<std::size_t, std::size_t>> cut;     ///< links that lose all messages: sender and receiver
  std::size_t cutMachine = kMachines;                    ///< the machine that is cut off; `kMachines`: none
  std::uint32_t ticked = 0;                              ///< bit mask of the machines that ticked in this time step
  std::shared_ptr<const History> history = std::make_shared<History>();
  std::string violation;  ///< the name of the first invariant that an event violated

  /// Starts the three founders. The spare does not run yet.
  explicit World(const RaftOptions& raftOptions);
  /// All actions that are possible in this state.
  std::vector<Action> possibleActions() const;
  void apply(const Action& action);
  std::string describe(const Action& action) const;
  std::uint64_t hash() const;
  /// Ends all faults and starts the processes that do not run.
  void endAllFaults();
  /// Runs a fair schedule for the given simulated time: every possible tick, sync and delivery occurs, in a fixed
  /// order.
  void runFairly(Duration duration);
  /// The machine that is leader with a valid lease; `kMachines`: none.
  std::size_t leaderWithLease() const;
  bool running(std::size_t machine) const { return machines[machine]->raft && !machines[machine]->frozen; }
  /// Whether a quorum of the voters other than `machine` is available and has all committed entries, so that the
  /// cluster tolerates the loss of the machine's disk now.
  bool toleratesLossOf(std::size_t machine) const;
  void reportViolation(const std::string& invariant);

 private:
  Machine& mutableMachine(std::size_t machine);
  template <class Event>
  void processEvent(std::size_t machine, Event event);
  void carryOut(std::size_t machine, std::vector<RaftAction> actions);
  void sendMessage(std::size_t machine, const SendMessage& action);
  void recordVote(std::size_t machine, const SendMessage& action);
  void recordCommitted(std::size_t machine, const LogEntry& entry);
  void recordExit(std::size_t machine);
  void applyToNetwork(const Action& action);
  void applyToProcess(const Action& action);
  void deliver(std::size_t index, bool keep);
  void sync(std::size_t machine);
  void start(std::size_t machine);
  void stop(std::size_t machine);
  void loseDisk(std::size_t machine);
  void advanceTime();
  void write();
  void cutOff(std::size_t machine, bool incoming, bool outgoing);
  void addMachineActions(std::vector<Action>& actions, std::size_t machine) const;
  void addFaults(std::vector<Action>& actions, std::size_t machine) const;
};

/// A text that is equal for two entries if and only if the entries have the same term, kind, operation id and body.
std::string contentOf(const LogEntry& entry);
/// Whether the log that a restart would recover from the machine's disk contains the entry.
bool diskHolds(const Machine& machine, const LogEntry& entry);
/// The options of all model worlds. The durations have the same order as in production, but are based on a coarse time
/// step and have no jitter.
RaftOptions modelOptions();
}  // namespace zinccleat::model
