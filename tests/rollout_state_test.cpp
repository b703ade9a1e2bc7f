// Tests of rollouts in the replicated state: the effects of begin and progress entries, and rollouts in snapshots.
#include <gtest/gtest.h>

#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
using Verdict = ReplicatedState::Verdict;
constexpr std::int64_t kDurationMs = 12000;

Rollout rolloutTo(const std::string& revision, std::int64_t durationMs = kDurationMs) {
  Rollout rollout;
  rollout.service = "s";
  rollout.revision = revision;
  rollout.durationMs = durationMs;
  return rollout;
}
Rollout stepTo(RolloutPhase phase, std::int32_t percent = 0, const std::string& revision = "v2") {
  auto rollout = rolloutTo(revision);
  rollout.setPhase(phase);
  rollout.percent = percent;
  return rollout;
}
Runner runnerOf(const std::string& id, const std::string& revision, const std::string& service = "s") {
  Runner runner{id, service, id + ":1", "z", 4, 1, 0};
  runner.software = {revision, 700};
  return runner;
}

class RolloutState : public testing::Test {
 protected:
  Verdict apply(LogEntry entry) {
    entry.index = ++lastIndex_;
    const auto operationId = entry.operationId;
    change_ = state_.apply(entry);
    return *state_.outcomeOf(operationId);
  }
  Verdict begin(const Rollout& rollout) { return apply(rolloutBeginEntry(rollout, nextId())); }
  Verdict progress(const Rollout& rollout) { return apply(rolloutProgressEntry(rollout, nextId())); }
  void join(const Runner& runner) { apply(runnerEntry(runner, nextId())); }
  std::string nextId() { return "operation/" + std::to_string(++operations_); }

  ReplicatedState state_;
  ReplicatedState::Change change_;

 private:
  std::int64_t lastIndex_ = 0;
  int operations_ = 0;
};
}  // namespace

TEST_F(RolloutState, AnOrderThatIsRepeatedIsAcknowledgedAgainAndChangesNothing) {
  EXPECT_EQ(begin(rolloutTo("v2")), Verdict::acknowledged);
  EXPECT_TRUE(change_.rollouts);
  EXPECT_EQ(progress(stepTo(RolloutPhase::shifting, 25)), Verdict::acknowledged);

  EXPECT_EQ(begin(rolloutTo("v2")), Verdict::acknowledged);
  EXPECT_FALSE(change_.rollouts);
  EXPECT_EQ(state_.rollout("s")->percent, 25) << "the rollout does not begin again";

  EXPECT_EQ(progress(stepTo(RolloutPhase::reverted)), Verdict::acknowledged);
  EXPECT_EQ(begin(rolloutTo("v2")), Verdict::acknowledged)
      << "the acknowledgements of earlier requests may have been lost";
  EXPECT_EQ(state_.rollout("s")->phase(), RolloutPhase::reverted);
}
TEST_F(RolloutState, ASecondRolloutOfAServiceWaitsForTheFirst) {
  begin(rolloutTo("v2"));
  EXPECT_EQ(begin(rolloutTo("v3")), Verdict::conflict);
  EXPECT_EQ(begin(rolloutTo("v2", kDurationMs + 1)), Verdict::conflict);
  EXPECT_EQ(state_.rollout("s")->revision, "v2");

  progress(stepTo(RolloutPhase::reverted));
  EXPECT_EQ(begin(rolloutTo("v3")), Verdict::acknowledged);
  EXPECT_EQ(state_.rollout("s")->revision, "v3");
  EXPECT_EQ(state_.state().rollouts.size(), 1U);
}
TEST_F(RolloutState, ProgressNeverGoesBack) {
  begin(rolloutTo("v2"));
  EXPECT_EQ(progress(stepTo(RolloutPhase::shifting, 50)), Verdict::acknowledged);
  EXPECT_EQ(progress(stepTo(RolloutPhase::shifting, 25)), Verdict::conflict);
  EXPECT_EQ(progress(stepTo(RolloutPhase::canary)), Verdict::conflict);
  EXPECT_EQ(state_.rollout("s")->percent, 50);
}
TEST_F(RolloutState, CompletedAndRevertedAreFinal) {
  begin(rolloutTo("v2"));
  progress(stepTo(RolloutPhase::reverted));
  EXPECT_EQ(progress(stepTo(RolloutPhase::completed, 100)), Verdict::conflict);
  EXPECT_EQ(progress(stepTo(RolloutPhase::reverted)), Verdict::acknowledged);
  EXPECT_EQ(state_.rollout("s")->phase(), RolloutPhase::reverted);
}
TEST_F(RolloutState, ProgressOfAnotherRolloutChangesNothing) {
  EXPECT_EQ(progress(stepTo(RolloutPhase::completed, 100)), Verdict::conflict);
  begin(rolloutTo("v3"));
  EXPECT_EQ(progress(stepTo(RolloutPhase::completed, 100)), Verdict::conflict)
      << "the entry belongs to another revision";
  EXPECT_TRUE(state_.rollout("s")->inProgress());
}
TEST_F(RolloutState, TheElapsedTimeNeverFalls) {
  begin(rolloutTo("v2"));
  auto later = stepTo(RolloutPhase::canary);
  later.elapsedMs = 3000;
  progress(later);
  auto earlier = stepTo(RolloutPhase::shifting, 25);
  earlier.elapsedMs = 2000;
  progress(earlier);
  EXPECT_EQ(state_.rollout("s")->elapsedMs, 3000);
}
TEST_F(RolloutState, CompletionTakesTheOldRunnersOutForGood) {
  join(runnerOf("old-1", "v1"));
  join(runnerOf("old-2", ""));
  join(runnerOf("new-1", "v2"));
  join(runnerOf("other", "v1", "another service"));
  begin(rolloutTo("v2"));
  progress(stepTo(RolloutPhase::completed, 100));
  EXPECT_TRUE(change_.runners);
  EXPECT_FALSE(state_.runner("old-1"));
  EXPECT_FALSE(state_.runner("old-2"));
  EXPECT_TRUE(state_.runner("new-1"));
  EXPECT_TRUE(state_.runner("other"));

  auto late = runnerOf("old-1", "v1");
  late.sequence = 9;
  join(late);
  EXPECT_FALSE(state_.runner("old-1")) << "a late heartbeat of a stopped runner has no effect";
}
TEST_F(RolloutState, ASnapshotKeepsRolloutsAndRevisions) {
  join(runnerOf("old-1", "v1"));
  join(runnerOf("new-1", "v2"));
  begin(rolloutTo("v2"));
  auto step = stepTo(RolloutPhase::shifting, 25);
  step.evidence = {{"r", 1, 2, 3, 4, 5, 6}};
  step.reason = "why";
  progress(step);
  for (const auto& bytes : {state_.snapshot(), state_.snapshotFor("")}) {
    ReplicatedState copy;
    ASSERT_TRUE(copy.restore(bytes));
    ASSERT_TRUE(copy.rollout("s"));
    EXPECT_EQ(copy.rollout("s")->percent, 25);
    EXPECT_EQ(copy.rollout("s")->reason, "why");
    EXPECT_EQ(copy.rollout("s")->evidence.at(0).candidateSlow, 6);
    EXPECT_EQ(copy.runner("new-1")->software, (RunnerSoftware{"v2", 700}));
  }
}
TEST_F(RolloutState, ATornExtensionOfASnapshotIsRefused) {
  join(runnerOf("old-1", "v1"));
  begin(rolloutTo("v2"));
  const auto bytes = state_.snapshot();
  ReplicatedState plain;
  for (std::size_t cut = 1; cut <= 8; ++cut) {
    ReplicatedState copy;
    EXPECT_FALSE(copy.restore(bytes.substr(0, bytes.size() - cut))) << cut;
    EXPECT_EQ(copy.state().index, 0);
  }
}
TEST_F(RolloutState, AStateWithoutRevisionsHasTheSnapshotOfEarlierVersions) {
  Runner plain{"i", "s", "i:1", "z", 4, 1, 0};
  const auto entry = runnerEntry(plain, "x");
  auto withRevision = plain;
  withRevision.software.revision = "v1";
  EXPECT_TRUE(encodeRunner(withRevision).starts_with(entry.body))
      << "earlier versions ignore the bytes after the runner";
  EXPECT_EQ(decodeRunner(entry.body)->software, RunnerSoftware{});
}
TEST_F(RolloutState, ManyServicesAreBoundedAndThoseInProgressStay) {
  for (int serial = 0; serial < 600; ++serial) {
    auto rollout = rolloutTo("v2");
    rollout.service = "s" + std::to_string(serial);
    begin(rollout);
    if (serial == 0)
      continue;
    rollout.setPhase(RolloutPhase::reverted);
    progress(rollout);
  }
  EXPECT_LE(state_.state().rollouts.size(), 256U);
  EXPECT_TRUE(state_.rollout("s0"));
  EXPECT_TRUE(state_.rollout("s599"));
}

// Exhaustive test of all sequences of entries up to a length, because successive leaders may commit entries without
// knowledge of each other's. Which entries are committed, and that all replicas commit the same ones, is verified by
// the model checker of the consensus module.
namespace {
std::vector<LogEntry> allEntries() {
  std::vector<LogEntry> entries;
  int number = 0;
  const auto id = [&number] { return "entry/" + std::to_string(++number); };
  for (const auto* revision : {"v2", "v2", "v3"})
    entries.push_back(rolloutBeginEntry(rolloutTo(revision), id()));
  for (const auto* revision : {"v2", "v3"}) {
    entries.push_back(rolloutProgressEntry(stepTo(RolloutPhase::canary, 0, revision), id()));
    for (const std::int32_t percent : {25, 100})
      entries.push_back(rolloutProgressEntry(stepTo(RolloutPhase::shifting, percent, revision), id()));
    entries.push_back(rolloutProgressEntry(stepTo(RolloutPhase::completed, 100, revision), id()));
    entries.push_back(rolloutProgressEntry(stepTo(RolloutPhase::reverted, 0, revision), id()));
  }
  return entries;
}
std::size_t countViolations(const ReplicatedState& before, const ReplicatedState& after, Verdict verdict,
                            const LogEntry& entry) {
  const auto* old = before.rollout("s");
  const auto* next = after.rollout("s");
  const bool begins = entry.op() == OperationKind::rolloutBegin;
  if (!old)
    return next && !begins ? 1 : 0;
  if (!next)
    return 1;  // the rollout was lost
  if (!next->isSameRollout(*old))
    return old->inProgress() || !begins ? 1 : 0;  // only a begin entry may replace a rollout, and only a final one
  const bool regressed = next->phase() < old->phase() ||
                         (next->phase() == old->phase() && next->percent < old->percent && next->inProgress());
  const bool changedFinalPhase = !old->inProgress() && next->phase() != old->phase();
  const bool rejectedRepeat =
      begins && entry.body == rolloutBeginEntry(rolloutTo(old->revision), "").body && verdict != Verdict::acknowledged;
  const bool baselineRunnerRejoined = !before.runner("old") && after.runner("old");
  const bool lostWithoutCompletion =
      before.runner("old") && !after.runner("old") && next->phase() != RolloutPhase::completed;
  return static_cast<std::size_t>(regressed || changedFinalPhase || rejectedRepeat || baselineRunnerRejoined ||
                                  lostWithoutCompletion);
}
struct EntrySearch {
  std::vector<LogEntry> entries = allEntries();
  std::size_t states = 0, violations = 0;
  void from(const ReplicatedState& state, int depth) {
    ++states;
    if (depth == 0)
      return;
    for (auto entry : entries) {
      entry.index = state.state().index + 1;
      entry.operationId += "/" + std::to_string(depth);
      ReplicatedState next = state;
      next.apply(entry);
      violations += countViolations(state, next, *next.outcomeOf(entry.operationId), entry);
      from(next, depth - 1);
    }
  }
};
}  // namespace
TEST_F(RolloutState, EveryOrderOfEntriesKeepsTheInvariants) {
  join(runnerOf("old", "v1"));
  constexpr int kDepth = 5;
  EntrySearch search;
  search.from(state_, kDepth);
  EXPECT_EQ(search.violations, 0U);
  EXPECT_GT(search.states, 300'000U);
}
