/// @file
/// Seeded simulations of the coordination service under faults, checked against the rules in
/// `coordination_history.hpp`. Further simulations contain a deliberate bug in the service, which the checks must
/// detect.
///
/// The environment variables ZINCCLEAT_FROM and ZINCCLEAT_WORLDS set the first seed and the number of seeds.
#include <gtest/gtest.h>

#include "coordination_world.hpp"

using namespace zinccleat;
using namespace zinccleat::sim;
namespace {
const std::vector<std::string> kMachines = {"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.1.0.2", "10.2.0.2"};
constexpr Duration kCallPeriod{20'000};
constexpr Duration kReadBackTimeout{3000};

std::uint64_t fromEnvironment(const char* name, std::uint64_t defaultValue) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}
/// Injects random faults, some of which overlap, until the callers stop.
class FaultInjector {
 public:
  explicit FaultInjector(CoordinationWorld& world) : world_(world) {}
  void start(TimePoint until) {
    until_ = until;
    next();
  }
  /// Number of processes that were paused, each for 100 to 2,600 ms. A lease lasts 420 ms.
  std::size_t freezes() const { return freezes_; }

 private:
  std::string drawMachineIp() { return kMachines[world_.draw(kMachines.size())]; }
  /// Returns the leader in half of the cases, because faults of the leaseholder have the largest effect.
  std::string drawTarget() {
    const auto leader = world_.leader();
    return leader.empty() || world_.draw(2) == 0 ? drawMachineIp() : leader;
  }
  void next() {
    if (world_.now >= until_)
      return;
    world_.schedule(Duration(300 + world_.draw(1500)), [this] {
      if (world_.now < until_)
        injectFault();
      next();
    });
  }
  void scheduleAfter(Duration delay, std::function<void()> task) { world_.schedule(delay, std::move(task)); }
  Duration drawFaultDuration() { return Duration(100 + world_.draw(2500)); }
  void restart(const std::string& ip) {
    if (!world_.nodes[ip].up)
      world_.start(ip, kMachines, false);
  }
  void injectFault() {
    const auto ip = drawTarget();
    switch (world_.draw(10)) {
      case 0:
      case 1:  // pause a process, usually for longer than its lease
        ++freezes_;
        world_.nodes[ip].paused = true;
        return scheduleAfter(drawFaultDuration(), [this, ip] { world_.nodes[ip].paused = false; });
      case 2:
      case 3: {  // isolate a machine, in one or both directions
        const auto before = world_.cutLinks;
        world_.isolate(ip, world_.draw(2) == 0);
        return scheduleAfter(drawFaultDuration(), [this] { world_.cutLinks.clear(); });
      }
      case 4:  // split the cluster in two
        for (const auto& one : {kMachines[0], kMachines[1]})
          for (const auto& other : {kMachines[2], kMachines[3], kMachines[4]}) {
            world_.cutLinks.insert({one, other});
            world_.cutLinks.insert({other, one});
          }
        return scheduleAfter(drawFaultDuration(), [this] { world_.cutLinks.clear(); });
      case 5:
        if (world_.nodes[ip].up)
          world_.crash(ip);
        return scheduleAfter(Duration(50 + world_.draw(800)), [this, ip] { restart(ip); });
      case 6:  // power failure of all machines
        for (const auto& each : kMachines)
          if (world_.nodes[each].up)
            world_.crash(each);
        return scheduleAfter(Duration(50 + world_.draw(400)), [this] {
          for (const auto& each : kMachines)
            restart(each);
        });
      case 7:  // lose a disk, but only after the previously lost disk has been replaced
        if (world_.now - lastDiskLossAt_ < Duration(8000) || !world_.nodes[ip].up)
          return;
        lastDiskLossAt_ = world_.now;
        world_.crash(ip);
        world_.nodes[ip].disk.clear();
        return scheduleAfter(Duration(50 + world_.draw(300)), [this, ip] { restart(ip); });
      case 8:
        return slowDisks(ip);
      default:
        world_.leave(ip, Duration(1500));
        return scheduleAfter(Duration(2000), [this, ip] { restart(ip); });
    }
  }

  /// Makes the disk of one machine or of all machines slow for some time.
  void slowDisks(const std::string& one) {
    const bool all = world_.draw(2) == 0;
    const Duration syncTime(50 + world_.draw(1500));
    for (const auto& ip : kMachines)
      if (all || ip == one)
        world_.nodes[ip].syncTime = syncTime;
    scheduleAfter(drawFaultDuration(), [this] {
      for (const auto& ip : kMachines)
        world_.nodes[ip].syncTime = kDefaultSyncTime;
    });
  }

  CoordinationWorld& world_;
  TimePoint until_{};
  TimePoint lastDiskLossAt_{};
  std::size_t freezes_ = 0;
};
struct SimulationResult {
  std::vector<std::string> violations;
  std::size_t answered = 0;
  std::size_t freezes = 0;
};
SimulationResult runSimulation(std::uint64_t seed, PlantedFault planted) {
  CoordinationWorld world(seed, planted);
  world.startAll(kMachines);
  world.runFor(Duration(2000));
  const auto until = world.now + kCallPeriod;
  FaultInjector faults(world);
  faults.start(until);
  world.startCallers(6, until);
  world.runFor(kCallPeriod + Duration(3000));
  // End of the faults: all processes run and all links work.
  world.cutLinks.clear();
  for (const auto& ip : kMachines) {
    world.nodes[ip].paused = false;
    world.nodes[ip].syncTime = kDefaultSyncTime;
    if (!world.nodes[ip].up)
      world.start(ip, kMachines, false);
  }
  world.runFor(Duration(6000));
  SimulationResult result;
  for (const auto& name : world.readBack(kReadBackTimeout))
    result.violations.push_back("LOST: no answer after the end of the faults for " + name);
  for (auto& each : coordination_history::violationsIn(world.history()))
    result.violations.push_back(std::move(each));
  for (const auto& each : world.violations)
    result.violations.push_back(each);
  result.answered = world.answered();
  result.freezes = faults.freezes();
  return result;
}
std::string textOf(const std::vector<std::string>& lines) {
  std::string text;
  for (std::size_t i = 0; i < lines.size() && i < 5; ++i)
    text += lines[i] + "\n";
  return text;
}
}  // namespace

TEST(CoordinationWorlds, KeepTheRules) {
  const auto from = fromEnvironment("ZINCCLEAT_FROM", 1);
  const auto count = fromEnvironment("ZINCCLEAT_WORLDS", 25);
  std::size_t answered = 0;
  std::size_t freezes = 0;
  for (auto seed = from; seed < from + count; ++seed) {
    const auto result = runSimulation(seed, PlantedFault::noFault);
    EXPECT_TRUE(result.violations.empty())
        << "seed " << seed << ", replay with ZINCCLEAT_FROM=" << seed << " ZINCCLEAT_WORLDS=1\n"
        << textOf(result.violations);
    answered += result.answered;
    freezes += result.freezes;
  }
  RecordProperty("answered", static_cast<int>(answered));
  RecordProperty("freezes", static_cast<int>(freezes));
  EXPECT_GT(answered, count * 500) << "most calls must be answered despite the faults";
}

namespace {
struct PlantedFaultCase {
  PlantedFault fault;
  const char* name;
  std::vector<std::string> rules;  ///< the simulation must violate one of these rules
};
const PlantedFaultCase kPlantedFaultCases[] = {
    {PlantedFault::leaseIsNotChecked, "leaseIsNotChecked", {"STALE", "ORDER", "LOST"}},
    {PlantedFault::timeRunsFast, "timeRunsFast", {"ONE"}},
    {PlantedFault::answersBeforeCommit, "answersBeforeCommit", {"ONE", "ORDER", "STALE", "MIXED", "LOST"}},
    {PlantedFault::unknownIsRefused, "unknownIsRefused", {"REFUSED"}},
    {PlantedFault::watchIsNotFresh, "watchIsNotFresh", {"LOST"}},
    {PlantedFault::releaseIgnoresFence, "releaseIgnoresFence", {"ONE"}},
};
class PlantedFaults : public testing::TestWithParam<PlantedFaultCase> {};
}  // namespace

TEST_P(PlantedFaults, AreFound) {
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    for (const auto& violation : runSimulation(seed, GetParam().fault).violations)
      for (const auto& rule : GetParam().rules)
        if (violation.starts_with(rule))
          return;
  FAIL() << GetParam().name << " was not detected";
}
INSTANTIATE_TEST_SUITE_P(CoordinationWorlds, PlantedFaults, testing::ValuesIn(kPlantedFaultCases),
                         [](const auto& info) { return std::string(info.param.name); });
