/// @file
/// Supervises the processes of a soak run as the platform does: sends SIGKILL to a process that does not exit within
/// the grace period, and restarts each process after its exit.
#pragma once
#include "soak_run.hpp"
#include "start_obstacles.hpp"

namespace zinccleat::soak {
/// The supervisor of all processes; see the file comment. All disturbances of a process go through it.
class Supervisor {
 public:
  explicit Supervisor(SoakRun& run) : run_(run), states_(run.fleet.processes().size()) {}
  void start();
  /// Records a disturbance of the machine of a process, now.
  void recordDisturbance(std::size_t process, bool planned);
  /// Sends SIGTERM to a process that does not stand still, whether or not its program runs already.
  void terminate(std::size_t process);
  /// Sends SIGHUP or SIGUSR1 to a process that may not have begun to run its program.
  void signalEarly(std::size_t process, int signal);
  /// Sets whether an obstacle is in the way of a process's start.
  void setObstructed(std::size_t process, bool obstructed) { states_[process].obstructed = obstructed; }
  void kill(std::size_t process);
  /// Kills a process and leaves it down until `release`.
  void killAndHold(std::size_t process);
  /// Whether a process that `killAndHold` killed has been reaped.
  bool isDown(std::size_t process) const { return run_.fleet.processes()[process].pid == 0; }
  void release(std::size_t process);
  /// Whether a process runs and neither ends, stands still nor waits for an obstacle.
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
    bool signalledBeforeProgram = false;  // a signal was sent before the program could block it
    bool obstructed = false;
  };
  /// Returns the access machine of a process, or `Disturbance::kCore`.
  int machineOf(std::size_t process) const;
  void checkAll();
  void recordExit(std::size_t process, int status);
  void checkMemory(std::size_t process);
  void start(std::size_t process);
  /// Records the signal masks of a process that is about to get a signal.
  void recordMasks(std::size_t process, int signal);
  SoakRun& run_;
  std::vector<State> states_;
  StartObstacles obstacles_{run_, *this};
  int checks_ = 0;
};
}  // namespace zinccleat::soak
