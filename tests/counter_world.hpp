/// @file
/// A seeded world of replicated counters: controllers in zones, each with the real `CounterReplica` over a simulated
/// network, disk and process, and callers that stay in their zones. Partitions of any shape, kills, losses of power
/// everywhere, lost disks and replaced machines come in series and overlap; what callers see is recorded and checked.
///
/// The rules that `violations` checks:
/// - a total is never above the sum of all increments that were sent by then (each id once);
/// - a total at a machine holds what that incarnation has acknowledged before;
/// - once all faults are over for `kMergeBound`, every total holds all that was acknowledged;
/// - a machine that comes back with an empty disk answers no read before it holds all that was acknowledged;
/// - in the end all replicas answer the same, and that is the sum over a set of ids with all acknowledged ones.
/// Not requiredTotals: what a machine acknowledged while not all others could reach it, if its disk was lost before
/// `kMergeBound` after that was over.
#pragma once
#include <random>
#include <set>

#include "replicated_counters/counter_replica.hpp"

namespace zinccleat::counter_world {
/// Faults of the service itself, planted to show that the checks find them.
enum class PlantedFault {
  nothing,
  idsAreCountedPerMachine,  ///< each machine counts an id by itself
  originIsReused,           ///< a process that starts again goes on under its old origin
  transferDropsOne,         ///< a transfer of several increments lacks one in its middle
  acknowledgesAlone,        ///< an increment is acknowledged on one disk
  readsBeforeCatchUp,       ///< a replica answers as soon as it starts
};

class CounterWorld {
 public:
  /// By then after the end of all faults everything acknowledged is everywhere.
  static constexpr Duration kMergeBound{3000};

  CounterWorld(std::uint64_t seed, PlantedFault planted);
  /// Plays the faults and the callers, then reads everything back.
  void play();
  /// Plays callers without faults, one disk of which takes `slowSync` a write (zero: none is slow), for a minute.
  void playWithoutFaults(Duration slowSync);
  /// The part of the increments that were acknowledged later than `target` after they were first sent, or never.
  double lateShare(Duration target) const;
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t acknowledged() const { return acknowledgedIds_.size(); }
  std::size_t partitions() const { return partitions_; }
  std::size_t lostDisks() const { return lostDisks_; }

 private:
  using Replica = replicated_counters::CounterReplica;
  /// A time in which not all others could reach a machine, or it not them.
  struct CutOff {
    TimePoint begin{};
    std::optional<TimePoint> end;
  };
  struct Machine {
    std::string address;
    int zone = 0;
    bool isDeployed = true;  // else it was replaced
    bool up = true;
    int incarnation = 0;
    replicated_counters::OriginId origin = 0;
    std::unique_ptr<Replica> replica;
    std::vector<replicated_counters::IncrementBatch> disk;  // of the newest snapshot on
    std::optional<replicated_counters::PersistBatch> writing;
    std::vector<TimePoint> diskLosses;
    std::vector<CutOff> cutOffs;                             // the last one may still last
    std::map<std::string, std::int64_t> acknowledgedTotals;  // by counter, in this incarnation
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
  /// @return whether it may be lost now.
  bool loseDisk(Machine& machine);
  void replace(Machine& machine);
  void run(Machine& machine);
  void write(Machine& machine, replicated_counters::PersistBatch batch);
  Duration drawWriteTime(const Machine& machine);
  /// The disk of a machine is slow for a while.
  void slowDisk(const Machine& machine);
  template <class Message>
  void send(const Machine& from, const std::string& to, Message message);
  bool connected(const Machine& from, const Machine& to) const;
  bool isCutOff(const Machine& machine) const;
  void updateCutOffs();
  Machine* machineAt(const std::string& address);

  void tickAll();
  void startCall();
  void attempt(const std::shared_ptr<Call>& call);
  void acknowledge(Machine& machine, std::int64_t callId);
  /// A machine comes back with an empty disk in a hasMerged time, and is read at once.
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
  std::vector<std::pair<std::set<int>, std::set<int>>> cuts_;  // from zones to zones, one way
  std::map<std::int64_t, std::shared_ptr<Call>> calls_;        // by call id
  std::int64_t lastCallId_ = 0;
  int lastIncrement_ = 0;
  std::map<std::string, std::int64_t> sent_;  // by counter
  std::map<std::string, replicated_counters::Increment> sentIds_;
  std::map<std::string, Acknowledged> acknowledgedIds_;  // by id, the first acknowledgement
  int unrecoveredDisks_ = 0;                             // that are not recovered
  std::size_t partitions_ = 0, lostDisks_ = 0;
  bool isFaultFree_ = false;                        // played without faults
  std::map<std::string, Duration> slowWriteTimes_;  // time of a write, by the address of a machine whose disk is slow
  std::vector<Duration> acknowledgementTimes_;      // from the first attempt to the acknowledgement
  std::vector<std::string> violations_;
};
}  // namespace zinccleat::counter_world
