/// @file
/// Tests the rules that soak runs are checked against: a violation of each rule is reported, and allowed behaviour is
/// not.
#include <gtest/gtest.h>

#include "soak/observations.hpp"

using namespace zinccleat;
using namespace zinccleat::soak;
namespace {
const TimePoint kStart = TimePoint{} + 1h;
constexpr int kMachine = 2;

ClientRequest answered(const std::string& id, TimePoint at, int status = 200) {
  return {id, RequestKind::unsafe, "", kMachine, at, at + 20ms, RequestEnd::answered, status, true};
}
/// Observations of a run without violations: enough requests were served and the newest configuration was read back.
Observations quietRun() {
  Observations seen;
  for (int i = 0; i < 60; ++i)
    seen.requests.push_back(answered("r" + std::to_string(i), kStart + 1s));
  seen.changes = {{1, {"t1"}, kStart, kStart + 50ms, false}};
  seen.finalVersion = 1;
  return seen;
}
std::string rulesBrokenBy(const Observations& seen) {
  std::string rules;
  for (const auto& violation : findViolations(seen))
    rules += violation.rule + " ";
  return rules;
}
}  // namespace

TEST(SoakObservations, AQuietRunBreaksNothing) {
  EXPECT_EQ(rulesBrokenBy(quietRun()), "");
}
TEST(SoakObservations, ARequestThatWasPassedOnMustBeAnswered) {
  auto seen = quietRun();
  auto lost = answered("lost", kStart + 9s);
  lost.end = RequestEnd::connectionClosed;
  lost.endedAt = lost.sentAt + 100ms;
  seen.requests.push_back(lost);
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the connection may have been closed before the request arrived";
  seen.requests.back().endedAt = lost.sentAt + 300ms;
  EXPECT_EQ(rulesBrokenBy(seen), "LOST ");
  seen.requests.back() = lost;
  seen.executions["lost"] = {{"i1", kStart + 9s}};
  EXPECT_EQ(rulesBrokenBy(seen), "LOST ");
  seen.disturbances = {{kMachine, kStart + 8s, true}};
  EXPECT_EQ(rulesBrokenBy(seen), "LOST ") << "a planned disturbance does not permit lost requests";
  seen.disturbances = {{kMachine, kStart + 8s, false}};
  EXPECT_EQ(rulesBrokenBy(seen), "");
}
TEST(SoakObservations, NothingReachesARunnerLongAfterItLeft) {
  auto seen = quietRun();
  seen.requests.push_back(answered("late", kStart + 10s));
  seen.executions["late"] = {{"i1", kStart + 10s + 5ms}};
  seen.departures["i1"] = kStart + 8s;
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the request was sent within the bound of the drain";
  seen.departures["i1"] = kStart + 8s - 1ms;
  EXPECT_EQ(rulesBrokenBy(seen), "DRAIN ");
  seen.disturbances = {{Disturbance::kCore, kStart + 9s, true}};
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the access machine may have no connection to the core";
}
TEST(SoakObservations, NothingReachesAnEvacuatedZoneAfterItsBound) {
  auto seen = quietRun();
  seen.requests.push_back(answered("late", kStart + 10s));
  seen.executions["late"] = {{"i1", kStart + 10s}};
  seen.runnerZones["i1"] = "a";
  seen.evacuations = {{"a", kStart + 8s, std::nullopt}};
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the request was executed within the bound of the evacuation";
  seen.evacuations[0].acknowledgedAt = kStart + 8s - 1ms;
  EXPECT_EQ(rulesBrokenBy(seen), "EVAC ");
  seen.evacuations[0].releasedAt = kStart + 9s;
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the evacuation was released";
  seen.evacuations[0] = {"b", kStart + 7s, std::nullopt};
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the runner is in another zone";
}
TEST(SoakObservations, WhatMayRunOnceRunsOnceAndARefusalIsTrue) {
  auto seen = quietRun();
  seen.requests.push_back(answered("a", kStart + 9s));
  seen.executions["a"] = {{"i1", kStart + 9s}, {"i2", kStart + 9s}};
  EXPECT_EQ(rulesBrokenBy(seen), "TWICE ");
  seen.executions["a"].pop_back();
  seen.requests.back().status = 503;
  EXPECT_EQ(rulesBrokenBy(seen), "REFUSED ");
  seen.requests.back() = answered("a", kStart + 9s);
  seen.requests.back().bodyMatches = false;
  EXPECT_EQ(rulesBrokenBy(seen), "MIXED ");
}
TEST(SoakObservations, ARouteIsThereWhileEveryPossibleConfigurationHasIt) {
  auto seen = quietRun();
  auto probe = answered("p", kStart + 5s, 404);
  probe.route = "t1";
  seen.requests.push_back(probe);
  EXPECT_EQ(rulesBrokenBy(seen), "CONFIG ");
  seen.changes.push_back({2, {}, kStart + 4s, kStart + 4s + 50ms, false});
  seen.finalVersion = 2;
  EXPECT_EQ(rulesBrokenBy(seen), "") << "the change that removes the route may be effective";
  seen.changes.back().refused = true;
  seen.changes.back().acknowledgedAt.reset();
  EXPECT_EQ(rulesBrokenBy(seen), "CONFIG ") << "a rejected change never becomes effective";
  seen.changes.back() = {2, {}, kStart + 2s, kStart + 2s + 50ms, false};
  EXPECT_EQ(rulesBrokenBy(seen), "");
  seen.requests.back().status = 200;
  EXPECT_EQ(rulesBrokenBy(seen), "CONFIG ") << "the route was removed long before";
}
TEST(SoakObservations, WhatWasAcknowledgedIsReadBack) {
  auto seen = quietRun();
  seen.finalVersion = 0;
  EXPECT_EQ(rulesBrokenBy(seen), "CONFIG ");
  seen.finalVersion.reset();
  EXPECT_EQ(rulesBrokenBy(seen), "CONFIG ");
}
TEST(SoakObservations, ProcessesEndOnlyWhenAskedAndInTime) {
  auto seen = quietRun();
  seen.exits = {{"proxy", 0, kStart, false, {}, kStart + 3s}, {"agent", 9, std::nullopt, true, {}, kStart}};
  EXPECT_EQ(rulesBrokenBy(seen), "");
  seen.exits[0].endedAt = kStart + 9s;
  EXPECT_EQ(rulesBrokenBy(seen), "Fault ") << "the process exited long after its grace period";
  seen.exits[0] = {"proxy", 0, std::nullopt, false, {}, kStart};
  EXPECT_EQ(rulesBrokenBy(seen), "Fault ") << "the process exited without SIGTERM";
  seen.exits.clear();
  seen.requests.resize(10);
  EXPECT_EQ(rulesBrokenBy(seen), "Fault ") << "the run has too few requests";
}
