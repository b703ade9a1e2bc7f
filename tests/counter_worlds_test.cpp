/// @file
/// Seeded simulations of replicated counters under faults; `counter_world.hpp` describes the faults and the checks.
/// Further simulations contain a deliberate bug in the service, which the checks must detect.
///
/// To run more seeds: `ZINCCLEAT_FROM=1000 ZINCCLEAT_WORLDS=1000 target/zinccleat_tests
/// --gtest_filter='CounterWorlds.*'`
#include <gtest/gtest.h>

#include <cstdlib>

#include "counter_world.hpp"

using namespace zinccleat;
using namespace zinccleat::counter_world;
namespace {
std::uint64_t fromEnvironment(const char* name, std::uint64_t defaultValue) {
  const char* text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}
bool isFound(PlantedFault planted) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CounterWorld world(seed, planted);
    world.play();
    if (!world.violations().empty())
      return true;
  }
  return false;
}
}  // namespace

TEST(CounterWorlds, KeepTheRules) {
  const auto from = fromEnvironment("ZINCCLEAT_FROM", 1);
  const auto count = fromEnvironment("ZINCCLEAT_WORLDS", 40);
  std::size_t acknowledged = 0;
  std::size_t partitions = 0;
  std::size_t lostDisks = 0;
  std::size_t freezes = 0;
  for (auto seed = from; seed < from + count; ++seed) {
    CounterWorld world(seed, PlantedFault::noFault);
    world.play();
    acknowledged += world.acknowledged();
    partitions += world.partitions();
    lostDisks += world.lostDisks();
    freezes += world.freezes();
    for (const auto& violation : world.violations())
      ADD_FAILURE() << violation;
  }
  EXPECT_GT(acknowledged, 400 * count);
  EXPECT_GT(partitions, count);
  EXPECT_GT(lostDisks, count);
  EXPECT_GT(freezes, count);
  std::printf("%zu acknowledged, %zu partitions, %zu lost disks, %zu freezes in %llu worlds\n", acknowledged,
              partitions, lostDisks, freezes, static_cast<unsigned long long>(count));
}
TEST(CounterWorlds, AnIdThatIsNotKeptIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::idsAreCountedPerMachine));
}
TEST(CounterWorlds, AnOriginThatIsReusedIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::originIsReused));
}
TEST(CounterWorlds, ATransferThatDropsAnIncrementIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::transferDropsOne));
}
TEST(CounterWorlds, AnAcknowledgementOnOneDiskIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::acknowledgesAlone));
}
TEST(CounterWorlds, AReadBeforeCatchingUpIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::readsBeforeCatchUp));
}
// Both guard against review/3: silent peers were taken for cut-off ones, so increments were acknowledged on one disk.
TEST(CounterWorlds, ARefusalTakenForAPartitionIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::refusalCountsAsSilence));
}
TEST(CounterWorlds, AProcessThatStandsStillTakenForAPartitionIsFound) {
  EXPECT_TRUE(isFound(PlantedFault::acceptanceCountsAsSilence));
}
// Guards against increments that wait for copies which a partition prevents.
TEST(CounterWorlds, OnBothSidesOfAPartitionIncrementsAreInTime) {
  constexpr Duration kTargetLatency{60};
  constexpr double kMaxLateShare = 0.02;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CounterWorld world(seed, PlantedFault::noFault);
    world.playOnePartition();
    for (const bool isolated : {true, false})
      EXPECT_LE(world.lateShareDuringPartition(kTargetLatency, isolated), kMaxLateShare)
          << "seed " << seed << (isolated ? ", in the isolated zone" : ", in the other zones");
    for (const auto& violation : world.violations())
      ADD_FAILURE() << violation;
  }
}
// Guards against one slow disk delaying increments of the whole fleet. With 50 ms per sync (100 ms per write) on one
// controller's disk, a quarter of all increments were late, for three reasons: each increment waited for the disk of
// the machine that accepted it, peers were chosen only by zone and hash, and a transfer that arrived during a write was
// reported up to one report interval late.
TEST(CounterWorlds, OneSlowDiskMakesNoMoreIncrementsLate) {
  constexpr Duration kTargetLatency{60};
  constexpr double kMaxLateShare = 0.02;
  for (const auto slowSync : {50ms, 100ms, 400ms, 3000ms})
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      CounterWorld healthy(seed, PlantedFault::noFault);
      healthy.playWithoutFaults(Duration(0));
      CounterWorld slow(seed, PlantedFault::noFault);
      slow.playWithoutFaults(slowSync);
      EXPECT_LE(slow.lateShare(kTargetLatency), healthy.lateShare(kTargetLatency) + kMaxLateShare)
          << slowSync.count() << " ms, seed " << seed << ", with healthy disks " << healthy.lateShare(kTargetLatency);
      EXPECT_LE(healthy.lateShare(kTargetLatency), kMaxLateShare) << "seed " << seed;
    }
}
