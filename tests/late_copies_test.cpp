/// @file
/// Tests that a late copy of a call has no effect after the same call was sent again and a newer one was acknowledged,
/// for each order of two: the caller has left when the copy is read, or leaves before the copy is applied. Repeated
/// calls, and new calls like old ones, must have their effect. docs/rules.md lists what recognizes a late copy.
#include <gtest/gtest.h>

#include "fake_controller.hpp"

using namespace zinccleat;
using namespace zinccleat::controller_testing;
namespace {
struct Order {
  std::string path;
  std::string body;
};
struct LateCopies : testing::Test {
  LateCopies() {
    controller.configuredSettings.zones = {{"z1", "r"}, {"z2", "r"}};
    auto entry = configurationEntry(
        0, 1, R"({"configVersion":1,"routeTable":[],"serviceTable":[{"label":"s"}],"subscribers":[]})", "operator/1");
    entry.index = ++controller.lastIndex;
    controller.ownReplica.apply(entry);
  }
  void acknowledge(const Order& order) { EXPECT_EQ(controller.post(order.path, order.body).status, HttpStatus::ok); }
  /// What the orders have changed, without positions and operation ids.
  std::string effects() const {
    const auto& state = controller.replica().state();
    std::string text;
    for (const auto& zone : state.evacuatedZones)
      text += zone + " evacuated; ";
    for (const auto& drain : state.zoneDrains)
      text += drain.zone + " drained by " + std::to_string(drain.drainPercent) + "; ";
    for (const auto& rollout : state.rollouts)
      text += rollout.service + " to " + rollout.revision + ", phase " + std::to_string(rollout.phaseNumber) + "; ";
    return text;
  }
  void leaveBefore(const Order& late) { (void)controller.postAndLeave(late.path, late.body); }
  /// The copy is taken in time, but written after the newer orders, when its caller has left.
  void leaveAfterTheWriteBegan(const Order& late, const std::function<void()>& newerOrders) {
    controller.beforeWrite = newerOrders;
    (void)controller.postAndLeave(late.path, late.body, 1);
    controller.beforeWrite = {};
  }
  void endRollout(const std::string& revision, RolloutPhase phase) {
    Rollout rollout = *controller.replica().rollout("s");
    EXPECT_EQ(rollout.revision, revision);
    rollout.setPhase(phase);
    (void)controller.write(rolloutProgressEntry(rollout, controller.nextOperationId()), 1s);
  }
  FakeController controller;
};
const std::vector<Order> kZoneOrders = {{"/v1/Evacuation.Begin/z1", ""},
                                        {"/v1/Evacuation.Release/z1", ""},
                                        {"/v1/Evacuation.Begin/r", ""},
                                        {"/v1/Evacuation.Release/r", ""},
                                        {"/v1/Closures.Set", R"({"place":"z1","share":10})"},
                                        {"/v1/Closures.Set", R"({"place":"z1","share":100})"},
                                        {"/v1/Closures.Set", R"({"place":"z1","open":true})"}};
Order beginOf(const std::string& revision) {
  return {"/v1/Rollouts.Begin", R"({"targetService":"s","targetRevision":")" + revision + R"(","durationS":12})"};
}
const Order kRevert = {"/v1/Rollouts.Revert", R"({"targetService":"s"})"};
}  // namespace

TEST_F(LateCopies, OrdersOnZonesInEachOrderOfTwo) {
  for (const auto& older : kZoneOrders)
    for (const auto& newer : kZoneOrders) {
      const auto names = older.path + older.body + " late, after " + newer.path + newer.body;
      const auto repeatAndSupersede = [&] {
        acknowledge(older);
        acknowledge(newer);
      };
      repeatAndSupersede();
      const auto expected = effects();
      leaveBefore(older);
      EXPECT_EQ(effects(), expected) << names << ", read late";
      leaveAfterTheWriteBegan(older, repeatAndSupersede);
      EXPECT_EQ(effects(), expected) << names << ", written late";
    }
}
// A rollout that is over could be begun again by a late copy of its order, after another one that came later.
TEST_F(LateCopies, ARolloutThatIsOverIsNotBegunAgain) {
  const auto otherRollout = [&] {
    acknowledge(beginOf("v3"));
    endRollout("v3", RolloutPhase::completed);
  };
  acknowledge(beginOf("v2"));
  endRollout("v2", RolloutPhase::reverted);
  otherRollout();
  const auto expected = effects();
  leaveBefore(beginOf("v2"));
  EXPECT_EQ(effects(), expected);
  leaveAfterTheWriteBegan(beginOf("v2"), [&] {
    acknowledge(beginOf("v2"));
    endRollout("v2", RolloutPhase::reverted);
    otherRollout();
  });
  EXPECT_EQ(effects(), expected);
  acknowledge(beginOf("v2"));
  EXPECT_EQ(controller.replica().rollout("s")->revision, "v2") << "a new order like an old one";
  EXPECT_TRUE(controller.replica().rollout("s")->inProgress());
}
// A late copy of a Revert named only the service, and would revert the rollout that has begun since.
TEST_F(LateCopies, ARevertDoesNotRevertTheNextRollout) {
  acknowledge(beginOf("v2"));
  acknowledge(kRevert);
  acknowledge(beginOf("v3"));
  leaveBefore(kRevert);
  EXPECT_TRUE(controller.replica().rollout("s")->inProgress());
  endRollout("v3", RolloutPhase::completed);
  acknowledge(beginOf("v2"));
  leaveAfterTheWriteBegan(kRevert, [&] {
    acknowledge(kRevert);
    acknowledge(beginOf("v3"));
  });
  EXPECT_EQ(controller.replica().rollout("s")->revision, "v3");
  EXPECT_TRUE(controller.replica().rollout("s")->inProgress());
  acknowledge(kRevert);
  acknowledge(kRevert);
  EXPECT_EQ(controller.replica().rollout("s")->phase(), RolloutPhase::reverted);
}
// Two different orders that follow the same one: only the first is begun, and the other is not told that it was.
TEST_F(LateCopies, AnOrderThatLostToAnotherIsNotAcknowledged) {
  controller.beforeWrite = [&] { acknowledge(beginOf("v3")); };
  EXPECT_EQ(controller.post(beginOf("v2").path, beginOf("v2").body).status, HttpStatus::conflict);
  EXPECT_EQ(controller.replica().rollout("s")->revision, "v3");
}
// A runner that has ended could join again by a late heartbeat, and push out the runner that has got its address.
TEST_F(LateCopies, AHeartbeatDoesNotBringARunnerBack) {
  EXPECT_EQ(controller.heartbeat("i-old", 5).status, HttpStatus::ok);
  EXPECT_EQ(controller.heartbeat("i-new", 1).status, HttpStatus::ok);
  const std::string body =
      R"({"targetService":"s","address":"10.0.1.1:80","zone":"z","capacity":4,"state":"in_service","sequence":4})";
  const auto heartbeats = controller.heartbeats.size();
  EXPECT_TRUE(controller.postAndLeave("/v1/Instances.Heartbeat/i-old", body).closeWithoutResponse);
  EXPECT_EQ(controller.replica().runner("i-old"), nullptr);
  EXPECT_NE(controller.replica().runner("i-new"), nullptr);
  EXPECT_EQ(controller.heartbeats.size(), heartbeats) << "a late heartbeat is no sign of life";
}
TEST_F(LateCopies, ADrainOfARunnerThatDoesNotWaitIsCarriedOut) {
  EXPECT_EQ(controller.heartbeat("i1", 1).status, HttpStatus::ok);
  const std::string body =
      R"({"targetService":"s","address":"10.0.1.1:80","zone":"z","capacity":4,"state":"draining","sequence":2})";
  (void)controller.postAndLeave("/v1/Instances.Heartbeat/i1", body);
  EXPECT_EQ(controller.replica().runner("i1")->runnerState(), RunnerState::draining);
  (void)controller.postAndLeave("/v1/Instances.Detach/i1", "");
  EXPECT_TRUE(controller.replica().isDetached("i1"));
}
// A lock that its holder has got meanwhile would be acquired once more, with a fence that the holder does not know.
TEST_F(LateCopies, ALockKeepsTheFenceThatItsHolderKnows) {
  const std::string body = R"({"holder":"h","holdMs":3000})";
  EXPECT_EQ(controller.post("/v1/Locks.Begin/l1", body).status, HttpStatus::ok);
  const auto fence = controller.shard.fenceOf("l1");
  EXPECT_TRUE(controller.postAndLeave("/v1/Locks.Begin/l1", body).closeWithoutResponse);
  EXPECT_EQ(controller.shard.fenceOf("l1"), fence);
}
TEST_F(LateCopies, AConfigurationIsKnownByItsBaseAndVersion) {
  const auto text = [](int version) {
    return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[],"serviceTable":[]})";
  };
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", text(2), "1").status, HttpStatus::ok);
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", text(3), "2").status, HttpStatus::ok);
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", text(2), "1").status, HttpStatus::ok) << "taken before";
  EXPECT_EQ(controller.replica().state().version, 3);
}
