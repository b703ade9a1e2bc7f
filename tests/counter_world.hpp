/// @file
/// A seeded simulation ("world") of replicated counters. Controllers in several zones run the real `CounterReplica` on
/// a simulated network, disk and process. Callers belong to a zone. Several rounds of overlapping faults are injected:
/// partitions of any shape, process crashes, processes that stand still, power failures of all machines, lost disks
/// (also the disk of the only machine that answers) and replaced machines. The answers to the callers are recorded and
/// checked.
///
/// A connection attempt to a machine whose process has ended is refused, one to a process that stands still is
/// accepted, and one across a partition, to a replaced machine or to one without power is not answered. What arrives
/// at a process that stands still is handled when it continues.
///
/// The rules behind `violations`:
/// - A total never exceeds the sum of all increments sent until then, each id counted once.
/// - A total read from a machine includes everything that the same incarnation has acknowledged before.
/// - `kMergeBound` after the end of all faults every total includes all acknowledged increments.
/// - A machine that comes back with an empty disk answers no reads until it has all acknowledged increments.
/// - At the end all replicas return the same totals: the sums over a set of increments that includes all acknowledged
///   ones.
/// An increment is not required to survive if its machine acknowledged it during a partition and lost its disk before
/// the partition had been over for `kMergeBound`.
#pragma once
#include <random>
#include <set>

#include "replicated_counters/counter_replica.hpp"

namespace zinccleat::counter_world {
/// Deliberate bugs in the service, which show that the checks detect them.
enum class PlantedFault {
  noFault,
  idsAreCountedPerMachine,    ///< the same id is counted separately by each machine
  originIsReused,             ///< a restarted process continues with its previous origin
  transferDropsOne,           ///< a transfer of several increments omits one in the middle
  acknowledgesAlone,          ///< an increment is acknowledged once it is on one disk
  readsBeforeCatchUp,         ///< a replica answers reads immediately after its start
  refusalCountsAsSilence,     ///< a refused connection is taken for one that is not answered
  acceptanceCountsAsSilence,  ///< an accepted connection is taken for one that is not answered
};

class CounterWorld {
 public:
  /// Within this time after the end of all faults, acknowledged increments reach all replicas.
  static constexpr Duration kMergeBound{3000};

  CounterWorld(std::uint64_t seed, PlantedFault planted);
  /// Runs the simulation with faults, then reads all counters back.
  void play();
  /// Runs the simulation for a minute without faults. If `slowSync` is positive, each write to one of the disks takes
  /// that long.
  void playWithoutFaults(Duration slowSync);
  /// Runs the simulation for a minute without faults but a partition of `kPartitionLength` between one zone and the
  /// others.
  void playOnePartition();
  /// The share of increments sent while the partition of `playOnePartition` lasts, apart from its first
  /// `kPartitionOnset`, that were acknowledged later than `target` after their first attempt, or not at all.
  /// @param isolated true: of the callers in the isolated zone; false: of the others
  double lateShareDuringPartition(Duration target, bool isolated) const;
  static constexpr Duration kPartitionLength{20'000};
  /// Within this time a partition is detected.
  static constexpr Duration kPartitionOnset{1500};
  /// The share of increments that were acknowledged later than `target` after their first attempt, or not at all.
  double lateShare(Duration target) const;
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t acknowledged() const { return acknowledgedIds_.size(); }
  std::size_t partitions() const { return partitions_; }
  std::size_t lostDisks() const { return lostDisks_; }
  std::size_t freezes() const { return freezes_; }

 private:
  using Replica = replicated_counters::CounterReplica;
  /// A period in which a partition separated a machine from some other machines, in at least one direction.
  struct CutOff {
    TimePoint begin{};
    std::optional<TimePoint> end;
  };
  struct Machine {
    std::string address;
    int zone = 0;
    bool isDeployed = true;  // false: it was replaced
    bool up = true;
    bool powered = true;
    bool frozen = false;                             // its process stands still
    std::vector<std::function<void()>> undelivered;  // what arrived meanwhile
    int incarnation = 0;
    replicated_counters::OriginId origin = 0;
    std::unique_ptr<Replica> replica;
    std::vector<replicated_counters::IncrementBatch> disk;  // records starting with the latest snapshot
    std::optional<replicated_counters::PersistBatch> writing;
    std::vector<TimePoint> diskLosses;
    std::vector<CutOff> cutOffs;                             // the last one may be ongoing
    std::map<std::string, std::int64_t> acknowledgedTotals;  // by counter, for the current incarnation
  };
  struct Acknowledged {
    std::string counter;
    std::int64_t amount = 0;
    std::string machine;
    bool whileCutOff = false;
    TimePoint at{};
  };
  struct Call {
    int caller = 0;
    replicated_counters::Increment increment;
    std::string machine;
    int incarnation = 0;
    int attempts = 0;
    TimePoint sentAt{};
    std::optional<Duration> acknowledgedAfter;
  };
  std::size_t drawBelow(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
  bool drawOneIn(std::size_t count) { return drawBelow(count) == 0; }
  Duration drawBetween(int least, int most) {
    return Duration(least + static_cast<int>(drawBelow(static_cast<std::size_t>(most - least))));
  }
  void at(TimePoint when, std::function<void()> what) { events_.emplace(when, std::move(what)); }
  void runUntil(TimePoint until);

  void start(Machine& machine);
  void kill(Machine& machine, Duration down);
  /// Kills the process of a machine that has no power until it is started again.
  void losePower(Machine& machine, Duration down);
  /// Makes the process of a machine stand still.
  void freeze(Machine& machine, Duration duration);
  void thaw(Machine& machine);
  /// Lets the process of a machine handle an event, later if it stands still, unless it has ended since.
  void deliver(Machine& machine, std::function<void()> event);
  void tick(Machine& machine);
  /// Ends or stops the processes of all machines but one, which loses its disk meanwhile.
  void loseTheAnsweringDisk(Machine& answering);
  void attemptConnection(Machine& from, const std::string& to);
  /// Draws what a connection attempt to an address leads to.
  transport::ConnectionOutcome drawOutcome(const Machine& from, const std::string& to);
  /// @return false if the limit of lost disks is reached; the disk is kept in that case.
  bool loseDisk(Machine& machine);
  void replace(Machine& machine);
  void run(Machine& machine);
  void write(Machine& machine, replicated_counters::PersistBatch batch);
  Duration drawWriteTime(const Machine& machine);
  /// Makes the disk of a machine slow for some time.
  void slowDisk(const Machine& machine);
  template <class Message>
  void send(const Machine& from, const std::string& to, Message message);
  bool connected(const Machine& from, const Machine& to) const;
  bool isCutOff(const Machine& machine) const;
  void updateCutOffs();
  Machine* machineAt(const std::string& address);

  void tickAll();
  std::shared_ptr<Call> startCall();
  void attempt(const std::shared_ptr<Call>& call);
  void acknowledge(Machine& machine, std::int64_t callId);
  /// Restarts a machine with an empty disk after the faults and reads from it repeatedly.
  void readAfterDiskLoss();
  void readFromSome(bool final);
  void readAt(Machine& machine, bool final);
  void injectFault();
  void partition();
  void reportViolation(const std::string& what);
  bool mustSurvive(const Acknowledged& acknowledged) const;

  std::mt19937_64 random_;
  std::uint64_t seed_;
  PlantedFault planted_;
  TimePoint start_ = TimePoint{} + std::chrono::hours(1);
  TimePoint now_ = start_;
  TimePoint faultsUntil_{};
  TimePoint faultFreeSince_ = start_;
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<std::unique_ptr<Machine>> machines_;
  int copies_ = 2;
  int zones_ = 4;
  std::vector<std::pair<std::set<int>, std::set<int>>> cuts_;  // pairs (from, to) of sets of zones, one direction each
  std::map<std::int64_t, std::shared_ptr<Call>> calls_;        // by call id
  std::vector<std::shared_ptr<Call>> callsDuringPartition_;    // of `playOnePartition`
  std::int64_t lastCallId_ = 0;
  int lastIncrement_ = 0;
  std::map<std::string, std::int64_t> sent_;  // by counter
  std::map<std::string, replicated_counters::Increment> sentIds_;
  // By id, the first acknowledgement outside a partition if there is one.
  std::map<std::string, Acknowledged> acknowledgedIds_;
  int unrecoveredDisks_ = 0;  // lost disks that are not recovered yet
  std::size_t partitions_ = 0, lostDisks_ = 0, freezes_ = 0;
  bool isFaultFree_ = false;                        // simulation without faults
  std::map<std::string, Duration> slowWriteTimes_;  // write time of each slow disk, by machine address
  std::vector<Duration> acknowledgementTimes_;      // time from the first attempt to the acknowledgement
  std::vector<std::string> violations_;
};
}  // namespace zinccleat::counter_world
