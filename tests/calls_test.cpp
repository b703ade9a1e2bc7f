// The calls of runners and operators against a core machine that is cut off, lags or can't write.
#include "standin_core.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
namespace {
constexpr Duration kCallersSecond{1000};

std::string configuration(int version, const std::string& label = "a") {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[],"serviceTable":[{"label":")" + label +
         R"("}],"limits":{}})";
}
void expectSentOn(StandInCore& core, const ApiResponse& answer) {
  EXPECT_EQ(answer.status, 503) << answer.body;
  EXPECT_NE(answer.heads.find("Retry-After"), std::string::npos);
  EXPECT_EQ(answer.body.find("heartbeatUri"), std::string::npos);
  EXPECT_LE(core.waited, kCallersSecond * 9 / 10) << "the caller has gone on by then";
}
}  // namespace

TEST(Calls, AMachineInContactAcknowledgesBeatsAndKeepsTheRunner) {
  StandInCore core;
  EXPECT_EQ(core.beat("i1", 1).status, 200);
  EXPECT_TRUE(core.copy().runner("i1")) << "a join is acknowledged once it is committed";
  const auto again = core.beat("i1", 2);
  EXPECT_EQ(again.status, 200);
  EXPECT_NE(again.body.find(kStandInUri), std::string::npos);
  EXPECT_EQ(core.written.size(), 1U) << "a beat without news is no write";
  EXPECT_EQ(core.noted.size(), 2U);
}
TEST(Calls, AMachineCutOffSendsAKnownRunnerOnAtOnce) {
  StandInCore core;
  core.beat("i1", 1);
  core.noted.clear();
  core.contact = false;
  expectSentOn(core, core.beat("i1", 2));
  EXPECT_EQ(core.waited, Duration(0)) << "a beat has nothing to wait for";
  EXPECT_TRUE(core.noted.empty());
}
TEST(Calls, AMachineCutOffAcknowledgesNoJoinAndNoDrain) {
  StandInCore core;
  core.beat("i1", 1);
  core.contact = false;
  expectSentOn(core, core.beat("i2", 1));
  expectSentOn(core, core.beat("i1", 2, "draining"));
  EXPECT_EQ(core.written.size(), 1U);
}
TEST(Calls, AMachineWhoseBeatsDoNotReachTheLeaderSendsRunnersOn) {
  StandInCore core;
  core.beat("i1", 1);
  core.reaches = false;
  expectSentOn(core, core.beat("i1", 2));
}
TEST(Calls, AJoinThatCantBeWrittenIsNotAcknowledged) {
  StandInCore core;
  core.commits = false;
  expectSentOn(core, core.beat("i1", 1));
  EXPECT_FALSE(core.copy().runner("i1"));
}
TEST(Calls, NoOrderWaitsLongerThanItsCaller) {
  for (const bool contact : {true, false}) {
    auto cutOff = [&](const std::function<ApiResponse(StandInCore&)>& call) {
      StandInCore core;
      core.beat("i1", 1);
      core.contact = contact;
      core.commits = false;
      expectSentOn(core, call(core));
    };
    cutOff([](auto& core) { return core.post("/v1/Configuration.Replace", configuration(2)); });
    cutOff([](auto& core) { return core.post("/v1/Instances.Detach/i1", ""); });
    cutOff([](auto& core) { return core.beat("i1", 5, "draining"); });
    cutOff([](auto& core) { return core.get("/v1/Configuration.Retrieve"); });
    cutOff([](auto& core) { return core.get("/v1/Closures.List"); });
  }
}
TEST(Calls, AnOrderGoesNowhereWithoutContact) {
  StandInCore core;
  core.contact = false;
  expectSentOn(core, core.post("/v1/Configuration.Replace", configuration(2)));
  EXPECT_TRUE(core.written.empty()) << "it could come into force long after its caller gave it up";
}
TEST(Calls, AnOldCopyRefusesNothing) {
  StandInCore core;
  EXPECT_EQ(core.post("/v1/Configuration.Replace", configuration(5)).status, 200);
  core.contact = false;
  // To this copy the first is not above the current one, and the second builds on another: both may be wrong.
  expectSentOn(core, core.post("/v1/Configuration.Replace", configuration(4), "5"));
  core.waited = Duration(0);
  expectSentOn(core, core.post("/v1/Configuration.Replace", configuration(9), "7"));
  EXPECT_EQ(core.post("/v1/Configuration.Replace", configuration(5)).status, 200) << "once taken is taken for good";
  core.contact = true;
  EXPECT_EQ(core.post("/v1/Configuration.Replace", configuration(4), "5").status, 400);
  EXPECT_EQ(core.post("/v1/Configuration.Replace", configuration(9), "7").status, 412);
  EXPECT_EQ(core.written.size(), 3U) << "each refusal is the verdict of a committed write";
}
TEST(Calls, NothingIsPassedOnToALeaderThatMayBeGone) {
  StandInCore core;
  core.leader = "10.0.0.5:8080";
  EXPECT_EQ(core.get("/v1/Closures.List").status, 307);
  core.contact = false;
  expectSentOn(core, core.get("/v1/Closures.List"));
}
TEST(Calls, ARunnerThatLeftIsToldSoFromAnyCopy) {
  StandInCore core;
  core.beat("i1", 1);
  EXPECT_EQ(core.post("/v1/Instances.Detach/i1", "").status, 200);
  core.contact = false;
  EXPECT_EQ(core.post("/v1/Instances.Detach/i1", "").status, 200);
}

// Found by reading: ids held the boot's last five digits and a counter that began anew.
TEST(OperationIds, TwoLivesOfOneMemberNeverGiveOneName) {
  const std::uint64_t boots[] = {5, 100005, 1ULL << 40 | 5, ~0ULL};
  std::map<std::string, std::uint64_t> seen;
  for (const auto boot : boots) {
    OperationIds ids("10.0.0.4#7", boot);
    for (int i = 0; i < 200; ++i)
      EXPECT_TRUE(seen.emplace(ids.next(), boot).second);
  }
}
TEST(OperationIds, AnOlderLifesVerdictIsNotTakenForANewOrders) {
  ReplicatedState copy;
  OperationIds older("10.0.0.4#7", 5);
  OperationIds newer("10.0.0.4#7", 100005);
  auto first = configurationEntry(0, 2, configuration(2), older.next());
  first.index = 1;
  copy.apply(first);
  ASSERT_EQ(copy.outcomeOf(first.operationId), 200);
  const auto second = configurationEntry(0, 2, configuration(2, "b"), newer.next());
  EXPECT_FALSE(copy.outcomeOf(second.operationId)) << "two operators confirmed under one number";
  auto applied = second;
  applied.index = 2;
  copy.apply(applied);
  EXPECT_EQ(copy.outcomeOf(second.operationId), 412);
}
