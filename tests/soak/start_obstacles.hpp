/// @file
/// Obstacles and signals that meet a process at its start, as on machines where a previous instance is still ending,
/// the settings are being written, or a change of the settings sends SIGHUP to all processes at this moment.
#pragma once
#include "soak_run.hpp"

namespace zinccleat::soak {
class Supervisor;
/// Draws what each start meets. No obstacle lasts longer than a process must wait for it (`kMaxObstacle`).
class StartObstacles {
 public:
  static constexpr Duration kMaxObstacle{2500};
  StartObstacles(SoakRun& run, Supervisor& supervisor) : run_(run), supervisor_(supervisor), random_(run.plan.seed) {}
  /// Called right before a process is started. Puts obstacles in its way and removes them later, on a fiber that counts
  /// in `SoakRun::activeFibers`.
  void beforeStart(std::size_t process);
  /// Called right after a process was started: sends it signals during its first milliseconds.
  void afterStart(std::size_t process);
  /// Whether the process is started with its signals blocked, as a supervisor can arrange.
  bool drawBlocksSignals() { return draw(2) == 0; }

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  Duration drawDuration(Duration least, Duration most) {
    return least + Duration(static_cast<std::int64_t>(draw(static_cast<std::uint64_t>((most - least).count()) + 1)));
  }
  void holdAddress(std::size_t process);
  void holdFolder(std::size_t process);
  void truncateSettings(std::size_t process);
  /// Calls `remove` after a time. Until then the process counts as obstructed; it is sometimes terminated meanwhile.
  void removeLater(std::size_t process, const std::function<void()>& remove);

  SoakRun& run_;
  Supervisor& supervisor_;
  std::mt19937_64 random_;
};
}  // namespace zinccleat::soak
