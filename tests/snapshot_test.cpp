// Snapshots of the fleet's state: formats, sizes, what they leave out, what is declined.
#include <gtest/gtest.h>

#include <random>

#include "state_machine/replicated_state.hpp"
#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
// The format before the tables of history were packed, field by field.
struct OldTaken {
  std::int64_t version = 0;
  std::string digest;
  template <class V>
  void fields(V& v) {
    v("version", version), v("digest", digest);
  }
};
struct OldOperation {
  std::string operationId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("operationId", operationId), v("verdict", verdict);
  }
};
struct OldSnapshot {
  bool partial = false;
  std::string difference;
  std::int64_t index = 0, term = 0, version = 0;
  std::string configuration, digest;
  std::vector<OldTaken> taken;
  std::vector<Runner> runners;
  std::vector<std::string> gone;
  std::vector<OldOperation> done;
  std::vector<ZoneDrain> zoneDrains;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", difference);
    v("index", index), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("taken", taken), v("runners", runners), v("gone", gone), v("done", done), v("zoneDrains", zoneDrains);
  }
};
LogEntry randomRunnerWrite(std::mt19937_64& random, int serial) {
  const auto id = std::to_string(random() % 40);
  const Runner r{"i" + id,
                 "s",
                 "a:" + std::to_string(random() % 30),
                 "z",
                 4,
                 static_cast<std::int64_t>(random() % 20),
                 static_cast<std::int32_t>(random() % 3)};
  return runnerEntry(r, "runner/" + std::to_string(random() % 4 ? serial : serial / 2));
}
LogEntry randomConfigurationWrite(std::mt19937_64& random, int serial, const StateContents& on) {
  const auto base = random() % 3 ? on.version : static_cast<std::int64_t>(random() % 300);
  const auto version = base + static_cast<std::int64_t>(random() % 3);
  return configurationEntry(base, version, "body " + std::to_string(version) + (random() % 4 ? "" : "b"),
                            "operator/" + std::to_string(serial));
}
LogEntry randomWrite(std::mt19937_64& random, int serial, const StateContents& on) {
  const auto kind = random() % 8;
  if (kind < 3)
    return randomConfigurationWrite(random, serial, on);
  if (kind == 3)
    return zoneDrainEntry(ZoneDrain{"z" + std::to_string(random() % 3), "", 10, false}, random() % 2 == 0,
                          "closure/" + std::to_string(serial));
  return randomRunnerWrite(random, serial);
}
// What an access node works by.
std::string essence(const ReplicatedState& copy) {
  return copy.snapshotFor({});
}
ReplicatedState fullOfHistory() {
  ReplicatedState copy;
  std::int64_t applied = 0;
  auto put = [&](LogEntry e) {
    e.index = ++applied;
    copy.apply(e);
  };
  for (int i = 1; i <= 6000; ++i)
    put(configurationEntry(i - 1, i, "{}", "operator/" + std::to_string(i)));
  for (int i = 1; i <= 6000; ++i)
    put(runnerEntry(Runner{"i" + std::to_string(i), "s", "a", "z", 4, 1, 2}, "gone/" + std::to_string(i)));
  return copy;
}
}  // namespace

// An access node's copy lacks the table of taken configurations; whatever comes, it must hold what the core holds.
TEST(Snapshot, ACopyWithoutTheTableOfTakenConfigurationsDecidesAsTheCoreDoes) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    ReplicatedState core;
    ReplicatedState access;
    std::int64_t applied = 0;
    for (int i = 0; i < 600; ++i) {
      auto e = randomWrite(random, i, core.state());
      e.index = ++applied;
      core.apply(e);
      access.apply(e);
      if (random() % 40 == 0) {
        const auto held = random() % 2 ? access.state().digest : std::string{};
        ASSERT_TRUE(access.restore(core.snapshotFor(held)));
      }
      if (i % 3 == 0) {
        ASSERT_EQ(essence(access), essence(core)) << "seed " << seed << ", write " << i;
      }
    }
  }
}
TEST(Snapshot, AMemberOfTheCoreIsToldTheTableOfTakenConfigurations) {
  ReplicatedState first;
  for (int i = 1; i <= 1000; ++i) {
    auto e = configurationEntry(i - 1, i, "body " + std::to_string(i), "operator/" + std::to_string(i));
    e.index = i;
    first.apply(e);
  }
  ReplicatedState second;
  ASSERT_TRUE(second.restore(first.snapshot()));
  EXPECT_EQ(second.snapshot(), first.snapshot());
  EXPECT_EQ(second.evaluateReplace(0, 1, digestOf("body 1")), ReplicatedState::kAcknowledged);
  ReplicatedState access;
  ASSERT_TRUE(access.restore(first.snapshotFor({})));
  EXPECT_EQ(access.evaluateReplace(0, 1, digestOf("body 1")), ReplicatedState::kNoClearAnswer)
      << "it can't tell, and does not refuse";
  EXPECT_EQ(access.evaluateReplace(999, 1000, digestOf("body 1000")), ReplicatedState::kAcknowledged);
}
TEST(Snapshot, TheTablesStaySmall) {
  const auto copy = fullOfHistory();
  EXPECT_EQ(copy.state().taken.size(), AcceptedConfigurations::kMost);
  EXPECT_EQ(copy.state().operations.size(), OperationDeduplication::kMost);
  EXPECT_EQ(copy.state().detachedRunners.size(), DetachedRunners::kMost);
  EXPECT_LT(copy.snapshot().size(), 145'000U) << "a core's: 64 + 41 + 33 KB";
  EXPECT_LT(copy.snapshotFor({}).size(), 76'000U) << "an access node's: 41 + 33 KB";
  ReplicatedState other;
  ASSERT_TRUE(other.restore(copy.snapshot()));
  EXPECT_EQ(other.snapshot(), copy.snapshot());
}
TEST(Snapshot, OneOfTheFormatBeforeIsRead) {
  OldSnapshot old;
  old.index = 90, old.term = 4, old.version = 70;
  old.configuration = "body 70", old.digest = digestOf("body 70");
  for (int i = 7; i <= 70; ++i)
    old.taken.push_back({i, digestOf("body " + std::to_string(i))});
  old.runners = {Runner{"i1", "s", "a:1", "z", 4, 3, 1}};
  old.gone = {"i0"};
  old.done = {{"operator/1@70", 200}, {"operator/2@70", 412}};
  old.zoneDrains = {ZoneDrain{"z", "note", 50, false}};
  ReplicatedState copy;
  ASSERT_TRUE(copy.restore(avro::encode(old)));
  EXPECT_EQ(copy.state().index, 90);
  EXPECT_EQ(copy.state().term, 4);
  EXPECT_EQ(copy.state().configuration, "body 70");
  EXPECT_EQ(copy.evaluateReplace(6, 7, digestOf("body 7")), 200);
  EXPECT_EQ(copy.evaluateReplace(5, 6, digestOf("body 6")), 503) << "the older format did not keep it: no clear answer";
  EXPECT_EQ(copy.evaluateReplace(6, 7, digestOf("another")), 412);
  EXPECT_TRUE(copy.isDetached("i0"));
  EXPECT_EQ(copy.outcomeOf("operator/2@70"), 412);
  ASSERT_TRUE(copy.runner("i1"));
  EXPECT_EQ(copy.runner("i1")->at(), RunnerState::draining);
  ASSERT_EQ(copy.state().zoneDrains.size(), 1U);
  EXPECT_EQ(copy.state().zoneDrains[0].share, 50);
  ReplicatedState again;
  ASSERT_TRUE(again.restore(copy.snapshot()));
  EXPECT_EQ(again.snapshot(), copy.snapshot());
}
TEST(Snapshot, AnotherFormatIsRefusedByName) {
  ReplicatedState copy;
  auto later = copy.snapshot();
  later[7] = '3';
  const auto result = copy.restore(later);
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().message, "a snapshot of another format version");
}
TEST(Snapshot, WhatIsDeclinedChangesNothing) {
  const auto full = fullOfHistory().snapshot();
  ReplicatedState copy;
  auto e = configurationEntry(0, 1, "mine", "operator/1");
  e.index = 1;
  copy.apply(e);
  const auto before = copy.snapshot();
  for (std::size_t cut = 1; cut < full.size(); cut += 997) {
    EXPECT_FALSE(copy.restore(full.substr(0, cut))) << cut;
    EXPECT_EQ(copy.snapshot(), before);
  }
  auto otherText = before;
  otherText[otherText.find("mine")] = 'M';
  EXPECT_FALSE(copy.restore(otherText)) << "a configuration that is not what its digest says";
  EXPECT_EQ(copy.snapshot(), before);
}
TEST(Snapshot, AnEmptyOneIsTheStateBeforeTheFirstWrite) {
  auto copy = fullOfHistory();
  ASSERT_TRUE(copy.restore({}));
  EXPECT_EQ(copy.snapshot(), ReplicatedState{}.snapshot());
  EXPECT_EQ(copy.evaluateReplace(0, 1, "x"), ReplicatedState::kAcceptable);
}
