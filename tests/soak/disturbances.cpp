// Work on the fleet, in series that overlap: signals, restarts, changes, runners that are replaced, and kills.
#include <csignal>
#include <fstream>

#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kSupervisionInterval{20};
constexpr Duration kLeastRestartDelay{50};
constexpr Duration kMostRestartDelay{600};
constexpr Duration kMostSeriesPause{1500};
constexpr int kMaxSeriesLength = 5;

/// What a process blocks and catches, by its status in /proc.
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

/// Watches the processes as the platform does: ends that take longer than the grace, starts after each end.
class Supervisor {
 public:
  explicit Supervisor(SoakRun& run) : run_(run), states_(run.fleet.processes().size()) {}
  void start() {
    runtime::EventLoop::get().callEvery(kSupervisionInterval, [this] { check(); });
  }
  /// The access machine of a process, or `Disturbance::kCore`.
  int machineOf(std::size_t process) const {
    const auto core = run_.fleet.core().size();
    return process < core ? Disturbance::kCore : static_cast<int>((process - core) / 2);
  }
  void disturb(std::size_t process, bool planned) {
    run_.seen.disturbances.push_back({machineOf(process), Clock::now(), planned});
  }
  /// Whether a process has begun to hold back or handle SIGTERM. Before that, while the dynamic linker works (10 ms, up
  /// to 180 ms on a busy machine), the kernel ends it whatever the program does.
  bool mayBeSignalled(std::size_t process) const { return masksOf(process).handles(SIGTERM); }
  void terminate(std::size_t process) {
    const auto masks = masksOf(process);
    if (!masks.handles(SIGTERM))
      return;
    disturb(process, true);
    states_[process].masks = masks.text();
    if (run_.fleet.signal(process, SIGTERM) && !states_[process].terminatedAt)
      states_[process].terminatedAt = Clock::now();
  }
  void kill(std::size_t process) {
    disturb(process, false);
    states_[process].killed = true;
    (void)run_.fleet.signal(process, SIGKILL);
  }
  bool runs(std::size_t process) const {
    return run_.fleet.processes()[process].pid > 0 && !states_[process].terminatedAt;
  }

 private:
  struct State {
    std::optional<TimePoint> terminatedAt;
    bool killed = false;
    TimePoint startAt = TimePoint::max();
    TimePoint startedAt{};
    std::string masks;
  };
  SignalMasks masksOf(std::size_t process) const { return signalMasksOf(run_.fleet.processes()[process].pid); }
  void check() {
    const auto now = Clock::now();
    for (std::size_t process = 0; process < states_.size(); ++process) {
      auto& state = states_[process];
      if (const auto status = run_.fleet.pollExitStatus(process)) {
        run_.seen.exits.push_back({run_.fleet.processes()[process].name, *status, state.terminatedAt, state.killed,
                                   state.startedAt, now, state.masks});
        disturb(process, state.terminatedAt.has_value());
        state = {};
        state.startAt = now + run_.drawDuration(kLeastRestartDelay, kMostRestartDelay);
      }
      if (now >= state.startAt) {
        state.startAt = TimePoint::max();
        disturb(process, true);
        state.startedAt = now;
        (void)run_.fleet.restartProcess(process);
      }
      // As the platform: its grace is over. A process that needs this is reported by its exit's status.
      if (state.terminatedAt && now - *state.terminatedAt > run_.seen.bounds.grace)
        (void)run_.fleet.signal(process, SIGKILL);
    }
  }
  SoakRun& run_;
  std::vector<State> states_;
};

class Disturber {
 public:
  explicit Disturber(SoakRun& run) : run_(run), supervisor_(run) {}
  void start() {
    supervisor_.start();
    run_.killForFault = [this](std::size_t process) { supervisor_.kill(process); };
    // Each kind in a series of its own, so that they overlap.
    repeat([this] { restartAccessMachines(); });
    repeat([this] { restartAccessMachines(); });
    repeat([this] { restartController(); });
    repeat([this] { reloadSettings(); });
    repeat([this] { changeInSeries(); });
    repeat([this] { changeInSeries(); });
    repeat([this] { replaceRunners(); });
    repeat([this] { evacuateZone(run_); });
    if (run_.plan.kills)
      repeat([this] { killProcesses(); });
  }

 private:
  static void sleepFor(Duration duration) { runtime::EventLoop::get().sleepFor(duration); }
  void repeat(std::function<void()> series) {
    run_.spawn([this, series = std::move(series)] {
      while (run_.disturbed) {
        sleepFor(run_.drawDuration(100ms, kMostSeriesPause));
        if (run_.disturbed)
          series();
      }
    });
  }
  std::size_t firstProcessOf(int machine) const {
    return run_.fleet.core().size() + 2 * static_cast<std::size_t>(machine);
  }
  int drawLength() { return 1 + static_cast<int>(run_.draw(kMaxSeriesLength)); }
  int drawMachine() { return static_cast<int>(run_.draw(static_cast<std::uint64_t>(run_.plan.access))); }
  // A machine's processes get the signal together, sometimes twice, and SIGHUP may follow it.
  void restartAccessMachines() {
    for (int i = drawLength(); i > 0 && run_.disturbed; --i, sleepFor(run_.drawDuration(100ms, 1300ms))) {
      const auto first = firstProcessOf(drawMachine());
      if (!supervisor_.runs(first) || !supervisor_.runs(first + 1))
        continue;
      const auto times = 1 + run_.draw(2);
      for (std::uint64_t time = 0; time < times; ++time) {
        supervisor_.terminate(first);
        supervisor_.terminate(first + 1);
        sleepFor(run_.drawDuration(1ms, 200ms));
      }
      if (run_.draw(3) == 0)
        hangUp(first);
    }
  }
  void restartController() {
    const auto controllers = run_.fleet.core().size();
    std::size_t running = 0;
    for (std::size_t i = 0; i < controllers; ++i)
      running += supervisor_.runs(i);
    // One at a time: more is not planned work.
    if (running == controllers)
      supervisor_.terminate(run_.draw(controllers));
    sleepFor(run_.drawDuration(1500ms, 4000ms));
  }
  void hangUp(std::size_t process) {
    if (!supervisor_.mayBeSignalled(process))
      return;
    run_.fleet.touchSettings(process);
    supervisor_.disturb(process, true);
    (void)run_.fleet.signal(process, SIGHUP);
  }
  void reloadSettings() {
    for (int i = drawLength(); i > 0; --i, sleepFor(run_.drawDuration(1ms, 150ms)))
      hangUp(run_.draw(run_.fleet.processes().size()));
  }
  // Pairs of operators change the same version now and then: the second change goes out before the first is answered.
  void changeInSeries() {
    for (int i = 3 * drawLength(); i > 0 && run_.disturbed; --i, sleepFor(run_.drawDuration(5ms, 150ms)))
      changeConfiguration(run_);
  }
  // The new ones start first.
  void replaceRunners() {
    const auto leaving = runnersInService(run_);
    for (int i = drawLength(); i > 0; --i) {
      startRunner(run_, "runner-" + std::to_string(++startedRunners_) + "-" + std::to_string(run_.plan.seed));
      sleepFor(run_.drawDuration(300ms, 900ms));
      requestDeparture(run_, leaving[run_.draw(leaving.size())]);
    }
  }
  void killProcesses() {
    const auto process = run_.draw(run_.fleet.processes().size());
    if (supervisor_.runs(process))
      supervisor_.kill(process);
    sleepFor(run_.drawDuration(500ms, 3000ms));
  }

  SoakRun& run_;
  Supervisor supervisor_;
  int startedRunners_ = 100;
};
}  // namespace

void startDisturbances(SoakRun& run) {
  static std::unique_ptr<Disturber> disturber;
  disturber = std::make_unique<Disturber>(run);
  disturber->start();
}
}  // namespace zinccleat::soak
