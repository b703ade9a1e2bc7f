/// @file
/// When a proxy takes a zone for unreachable, and what it sends there then.
#include <gtest/gtest.h>

#include "balancing/runner_pool.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
namespace {
const TimePoint kNow = TimePoint{} + std::chrono::hours(1);
using Attempts = std::vector<ZoneReachability::SilentAttempt>;
Attempts silentAt(const std::vector<int>& runners, TimePoint since) {
  Attempts attempts;
  for (const int runner : runners)
    attempts.push_back({"z1", runner, since});
  return attempts;
}
}  // namespace

TEST(ZoneReachability, ConnectionsToSeveralRunnersThatTimeOutMakeAZoneUnreachable) {
  ZoneReachability zones;
  EXPECT_FALSE(zones.recordTimeout("z1", 1, kNow));
  EXPECT_FALSE(zones.recordTimeout("z1", 1, kNow + 10ms)) << "the same runner";
  EXPECT_FALSE(zones.recordTimeout("z1", 2, kNow + 20ms));
  EXPECT_FALSE(zones.recordTimeout("z2", 3, kNow + 30ms)) << "another zone";
  EXPECT_TRUE(zones.recordTimeout("z1", 4, kNow + 40ms));
  EXPECT_TRUE(zones.isUnreachable("z1"));
  EXPECT_FALSE(zones.isUnreachable("z2"));
  EXPECT_FALSE(zones.recordTimeout("z1", 5, kNow + 50ms)) << "it is already";
  EXPECT_TRUE(zones.recordHeard("z1", kNow + 60ms));
  EXPECT_FALSE(zones.isUnreachable("z1"));
}
TEST(ZoneReachability, WhatIsHeardInBetweenClearsTheZone) {
  ZoneReachability zones;
  zones.recordTimeout("z1", 1, kNow);
  zones.recordTimeout("z1", 2, kNow);
  EXPECT_FALSE(zones.recordHeard("z1", kNow));
  EXPECT_FALSE(zones.recordTimeout("z1", 3, kNow)) << "single runners that are down";
}
TEST(ZoneReachability, TimeoutsFarApartDoNotAddUp) {
  ZoneReachability zones;
  zones.recordTimeout("z1", 1, kNow);
  zones.recordTimeout("z1", 2, kNow + 2s);
  EXPECT_FALSE(zones.recordTimeout("z1", 3, kNow + 4s));
}
TEST(ZoneReachability, ASilentZoneIsProbedBeforeAnythingFollows) {
  ZoneReachability zones;
  zones.recordHeard("z1", kNow);
  const auto later = kNow + ZoneReachability::kSilence;
  EXPECT_TRUE(zones.zonesToProbe(silentAt({1, 2, 3}, kNow), later - 1ms).empty());
  EXPECT_TRUE(zones.zonesToProbe(silentAt({1, 2, 2}, kNow), later).empty()) << "two runners";
  EXPECT_EQ(zones.zonesToProbe(silentAt({1, 2, 3}, kNow), later), (std::vector<std::string>{"z1"}));
  EXPECT_TRUE(zones.zonesToProbe(silentAt({1, 2, 3}, kNow), later + 1ms).empty()) << "it is under way";
  EXPECT_FALSE(zones.isUnreachable("z1"));
  EXPECT_TRUE(zones.recordProbeTimeout("z1"));
  EXPECT_TRUE(zones.isUnreachable("z1"));
}
TEST(ZoneReachability, AnUnreachableZoneIsProbedUntilItAnswers) {
  ZoneReachability zones;
  zones.recordProbeTimeout("z1");
  EXPECT_EQ(zones.zonesToProbe({}, kNow).size(), 1U);
  EXPECT_TRUE(zones.zonesToProbe({}, kNow + 100ms).empty());
  EXPECT_EQ(zones.zonesToProbe({}, kNow + ZoneReachability::kProbeInterval).size(), 1U);
  zones.recordHeard("z1", kNow + 2s);
  EXPECT_TRUE(zones.zonesToProbe({}, kNow + 10s).empty());
}
TEST(ZoneReachability, AProxyAvoidsAnUnreachableZoneButUsesItIfNothingElseIsLeft) {
  RunnerPool pool(7);
  std::vector<state_machine::Runner> runners;
  for (const auto* id : {"a1", "a2", "b1"}) {
    state_machine::Runner runner;
    runner.id = id, runner.service = "s", runner.address = std::string("10.0.0.1:") + id;
    runner.zone = std::string(1, id[0]), runner.capacity = 4;
    runners.push_back(runner);
  }
  pool.setRunners(runners, kNow);
  RunnerQuery query;
  query.service = "s", query.zone = "a";
  EXPECT_TRUE(pool.recordProbeTimeout("a"));
  for (int i = 0; i < 50; ++i)
    EXPECT_EQ(pool.at(pool.choose(query, kNow)).id, "b1");
  query.excluded = {2};
  EXPECT_GE(pool.choose(query, kNow), 0);
  EXPECT_GE(pool.anyRunnerIn("a"), 0);
  EXPECT_EQ(pool.anyRunnerIn("c"), -1);
  pool.recordHeard(0, kNow + 1s);
  query.excluded = {};
  EXPECT_EQ(pool.at(pool.choose(query, kNow + 1s)).zone, "a");
}
