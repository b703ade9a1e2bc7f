// Runners' heartbeats inside the core: forwarded until acknowledged, and a leader's patience.
#include "heartbeats.hpp"

#include <gtest/gtest.h>

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
namespace {
const TimePoint kStart{std::chrono::seconds(1000)};
constexpr Duration kHeartbeat{1200};
constexpr Duration kPatience = kHeartbeat * 3 + Duration(1500);
Runner runner(const std::string& id) {
  Runner r;
  r.id = id;
  return r;
}
}  // namespace

// Found by reading: a batch was forgotten as soon as it was sent, and three lost ones dropped a healthy runner.
TEST(HeartbeatForwarder, SendsAgainUntilALeaderHasAcknowledged) {
  HeartbeatForwarder forwarder;
  forwarder.heard("i1", kStart);
  const auto lost = forwarder.nextBatch(kStart + 100ms);
  ASSERT_TRUE(lost);
  forwarder.heard("i2", kStart + 200ms);
  const auto second = forwarder.nextBatch(kStart + 600ms);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->runners.size(), 2U) << "the lost one goes again";
  forwarder.heard("i1", kStart + 700ms);
  forwarder.acknowledged(second->number);
  const auto third = forwarder.nextBatch(kStart + 1100ms);
  ASSERT_TRUE(third);
  ASSERT_EQ(third->runners.size(), 1U) << "only what came after the acknowledged batch";
  EXPECT_EQ(third->runners[0].at, kStart + 700ms);
  forwarder.acknowledged(third->number);
  EXPECT_FALSE(forwarder.nextBatch(kStart + 1600ms));
}
TEST(HeartbeatForwarder, ALateAcknowledgementOfAnOlderBatchTakesNothingNewer) {
  HeartbeatForwarder forwarder;
  forwarder.heard("i1", kStart);
  const auto first = forwarder.nextBatch(kStart);
  forwarder.heard("i1", kStart + 50ms);
  forwarder.acknowledged(first->number);
  forwarder.acknowledged(first->number);
  EXPECT_TRUE(forwarder.nextBatch(kStart + 500ms));
  forwarder.acknowledged(99);
  EXPECT_TRUE(forwarder.nextBatch(kStart + 1000ms));
}
TEST(HeartbeatForwarder, TellsWhenTheLeaderDoesNotAnswer) {
  HeartbeatForwarder forwarder;
  EXPECT_TRUE(forwarder.leaderAnswers(kStart)) << "nothing was asked yet";
  std::optional<HeartbeatForwarder::Batch> last;
  for (int i = 0; i < 4; ++i) {
    forwarder.heard("i1", kStart + Duration(500 * i));
    last = forwarder.nextBatch(kStart + Duration(500 * i));
  }
  EXPECT_TRUE(forwarder.leaderAnswers(kStart + 1500ms));
  EXPECT_FALSE(forwarder.leaderAnswers(kStart + 1501ms));
  forwarder.acknowledged(last->number);
  EXPECT_TRUE(forwarder.leaderAnswers(kStart + 1600ms));
}
TEST(HeartbeatForwarder, ANewLeaderIsToldWhatTheOldOneDidNotAcknowledge) {
  HeartbeatForwarder forwarder;
  forwarder.heard("i1", kStart);
  const auto toOld = forwarder.nextBatch(kStart);
  forwarder.leaderChanged();
  EXPECT_TRUE(forwarder.leaderAnswers(kStart + 5s)) << "the new one was not asked yet";
  forwarder.acknowledged(toOld->number);
  EXPECT_TRUE(forwarder.nextBatch(kStart + 5s)) << "an answer of the old one no longer counts";
}

// Found by reading: a runner that joined at another machine was unknown to the leader until that one's next batch came,
// and dropped at the next look.
TEST(RunnerMonitor, ARunnerSeenForTheFirstTimeHasItsFullTime) {
  RunnerMonitor monitor(kHeartbeat);
  monitor.missed(kStart, true, {});
  auto now = kStart;
  while (now < kStart + kPatience + 1s)
    monitor.missed(now += 1s, true, {});
  for (const auto end = now + kPatience; now + 1s <= end;)
    EXPECT_TRUE(monitor.missed(now += 1s, true, {runner("i1")}).empty());
  now += 1s;
  now += 1s;
  monitor.missed(now, true, {runner("i1")});
  EXPECT_EQ(monitor.missed(now += 1s, true, {runner("i1")}).size(), 1U) << "silent for good";
}
TEST(RunnerMonitor, ALeaderThatHadNoLeaseListensFirst) {
  RunnerMonitor monitor(kHeartbeat);
  auto now = kStart;
  monitor.heard("i1", now);
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(monitor.missed(now += 1s, false, {runner("i1")}).empty());
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(monitor.missed(now += 1s, true, {runner("i1")}).empty()) << "its beats went to others meanwhile";
  monitor.heard("i1", now);
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(monitor.missed(now += 1s, true, {runner("i1")}).empty());
}
TEST(RunnerMonitor, ALeaderThatStoodStillListensFirst) {
  RunnerMonitor monitor(kHeartbeat);
  auto now = kStart;
  for (int i = 0; i < 10; ++i) {
    monitor.heard("i1", now);
    EXPECT_TRUE(monitor.missed(now += 1s, true, {runner("i1")}).empty());
  }
  now += 15s;  // frozen
  EXPECT_TRUE(monitor.missed(now, true, {runner("i1")}).empty());
  EXPECT_TRUE(monitor.missed(now += 1s, true, {runner("i1")}).empty());
}
TEST(RunnerMonitor, ASilentRunnerIsMissed) {
  RunnerMonitor monitor(kHeartbeat);
  auto now = kStart;
  for (int i = 0; i < 10; ++i) {
    monitor.heard("i1", now);
    monitor.heard("i2", now);
    EXPECT_TRUE(monitor.missed(now += 1s, true, {runner("i1"), runner("i2")}).empty());
  }
  std::vector<Runner> missed;
  for (int i = 0; i < 6 && missed.empty(); ++i) {
    monitor.heard("i2", now);
    missed = monitor.missed(now += 1s, true, {runner("i1"), runner("i2")});
  }
  ASSERT_EQ(missed.size(), 1U);
  EXPECT_EQ(missed[0].id, "i1");
}
