// The control plane of a rollout in simulated time: controllers with one leader, a log whose entries reach the proxies
// with a delay, and the revision gates of proxies that follow the log and send reports. The simulation that uses this
// class generates the traffic.
#pragma once
#include <deque>
#include <random>

#include "rollout/revision_gate.hpp"
#include "rollout/rollout_tracker.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"

namespace zinccleat::rollout_world {
constexpr Duration kTick{50};
constexpr Duration kReportInterval{400};
const TimePoint kStart = TimePoint{} + 1h;
/// The service and its two revisions.
inline const std::string kService = "s";
inline const std::string kBaseline = "v1";
inline const std::string kCandidate = "v2";

/// The control plane state of one proxy.
struct ControlledProxy {
  rollout::RevisionGate gate;
  Duration phase{0};       // offset of the proxy's reports within the report interval
  Duration entryDelay{0};  // time from the commit of an entry to its arrival at the proxy
  TimePoint disconnectedFrom = TimePoint::max();
  TimePoint disconnectedUntil = TimePoint::max();
  std::size_t applied = 0;
  bool isReachable(TimePoint now) const { return now < disconnectedFrom || now >= disconnectedUntil; }
  bool reportsAt(TimePoint now) const { return (now - kStart) % kReportInterval == phase; }
};

class RolloutControl {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int proxies = 40;
    Duration term{14000};
    int leaderChanges = 0;           // number of changes, at random times
    double disconnectedProxies = 0;  // fraction of the proxies that are disconnected from the controllers for 3 s
  };
  explicit RolloutControl(const Options& options);
  /// Adds a runner of one of the revisions.
  void join(const std::string& id, const std::string& revision, std::int64_t capacity);
  /// Begins the rollout, as an operator's call does.
  void begin();
  /// Advances the controllers by one tick. The caller must call `follow` and `report` for each proxy.
  void step(TimePoint now);
  /// Applies the entries that have arrived at a proxy.
  /// @return whether any entry has arrived.
  bool follow(ControlledProxy& proxy, TimePoint now) const;
  /// Sends a proxy's reports to the leader and adds the granted tokens.
  void report(ControlledProxy& proxy, TimePoint now);
  std::vector<ControlledProxy>& proxies() { return proxies_; }
  const state_machine::StateContents& state() const { return state_.state(); }
  const state_machine::Rollout& rollout() const { return *state_.rollout(kService); }
  bool hasLeader(TimePoint now) const { return now >= leaderFrom_; }
  Duration decidedAfter() const { return decidedAfter_; }
  double steps() const { return steps_; }
  /// The runners that outlier detection has ejected from all proxies.
  std::vector<transport::RunnerEjection> ejections;

 private:
  struct CommittedEntry {
    TimePoint at;
    std::vector<state_machine::Rollout> rollouts;  // state after the entry
  };
  struct PendingRecord {
    TimePoint at;
    state_machine::Rollout record;
  };
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(rng_); }
  void addProxies();
  void commit(transport::LogEntry entry);
  void changeLeader(TimePoint now);
  void commitPending(TimePoint now);

  const Options options_;
  std::mt19937_64 rng_;
  TimePoint now_ = kStart;
  state_machine::ReplicatedState state_;
  std::int64_t index_ = 0;
  std::vector<CommittedEntry> committed_;
  std::vector<ControlledProxy> proxies_;
  std::vector<rollout::RolloutTracker> trackers_;
  std::size_t leader_ = 0;
  TimePoint leaderFrom_ = kStart;
  std::vector<TimePoint> leaderChangeTimes_;
  std::deque<PendingRecord> pending_;
  Duration decidedAfter_{0};
  double steps_ = 0;
};
}  // namespace zinccleat::rollout_world
