/// @file
/// Seeded worlds of the coordination service under faults, checked by the rules of a history; and the same with faults
/// planted in the service, each of which must be found.
///
/// ZINCCLEAT_FROM and ZINCCLEAT_WORLDS in the environment choose other seeds and more of them.
#include <gtest/gtest.h>

#include "coordination_world.hpp"

using namespace zinccleat;
using namespace zinccleat::sim;
namespace {
const std::vector<std::string> kMachines = {"10.1.0.1", "10.2.0.1", "10.3.0.1", "10.1.0.2", "10.2.0.2"};
constexpr Duration kCalling{20'000};
constexpr Duration kReadBack{3000};

std::uint64_t fromEnvironment(const char* name, std::uint64_t usual) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : usual;
}
/// Faults in turn, some of which overlap, until the callers end.
class Faults {
 public:
  explicit Faults(CoordinationWorld& world) : world_(world) {}
  void start(TimePoint until) {
    until_ = until;
    next();
  }
  /// How many processes were frozen, for 100 to 2,600 ms each; a lease lasts 420.
  std::size_t freezes() const { return freezes_; }

 private:
  std::string drawMachine() { return kMachines[world_.draw(kMachines.size())]; }
  /// The leaseholder half of the time: what hits it matters most.
  std::string drawTarget() {
    const auto leader = world_.leader();
    return leader.empty() || world_.draw(2) == 0 ? drawMachine() : leader;
  }
  void next() {
    if (world_.now >= until_)
      return;
    world_.schedule(Duration(300 + world_.draw(1500)), [this] {
      if (world_.now < until_)
        strike();
      next();
    });
  }
  void later(Duration delay, std::function<void()> task) { world_.schedule(delay, std::move(task)); }
  Duration drawSpan() { return Duration(100 + world_.draw(2500)); }
  void restart(const std::string& ip) {
    if (!world_.nodes[ip].up)
      world_.start(ip, kMachines, false);
  }
  void strike() {
    const auto ip = drawTarget();
    switch (world_.draw(10)) {
      case 0:
      case 1:  // frozen, and thawed again, mostly past its lease
        ++freezes_;
        world_.nodes[ip].paused = true;
        return later(drawSpan(), [this, ip] { world_.nodes[ip].paused = false; });
      case 2:
      case 3: {  // cut off, in one direction or both
        const auto before = world_.cutLinks;
        world_.isolate(ip, world_.draw(2) == 0);
        return later(drawSpan(), [this] { world_.cutLinks.clear(); });
      }
      case 4:  // two halves
        for (const auto& one : {kMachines[0], kMachines[1]})
          for (const auto& other : {kMachines[2], kMachines[3], kMachines[4]}) {
            world_.cutLinks.insert({one, other});
            world_.cutLinks.insert({other, one});
          }
        return later(drawSpan(), [this] { world_.cutLinks.clear(); });
      case 5:
        if (world_.nodes[ip].up)
          world_.crash(ip);
        return later(Duration(50 + world_.draw(800)), [this, ip] { restart(ip); });
      case 6:  // power lost everywhere
        for (const auto& each : kMachines)
          if (world_.nodes[each].up)
            world_.crash(each);
        return later(Duration(50 + world_.draw(400)), [this] {
          for (const auto& each : kMachines)
            restart(each);
        });
      case 7:  // a disk lost; the next one only once this one is replaced
        if (world_.now - lastWipe_ < Duration(8000) || !world_.nodes[ip].up)
          return;
        lastWipe_ = world_.now;
        world_.crash(ip);
        world_.nodes[ip].disk.clear();
        return later(Duration(50 + world_.draw(300)), [this, ip] { restart(ip); });
      case 8:
        return slowDisks(ip);
      default:
        world_.leave(ip, Duration(1500));
        return later(Duration(2000), [this, ip] { restart(ip); });
    }
  }

  /// The disk of one machine or of all is slow for a while.
  void slowDisks(const std::string& one) {
    const bool all = world_.draw(2) == 0;
    const Duration syncTime(50 + world_.draw(1500));
    for (const auto& ip : kMachines)
      if (all || ip == one)
        world_.nodes[ip].syncTime = syncTime;
    later(drawSpan(), [this] {
      for (const auto& ip : kMachines)
        world_.nodes[ip].syncTime = kDefaultSyncTime;
    });
  }

  CoordinationWorld& world_;
  TimePoint until_{};
  TimePoint lastWipe_{};
  std::size_t freezes_ = 0;
};
struct Played {
  std::vector<std::string> violations;
  std::size_t answered = 0;
  std::size_t freezes = 0;
};
Played play(std::uint64_t seed, PlantedFault planted) {
  CoordinationWorld world(seed, planted);
  world.startAll(kMachines);
  world.runFor(Duration(2000));
  const auto until = world.now + kCalling;
  Faults faults(world);
  faults.start(until);
  world.startCallers(6, until);
  world.runFor(kCalling + Duration(3000));
  // The faults are over: everything runs and is connected.
  world.cutLinks.clear();
  for (const auto& ip : kMachines) {
    world.nodes[ip].paused = false;
    world.nodes[ip].syncTime = kDefaultSyncTime;
    if (!world.nodes[ip].up)
      world.start(ip, kMachines, false);
  }
  world.runFor(Duration(6000));
  Played played;
  for (const auto& name : world.readBack(kReadBack))
    played.violations.push_back("LOST: at the end no answer for " + name);
  for (auto& each : coordination_history::violationsIn(world.history()))
    played.violations.push_back(std::move(each));
  for (const auto& each : world.violations)
    played.violations.push_back(each);
  played.answered = world.answered();
  played.freezes = faults.freezes();
  return played;
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
    const auto played = play(seed, PlantedFault::nothing);
    EXPECT_TRUE(played.violations.empty())
        << "seed " << seed << ", replay with ZINCCLEAT_FROM=" << seed << " ZINCCLEAT_WORLDS=1\n"
        << textOf(played.violations);
    answered += played.answered;
    freezes += played.freezes;
  }
  RecordProperty("answered", static_cast<int>(answered));
  RecordProperty("freezes", static_cast<int>(freezes));
  EXPECT_GT(answered, count * 500) << "most calls are answered in between";
}

namespace {
struct Planted {
  PlantedFault fault;
  const char* name;
  std::vector<std::string> rules;  ///< one of which it breaks
};
const Planted kPlanted[] = {
    {PlantedFault::leaseIsNotChecked, "leaseIsNotChecked", {"STALE", "ORDER", "LOST"}},
    {PlantedFault::timeRunsFast, "timeRunsFast", {"ONE"}},
    {PlantedFault::answersBeforeCommit, "answersBeforeCommit", {"ONE", "ORDER", "STALE", "MIXED", "LOST"}},
    {PlantedFault::unknownIsRefused, "unknownIsRefused", {"REFUSED"}},
    {PlantedFault::watchIsNotFresh, "watchIsNotFresh", {"LOST"}},
    {PlantedFault::releaseIgnoresFence, "releaseIgnoresFence", {"ONE"}},
};
class PlantedFaults : public testing::TestWithParam<Planted> {};
}  // namespace

TEST_P(PlantedFaults, AreFound) {
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    for (const auto& violation : play(seed, GetParam().fault).violations)
      for (const auto& rule : GetParam().rules)
        if (violation.starts_with(rule))
          return;
  FAIL() << GetParam().name << " was not found";
}
INSTANTIATE_TEST_SUITE_P(CoordinationWorlds, PlantedFaults, testing::ValuesIn(kPlanted),
                         [](const auto& info) { return std::string(info.param.name); });
