// Changes, not wholes: a configuration as its difference, snapshots that leave out what is held, large frames in
// pieces.
#include "state_machine/delta.hpp"

#include <gtest/gtest.h>

#include <random>

#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/peer_link.hpp"

using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
struct Text {
  std::vector<std::string> routes, tenants;
  int version = 1, serial = 0;
  std::string body() const {
    auto join = [](const std::vector<std::string>& v) {
      std::string s;
      for (auto& x : v)
        s += (s.empty() ? "" : ",") + x;
      return s;
    };
    return "{\"configVersion\":" + std::to_string(version) + ",\"routeTable\":[" + join(routes) +
           "],\"serviceTable\":[{\"label\":\"a\"}],\"limits\":{\"maxBodyBytes\":4194304},\"subscribers\":[" +
           join(tenants) + "]}";
  }
  std::string route() {
    const auto n = std::to_string(++serial);
    return "{\"label\":\"r-" + n + "\",\"authority\":\"h" + n +
           ".example\",\"note\":\"a \\\" quote, [and] {more}\",\"targets\":[{\"s\":1},{\"s\":2}]}";
  }
  std::string tenant() {
    const auto n = std::to_string(++serial);
    return "{\"label\":\"t" + n + "\",\"accessKeys\":[\"key-" + n + "-a\",\"key-" + n +
           "-b\"],\"precedence\":1,\"ratePerS\":3" + n + ",\"burstSize\":5}";
  }
  Text(int r, int t) {
    for (int i = 0; i < r; ++i)
      routes.push_back(route());
    for (int i = 0; i < t; ++i)
      tenants.push_back(tenant());
  }
  void change(std::mt19937_64& rng) {
    version += 1 + static_cast<int>(rng() % 3);
    for (int k = 1 + static_cast<int>(rng() % 3); k > 0; --k) {
      auto& v = rng() % 2 ? routes : tenants;
      const bool isRoute = &v == &routes;
      const auto i = v.empty() ? 0 : rng() % v.size();
      switch (rng() % 4) {
        case 0:
          v.insert(v.begin() + static_cast<std::ptrdiff_t>(i), isRoute ? route() : tenant());
          break;
        case 1:
          if (!v.empty())
            v.erase(v.begin() + static_cast<std::ptrdiff_t>(i));
          break;
        case 2:
          if (!v.empty())
            v[i] = isRoute ? route() : tenant();
          break;
        default:
          if (!v.empty())
            std::swap(v[i], v.back());
          break;
      }
    }
  }
};
struct Chain {
  ReplicatedState copy;
  std::int64_t n = 0;
  ReplicatedState::Change put(LogEntry e) {
    e.index = ++n;
    return copy.apply(e);
  }
};
}  // namespace

TEST(Delta, RandomChainsOfChangesEqualTheWhole) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 rng(seed);
    Text t(static_cast<int>(rng() % 30), static_cast<int>(rng() % 60));
    Chain a;
    std::int64_t base = 0;
    std::size_t differences = 0;
    for (int i = 0; i < 40; ++i) {
      const auto body = t.body();
      auto e = configurationChangeEntry(base, t.version, body, "w" + std::to_string(i), a.copy.state());
      differences += e.op() == OperationKind::difference;
      EXPECT_FALSE(a.put(e).damaged);
      ASSERT_EQ(a.copy.state().configuration, body) << "seed " << seed;
      ASSERT_EQ(a.copy.state().version, t.version);
      base = t.version;
      t.change(rng);
    }
    EXPECT_GT(differences, 10U) << "seed " << seed;
  }
}
TEST(Delta, OneKeyOfThousandsTravelsAsOneTenant) {
  Text t(40, 6100);
  const auto before = t.body();
  ++t.version;
  t.tenants[3000] = t.tenant();
  const auto after = t.body();
  const auto d = deltaOf(before, digestOf(before), after, digestOf(after));
  EXPECT_LT(d.size(), 500U) << "of " << after.size();
  EXPECT_EQ(applyDelta(before, digestOf(before), d).value(), after);
}
TEST(Delta, AnyTextIsMadeWholeAgain) {
  std::mt19937_64 rng(6);
  const std::string alphabet = "{}[],\"\\:ab ";
  for (int i = 0; i < 3000; ++i) {
    std::string a;
    std::string b;
    for (auto n = rng() % 60; n > 0; --n)
      a += alphabet[rng() % alphabet.size()];
    b = a;
    for (auto n = rng() % 6; n > 0 && !b.empty(); --n)
      b[rng() % b.size()] = alphabet[rng() % alphabet.size()];
    const auto d = deltaOf(a, "x", b, digestOf(b));
    ASSERT_EQ(applyDelta(a, "x", d).value(), b) << a << " -> " << b;
  }
}
TEST(Delta, WhatDoesNotFitIsDeclined) {
  Text t(5, 5);
  const auto a = t.body();
  t.tenants.pop_back();
  const auto b = t.body();
  auto d = deltaOf(a, digestOf(a), b, digestOf(b));
  EXPECT_FALSE(applyDelta(b, digestOf(b), d)) << "another base";
  EXPECT_FALSE(applyDelta(b, digestOf(a), d)) << "a base that is not what its digest says";
  EXPECT_FALSE(applyDelta(a, digestOf(a), "no difference at all"));
  EXPECT_FALSE(applyDelta(a.substr(0, 20), digestOf(a), d)) << "runs outside of the base";
  std::mt19937_64 rng(7);
  for (int i = 0; i < 2000; ++i) {
    auto x = d;
    auto& byte = x[rng() % x.size()];
    byte = static_cast<char>(byte ^ (1 << rng() % 8));
    EXPECT_EQ(applyDelta(a, digestOf(a), x).value_or(b), b) << "only the taken text ever comes of it";
  }
}
// Lost, doubled and reordered differences are the queue's matter; one on a version that is not in place loses its race.
TEST(Delta, ADifferenceOnAnotherVersionLosesItsRace) {
  Text t(5, 5);
  Chain a;
  a.put(configurationChangeEntry(0, 1, t.body(), "w1", a.copy.state()));
  const auto on1 = a.copy.state();
  t.version = 2, t.tenants.pop_back();
  const auto second = t.body();
  t.version = 3, t.routes.pop_back();
  auto x = configurationChangeEntry(1, 2, second, "w2", on1);
  auto y = configurationChangeEntry(1, 3, t.body(), "w3", on1);
  ASSERT_EQ(x.op(), OperationKind::difference);
  a.put(x);
  a.put(y);
  a.put(x);
  EXPECT_EQ(a.copy.outcomeOf(x.operationId), 200);
  EXPECT_EQ(a.copy.outcomeOf(y.operationId), 412);
  EXPECT_EQ(a.copy.state().configuration, second);
}
TEST(Delta, ACopyThatDiffersKnowsItAndHealsByTheWhole) {
  Text t(5, 5);
  Chain good;
  Chain ill;
  const auto first = configurationChangeEntry(0, 1, t.body(), "w1", good.copy.state());
  good.put(first);
  auto other = first;
  other.body.replace(other.body.find("t6"), 2, "t9");  // as if memory had failed it
  ill.put(other);
  t.version = 2, t.tenants.pop_back();
  const auto second = configurationChangeEntry(1, 2, t.body(), "w2", good.copy.state());
  EXPECT_FALSE(good.put(second).damaged);
  EXPECT_TRUE(ill.put(second).damaged);
  EXPECT_TRUE(ill.copy.damaged());
  t.version = 3, t.routes.pop_back();
  const auto third = configurationChangeEntry(2, 3, t.body(), "w3", good.copy.state());
  good.put(third);
  EXPECT_TRUE(ill.put(third).damaged) << "and stays so";
  EXPECT_FALSE(ill.copy.restore(good.copy.snapshotFor(good.copy.state().digest)))
      << "what it does not hold can't be left out";
  ASSERT_TRUE(ill.copy.restore(good.copy.snapshotFor(ill.copy.state().digest)));
  EXPECT_FALSE(ill.copy.damaged());
  EXPECT_EQ(ill.copy.snapshotFor({}), good.copy.snapshotFor({}));
}
TEST(Delta, ASnapshotLeavesOutWhatIsHeld) {
  Text t(40, 500);
  Chain a;
  Chain away;
  auto e = configurationChangeEntry(0, 1, t.body(), "w1", a.copy.state());
  a.put(e), away.put(e);
  const auto held = away.copy.state().digest;
  EXPECT_LT(a.copy.snapshotFor(held).size(), 1000U) << "the very same";
  for (int i = 2; i < 4; ++i) {
    t.version = i, t.tenants[static_cast<std::size_t>(i)] = t.tenant();
    a.put(configurationChangeEntry(i - 1, i, t.body(), "w" + std::to_string(i), a.copy.state()));
  }
  const auto s = a.copy.snapshotFor(held);
  EXPECT_LT(s.size(), 2000U) << "of " << a.copy.snapshot().size();
  ASSERT_TRUE(away.copy.restore(s));
  EXPECT_EQ(away.copy.snapshotFor({}), a.copy.snapshotFor({}));
  for (int i = 4; i < 12; ++i) {
    t.version = i, t.tenants[static_cast<std::size_t>(i)] = t.tenant();
    a.put(configurationChangeEntry(i - 1, i, t.body(), "w" + std::to_string(i), a.copy.state()));
  }
  const auto far = a.copy.snapshotFor(held);
  EXPECT_GT(far.size(), t.body().size()) << "long away: the whole";
  ASSERT_TRUE(away.copy.restore(far));
  EXPECT_EQ(away.copy.snapshotFor({}), a.copy.snapshotFor({}));
  ReplicatedState empty;
  ASSERT_TRUE(empty.restore(a.copy.snapshotFor({})));
  EXPECT_EQ(empty.snapshotFor({}), a.copy.snapshotFor({}));
}
namespace {
std::string piece(const std::string& bytes, bool last) {
  std::string out;
  const auto n = static_cast<std::uint32_t>(bytes.size() + 2);
  for (int i = 0; i < 4; ++i)
    out += static_cast<char>(n >> (24 - 8 * i));
  return out + '\3' + (last ? '\1' : '\0') + bytes;
}
}  // namespace
TEST(Frames, PiecesMakeAFrameAndOthersOvertakeThem) {
  FeedSnapshot big;
  big.lastIncludedIndex = 9;
  big.state = std::string(40000, 'q');
  const auto frame = encodeFrame(pack(big));
  std::string partial;
  std::string buf =
      piece(frame.substr(0, 20000), false) + encodeFrame(pack(LeaseResponse{})) + piece(frame.substr(20000), true);
  std::vector<Envelope> got;
  // Byte by byte, as the network may bring it.
  std::string sofar;
  for (char c : buf) {
    sofar += c;
    auto out = decodeFrames(sofar, &partial);
    ASSERT_TRUE(out);
    for (auto& m : *out)
      got.push_back(m);
  }
  ASSERT_EQ(got.size(), 2U);
  EXPECT_EQ(got[0].type, MessageType::leaseResponse);
  const auto back = unpack<FeedSnapshot>(got[1]);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->lastIncludedIndex, 9);
  EXPECT_EQ(back->state.size(), 40000U);
  EXPECT_TRUE(partial.empty());
  auto alone = piece("x", true);
  EXPECT_FALSE(decodeFrames(alone)) << "where no pieces are expected";
  auto nonsense = piece("no frame", true);
  EXPECT_FALSE(decodeFrames(nonsense, &partial));
}
