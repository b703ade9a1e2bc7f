// Tests of the replicated state machine: the effect of each kind of log entry (docs/design.md).
#include <gtest/gtest.h>

#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
Runner runner(const std::string& id, const std::string& address, RunnerState state, std::int64_t sequence) {
  return Runner{id, "s", address, "z", 4, sequence, static_cast<std::int32_t>(state)};
}

/// Applies entries with consecutive log indexes.
class ReplicatedStateTest : public testing::Test {
 protected:
  void apply(LogEntry entry) {
    entry.index = ++lastIndex_;
    state_.apply(entry);
  }
  /// Applies a Replace of the configuration and returns its verdict.
  std::optional<ReplicatedState::Verdict> replace(std::int64_t base, std::int64_t version, const std::string& body,
                                                  const std::string& operation) {
    const auto entry = configurationEntry(base, version, body, operation);
    apply(entry);
    return state_.outcomeOf(entry.operationId);
  }

  ReplicatedState state_;

 private:
  std::int64_t lastIndex_ = 0;
};
}  // namespace

TEST_F(ReplicatedStateTest, OneOfTwoReplacesOnTheSameBaseWins) {
  EXPECT_EQ(replace(0, 2, "A", "x"), ReplicatedState::Verdict::acknowledged);

  EXPECT_EQ(replace(2, 5, "B", "y"), ReplicatedState::Verdict::acknowledged);
  EXPECT_EQ(replace(2, 6, "C", "z"), ReplicatedState::Verdict::versionMismatch);

  EXPECT_EQ(state_.state().configuration, "B");
}
TEST_F(ReplicatedStateTest, RepeatedReplaceIsAcknowledgedAgain) {
  EXPECT_EQ(replace(0, 2, "A", "x"), ReplicatedState::Verdict::acknowledged);
  EXPECT_EQ(replace(0, 2, "A", "y"), ReplicatedState::Verdict::acknowledged);
  EXPECT_EQ(replace(2, 4, "B", "z"), ReplicatedState::Verdict::acknowledged);

  EXPECT_EQ(replace(0, 2, "A", "w"), ReplicatedState::Verdict::acknowledged)
      << "accepted earlier, although another version is current";
  EXPECT_EQ(state_.state().version, 4) << "a repeated Replace does not roll back the configuration";
  EXPECT_EQ(replace(0, 2, "A2", "v"), ReplicatedState::Verdict::versionMismatch);
}
TEST_F(ReplicatedStateTest, VersionNotAboveTheCurrentOneIsInvalid) {
  EXPECT_EQ(replace(0, 4, "A", "x"), ReplicatedState::Verdict::acknowledged);

  EXPECT_EQ(replace(4, 4, "B", "y"), ReplicatedState::Verdict::invalidVersion);
  EXPECT_EQ(replace(4, 3, "B", "z"), ReplicatedState::Verdict::invalidVersion);
}
TEST_F(ReplicatedStateTest, RunnerJoinsDrainsAndDetaches) {
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 1), "1"));
  ASSERT_TRUE(state_.runner("i1"));

  apply(runnerEntry(runner("i1", "a:1", RunnerState::draining, 5), "2"));
  EXPECT_EQ(state_.runner("i1")->runnerState(), RunnerState::draining);
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 4), "3"));
  EXPECT_EQ(state_.runner("i1")->runnerState(), RunnerState::draining) << "a late heartbeat changes nothing";
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 9), "4"));
  EXPECT_EQ(state_.runner("i1")->runnerState(), RunnerState::draining) << "a draining runner never returns to service";

  apply(runnerEntry(runner("i1", "a:1", RunnerState::detached, 9), "5"));
  EXPECT_FALSE(state_.runner("i1"));
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 10), "6"));
  EXPECT_FALSE(state_.runner("i1")) << "the runner is permanently detached";
}
TEST_F(ReplicatedStateTest, MissedRunnerMayRejoinAndANewOneReplacesItAtItsAddress) {
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 1), "1"));
  const auto missed = runner("i1", "a:1", RunnerState::detached, 0);

  apply(runnerEntry(missed, "2"));
  EXPECT_FALSE(state_.runner("i1"));
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 7), "3"));
  EXPECT_TRUE(state_.runner("i1"));

  apply(runnerEntry(runner("i2", "a:1", RunnerState::inService, 1), "4"));
  EXPECT_FALSE(state_.runner("i1"));
  EXPECT_TRUE(state_.runner("i2"));
}
TEST_F(ReplicatedStateTest, DuplicateEntryIsAppliedOnce) {
  EXPECT_EQ(replace(0, 2, "A", "x"), ReplicatedState::Verdict::acknowledged);
  apply(runnerEntry(runner("i1", "a:1", RunnerState::detached, 0), "missed"));
  apply(runnerEntry(runner("i1", "a:1", RunnerState::inService, 3), "join"));

  apply(runnerEntry(runner("i1", "a:1", RunnerState::detached, 0), "missed"));
  EXPECT_TRUE(state_.runner("i1")) << "a late duplicate of an older entry has no effect";
  EXPECT_EQ(replace(0, 2, "A", "x"), ReplicatedState::Verdict::acknowledged);
  EXPECT_EQ(state_.state().index, 5) << "the index of the duplicate counts as applied";
}
TEST_F(ReplicatedStateTest, SnapshotRestoresEverything) {
  replace(0, 2, "A", "x");
  apply(runnerEntry(runner("i1", "a:1", RunnerState::draining, 1), "1"));

  ReplicatedState other;
  ASSERT_TRUE(other.restore(state_.snapshot()));
  EXPECT_EQ(other.snapshot(), state_.snapshot());
  EXPECT_EQ(other.state().index, 2);
  EXPECT_FALSE(other.restore("no snapshot at all \xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"));
}
