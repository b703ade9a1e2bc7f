// Disk and network faults, in series that overlap with the operations on the fleet.
#include <filesystem>
#include <numeric>

#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
using Machines = std::vector<std::size_t>;
constexpr Duration kMostPause{2500};
constexpr Duration kMarkInterval{200};

class Faults {
 public:
  explicit Faults(SoakRun& run) : run_(run) {}
  void start() {
    if (run_.plan.disks)
      repeat([this] { harmDisk(); });
    if (run_.plan.cuts) {
      repeat([this] { cutController(); });
      repeat([this] { cutAccess(); });
      repeat([this] { resetConnections(); });
    }
    if (run_.plan.plantedFault == "slow-clock")
      repeat([this] { slowClock(); });
    if (run_.plan.plantedFault == "lost-disks")
      run_.spawn([this] { loseAllDisks(); });
  }

 private:
  static void sleepFor(Duration duration) { runtime::EventLoop::get().sleepFor(duration); }
  FaultControl& faults() { return *run_.faults; }
  void repeat(std::function<void()> series) {
    run_.spawn([this, series = std::move(series)] {
      while (run_.disturbancesActive) {
        sleepFor(run_.drawDuration(200ms, kMostPause));
        if (run_.disturbancesActive)
          series();
      }
    });
  }
  /// Waits for a duration, and records a disturbance of a machine every `kMarkInterval` meanwhile.
  void lastFor(Duration duration, int machine) {
    for (const auto end = Clock::now() + duration; Clock::now() < end; sleepFor(kMarkInterval))
      mark(machine);
    mark(machine);
  }
  void mark(int machine) { run_.observations.disturbances.push_back({machine, Clock::now(), false}); }
  Machines controllers() const {
    Machines all(run_.fleet.core().size());
    std::iota(all.begin(), all.end(), 0);
    return all;
  }
  std::size_t drawController() { return run_.draw(run_.fleet.core().size()); }
  /// Returns the index of an access machine in the fault table, where the controllers come first.
  std::size_t placeOf(int access) const { return run_.fleet.core().size() + static_cast<std::size_t>(access); }
  std::size_t runners() const { return placeOf(run_.plan.access); }

  // --- disks ---

  // Injects one disk fault. Only one disk stalls, is full or fails at a time; all disks may be slow together.
  void harmDisk() {
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
    lastFor(run_.drawDuration(300ms, 2000ms), Disturbance::kCore);
    for (const auto each : controllers()) {
      auto& harmed = faults().machine(each);
      harmed.syncMs = 0;
      harmed.stalled = 0;
      harmed.full = 0;
      harmed.refusedWrites = 0;
      harmed.refusedSyncs = 0;
    }
  }

  // --- links ---

  /// Loses packets from `one` to `other`, or both ways, for a duration, and records disturbances of `marked` meanwhile.
  void cutFor(const Machines& one, const Machines& other, bool bothWays, Duration duration, int marked) {
    faults().cut(one, other, true);
    if (bothWays)
      faults().cut(other, one, true);
    lastFor(duration, marked);
    faults().cut(one, other, false);
    faults().cut(other, one, false);
  }
  // Partitions one controller from the other controllers, or also from the access machines, in one or both directions.
  void cutController() {
    const Machines cut{drawController()};
    auto others = controllers();
    std::erase(others, cut.front());
    const bool fromAll = run_.draw(3) == 0;
    if (fromAll)
      for (int access = 0; access < run_.plan.access; ++access)
        others.push_back(placeOf(access));
    const bool bothWays = run_.draw(3) != 0;
    const bool inward = run_.draw(2) == 0;
    // Short faults only delay packets; longer faults cause elections.
    const auto duration = run_.draw(3) == 0 ? run_.drawDuration(30ms, 300ms) : run_.drawDuration(600ms, 2500ms);
    cutFor(inward ? others : cut, inward ? cut : others, bothWays, duration, Disturbance::kCore);
  }
  // Partitions one access machine from the controllers or from the runners.
  void cutAccess() {
    const int access = static_cast<int>(run_.draw(static_cast<std::uint64_t>(run_.plan.access)));
    const auto others = run_.draw(2) == 0 ? controllers() : Machines{runners()};
    cutFor({placeOf(access)}, others, run_.draw(3) != 0, run_.drawDuration(50ms, 1500ms), access);
  }
  void resetConnections() {
    const auto from = run_.draw(runners());
    const bool isController = from < run_.fleet.core().size();
    const auto to = isController || run_.draw(2) == 0 ? drawController() : runners();
    const int marked = isController ? Disturbance::kCore : static_cast<int>(from - run_.fleet.core().size());
    mark(marked);
    faults().reset(from, to);
    mark(marked);
  }

  // --- faults that the checks must find ---

  // Slows down the clock of a random controller and partitions it. The controller need not be chosen by role: each
  // controller leads some replicated log from time to time.
  void slowClock() {
    constexpr int kDivisor = 50;
    const auto slow = drawController();
    auto others = controllers();
    std::erase(others, slow);
    faults().machine(slow).clockDivisor = kDivisor;
    cutFor({slow}, others, true, run_.drawDuration(2500ms, 4000ms), Disturbance::kCore);
    faults().machine(slow).clockDivisor = 0;
  }
  void loseAllDisks() {
    sleepFor(std::chrono::seconds(run_.plan.seconds) * 2 / 3);
    mark(Disturbance::kCore);
    for (const auto each : controllers())
      run_.killProcess(each);
    for (const auto each : controllers())
      for (const auto& file :
           std::filesystem::directory_iterator(run_.fleet.folder() + "/core-" + std::to_string(each + 1)))
        std::filesystem::remove(file.path());
    mark(Disturbance::kCore);
  }

  SoakRun& run_;
};
}  // namespace

void startFaults(SoakRun& run) {
  if (!run.faults)
    return;
  static std::unique_ptr<Faults> faults;
  faults = std::make_unique<Faults>(run);
  faults->start();
}
}  // namespace zinccleat::soak
