// Tests of configuration deltas: computing and applying them, and log entries and partial snapshots that contain
// deltas.
#include "state_machine/delta.hpp"

#include <gtest/gtest.h>

#include <random>

#include "state_machine/replicated_state.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
/// A configuration text whose routes and tenants can be changed individually.
struct ConfigurationText {
  std::vector<std::string> routes;
  std::vector<std::string> tenants;
  int version = 1;
  int serial = 0;

  ConfigurationText(int routeCount, int tenantCount) {
    for (int i = 0; i < routeCount; ++i)
      routes.push_back(newRoute());
    for (int i = 0; i < tenantCount; ++i)
      tenants.push_back(newTenant());
  }
  std::string body() const {
    return "{\"configVersion\":" + std::to_string(version) + ",\"routeTable\":[" + joined(routes) +
           "],\"serviceTable\":[{\"label\":\"a\"}],\"limits\":{\"maxBodyBytes\":4194304},\"subscribers\":[" +
           joined(tenants) + "]}";
  }
  std::string newRoute() {
    const auto number = std::to_string(++serial);
    return "{\"label\":\"r-" + number + "\",\"authority\":\"h" + number +
           ".example\",\"note\":\"a \\\" quote, [and] {more}\",\"targets\":[{\"s\":1},{\"s\":2}]}";
  }
  std::string newTenant() {
    const auto number = std::to_string(++serial);
    return "{\"label\":\"t" + number + "\",\"accessKeys\":[\"key-" + number + "-a\",\"key-" + number +
           "-b\"],\"precedence\":1,\"ratePerS\":3" + number + ",\"burstSize\":5}";
  }
  /// Raises the version and inserts, removes, replaces or swaps one to three elements.
  void changeAtRandom(std::mt19937_64& random) {
    version += 1 + static_cast<int>(random() % 3);
    for (int changes = 1 + static_cast<int>(random() % 3); changes > 0; --changes)
      changeOneAtRandom(random);
  }

 private:
  static std::string joined(const std::vector<std::string>& elements) {
    std::string text;
    for (const auto& element : elements)
      text += (text.empty() ? "" : ",") + element;
    return text;
  }
  void changeOneAtRandom(std::mt19937_64& random) {
    const bool isRoute = random() % 2;
    auto& elements = isRoute ? routes : tenants;
    const auto newElement = [&] { return isRoute ? newRoute() : newTenant(); };
    const auto position = elements.empty() ? 0 : random() % elements.size();
    const auto action = random() % 4;
    if (action == 0)
      elements.insert(elements.begin() + static_cast<std::ptrdiff_t>(position), newElement());
    else if (elements.empty())
      return;
    else if (action == 1)
      elements.erase(elements.begin() + static_cast<std::ptrdiff_t>(position));
    else if (action == 2)
      elements[position] = newElement();
    else
      std::swap(elements[position], elements.back());
  }
};

/// A replica that applies entries with consecutive log indexes.
struct Replica {
  ReplicatedState state;
  std::int64_t lastIndex = 0;
  ReplicatedState::Change apply(LogEntry entry) {
    entry.index = ++lastIndex;
    return state.apply(entry);
  }
  /// The entry that this replica builds to change the configuration from version `base` to `text`.
  LogEntry changeEntry(std::int64_t base, const ConfigurationText& text, const std::string& operation) const {
    return configurationChangeEntry(base, text.version, text.body(), operation, state.state());
  }
};
/// Applies the versions `first` to `last`, each of which replaces one tenant.
void changeTenants(Replica& replica, ConfigurationText& text, int first, int last) {
  for (int version = first; version <= last; ++version) {
    text.version = version;
    text.tenants[static_cast<std::size_t>(version)] = text.newTenant();
    replica.apply(replica.changeEntry(version - 1, text, "w" + std::to_string(version)));
  }
}
std::string randomText(std::mt19937_64& random, const std::string& alphabet, std::size_t length) {
  std::string text;
  for (; length > 0; --length)
    text += alphabet[random() % alphabet.size()];
  return text;
}
}  // namespace

TEST(Delta, ChainsOfRandomChangesGiveTheFullText) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 random(seed);
    ConfigurationText text(static_cast<int>(random() % 30), static_cast<int>(random() % 60));
    Replica replica;
    std::int64_t base = 0;
    std::size_t deltas = 0;
    for (int i = 0; i < 40; ++i) {
      const auto entry = replica.changeEntry(base, text, "w" + std::to_string(i));
      deltas += entry.op() == OperationKind::configurationDelta;
      EXPECT_FALSE(replica.apply(entry).corrupted);
      ASSERT_EQ(replica.state.state().configuration, text.body()) << "seed " << seed;
      ASSERT_EQ(replica.state.state().version, text.version);
      base = text.version;
      text.changeAtRandom(random);
    }
    EXPECT_GT(deltas, 10U) << "seed " << seed;
  }
}
TEST(Delta, ChangeOfOneTenantOfThousandsIsSmall) {
  ConfigurationText text(40, 6100);
  const auto before = text.body();
  ++text.version;
  text.tenants[3000] = text.newTenant();
  const auto after = text.body();

  const auto delta = computeDelta(before, digestOf(before), after, digestOf(after));

  EXPECT_LT(delta.size(), 500U) << "of " << after.size();
  EXPECT_EQ(applyDelta(before, digestOf(before), delta).value(), after);
}
TEST(Delta, AnyTextIsRebuilt) {
  std::mt19937_64 random(6);
  const std::string alphabet = "{}[],\"\\:ab ";
  for (int i = 0; i < 3000; ++i) {
    const auto base = randomText(random, alphabet, random() % 60);
    auto text = base;
    for (auto changes = random() % 6; changes > 0 && !text.empty(); --changes)
      text[random() % text.size()] = alphabet[random() % alphabet.size()];

    const auto delta = computeDelta(base, "x", text, digestOf(text));

    ASSERT_EQ(applyDelta(base, "x", delta).value(), text) << base << " -> " << text;
  }
}
TEST(Delta, MismatchIsRejected) {
  ConfigurationText text(5, 5);
  const auto base = text.body();
  text.tenants.pop_back();
  const auto result = text.body();
  const auto delta = computeDelta(base, digestOf(base), result, digestOf(result));

  EXPECT_FALSE(applyDelta(result, digestOf(result), delta)) << "another base";
  EXPECT_FALSE(applyDelta(result, digestOf(base), delta)) << "a base that does not match its digest";
  EXPECT_FALSE(applyDelta(base, digestOf(base), "no delta at all"));
  EXPECT_FALSE(applyDelta(base.substr(0, 20), digestOf(base), delta)) << "ranges outside of the base";

  std::mt19937_64 random(7);
  for (int i = 0; i < 2000; ++i) {
    auto corrupted = delta;
    auto& byte = corrupted[random() % corrupted.size()];
    byte = static_cast<char>(byte ^ (1 << random() % 8));
    EXPECT_EQ(applyDelta(base, digestOf(base), corrupted).value_or(result), result)
        << "a corrupted delta must not result in another text";
  }
}
// Lost, duplicated and reordered entries are handled before they reach the state machine. The state machine rejects an
// entry whose base is not the current version.
TEST(Delta, DeltaOnAnotherVersionIsRejected) {
  ConfigurationText text(5, 5);
  Replica replica;
  replica.apply(replica.changeEntry(0, text, "w1"));
  const auto atVersion1 = replica.state.state();
  text.version = 2, text.tenants.pop_back();
  const auto second = text.body();
  text.version = 3, text.routes.pop_back();
  const auto winner = configurationChangeEntry(1, 2, second, "w2", atVersion1);
  const auto loser = configurationChangeEntry(1, 3, text.body(), "w3", atVersion1);
  ASSERT_EQ(winner.op(), OperationKind::configurationDelta);

  replica.apply(winner);
  replica.apply(loser);
  replica.apply(winner);

  EXPECT_EQ(replica.state.outcomeOf(winner.operationId), ReplicatedState::Verdict::acknowledged);
  EXPECT_EQ(replica.state.outcomeOf(loser.operationId), ReplicatedState::Verdict::versionMismatch);
  EXPECT_EQ(replica.state.state().configuration, second);
}
TEST(Delta, CorruptedReplicaDetectsItAndIsRepairedByAFullSnapshot) {
  ConfigurationText text(5, 5);
  Replica intact;
  Replica corrupted;
  const auto first = intact.changeEntry(0, text, "w1");
  intact.apply(first);
  auto differing = first;
  differing.body.replace(differing.body.find("t6"), 2, "t9");  // simulates a memory error
  corrupted.apply(differing);

  text.version = 2, text.tenants.pop_back();
  const auto second = intact.changeEntry(1, text, "w2");
  EXPECT_FALSE(intact.apply(second).corrupted);
  EXPECT_TRUE(corrupted.apply(second).corrupted);
  EXPECT_TRUE(corrupted.state.corrupted());
  text.version = 3, text.routes.pop_back();
  const auto third = intact.changeEntry(2, text, "w3");
  intact.apply(third);
  EXPECT_TRUE(corrupted.apply(third).corrupted) << "the replica stays corrupted until it gets a full snapshot";

  EXPECT_FALSE(corrupted.state.restore(intact.state.snapshotFor(intact.state.state().digest)))
      << "a partial snapshot for a configuration that the replica does not have";
  ASSERT_TRUE(corrupted.state.restore(intact.state.snapshotFor(corrupted.state.state().digest)));
  EXPECT_FALSE(corrupted.state.corrupted());
  EXPECT_EQ(corrupted.state.snapshotFor({}), intact.state.snapshotFor({}));
}
TEST(Delta, PartialSnapshotOmitsWhatTheReceiverHas) {
  ConfigurationText text(40, 500);
  Replica sender;
  Replica receiver;
  const auto entry = sender.changeEntry(0, text, "w1");
  sender.apply(entry);
  receiver.apply(entry);
  const auto cachedDigest = receiver.state.state().digest;
  EXPECT_LT(sender.state.snapshotFor(cachedDigest).size(), 1000U) << "the same configuration";

  changeTenants(sender, text, 2, 3);
  const auto partial = sender.state.snapshotFor(cachedDigest);
  EXPECT_LT(partial.size(), 2000U) << "of " << sender.state.snapshot().size();
  ASSERT_TRUE(receiver.state.restore(partial));
  EXPECT_EQ(receiver.state.snapshotFor({}), sender.state.snapshotFor({}));

  changeTenants(sender, text, 4, 11);
  const auto full = sender.state.snapshotFor(cachedDigest);
  EXPECT_GT(full.size(), text.body().size()) << "the receiver is too many changes behind for a partial snapshot";
  ASSERT_TRUE(receiver.state.restore(full));
  EXPECT_EQ(receiver.state.snapshotFor({}), sender.state.snapshotFor({}));
  ReplicatedState empty;
  ASSERT_TRUE(empty.restore(sender.state.snapshotFor({})));
  EXPECT_EQ(empty.snapshotFor({}), sender.state.snapshotFor({}));
}

// The text in force keeps whether the list of subscribers is absent, null, empty or filled, on every way that it takes
// to a replica: a delta, a snapshot for a controller and its disk, and full and partial snapshots for the data plane.
TEST(Delta, AnEmptyListOfSubscribersStaysApartFromNone) {
  const auto withList = [](int version, const std::string& field) {
    return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[],"serviceTable":[{"label":")" +
           std::string(200, 's') + R"("}])" + field + "}";
  };
  const std::string fields[] = {"", R"(,"subscribers":null)", R"(,"subscribers":[])",
                                R"(,"subscribers":[{"label":"t","accessKeys":["k"]}])"};
  for (const auto& before : fields)
    for (const auto& after : fields) {
      const auto text = withList(2, after);
      ReplicatedState replica;
      ReplicatedState follower;
      std::int64_t index = 0;
      const auto apply = [&](LogEntry entry) {
        entry.index = ++index;
        replica.apply(entry);
        follower.apply(entry);
      };
      apply(configurationEntry(0, 1, withList(1, before), "operator/1"));
      const auto cached = replica.state().digest;
      const auto change = configurationChangeEntry(1, 2, text, "operator/2", replica.state());
      EXPECT_EQ(change.op(), OperationKind::configurationDelta) << before << after;
      apply(change);
      EXPECT_EQ(follower.state().configuration, text) << before << after;
      ReplicatedState restored;
      ASSERT_TRUE(restored.restore(replica.snapshot()));
      EXPECT_EQ(restored.state().configuration, text);
      ASSERT_TRUE(restored.restore(replica.snapshotFor("")));
      EXPECT_EQ(restored.state().configuration, text);
      ReplicatedState partial;
      auto first = configurationEntry(0, 1, withList(1, before), "operator/1");
      first.index = 1;
      partial.apply(first);
      ASSERT_TRUE(partial.restore(replica.snapshotFor(cached)));
      EXPECT_EQ(partial.state().configuration, text);
    }
}
