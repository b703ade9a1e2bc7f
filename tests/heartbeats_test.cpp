/// @file
/// Tests of forwarding runners' heartbeats between controllers until they are acknowledged, and of the expiry of
/// runners by the leader.
#include <gtest/gtest.h>

#include "heartbeat_forwarder.hpp"
#include "runner_monitor.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
namespace {
const TimePoint kStart{std::chrono::seconds(1000)};
constexpr Duration kHeartbeatInterval{1200};
constexpr Duration kTimeout = kHeartbeatInterval * 3 + Duration(1500);
Runner runner(const std::string& id) {
  Runner runner;
  runner.id = id;
  return runner;
}
}  // namespace

// Regression: a batch was discarded as soon as it was sent, and a healthy runner expired after three lost batches.
TEST(HeartbeatForwarder, ResendsUntilALeaderHasAcknowledged) {
  HeartbeatForwarder forwarder;
  forwarder.record("i1", kStart);
  const auto lost = forwarder.nextBatch(kStart + 100ms);
  ASSERT_TRUE(lost);
  forwarder.record("i2", kStart + 200ms);
  const auto second = forwarder.nextBatch(kStart + 600ms);
  ASSERT_TRUE(second);
  EXPECT_EQ(second->heartbeats.size(), 2U) << "the heartbeats of the lost batch are sent again";
  forwarder.record("i1", kStart + 700ms);
  forwarder.onAcknowledged(second->number);
  const auto third = forwarder.nextBatch(kStart + 1100ms);
  ASSERT_TRUE(third);
  ASSERT_EQ(third->heartbeats.size(), 1U) << "only heartbeats received after the acknowledged batch was sent";
  EXPECT_EQ(third->heartbeats[0].receivedAt, kStart + 700ms);
  forwarder.onAcknowledged(third->number);
  EXPECT_FALSE(forwarder.nextBatch(kStart + 1600ms));
}
TEST(HeartbeatForwarder, ALateAcknowledgementOfAnOlderBatchDropsNothingNewer) {
  HeartbeatForwarder forwarder;
  forwarder.record("i1", kStart);
  const auto first = forwarder.nextBatch(kStart);
  forwarder.record("i1", kStart + 50ms);
  forwarder.onAcknowledged(first->number);
  forwarder.onAcknowledged(first->number);
  EXPECT_TRUE(forwarder.nextBatch(kStart + 500ms));
  forwarder.onAcknowledged(99);
  EXPECT_TRUE(forwarder.nextBatch(kStart + 1000ms));
}
TEST(HeartbeatForwarder, ReportsALeaderThatDoesNotAcknowledge) {
  HeartbeatForwarder forwarder;
  EXPECT_TRUE(forwarder.leaderAcknowledges(kStart)) << "nothing was sent yet";
  std::optional<HeartbeatForwarder::Batch> last;
  for (int i = 0; i < 4; ++i) {
    forwarder.record("i1", kStart + Duration(500 * i));
    last = forwarder.nextBatch(kStart + Duration(500 * i));
  }
  EXPECT_TRUE(forwarder.leaderAcknowledges(kStart + 1500ms));
  EXPECT_FALSE(forwarder.leaderAcknowledges(kStart + 1501ms));
  forwarder.onAcknowledged(last->number);
  EXPECT_TRUE(forwarder.leaderAcknowledges(kStart + 1600ms));
}
TEST(HeartbeatForwarder, ANewLeaderGetsWhatThePreviousOneDidNotAcknowledge) {
  HeartbeatForwarder forwarder;
  forwarder.record("i1", kStart);
  const auto toPrevious = forwarder.nextBatch(kStart);
  forwarder.onLeaderChanged();
  EXPECT_TRUE(forwarder.leaderAcknowledges(kStart + 5s)) << "nothing was sent to the new one yet";
  forwarder.onAcknowledged(toPrevious->number);
  EXPECT_TRUE(forwarder.nextBatch(kStart + 5s)) << "an answer of the previous leader no longer counts";
}

// Regression: a runner that joined through another controller was unknown to the leader until the next batch of that
// controller arrived, and expired at the leader's next check.
TEST(RunnerMonitor, ARunnerSeenForTheFirstTimeHasItsFullTimeout) {
  RunnerMonitor monitor(kHeartbeatInterval);
  monitor.findExpired(kStart, true, {});
  auto now = kStart;
  while (now < kStart + kTimeout + 1s)
    monitor.findExpired(now += 1s, true, {});
  for (const auto end = now + kTimeout; now + 1s <= end;)
    EXPECT_TRUE(monitor.findExpired(now += 1s, true, {runner("i1")}).empty());
  now += 1s;
  now += 1s;
  monitor.findExpired(now, true, {runner("i1")});
  EXPECT_EQ(monitor.findExpired(now += 1s, true, {runner("i1")}).size(), 1U) << "still without a heartbeat";
}
TEST(RunnerMonitor, ALeaderThatHadNoLeaseListensFirst) {
  RunnerMonitor monitor(kHeartbeatInterval);
  auto now = kStart;
  monitor.recordHeartbeat("i1", now);
  for (int i = 0; i < 20; ++i)
    EXPECT_TRUE(monitor.findExpired(now += 1s, false, {runner("i1")}).empty());
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(monitor.findExpired(now += 1s, true, {runner("i1")}).empty())
        << "its heartbeats went to other controllers in the meantime";
  monitor.recordHeartbeat("i1", now);
  for (int i = 0; i < 5; ++i)
    EXPECT_TRUE(monitor.findExpired(now += 1s, true, {runner("i1")}).empty());
}
TEST(RunnerMonitor, ALeaderThatWasSuspendedListensFirst) {
  RunnerMonitor monitor(kHeartbeatInterval);
  auto now = kStart;
  for (int i = 0; i < 10; ++i) {
    monitor.recordHeartbeat("i1", now);
    EXPECT_TRUE(monitor.findExpired(now += 1s, true, {runner("i1")}).empty());
  }
  now += 15s;  // the leader is suspended
  EXPECT_TRUE(monitor.findExpired(now, true, {runner("i1")}).empty());
  EXPECT_TRUE(monitor.findExpired(now += 1s, true, {runner("i1")}).empty());
}
TEST(RunnerMonitor, ASilentRunnerExpires) {
  RunnerMonitor monitor(kHeartbeatInterval);
  auto now = kStart;
  for (int i = 0; i < 10; ++i) {
    monitor.recordHeartbeat("i1", now);
    monitor.recordHeartbeat("i2", now);
    EXPECT_TRUE(monitor.findExpired(now += 1s, true, {runner("i1"), runner("i2")}).empty());
  }
  std::vector<Runner> expired;
  for (int i = 0; i < 6 && expired.empty(); ++i) {
    monitor.recordHeartbeat("i2", now);
    expired = monitor.findExpired(now += 1s, true, {runner("i1"), runner("i2")});
  }
  ASSERT_EQ(expired.size(), 1U);
  EXPECT_EQ(expired[0].id, "i1");
}
