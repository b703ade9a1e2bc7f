/// @file
/// Tests evacuations of zones: the API calls, the replicated state, and the runners that a proxy selects.
#include <gtest/gtest.h>

#include "balancing/runner_pool.hpp"
#include "fake_controller.hpp"
#include "proxy_daemon/zone_drains.hpp"

using namespace zinccleat;
using namespace zinccleat::controller_testing;
namespace {
const TimePoint kNow = TimePoint{} + std::chrono::hours(1);
const std::map<std::string, std::string> kZones{{"z1", "r"}, {"z2", "r"}, {"z3", "s"}};

struct Evacuation : testing::Test {
  Evacuation() {
    controller.configuredSettings.zones = kZones;
    pool.setRegions(kZones);
    pool.setRunners({runnerOf("i1", "z1"), runnerOf("i2", "z2")}, kNow);
  }
  static Runner runnerOf(const std::string& id, const std::string& zone) {
    Runner runner;
    runner.id = id, runner.service = "s", runner.address = "10.0.0.1:" + id, runner.zone = zone, runner.capacity = 4;
    return runner;
  }
  /// Applies the replicated state to the pool in the same way as a proxy.
  void applyStateToPool(TimePoint now = kNow) {
    const auto& state = controller.replica().state();
    auto levels = proxy_daemon::drainLevels(kZones, state.zoneDrains);
    proxy_daemon::addEvacuations(levels, kZones, state.evacuatedZones);
    pool.setZoneDrains(std::move(levels));
    pool.setEvacuations(state.evacuatedZones, now);
  }
  std::string chosenRunnerId(const std::string& zone, std::vector<int> excluded = {}) {
    balancing::RunnerQuery query;
    query.service = "s", query.zone = zone, query.excluded = std::move(excluded);
    const int index = pool.choose(query, kNow);
    return index < 0 ? "" : pool.at(index).id;
  }
  FakeController controller;
  balancing::RunnerPool pool{7};
};
}  // namespace

TEST_F(Evacuation, NothingIsSentToAnEvacuatedZoneEvenIfNothingElseIsLeft) {
  EXPECT_EQ(chosenRunnerId("z1"), "i1");
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  applyStateToPool();
  for (int i = 0; i < 100; ++i)
    EXPECT_EQ(chosenRunnerId("z1"), "i2");
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z2", "").status, HttpStatus::ok);
  applyStateToPool();
  EXPECT_EQ(chosenRunnerId("z1"), "") << "unlike a drain, an evacuation excludes runners even if no others are left";
  EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok);
  applyStateToPool();
  EXPECT_EQ(chosenRunnerId("z2"), "i1");
}
TEST_F(Evacuation, ARegionMeansAllItsZones) {
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/r", "").status, HttpStatus::ok);
  applyStateToPool();
  EXPECT_EQ(chosenRunnerId("z1"), "");
  EXPECT_EQ(controller.post("/v1/Evacuation.Release/r", "").status, HttpStatus::ok);
  applyStateToPool();
  EXPECT_EQ(chosenRunnerId("z2"), "i2");
}
TEST_F(Evacuation, AnOrderThatIsRepeatedIsAcknowledgedAgain) {
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  EXPECT_EQ(controller.replica().state().evacuatedZones, (std::vector<std::string>{"z1"}));
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok);
  EXPECT_TRUE(controller.replica().state().evacuatedZones.empty());
}
TEST_F(Evacuation, ADrainOfTheSameZoneIsBegunAndEndedApart) {
  EXPECT_EQ(controller.post("/v1/Closures.Set", R"({"place":"z1","share":100})").status, HttpStatus::ok);
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok);
  EXPECT_EQ(controller.replica().state().zoneDrains.size(), 1U);
}
TEST_F(Evacuation, AnUnknownZoneIsRefusedAndWithoutContactNothingIsAcknowledged) {
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z9", "").status, HttpStatus::bad_request);
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/", "").status, HttpStatus::bad_request);
  controller.hasContact = false;
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::service_unavailable);
  controller.hasContact = true;
  controller.commits = false;
  controller.waited = Duration(0);
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::service_unavailable);
  EXPECT_TRUE(controller.replica().state().evacuatedZones.empty());
  EXPECT_LE(controller.waited, 900ms) << "the caller's timeout is 1 s";
}
TEST_F(Evacuation, SnapshotsKeepIt) {
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  for (const auto& snapshot : {controller.replica().snapshot(), controller.replica().snapshotFor("")}) {
    state_machine::ReplicatedState restored;
    ASSERT_TRUE(restored.restore(snapshot));
    EXPECT_EQ(restored.state().evacuatedZones, (std::vector<std::string>{"z1"}));
  }
}

// Guards against review/2: a controller that stood still read the abandoned copy of a Release after it woke, and undid
// the evacuation that had been acknowledged since.
TEST_F(Evacuation, AnOrderWhoseCallerHasLeftIsNotCarriedOut) {
  for (const std::string path : {"/v1/Evacuation.Release/z1", "/v1/Evacuation.Begin/z2"}) {
    EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
    const auto written = controller.written.size();
    EXPECT_TRUE(controller.postAndLeave(path, "").closeWithoutResponse) << path;
    EXPECT_EQ(controller.written.size(), written) << path;
    EXPECT_EQ(controller.replica().state().evacuatedZones, (std::vector<std::string>{"z1"})) << path;
  }
}
// Guards against an order that its controller took in time, but that is applied after newer ones: the controller stood
// still before it wrote the order, or the log's entry was delayed or sent again.
TEST_F(Evacuation, AnOrderThatIsAppliedLateDoesNotUndoANewerOne) {
  const auto begin = [&] { EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok); };
  const auto release = [&] { EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok); };
  begin();
  controller.beforeWrite = [&] { release(), begin(); };
  EXPECT_TRUE(controller.postAndLeave("/v1/Evacuation.Release/z1", "", 1).closeWithoutResponse);
  EXPECT_EQ(controller.replica().state().evacuatedZones, (std::vector<std::string>{"z1"}));

  controller.beforeWrite = [&] { begin(), release(); };
  EXPECT_TRUE(controller.postAndLeave("/v1/Evacuation.Begin/z1", "", 1).closeWithoutResponse);
  EXPECT_TRUE(controller.replica().state().evacuatedZones.empty());
}
// Guards against positions that a restart or a new member lacks: a late order would follow an older one there.
TEST_F(Evacuation, ASnapshotKeepsWhichOrderIsTheNewest) {
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  controller.beforeWrite = [&] {
    EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok);
    EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
    const auto snapshot = controller.replica().snapshot();
    ASSERT_TRUE(controller.ownReplica.restore(snapshot));
    EXPECT_EQ(controller.replica().snapshot(), snapshot);
  };
  EXPECT_TRUE(controller.postAndLeave("/v1/Evacuation.Release/z1", "", 1).closeWithoutResponse);
  EXPECT_EQ(controller.replica().state().evacuatedZones, (std::vector<std::string>{"z1"}));
}
TEST_F(Evacuation, AnOrderWhoseCallerWaitsIsWrittenAgainBehindAnotherOne) {
  controller.beforeWrite = [&] { EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok); };
  EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok);
  EXPECT_TRUE(controller.replica().state().evacuatedZones.empty());
}
// Two copies of one order, of which the answer to the first was lost, are one order and both acknowledged.
TEST_F(Evacuation, ACopyThatIsAppliedFirstAcknowledgesTheOrder) {
  controller.beforeWrite = [&] { EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok); };
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  EXPECT_EQ(controller.replica().state().orders.newest("evacuation/z1").index, 1);
}
// A snapshot of a version without positions keeps the operation ids of orders, but not which of them is the newest.
TEST_F(Evacuation, OrdersAreTakenAfterASnapshotWithoutPositions) {
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  ASSERT_TRUE(controller.ownReplica.restore(controller.replica().snapshotFor("")));
  EXPECT_FALSE(controller.replica().state().orders.contains("evacuation/z1"));
  EXPECT_EQ(controller.post("/v1/Evacuation.Release/z1", "").status, HttpStatus::ok);
  EXPECT_TRUE(controller.replica().state().evacuatedZones.empty());
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  EXPECT_EQ(controller.replica().state().evacuatedZones, (std::vector<std::string>{"z1"}));
}
// An order that a controller of a version without positions wrote is newer than those before it.
TEST_F(Evacuation, AnOrderOfAnEarlierVersionMovesAKnownPosition) {
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  auto entry = zoneEvacuationEntry({"z1", false}, "an earlier version's/1");
  entry.index = ++controller.lastIndex;
  controller.ownReplica.apply(entry);
  EXPECT_EQ(controller.replica().state().orders.newest("evacuation/z1").index, 2);
  EXPECT_EQ(controller.post("/v1/Evacuation.Begin/z1", "").status, HttpStatus::ok);
  EXPECT_EQ(controller.replica().state().evacuatedZones, (std::vector<std::string>{"z1"}));
}
// The same for drains, whose orders have no version either.
TEST_F(Evacuation, ALateOrderOnADrainDoesNotUndoANewerOne) {
  const std::string path = "/v1/Closures.Set";
  const std::string drain = R"({"place":"z1","share":100})";
  const std::string end = R"({"place":"z1","open":true})";
  EXPECT_EQ(controller.post(path, drain).status, HttpStatus::ok);
  EXPECT_TRUE(controller.postAndLeave(path, end).closeWithoutResponse);
  EXPECT_EQ(controller.replica().state().zoneDrains.size(), 1U);
  controller.beforeWrite = [&] {
    EXPECT_EQ(controller.post(path, end).status, HttpStatus::ok);
    EXPECT_EQ(controller.post(path, drain).status, HttpStatus::ok);
  };
  EXPECT_TRUE(controller.postAndLeave(path, end, 1).closeWithoutResponse);
  EXPECT_EQ(controller.replica().state().zoneDrains.size(), 1U);
  EXPECT_EQ(controller.post(path, end).status, HttpStatus::ok);
  EXPECT_TRUE(controller.replica().state().zoneDrains.empty());
}
