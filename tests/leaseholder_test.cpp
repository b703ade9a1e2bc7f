/// @file
/// Unit tests of the leaseholder of a shard: which calls it executes, when it answers them and what it guarantees.
#include "coordination/leaseholder.hpp"

#include <gtest/gtest.h>

#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::coordination;
namespace {
Command commandOf(CommandKind kind, const std::string& name) {
  Command command;
  command.kind = static_cast<std::int32_t>(kind);
  command.name = name;
  command.holder = "a";
  command.holdMs = 1000;
  return command;
}
Command putOf(const std::string& cell, const std::string& value) {
  auto command = commandOf(CommandKind::putCell, cell);
  command.value = value;
  command.argument = kAnyRevision;
  return command;
}
/// A leaseholder with a log that is committed by the test.
struct LeaseholderFixture {
  ShardState state;
  bool hasLease = true;
  std::function<void()> beforeLeaseCheck = [] {};
  Leaseholder leaseholder{state, [this] {
                            beforeLeaseCheck();
                            return hasLease;
                          }};
  TimePoint now{std::chrono::seconds(100)};
  int proposals = 0;
  std::int64_t lastIndex = 0;

  LeaseholderFixture() { leaseholder.startTerm(now); }
  std::optional<transport::LogEntry> propose() {
    auto entry = leaseholder.nextBatch(now, "op" + std::to_string(proposals + 1));
    proposals += entry ? 1 : 0;
    return entry;
  }
  void commit(transport::LogEntry entry) {
    entry.index = ++lastIndex;
    leaseholder.onApplied(entry, state.apply(entry));
  }
  /// Proposes and commits batches until no call is queued.
  void commitAll() {
    while (auto entry = propose())
      commit(*entry);
  }
  std::vector<CallResult> results() { return leaseholder.takeResults(); }
  CallResult onlyResult() {
    const auto all = results();
    EXPECT_EQ(all.size(), 1U);
    return all.empty() ? CallResult{} : all.front();
  }
};
}  // namespace

TEST(Leaseholder, AnswersAWriteOnlyOnceItIsApplied) {
  LeaseholderFixture holder;
  holder.leaseholder.call(1, putOf("g.a", "v"));
  EXPECT_TRUE(holder.results().empty());
  const auto entry = holder.propose();
  ASSERT_TRUE(entry);
  EXPECT_TRUE(holder.results().empty()) << "the entry is proposed but not committed";
  holder.commit(*entry);
  const auto result = holder.onlyResult();
  EXPECT_EQ(result.status, CallStatus::executed);
  EXPECT_EQ(result.outcome.number, 1);
}
TEST(Leaseholder, GathersWhatComesWhileABatchIsInFlight) {
  LeaseholderFixture holder;
  holder.leaseholder.call(1, putOf("g.a", "v1"));
  const auto first = holder.propose();
  for (int i = 2; i <= 9; ++i)
    holder.leaseholder.call(i, putOf("g.a", "v" + std::to_string(i)));
  EXPECT_FALSE(holder.propose()) << "only one batch may be in flight";
  holder.commit(*first);
  const auto second = holder.propose();
  ASSERT_TRUE(second);
  EXPECT_EQ(avro::decode<CommandBatch>(second->body)->commands.size(), 8U);
  EXPECT_FALSE(holder.propose());
}
TEST(Leaseholder, ALostTermLeavesProposedCallsUnknownAndTheOthersNotExecuted) {
  LeaseholderFixture holder;
  holder.leaseholder.call(1, putOf("g.a", "v1"));
  const auto inFlight = holder.propose();
  holder.leaseholder.call(2, putOf("g.a", "v2"));
  holder.leaseholder.call(3, commandOf(CommandKind::nextNumber, "n"));
  holder.leaseholder.endTerm();
  std::map<std::int64_t, CallStatus> ended;
  for (const auto& result : holder.results())
    ended[result.callId] = result.status;
  EXPECT_EQ(ended[1], CallStatus::unknown);
  EXPECT_EQ(ended[2], CallStatus::notExecuted);
  EXPECT_EQ(ended[3], CallStatus::notExecuted);
  // The new term commits the entry of the previous term, but the calls of that entry must not be answered again.
  holder.leaseholder.startTerm(holder.now);
  holder.commit(*inFlight);
  EXPECT_TRUE(holder.results().empty());
  holder.commitAll();
  EXPECT_EQ(holder.state.readCell("g.a").value, "v1") << "a call that was reported as not executed must have no effect";
}
TEST(Leaseholder, WithoutALeaseNothingIsExecuted) {
  LeaseholderFixture holder;
  holder.hasLease = false;
  int callId = 0;
  for (const auto kind : {CommandKind::acquireLock, CommandKind::renewLock, CommandKind::releaseLock,
                          CommandKind::nextNumber, CommandKind::putCell, CommandKind::getCell, CommandKind::readIndex})
    holder.leaseholder.call(++callId, commandOf(kind, "g.a"));
  const auto results = holder.results();
  EXPECT_EQ(results.size(), 7U);
  for (const auto& result : results)
    EXPECT_EQ(result.status, CallStatus::notExecuted);
  EXPECT_FALSE(holder.propose());
}
// Guards against stale reads. A process may be suspended after it has checked its lease and resume long after the lease
// has expired, with an outdated value. The lease must therefore be checked again after the evaluation.
TEST(Leaseholder, AReadIsNotAnsweredIfTheLeaseEndsDuringItsEvaluation) {
  LeaseholderFixture holder;
  holder.leaseholder.call(1, putOf("g.a", "v"));
  holder.commitAll();
  (void)holder.results();
  int checks = 0;
  holder.beforeLeaseCheck = [&] { holder.hasLease = ++checks == 1; };
  holder.leaseholder.call(2, commandOf(CommandKind::getCell, "g.a"));
  EXPECT_EQ(holder.onlyResult().status, CallStatus::notExecuted);
  checks = 0;
  holder.leaseholder.call(3, commandOf(CommandKind::readIndex, "g."));
  EXPECT_EQ(holder.onlyResult().status, CallStatus::notExecuted);
}
TEST(Leaseholder, ReadsComeFromMemory) {
  LeaseholderFixture holder;
  holder.leaseholder.call(1, putOf("g.a", "v"));
  holder.commitAll();
  (void)holder.results();
  holder.leaseholder.call(2, commandOf(CommandKind::getCell, "g.a"));
  const auto result = holder.onlyResult();
  EXPECT_EQ(result.outcome.value, "v");
  EXPECT_EQ(result.outcome.number, 1);
  EXPECT_FALSE(holder.propose());
}
TEST(Leaseholder, NumbersComeFromABlockAndNeverTwice) {
  LeaseholderFixture holder;
  std::int64_t newest = 0;
  int entries = 0;
  for (int i = 1; i <= 300; ++i) {
    holder.leaseholder.call(i, commandOf(CommandKind::nextNumber, "n"));
    while (auto entry = holder.propose()) {
      ++entries;
      holder.commit(*entry);
    }
    const auto number = holder.onlyResult().outcome.number;
    EXPECT_GT(number, newest);
    newest = number;
    if (i == 150)  // a new term does not use the rest of the block
      holder.leaseholder.startTerm(holder.now);
  }
  EXPECT_LT(entries, 10);
}
TEST(Leaseholder, ANumberDrawnWhenTheLeaseIsOverIsDropped) {
  LeaseholderFixture holder;
  holder.leaseholder.call(1, commandOf(CommandKind::nextNumber, "n"));
  const auto reservation = holder.propose();
  holder.hasLease = false;
  holder.commit(*reservation);
  EXPECT_EQ(holder.onlyResult().status, CallStatus::notExecuted);
}
TEST(Leaseholder, ManyNumbersAtOnceWaitForAsManyBlocks) {
  LeaseholderFixture holder;
  for (int i = 1; i <= 200; ++i)
    holder.leaseholder.call(i, commandOf(CommandKind::nextNumber, "n"));
  holder.commitAll();
  std::set<std::int64_t> numbers;
  for (const auto& result : holder.results())
    numbers.insert(result.outcome.number);
  EXPECT_EQ(numbers.size(), 200U);
}
// The shard's time never runs faster than real time, regardless of the timing of the batches, and does not advance
// between two terms. A lock is therefore never kept for less than the requested duration.
TEST(Leaseholder, TheShardsTimeNeverRunsAheadOfTheClock) {
  LeaseholderFixture holder;
  const auto begun = holder.now;
  std::int64_t timeBetweenTermsMs = 0;
  for (int i = 1; i <= 500; ++i) {
    holder.now += std::chrono::microseconds(100 + (i * 7919) % 9000);
    holder.leaseholder.call(i, putOf("g.a", "v" + std::to_string(i)));
    holder.commitAll();
    if (i == 250) {
      const auto at = holder.now;
      holder.now += 3s;
      holder.leaseholder.startTerm(holder.now);
      timeBetweenTermsMs = toDuration(holder.now - at).count();
    }
  }
  const auto totalElapsedMs = toDuration(holder.now - begun).count();
  EXPECT_LE(holder.state.timeMs(), totalElapsedMs - timeBetweenTermsMs);
  EXPECT_GE(holder.state.timeMs(), totalElapsedMs - timeBetweenTermsMs - 3) << "rounding errors must not accumulate";
}
TEST(Leaseholder, TimeIsStampedWhileLocksAreTaken) {
  LeaseholderFixture holder;
  holder.now += 10s;
  holder.leaseholder.tick(holder.now);
  EXPECT_FALSE(holder.propose()) << "no lock is taken, so the time need not be recorded";
  holder.leaseholder.call(1, commandOf(CommandKind::acquireLock, "l"));
  holder.commitAll();
  holder.now += 100ms;
  holder.leaseholder.tick(holder.now);
  EXPECT_FALSE(holder.propose());
  holder.now += 100ms;
  holder.leaseholder.tick(holder.now);
  const auto stamp = holder.propose();
  ASSERT_TRUE(stamp);
  EXPECT_EQ(avro::decode<CommandBatch>(stamp->body)->elapsedMs, 200);
}
TEST(Leaseholder, AFullQueueRefuses) {
  LeaseholderFixture holder;
  for (int i = 1; i <= 5000; ++i)
    holder.leaseholder.call(i, putOf("g.a", "v" + std::to_string(i)));
  const auto refused = holder.results();
  EXPECT_FALSE(refused.empty());
  for (const auto& result : refused)
    EXPECT_EQ(result.status, CallStatus::notExecuted);
  EXPECT_EQ(holder.leaseholder.pendingCalls() + refused.size(), 5000U);
}
