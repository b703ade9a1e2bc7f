// Quota, budget and runner choice.
#include <gtest/gtest.h>

#include <random>

#include "balancing/admission.hpp"
#include "balancing/budget.hpp"
#include "balancing/quota.hpp"
#include "balancing/runner_pool.hpp"
#include "quota_allocator.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
std::shared_ptr<const Configuration> tenants(double rate, double burst) {
  auto c = parseConfiguration(
      "{\"configVersion\":1,\"routeTable\":[],\"serviceTable\":[],\"subscribers\":[{\"label\":\"t\",\"accessKeys\":["
      "\"k\"],\"ratePerS\":" +
      std::to_string(rate) + ",\"burstSize\":" + std::to_string(burst) + "}]}");
  return *c;
}
Runner dock(const std::string& id, const std::string& zone, RunnerState st = RunnerState::inService) {
  return Runner{id, "s", id + ":1", zone, 48, 1, static_cast<std::int32_t>(st)};
}
}  // namespace

// Nodes that restart, a leader that changes, demand far above the limit: no window holds more than it may. Few nodes
// with steady tenants (holders) and many that send rarely (loose tokens); answers that come late; nodes cut off.
TEST(Quota, NoWindowHoldsMoreThanItMay) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 rng(seed);
    const std::size_t count = seed % 3 == 0 ? 70 : 6;
    const double rate = 2 + static_cast<double>(rng() % 60);
    const double burst = rate * (0.5 + static_cast<double>(rng() % 3) * 0.5);
    auto cfg = tenants(rate, burst);
    TimePoint now{100s};
    auto allocator = std::make_unique<QuotaAllocator>();
    allocator->setBounds({0.1, 20, 5});
    allocator->startTerm(now);
    struct Node {
      QuotaGrants reserve;
      int waiting = 0;
      TimePoint cutUntil{};
    };
    struct Late {
      std::size_t node;
      TimePoint asked, due;
      std::vector<QuotaGrant> grants;
      bool loose;
    };
    std::vector<Node> nodes(count);
    std::vector<Late> flying;
    std::vector<TimePoint> newest(count);
    std::deque<TimePoint> ran;
    int lastChange = 0;
    for (int ms = 0; ms < 40000; ms += 10, now += 10ms) {
      const auto pick = static_cast<std::size_t>(rng() % nodes.size());
      if (rng() % 400 == 0) {
        nodes[pick] = Node{};
        std::erase_if(flying, [&](auto& f) { return f.node == pick; });
      }
      if (rng() % 700 == 0)
        nodes[pick].cutUntil = now + Duration(500 + rng() % 6000);
      if (rng() % 1500 == 0 && ms - lastChange > 6000) {
        lastChange = ms;
        allocator = std::make_unique<QuotaAllocator>();
        allocator->setBounds({0.1, 20, 5});
        allocator->startTerm(now);
      }
      for (auto& f : flying)
        if (f.due <= now) {
          auto& n = nodes[f.node];
          if (f.loose) {
            n.reserve.loose(f.grants, now);
            while (n.waiting > 0 && n.reserve.retake("t", now))
              --n.waiting, ran.push_back(now);
          } else if (newest[f.node] == f.asked) {
            n.reserve.drawn(f.grants, f.asked);
          }
        }
      std::erase_if(flying, [&](auto& f) { return f.due <= now; });
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        auto& n = nodes[i];
        const int wants = count > 20 ? rng() % 12 == 0 : static_cast<int>(rng() % 3);
        for (int k = 0; k < wants; ++k) {
          if (n.reserve.take("t", now))
            ran.push_back(now);
          else if (n.waiting < 20)
            ++n.waiting, n.reserve.wait("t");
        }
        if (n.cutUntil > now)
          continue;
        const auto name = "n" + std::to_string(i);
        const Duration delay(rng() % 50 == 0 ? 900 : rng() % 12);
        if (const auto w = n.reserve.unasked(); !w.empty())
          flying.push_back({i, now, now + delay, allocator->allocate(now, name, w, {}, cfg.get()), true});
        if ((ms + static_cast<int>(i) * 10) % 400 == 0 || n.reserve.low("t", now)) {
          newest[i] = now;
          const auto holds = n.reserve.holds(now);
          flying.push_back(
              {i, now, now + delay, allocator->allocate(now, name, n.reserve.demand(now), holds, cfg.get()), false});
        }
      }
      while (!ran.empty() && now - ran.front() > 5s)
        ran.pop_front();
      ASSERT_LE(ran.size(), (rate * 5 + burst) * 1.1 + 20) << "seed " << seed << " at " << ms << " ms";
    }
  }
}
// A tenant's requests spread over few nodes or many: a token waited for costs one draw, none is wasted where it
// expires.
TEST(Quota, WhatLiesBelowTheLimitIsAllowed) {
  for (const std::size_t count : {9U, 70U, 330U}) {
    std::mt19937_64 rng(3);
    auto cfg = tenants(32, 32);
    QuotaAllocator allocator;
    allocator.setBounds({0.1, 20, 5});
    TimePoint now{100s};
    allocator.startTerm(now);
    std::vector<QuotaGrants> nodes(count);
    int asked = 0;
    int refused = 0;
    for (int ms = 0; ms < 40000; ms += 10, now += 10ms) {
      // 20 a second, in clumps of three at one node.
      if (ms > 4000 && rng() % 15 == 0) {
        const auto i = static_cast<std::size_t>(rng() % nodes.size());
        auto& n = nodes[i];
        for (int k = 0; k < 3; ++k) {
          ++asked;
          bool ok = n.take("t", now);
          if (!ok) {
            n.wait("t");
            n.loose(allocator.allocate(now, "n" + std::to_string(i), n.unasked(), {}, cfg.get()), now);
            ok = n.retake("t", now);
          }
          refused += !ok;
        }
      }
      if (ms % 400 == 0)
        for (std::size_t i = 0; i < nodes.size(); ++i)
          nodes[i].drawn(
              allocator.allocate(now, "n" + std::to_string(i), nodes[i].demand(now), nodes[i].holds(now), cfg.get()),
              now);
    }
    EXPECT_GT(asked, 500);
    EXPECT_LE(refused * 1000, asked) << refused << " of " << asked << " on " << count << " nodes";
  }
}
TEST(Quota, AStashEndsByItself) {
  QuotaGrants s;
  TimePoint now{100s};
  s.drawn({{"t", 5, 0.1}}, now);
  EXPECT_TRUE(s.take("t", now + 1s));
  EXPECT_FALSE(s.take("t", now + QuotaGrants::life + 1ms));
  s.loose({{"t", 2, 0.1}}, now);
  EXPECT_TRUE(s.retake("t", now + 10ms));
  EXPECT_FALSE(s.retake("t", now + QuotaGrants::immediateTokenLifetime + 1ms));
}
// What a node says of tenants is bounded by those that send to it steadily, however many are configured or came by
// once.
TEST(Quota, OnlySteadyTenantsAreToldOf) {
  QuotaGrants s;
  TimePoint now{100s};
  for (int ms = 0; ms < 20000; ms += 10, now += 10ms) {
    if (ms % 100 == 0)
      s.take("steady", now);
    if (ms % 50 == 0)
      s.take("rare" + std::to_string(ms / 50 % 200), now);
    if (ms % 400 == 0) {
      const auto d = s.demand(now);
      EXPECT_LE(d.size(), 1U);
      if (ms > 4000) {
        ASSERT_EQ(d.size(), 1U);
      }
      for (auto& g : d)
        EXPECT_EQ(g.tenant, "steady");
    }
  }
  for (int i = 0; i < 200; ++i, now += 400ms)
    (void)s.demand(now);
  EXPECT_EQ(s.size(), 0U) << "and forgets who stays away";
}
TEST(Budget, FurtherAttemptsStayInsideTheShare) {
  std::mt19937_64 rng(9);
  Budget b(0.15, 2500ms);
  b.share(10, 0.5);
  std::deque<std::pair<int, bool>> window;  // ms, whether it was a further attempt
  TimePoint now{100s};
  for (int t = 0; t < 100000; ++t, now += 10ms) {
    if (rng() % 10 == 0)
      b.earn("s", now), window.emplace_back(t, false);
    while (rng() % 5 == 0 && b.spend("s", now))
      window.emplace_back(t, true);
    while (!window.empty() && window.front().first < t - 1000)
      window.pop_front();
    double firsts = 0;
    double again = 0;
    for (auto& [at, more] : window)
      (more ? again : firsts) += 1;
    ASSERT_LE(again, 0.2 * firsts + 12) << t;
  }
}
// Quiet for long, then everything fails at once on all nodes: what they saved up must fit the window's slack.
TEST(Budget, AllNodesTogetherStayInsideTheSlack) {
  std::mt19937_64 rng(4);
  for (int nodes : {3, 6, 9, 20, 70, 330}) {
    const double slack = 50;
    std::vector<Budget> b(static_cast<std::size_t>(nodes), Budget(0.15, 2500ms));
    for (auto& x : b)
      x.share(slack * 0.5 / nodes, static_cast<double>(rng() % 1000) / 1000);
    TimePoint now{100s};
    // Much traffic once, then little: what was earned long ago must not be spent on the little.
    for (int i = 0; i < 500; ++i, now += 10ms)
      for (auto& x : b)
        x.earn("s", now);
    now += 20s;
    int firsts = 0;
    int again = 0;
    for (int i = 0; i < 40; ++i, now += 100ms)
      for (auto& x : b) {
        if (nodes > 20 && rng() % 10)
          continue;
        x.earn("s", now);
        ++firsts;
        while (x.spend("s", now))
          ++again;
      }
    EXPECT_LE(again, 0.2 * firsts + slack) << nodes;
    EXPECT_GT(again, 0) << nodes;
  }
}
// Steady traffic and a sudden end of it: the rule counts the requests of the window, or of the one before it.
TEST(Budget, WhatWasEarnedBeforeIsNotSpentLongAfter) {
  Budget b(0.15, 2500ms);
  b.share(0.2, 0.9);
  TimePoint now{100s};
  int firsts = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    b.earn("s", now), ++firsts;
  int again = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    while (b.spend("s", now))
      ++again;
  EXPECT_GT(again, 10);
  EXPECT_LE(again, 0.15 * firsts * 0.26);
}
TEST(RunnerPool, NodesAgreeOnTheRunnerOfASharedPart) {
  std::vector<Runner> rs;
  rs.reserve(18);
  for (int i = 0; i < 18; ++i)
    rs.push_back(dock("r" + std::to_string(i), "z" + std::to_string(i % 3)));
  RunnerPool a(1);
  RunnerPool b(2);
  a.follow(rs);
  std::reverse(rs.begin(), rs.end());
  b.follow(rs);
  std::set<std::string> used;
  for (int part = 1; part < 60; ++part) {
    RunnerQuery w;
    w.service = "s", w.zone = "z0", w.engine = true, w.affinity = hash64(std::to_string(part)), w.sharedTokens = 5000;
    const auto x = a.at(a.choose(w, TimePoint{100s})).id;
    w.zone = "z2";
    EXPECT_EQ(x, b.at(b.choose(w, TimePoint{100s})).id);
    used.insert(x);
  }
  EXPECT_GT(used.size(), 12U) << "parts spread over the runners";
}
TEST(RunnerPool, APlaceWithMuchToReadIsLeft) {
  RunnerPool d(1);
  d.follow({dock("r1", "z"), dock("r2", "z")});
  RunnerQuery w;
  w.service = "s", w.zone = "z", w.engine = true, w.affinity = 77, w.sharedTokens = 1000, w.promptTokens = 3000;
  const int home = d.choose(w, TimePoint{100s});
  d.attemptBegan(home, 3000);
  EXPECT_EQ(d.choose(w, TimePoint{100s}), home) << "one waiting prompt is no reason";
  d.attemptBegan(home, 30000);
  EXPECT_NE(d.choose(w, TimePoint{100s}), home);
  d.promptRead(home, 30000);
  EXPECT_EQ(d.choose(w, TimePoint{100s}), home) << "and it comes back";
}
TEST(RunnerPool, DrainingOnesAreNeverChosenShunnedOnesOnlyAtNeed) {
  RunnerPool d(1);
  d.follow({dock("r1", "z", RunnerState::draining), dock("r2", "z"), dock("r3", "z")});
  RunnerQuery w;
  w.service = "s", w.zone = "z";
  for (int i = 0; i < 50; ++i)
    EXPECT_NE(d.at(d.choose(w, TimePoint{100s})).id, "r1");
  int r2 = 0;
  while (d.at(r2).id != "r2")
    ++r2;
  d.recordFailure(r2, TimePoint{100s});
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(d.at(d.choose(w, TimePoint{100s})).id, "r3");
  d.follow({dock("r2", "z")});
  EXPECT_EQ(d.at(d.choose(w, TimePoint{100s})).id, "r2");
  d.follow({});
  EXPECT_EQ(d.choose(w, TimePoint{100s}), -1);
}
TEST(RunnerPool, AnotherRegionIsForNeedOnly) {
  RunnerPool d(1);
  d.regions({{"a1", "a"}, {"a2", "a"}, {"b1", "b"}});
  d.follow({dock("r1", "a2"), dock("r2", "b1"), dock("r3", "b1")});
  for (bool engine : {false, true})
    for (int part = 1; part < 30; ++part) {
      RunnerQuery w;
      w.service = "s", w.zone = "a1", w.engine = engine, w.affinity = hash64(std::to_string(part)),
      w.sharedTokens = 2000;
      EXPECT_EQ(d.at(d.choose(w, TimePoint{100s})).id, "r1");
    }
  d.follow({dock("r2", "b1")});
  RunnerQuery w;
  w.service = "s", w.zone = "a1", w.engine = true, w.affinity = 5, w.sharedTokens = 2000;
  EXPECT_EQ(d.at(d.choose(w, TimePoint{100s})).id, "r2") << "far away is better than nowhere";
}
TEST(RunnerPool, PromptPartsAreRead) {
  const auto p = promptOf("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  EXPECT_EQ(p.all, 1460);
  EXPECT_EQ(p.shared, 1210);
  EXPECT_EQ(p.affinity, promptOf("5c1e07a2:800,91bd3f06:410,ffff:9").affinity);
  EXPECT_NE(p.affinity, promptOf("5c1e07a2:800,e4402b7d:250").affinity);
  EXPECT_EQ(promptOf("").affinity, 0U);
  EXPECT_EQ(promptOf("aa:5").shared, 0);
  EXPECT_EQ(promptOf("nonsense,,:x").shared, 0);
}

TEST(AdmissionControl, CalmSeasDeclineNobodyStormyOnesTheLessUrgentFirst) {
  AdmissionControl a;
  TimePoint now{100s};
  for (int i = 0; i < 400; ++i, now += 10ms) {
    a.first("s", i % 3 == 0, now);
    ASSERT_TRUE(a.allows("s", 4, 0.0, now)) << "a third late is no storm";
  }
  for (int i = 0; i < 400; ++i, now += 10ms)
    a.first("s", true, now);
  int urgent = 0;
  int other = 0;
  for (int i = 0; i < 1000; ++i) {
    urgent += a.allows("s", 0, i / 1000.0, now);
    other += a.allows("s", 4, i / 1000.0, now);
  }
  EXPECT_LT(urgent, 1000);
  EXPECT_GT(urgent, other);
  EXPECT_GE(other, 250) << "nobody is shut out";
  EXPECT_TRUE(a.allows("another", 4, 0.0, now)) << "each service for itself";
  for (int i = 0; i < 2000; ++i, now += 10ms)
    a.first("s", false, now);
  EXPECT_DOUBLE_EQ(a.level("s"), 0);
}
TEST(AdmissionControl, SilenceEndsAStorm) {
  AdmissionControl a;
  TimePoint now{100s};
  for (int i = 0; i < 300; ++i, now += 10ms)
    a.first("s", true, now);
  EXPECT_GT(a.level("s"), 0);
  for (int i = 0; i < 60; ++i, now += 1s)
    (void)a.allows("s", 4, 0.5, now);
  EXPECT_DOUBLE_EQ(a.level("s"), 0);
}
