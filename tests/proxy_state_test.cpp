// Tests how the proxy's daemon applies the replicated state, and what it reports about its machine.
#include <gtest/gtest.h>

#include "proxy_daemon/node_report.hpp"
#include "proxy_daemon/partner_lookup.hpp"
#include "proxy_daemon/state_adoption.hpp"
#include "replica_fixtures.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy_daemon;
using namespace zinccleat::replica_fixtures;

namespace {
using Zones = std::set<std::string>;
const ZoneToRegion kZones{{"z1", "north"}, {"z2", "north"}, {"z3", "south"}};

state_machine::ZoneDrain drainOf(const std::string& zone, int percent, bool notAccepting = false) {
  state_machine::ZoneDrain drain;
  drain.zone = zone;
  drain.drainPercent = percent;
  drain.notAccepting = notAccepting;
  return drain;
}
state_machine::Runner runnerIn(const std::string& zone) {
  state_machine::Runner runner;
  runner.id = "i-" + zone, runner.service = "s", runner.address = "127.0.0.1:80", runner.zone = zone;
  return runner;
}
transport::LeaseResponse ejectionsOf(std::int64_t version, const std::string& runner) {
  transport::LeaseResponse response;
  response.outliersVersion = version;
  response.outliers.push_back({.runner = runner, .level = 1});
  return response;
}
struct StateAdoptionTest : testing::Test {
  proxy::ProxyContext context;
  state_machine::StateContents state;
  StateAdoption adoption{context, kZones};
  StateAdoptionTest() { context.zone = "z1"; }
};
}  // namespace

TEST(ZoneDrains, ANameMeansAZoneOrARegion) {
  EXPECT_EQ(zonesMatching(kZones, "z1"), (Zones{"z1"}));
  EXPECT_EQ(zonesMatching(kZones, "north"), (Zones{"z1", "z2"}));
  EXPECT_EQ(zonesMatching(kZones, "west"), Zones{});
}
TEST(ZoneDrains, OfZoneAndRegionTheStricterCounts) {
  const auto levels = drainLevels(kZones, {drainOf("z1", 30, true), drainOf("north", 50), drainOf("west", 100)});
  ASSERT_EQ(levels.size(), 2U);
  EXPECT_EQ(levels.at("z1").drainPercent, 50);
  EXPECT_TRUE(levels.at("z1").migrateStreams);
  EXPECT_EQ(levels.at("z2").drainPercent, 50);
  EXPECT_FALSE(levels.at("z2").migrateStreams);
}

TEST_F(StateAdoptionTest, OnlyWhatChangedIsAdopted) {
  state.runners = {runnerIn("z1")};
  state.zoneDrains = {drainOf("z1", 100, true)};
  state.configuration = configurationText(1, 1);
  EXPECT_FALSE(adoption.adopt(state, {}));
  EXPECT_EQ(context.runners.size(), 0U);
  EXPECT_FALSE(context.zoneDraining);
  EXPECT_FALSE(context.configuration);

  EXPECT_TRUE(adoption.adopt(state, {.configuration = true, .runners = true, .zoneDrains = true}));
  EXPECT_EQ(context.runners.size(), 1U);
  EXPECT_TRUE(context.zoneDraining);
  EXPECT_EQ(context.configuration->version, 1);
}
TEST_F(StateAdoptionTest, RequestsInFlightKeepTheirConfiguration) {
  state.configuration = configurationText(1, 1);
  adoption.adopt(state, {.configuration = true});
  const auto ofRequest = context.configuration;
  state.configuration = configurationText(2, 1);
  EXPECT_TRUE(adoption.adopt(state, {.configuration = true}));
  EXPECT_EQ(ofRequest->version, 1);
  EXPECT_EQ(context.configuration->version, 2);
}
TEST_F(StateAdoptionTest, AnUnreadableConfigurationLeavesTheEarlierOne) {
  state.configuration = configurationText(1, 1);
  adoption.adopt(state, {.configuration = true});
  state.configuration = "no configuration";
  EXPECT_FALSE(adoption.adopt(state, {.configuration = true}));
  EXPECT_EQ(context.configuration->version, 1);
  state.configuration = "";
  EXPECT_FALSE(adoption.adopt(state, {.configuration = true}));
  EXPECT_EQ(context.configuration->version, 1);
}
TEST_F(StateAdoptionTest, ADrainOfAnotherZoneLeavesThisOneOpen) {
  state.zoneDrains = {drainOf("z2", 100, true), drainOf("z1", 40, false)};
  adoption.adopt(state, {.zoneDrains = true});
  EXPECT_FALSE(context.zoneDraining);
  state.zoneDrains = {drainOf("north", 100, true)};
  adoption.adopt(state, {.zoneDrains = true});
  EXPECT_TRUE(context.zoneDraining);
  state.zoneDrains = {};
  adoption.adopt(state, {.zoneDrains = true});
  EXPECT_FALSE(context.zoneDraining);
}
TEST_F(StateAdoptionTest, ARunnerThatJoinsMayBeEjectedAlready) {
  adoption.adoptEjections(ejectionsOf(4, "i-z1"));
  state.runners = {runnerIn("z1")};
  adoption.adopt(state, {.runners = true});
  EXPECT_EQ(context.runners.at(0).ejected, 1);
  EXPECT_EQ(adoption.ejectionsVersion(), 4);
}
TEST_F(StateAdoptionTest, EjectionsChangeWithTheirVersionOnly) {
  state.runners = {runnerIn("z1")};
  adoption.adopt(state, {.runners = true});
  adoption.adoptEjections(ejectionsOf(4, "i-z1"));
  adoption.adoptEjections(ejectionsOf(4, "i-other"));
  EXPECT_EQ(context.runners.at(0).ejected, 1) << "a list of this version was applied before";
  adoption.adoptEjections(ejectionsOf(0, "i-other"));
  EXPECT_EQ(context.runners.at(0).ejected, 1) << "version 0 means that the response has no list";
  adoption.adoptEjections(ejectionsOf(5, "i-other"));
  EXPECT_EQ(context.runners.at(0).ejected, 0);
}

TEST(RequestRate, IsMeasuredAnewAfterTheInterval) {
  RequestRate rate(kNow);
  EXPECT_EQ(rate.update(kNow + 900ms, 900), 0) << "no new measurement before the interval has passed";
  EXPECT_DOUBLE_EQ(rate.update(kNow + 1000ms, 500), 500);
  EXPECT_DOUBLE_EQ(rate.update(kNow + 1400ms, 9000), 500);
  EXPECT_DOUBLE_EQ(rate.update(kNow + 3000ms, 900), 200);
}
TEST(NodeReport, ContainsTheLoadOfTheMachineAndOfEachDrain) {
  proxy::ProxyContext context;
  context.zone = "z1";
  context.runners.setRunners({runnerIn("z1"), runnerIn("z3")});
  context.runners.attemptStarted(0, 10);
  context.runners.attemptStarted(1, 10);
  context.runners.attemptStarted(1, 10);
  context.inFlight = 5;
  context.served = 300;
  context.rejected = 100;
  NodeReport report(context, kZones, kNow);

  transport::LeaseRequest request;
  report.fill(request, kNow + 2s, {drainOf("north", 10), drainOf("z3", 10)});

  ASSERT_EQ(request.load.size(), 3U);
  EXPECT_EQ(request.load[0].zone, "");
  EXPECT_DOUBLE_EQ(request.load[0].runnerRequests, 200);
  EXPECT_EQ(request.load[1].zone, "north");
  EXPECT_EQ(request.load[1].runnerRequests, 1);
  EXPECT_EQ(request.load[1].proxyRequests, 5);
  EXPECT_EQ(request.load[2].zone, "z3");
  EXPECT_EQ(request.load[2].runnerRequests, 2);
  EXPECT_EQ(request.load[2].proxyRequests, 0) << "this proxy is in another zone";
}

TEST(RecentPrefixes, CountForTwentySeconds) {
  RecentPrefixes prefixes;
  EXPECT_FALSE(prefixes.contains(7, kNow));
  prefixes.record(7, kNow);
  EXPECT_TRUE(prefixes.contains(7, kNow + 19999ms));
  EXPECT_FALSE(prefixes.contains(7, kNow + 20s));
  EXPECT_FALSE(prefixes.contains(8, kNow));
}
TEST(RecentPrefixes, AllAreForgottenBeyondTheCapacity) {
  RecentPrefixes prefixes;
  for (std::uint64_t prefix = 0; prefix < RecentPrefixes::kCapacity; ++prefix)
    prefixes.record(prefix, kNow);
  EXPECT_TRUE(prefixes.contains(0, kNow));
  prefixes.record(RecentPrefixes::kCapacity, kNow);
  EXPECT_FALSE(prefixes.contains(0, kNow));
}
