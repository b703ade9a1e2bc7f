// The retry decision after an attempt, checked for all combinations of its inputs.
#include "retry.hpp"

#include <gtest/gtest.h>

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
namespace {
constexpr RequestKind kKinds[] = {RequestKind::safe, RequestKind::unsafe, RequestKind::stream,
                                  RequestKind::resumableStream};
constexpr AttemptOutcome kOutcomes[] = {AttemptOutcome::completed,          AttemptOutcome::notSent,
                                        AttemptOutcome::notExecuted,        AttemptOutcome::interrupted,
                                        AttemptOutcome::migrated,           AttemptOutcome::failed,
                                        AttemptOutcome::clientDisconnected, AttemptOutcome::deadlineExceeded};
template <class Function>
int forEachInput(Function function) {
  int inputCount = 0;
  for (auto kind : kKinds)
    for (auto outcome : kOutcomes)
      for (bool ranBefore : {false, true})
        for (bool started : {false, true})
          for (bool resumable : {false, true})
            for (int used = 0; used <= 4; ++used)
              for (int allowed = 0; allowed <= 4; ++allowed) {
                function(
                    RetryState{kind, outcome, ranBefore || mayHaveRun(outcome), started, resumable, used, allowed});
                ++inputCount;
              }
  return inputCount;
}
std::string describe(const RetryState& state) {
  return "kind " + std::to_string(static_cast<int>(state.kind)) + " outcome " +
         std::to_string(static_cast<int>(state.outcome)) + (state.mayHaveRun ? " ran" : "") +
         (state.responseStarted ? " started" : "") + (state.resumePointKnown ? " resumable" : "") + " " +
         std::to_string(state.runnersUsed) + "/" + std::to_string(state.runnersAllowed);
}
// The documented retry rules, each evaluated separately and independently of the order in which the code checks them.
bool mayRetry(const RetryState& state) {
  const bool isOver = state.outcome == AttemptOutcome::completed ||
                      state.outcome == AttemptOutcome::clientDisconnected ||
                      state.outcome == AttemptOutcome::deadlineExceeded;
  const bool alreadyRanUnsafe = !idempotent(state.kind) && state.mayHaveRun;
  const bool runnersLeft = state.runnersUsed < state.runnersAllowed;
  const bool isContinuable =
      !state.responseStarted || (state.kind == RequestKind::resumableStream && state.resumePointKnown);
  return !isOver && !alreadyRanUnsafe && runnersLeft && isContinuable;
}
}  // namespace

TEST(RetryDecision, RetriesExactlyWhenAllRulesAllowIt) {
  const int inputCount = forEachInput([](const RetryState& state) {
    EXPECT_EQ(decide(state) == RetryDecision::nextRunner, mayRetry(state)) << describe(state);
  });
  EXPECT_EQ(inputCount, 4 * 8 * 2 * 2 * 2 * 5 * 5);
}
TEST(RetryDecision, NeverPromisesThatItHasNotRunWhenItMayHave) {
  forEachInput([](const RetryState& state) {
    for (auto decision : {decide(state), conclude(state)})
      if (decision == RetryDecision::respondUnavailable) {
        EXPECT_FALSE(state.mayHaveRun) << describe(state);
      }
  });
}
TEST(RetryDecision, NothingIsAnsweredTwiceNorToADisconnectedClient) {
  forEachInput([](const RetryState& state) {
    for (auto decision : {decide(state), conclude(state)}) {
      if (state.outcome == AttemptOutcome::completed) {
        EXPECT_EQ(decision, RetryDecision::finished) << describe(state);
      } else {
        EXPECT_NE(decision, RetryDecision::finished) << describe(state);
      }
      if (state.outcome == AttemptOutcome::clientDisconnected) {
        EXPECT_EQ(decision, RetryDecision::closeConnection) << describe(state);
      }
      // A response that has begun is continued or cut off. A second response must never follow it.
      if (state.responseStarted && state.outcome != AttemptOutcome::completed) {
        EXPECT_TRUE(decision == RetryDecision::closeConnection || decision == RetryDecision::nextRunner)
            << describe(state);
      }
    }
    EXPECT_NE(conclude(state), RetryDecision::nextRunner) << describe(state);
  });
}
TEST(RetryDecision, TheAnswerNamesWhatHappened) {
  forEachInput([](const RetryState& state) {
    if (state.responseStarted)
      return;
    const auto decision = conclude(state);
    if (state.outcome == AttemptOutcome::failed) {
      EXPECT_EQ(decision, RetryDecision::forwardFailure) << describe(state);
    }
    if (state.outcome == AttemptOutcome::deadlineExceeded) {
      EXPECT_EQ(decision, RetryDecision::respondTimeout) << describe(state);
    }
    if (state.outcome == AttemptOutcome::interrupted || state.outcome == AttemptOutcome::migrated) {
      EXPECT_EQ(decision, RetryDecision::respondBadGateway) << describe(state);
    }
    if (state.outcome == AttemptOutcome::notSent || state.outcome == AttemptOutcome::notExecuted) {
      EXPECT_EQ(decision, state.mayHaveRun ? RetryDecision::respondBadGateway : RetryDecision::respondUnavailable)
          << describe(state);
    }
  });
}
TEST(RetryDecision, KindsFollowFromTheRoute) {
  Route route;
  route.type = RouteType::safe;
  EXPECT_EQ(kindOf(route), RequestKind::safe);
  route.type = RouteType::unsafe;
  EXPECT_EQ(kindOf(route), RequestKind::unsafe);
  route.type = RouteType::stream;
  EXPECT_EQ(kindOf(route), RequestKind::stream);
  route.streamResume = true;
  EXPECT_EQ(kindOf(route), RequestKind::resumableStream);
  for (auto type : {RouteType::safe, RouteType::unsafe, RouteType::stream})
    for (bool resume : {false, true}) {
      route.type = type, route.streamResume = resume;
      EXPECT_EQ(idempotent(kindOf(route)), route.idempotent());
    }
}
