#include "supervisor.hpp"

#include <csignal>
#include <fstream>

namespace zinccleat::soak {
namespace {
constexpr Duration kSupervisionInterval{20};
constexpr Duration kMinRestartDelay{50};
constexpr Duration kMaxRestartDelay{600};
constexpr int kChecksPerMemoryCheck = 10;

/// The signals that a process blocks and handles, as /proc/PID/status shows them.
struct SignalMasks {
  std::uint64_t blocked = 0, caught = 0;
  bool handles(int signal) const { return ((blocked | caught) >> (signal - 1) & 1U) != 0; }
  std::string text() const { return "blocked " + std::to_string(blocked) + ", caught " + std::to_string(caught); }
};
std::ifstream statusOf(pid_t pid) {
  return std::ifstream("/proc/" + std::to_string(pid) + "/status");
}
SignalMasks signalMasksOf(pid_t pid) {
  auto status = statusOf(pid);
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
/// The largest amount of memory that a process has used so far, in MB; 0 if it has ended.
int peakMemoryMbOf(pid_t pid) {
  constexpr std::string_view kKey = "VmHWM:";
  constexpr int kKbPerMb = 1024;
  auto status = statusOf(pid);
  for (std::string line; std::getline(status, line);)
    if (line.starts_with(kKey))
      return std::stoi(line.substr(kKey.size())) / kKbPerMb;
  return 0;
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
void Supervisor::recordMasks(std::size_t process, int signal) {
  auto& state = states_[process];
  const auto masks = signalMasksOf(run_.fleet.processes()[process].pid);
  state.masks = masks.text();
  state.signalledBeforeProgram |= !masks.handles(signal);
}
void Supervisor::signalEarly(std::size_t process, int signal) {
  if (states_[process].frozen || run_.fleet.processes()[process].pid <= 0)
    return;
  recordDisturbance(process, true);
  recordMasks(process, signal);
  (void)run_.fleet.signal(process, signal);
}
void Supervisor::terminate(std::size_t process) {
  if (states_[process].frozen || run_.fleet.processes()[process].pid <= 0)
    return;
  recordDisturbance(process, true);
  recordMasks(process, SIGTERM);
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
  return run_.fleet.processes()[process].pid > 0 && !state.terminatedAt && !state.frozen && !state.killed &&
         !state.obstructed;
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
                                     state.startedAt, now, state.masks, state.signalledBeforeProgram});
  recordDisturbance(process, state.terminatedAt.has_value());
  const bool onHold = state.onHold;
  const bool obstructed = state.obstructed;
  state = {};
  state.onHold = onHold;
  state.obstructed = obstructed;
  if (!onHold)
    state.restartAt = now + run_.drawDuration(kMinRestartDelay, kMaxRestartDelay);
}
void Supervisor::start(std::size_t process) {
  auto& state = states_[process];
  state.restartAt = TimePoint::max();
  recordDisturbance(process, true);
  const bool obstructs = run_.plan.starts && run_.disturbancesActive;
  if (obstructs && !state.obstructed)
    obstacles_.beforeStart(process);
  const auto before = Clock::now();
  (void)run_.fleet.restartProcess(process, obstructs && obstacles_.drawBlocksSignals());
  state.startedAt = Clock::now();  // the program is executed now; on a busy machine, the start itself takes long
  run_.longestStart = std::max(run_.longestStart, toDuration(state.startedAt - before));
  if (obstructs)
    obstacles_.afterStart(process);
}
void Supervisor::checkMemory(std::size_t process) {
  const auto& running = run_.fleet.processes()[process];
  auto& peak = run_.observations.peakMemoryMb[running.name];
  peak = std::max(peak, running.pid > 0 ? peakMemoryMbOf(running.pid) : 0);
  run_.observations.memoryLimitMb[running.name] = running.limits.memoryMb;
}
void Supervisor::checkAll() {
  const auto now = Clock::now();
  ++checks_;
  for (std::size_t process = 0; process < states_.size(); ++process) {
    auto& state = states_[process];
    if (const auto status = run_.fleet.pollExitStatus(process))
      recordExit(process, *status);
    if (now >= state.restartAt)
      start(process);
    if (checks_ % kChecksPerMemoryCheck == 0)
      checkMemory(process);
    // The platform sends SIGKILL when the grace period is over. A process that is killed here counts as a violation,
    // because of its exit status.
    if (state.terminatedAt && now - *state.terminatedAt > run_.observations.bounds.grace)
      (void)run_.fleet.signal(process, SIGKILL);
  }
}
}  // namespace zinccleat::soak
