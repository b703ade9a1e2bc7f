// Tests of incremental updates of the runner list: a change of one runner must cause work for this runner only,
// whatever the number of runners.
#include <gtest/gtest.h>

#include "balancing/runner_membership.hpp"
#include "state_machine/replicated_state.hpp"

namespace zinccleat {
namespace {
using state_machine::Runner;
using state_machine::RunnerTable;
constexpr TimePoint kNow{100s};

Runner runnerOf(const std::string& id, std::int64_t sequence = 1, const std::string& address = {}) {
  Runner runner{id, "s", address.empty() ? "10.0.0.1:" + id : address, "z", 4, sequence, 0};
  return runner;
}
RunnerTable tableOf(int runners) {
  RunnerTable table;
  for (int i = 0; i < runners; ++i)
    table.put(runnerOf("i-" + std::to_string(i)));
  return table;
}

TEST(RunnerTable, NamesWhatHasChangedAndNoMore) {
  auto table = tableOf(3000);
  const auto before = table.revision();
  table.put(runnerOf("i-7", 2));
  table.remove("i-9");
  EXPECT_EQ(table.changedSince(before), (std::vector<std::string>{"i-7", "i-9"}));
  EXPECT_EQ(table.changedSince(table.revision()), std::vector<std::string>{});
  EXPECT_EQ(table.size(), 2999U);
  EXPECT_EQ(table.find("i-9"), nullptr);
  ASSERT_NE(table.find("i-2999"), nullptr);
  EXPECT_EQ(table.find("i-2999")->id, "i-2999") << "the last runner has moved to the position of the removed one";
}
TEST(RunnerTable, SaysWhenItDoesNotRemember) {
  auto table = tableOf(2);
  const auto before = table.revision();
  for (std::size_t i = 0; i <= RunnerTable::kMaxTrackedChanges; ++i)
    table.put(runnerOf("i-1", static_cast<std::int64_t>(i)));
  EXPECT_EQ(table.changedSince(before), std::nullopt);
  RunnerTable restored = tableOf(2);
  restored.supersede(table);
  EXPECT_EQ(restored.changedSince(table.revision()), std::nullopt)
      << "the history does not cover the change to another table";
  table = std::vector<Runner>{runnerOf("i-1")};
  EXPECT_EQ(table.changedSince(before), std::nullopt);
}
TEST(RunnerTable, FindsRunnersByTheirAddressAfterMoves) {
  RunnerTable table{runnerOf("a", 1, "x"), runnerOf("b", 1, "y")};
  table.put(runnerOf("b", 2, "x"));
  EXPECT_EQ(table.idsAt("x"), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(table.idsAt("y").empty());
  table.remove("a");
  EXPECT_EQ(table.idsAt("x"), std::vector<std::string>{"b"});
}

TEST(RunnerMembership, FollowsChangesAsIfItHadSeenTheCompleteList) {
  auto table = tableOf(50);
  balancing::RunnerMembership followed;
  followed.follow(table, kNow);
  std::mt19937_64 rng(7);
  for (int step = 0; step < 400; ++step) {
    const auto id = "i-" + std::to_string(rng() % 70);
    if (rng() % 3 == 0)
      table.remove(id);
    else
      table.put(runnerOf(id, step));
    if (step % 7 == 0)
      followed.follow(table, kNow + Duration(step));
  }
  followed.follow(table, kNow + 1s);
  balancing::RunnerMembership complete;
  complete.setRunners(table, kNow + 1s);
  const auto present = [](const balancing::RunnerMembership& membership) {
    std::set<std::string> ids;
    for (const auto& endpoint : membership.endpoints()) {
      if (!endpoint.present)
        continue;
      EXPECT_TRUE(ids.insert(endpoint.id).second) << endpoint.id;
    }
    return ids;
  };
  EXPECT_EQ(present(followed), present(complete));
}
TEST(RunnerMembership, ReusesNoIndexWithAttemptsInFlight) {
  RunnerTable table{runnerOf("a"), runnerOf("b")};
  balancing::RunnerMembership runners;
  runners.follow(table, kNow);
  runners.at(0).inFlight = 1;
  const auto busy = runners.at(0).id;
  table.remove("a");
  table.remove("b");
  table.put(runnerOf("c"));
  runners.follow(table, kNow);
  EXPECT_EQ(runners.at(0).id, busy);
  EXPECT_FALSE(runners.at(0).present);
  EXPECT_EQ(runners.at(1).id, "c");
}
}  // namespace
}  // namespace zinccleat
