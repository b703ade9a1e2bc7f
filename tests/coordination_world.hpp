/// @file
/// A seeded simulation ("world") of one shard of the coordination service. Each controller has a replicated log, a
/// replica and a leaseholder, on top of the simulated network, disks and processes of `SimulatedCluster`. Applications
/// call any of the controllers and are not affected by network partitions. Their calls and answers are recorded and
/// checked by `coordination_history::violationsIn`.
#pragma once
#include "coordination/call_progress.hpp"
#include "coordination/leaseholder.hpp"
#include "coordination/watch_query.hpp"
#include "coordination_history.hpp"
#include "simulated_cluster.hpp"

namespace zinccleat::sim {
/// Deliberate bugs in the service, which show that the checks detect them.
enum class PlantedFault {
  noFault,
  leaseIsNotChecked,    ///< reads and numbers are answered without a valid lease
  timeRunsFast,         ///< the shard's time runs twice as fast as the clock
  answersBeforeCommit,  ///< a write is answered as soon as it is proposed
  unknownIsRefused,     ///< a call with an unknown outcome is answered with 503
  watchIsNotFresh,      ///< a watch is answered even if the replica lags behind
  releaseIgnoresFence,  ///< a release frees the lock regardless of its fence
};

class CoordinationWorld : public SimulatedCluster {
 public:
  using Call = coordination_history::Call;
  using CallKind = coordination_history::CallKind;

  CoordinationWorld(std::uint64_t worldSeed, PlantedFault planted);
  /// Starts all controllers as founding members.
  void startAll(const std::vector<std::string>& ips);
  void startCallers(int count, TimePoint until);
  /// Calls each lock, number, cell and watch after the end of the faults, until each has been answered.
  /// @return the names that were not answered in time.
  std::vector<std::string> readBack(Duration within);
  const std::vector<Call>& history() const { return history_; }
  std::size_t answered() const;

 protected:
  void onProcessStart(Node& node) override;
  void applyEntry(Node& node, const LogEntry& entry) override;
  bool restoreState(Node& node, const std::string& state) override;
  std::string snapshotOf(const Node& node) const override;
  void afterActions(Node& node) override;

 private:
  using OnAnswer = std::function<void(int status, const coordination::Outcome&)>;
  /// A call that a machine has accepted from an application.
  struct AcceptedCall {
    std::string ip;
    int incarnation = 0;
    coordination::Command command;
    coordination::CallProgress progress;
    OnAnswer onAnswer;
  };
  using AcceptedCallPtr = std::shared_ptr<AcceptedCall>;
  struct Member {
    coordination::ShardState state;
    std::unique_ptr<coordination::Leaseholder> leaseholder;
    std::int64_t ledTerm = 0;
    std::map<std::int64_t, std::function<void(const coordination::CallResult&)>> pending;
    std::vector<std::function<void()>> onNextApply;
    bool isRunning = false;
  };
  /// An application. It makes one call at a time, each to a randomly drawn machine.
  struct Caller {
    std::string name;
    std::map<std::string, std::int64_t> fences;   ///< by lock
    std::map<std::string, std::int64_t> watched;  ///< by group, the revision from which to continue
    std::map<std::string, std::int64_t> read;     ///< by cell, the latest revision that was read
  };

  // --- coordination service, connected as in the controller ---
  void acceptCall(const std::string& ip, const coordination::Command& command, Duration timeout, OnAnswer onAnswer);
  void attempt(const AcceptedCallPtr& accepted);
  void endAttempt(const AcceptedCallPtr& accepted, coordination::AttemptEnd end);
  void callLeaseholder(Node& node, const coordination::Command& command,
                       std::function<void(const coordination::CallResult&)> onResult);
  void watch(const std::string& ip, const std::string& group, std::int64_t after, TimePoint until,
             const OnAnswer& onAnswer, const std::function<void(const coordination::WatchedEvents&)>& onEvents);
  bool isAlive(const std::string& ip, int incarnation) { return nodes[ip].up && nodes[ip].incarnation == incarnation; }
  /// Runs a task in a process; waits while the process is paused.
  void onProcess(const std::string& ip, int incarnation, const std::function<void()>& task);

  // --- applications ---
  void issueCall(const std::shared_ptr<Caller>& caller);
  /// @param extraDelay additional delay of the request.
  void send(Call call, const std::string& ip, const std::function<void(const Call&)>& onEnd,
            Duration extraDelay = Duration(0));
  void beginLock(const std::shared_ptr<Caller>& caller, const std::string& lock);
  void scheduleNextCall(const std::shared_ptr<Caller>& caller);
  void putUntilAnswered(const std::shared_ptr<Caller>& caller, const Call& put, int attemptsLeft);
  std::string drawMachineIp();
  std::int64_t nowUs() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count();
  }
  static coordination::Command commandOf(const Call& call);

  PlantedFault planted_;
  std::map<std::string, Member> members_;  // by IP address
  std::vector<std::string> ips_;
  std::vector<Call> history_;
  TimePoint callUntil_{};
  std::int64_t lastCallId_ = 0;
  std::int64_t lastOperation_ = 0;
  std::int64_t lastValue_ = 0;
};
}  // namespace zinccleat::sim
