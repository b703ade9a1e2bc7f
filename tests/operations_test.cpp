// Tests of runbooks (parsing, execution, dry run), JSON paths and observations, and of the replication of zone drains.
#include <gtest/gtest.h>

#include "config/control_requests.hpp"
#include "config/settings.hpp"
#include "operations/runbook.hpp"
#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::operations;
namespace {
const std::string kRunbook =
    "title T\nparam core x\nparam who someone\nstep look\nget /v1/Status\nexpect any node == {who}\nstep change\npost "
    "/v1/Set {\"a\":\"{who}\"}\nexpect any status == 200\n";

// A fake runbook environment. Controllers always return the same response, only sleepFor advances the clock, and calls
// and printed lines are recorded.
struct FakeEnvironment {
  std::vector<std::string> printed;
  std::vector<std::string> calls;
  std::string answer = "{\"node\":\"n1\",\"runners\":[{\"id\":\"r.1\",\"state\":\"draining\"}],\"leased\":true}";
  int status = 200;
  TimePoint clock{100s};

  RunbookEnvironment environment() {
    RunbookEnvironment environment;
    environment.callAny = [this](const Call& call) -> Result<CallResponse> {
      std::string headers;
      for (const auto& header : call.headers)
        headers += " " + header.name + ":" + header.value;
      calls.push_back(call.method + " " + call.path + " " + call.body + headers);
      return CallResponse{status, answer, "x"};
    };
    environment.callAll = [this](const Call& call) {
      calls.push_back("all " + call.path);
      return std::vector<Result<CallResponse>>{CallResponse{200, answer, "x"},
                                               makeError(ErrorCode::ioError, "no answer")};
    };
    environment.sleepFor = [this](Duration duration) { clock += duration; };
    environment.print = [this](const std::string& line) { printed.push_back(line); };
    environment.now = [this] { return clock; };
    return environment;
  }
  std::string output() const {
    std::string lines;
    for (const auto& line : printed)
      lines += line + "\n";
    return lines;
  }
};
}  // namespace

TEST(Runbook, RunsItsStepsWhileObservationsAreMet) {
  const auto runbook = parseRunbook(kRunbook, {{"who", "n1"}});
  ASSERT_TRUE(runbook) << runbook.error().message;
  FakeEnvironment fake;
  EXPECT_EQ(runRunbook(*runbook, fake.environment(), false), 0);
  ASSERT_EQ(fake.calls.size(), 2U);
  EXPECT_EQ(fake.calls[1], "POST /v1/Set {\"a\":\"n1\"}");
}

TEST(Runbook, StopsAtTheFirstObservationThatIsNotMet) {
  const auto runbook = parseRunbook(kRunbook, {{"who", "n2"}});
  ASSERT_TRUE(runbook);
  FakeEnvironment fake;
  EXPECT_EQ(runRunbook(*runbook, fake.environment(), false), 1);
  EXPECT_EQ(fake.calls.size(), 1U) << "nothing after it was done";
  EXPECT_NE(fake.output().find("wanted node == n2, saw n1"), std::string::npos) << fake.output();
}

TEST(Runbook, DryRunCallsNothing) {
  const auto runbook = parseRunbook(kRunbook, {{"who", "n2"}});
  ASSERT_TRUE(runbook);
  FakeEnvironment fake;
  EXPECT_EQ(runRunbook(*runbook, fake.environment(), true), 0);
  EXPECT_TRUE(fake.calls.empty());
}

TEST(Runbook, AwaitRepeatsTheCallUntilItsTimeout) {
  const auto runbook = parseRunbook("step x\ngetall /v1/Status\nawait 3 all leased == true\n", {});
  ASSERT_TRUE(runbook) << runbook.error().message;
  FakeEnvironment fake;
  EXPECT_EQ(runRunbook(*runbook, fake.environment(), false), 1) << "one node never answers";
  EXPECT_GT(fake.calls.size(), 8U);
  EXPECT_GE(fake.clock, TimePoint{103s});
}

TEST(Runbook, RejectsWhatItCannotParse) {
  for (const auto* text : {"step x\nfrobnicate\n", "step x\nexpect any a == b\n", "step x\nget v1\n", "step {nobody}\n",
                           "", "step x\nget /a\nexpect a ~ b\n", "step x\nget /a\nawait x any a == b\n"}) {
    const auto runbook = parseRunbook(text, {});
    ASSERT_FALSE(runbook) << text;
    EXPECT_EQ(runbook.error().code, ErrorCode::invalidArgument) << text;
  }
}

TEST(Runbook, HeadersGoWithTheNextCallOnly) {
  const auto runbook = parseRunbook("head X-A one two\npost /a {x}\nget /b\n", {{"x", "body"}});
  ASSERT_TRUE(runbook) << runbook.error().message;
  FakeEnvironment fake;
  EXPECT_EQ(runRunbook(*runbook, fake.environment(), false), 0);
  EXPECT_EQ(fake.calls, (std::vector<std::string>{"POST /a body X-A:one two", "GET /b "}));
}

TEST(Runbook, ParametersHaveDefaults) {
  const auto runbook = parseRunbook("param lead=2 seconds of warning\nstep wait\npause {lead}\n", {});
  ASSERT_TRUE(runbook) << runbook.error().message;
  ASSERT_EQ(runbook->parameters.size(), 1U);
  EXPECT_EQ(runbook->parameters[0].name, "lead");
  EXPECT_EQ(runbook->parameters[0].description, "seconds of warning");
  FakeEnvironment fake;
  EXPECT_EQ(runRunbook(*runbook, fake.environment(), false), 0);
  EXPECT_EQ(fake.clock, TimePoint{102s});
}

TEST(Runbook, ShippedRunbooksParse) {
  for (const std::string name :
       {"replace-core", "drain-runner", "why-not-ready", "revoke-key", "roll-version", "close-zone", "open-zone"}) {
    const auto text = config::readFile("runbooks/" + name + ".run");
    ASSERT_TRUE(text) << name;
    const auto runbook = parseRunbook(*text, sampleValues(*text));
    EXPECT_TRUE(runbook) << name << ": " << (runbook ? "" : runbook.error().message);
  }
}

TEST(JsonPath, FindsFieldsCountsAndListElements) {
  const std::string json = R"({"a":{"b":[1,2,3]},"l":[{"id":"x.y","n":4},{"id":"z"}],"t":true})";
  EXPECT_EQ(fieldOf(json, "a.b#"), "3");
  EXPECT_EQ(fieldOf(json, "l[id=x.y].n"), "4");
  EXPECT_EQ(fieldOf(json, "t"), "true");
  EXPECT_EQ(fieldOf(json, "l[id=q].n"), std::nullopt);
  EXPECT_EQ(fieldOf("nonsense", "t"), std::nullopt);
}

TEST(JsonPath, MalformedPathsFindNothing) {
  const std::string json = R"({"l":[{"id":"z"}],"t":true})";
  for (const auto* path : {"l[id]", "l[id=z", "t#", "t.x", "l.id", ".t", "nothing"})
    EXPECT_EQ(fieldOf(json, path), std::nullopt) << path;
}

TEST(Observation, QuantifierSaysHowManyAnswersMustMeetIt) {
  const std::string met = R"({"t":true})";
  const auto one = parseObservation("one t == true");
  ASSERT_TRUE(one);
  EXPECT_TRUE(meets(*one, {met, "{}"}));
  EXPECT_FALSE(meets(*one, {met, met}));
  const auto all = parseObservation("all t == true");
  ASSERT_TRUE(all);
  EXPECT_TRUE(meets(*all, {met, met}));
  EXPECT_FALSE(meets(*all, {met, "{}"}));
  EXPECT_FALSE(meets(*all, {}));
  const auto any = parseObservation("t == true");
  ASSERT_TRUE(any);
  EXPECT_TRUE(meets(*any, {met, "{}"}));
  EXPECT_FALSE(meets(*any, {"{}"}));
}

TEST(Observation, ComparesAsTextOrAsNumber) {
  struct {
    const char* observation;
    bool met;
  } const cases[] = {{"n == 12", true},  {"n != 12", false}, {"n < 12.5", true},     {"n < 12", false},
                     {"n <= 12", true},  {"n > 9", true},    {"n >= 12", true},      {"n > x", false},
                     {"s has ee", true}, {"s > 1", false},   {"missing != x", true}, {"missing == x", false}};
  for (const auto& expected : cases) {
    const auto observation = parseObservation(expected.observation);
    ASSERT_TRUE(observation) << expected.observation;
    EXPECT_EQ(meets(*observation, {R"({"n":12,"s":"seen"})"}), expected.met) << expected.observation;
  }
}

TEST(ZoneDrain, IsReplicatedState) {
  using namespace zinccleat::state_machine;
  ReplicatedState state;
  std::int64_t index = 0;
  const auto apply = [&](transport::LogEntry entry) {
    entry.index = ++index;
    return state.apply(entry);
  };
  EXPECT_TRUE(apply(zoneDrainEntry({"za", "sunday", 25, false}, false, "1")).zoneDrains);
  apply(zoneDrainEntry({"za", "sunday", 100, true}, false, "2"));
  ASSERT_EQ(state.state().zoneDrains.size(), 1U);
  EXPECT_EQ(state.state().zoneDrains[0].drainPercent, 100);
  ReplicatedState restored;
  ASSERT_TRUE(restored.restore(state.snapshot()));
  EXPECT_TRUE(restored.state().zoneDrains[0].notAccepting);
  apply(zoneDrainEntry({"za", "", 0, false}, true, "3"));
  EXPECT_TRUE(state.state().zoneDrains.empty());
}
