// Tests of snapshots of the replicated state: formats, sizes, the omissions of each scope, and rejected snapshots.
#include <gtest/gtest.h>

#include <random>

#include "state_machine/replicated_state.hpp"
#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
// Format 1, defined here independently of the code under test.
struct AcceptedFormat1 {
  std::int64_t version = 0;
  std::string digest;
  template <class V>
  void fields(V& v) {
    v("version", version), v("digest", digest);
  }
};
struct OperationFormat1 {
  std::string operationId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("operationId", operationId), v("verdict", verdict);
  }
};
struct SnapshotFormat1 {
  bool partial = false;
  std::string difference;
  std::int64_t index = 0, term = 0, version = 0;
  std::string configuration, digest;
  std::vector<AcceptedFormat1> taken;
  std::vector<Runner> runners;
  std::vector<std::string> gone;
  std::vector<OperationFormat1> done;
  std::vector<ZoneDrain> zoneDrains;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", difference);
    v("index", index), v("term", term), v("version", version), v("configuration", configuration), v("digest", digest);
    v("taken", taken), v("runners", runners), v("gone", gone), v("done", done), v("zoneDrains", zoneDrains);
  }
};
/// A snapshot of format 1 at configuration version 70, with the newest 64 accepted versions.
SnapshotFormat1 snapshotFormat1() {
  SnapshotFormat1 old;
  old.index = 90, old.term = 4, old.version = 70;
  old.configuration = "body 70", old.digest = digestOf("body 70");
  for (int version = 7; version <= 70; ++version)
    old.taken.push_back({version, digestOf("body " + std::to_string(version))});
  old.runners = {Runner{"i1", "s", "a:1", "z", 4, 3, 1}};
  old.gone = {"i0"};
  old.done = {{"operator/1@70", 200}, {"operator/2@70", 412}};
  old.zoneDrains = {ZoneDrain{"z", "note", 50, false}};
  return old;
}

LogEntry randomRunnerEntry(std::mt19937_64& random, int serial) {
  const auto id = std::to_string(random() % 40);
  const Runner runner{"i" + id,
                      "s",
                      "a:" + std::to_string(random() % 30),
                      "z",
                      4,
                      static_cast<std::int64_t>(random() % 20),
                      static_cast<std::int32_t>(random() % 3)};
  return runnerEntry(runner, "runner/" + std::to_string(random() % 4 ? serial : serial / 2));
}
LogEntry randomConfigurationEntry(std::mt19937_64& random, int serial, const StateContents& current) {
  const auto base = random() % 3 ? current.version : static_cast<std::int64_t>(random() % 300);
  const auto version = base + static_cast<std::int64_t>(random() % 3);
  return configurationEntry(base, version, "body " + std::to_string(version) + (random() % 4 ? "" : "b"),
                            "operator/" + std::to_string(serial));
}
LogEntry randomEntry(std::mt19937_64& random, int serial, const StateContents& current) {
  const auto kind = random() % 8;
  if (kind < 3)
    return randomConfigurationEntry(random, serial, current);
  if (kind == 3)
    return zoneDrainEntry(ZoneDrain{"z" + std::to_string(random() % 3), "", 10, false}, random() % 2 == 0,
                          "closure/" + std::to_string(serial));
  return randomRunnerEntry(random, serial);
}
/// The contents of a replica that a node of the data plane uses.
std::string dataPlaneContents(const ReplicatedState& replica) {
  return replica.snapshotFor({});
}
/// A replica that accepted `count` configurations, each based on the previous one.
ReplicatedState replicaWithChanges(int count) {
  ReplicatedState replica;
  for (int version = 1; version <= count; ++version) {
    const auto text = std::to_string(version);
    auto entry = configurationEntry(version - 1, version, "body " + text, "operator/" + text);
    entry.index = version;
    replica.apply(entry);
  }
  return replica;
}
/// A replica whose deduplication tables are all full.
ReplicatedState replicaWithFullTables() {
  ReplicatedState replica;
  std::int64_t lastIndex = 0;
  const auto apply = [&](LogEntry entry) {
    entry.index = ++lastIndex;
    replica.apply(entry);
  };
  for (int i = 1; i <= 6000; ++i)
    apply(configurationEntry(i - 1, i, "{}", "operator/" + std::to_string(i)));
  for (int i = 1; i <= 6000; ++i)
    apply(runnerEntry(Runner{"i" + std::to_string(i), "s", "a", "z", 4, 1, 2}, "gone/" + std::to_string(i)));
  return replica;
}
}  // namespace

// A data plane replica lacks the table of accepted configurations. It must nevertheless apply entries exactly as a
// controller does.
TEST(Snapshot, DataPlaneReplicaAppliesEntriesAsTheControllerDoes) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    ReplicatedState controller;
    ReplicatedState proxy;
    std::int64_t lastIndex = 0;
    for (int i = 0; i < 600; ++i) {
      auto entry = randomEntry(random, i, controller.state());
      entry.index = ++lastIndex;
      controller.apply(entry);
      proxy.apply(entry);
      if (random() % 40 == 0) {
        const auto cachedDigest = random() % 2 ? proxy.state().digest : std::string{};
        ASSERT_TRUE(proxy.restore(controller.snapshotFor(cachedDigest)));
      }
      if (i % 3 == 0) {
        ASSERT_EQ(dataPlaneContents(proxy), dataPlaneContents(controller)) << "seed " << seed << ", entry " << i;
      }
    }
  }
}
TEST(Snapshot, OnlyControllersGetTheTableOfAcceptedConfigurations) {
  const auto sender = replicaWithChanges(1000);

  ReplicatedState controller;
  ASSERT_TRUE(controller.restore(sender.snapshot()));
  EXPECT_EQ(controller.snapshot(), sender.snapshot());
  EXPECT_EQ(controller.evaluateReplace(0, 1, digestOf("body 1")), ReplicatedState::Verdict::acknowledged);

  ReplicatedState proxy;
  ASSERT_TRUE(proxy.restore(sender.snapshotFor({})));
  EXPECT_EQ(proxy.evaluateReplace(0, 1, digestOf("body 1")), ReplicatedState::Verdict::outcomeUnknown)
      << "the data plane does not know the outcome, and must not reject";
  EXPECT_EQ(proxy.evaluateReplace(999, 1000, digestOf("body 1000")), ReplicatedState::Verdict::acknowledged);
}
TEST(Snapshot, SizeIsBounded) {
  const auto replica = replicaWithFullTables();

  EXPECT_EQ(replica.state().acceptedConfigurations.size(), AcceptedConfigurations::kCapacity);
  EXPECT_EQ(replica.state().operations.size(), OperationDeduplication::kCapacity);
  EXPECT_EQ(replica.state().detachedRunners.size(), DetachedRunners::kCapacity);
  EXPECT_LT(replica.snapshot().size(), 145'000U) << "for a controller: 64 + 41 + 33 KB";
  EXPECT_LT(replica.snapshotFor({}).size(), 76'000U) << "for the data plane: 41 + 33 KB";
  ReplicatedState other;
  ASSERT_TRUE(other.restore(replica.snapshot()));
  EXPECT_EQ(other.snapshot(), replica.snapshot());
}
TEST(Snapshot, Format1IsRead) {
  ReplicatedState replica;

  ASSERT_TRUE(replica.restore(avro::encode(snapshotFormat1())));

  EXPECT_EQ(replica.state().index, 90);
  EXPECT_EQ(replica.state().term, 4);
  EXPECT_EQ(replica.state().configuration, "body 70");
  EXPECT_EQ(replica.evaluateReplace(6, 7, digestOf("body 7")), ReplicatedState::Verdict::acknowledged);
  EXPECT_EQ(replica.evaluateReplace(5, 6, digestOf("body 6")), ReplicatedState::Verdict::outcomeUnknown)
      << "format 1 has dropped this version, so the outcome is unknown";
  EXPECT_EQ(replica.evaluateReplace(6, 7, digestOf("another")), ReplicatedState::Verdict::versionMismatch);
  EXPECT_TRUE(replica.isDetached("i0"));
  EXPECT_EQ(replica.outcomeOf("operator/2@70"), ReplicatedState::Verdict::versionMismatch);
  ASSERT_TRUE(replica.runner("i1"));
  EXPECT_EQ(replica.runner("i1")->runnerState(), RunnerState::draining);
  ASSERT_EQ(replica.state().zoneDrains.size(), 1U);
  EXPECT_EQ(replica.state().zoneDrains[0].drainPercent, 50);
  ReplicatedState other;
  ASSERT_TRUE(other.restore(replica.snapshot()));
  EXPECT_EQ(other.snapshot(), replica.snapshot());
}
TEST(Snapshot, UnknownFormatIsRejectedByName) {
  ReplicatedState replica;
  auto later = replica.snapshot();
  later[7] = '3';

  const auto result = replica.restore(later);

  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().code, ErrorCode::incompatibleFormat);
  EXPECT_EQ(result.error().message, "a snapshot of another format version");
}
TEST(Snapshot, RejectedSnapshotChangesNothing) {
  const auto full = replicaWithFullTables().snapshot();
  ReplicatedState replica;
  auto entry = configurationEntry(0, 1, "mine", "operator/1");
  entry.index = 1;
  replica.apply(entry);
  const auto before = replica.snapshot();

  for (std::size_t length = 1; length < full.size(); length += 997) {
    EXPECT_FALSE(replica.restore(full.substr(0, length))) << length;
    EXPECT_EQ(replica.snapshot(), before);
  }
  auto otherText = before;
  otherText[otherText.find("mine")] = 'M';
  EXPECT_FALSE(replica.restore(otherText)) << "a configuration that does not match its digest";
  EXPECT_EQ(replica.snapshot(), before);
}
TEST(Snapshot, EmptySnapshotIsTheStateBeforeTheFirstEntry) {
  auto replica = replicaWithFullTables();

  ASSERT_TRUE(replica.restore({}));

  EXPECT_EQ(replica.snapshot(), ReplicatedState{}.snapshot());
  EXPECT_EQ(replica.evaluateReplace(0, 1, "x"), ReplicatedState::Verdict::acceptable);
}
