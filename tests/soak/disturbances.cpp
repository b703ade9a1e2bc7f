// Operations on the fleet, in overlapping series: signals, restarts, configuration changes, replacement of runners, and
// kills. Also the supervisor that restarts processes.
#include <csignal>
#include <fstream>

#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kSupervisionInterval{20};
constexpr Duration kMinRestartDelay{50};
constexpr Duration kMaxRestartDelay{600};
constexpr Duration kMaxSeriesPause{1500};
constexpr int kMaxSeriesLength = 5;
constexpr Duration kMinFreeze{300};
constexpr Duration kMaxFreeze{3500};
constexpr Duration kFreezeRecordInterval{100};

/// The signals that a process blocks and handles, as /proc/PID/status shows them.
struct SignalMasks {
  std::uint64_t blocked = 0, caught = 0;
  bool handles(int signal) const { return ((blocked | caught) >> (signal - 1) & 1U) != 0; }
  std::string text() const { return "blocked " + std::to_string(blocked) + ", caught " + std::to_string(caught); }
};
SignalMasks signalMasksOf(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  SignalMasks masks;
  for (std::string line; std::getline(status, line);) {
    const auto value = [&line] { return std::stoull(line.substr(line.find('\t') + 1), nullptr, 16); };
    if (line.starts_with("SigBlk:"))
      masks.blocked = value();
    if (line.starts_with("SigCgt:"))
      masks.caught = value();
  }
  return masks;
}

/// Supervises the processes as the platform does: sends SIGKILL to a process that does not exit within the grace
/// period, and restarts each process after its exit.
class Supervisor {
 public:
  explicit Supervisor(SoakRun& run) : run_(run), states_(run.fleet.processes().size()) {}
  void start() {
    runtime::EventLoop::get().callEvery(kSupervisionInterval, [this] { check(); });
  }
  /// Returns the access machine of a process, or `Disturbance::kCore`.
  int machineOf(std::size_t process) const {
    const auto core = run_.fleet.core().size();
    return process < core ? Disturbance::kCore : static_cast<int>((process - core) / 2);
  }
  void recordDisturbance(std::size_t process, bool planned) {
    run_.observations.disturbances.push_back({machineOf(process), Clock::now(), planned});
  }
  /// Whether a process already blocks or handles SIGTERM. Before that, while the dynamic linker is active (10 ms, up to
  /// 180 ms on a busy machine), SIGTERM terminates the process regardless of the program's code.
  bool handlesTermination(std::size_t process) const { return masksOf(process).handles(SIGTERM); }
  void terminate(std::size_t process) {
    const auto masks = masksOf(process);
    if (!masks.handles(SIGTERM) || states_[process].frozen)
      return;
    recordDisturbance(process, true);
    states_[process].masks = masks.text();
    if (run_.fleet.signal(process, SIGTERM) && !states_[process].terminatedAt)
      states_[process].terminatedAt = Clock::now();
  }
  void kill(std::size_t process) {
    recordDisturbance(process, false);
    states_[process].killed = true;
    (void)run_.fleet.signal(process, SIGKILL);
  }
  bool isRunning(std::size_t process) const {
    return run_.fleet.processes()[process].pid > 0 && !states_[process].terminatedAt && !states_[process].frozen;
  }
  /// Stops a process, which must be running, without ending it.
  void freeze(std::size_t process) {
    recordDisturbance(process, false);
    states_[process].frozen = run_.fleet.signal(process, SIGSTOP);
  }
  void thaw(std::size_t process) {
    recordDisturbance(process, false);
    states_[process].frozen = false;
    (void)run_.fleet.signal(process, SIGCONT);
  }

 private:
  struct State {
    std::optional<TimePoint> terminatedAt;
    bool killed = false;
    bool frozen = false;
    TimePoint restartAt = TimePoint::max();
    TimePoint startedAt{};
    std::string masks;
  };
  SignalMasks masksOf(std::size_t process) const { return signalMasksOf(run_.fleet.processes()[process].pid); }
  void check() {
    const auto now = Clock::now();
    for (std::size_t process = 0; process < states_.size(); ++process) {
      auto& state = states_[process];
      if (const auto status = run_.fleet.pollExitStatus(process)) {
        run_.observations.exits.push_back({run_.fleet.processes()[process].name, *status, state.terminatedAt,
                                           state.killed, state.startedAt, now, state.masks});
        recordDisturbance(process, state.terminatedAt.has_value());
        state = {};
        state.restartAt = now + run_.drawDuration(kMinRestartDelay, kMaxRestartDelay);
      }
      if (now >= state.restartAt) {
        state.restartAt = TimePoint::max();
        recordDisturbance(process, true);
        state.startedAt = now;
        (void)run_.fleet.restartProcess(process);
      }
      // The platform sends SIGKILL when the grace period is over. A process that is killed here counts as a violation,
      // because of its exit status.
      if (state.terminatedAt && now - *state.terminatedAt > run_.observations.bounds.grace)
        (void)run_.fleet.signal(process, SIGKILL);
    }
  }
  SoakRun& run_;
  std::vector<State> states_;
};

class FleetOperations {
 public:
  explicit FleetOperations(SoakRun& run) : run_(run), supervisor_(run) {}
  void start() {
    supervisor_.start();
    run_.killProcess = [this](std::size_t process) { supervisor_.kill(process); };
    // Each kind of operation has its own series, so that operations overlap.
    repeat([this] { restartAccessMachines(); });
    repeat([this] { restartAccessMachines(); });
    repeat([this] { disturbController(); });
    repeat([this] { reloadSettings(); });
    repeat([this] { sendConfigurationChanges(); });
    repeat([this] { sendConfigurationChanges(); });
    repeat([this] { replaceRunners(); });
    repeat([this] { changeAccessKeys(run_); });
    // One zone keeps its runners.
    for (std::size_t zone = 1; zone < kZones.size(); ++zone)
      repeat([this, zone] { evacuateInTurns(run_, kZones[(zone + run_.plan.seed) % kZones.size()]); });
    if (run_.plan.freezes)
      repeat([this] { freezeAccessMachine(); });
    if (run_.plan.kills)
      repeat([this] { killProcesses(); });
  }

 private:
  static void sleepFor(Duration duration) { runtime::EventLoop::get().sleepFor(duration); }
  void repeat(std::function<void()> series) {
    run_.spawn([this, series = std::move(series)] {
      while (run_.disturbancesActive) {
        sleepFor(run_.drawDuration(100ms, kMaxSeriesPause));
        if (run_.disturbancesActive)
          series();
      }
    });
  }
  std::size_t firstProcessOf(int machine) const {
    return run_.fleet.core().size() + 2 * static_cast<std::size_t>(machine);
  }
  int drawSeriesLength() { return 1 + static_cast<int>(run_.draw(kMaxSeriesLength)); }
  int drawMachine() { return static_cast<int>(run_.draw(static_cast<std::uint64_t>(run_.plan.access))); }
  // Sends SIGTERM to both processes of an access machine, sometimes twice, and sometimes SIGHUP afterwards.
  void restartAccessMachines() {
    for (int i = drawSeriesLength(); i > 0 && run_.disturbancesActive;
         --i, sleepFor(run_.drawDuration(100ms, 1300ms))) {
      const auto first = firstProcessOf(drawMachine());
      if (!supervisor_.isRunning(first) || !supervisor_.isRunning(first + 1))
        continue;
      const auto times = 1 + run_.draw(2);
      for (std::uint64_t time = 0; time < times; ++time) {
        supervisor_.terminate(first);
        supervisor_.terminate(first + 1);
        sleepFor(run_.drawDuration(1ms, 200ms));
      }
      if (run_.draw(3) == 0)
        sendHangup(first);
    }
  }
  void restartController() {
    const auto controllers = run_.fleet.core().size();
    std::size_t running = 0;
    for (std::size_t i = 0; i < controllers; ++i)
      running += supervisor_.isRunning(i);
    // At most one controller is down at a time, because a planned restart must leave the other controllers running.
    if (running == controllers)
      supervisor_.terminate(run_.draw(controllers));
    sleepFor(run_.drawDuration(1500ms, 4000ms));
  }
  void sendHangup(std::size_t process) {
    if (!supervisor_.handlesTermination(process))
      return;
    run_.fleet.touchSettings(process);
    supervisor_.recordDisturbance(process, true);
    (void)run_.fleet.signal(process, SIGHUP);
  }
  void reloadSettings() {
    for (int i = drawSeriesLength(); i > 0; --i, sleepFor(run_.drawDuration(1ms, 150ms)))
      sendHangup(run_.draw(run_.fleet.processes().size()));
  }
  // Two of these series run at once, so that two changes are sometimes based on the same version and the second one is
  // sent before the response to the first.
  void sendConfigurationChanges() {
    for (int i = 3 * drawSeriesLength(); i > 0 && run_.disturbancesActive; --i, sleepFor(run_.drawDuration(5ms, 150ms)))
      changeConfiguration(run_);
  }
  // Replaces runners: a new runner starts before the old one leaves.
  void replaceRunners() {
    const auto leaving = runnersInService(run_);
    for (int i = drawSeriesLength(); i > 0; --i) {
      startRunner(run_, "runner-" + std::to_string(++startedRunners_) + "-" + std::to_string(run_.plan.seed));
      sleepFor(run_.drawDuration(300ms, 900ms));
      requestDeparture(run_, leaving[run_.draw(leaving.size())]);
    }
  }
  /// At most one controller is down or stands still at a time, so restarts and freezes of controllers take turns.
  void disturbController() {
    if (run_.plan.freezes && run_.draw(4) != 0)
      freeze({run_.draw(run_.fleet.core().size())});
    else
      restartController();
  }
  void freezeAccessMachine() {
    const auto first = firstProcessOf(drawMachine());
    freeze({first, first + 1});
  }
  /// Stops processes for a time that may be longer than their callers wait, unless one of them is not running.
  void freeze(const std::vector<std::size_t>& processes) {
    const auto canFreeze = [this](std::size_t process) {
      return supervisor_.isRunning(process) && supervisor_.handlesTermination(process);
    };
    if (!std::all_of(processes.begin(), processes.end(), canFreeze))
      return;
    for (const auto process : processes)
      supervisor_.freeze(process);
    const auto end = Clock::now() + run_.drawDuration(kMinFreeze, kMaxFreeze);
    while (Clock::now() < end && run_.disturbancesActive) {
      sleepFor(kFreezeRecordInterval);
      supervisor_.recordDisturbance(processes.front(), false);
    }
    for (const auto process : processes)
      supervisor_.thaw(process);
  }
  void killProcesses() {
    const auto process = run_.draw(run_.fleet.processes().size());
    if (supervisor_.isRunning(process))
      supervisor_.kill(process);
    sleepFor(run_.drawDuration(500ms, 3000ms));
  }

  SoakRun& run_;
  Supervisor supervisor_;
  int startedRunners_ = 100;
};
}  // namespace

void startDisturbances(SoakRun& run) {
  static std::unique_ptr<FleetOperations> fleetOperations;
  fleetOperations = std::make_unique<FleetOperations>(run);
  fleetOperations->start();
}
}  // namespace zinccleat::soak
