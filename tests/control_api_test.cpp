/// @file
/// Tests of the runners' and operators' calls to a controller that is partitioned, lags or cannot commit writes.
#include "control_api.hpp"

#include <gtest/gtest.h>

#include "fake_controller.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::controller_testing;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
constexpr Duration kCallerTimeout{1000};

std::string configuration(int version, const std::string& label = "a") {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[],"serviceTable":[{"label":")" + label +
         R"("}],"limits":{}})";
}
/// Expects a response in time that makes the caller try another controller.
void expectSentToAnotherController(const FakeController& controller, const ApiResponse& answer) {
  EXPECT_EQ(answer.status, HttpStatus::service_unavailable) << answer.body;
  EXPECT_NE(answer.headers.find("Retry-After"), std::string::npos);
  EXPECT_EQ(answer.body.find("heartbeatUri"), std::string::npos);
  EXPECT_LE(controller.waited, kCallerTimeout * 9 / 10) << "the response comes after the caller's timeout";
}
}  // namespace

TEST(ControlApi, AControllerInContactAcknowledgesHeartbeatsAndKeepsTheRunner) {
  FakeController controller;
  EXPECT_EQ(controller.heartbeat("i1", 1).status, HttpStatus::ok);
  EXPECT_TRUE(controller.replica().runner("i1")) << "a join is acknowledged once it is committed";
  const auto again = controller.heartbeat("i1", 2);
  EXPECT_EQ(again.status, HttpStatus::ok);
  EXPECT_NE(again.body.find(kUri), std::string::npos);
  EXPECT_EQ(controller.written.size(), 1U) << "a heartbeat without an update is no write";
  EXPECT_EQ(controller.heartbeats.size(), 2U);
}
TEST(ControlApi, ARunnerIsSentToTheControllerOfItsZone) {
  FakeController controller;
  EXPECT_NE(controller.heartbeat("i1", 1).body.find(kUri), std::string::npos) << "no controller is known in the zone";
  controller.controlAddresses["z"] = "10.0.0.9:8080";
  EXPECT_NE(controller.heartbeat("i1", 2).body.find("http://10.0.0.9:8080"), std::string::npos);
}
TEST(ControlApi, APartitionedControllerSendsAKnownRunnerElsewhereAtOnce) {
  FakeController controller;
  controller.heartbeat("i1", 1);
  controller.heartbeats.clear();
  controller.hasContact = false;
  expectSentToAnotherController(controller, controller.heartbeat("i1", 2));
  EXPECT_EQ(controller.waited, Duration(0)) << "a heartbeat is answered without waiting";
  EXPECT_TRUE(controller.heartbeats.empty());
}
TEST(ControlApi, APartitionedControllerAcknowledgesNoJoinAndNoDrain) {
  FakeController controller;
  controller.heartbeat("i1", 1);
  controller.hasContact = false;
  expectSentToAnotherController(controller, controller.heartbeat("i2", 1));
  expectSentToAnotherController(controller, controller.heartbeat("i1", 2, "draining"));
  EXPECT_EQ(controller.written.size(), 1U);
}
TEST(ControlApi, AControllerWhoseHeartbeatsDoNotReachTheLeaderSendsRunnersElsewhere) {
  FakeController controller;
  controller.heartbeat("i1", 1);
  controller.reachesLeader = false;
  expectSentToAnotherController(controller, controller.heartbeat("i1", 2));
}
TEST(ControlApi, AJoinThatCantBeWrittenIsNotAcknowledged) {
  FakeController controller;
  controller.commits = false;
  expectSentToAnotherController(controller, controller.heartbeat("i1", 1));
  EXPECT_FALSE(controller.replica().runner("i1"));
}
TEST(ControlApi, NoCallWaitsLongerThanItsCaller) {
  for (const bool hasContact : {true, false}) {
    auto expectInTime = [&](const std::function<ApiResponse(FakeController&)>& call) {
      FakeController controller;
      controller.heartbeat("i1", 1);
      controller.hasContact = hasContact;
      controller.commits = false;
      expectSentToAnotherController(controller, call(controller));
    };
    expectInTime([](auto& controller) { return controller.post("/v1/Configuration.Replace", configuration(2)); });
    expectInTime([](auto& controller) { return controller.post("/v1/Instances.Detach/i1", ""); });
    expectInTime([](auto& controller) { return controller.heartbeat("i1", 5, "draining"); });
    expectInTime([](auto& controller) { return controller.get("/v1/Configuration.Retrieve"); });
    expectInTime([](auto& controller) { return controller.get("/v1/Closures.List"); });
  }
}
TEST(ControlApi, NothingIsSubmittedWithoutContact) {
  FakeController controller;
  controller.hasContact = false;
  expectSentToAnotherController(controller, controller.post("/v1/Configuration.Replace", configuration(2)));
  EXPECT_TRUE(controller.written.empty()) << "a submitted write could take effect long after its caller's timeout";
}
TEST(ControlApi, AnOldReplicaRefusesNothing) {
  FakeController controller;
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", configuration(5)).status, HttpStatus::ok);
  controller.hasContact = false;
  // The replica may be stale, so both rejections that it suggests may be wrong: the first version is not above its
  // current one, and the second call names a different base version.
  expectSentToAnotherController(controller, controller.post("/v1/Configuration.Replace", configuration(4), "5"));
  controller.waited = Duration(0);
  expectSentToAnotherController(controller, controller.post("/v1/Configuration.Replace", configuration(9), "7"));
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", configuration(5)).status, HttpStatus::ok)
      << "an accepted configuration stays accepted";
  controller.hasContact = true;
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", configuration(4), "5").status, HttpStatus::bad_request);
  EXPECT_EQ(controller.post("/v1/Configuration.Replace", configuration(9), "7").status,
            HttpStatus::precondition_failed);
  EXPECT_EQ(controller.written.size(), 3U) << "each refusal is the outcome of a committed write";
}
TEST(ControlApi, NothingIsRedirectedToALeaderThatMayHaveFailed) {
  FakeController controller;
  controller.leader = "10.0.0.5:8080";
  EXPECT_EQ(controller.get("/v1/Closures.List").status, HttpStatus::temporary_redirect);
  controller.hasContact = false;
  expectSentToAnotherController(controller, controller.get("/v1/Closures.List"));
}
TEST(ControlApi, ADetachedRunnerIsConfirmedByAnyReplica) {
  FakeController controller;
  controller.heartbeat("i1", 1);
  EXPECT_EQ(controller.post("/v1/Instances.Detach/i1", "").status, HttpStatus::ok);
  controller.hasContact = false;
  EXPECT_EQ(controller.post("/v1/Instances.Detach/i1", "").status, HttpStatus::ok);
}

// Regression: ids contained only the last five digits of the incarnation and a counter that restarted with the process,
// so two incarnations could generate the same id.
TEST(OperationIds, TwoIncarnationsOfOneMemberNeverShareAnId) {
  const std::uint64_t incarnations[] = {5, 100005, 1ULL << 40 | 5, ~0ULL};
  std::map<std::string, std::uint64_t> seen;
  for (const auto incarnation : incarnations) {
    OperationIds ids("10.0.0.4#7", incarnation);
    for (int i = 0; i < 200; ++i)
      EXPECT_TRUE(seen.emplace(ids.next(), incarnation).second);
  }
}
TEST(OperationIds, AnOutcomeOfAnEarlierIncarnationIsNotTakenForANewWrites) {
  ReplicatedState replica;
  OperationIds older("10.0.0.4#7", 5);
  OperationIds newer("10.0.0.4#7", 100005);
  auto first = configurationEntry(0, 2, configuration(2), older.next());
  first.index = 1;
  replica.apply(first);
  ASSERT_EQ(replica.outcomeOf(first.operationId), ReplicatedState::Verdict::acknowledged);
  const auto second = configurationEntry(0, 2, configuration(2, "b"), newer.next());
  EXPECT_FALSE(replica.outcomeOf(second.operationId)) << "a reused id would confirm a second operator's write";
  auto applied = second;
  applied.index = 2;
  replica.apply(applied);
  EXPECT_EQ(replica.outcomeOf(second.operationId), ReplicatedState::Verdict::versionMismatch);
}

// Regression: calls in the published API documentation had no route in the controller for a long time. Each documented
// call must have one. An empty body may be rejected, but not with "no such call".
TEST(ControlApi, EveryCallOfTheUsersPagesHasARoute) {
  FakeController controller;
  for (const auto* target :
       {"/v1/Instances.Heartbeat/i-1", "/v1/Instances.Detach/i-1", "/v1/Configuration.Replace", "/v1/Rollouts.Begin",
        "/v1/Locks.Begin/l", "/v1/Locks.Heartbeat/l", "/v1/Locks.Release/l", "/v1/numbers/n", "/v1/Cells.Replace/g.a"})
    EXPECT_EQ(controller.post(target, "{}").body.find("no such call"), std::string::npos) << target;
  for (const auto* target :
       {"/v1/Configuration.Retrieve", "/v1/Rollouts.Retrieve/s", "/v1/Cells.Retrieve/g.a", "/v1/watch/g."})
    EXPECT_EQ(controller.get(target).body.find("no such call"), std::string::npos) << target;
}
