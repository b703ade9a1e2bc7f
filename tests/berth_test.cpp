// Quota, budget and runner choice.
#include <random>

#include <gtest/gtest.h>

#include "berth/allow.hpp"
#include "berth/budget.hpp"
#include "berth/docks.hpp"
#include "berth/quota.hpp"
#include "quota.hpp"

using namespace zc;
namespace {
std::shared_ptr<const Configuration> tenants(double rate, double burst) {
  auto c = parseConfiguration("{\"configVersion\":1,\"routeTable\":[],\"serviceTable\":[],\"subscribers\":[{\"label\":\"t\",\"accessKeys\":[\"k\"],\"ratePerS\":" +
                              std::to_string(rate) + ",\"burstSize\":" + std::to_string(burst) + "}]}");
  return *c;
}
Runner dock(const std::string& id, const std::string& zone, RunnerState st = RunnerState::inService) {
  return Runner{id, "s", id + ":1", zone, 48, 1, static_cast<std::int32_t>(st)};
}
}  // namespace

// Nodes that restart, a sequencer that changes, demand far above the limit: no window holds more than it may.
TEST(Quota, NoWindowHoldsMoreThanItMay) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    std::mt19937_64 rng(seed);
    const double rate = 2 + static_cast<double>(rng() % 60), burst = rate * (0.5 + static_cast<double>(rng() % 3) * 0.5);
    auto cfg = tenants(rate, burst);
    Instant now{100s};
    auto desk = std::make_unique<QuotaDesk>();
    desk->bounds({0.1, 20, 5});
    desk->takeOver(now);
    std::vector<QuotaStash> nodes(6);
    std::deque<Instant> ran;
    int lastChange = 0;
    for (int ms = 0; ms < 60000; ms += 10, now += 10ms) {
      const int pick = static_cast<int>(rng() % nodes.size());
      if (rng() % 400 == 0) nodes[pick] = QuotaStash{};
      if (rng() % 1500 == 0 && ms - lastChange > 6000) {
        lastChange = ms;
        desk = std::make_unique<QuotaDesk>();
        desk->bounds({0.1, 20, 5});
        desk->takeOver(now);
      }
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        const int wants = static_cast<int>(rng() % 3);
        for (int k = 0; k < wants; ++k)
          if (nodes[i].take("t", now)) ran.push_back(now);
        if (ms % 400 == 0 || nodes[i].low("t", now)) {
          const auto holds = nodes[i].holds(now);
          nodes[i].drawn(desk->draw(now, "n" + std::to_string(i), nodes[i].demand({"t"}, now), holds, cfg.get()), now);
        }
      }
      while (!ran.empty() && now - ran.front() > 5s) ran.pop_front();
      ASSERT_LE(ran.size(), (rate * 5 + burst) * 1.1 + 20) << "seed " << seed << " at " << ms << " ms";
    }
  }
}
TEST(Quota, WhatLiesBelowTheLimitIsAllowed) {
  std::mt19937_64 rng(3);
  auto cfg = tenants(32, 32);
  QuotaDesk desk;
  desk.bounds({0.1, 20, 5});
  Instant now{100s};
  desk.takeOver(now);
  std::vector<QuotaStash> nodes(9);
  int asked = 0, refused = 0;
  for (int ms = 0; ms < 40000; ms += 10, now += 10ms) {
    // 20 a second, in clumps of three at one node.
    if (ms > 4000 && rng() % 15 == 0) {
      auto& n = nodes[rng() % nodes.size()];
      for (int k = 0; k < 3; ++k) {
        ++asked;
        bool ok = n.take("t", now);
        if (!ok) {
          n.waits("t", 1);
          const auto i = static_cast<std::size_t>(&n - nodes.data());
          n.drawn(desk.draw(now, "n" + std::to_string(i), n.demand({"t"}, now), n.holds(now), cfg.get()), now);
          n.waits("t", -1);
          ok = n.take("t", now);
        }
        refused += !ok;
      }
    }
    if (ms % 400 == 0)
      for (std::size_t i = 0; i < nodes.size(); ++i)
        nodes[i].drawn(desk.draw(now, "n" + std::to_string(i), nodes[i].demand({"t"}, now), nodes[i].holds(now), cfg.get()), now);
  }
  EXPECT_GT(asked, 500);
  EXPECT_LE(refused * 100, asked) << refused << " of " << asked;
}
TEST(Quota, AStashEndsByItself) {
  QuotaStash s;
  Instant now{100s};
  s.drawn({{"t", 5, 0.1}}, now);
  EXPECT_TRUE(s.take("t", now + 1s));
  EXPECT_FALSE(s.take("t", now + QuotaStash::life + 1ms));
}
TEST(Budget, FurtherGoesStayInsideTheShare) {
  std::mt19937_64 rng(9);
  Budget b(0.15, 2, 10);
  std::deque<std::pair<int, bool>> window;  // time, whether it was a further go
  for (int t = 0; t < 100000; ++t) {
    if (rng() % 10 == 0) b.earn("s"), window.emplace_back(t, false);
    while (rng() % 5 == 0 && b.spend("s")) window.emplace_back(t, true);
    while (!window.empty() && window.front().first < t - 1000) window.pop_front();
    double firsts = 0, again = 0;
    for (auto& [at, more] : window) (more ? again : firsts) += 1;
    ASSERT_LE(again, 0.2 * firsts + 12) << t;
  }
}
// Quiet for long, then everything fails at once on all nodes: what they saved up must fit the window's slack.
TEST(Budget, AllNodesTogetherStayInsideTheSlack) {
  for (int nodes : {3, 6, 9, 20}) {
    const double slack = 50;
    std::vector<Budget> b(static_cast<std::size_t>(nodes), Budget(0.15, 1.5, slack * 0.05));
    for (auto& x : b) x.share(slack * 0.6 / nodes);
    for (auto& x : b)
      for (int i = 0; i < 500; ++i) x.earn("s");
    int firsts = 0, again = 0;
    for (int i = 0; i < 40; ++i)
      for (auto& x : b) {
        x.earn("s");
        ++firsts;
        while (x.spend("s")) ++again;
      }
    EXPECT_LE(again, 0.2 * firsts + slack) << nodes;
    EXPECT_GT(again, 0);
  }
}
TEST(Docks, NodesAgreeOnTheRunnerOfASharedPart) {
  std::vector<Runner> rs;
  for (int i = 0; i < 18; ++i) rs.push_back(dock("r" + std::to_string(i), "z" + std::to_string(i % 3)));
  Docks a(1), b(2);
  a.follow(rs);
  std::reverse(rs.begin(), rs.end());
  b.follow(rs);
  std::set<std::string> used;
  for (int part = 1; part < 60; ++part) {
    Wish w;
    w.service = "s", w.zone = "z0", w.engine = true, w.affinity = hash64(std::to_string(part)), w.sharedTokens = 5000;
    const auto x = a.at(a.choose(w, Instant{100s})).id;
    w.zone = "z2";
    EXPECT_EQ(x, b.at(b.choose(w, Instant{100s})).id);
    used.insert(x);
  }
  EXPECT_GT(used.size(), 12u) << "parts spread over the runners";
}
TEST(Docks, APlaceWithMuchToReadIsLeft) {
  Docks d(1);
  d.follow({dock("r1", "z"), dock("r2", "z")});
  Wish w;
  w.service = "s", w.zone = "z", w.engine = true, w.affinity = 77, w.sharedTokens = 1000, w.promptTokens = 3000;
  const int home = d.choose(w, Instant{100s});
  d.went(home, 3000);
  EXPECT_EQ(d.choose(w, Instant{100s}), home) << "one waiting prompt is no reason";
  d.went(home, 30000);
  EXPECT_NE(d.choose(w, Instant{100s}), home);
  d.read(home, 30000);
  EXPECT_EQ(d.choose(w, Instant{100s}), home) << "and it comes back";
}
TEST(Docks, DrainingOnesAreNeverChosenShunnedOnesOnlyAtNeed) {
  Docks d(1);
  d.follow({dock("r1", "z", RunnerState::draining), dock("r2", "z"), dock("r3", "z")});
  Wish w;
  w.service = "s", w.zone = "z";
  for (int i = 0; i < 50; ++i) EXPECT_NE(d.at(d.choose(w, Instant{100s})).id, "r1");
  int r2 = 0;
  while (d.at(r2).id != "r2") ++r2;
  d.fault(r2, Instant{100s});
  for (int i = 0; i < 20; ++i) EXPECT_EQ(d.at(d.choose(w, Instant{100s})).id, "r3");
  d.follow({dock("r2", "z")});
  EXPECT_EQ(d.at(d.choose(w, Instant{100s})).id, "r2");
  d.follow({});
  EXPECT_EQ(d.choose(w, Instant{100s}), -1);
}
TEST(Docks, AnotherRegionIsForNeedOnly) {
  Docks d(1);
  d.regions({{"a1", "a"}, {"a2", "a"}, {"b1", "b"}});
  d.follow({dock("r1", "a2"), dock("r2", "b1"), dock("r3", "b1")});
  for (bool engine : {false, true})
    for (int part = 1; part < 30; ++part) {
      Wish w;
      w.service = "s", w.zone = "a1", w.engine = engine, w.affinity = hash64(std::to_string(part)), w.sharedTokens = 2000;
      EXPECT_EQ(d.at(d.choose(w, Instant{100s})).id, "r1");
    }
  d.follow({dock("r2", "b1")});
  Wish w;
  w.service = "s", w.zone = "a1", w.engine = true, w.affinity = 5, w.sharedTokens = 2000;
  EXPECT_EQ(d.at(d.choose(w, Instant{100s})).id, "r2") << "far away is better than nowhere";
}
TEST(Docks, PromptPartsAreRead) {
  const auto p = promptOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  EXPECT_EQ(p.all, 1460);
  EXPECT_EQ(p.shared, 1210);
  EXPECT_EQ(p.affinity, promptOf("5c1e07a2:800,91bd3f06:410,ffff:9").affinity);
  EXPECT_NE(p.affinity, promptOf("5c1e07a2:800,e4402b7d:250").affinity);
  EXPECT_EQ(promptOf("").affinity, 0u);
  EXPECT_EQ(promptOf("aa:5").shared, 0);
  EXPECT_EQ(promptOf("nonsense,,:x").shared, 0);
}

TEST(Allowance, CalmSeasDeclineNobodyStormyOnesTheLessUrgentFirst) {
  Allowance a;
  Instant now{100s};
  for (int i = 0; i < 400; ++i, now += 10ms) {
    a.first("s", i % 3 == 0, now);
    ASSERT_TRUE(a.allows("s", 4, 0.0, now)) << "a third late is no storm";
  }
  for (int i = 0; i < 400; ++i, now += 10ms) a.first("s", true, now);
  int urgent = 0, other = 0;
  for (int i = 0; i < 1000; ++i) {
    urgent += a.allows("s", 0, i / 1000.0, now);
    other += a.allows("s", 4, i / 1000.0, now);
  }
  EXPECT_LT(urgent, 1000);
  EXPECT_GT(urgent, other);
  EXPECT_GE(other, 250) << "nobody is shut out";
  EXPECT_TRUE(a.allows("another", 4, 0.0, now)) << "each service for itself";
  for (int i = 0; i < 2000; ++i, now += 10ms) a.first("s", false, now);
  EXPECT_DOUBLE_EQ(a.level("s"), 0);
}
TEST(Allowance, SilenceEndsAStorm) {
  Allowance a;
  Instant now{100s};
  for (int i = 0; i < 300; ++i, now += 10ms) a.first("s", true, now);
  EXPECT_GT(a.level("s"), 0);
  for (int i = 0; i < 60; ++i, now += 1s) (void)a.allows("s", 4, 0.5, now);
  EXPECT_DOUBLE_EQ(a.level("s"), 0);
}
