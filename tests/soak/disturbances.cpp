// Operations on the fleet, in overlapping series: signals, restarts, configuration changes, replacement of runners, and
// kills.
#include <csignal>

#include "soak_run.hpp"
#include "supervisor.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kMaxSeriesPause{1500};
constexpr int kMaxSeriesLength = 5;
constexpr Duration kMinFreeze{300};
constexpr Duration kMaxFreeze{3500};
constexpr Duration kFreezeRecordInterval{100};

class FleetOperations {
 public:
  FleetOperations(SoakRun& run, Supervisor& supervisor) : run_(run), supervisor_(supervisor) {}
  void start() {
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
    run_.fleet.touchSettings(process);
    supervisor_.signalEarly(process, SIGHUP);
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
  /// At most one controller is down or stands still at a time, so restarts and freezes of controllers take turns. While
  /// a disk is being lost, controllers are disturbed only by that series.
  void disturbController() {
    if (run_.diskIsBeingLost)
      return;
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
    const auto canFreeze = [this](std::size_t process) { return supervisor_.isRunning(process); };
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
    const bool isReserved = run_.diskIsBeingLost && process < run_.fleet.core().size();
    if (supervisor_.isRunning(process) && !isReserved)
      supervisor_.kill(process);
    sleepFor(run_.drawDuration(500ms, 3000ms));
  }

  SoakRun& run_;
  Supervisor& supervisor_;
  int startedRunners_ = 100;
};
}  // namespace

void startDisturbances(SoakRun& run) {
  static std::unique_ptr<FleetOperations> fleetOperations;
  fleetOperations = std::make_unique<FleetOperations>(run, *run.supervisor);
  fleetOperations->start();
}
}  // namespace zinccleat::soak
