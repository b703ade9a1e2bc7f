/// Runners' heartbeats inside the core. A runner beats at any one core machine, while the leader alone decides which
/// runners are gone. So each machine forwards what it heard until a leader has acknowledged it, and stops acknowledging
/// beats while that fails. Both classes are pure: the time is passed in.
#pragma once
#include "runtime/common.hpp"
#include "state_machine/replicated_state.hpp"
namespace zinccleat::controller {
/// A runner's newest sign of life.
struct HeardRunner {
  std::string id;
  TimePoint at;
};

/// The machine that took the beats: keeps each until a leader has it.
class HeartbeatForwarder {
 public:
  struct Batch {
    std::int64_t number = 0;
    std::vector<HeardRunner> runners;
  };
  void heard(const std::string& id, TimePoint now);
  /// All that no leader has acknowledged yet; none: nothing waits.
  std::optional<Batch> nextBatch(TimePoint now);
  void acknowledged(std::int64_t batch);
  /// The new one has to answer for itself. What the old one acknowledged is covered by the new one's patience.
  void leaderChanged();
  /// For a machine that leads itself: what waits, taken out.
  std::vector<HeardRunner> takeAll();
  /// False: batches have gone unanswered for so long that a runner is better off at another machine. This finds what
  /// contact from the leader alone can't show: a link that carries one way only.
  bool leaderAnswers(TimePoint now) const;

 private:
  std::map<std::string, TimePoint> waiting_;
  std::map<std::int64_t, TimePoint> unanswered_;  // batch -> when it was sent
  std::int64_t batches_ = 0;
};

/// The leader: which runners have been silent for too long.
class RunnerMonitor {
 public:
  /// A runner is missed after three beats and the time that it may take to find a node that answers, and us to hear.
  explicit RunnerMonitor(Duration heartbeat) : patience_(heartbeat * 3 + Duration(1500)) {}
  void heard(const std::string& id, TimePoint at);
  /// To be called each second. A leader that has just come, or held no lease for a while, or was frozen itself, first
  /// listens for as long as its patience lasts; so does one that sees a runner for the first time: it may have joined
  /// at another machine, whose batch is still on its way.
  std::vector<state_machine::Runner> missed(TimePoint now, bool holdsLease,
                                            const std::vector<state_machine::Runner>& runners);

 private:
  Duration patience_;
  std::map<std::string, TimePoint> heard_;
  std::optional<TimePoint> watchingSince_;
  TimePoint lastLook_{};
};
}  // namespace zinccleat::controller
