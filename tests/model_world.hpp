/// The world that the model checker searches: the real consensus code on three founders and a spare, with every
/// choice of the network, the disks, the processes and the clock as an explicit action. Worlds are values: copying
/// one is cheap, since machines and messages are shared until they change.
#pragma once
#include <array>
#include <set>

#include "consensus/raft_node.hpp"

namespace zinccleat::model {
using namespace zinccleat::consensus;
using namespace zinccleat::transport;
constexpr std::size_t kFounders = 3;
constexpr std::size_t kMachines = 4;  ///< the last one is the spare
constexpr Duration kTimeStep{100};    ///< the clock moves in full steps; each running process ticks once in each

/// How many faults of each kind one path may contain.
struct Budgets {
  int crashes = 0;      ///< a process killed; what its disk had not synced is lost
  int wipes = 0;        ///< a process killed and its disk lost
  int leaves = 0;       ///< a member that leaves for good
  int cuts = 0;         ///< a machine whose packets are lost in one direction or in both
  int freezes = 0;      ///< a process that is paused while time advances
  int duplicates = 0;   ///< a message that comes twice
  int losses = 0;       ///< a message lost by itself
  int compactions = 0;  ///< a member replaces its log by a snapshot
  int writes = 0;       ///< a client's write, handed to a leader
  int spares = 0;       ///< starts of the spare
  int timeSteps = 0;
  std::int64_t maxTerms = 3;
  std::size_t maxInFlight = 8;  ///< what is sent beyond this is lost
};

struct Machine {
  std::string address;
  MemberId id;                           ///< of the disk
  int identities = 0;                    ///< disks that this machine has had
  std::shared_ptr<const RaftNode> raft;  ///< null: the process does not run
  std::vector<DiskRecord> disk;          ///< what a sync has covered
  std::uint64_t diskHash = 0;            ///< of what a restart would read from it
  std::deque<PersistRecord> pending;     ///< handed to the disk, not synced
  bool frozen = false, leaving = false;
  bool exited = false;  ///< has left for good
  std::uint64_t hash(TimePoint now) const;

 private:
  mutable TimePoint hashedAt_{};
  mutable std::uint64_t hash_ = 0;
  friend struct World;
};

struct Message {
  MemberId from;
  std::size_t sender = 0, receiver = 0;  ///< machines: delivery is by address
  ConsensusMessage content;
  std::string bytes;  ///< encoded: what is compared and hashed
};

/// What the invariants must remember of the path.
struct CommittedEntry {
  std::string content;
  std::int64_t committedInTerm = 0;  ///< the first term in which somebody knew it to be committed
};
struct History {
  std::map<std::int64_t, CommittedEntry> committed;
  std::map<std::int64_t, MemberId> leaders;                        ///< by term
  std::map<std::pair<MemberId, std::int64_t>, std::string> votes;  ///< of a member in a term: an address
  std::set<MemberId> lostIdentities;                               ///< whose disk is exited
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
  std::size_t index = 0;  ///< of the machine, or of the message among those in flight
};

struct World {
  RaftOptions options;
  Budgets budgets;
  TimePoint now{std::chrono::seconds(1000)};
  std::array<std::shared_ptr<const Machine>, kMachines> machines;
  std::vector<std::shared_ptr<const Message>> inFlight;  ///< sorted by their bytes
  std::set<std::pair<std::size_t, std::size_t>> cut;     ///< sender and receiver
  std::size_t cutMachine = kMachines;                    ///< none
  std::uint32_t ticked = 0;                              ///< machines that ticked in this step of time, by bit
  std::shared_ptr<const History> history = std::make_shared<History>();
  std::string violation;  ///< the name of the first invariant that an event broke

  /// Three founders, started; the spare is off.
  explicit World(const RaftOptions& raftOptions);
  /// All that may happen next.
  std::vector<Action> possibleActions() const;
  void apply(const Action& action);
  std::string describe(const Action& action) const;
  std::uint64_t hash() const;
  /// Ends all faults; then, with `runFairly`, everything that can happen does, in a fixed order, for so long.
  void endAllFaults();
  void runFairly(Duration duration);
  /// The member that leads with a valid lease; `kMachines`: none.
  std::size_t leaderWithLease() const;
  bool running(std::size_t machine) const { return machines[machine]->raft && !machines[machine]->frozen; }
  /// Whether a disk may be lost now without a majority being lost: one fault must still be tolerated.
  bool toleratesLossOf(std::size_t machine) const;
  void reportViolation(const std::string& invariant);

 private:
  Machine& change(std::size_t machine);
  template <class Event>
  void feed(std::size_t machine, Event event);
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

/// Text that two equal entries share.
std::string contentOf(const LogEntry& entry);
/// Whether the log that a restart would read from these records holds the entry.
bool diskHolds(const Machine& machine, const LogEntry& entry);
/// The options of all model worlds: the order of the real time spans at a coarser grain, without jitter.
RaftOptions modelOptions();
}  // namespace zinccleat::model
