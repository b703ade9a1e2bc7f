/// @file
/// A seeded world of one shard of the coordination service: controllers with a replicated log, a replica and a
/// leaseholder each, over the simulated network, disks and processes of `SimulatedCluster`, and applications that call
/// any of them. The applications stand outside all cuts. What they see is recorded for `violationsIn`.
#pragma once
#include "coordination/call_progress.hpp"
#include "coordination/leaseholder.hpp"
#include "coordination/watch_query.hpp"
#include "coordination_history.hpp"
#include "simulated_cluster.hpp"

namespace zinccleat::sim {
/// Faults of the service itself, planted to show that the checks find them.
enum class PlantedFault {
  nothing,
  leaseIsNotChecked,    ///< reads and numbers are answered without a lease
  timeRunsFast,         ///< the shard's time passes twice as fast as the clock
  answersBeforeCommit,  ///< a write is answered once it is proposed
  unknownIsRefused,     ///< a call without an outcome is answered 503
  watchIsNotFresh,      ///< a watch is answered from whatever the replica has
  releaseIgnoresFence,  ///< a release frees the lock whatever its fence
};

class CoordinationWorld : public SimulatedCluster {
 public:
  using Call = coordination_history::Call;
  using CallKind = coordination_history::CallKind;

  CoordinationWorld(std::uint64_t worldSeed, PlantedFault planted);
  /// Founders start; callers call until `until`.
  void startAll(const std::vector<std::string>& ips);
  void startCallers(int count, TimePoint until);
  /// After the faults: locks, numbers, cells and watches are asked for until each has answered.
  /// @return what did not answer within its time.
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
  /// A call that a machine has accepted from an application or from another machine.
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
  /// An application: one call after the other, at machines drawn anew.
  struct Caller {
    std::string name;
    std::map<std::string, std::int64_t> fences;   ///< by lock
    std::map<std::string, std::int64_t> watched;  ///< by group, the revision to go on from
    std::map<std::string, std::int64_t> read;     ///< by cell, the newest revision seen
  };

  // --- the service, as the controller wires it ---
  void acceptCall(const std::string& ip, const coordination::Command& command, Duration timeout, OnAnswer onAnswer);
  void attempt(const AcceptedCallPtr& accepted);
  void endAttempt(const AcceptedCallPtr& accepted, coordination::AttemptEnd end);
  void callLeaseholder(Node& node, const coordination::Command& command,
                       std::function<void(const coordination::CallResult&)> onResult);
  void watch(const std::string& ip, const std::string& group, std::int64_t after, TimePoint until,
             const OnAnswer& onAnswer, const std::function<void(const coordination::WatchedEvents&)>& onEvents);
  bool isAlive(const std::string& ip, int incarnation) { return nodes[ip].up && nodes[ip].incarnation == incarnation; }
  /// Runs a task on a process, once that is not paused.
  void onProcess(const std::string& ip, int incarnation, const std::function<void()>& task);

  // --- the applications ---
  void issueCall(const std::shared_ptr<Caller>& caller);
  /// @param extraDelay so much longer than usual is the call on its way.
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
  std::map<std::string, Member> members_;  // by IP
  std::vector<std::string> ips_;
  std::vector<Call> history_;
  TimePoint callUntil_{};
  std::int64_t lastCallId_ = 0;
  std::int64_t lastOperation_ = 0;
  std::int64_t lastValue_ = 0;
};
}  // namespace zinccleat::sim
