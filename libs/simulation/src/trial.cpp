#include "simulation/trial.hpp"

#include <cstdio>

#include "control_calls.hpp"
#include "fleet.hpp"
#include "simulation/linearizability.hpp"
#include "trial_clients.hpp"
#include "trial_operators.hpp"
#include "trial_rollout.hpp"
#include "trial_runner.hpp"

namespace zinccleat::simulation {
namespace {
constexpr int kControllers = 3;
constexpr int kRunners = 4;
constexpr int kClients = 6;
constexpr int kOperators = 2;
constexpr int kPhases = 3;  // before the leader is killed, between that and the stop of a runner, and after both
constexpr std::uint64_t kSeed = 7;
constexpr auto kPollInterval = 50ms;
constexpr int kMaxLeaderPolls = 100;
constexpr int kMaxShutdownPolls = 120;
constexpr auto kStabilizationTime = 1000ms;  // allows the proxy to get its lease and the runners to register
constexpr auto kLeaderRestartDelay = 300ms;
constexpr Duration kLoadAfterRollout{2000};  // between the planned end of the rollout and the end of the load
constexpr Duration kMinRolloutDuration{1000};
constexpr Duration kReversalTimeout{5000};  // time limit for the reversal after the last phase

void printLine(const std::string& line) {
  std::printf("%s\n", line.c_str());
  std::fflush(stdout);
}

/// Runs one trial in consecutive phases. Fibers hold references to the members; the event loop is stopped before the
/// members are destroyed, and no fiber runs afterwards.
class Trial {
 public:
  Trial(std::string binary, int seconds)
      : fleet_(std::move(binary), kControllers), phaseLength_(seconds * 1000 / kPhases) {}
  /// @return whether all criteria of `simulation::trial` are met; an error if the trial could not be set up.
  Result<bool> run();

 private:
  Result<void> startFleet();
  void startRunners();
  void awaitReadiness();
  void printFleetDescription() const;
  void killLeader();
  void killRunner();
  void stopLoad();
  bool report() const;
  bool reportClients() const;
  bool reportOperators() const;
  int countRepeatedPushes() const;

  LocalFleet fleet_;
  Duration phaseLength_;
  std::mt19937_64 random_{kSeed};
  ExecutionCounts executions_;
  std::vector<std::shared_ptr<TrialRunner>> runners_;
  TrialClients clients_{fleet_};
  TrialOperators operators_{fleet_, random_};
  TrialRollout rollout_{fleet_, executions_, random_};
  bool rolloutReverted_ = false;
};

Result<bool> Trial::run() {
  auto& loop = runtime::EventLoop::get();
  if (auto started = startFleet(); !started)
    return tl::unexpected(started.error());
  startRunners();
  awaitReadiness();
  printFleetDescription();
  printLine("rolling out a revision with two runners that fail half of their streams");
  clients_.start(kClients);
  operators_.start(kOperators);
  if (!rollout_.begin(std::max(kMinRolloutDuration, kPhases * phaseLength_ - kLoadAfterRollout)))
    return makeError(ErrorCode::unavailable, "no controller acknowledged the rollout");
  loop.sleepFor(phaseLength_);
  killLeader();
  loop.sleepFor(phaseLength_);
  killRunner();
  loop.sleepFor(phaseLength_);
  rolloutReverted_ = rollout_.awaitReversal(kReversalTimeout);
  stopLoad();
  return report();
}
Result<void> Trial::startFleet() {
  if (!fleet_.startCore() || !fleet_.startAccessMachine())
    return makeError(ErrorCode::ioError, "cannot start " + fleet_.binary());
  if (!operators_.installInitialConfiguration())
    return makeError(ErrorCode::unavailable, "the core accepted no configuration within 10 s");
  return {};
}
void Trial::startRunners() {
  for (int i = 0; i < kRunners; ++i) {
    runners_.push_back(std::make_shared<TrialRunner>(fleet_, "runner-" + std::to_string(i + 1),
                                                     i % 2 ? "gateway" : "models", executions_, random_));
    runners_.back()->start();
  }
}
void Trial::awaitReadiness() {
  for (int i = 0; i < kMaxLeaderPolls && !findLeader(fleet_); ++i)
    runtime::EventLoop::get().sleepFor(kPollInterval);
  runtime::EventLoop::get().sleepFor(kStabilizationTime);
}
void Trial::printFleetDescription() const {
  printLine("a core of three, an agent and a proxy, " + std::to_string(kRunners) + " runners, " +
            std::to_string(kClients) + " clients; folder " + fleet_.folder());
  printLine("while it runs: zinccleat status " + fleet_.control(0) + " " + fleet_.control(1) + " " + fleet_.control(2));
}
void Trial::killLeader() {
  const auto leader = findLeader(fleet_);
  if (!leader)
    return;
  printLine("killing the leader, " + fleet_.processes()[*leader].name + ", with SIGKILL");
  fleet_.kill(*leader);
  runtime::EventLoop::get().sleepFor(kLeaderRestartDelay);
  fleet_.restartProcess(*leader);
}
void Trial::killRunner() {
  printLine("stopping " + runners_[0]->id() + " without detaching it");
  runners_[0]->stop();
}
void Trial::stopLoad() {
  for (auto& runner : runners_)
    runner->stopHeartbeats();
  rollout_.stopHeartbeats();
  clients_.stop();
  operators_.stop();
  for (int i = 0; i < kMaxShutdownPolls && clients_.running() + operators_.running() > 0; ++i)
    runtime::EventLoop::get().sleepFor(kPollInterval);
}
int Trial::countRepeatedPushes() const {
  return static_cast<int>(std::count_if(executions_.begin(), executions_.end(),
                                        [](const auto& execution) { return execution.second > 1; }));
}
bool Trial::report() const {
  const bool clientsServed = reportClients();
  const bool operatorsServed = reportOperators();
  rollout_.report();
  return clientsServed && operatorsServed && rolloutReverted_;
}
bool Trial::reportClients() const {
  const auto& seen = clients_.statistics();
  const int doubled = countRepeatedPushes();
  std::printf("\npushes served %d, streams served %d, of these late (over a second) %d\n", seen.pushes, seen.streams,
              seen.late);
  std::printf("attempts refused with 429 or 503: %d, failed attempts %d\n", seen.refusals, seen.failures);
  std::printf("lost %d, wrong %d, run twice %d\n", seen.lost, seen.wrong, doubled);
  std::printf("\nsee also: docs/design.md, docs/operators\n");
  return seen.lost + seen.wrong + doubled == 0 && seen.pushes > 0 && seen.streams > 0;
}
bool Trial::reportOperators() const {
  const auto& calls = operators_.history();
  const auto result = checkLinearizable(calls);
  const auto acknowledged = std::count_if(
      calls.begin(), calls.end(), [](const auto& call) { return call.answer == OperatorCall::Answer::acknowledged; });
  std::printf("operators' calls %zu, acknowledged %td: %s\n", calls.size(), acknowledged,
              result.linearizable ? "linearizable" : "NOT LINEARIZABLE");
  if (!result.linearizable)
    std::printf("%s\n", result.explanation.c_str());
  return result.linearizable;
}
int runAndReport(Trial& trial) {
  const auto passed = trial.run();
  if (passed)
    return *passed ? 0 : 1;
  std::fprintf(stderr, "zinccleat trial: %s\n", passed.error().message.c_str());
  return 1;
}
}  // namespace

int trial(const std::string& binary, int seconds) {
  // The loop is static so that it outlives the trial's sockets, which must be closed before their loop is destroyed.
  static runtime::EventLoop loop;
  Trial runningTrial(binary, seconds);
  int exitCode = 1;
  loop.spawn([&] {
    exitCode = runAndReport(runningTrial);
    loop.stop();
  });
  loop.run();
  return exitCode;
}
}  // namespace zinccleat::simulation
