// The decision after each attempt, over everything that it depends on.
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
template <class F>
int forEachInput(F f) {
  int n = 0;
  for (auto kind : kKinds)
    for (auto outcome : kOutcomes)
      for (bool ranBefore : {false, true})
        for (bool started : {false, true})
          for (bool resumable : {false, true})
            for (int used = 0; used <= 4; ++used)
              for (int allowed = 0; allowed <= 4; ++allowed) {
                f(RetryState{kind, outcome, ranBefore || mayHaveRun(outcome), started, resumable, used, allowed});
                ++n;
              }
  return n;
}
std::string text(const RetryState& in) {
  return "kind " + std::to_string(static_cast<int>(in.kind)) + " outcome " +
         std::to_string(static_cast<int>(in.outcome)) + (in.mayHaveRun ? " ran" : "") +
         (in.responseStarted ? " started" : "") + (in.resumePointKnown ? " resumable" : "") + " " +
         std::to_string(in.runnersUsed) + "/" + std::to_string(in.runnersAllowed);
}
// The rules of the pages, one by one, without the order in which the code asks them.
bool mayTryAnother(const RetryState& in) {
  const bool over = in.outcome == AttemptOutcome::completed || in.outcome == AttemptOutcome::clientDisconnected ||
                    in.outcome == AttemptOutcome::deadlineExceeded;
  const bool atMostOnce = !idempotent(in.kind) && in.mayHaveRun;
  const bool runnersLeft = in.runnersUsed < in.runnersAllowed;
  const bool canGoOn = !in.responseStarted || (in.kind == RequestKind::resumableStream && in.resumePointKnown);
  return !over && !atMostOnce && runnersLeft && canGoOn;
}
}  // namespace

TEST(RetryDecision, RetriesExactlyWhenAllRulesAllowIt) {
  const int n = forEachInput(
      [](const RetryState& in) { EXPECT_EQ(decide(in) == RetryDecision::nextRunner, mayTryAnother(in)) << text(in); });
  EXPECT_EQ(n, 4 * 8 * 2 * 2 * 2 * 5 * 5);
}
TEST(RetryDecision, NeverPromisesThatItHasNotRunWhenItMayHave) {
  forEachInput([](const RetryState& in) {
    for (auto d : {decide(in), conclude(in)})
      if (d == RetryDecision::respondUnavailable) {
        EXPECT_FALSE(in.mayHaveRun) << text(in);
      }
  });
}
TEST(RetryDecision, NothingIsAnsweredTwiceNorToADisconnectedClient) {
  forEachInput([](const RetryState& in) {
    for (auto d : {decide(in), conclude(in)}) {
      if (in.outcome == AttemptOutcome::completed) {
        EXPECT_EQ(d, RetryDecision::finished) << text(in);
      } else {
        EXPECT_NE(d, RetryDecision::finished) << text(in);
      }
      if (in.outcome == AttemptOutcome::clientDisconnected) {
        EXPECT_EQ(d, RetryDecision::closeConnection) << text(in);
      }
      // A response that has begun is continued or cut off, never followed by another.
      if (in.responseStarted && in.outcome != AttemptOutcome::completed) {
        EXPECT_TRUE(d == RetryDecision::closeConnection || d == RetryDecision::nextRunner) << text(in);
      }
    }
    EXPECT_NE(conclude(in), RetryDecision::nextRunner) << text(in);
  });
}
TEST(RetryDecision, TheAnswerNamesWhatHappened) {
  forEachInput([](const RetryState& in) {
    if (in.responseStarted)
      return;
    const auto d = conclude(in);
    if (in.outcome == AttemptOutcome::failed) {
      EXPECT_EQ(d, RetryDecision::forwardFailure) << text(in);
    }
    if (in.outcome == AttemptOutcome::deadlineExceeded) {
      EXPECT_EQ(d, RetryDecision::respondTimeout) << text(in);
    }
    if (in.outcome == AttemptOutcome::interrupted || in.outcome == AttemptOutcome::migrated) {
      EXPECT_EQ(d, RetryDecision::respondBadGateway) << text(in);
    }
    if (in.outcome == AttemptOutcome::notSent || in.outcome == AttemptOutcome::notExecuted) {
      EXPECT_EQ(d, in.mayHaveRun ? RetryDecision::respondBadGateway : RetryDecision::respondUnavailable) << text(in);
    }
  });
}
TEST(RetryDecision, KindsFollowFromTheRoute) {
  Route r;
  r.type = RouteType::safe;
  EXPECT_EQ(kindOf(r), RequestKind::safe);
  r.type = RouteType::unsafe;
  EXPECT_EQ(kindOf(r), RequestKind::unsafe);
  r.type = RouteType::stream;
  EXPECT_EQ(kindOf(r), RequestKind::stream);
  r.streamResume = true;
  EXPECT_EQ(kindOf(r), RequestKind::resumableStream);
  for (auto type : {RouteType::safe, RouteType::unsafe, RouteType::stream})
    for (bool resume : {false, true}) {
      r.type = type, r.streamResume = resume;
      EXPECT_EQ(idempotent(kindOf(r)), r.idempotent());
    }
}
