// Tests of deduplication in the replicated state after thousands of changes: repeated Replaces, duplicates of
// operations that were applied long ago, and late heartbeats of runners that detached long ago.
#include "state_machine/deduplication.hpp"

#include <gtest/gtest.h>

#include <random>

#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
constexpr auto kAcknowledged = ReplicatedState::Verdict::acknowledged;
constexpr auto kInvalidVersion = ReplicatedState::Verdict::invalidVersion;
constexpr auto kVersionMismatch = ReplicatedState::Verdict::versionMismatch;
constexpr auto kOutcomeUnknown = ReplicatedState::Verdict::outcomeUnknown;

std::string bodyOf(int version) {
  return "body " + std::to_string(version);
}

/// Applies entries with consecutive log indexes and returns the verdicts that operators get.
class DeduplicationTest : public testing::Test {
 protected:
  void apply(LogEntry entry) {
    entry.index = ++lastIndex_;
    state_.apply(entry);
  }
  std::optional<ReplicatedState::Verdict> replace(std::int64_t base, std::int64_t version, const std::string& body) {
    const auto entry = configurationEntry(base, version, body, "operator/" + std::to_string(++operations_));
    apply(entry);
    return state_.outcomeOf(entry.operationId);
  }
  /// Submits the Replace of `applyChanges` for this version under a new operation id.
  std::optional<ReplicatedState::Verdict> repeatChange(int version) {
    return replace(version - 1, version, bodyOf(version));
  }
  /// Applies the versions 1 to `count`, each based on the previous version.
  void applyChanges(int count) {
    for (int version = 1; version <= count; ++version)
      ASSERT_EQ(repeatChange(version), kAcknowledged);
  }
  void applyRunner(const std::string& id, const std::string& address, RunnerState state, std::int64_t sequence) {
    const Runner runner{id, "s", address, "z", 4, sequence, static_cast<std::int32_t>(state)};
    apply(runnerEntry(runner, "runner/" + id + "/" + std::to_string(runner.state) + "/" + std::to_string(sequence)));
  }
  /// Resets the fixture to an empty state.
  void reset() {
    state_ = {};
    lastIndex_ = 0;
    operations_ = 0;
  }

  ReplicatedState state_;

 private:
  std::int64_t lastIndex_ = 0;
  int operations_ = 0;
};
}  // namespace

TEST_F(DeduplicationTest, RepeatedReplaceIsAcknowledgedAfterManyChanges) {
  for (const int count : {100, 1000, 4000}) {
    reset();
    applyChanges(count);
    for (const int version : {1, 2, count / 2, count - 1, count})
      EXPECT_EQ(repeatChange(version), kAcknowledged) << version << " after " << count << " changes";
    EXPECT_EQ(state_.state().version, count) << "a repeated Replace does not roll back the configuration";
  }
}
TEST_F(DeduplicationTest, OutcomeOfAForgottenReplaceIsUnknown) {
  applyChanges(10000);

  for (const int version : {1, 2, 100, 5000})
    EXPECT_EQ(repeatChange(version), kOutcomeUnknown) << version;
  EXPECT_EQ(repeatChange(9001), kAcknowledged);
  EXPECT_EQ(replace(9000, 9001, "another body"), kVersionMismatch);
  EXPECT_EQ(replace(10000, 100, "below its base"), kInvalidVersion);
  EXPECT_EQ(replace(10000, 10001, "the next"), kAcknowledged);
}
// Each line is a Replace and the answer that the API documentation requires. The lines of a sequence are applied in
// order.
TEST_F(DeduplicationTest, SequencesOfReplacesGetTheSpecifiedAnswers) {
  struct Replace {
    std::int64_t base, version;
    const char* body;
    ReplicatedState::Verdict expected;
    const char* why;
  };
  const std::vector<std::vector<Replace>> sequences = {
      {{0, 3, "A", kAcknowledged, "the first"},
       {0, 3, "A", kAcknowledged, "repeated"},
       {0, 3, "B", kVersionMismatch, "the same version for another change"},
       {0, 5, "B", kVersionMismatch, "on a base that is no longer current"}},
      {{0, 3, "A", kAcknowledged, "the first"},
       {3, 7, "B", kAcknowledged, "one of two operators that both set version 7 on base 3"},
       {3, 7, "C", kVersionMismatch, "the other operator"},
       {3, 7, "C", kVersionMismatch, "the other operator again"},
       {3, 7, "B", kAcknowledged, "the winner again"},
       {7, 9, "C", kAcknowledged, "the other operator, on the winner's version"},
       {3, 7, "B", kAcknowledged, "the winner again, after another change"},
       {3, 7, "C", kVersionMismatch, "the other operator never set version 7"},
       {0, 3, "A", kAcknowledged, "the first again"}},
      {{0, 3, "A", kAcknowledged, "the first"},
       {2, 4, "B", kVersionMismatch, "on a version that never existed"},
       {4, 5, "B", kVersionMismatch, "on a version that does not exist yet"},
       {3, 3, "B", kInvalidVersion, "a version equal to the current one"},
       {3, 2, "B", kInvalidVersion, "a version below the current one"},
       {3, 4, "A", kAcknowledged, "the same body under a new version is a new change"},
       {0, 3, "A", kAcknowledged, "the first version is still known"}},
  };
  for (const auto& sequence : sequences) {
    reset();
    for (const auto& each : sequence)
      EXPECT_EQ(replace(each.base, each.version, each.body), each.expected)
          << each.version << each.body << ": " << each.why;
  }
}
// Of eight concurrent Replaces on the same base, exactly one is accepted. Repeats of all of them at random later times
// must get the same verdict as the first time.
TEST_F(DeduplicationTest, OneOfManyConcurrentReplacesWinsAndItsRepeatsAreNeverRejected) {
  struct Replace {
    std::int64_t version;
    LogEntry entry;
  };
  constexpr int kConcurrent = 8;
  std::mt19937_64 random(14);
  std::vector<Replace> accepted;
  std::vector<Replace> rejected;
  const auto repeatOneOf = [&](const std::vector<Replace>& replaces, const std::string& operation) {
    const auto& [version, entry] = replaces[random() % replaces.size()];
    const auto repeated = configurationEntry(entry.base, version, entry.body, operation);
    apply(repeated);
    return state_.outcomeOf(repeated.operationId);
  };
  for (int round = 0; round < 400; ++round) {
    const auto base = state_.state().version;
    const auto version = base + 1 + static_cast<std::int64_t>(random() % 3);
    int winners = 0;
    for (int i = 0; i < kConcurrent; ++i) {
      const auto body = "round " + std::to_string(round) + " operator " + std::to_string(i);
      const auto entry = configurationEntry(base, version, body, body);
      apply(entry);
      const bool won = state_.outcomeOf(entry.operationId) == kAcknowledged;
      winners += won;
      (won ? accepted : rejected).push_back({version, entry});
    }
    EXPECT_EQ(winners, 1);
    EXPECT_EQ(repeatOneOf(accepted, "winner" + std::to_string(round)), kAcknowledged);
    EXPECT_EQ(repeatOneOf(rejected, "loser" + std::to_string(round)), kVersionMismatch);
  }
}
TEST_F(DeduplicationTest, OperationAppliedLongAgoIsNotAppliedAgain) {
  applyRunner("i1", "a:1", RunnerState::inService, 1);
  const Runner missed{"i1", "s", "a:1", "z", 4, 0, static_cast<std::int32_t>(RunnerState::detached)};
  apply(runnerEntry(missed, "missed/i1/1"));
  applyRunner("i1", "a:1", RunnerState::inService, 7);
  for (int i = 0; i < 2000; ++i)
    applyRunner("other" + std::to_string(i), "b:" + std::to_string(i), RunnerState::inService, 1);

  apply(runnerEntry(missed, "missed/i1/1"));

  EXPECT_TRUE(state_.runner("i1")) << "a late duplicate of an older entry has no effect";
}
TEST_F(DeduplicationTest, RunnerDetachedLongAgoDoesNotRejoin) {
  for (int i = 0; i < 2000; ++i) {
    const auto id = "i" + std::to_string(i);
    const auto address = "a:" + std::to_string(i);
    applyRunner(id, address, RunnerState::inService, 1);
    applyRunner(id, address, RunnerState::draining, 40);
    applyRunner(id, address, RunnerState::detached, 40);
  }

  for (const int i : {0, 300, 1000, 1999}) {
    const auto id = "i" + std::to_string(i);
    EXPECT_TRUE(state_.isDetached(id)) << id;
    applyRunner(id, "a:" + std::to_string(i), RunnerState::inService, 39);
    EXPECT_FALSE(state_.runner(id)) << id << ": a late heartbeat does not make the runner join again";
  }
}
// Rule DRAIN: no request goes to a runner long after its draining was acknowledged. A late heartbeat of a draining
// runner that was removed must not make the runner join again.
TEST_F(DeduplicationTest, DrainingRunnerThatWasMissedOrReplacedDoesNotRejoin) {
  applyRunner("missed", "a:1", RunnerState::inService, 1);
  applyRunner("missed", "a:1", RunnerState::draining, 5);
  applyRunner("missed", "a:1", RunnerState::detached, 0);
  applyRunner("missed", "a:1", RunnerState::inService, 4);
  EXPECT_FALSE(state_.runner("missed"));

  applyRunner("replaced", "a:2", RunnerState::inService, 1);
  applyRunner("replaced", "a:2", RunnerState::draining, 5);
  applyRunner("new", "a:2", RunnerState::inService, 1);
  applyRunner("replaced", "a:2", RunnerState::inService, 4);
  EXPECT_FALSE(state_.runner("replaced"));
  EXPECT_TRUE(state_.runner("new")) << "the late heartbeat does not replace the new runner at the same address";

  // A runner that was removed while in service, because its heartbeats were missed, may join again.
  applyRunner("healthy", "a:3", RunnerState::inService, 1);
  applyRunner("healthy", "a:3", RunnerState::detached, 0);
  applyRunner("healthy", "a:3", RunnerState::inService, 9);
  EXPECT_TRUE(state_.runner("healthy"));
}
