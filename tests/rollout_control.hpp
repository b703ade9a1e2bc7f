// The control side of a rollout in simulated time: controllers of which one leads, a log whose entries reach everyone
// late, and the gates of proxies that follow it and report. What the traffic does is up to the world around it.
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
/// The service, and its two revisions.
inline const std::string kService = "s";
inline const std::string kBaseline = "v1";
inline const std::string kCandidate = "v2";

/// One proxy's part.
struct ControlledProxy {
  rollout::RevisionGate gate;
  Duration phase{0};       // of its reports
  Duration entryDelay{0};  // until an entry has come here
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
    int leaderChanges = 0;           // at random times
    double disconnectedProxies = 0;  // part of the proxies that hear nothing for a while
  };
  explicit RolloutControl(const Options& options);
  /// A runner of one of the revisions joins.
  void join(const std::string& id, const std::string& revision, std::int64_t capacity);
  /// The operator's order.
  void begin();
  /// One tick of the controllers. The world calls `follow` and `report` for each proxy.
  void step(TimePoint now);
  /// Applies the entries that have come to a proxy.
  /// @return whether there were any.
  bool follow(ControlledProxy& proxy, TimePoint now) const;
  /// Exchanges a proxy's reports for grants.
  void report(ControlledProxy& proxy, TimePoint now);
  std::vector<ControlledProxy>& proxies() { return proxies_; }
  const state_machine::StateContents& state() const { return state_.state(); }
  const state_machine::Rollout& rollout() const { return *state_.rollout(kService); }
  bool hasLeader(TimePoint now) const { return now >= leaderFrom_; }
  Duration decidedAfter() const { return decidedAfter_; }
  double steps() const { return steps_; }
  /// The runners that the leader has the proxies avoid.
  std::vector<transport::RunnerEjection> ejections;

 private:
  struct CommittedEntry {
    TimePoint at;
    std::vector<state_machine::Rollout> rollouts;  // after it
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
