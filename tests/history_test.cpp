// What the fleet's state still knows of things that are over, after far more changes than a handful: orders sent again
// late, operations applied long ago, runners that ended long ago.
#include <gtest/gtest.h>

#include <random>

#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
constexpr int kAcknowledged = 200, kInvalid = 400, kOtherVersion = 412, kNoClearAnswer = 503;
// Applies writes in order and tells what the operator would hear.
struct Log {
  ReplicatedState copy;
  std::int64_t applied = 0;
  int operations = 0;
  ReplicatedState::Change put(LogEntry e) {
    e.index = ++applied;
    return copy.apply(e);
  }
  int replace(std::int64_t base, std::int64_t version, const std::string& body) {
    const auto e = configurationEntry(base, version, body, "operator/" + std::to_string(++operations));
    put(e);
    return copy.outcomeOf(e.operationId).value_or(-1);
  }
  // A chain of changes with versions 1, 2, ... `count`, each on top of the one before.
  void changes(int count) {
    for (int i = 1; i <= count; ++i)
      ASSERT_EQ(replace(i - 1, i, "body " + std::to_string(i)), kAcknowledged);
  }
  void runner(const std::string& id, const std::string& address, RunnerState state, std::int64_t sequence) {
    const Runner r{id, "s", address, "z", 4, sequence, static_cast<std::int32_t>(state)};
    put(runnerEntry(r, "runner/" + id + "/" + std::to_string(r.state) + "/" + std::to_string(sequence)));
  }
};
}  // namespace

TEST(History, AnOrderSentAgainAfterManyChangesIsAcknowledgedAgain) {
  for (const int count : {100, 1000, 4000}) {
    Log log;
    log.changes(count);
    for (const int version : {1, 2, count / 2, count - 1, count})
      EXPECT_EQ(log.replace(version - 1, version, "body " + std::to_string(version)), kAcknowledged)
          << version << " after " << count << " changes";
    EXPECT_EQ(log.copy.state().version, count) << "and nothing goes back";
  }
}
TEST(History, AnOrderTooOldToTellIsNotRefused) {
  Log log;
  log.changes(10000);
  for (const int version : {1, 2, 100, 5000})
    EXPECT_EQ(log.replace(version - 1, version, "body " + std::to_string(version)), kNoClearAnswer) << version;
  EXPECT_EQ(log.replace(9000, 9001, "body 9001"), kAcknowledged);
  EXPECT_EQ(log.replace(9000, 9001, "another body"), kOtherVersion);
  EXPECT_EQ(log.replace(10000, 100, "below its base"), kInvalid);
  EXPECT_EQ(log.replace(10000, 10001, "the next"), kAcknowledged);
}
// Each line: an order and what the pages want it to be told, in the order in which they come.
TEST(History, EverySequenceOfOrdersIsAnsweredAsThePagesSay) {
  struct Order {
    std::int64_t base, version;
    const char* body;
    int expected;
    const char* why;
  };
  const std::vector<std::vector<Order>> sequences = {
      {{0, 3, "A", kAcknowledged, "the first"},
       {0, 3, "A", kAcknowledged, "sent again as it was"},
       {0, 3, "B", kOtherVersion, "the same number for another change"},
       {0, 5, "B", kOtherVersion, "on top of what is no longer current"}},
      {{0, 3, "A", kAcknowledged, "the first"},
       {3, 7, "B", kAcknowledged, "one of two operators, both on 3 with number 7"},
       {3, 7, "C", kOtherVersion, "the other one"},
       {3, 7, "C", kOtherVersion, "the other one again"},
       {3, 7, "B", kAcknowledged, "the winner again"},
       {7, 9, "C", kAcknowledged, "the other one on top of it"},
       {3, 7, "B", kAcknowledged, "the winner again, after another change"},
       {3, 7, "C", kOtherVersion, "that number was never its"},
       {0, 3, "A", kAcknowledged, "the first again"}},
      {{0, 3, "A", kAcknowledged, "the first"},
       {2, 4, "B", kOtherVersion, "on a version that never was"},
       {4, 5, "B", kOtherVersion, "on a version that is not yet"},
       {3, 3, "B", kInvalid, "its own number is not above the current one"},
       {3, 2, "B", kInvalid, "nor is a lower one"},
       {3, 4, "A", kAcknowledged, "the same body under a new number is a new change"},
       {0, 3, "A", kAcknowledged, "and its first number still stands"}},
  };
  for (auto& sequence : sequences) {
    Log log;
    for (auto& o : sequence)
      EXPECT_EQ(log.replace(o.base, o.version, o.body), o.expected) << o.version << o.body << ": " << o.why;
  }
}
// Eight orders under way at once, each repeated at any later time: one wins a version, and it stays the winner.
TEST(History, OfManyOrdersUnderWayOneWinsAndItsRepeatsAreNeverRefused) {
  std::mt19937_64 random(14);
  Log log;
  std::vector<std::pair<std::int64_t, LogEntry>> taken;
  std::vector<std::pair<std::int64_t, LogEntry>> lost;
  for (int round = 0; round < 400; ++round) {
    const auto base = log.copy.state().version;
    const auto next = base + 1 + static_cast<std::int64_t>(random() % 3);
    int winners = 0;
    for (int i = 0; i < 8; ++i) {
      const auto body = "round " + std::to_string(round) + " operator " + std::to_string(i);
      const auto e = configurationEntry(base, next, body, body);
      log.put(e);
      const bool won = log.copy.outcomeOf(e.operationId) == kAcknowledged;
      winners += won;
      (won ? taken : lost).emplace_back(next, e);
    }
    EXPECT_EQ(winners, 1);
    for (auto* list : {&taken, &lost}) {
      const auto& [version, order] = (*list)[random() % list->size()];
      const std::string who = list == &taken ? "winner" : "loser";
      const auto again = configurationEntry(order.base, version, order.body, who + std::to_string(round));
      log.put(again);
      EXPECT_EQ(log.copy.outcomeOf(again.operationId), list == &taken ? kAcknowledged : kOtherVersion);
    }
  }
}
TEST(History, AnOperationAppliedLongAgoIsStillOneWrite) {
  Log log;
  log.runner("i1", "a:1", RunnerState::inService, 1);
  const Runner missed{"i1", "s", "a:1", "z", 4, 0, static_cast<std::int32_t>(RunnerState::gone)};
  log.put(runnerEntry(missed, "missed/i1/1"));
  log.runner("i1", "a:1", RunnerState::inService, 7);
  for (int i = 0; i < 2000; ++i)
    log.runner("other" + std::to_string(i), "b:" + std::to_string(i), RunnerState::inService, 1);
  log.put(runnerEntry(missed, "missed/i1/1"));
  EXPECT_TRUE(log.copy.runner("i1")) << "a late copy of an older write undoes nothing";
}
TEST(History, ARunnerThatEndedLongAgoDoesNotComeBack) {
  Log log;
  for (int i = 0; i < 2000; ++i) {
    const auto id = "i" + std::to_string(i);
    const auto address = "a:" + std::to_string(i);
    log.runner(id, address, RunnerState::inService, 1);
    log.runner(id, address, RunnerState::draining, 40);
    log.runner(id, address, RunnerState::gone, 40);
  }
  for (const int i : {0, 300, 1000, 1999}) {
    const auto id = "i" + std::to_string(i);
    EXPECT_TRUE(log.copy.isDetached(id)) << id;
    log.runner(id, "a:" + std::to_string(i), RunnerState::inService, 39);
    EXPECT_FALSE(log.copy.runner(id)) << id << ": its late beat is no new life";
  }
}
// The rule DRAIN: nothing is sent to a runner long after it was acknowledged as draining.
TEST(History, ADrainingRunnerThatWasMissedOrReplacedIsNotTakenBack) {
  Log log;
  log.runner("missed", "a:1", RunnerState::inService, 1);
  log.runner("missed", "a:1", RunnerState::draining, 5);
  log.runner("missed", "a:1", RunnerState::gone, 0);
  log.runner("missed", "a:1", RunnerState::inService, 4);
  EXPECT_FALSE(log.copy.runner("missed"));
  log.runner("replaced", "a:2", RunnerState::inService, 1);
  log.runner("replaced", "a:2", RunnerState::draining, 5);
  log.runner("new", "a:2", RunnerState::inService, 1);
  log.runner("replaced", "a:2", RunnerState::inService, 4);
  EXPECT_FALSE(log.copy.runner("replaced"));
  EXPECT_TRUE(log.copy.runner("new")) << "nor does it end the new life at its address";
  // One in service that was only missed may beat again.
  log.runner("well", "a:3", RunnerState::inService, 1);
  log.runner("well", "a:3", RunnerState::gone, 0);
  log.runner("well", "a:3", RunnerState::inService, 9);
  EXPECT_TRUE(log.copy.runner("well"));
}
