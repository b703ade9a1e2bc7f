/// @file
/// The coordination calls of the API as described on the users' page on locks: the answer to each call, and the
/// rejection of invalid input. All calls for locks, numbers, puts, reads and watches were once answered with 404
/// (docs/incidents/lost-short.md). At the end of a day every controller receives all of these calls again for some
/// seconds, and each must be answered.
#include <gtest/gtest.h>

#include "fake_controller.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::controller_testing;
namespace {
int statusOf(const ApiResponse& response) {
  return static_cast<int>(response.status);
}
}  // namespace

TEST(Coordination, ALockThatNobodyHoldsIsGranted) {
  FakeController controller;
  const auto answer = controller.post("/v1/Locks.Begin/l9", R"({"holder":"a3.7","holdMs":3000})");
  EXPECT_EQ(answer.status, HttpStatus::ok) << answer.body;
  EXPECT_NE(answer.body.find("fenceNumber"), std::string::npos) << answer.body;
}
TEST(Coordination, LocksAnswerAsThePageSays) {
  FakeController controller;
  EXPECT_EQ(controller.post("/v1/Locks.Begin/l1", R"({"holder":"a","holdMs":3000})").body, R"({"fenceNumber":1})");
  EXPECT_EQ(statusOf(controller.post("/v1/Locks.Begin/l1", R"({"holder":"b","holdMs":3000})")), 409);
  EXPECT_EQ(statusOf(controller.post("/v1/Locks.Heartbeat/l1", R"({"holder":"a","fenceNumber":1,"holdMs":3000})")),
            200);
  EXPECT_EQ(statusOf(controller.post("/v1/Locks.Heartbeat/l1", R"({"holder":"b","fenceNumber":1,"holdMs":3000})")),
            409);
  EXPECT_EQ(statusOf(controller.post("/v1/Locks.Release/l1", R"({"holder":"a","fenceNumber":1})")), 200);
  EXPECT_EQ(statusOf(controller.post("/v1/Locks.Release/l1", R"({"holder":"a","fenceNumber":1})")), 200)
      << "releasing a free lock succeeds";
  EXPECT_EQ(controller.post("/v1/Locks.Begin/l1", R"({"holder":"b","holdMs":3000})").body, R"({"fenceNumber":2})");
}
TEST(Coordination, NumbersCellsAndWatchesAnswerAsThePageSays) {
  FakeController controller;
  EXPECT_EQ(controller.post("/v1/numbers/n2", "{}").body, R"({"value":1})");
  EXPECT_EQ(statusOf(controller.get("/v1/Cells.Retrieve/g1.2d")), 404);
  EXPECT_EQ(controller.get("/v1/watch/g1.?after=0&waitMs=10").body, R"({"events":[],"revision":0})");
  EXPECT_EQ(controller.post("/v1/Cells.Replace/g1.2d", R"({"value":"x","appliesTo":0})").body, R"({"revision":1})");
  const auto mismatch = controller.post("/v1/Cells.Replace/g1.2d", R"({"value":"y","appliesTo":7})");
  EXPECT_EQ(statusOf(mismatch), 412);
  EXPECT_EQ(mismatch.body, R"({"revision":1})");
  EXPECT_EQ(controller.post("/v1/Cells.Replace/g1.3", R"({"value":"z"})").body, R"({"revision":2})")
      << "the put applies to any revision";
  EXPECT_EQ(controller.get("/v1/Cells.Retrieve/g1.2d").body, R"({"value":"x","revision":1})");
  EXPECT_EQ(controller.get("/v1/watch/g1.?after=1&waitMs=2000").body,
            R"({"events":[{"label":"g1.3","value":"z","revision":2}],"revision":2})");
  EXPECT_EQ(controller.get("/v1/watch/g1.?after=0&waitMs=2000").body, R"({"events":[],"revision":2})");
  EXPECT_EQ(controller.get("/v1/watch/g1.?after=2&waitMs=2000").body, R"({"events":[],"revision":2})");
}
TEST(Coordination, AWatchOfDiscardedPutsIsGone) {
  FakeController controller;
  controller.post("/v1/Cells.Replace/g.a", R"({"value":"1"})");
  controller.post("/v1/Cells.Replace/g.a", R"({"value":"2"})");
  controller.shardTime = Duration(60'000);
  controller.post("/v1/Cells.Replace/g.a", R"({"value":"3"})");
  EXPECT_EQ(statusOf(controller.get("/v1/watch/g.?after=1&waitMs=10")), 410);
}
// The status 503 or 429 guarantees that the call was not executed. If that is unknown, no response is sent.
TEST(Coordination, WhatIsNotKnownIsNotAnswered) {
  FakeController controller;
  controller.outcomeGetsLost = true;
  EXPECT_TRUE(controller.post("/v1/Locks.Begin/l", R"({"holder":"a","holdMs":3000})").closeWithoutResponse);
  EXPECT_TRUE(controller.post("/v1/Cells.Replace/g.a", R"({"value":"x"})").closeWithoutResponse);
  controller.hasContact = false;
  const auto cutOff = controller.post("/v1/Locks.Begin/l", R"({"holder":"b","holdMs":3000})");
  EXPECT_FALSE(cutOff.closeWithoutResponse);
  EXPECT_EQ(statusOf(cutOff), 503);
  EXPECT_EQ(statusOf(controller.get("/v1/watch/g.?after=1&waitMs=10")), 503);
}
TEST(Coordination, BadInputIsRefusedAndChangesNothing) {
  FakeController controller;
  const std::string longName(257, 'n');
  const std::string longValue(4097, 'v');
  const std::vector<std::pair<std::string, std::string>> bad = {
      {"/v1/Locks.Begin/l", "no JSON"},
      {"/v1/Locks.Begin/l", "[]"},
      {"/v1/Locks.Begin/l", "{}"},
      {"/v1/Locks.Begin/l", R"({"holder":"","holdMs":3000})"},
      {"/v1/Locks.Begin/l", R"({"holder":"a"})"},
      {"/v1/Locks.Begin/l", R"({"holder":"a","holdMs":0})"},
      {"/v1/Locks.Begin/l", R"({"holder":"a","holdMs":-5})"},
      {"/v1/Locks.Begin/l", R"({"holder":"a","holdMs":3600001})"},
      {"/v1/Locks.Begin/l", R"({"holder":"a","holdMs":"long"})"},
      {"/v1/Locks.Begin/l", R"({"holder":7,"holdMs":3000})"},
      {"/v1/Locks.Begin/l", "{\"holder\":\"" + longName + "\",\"holdMs\":3000}"},
      {"/v1/Locks.Begin/", R"({"holder":"a","holdMs":3000})"},
      {"/v1/Locks.Begin/" + longName, R"({"holder":"a","holdMs":3000})"},
      {"/v1/Locks.Heartbeat/l", R"({"holder":"a","holdMs":3000})"},
      {"/v1/Locks.Release/l", R"({"holder":"a"})"},
      {"/v1/numbers/", "{}"},
      {"/v1/Cells.Replace/g.a", R"({"appliesTo":0})"},
      {"/v1/Cells.Replace/g.a", R"({"value":"x","appliesTo":-2})"},
      {"/v1/Cells.Replace/g.a", R"({"value":"x","appliesTo":"one"})"},
      {"/v1/Cells.Replace/g.a", "{\"value\":\"" + longValue + "\"}"},
  };
  for (const auto& [target, body] : bad) {
    const auto answer = controller.post(target, body);
    EXPECT_EQ(statusOf(answer), 400) << target << " " << body;
    EXPECT_NE(answer.body.find("error"), std::string::npos);
  }
  for (const auto* query : {"?after=-1", "?after=x", "?after=1&waitMs=60001", "?after=99999999999999999999"})
    EXPECT_EQ(statusOf(controller.get("/v1/watch/g." + std::string(query))), 400) << query;
  EXPECT_EQ(statusOf(controller.get("/v1/Locks.Begin/l")), 405);
  EXPECT_EQ(controller.lastIndex, 0) << "rejected calls must not reach the log";
}
