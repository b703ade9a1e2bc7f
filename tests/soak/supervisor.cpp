#include "supervisor.hpp"

#include <csignal>
#include <fstream>

namespace zinccleat::soak {
namespace {
constexpr Duration kSupervisionInterval{20};
constexpr Duration kMinRestartDelay{50};
constexpr Duration kMaxRestartDelay{600};

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
}  // namespace

void Supervisor::start() {
  runtime::EventLoop::get().callEvery(kSupervisionInterval, [this] { checkAll(); });
}
int Supervisor::machineOf(std::size_t process) const {
  const auto core = run_.fleet.core().size();
  return process < core ? Disturbance::kCore : static_cast<int>((process - core) / 2);
}
void Supervisor::recordDisturbance(std::size_t process, bool planned) {
  run_.observations.disturbances.push_back({machineOf(process), Clock::now(), planned});
}
bool Supervisor::handlesTermination(std::size_t process) const {
  return signalMasksOf(run_.fleet.processes()[process].pid).handles(SIGTERM);
}
void Supervisor::terminate(std::size_t process) {
  const auto masks = signalMasksOf(run_.fleet.processes()[process].pid);
  if (!masks.handles(SIGTERM) || states_[process].frozen)
    return;
  recordDisturbance(process, true);
  states_[process].masks = masks.text();
  if (run_.fleet.signal(process, SIGTERM) && !states_[process].terminatedAt)
    states_[process].terminatedAt = Clock::now();
}
void Supervisor::kill(std::size_t process) {
  recordDisturbance(process, false);
  states_[process].killed = true;
  (void)run_.fleet.signal(process, SIGKILL);
}
void Supervisor::killAndHold(std::size_t process) {
  kill(process);
  states_[process].onHold = true;
  states_[process].restartAt = TimePoint::max();
}
void Supervisor::release(std::size_t process) {
  auto& state = states_[process];
  if (std::exchange(state.onHold, false) && isDown(process))
    state.restartAt = Clock::now();
}
bool Supervisor::isRunning(std::size_t process) const {
  const auto& state = states_[process];
  return run_.fleet.processes()[process].pid > 0 && !state.terminatedAt && !state.frozen && !state.killed;
}
void Supervisor::freeze(std::size_t process) {
  recordDisturbance(process, false);
  states_[process].frozen = run_.fleet.signal(process, SIGSTOP);
}
void Supervisor::thaw(std::size_t process) {
  recordDisturbance(process, false);
  states_[process].frozen = false;
  (void)run_.fleet.signal(process, SIGCONT);
}
void Supervisor::recordExit(std::size_t process, int status) {
  auto& state = states_[process];
  const auto now = Clock::now();
  run_.observations.exits.push_back({run_.fleet.processes()[process].name, status, state.terminatedAt, state.killed,
                                     state.startedAt, now, state.masks});
  recordDisturbance(process, state.terminatedAt.has_value());
  const bool onHold = state.onHold;
  state = {};
  state.onHold = onHold;
  if (!onHold)
    state.restartAt = now + run_.drawDuration(kMinRestartDelay, kMaxRestartDelay);
}
void Supervisor::checkAll() {
  const auto now = Clock::now();
  for (std::size_t process = 0; process < states_.size(); ++process) {
    auto& state = states_[process];
    if (const auto status = run_.fleet.pollExitStatus(process))
      recordExit(process, *status);
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
}  // namespace zinccleat::soak
