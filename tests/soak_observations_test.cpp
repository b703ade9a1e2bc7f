/// @file
/// Tests the rules that soak runs are checked against: a violation of each rule is reported, and allowed behaviour is
/// not.
#include <gtest/gtest.h>

#include <csignal>

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
Observations observationsWithoutViolation() {
  Observations observations;
  for (int i = 0; i < 60; ++i)
    observations.requests.push_back(answered("r" + std::to_string(i), kStart + 1s));
  observations.changes = {{1, {"t1"}, kStart, kStart + 50ms, false}};
  observations.finalVersion = 1;
  return observations;
}
std::string violatedRules(const Observations& observations) {
  std::string rules;
  for (const auto& violation : findViolations(observations))
    rules += violation.rule + " ";
  return rules;
}
}  // namespace

TEST(SoakObservations, ReportForHowLongTheRunItselfStoodStill) {
  Observations observations;
  const TimePoint start{1h};
  observations.ownStalls = {{start, start + 100ms}, {start + 200ms, start + 500ms}};
  EXPECT_EQ(observations.stalledBetween(start + 50ms, start + 300ms), 150ms);
  EXPECT_EQ(observations.stalledBetween(start + 500ms, start + 900ms), 0ms);
}
TEST(SoakObservations, AQuietRunBreaksNothing) {
  EXPECT_EQ(violatedRules(observationsWithoutViolation()), "");
}
TEST(SoakObservations, ARequestThatWasPassedOnMustBeAnswered) {
  auto observations = observationsWithoutViolation();
  auto lost = answered("lost", kStart + 9s);
  lost.end = RequestEnd::connectionClosed;
  lost.endedAt = lost.sentAt + 100ms;
  observations.requests.push_back(lost);
  EXPECT_EQ(violatedRules(observations), "") << "the connection may have been closed before the request arrived";
  observations.requests.back().endedAt = lost.sentAt + 300ms;
  EXPECT_EQ(violatedRules(observations), "LOST ");
  observations.requests.back() = lost;
  observations.executions["lost"] = {{"i1", kStart + 9s}};
  EXPECT_EQ(violatedRules(observations), "LOST ");
  observations.disturbances = {{kMachine, kStart + 8s, true}};
  EXPECT_EQ(violatedRules(observations), "LOST ") << "a planned disturbance does not permit lost requests";
  observations.disturbances = {{kMachine, kStart + 8s, false}};
  EXPECT_EQ(violatedRules(observations), "");
}
TEST(SoakObservations, NothingReachesARunnerLongAfterItLeft) {
  auto observations = observationsWithoutViolation();
  observations.requests.push_back(answered("late", kStart + 10s));
  observations.executions["late"] = {{"i1", kStart + 10s + 5ms}};
  observations.departures["i1"] = kStart + 8s;
  EXPECT_EQ(violatedRules(observations), "") << "the request was sent within the bound of the drain";
  observations.departures["i1"] = kStart + 8s - 1ms;
  EXPECT_EQ(violatedRules(observations), "DRAIN ");
  observations.disturbances = {{Disturbance::kCore, kStart + 9s, true}};
  EXPECT_EQ(violatedRules(observations), "") << "the access machine may have no connection to the core";
}
TEST(SoakObservations, NothingReachesAnEvacuatedZoneAfterItsBound) {
  auto observations = observationsWithoutViolation();
  observations.requests.push_back(answered("late", kStart + 10s));
  observations.executions["late"] = {{"i1", kStart + 10s}};
  observations.runnerZones["i1"] = "a";
  observations.evacuations = {{"a", kStart + 8s, std::nullopt}};
  EXPECT_EQ(violatedRules(observations), "") << "the request was executed within the bound of the evacuation";
  observations.evacuations[0].acknowledgedAt = kStart + 8s - 1ms;
  EXPECT_EQ(violatedRules(observations), "EVAC ");
  observations.evacuations[0].releasedAt = kStart + 9s;
  EXPECT_EQ(violatedRules(observations), "") << "the evacuation was released";
  observations.evacuations[0] = {"b", kStart + 7s, std::nullopt};
  EXPECT_EQ(violatedRules(observations), "") << "the runner is in another zone";
}
TEST(SoakObservations, WhatMayRunOnceRunsOnceAndARefusalIsTrue) {
  auto observations = observationsWithoutViolation();
  observations.requests.push_back(answered("a", kStart + 9s));
  observations.executions["a"] = {{"i1", kStart + 9s}, {"i2", kStart + 9s}};
  EXPECT_EQ(violatedRules(observations), "TWICE ");
  observations.executions["a"].pop_back();
  observations.requests.back().status = 503;
  EXPECT_EQ(violatedRules(observations), "REFUSED ");
  observations.requests.back() = answered("a", kStart + 9s);
  observations.requests.back().bodyMatches = false;
  EXPECT_EQ(violatedRules(observations), "MIXED ");
}
TEST(SoakObservations, ARouteIsThereWhileEveryPossibleConfigurationHasIt) {
  auto observations = observationsWithoutViolation();
  auto probe = answered("p", kStart + 5s, 404);
  probe.route = "t1";
  observations.requests.push_back(probe);
  EXPECT_EQ(violatedRules(observations), "CONFIG ");
  observations.changes.push_back({2, {}, kStart + 4s, kStart + 4s + 50ms, false});
  observations.finalVersion = 2;
  EXPECT_EQ(violatedRules(observations), "") << "the change that removes the route may be effective";
  observations.changes.back().refused = true;
  observations.changes.back().acknowledgedAt.reset();
  EXPECT_EQ(violatedRules(observations), "CONFIG ") << "a rejected change never becomes effective";
  observations.changes.back() = {2, {}, kStart + 2s, kStart + 2s + 50ms, false};
  EXPECT_EQ(violatedRules(observations), "");
  observations.requests.back().status = 200;
  EXPECT_EQ(violatedRules(observations), "CONFIG ") << "the route was removed long before";
}
TEST(SoakObservations, AKeyThatWasTakenAwayRunsNoLonger) {
  auto observations = observationsWithoutViolation();
  observations.changes[0].keys = {"k"};
  observations.changes.push_back({2, {"t1"}, kStart + 2s, kStart + 2s + 50ms, false, {}});
  observations.finalVersion = 2;
  auto keyed = answered("keyed", kStart + 9s);
  keyed.accessKey = "k";
  observations.requests.push_back(keyed);
  EXPECT_EQ(violatedRules(observations), "") << "it did not run";
  observations.executions["keyed"] = {{"i1", kStart + 9s, tenantOf("k")}};
  EXPECT_EQ(violatedRules(observations), "CONFIG CONFIG ") << "both bounds are over";
  observations.disturbances = {{kMachine, kStart + 8s, false}};
  EXPECT_EQ(violatedRules(observations), "CONFIG ") << "the bound of a revocation holds for every machine";
  observations.requests.back().sentAt = kStart + 7s;
  EXPECT_EQ(violatedRules(observations), "") << "sent within the bound";
  observations.requests.back().accessKey = "nobody's";
  observations.executions["keyed"][0].subscriber = tenantOf("nobody's");
  EXPECT_EQ(violatedRules(observations), "ROUTE ") << "no configuration ever had the key";
}
TEST(SoakObservations, AKeyThatIsThereIsNotRefused) {
  auto observations = observationsWithoutViolation();
  observations.changes[0].keys = {"k"};
  auto refused = answered("refused", kStart + 9s, 401);
  refused.accessKey = "k";
  observations.requests.push_back(refused);
  EXPECT_EQ(violatedRules(observations), "CONFIG ");
  observations.changes.push_back({2, {"t1"}, kStart + 8s, std::nullopt, false, {}});
  EXPECT_EQ(violatedRules(observations), "") << "the change that takes the key away may be effective";
}
TEST(SoakObservations, ARunnerSeesTheTenantAndNotTheKey) {
  auto observations = observationsWithoutViolation();
  observations.changes[0].keys = {"k"};
  auto keyed = answered("keyed", kStart + 9s);
  keyed.accessKey = "k";
  observations.requests.push_back(keyed);
  observations.executions["keyed"] = {{"i1", kStart + 9s, tenantOf("k"), false}};
  EXPECT_EQ(violatedRules(observations), "");
  observations.executions["keyed"] = {{"i1", kStart + 9s, tenantOf("k"), true}};
  EXPECT_EQ(violatedRules(observations), "UNASKED ");
  observations.executions["keyed"] = {{"i1", kStart + 9s, "", false}};
  EXPECT_EQ(violatedRules(observations), "UNASKED ");
}
TEST(SoakObservations, WhatWasAcknowledgedIsReadBack) {
  auto observations = observationsWithoutViolation();
  observations.finalVersion = 0;
  EXPECT_EQ(violatedRules(observations), "CONFIG ");
  observations.finalVersion.reset();
  EXPECT_EQ(violatedRules(observations), "CONFIG ");
}
TEST(SoakObservations, ProcessesEndOnlyWhenAskedAndInTime) {
  auto observations = observationsWithoutViolation();
  observations.exits = {{"proxy", 0, kStart, false, {}, kStart + 3s}, {"agent", 9, std::nullopt, true, {}, kStart}};
  EXPECT_EQ(violatedRules(observations), "");
  observations.exits[0].endedAt = kStart + 9s;
  EXPECT_EQ(violatedRules(observations), "Fault ") << "the process exited long after its grace period";
  observations.exits[0] = {"proxy", 0, std::nullopt, false, {}, kStart};
  EXPECT_EQ(violatedRules(observations), "Fault ") << "the process exited without SIGTERM";
  observations.exits.clear();
  observations.requests.resize(10);
  EXPECT_EQ(violatedRules(observations), "Fault ") << "the run has too few requests";
}
TEST(SoakObservations, AnEndByASignalIsExcusedOnlyBeforeTheProgramRuns) {
  auto observations = observationsWithoutViolation();
  ProcessExit exit{"agent", SIGHUP, std::nullopt, false, kStart, kStart + 5ms, "", true};
  observations.exits = {exit};
  EXPECT_EQ(violatedRules(observations), "") << "the dynamic linker was active";
  observations.exits[0].signalledBeforeProgram = false;
  EXPECT_EQ(violatedRules(observations), "Fault ");
  observations.exits[0] = exit;
  observations.exits[0].endedAt = kStart + 2s;
  EXPECT_EQ(violatedRules(observations), "Fault ") << "linking does not take so long";
  observations.exits[0] = exit;
  observations.exits[0].status = SIGSEGV;
  EXPECT_EQ(violatedRules(observations), "Fault ") << "a crash is never excused";
  observations.exits[0] = exit;
  observations.exits[0].status = 256;
  EXPECT_EQ(violatedRules(observations), "Fault ") << "the program ended by itself";
}
TEST(SoakObservations, AProcessKeepsWithinItsMemory) {
  auto observations = observationsWithoutViolation();
  observations.memoryLimitMb = {{"proxy", 220}};
  observations.peakMemoryMb = {{"proxy", 220}};
  EXPECT_EQ(violatedRules(observations), "");
  observations.peakMemoryMb = {{"proxy", 221}};
  EXPECT_EQ(violatedRules(observations), "Fault ");
}
