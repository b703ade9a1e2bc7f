// The decision after each attempt, over everything that it depends on.
#include "retry.hpp"

#include <gtest/gtest.h>

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
namespace {
constexpr RequestKind kKinds[] = {RequestKind::safe, RequestKind::unsafe, RequestKind::stream,
                                  RequestKind::resumableStream};
constexpr AttemptOutcome kOutcomes[] = {
    AttemptOutcome::completed, AttemptOutcome::notSent, AttemptOutcome::notExecuted, AttemptOutcome::interrupted,
    AttemptOutcome::movedAway, AttemptOutcome::failed,  AttemptOutcome::clientGone,  AttemptOutcome::deadlineExceeded};
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
                f(RetryInput{kind, outcome, ranBefore || mayHaveRun(outcome), started, resumable, used, allowed});
                ++n;
              }
  return n;
}
std::string text(const RetryInput& in) {
  return "kind " + std::to_string(static_cast<int>(in.kind)) + " outcome " +
         std::to_string(static_cast<int>(in.outcome)) + (in.mayHaveRun ? " ran" : "") +
         (in.answerStarted ? " started" : "") + (in.resumePointKnown ? " resumable" : "") + " " +
         std::to_string(in.runnersUsed) + "/" + std::to_string(in.runnersAllowed);
}
// The rules of the pages, one by one, without the order in which the code asks them.
bool mayTryAnother(const RetryInput& in) {
  const bool over = in.outcome == AttemptOutcome::completed || in.outcome == AttemptOutcome::clientGone ||
                    in.outcome == AttemptOutcome::deadlineExceeded;
  const bool atMostOnce = !idempotent(in.kind) && in.mayHaveRun;
  const bool runnersLeft = in.runnersUsed < in.runnersAllowed;
  const bool canGoOn = !in.answerStarted || (in.kind == RequestKind::resumableStream && in.resumePointKnown);
  return !over && !atMostOnce && runnersLeft && canGoOn;
}
}  // namespace

TEST(RetryDecision, SendsAgainExactlyWhenAllRulesAllowIt) {
  const int n = forEachInput(
      [](const RetryInput& in) { EXPECT_EQ(decide(in) == RetryDecision::tryAnother, mayTryAnother(in)) << text(in); });
  EXPECT_EQ(n, 4 * 8 * 2 * 2 * 2 * 5 * 5);
}
TEST(RetryDecision, NeverPromisesThatItHasNotRunWhenItMayHave) {
  forEachInput([](const RetryInput& in) {
    for (auto d : {decide(in), conclude(in)})
      if (d == RetryDecision::answerUnavailable) {
        EXPECT_FALSE(in.mayHaveRun) << text(in);
      }
  });
}
TEST(RetryDecision, NothingIsAnsweredTwiceNorToAClientThatLeft) {
  forEachInput([](const RetryInput& in) {
    for (auto d : {decide(in), conclude(in)}) {
      if (in.outcome == AttemptOutcome::completed) {
        EXPECT_EQ(d, RetryDecision::finished) << text(in);
      } else {
        EXPECT_NE(d, RetryDecision::finished) << text(in);
      }
      if (in.outcome == AttemptOutcome::clientGone) {
        EXPECT_EQ(d, RetryDecision::close) << text(in);
      }
      // An answer that has begun is gone on with or cut, never followed by another.
      if (in.answerStarted && in.outcome != AttemptOutcome::completed) {
        EXPECT_TRUE(d == RetryDecision::close || d == RetryDecision::tryAnother) << text(in);
      }
    }
    EXPECT_NE(conclude(in), RetryDecision::tryAnother) << text(in);
  });
}
TEST(RetryDecision, TheAnswerNamesWhatHappened) {
  forEachInput([](const RetryInput& in) {
    if (in.answerStarted)
      return;
    const auto d = conclude(in);
    if (in.outcome == AttemptOutcome::failed) {
      EXPECT_EQ(d, RetryDecision::relayFailure) << text(in);
    }
    if (in.outcome == AttemptOutcome::deadlineExceeded) {
      EXPECT_EQ(d, RetryDecision::answerTimeout) << text(in);
    }
    if (in.outcome == AttemptOutcome::interrupted || in.outcome == AttemptOutcome::movedAway) {
      EXPECT_EQ(d, RetryDecision::answerBadGateway) << text(in);
    }
    if (in.outcome == AttemptOutcome::notSent || in.outcome == AttemptOutcome::notExecuted) {
      EXPECT_EQ(d, in.mayHaveRun ? RetryDecision::answerBadGateway : RetryDecision::answerUnavailable) << text(in);
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
