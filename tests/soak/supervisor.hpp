/// @file
/// Supervises the processes of a soak run as the platform does: sends SIGKILL to a process that does not exit within
/// the grace period, and restarts each process after its exit.
#pragma once
#include "soak_run.hpp"

namespace zinccleat::soak {
/// The supervisor of all processes; see the file comment. All disturbances of a process go through it.
class Supervisor {
 public:
  explicit Supervisor(SoakRun& run) : run_(run), states_(run.fleet.processes().size()) {}
  void start();
  /// Records a disturbance of the machine of a process, now.
  void recordDisturbance(std::size_t process, bool planned);
  /// Whether a process already blocks or handles SIGTERM. Before that, while the dynamic linker is active (10 ms, up to
  /// 180 ms on a busy machine), SIGTERM terminates the process regardless of the program's code.
  bool handlesTermination(std::size_t process) const;
  /// Sends SIGTERM to a process that handles it and does not stand still.
  void terminate(std::size_t process);
  void kill(std::size_t process);
  /// Kills a process and leaves it down until `release`.
  void killAndHold(std::size_t process);
  /// Whether a process that `killAndHold` killed has been reaped.
  bool isDown(std::size_t process) const { return run_.fleet.processes()[process].pid == 0; }
  void release(std::size_t process);
  /// Whether a process runs and neither ends nor stands still.
  bool isRunning(std::size_t process) const;
  /// Stops a process, which must be running, without ending it.
  void freeze(std::size_t process);
  void thaw(std::size_t process);

 private:
  struct State {
    std::optional<TimePoint> terminatedAt;
    bool killed = false;
    bool frozen = false;
    bool onHold = false;  // stays down after its end
    TimePoint restartAt = TimePoint::max();
    TimePoint startedAt{};
    std::string masks;
  };
  /// Returns the access machine of a process, or `Disturbance::kCore`.
  int machineOf(std::size_t process) const;
  void checkAll();
  void recordExit(std::size_t process, int status);
  SoakRun& run_;
  std::vector<State> states_;
};
}  // namespace zinccleat::soak
