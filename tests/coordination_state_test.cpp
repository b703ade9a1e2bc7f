/// @file
/// Unit tests of the replicated state of a shard: the guarantees for locks, numbers, cells and watches, and snapshots.
#include <gtest/gtest.h>

#include "coordination/shard_state.hpp"
#include "coordination/sharding.hpp"
#include "coordination/watch_query.hpp"
#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::coordination;
namespace {
constexpr std::int64_t kHistoryMs = 40'000;

Command commandOf(CommandKind kind, const std::string& name) {
  Command command;
  command.kind = static_cast<std::int32_t>(kind);
  command.name = name;
  return command;
}
/// A shard to which batches are applied one after the other.
struct Shard {
  ShardState state;
  std::int64_t lastIndex = 0;

  explicit Shard(StateLimits limits = {}) : state(limits) {}
  std::vector<Outcome> apply(std::int64_t elapsedMs, std::vector<Command> commands) {
    transport::LogEntry entry;
    entry.index = ++lastIndex;
    entry.kind = static_cast<std::int32_t>(transport::OperationKind::coordination);
    entry.body = avro::encode(CommandBatch{elapsedMs, kHistoryMs, std::move(commands)});
    return state.apply(entry);
  }
  void advanceTime(std::int64_t elapsedMs) { (void)apply(elapsedMs, {}); }
  Outcome acquire(const std::string& lock, const std::string& holder, std::int64_t holdMs) {
    auto command = commandOf(CommandKind::acquireLock, lock);
    command.holder = holder;
    command.holdMs = holdMs;
    return apply(0, {command}).front();
  }
  Outcome renew(const std::string& lock, const std::string& holder, std::int64_t fence, std::int64_t holdMs) {
    auto command = commandOf(CommandKind::renewLock, lock);
    command.holder = holder;
    command.fence = fence;
    command.holdMs = holdMs;
    return apply(0, {command}).front();
  }
  Outcome release(const std::string& lock, const std::string& holder, std::int64_t fence) {
    auto command = commandOf(CommandKind::releaseLock, lock);
    command.holder = holder;
    command.fence = fence;
    return apply(0, {command}).front();
  }
  Outcome put(const std::string& cell, const std::string& value, std::int64_t appliesTo = kAnyRevision) {
    auto command = commandOf(CommandKind::putCell, cell);
    command.value = value;
    command.argument = appliesTo;
    return apply(0, {command}).front();
  }
  std::int64_t reserve(const std::string& name, std::int64_t count) {
    auto command = commandOf(CommandKind::reserveNumbers, name);
    command.argument = count;
    return apply(0, {command}).front().number;
  }
  /// Replaces the state with the one restored from its snapshot.
  void restart() {
    const auto snapshot = state.snapshot();
    state = ShardState();
    ASSERT_TRUE(state.restore(snapshot));
    EXPECT_EQ(state.snapshot(), snapshot);
  }
};
constexpr auto kDone = OutcomeKind::done, kLockTaken = OutcomeKind::lockTaken,
               kRevisionMismatch = OutcomeKind::revisionMismatch;
}  // namespace

TEST(CoordinationLocks, OneHolderUntilTheHoldIsOver) {
  Shard shard;
  const auto first = shard.acquire("l", "a", 3000);
  EXPECT_EQ(first.result(), kDone);
  EXPECT_EQ(shard.acquire("l", "b", 3000).result(), kLockTaken);
  shard.advanceTime(3000);
  EXPECT_EQ(shard.acquire("l", "b", 3000).result(), kLockTaken)
      << "a holder with a slow clock may still rely on the lock";
  shard.advanceTime(100);
  const auto second = shard.acquire("l", "b", 3000);
  EXPECT_EQ(second.result(), kDone);
  EXPECT_GT(second.number, first.number);
  EXPECT_EQ(shard.renew("l", "a", first.number, 3000).result(), kLockTaken) << "the lock has expired";
}
TEST(CoordinationLocks, ARenewalKeepsTheLockAndNeverShortensTheHold) {
  Shard shard;
  const auto fence = shard.acquire("l", "a", 3000).number;
  EXPECT_EQ(shard.renew("l", "a", fence, 10).result(), kDone);
  shard.advanceTime(2900);
  EXPECT_EQ(shard.acquire("l", "b", 1).result(), kLockTaken);
  EXPECT_EQ(shard.renew("l", "a", fence, 3000).result(), kDone);
  shard.advanceTime(2900);
  EXPECT_EQ(shard.acquire("l", "b", 1).result(), kLockTaken);
}
// A renewal may race with the expiry of its lock. The order of the log decides: a renewal after the expiry fails.
TEST(CoordinationLocks, ARenewalAfterTheEndIsRefusedAlsoIfNobodyElseAsked) {
  Shard shard;
  const auto fence = shard.acquire("l", "a", 100).number;
  shard.advanceTime(200);
  EXPECT_EQ(shard.renew("l", "a", fence, 3000).result(), kLockTaken);
  EXPECT_EQ(shard.acquire("l", "b", 100).result(), kDone);
}
// A holder that restarts keeps its name. A release from before the restart must not release the lock after the holder
// has acquired it again.
TEST(CoordinationLocks, AReleaseOfAnEarlierHoldFreesNothing) {
  Shard shard;
  const auto before = shard.acquire("l", "a", 3000).number;
  const auto again = shard.acquire("l", "a", 3000).number;
  EXPECT_GT(again, before);
  EXPECT_EQ(shard.release("l", "a", before).result(), kDone) << "a release with an old fence succeeds without effect";
  EXPECT_EQ(shard.acquire("l", "b", 3000).result(), kLockTaken);
  EXPECT_EQ(shard.release("l", "a", again).result(), kDone);
  EXPECT_EQ(shard.acquire("l", "b", 3000).result(), kDone);
}
TEST(CoordinationLocks, FencesRiseOverReleasesSnapshotsAndForgottenLocks) {
  Shard shard;
  std::int64_t newest = 0;
  for (int round = 0; round < 5; ++round) {
    const auto fence = shard.acquire("l", "holder" + std::to_string(round % 2), 100).number;
    EXPECT_GT(fence, newest);
    newest = fence;
    if (round % 2 == 0)
      shard.release("l", "holder" + std::to_string(round % 2), fence);
    else
      shard.advanceTime(5000);
    shard.restart();
  }
  EXPECT_EQ(shard.state.lockCount(), 0U) << "expired locks are removed";
}
TEST(CoordinationNumbers, BlocksNeverOverlap) {
  Shard shard;
  EXPECT_EQ(shard.reserve("n", 64), 0);
  shard.restart();
  EXPECT_EQ(shard.reserve("n", 10), 64);
  EXPECT_EQ(shard.reserve("n", 10), 74);
  EXPECT_EQ(shard.reserve("other", 10), 0);
}
TEST(CoordinationCells, OneRisingSequenceOfRevisionsAGroup) {
  Shard shard;
  EXPECT_EQ(shard.put("g1.a", "v1").number, 1);
  EXPECT_EQ(shard.put("g1.b", "v2").number, 2);
  EXPECT_EQ(shard.put("g2.a", "v3").number, 1);
  EXPECT_EQ(shard.put("g1.a", "v4").number, 3);
  EXPECT_EQ(shard.state.readCell("g1.a").value, "v4");
  EXPECT_EQ(shard.state.readCell("g1.a").number, 3);
  EXPECT_EQ(shard.state.readCell("g1.c").result(), OutcomeKind::notFound);
  EXPECT_EQ(shard.state.revisionOf("g1."), 3);
}
TEST(CoordinationCells, APutAppliesToTheRevisionThatItNames) {
  Shard shard;
  EXPECT_EQ(shard.put("g.a", "v1", 0).number, 1);
  shard.put("g.other", "v2");
  const auto late = shard.put("g.a", "v3", 0);
  EXPECT_EQ(late.result(), kRevisionMismatch);
  EXPECT_EQ(late.number, 1) << "the outcome contains the revision of the cell, not of the group";
  EXPECT_EQ(shard.put("g.a", "v3", 1).number, 3);
  EXPECT_EQ(shard.put("g.new", "v4", 7).result(), kRevisionMismatch);
  EXPECT_EQ(shard.put("g.new", "v4", 7).number, 0);
}
// A repeated put is recognized by its value before its expected revision is compared. Otherwise it would fail with a
// mismatch, because its first execution has already changed the revision.
TEST(CoordinationCells, ARepeatedPutGetsItsFirstRevision) {
  Shard shard;
  shard.put("g.a", "v0");
  EXPECT_EQ(shard.put("g.a", "v1", 1).number, 2);
  EXPECT_EQ(shard.put("g.a", "v1", 1).number, 2);
  EXPECT_EQ(shard.put("g.a", "v2", 2).number, 3);
  EXPECT_EQ(shard.put("g.a", "v1", 1).number, 2) << "the put is also recognized after another put";
  EXPECT_EQ(shard.state.readCell("g.a").value, "v2");
  shard.restart();
  EXPECT_EQ(shard.put("g.a", "v1").number, 2)
      << "the put is recognized after a restart and without an expected revision";
  EXPECT_EQ(shard.state.readCell("g.a").value, "v2");
  shard.advanceTime(kHistoryMs / 2);
  EXPECT_EQ(shard.put("g.a", "v1", 1).number, 2);
}
TEST(CoordinationCells, AWatchFindsEveryPutAboveItsRevision) {
  Shard shard;
  for (int i = 1; i <= 6; ++i)
    shard.put("g." + std::to_string(i % 3), "v" + std::to_string(i));
  const auto all = shard.state.eventsAfter("g.", 2, 1000);
  ASSERT_EQ(all.events.size(), 4U);
  for (std::size_t i = 0; i < all.events.size(); ++i)
    EXPECT_EQ(all.events[i].revision, static_cast<std::int64_t>(i) + 3);
  EXPECT_EQ(all.revision, 6);
  const auto some = shard.state.eventsAfter("g.", 2, 10);
  EXPECT_EQ(some.events.size(), 2U);
  EXPECT_EQ(some.revision, 4) << "the answer contains the last revision that it includes";
  EXPECT_EQ(shard.state.eventsAfter("g.", 2, 1).events.size(), 1U) << "at least one event is returned";
  EXPECT_EQ(shard.state.eventsAfter("g.", 9, 1000).revision, 9) << "the revision is never lower than the requested one";
  EXPECT_TRUE(shard.state.eventsAfter("none.", 3, 1000).events.empty());
}
// Guards against an outdated answer to a watch. When the time of the watch was up, a replica that lagged behind
// answered without events, although puts had been acknowledged before the watch was sent. A seeded simulation found
// this.
TEST(CoordinationCells, AReplicaThatLagsUntilTheTimeIsUpDoesNotAnswerAWatch) {
  Shard shard;
  shard.put("g.a", "v1");
  shard.put("g.a", "v2");
  const WatchQuery behind{"g.", 1, shard.lastIndex + 1};
  EXPECT_FALSE(answerWatch(shard.state, behind, false)) << "the watch waits until the replica has caught up";
  EXPECT_FALSE(answerWatch(shard.state, behind, true).value().has_value()) << "the watch fails once its time is up";
  const WatchQuery present{"g.", 0, shard.lastIndex + 1};
  EXPECT_FALSE(answerWatch(shard.state, present, true).value().has_value());
  shard.advanceTime(10);
  EXPECT_EQ(answerWatch(shard.state, behind, false).value()->events.size(), 1U);
  EXPECT_EQ(answerWatch(shard.state, present, false).value()->revision, 2);
  const WatchQuery newest{"g.", 2, shard.lastIndex};
  EXPECT_FALSE(answerWatch(shard.state, newest, false));
  EXPECT_TRUE(answerWatch(shard.state, newest, true).value()->events.empty());
}
TEST(CoordinationCells, TheHistoryIsKeptForItsTimeAndThenDiscarded) {
  Shard shard;
  shard.put("g.a", "v1");
  shard.advanceTime(kHistoryMs);
  shard.put("g.a", "v2");
  EXPECT_FALSE(shard.state.eventsAfter("g.", 0, 1000).discarded) << "the put has exactly the maximum age";
  shard.advanceTime(2000);
  EXPECT_TRUE(shard.state.eventsAfter("g.", 0, 1000).discarded);
  EXPECT_FALSE(shard.state.eventsAfter("g.", 1, 1000).discarded) << "all puts above revision 1 are in the history";
  EXPECT_EQ(shard.state.eventsAfter("g.", 1, 1000).events.size(), 1U);
  shard.restart();
  EXPECT_TRUE(shard.state.eventsAfter("g.", 0, 1000).discarded);
  EXPECT_EQ(shard.state.readCell("g.a").value, "v2");
  shard.advanceTime(2 * kHistoryMs);
  EXPECT_EQ(shard.put("g.a", "v2").number, 2) << "the current value of a cell is recognized regardless of its age";
}
TEST(CoordinationState, LimitsRefuseWhatIsNewAndServeWhatIsThere) {
  Shard shard({.names = 2, .cellBytes = 40});
  EXPECT_EQ(shard.acquire("l1", "a", 1000).result(), kDone);
  EXPECT_EQ(shard.acquire("l2", "a", 1000).result(), kDone);
  EXPECT_EQ(shard.acquire("l3", "a", 1000).result(), OutcomeKind::limitReached);
  EXPECT_EQ(shard.acquire("l1", "a", 1000).result(), kDone);
  EXPECT_EQ(shard.put("g.a", "value").result(), kDone);
  EXPECT_EQ(shard.put("g.b", std::string(100, 'x')).result(), OutcomeKind::limitReached);
  EXPECT_EQ(shard.state.readCell("g.b").result(), OutcomeKind::notFound);
  EXPECT_EQ(shard.put("g.a", "value").number, 1);
}
TEST(CoordinationState, UnreadableBytesChangeNothing) {
  Shard shard;
  shard.put("g.a", "v1");
  const auto before = shard.state.snapshot();
  EXPECT_FALSE(shard.state.restore("\xff\xff\xff"));
  EXPECT_EQ(shard.state.snapshot(), before);
  transport::LogEntry entry;
  entry.index = ++shard.lastIndex;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::coordination);
  entry.body = "\xff\xff";
  EXPECT_TRUE(shard.state.apply(entry).empty());
  EXPECT_EQ(shard.state.readCell("g.a").value, "v1");
  EXPECT_EQ(shard.state.index(), 2);
}
TEST(CoordinationSharding, AGroupLiesInOneShard) {
  EXPECT_EQ(groupOf("g1.2d"), "g1.");
  EXPECT_EQ(groupOf("g1.2d.x"), "g1.");
  EXPECT_EQ(groupOf("plain"), "plain");
  const auto put = commandOf(CommandKind::putCell, "g1.2d");
  EXPECT_EQ(shardOf(put), shardOf(commandOf(CommandKind::getCell, "g1.zz")));
  EXPECT_EQ(shardOf(put), shardOf(commandOf(CommandKind::readIndex, "g1.")));
}
