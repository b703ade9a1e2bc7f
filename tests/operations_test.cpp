// Runbooks: read whole, run step by step, stopped by what is not seen.
#include <gtest/gtest.h>

#include "config/control_requests.hpp"
#include "config/settings.hpp"
#include "operations/runbook.hpp"
#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::operations;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
const std::string kBook =
    "title T\nparam core x\nparam who someone\nstep look\nget /v1/Status\nexpect any node == {who}\nstep change\npost "
    "/v1/Set {\"a\":\"{who}\"}\nexpect any status == 200\n";
struct Stage {
  std::vector<std::string> printed, called;
  std::string answer = "{\"node\":\"n1\",\"runners\":[{\"id\":\"r.1\",\"state\":\"draining\"}],\"leased\":true}";
  int status = 200;
  TimePoint clock{100s};
  RunbookPorts ports() {
    RunbookPorts p;
    p.any = [this](const Call& c) -> Result<Called> {
      called.push_back(c.method + " " + c.path + " " + c.body);
      return Called{status, answer, "x"};
    };
    p.all = [this](const Call& c) {
      called.push_back("all " + c.path);
      return std::vector<Result<Called>>{Called{200, answer, "x"}, makeError(ErrorCode::ioError, "no answer")};
    };
    p.sleepFor = [this](Duration d) { clock += d; };
    p.print = [this](const std::string& s) { printed.push_back(s); };
    p.now = [this] { return clock; };
    return p;
  }
};
}  // namespace
TEST(Runbook, RunsItsStepsWhileTheObservationsAreMet) {
  auto b = parseRunbook(kBook, {{"who", "n1"}});
  ASSERT_TRUE(b) << b.error().message;
  Stage s;
  EXPECT_EQ(runRunbook(*b, s.ports(), false), 0);
  ASSERT_EQ(s.called.size(), 2U);
  EXPECT_EQ(s.called[1], "POST /v1/Set {\"a\":\"n1\"}");
}
TEST(Runbook, StopsAtWhatWasNotSeenAndSaysSo) {
  auto b = parseRunbook(kBook, {{"who", "n2"}});
  ASSERT_TRUE(b);
  Stage s;
  EXPECT_EQ(runRunbook(*b, s.ports(), false), 1);
  EXPECT_EQ(s.called.size(), 1U) << "nothing after it was done";
  std::string all;
  for (auto& p : s.printed)
    all += p + "\n";
  EXPECT_NE(all.find("wanted node == n2, saw n1"), std::string::npos) << all;
}
TEST(Runbook, ADryRunCallsNothing) {
  auto b = parseRunbook(kBook, {{"who", "n2"}});
  Stage s;
  EXPECT_EQ(runRunbook(*b, s.ports(), true), 0);
  EXPECT_TRUE(s.called.empty());
}
TEST(Runbook, AwaitAsksAgainUntilItsTime) {
  auto b = parseRunbook("step x\ngetall /v1/Status\nawait 3 all leased == true\n", {});
  ASSERT_TRUE(b) << b.error().message;
  Stage s;
  EXPECT_EQ(runRunbook(*b, s.ports(), false), 1) << "one node never answers";
  EXPECT_GT(s.called.size(), 8U);
  EXPECT_GE(s.clock, TimePoint{103s});
}
TEST(Runbook, WhatIsNotUnderstoodIsNamedBeforeAnythingRuns) {
  for (auto bad : {"step x\nfrobnicate\n", "step x\nexpect any a == b\n", "step x\nget v1\n", "step {nobody}\n", "",
                   "step x\nget /a\nexpect a ~ b\n", "step x\nget /a\nawait x any a == b\n"})
    EXPECT_FALSE(parseRunbook(bad, {})) << bad;
}
TEST(Runbook, ThoseThatComeWithTheProgramAreWhole) {
  for (auto name :
       {"replace-core", "drain-runner", "why-not-ready", "revoke-key", "roll-version", "close-zone", "open-zone"}) {
    auto text = readFile("runbooks/" + std::string(name) + ".run");
    ASSERT_TRUE(text) << name;
    auto b = parseRunbook(*text, sampleValues(*text));
    EXPECT_TRUE(b) << name << ": " << (b ? "" : b.error().message);
  }
}
TEST(Observation, FieldsOfAnAnswer) {
  const std::string j = R"({"a":{"b":[1,2,3]},"l":[{"id":"x.y","n":4},{"id":"z"}],"t":true})";
  EXPECT_EQ(fieldOf(j, "a.b#"), "3");
  EXPECT_EQ(fieldOf(j, "l[id=x.y].n"), "4");
  EXPECT_EQ(fieldOf(j, "t"), "true");
  EXPECT_EQ(fieldOf(j, "l[id=q].n"), std::nullopt);
  EXPECT_EQ(fieldOf("nonsense", "t"), std::nullopt);
  auto o = parseObservation("one t == true");
  ASSERT_TRUE(o);
  EXPECT_TRUE(meets(*o, {j, "{}"}));
  EXPECT_FALSE(meets(*o, {j, j}));
}
TEST(ZoneDrain, IsNumberedStateLikeTheRest) {
  ReplicatedState c;
  auto put = [&, n = 0](LogEntry e) mutable {
    e.index = ++n;
    return c.apply(e);
  };
  EXPECT_TRUE(put(zoneDrainEntry({"za", "sunday", 25, false}, false, "1")).zoneDrains);
  put(zoneDrainEntry({"za", "sunday", 100, true}, false, "2"));
  ASSERT_EQ(c.state().zoneDrains.size(), 1U);
  EXPECT_EQ(c.state().zoneDrains[0].drainPercent, 100);
  ReplicatedState d;
  ASSERT_TRUE(d.restore(c.snapshot()));
  EXPECT_TRUE(d.state().zoneDrains[0].notAccepting);
  put(zoneDrainEntry({"za", "", 0, false}, true, "3"));
  EXPECT_TRUE(c.state().zoneDrains.empty());
}
TEST(ZoneDrain, CallsAreChecked) {
  EXPECT_TRUE(parseZoneDrainRequest(R"({"place":"za","share":50,"calmBelowPerS":20})"));
  for (auto bad : {"{", "[]", "{}", R"({"place":"za","share":101})", R"({"place":"za","share":-1})", R"({"place":7})",
                   R"({"place":"z","doorsShut":"yes"})"})
    EXPECT_FALSE(parseZoneDrainRequest(bad)) << bad;
}
