// Disk and network faults, in series that overlap with the operations on the fleet.
#include <filesystem>
#include <numeric>

#include "soak_run.hpp"
#include "supervisor.hpp"

namespace zinccleat::soak {
namespace {
using Machines = std::vector<std::size_t>;
constexpr Duration kMaxPause{2500};
constexpr Duration kDisturbanceInterval{200};

class FaultSeries {
 public:
  explicit FaultSeries(SoakRun& run) : run_(run) {}
  void start() {
    if (run_.plan.disks)
      repeat([this] { injectDiskFault(); });
    if (run_.plan.cuts) {
      repeat([this] { partitionController(); });
      repeat([this] { partitionAccessMachine(); });
      repeat([this] { resetConnections(); });
    }
    if (run_.plan.plantedFault == "slow-clock")
      repeat([this] { slowDownClock(); });
    if (run_.plan.plantedFault == "lost-disks")
      run_.spawn([this] { loseAllDisks(); });
  }

 private:
  static void sleepFor(Duration duration) { runtime::EventLoop::get().sleepFor(duration); }
  FaultControl& faults() { return *run_.faults; }
  void repeat(std::function<void()> series) {
    run_.spawn([this, series = std::move(series)] {
      while (run_.disturbancesActive) {
        sleepFor(run_.drawDuration(200ms, kMaxPause));
        if (run_.disturbancesActive)
          series();
      }
    });
  }
  /// Waits for a duration, and records a disturbance of a machine every `kDisturbanceInterval` meanwhile.
  void recordDisturbanceFor(Duration duration, int machine) {
    for (const auto end = Clock::now() + duration; Clock::now() < end; sleepFor(kDisturbanceInterval))
      recordDisturbance(machine);
    recordDisturbance(machine);
  }
  void recordDisturbance(int machine) { run_.observations.disturbances.push_back({machine, Clock::now(), false}); }
  Machines controllers() const {
    Machines all(run_.fleet.core().size());
    std::iota(all.begin(), all.end(), 0);
    return all;
  }
  std::size_t drawController() { return run_.draw(run_.fleet.core().size()); }
  /// Returns the index of an access machine in the fault table, where the controllers come first.
  std::size_t faultTableIndexOf(int access) const {
    return run_.fleet.core().size() + static_cast<std::size_t>(access);
  }
  std::size_t runners() const { return faultTableIndexOf(run_.plan.access); }

  // --- disks ---

  // Injects one disk fault. Only one disk stalls, is full or fails at a time; all disks may be slow together.
  void injectDiskFault() {
    auto& disk = faults().machine(drawController());
    switch (run_.draw(6)) {
      case 0:
        disk.syncMs = static_cast<int>(20 + run_.draw(400));
        break;
      case 1:
        for (const auto each : controllers())
          faults().machine(each).syncMs = static_cast<int>(20 + run_.draw(300));
        break;
      case 2:
        disk.stalled = 1;
        break;
      case 3:
        disk.full = 1;
        break;
      case 4:
        disk.refusedWrites = 1 + static_cast<int>(run_.draw(3));
        break;
      default:
        disk.refusedSyncs = 1 + static_cast<int>(run_.draw(3));
        break;
    }
    recordDisturbanceFor(run_.drawDuration(300ms, 2000ms), Disturbance::kCore);
    for (const auto each : controllers()) {
      auto& restoredDisk = faults().machine(each);
      restoredDisk.syncMs = 0;
      restoredDisk.stalled = 0;
      restoredDisk.full = 0;
      restoredDisk.refusedWrites = 0;
      restoredDisk.refusedSyncs = 0;
    }
  }

  // --- links ---

  /// Loses packets from `one` to `other`, or both ways, for a duration, and records disturbances of `machineToRecord`
  /// meanwhile.
  void losePacketsFor(const Machines& one, const Machines& other, bool bothWays, Duration duration,
                      int machineToRecord) {
    faults().cut(one, other, true);
    if (bothWays)
      faults().cut(other, one, true);
    recordDisturbanceFor(duration, machineToRecord);
    faults().cut(one, other, false);
    faults().cut(other, one, false);
  }
  // Partitions one controller from the other controllers, or also from the access machines, in one or both directions.
  void partitionController() {
    const Machines cut{drawController()};
    auto others = controllers();
    std::erase(others, cut.front());
    const bool fromAll = run_.draw(3) == 0;
    if (fromAll)
      for (int access = 0; access < run_.plan.access; ++access)
        others.push_back(faultTableIndexOf(access));
    const bool bothWays = run_.draw(3) != 0;
    const bool inbound = run_.draw(2) == 0;
    // Short faults only delay packets; longer faults cause elections.
    const auto duration = run_.draw(3) == 0 ? run_.drawDuration(30ms, 300ms) : run_.drawDuration(600ms, 2500ms);
    losePacketsFor(inbound ? others : cut, inbound ? cut : others, bothWays, duration, Disturbance::kCore);
  }
  // Partitions one access machine from the controllers or from the runners.
  void partitionAccessMachine() {
    const int access = static_cast<int>(run_.draw(static_cast<std::uint64_t>(run_.plan.access)));
    const auto others = run_.draw(2) == 0 ? controllers() : Machines{runners()};
    losePacketsFor({faultTableIndexOf(access)}, others, run_.draw(3) != 0, run_.drawDuration(50ms, 1500ms), access);
  }
  void resetConnections() {
    const auto from = run_.draw(runners());
    const bool isController = from < run_.fleet.core().size();
    const auto to = isController || run_.draw(2) == 0 ? drawController() : runners();
    const int machineToRecord = isController ? Disturbance::kCore : static_cast<int>(from - run_.fleet.core().size());
    recordDisturbance(machineToRecord);
    faults().reset(from, to);
    recordDisturbance(machineToRecord);
  }

  // --- faults that the checks must find ---

  // Slows down the clock of a random controller and partitions it. The controller need not be chosen by role: each
  // controller leads some replicated log from time to time.
  void slowDownClock() {
    constexpr int kClockDivisor = 50;
    const auto slow = drawController();
    auto others = controllers();
    std::erase(others, slow);
    faults().machine(slow).clockDivisor = kClockDivisor;
    losePacketsFor({slow}, others, true, run_.drawDuration(2500ms, 4000ms), Disturbance::kCore);
    faults().machine(slow).clockDivisor = 0;
  }
  void loseAllDisks() {
    sleepFor(std::chrono::seconds(run_.plan.seconds) * 2 / 3);
    recordDisturbance(Disturbance::kCore);
    for (const auto each : controllers())
      run_.supervisor->kill(each);
    for (const auto each : controllers())
      for (const auto& file :
           std::filesystem::directory_iterator(run_.fleet.folder() + "/core-" + std::to_string(each + 1)))
        std::filesystem::remove(file.path());
    recordDisturbance(Disturbance::kCore);
  }

  SoakRun& run_;
};
}  // namespace

void startFaults(SoakRun& run) {
  if (!run.faults)
    return;
  static std::unique_ptr<FaultSeries> faults;
  faults = std::make_unique<FaultSeries>(run);
  faults->start();
}
}  // namespace zinccleat::soak
