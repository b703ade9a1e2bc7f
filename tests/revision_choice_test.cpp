// The choice of a runner while its service is being rolled out, and the pace of streams, by which revisions are
// compared.
#include <gtest/gtest.h>

#include "balancing/runner_pool.hpp"
#include "balancing/stream_pace.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
using rollout::RevisionFilter;
using Rule = RevisionFilter::Rule;
namespace {
constexpr int kRunners = 50;  // runners of each revision
const TimePoint kNow = TimePoint{} + 1h;

state_machine::Runner runnerOf(const std::string& revision, int serial, std::int64_t warmupMs = 0) {
  const auto id = revision + "-" + std::to_string(serial);
  state_machine::Runner runner{id, "s", id + ":1", "z", 16, 1, 0};
  runner.software = {revision, warmupMs};
  return runner;
}
class RevisionChoice : public testing::Test {
 protected:
  RevisionChoice() {
    std::vector<state_machine::Runner> runners;
    for (int serial = 0; serial < kRunners; ++serial) {
      runners.push_back(runnerOf("v1", serial));
      runners.push_back(runnerOf("v2", serial));
    }
    pool_.setRunners(runners, kNow);
    query_.service = "s";
    query_.zone = "z";
  }
  /// The id of the chosen runner; empty if none was chosen.
  std::string choose(const RevisionFilter& filter, std::uint64_t affinity = 0) {
    query_.revisions = filter;
    query_.affinity = affinity;
    query_.hasPrefixCache = affinity != 0;
    query_.sharedTokens = affinity != 0 ? 5000 : 0;
    const int index = pool_.choose(query_, kNow);
    return index < 0 ? "" : pool_.at(index).id;
  }
  RunnerPool pool_{5};
  RunnerQuery query_;
  std::mt19937_64 rng_{9};
};
}  // namespace

TEST_F(RevisionChoice, OnlyRunnersThatTheFilterAdmitsAreChosen) {
  std::set<std::string> revisions;
  for (int i = 0; i < 200; ++i) {
    EXPECT_TRUE(choose({Rule::only, "v2", 1}, rng_()).starts_with("v2"));
    EXPECT_TRUE(choose({Rule::except, "v2", 1}, rng_()).starts_with("v1"));
    revisions.insert(choose({}, rng_()).substr(0, 2));
  }
  EXPECT_EQ(revisions.size(), 2U);
}
TEST_F(RevisionChoice, AnUnhealthyRunnerOfTheCandidateIsNoLastResortEither) {
  std::vector<state_machine::Runner> onlyNew{runnerOf("v2", 0)};
  pool_.setRunners(onlyNew, kNow);
  EXPECT_EQ(choose({Rule::except, "v2", 1}), "");
}
TEST_F(RevisionChoice, AShareOfTheRunnersIsTheSameAtAllProxies) {
  RunnerPool other(77);
  std::vector<state_machine::Runner> reversed;
  for (int serial = kRunners - 1; serial >= 0; --serial)
    reversed.push_back(runnerOf("v2", serial));
  other.setRunners(reversed, kNow);
  std::set<std::string> usedHere;
  std::set<std::string> usedByOther;
  for (int i = 0; i < 500; ++i) {
    usedHere.insert(choose({Rule::only, "v2", 0.1}));
    usedByOther.insert(other.at(other.choose(query_, kNow)).id);
  }
  EXPECT_EQ(usedHere.size(), 5U);
  EXPECT_EQ(usedHere, usedByOther);
}
TEST_F(RevisionChoice, AFewRunnersAreUsedHoweverSmallTheShare) {
  std::set<std::string> used;
  for (int i = 0; i < 300; ++i)
    used.insert(choose({Rule::only, "v2", 0.001}));
  EXPECT_EQ(used.size(), 3U);
}
// The canary and each step of the traffic shift must fill the cache of the runner that the prefix will use after the
// rollout.
TEST_F(RevisionChoice, APrefixGoesToTheCandidateOnlyWhereItWillStay) {
  int movedPrefixes = 0;
  constexpr int kPrefixes = 1000;
  for (int i = 0; i < kPrefixes; ++i) {
    const auto affinity = rng_();
    const auto preferred = choose({Rule::only, "v2", 1}, affinity);
    std::string before;
    for (const double share : {0.08, 0.25, 0.5}) {
      const auto chosen = choose({Rule::only, "v2", share}, affinity);
      EXPECT_TRUE(chosen.empty() || chosen == preferred);
      EXPECT_FALSE(!before.empty() && chosen.empty()) << "a prefix that has moved to the candidate does not move back";
      before = chosen;
    }
    movedPrefixes += before.empty() ? 0 : 1;
  }
  EXPECT_NEAR(movedPrefixes, kPrefixes * 0.5, kPrefixes * 0.2);
}
// A load test group has few runners, so each runner gets more requests than after the rollout. All proxies must choose
// the same runners for a group, and different groups must not share runners.
TEST_F(RevisionChoice, EachGroupOfTheLoadTestHasRunnersOfItsOwn) {
  const auto runnersOf = [this](std::int32_t group) {
    std::set<std::string> used;
    for (int i = 0; i < 400; ++i)
      used.insert(choose({Rule::only, "v2", 1, group, 0.1}, rng_()));
    used.erase("");  // some requests of a load test get no runner
    return used;
  };
  const auto first = runnersOf(1);
  const auto second = runnersOf(2);
  EXPECT_EQ(first.size(), 3U) << "50 x 0.112 / 1.5, since no load is known";
  EXPECT_EQ(second.size(), first.size());
  for (const auto& runner : second)
    EXPECT_FALSE(first.contains(runner));
  RunnerPool other(78);
  std::vector<state_machine::Runner> runners;
  runners.reserve(kRunners);
  for (int serial = 0; serial < kRunners; ++serial)
    runners.push_back(runnerOf("v2", serial));
  other.setRunners(runners, kNow);
  for (int i = 0; i < 50; ++i) {
    query_.revisions = {Rule::only, "v2", 1, 1, 0.1};
    if (const int index = other.choose(query_, kNow); index >= 0) {
      EXPECT_TRUE(first.contains(other.at(index).id));
    }
  }
}
TEST_F(RevisionChoice, TheBusierTheBaselineTheLargerTheGroup) {
  const auto groupSize = [this](const std::string& load) {
    for (int index = 0; index < static_cast<int>(pool_.size()); ++index)
      if (pool_.at(index).revision == "v1")
        pool_.updateLoad(index, load, kNow);
    std::set<std::string> used;
    for (int i = 0; i < 400; ++i)
      used.insert(choose({Rule::only, "v2", 1, 1, 0.1}));
    used.erase("");
    return used.size();
  };
  EXPECT_EQ(groupSize("2,0,16"), 2U) << "each runner of the group gets 2.5 times as many requests as usual";
  EXPECT_EQ(groupSize("14,0,16"), 4U);
}
TEST_F(RevisionChoice, AttemptsAtOtherRevisionsAreCounted) {
  query_.revisions = {Rule::only, "v1", 1};
  pool_.attemptStarted(pool_.choose(query_, kNow), 10);
  query_.revisions = {Rule::only, "v2", 1};
  pool_.attemptStarted(pool_.choose(query_, kNow), 10);
  EXPECT_EQ(pool_.inFlightAtOtherRevisions("s", "v2"), 1);
  EXPECT_EQ(pool_.inFlightAtOtherRevisions("another", "v2"), 0);
}
TEST_F(RevisionChoice, AWarmupCountsFromWhenTheRunnerBecameKnown) {
  pool_.setRunners({runnerOf("v3", 0, 2000)}, kNow);
  pool_.setRunners({runnerOf("v3", 0, 2000)}, kNow + 1s);
  query_.revisions = {Rule::only, "v3", 1};
  EXPECT_EQ(pool_.at(pool_.choose(query_, kNow)).warmAt, kNow + 2s);
}

TEST(StreamPaceTest, CountsEventsAcrossReads) {
  StreamPace pace;
  EXPECT_FALSE(pace.msPerTenEvents());
  pace.recordBytes("id: 1\ndata: a\n\n", kNow);
  EXPECT_FALSE(pace.msPerTenEvents()) << "no event has followed the first bytes";
  pace.recordBytes("id: 2\nda", kNow + 20ms);
  pace.recordBytes("ta: b\n", kNow + 30ms);
  pace.recordBytes("\nid: 3\ndata: c\n\n", kNow + 80ms);
  ASSERT_TRUE(pace.msPerTenEvents());
  EXPECT_DOUBLE_EQ(*pace.msPerTenEvents(), 400);
}
TEST(StreamPaceTest, AStreamIsSlowByWhatIsUsualOfItsService) {
  const auto streamOf = [](Duration interval) {
    StreamPace pace;
    for (int event = 0; event < 8; ++event)
      pace.recordBytes("data: x\n\n", kNow + event * interval);
    return pace;
  };
  StreamPaceBaselines paceBaselines;
  EXPECT_FALSE(paceBaselines.recordStream("s", streamOf(800ms))) << "there is no baseline yet";
  for (int i = 0; i < 200; ++i)
    EXPECT_FALSE(paceBaselines.recordStream("s", streamOf(40ms)));
  EXPECT_FALSE(paceBaselines.recordStream("s", streamOf(60ms)));
  EXPECT_TRUE(paceBaselines.recordStream("s", streamOf(320ms)));
  EXPECT_FALSE(paceBaselines.recordStream("another", streamOf(320ms)));
}
TEST(StreamPaceTest, AStreamIsSlowMidwayOnceSeveralEventsHaveCome) {
  StreamPaceBaselines paceBaselines;
  const auto streamOf = [](int events, Duration interval) {
    StreamPace pace;
    for (int event = 0; event <= events; ++event)
      pace.recordBytes("data: a\n\n", kNow + interval * event);
    return pace;
  };
  EXPECT_FALSE(paceBaselines.isSlowWhileOpen("s", streamOf(20, 500ms))) << "there is no baseline yet";
  for (int stream = 0; stream < 30; ++stream)
    paceBaselines.recordStream("s", streamOf(20, 20ms));
  EXPECT_FALSE(paceBaselines.isSlowWhileOpen("s", streamOf(20, 25ms)));
  EXPECT_FALSE(paceBaselines.isSlowWhileOpen("s", streamOf(2, 500ms))) << "a concurrent prefill may delay a few events";
  EXPECT_TRUE(paceBaselines.isSlowWhileOpen("s", streamOf(8, 500ms)));
}
