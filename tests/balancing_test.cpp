// Quota token buckets, retry budget, runner choice and load shedding.
#include <gtest/gtest.h>

#include <random>

#include "balancing/admission_control.hpp"
#include "balancing/prompt_prefix.hpp"
#include "balancing/quota_token_buckets.hpp"
#include "balancing/retry_budget.hpp"
#include "balancing/runner_pool.hpp"
#include "quota_allocator.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
namespace {
std::shared_ptr<const Configuration> configurationWithTenant(double rate, double burst) {
  auto configuration = parseConfiguration(
      "{\"configVersion\":1,\"routeTable\":[],\"serviceTable\":[],\"subscribers\":[{\"label\":\"t\",\"accessKeys\":["
      "\"k\"],\"ratePerS\":" +
      std::to_string(rate) + ",\"burstSize\":" + std::to_string(burst) + "}]}");
  return *configuration;
}
Runner runnerIn(const std::string& id, const std::string& zone, RunnerState state = RunnerState::inService) {
  return Runner{id, "s", id + ":1", zone, 48, 1, static_cast<std::int32_t>(state)};
}
}  // namespace

// Guards against grants that exceed a tenant's limit in any window: nodes restart and are partitioned, the leader
// changes, grants arrive late, and the demand is far above the limit. Covers a few nodes with steady tenants (local
// reserves) and many nodes that get requests rarely (immediate tokens).
TEST(Quota, NoWindowExceedsItsLimit) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    std::mt19937_64 rng(seed);
    const std::size_t count = seed % 3 == 0 ? 70 : 6;
    const double rate = 2 + static_cast<double>(rng() % 60);
    const double burst = rate * (0.5 + static_cast<double>(rng() % 3) * 0.5);
    auto configuration = configurationWithTenant(rate, burst);
    TimePoint now{100s};
    auto allocator = std::make_unique<QuotaAllocator>();
    allocator->setBounds({0.1, 20, 5});
    allocator->startTerm(now);
    struct Node {
      QuotaTokenBuckets buckets;
      int waiting = 0;
      TimePoint partitionedUntil{};
    };
    struct DelayedGrant {
      std::size_t node;
      TimePoint requestedAt, due;
      std::vector<QuotaGrant> grants;
      bool immediate;
    };
    std::vector<Node> nodes(count);
    std::vector<DelayedGrant> delayed;
    std::vector<TimePoint> newestRequest(count);
    std::deque<TimePoint> acceptedAt;
    int lastLeaderChange = 0;
    for (int ms = 0; ms < 40000; ms += 10, now += 10ms) {
      const auto affectedNode = static_cast<std::size_t>(rng() % nodes.size());
      if (rng() % 400 == 0) {
        nodes[affectedNode] = Node{};
        std::erase_if(delayed, [&](auto& grant) { return grant.node == affectedNode; });
      }
      if (rng() % 700 == 0)
        nodes[affectedNode].partitionedUntil = now + Duration(500 + rng() % 6000);
      if (rng() % 1500 == 0 && ms - lastLeaderChange > 6000) {
        lastLeaderChange = ms;
        allocator = std::make_unique<QuotaAllocator>();
        allocator->setBounds({0.1, 20, 5});
        allocator->startTerm(now);
      }
      for (auto& grant : delayed)
        if (grant.due <= now) {
          auto& node = nodes[grant.node];
          if (grant.immediate) {
            node.buckets.addImmediateTokens(grant.grants, now);
            while (node.waiting > 0 && node.buckets.retryAcquire("t", now))
              --node.waiting, acceptedAt.push_back(now);
          } else if (newestRequest[grant.node] == grant.requestedAt) {
            node.buckets.refillReserve(grant.grants, grant.requestedAt);
          }
        }
      std::erase_if(delayed, [&](auto& grant) { return grant.due <= now; });
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        auto& node = nodes[i];
        const int requestCount = count > 20 ? rng() % 12 == 0 : static_cast<int>(rng() % 3);
        for (int k = 0; k < requestCount; ++k) {
          if (node.buckets.tryAcquire("t", now))
            acceptedAt.push_back(now);
          else if (node.waiting < 20)
            ++node.waiting, node.buckets.requestToken("t");
        }
        if (node.partitionedUntil > now)
          continue;
        const auto name = "n" + std::to_string(i);
        const Duration delay(rng() % 50 == 0 ? 900 : rng() % 12);
        if (const auto tokenRequests = node.buckets.takeTokenRequests(); !tokenRequests.empty())
          delayed.push_back(
              {i, now, now + delay, allocator->allocate(now, name, tokenRequests, {}, configuration.get()), true});
        if ((ms + static_cast<int>(i) * 10) % 400 == 0 || node.buckets.shouldRefill("t", now)) {
          newestRequest[i] = now;
          const auto holdings = node.buckets.reserveHoldings(now);
          delayed.push_back(
              {i, now, now + delay,
               allocator->allocate(now, name, node.buckets.steadyDemand(now), holdings, configuration.get()), false});
        }
      }
      while (!acceptedAt.empty() && now - acceptedAt.front() > 5s)
        acceptedAt.pop_front();
      ASSERT_LE(acceptedAt.size(), (rate * 5 + burst) * 1.1 + 20) << "seed " << seed << " at " << ms << " ms";
    }
  }
}
// Guards against tokens for a tenant whose configuration is gone: once the list is empty, or left out, nobody is owed
// any.
TEST(Quota, NobodyIsGrantedTokensWithoutSubscribers) {
  QuotaAllocator allocator;
  allocator.setBounds({0.1, 20, 5});
  const TimePoint now{100s};
  allocator.startTerm(now);
  const std::vector<QuotaDemand> demand{{"t", 5}};
  const auto withTenant = configurationWithTenant(32, 32);
  EXPECT_EQ(allocator.allocate(now, "n", demand, {}, withTenant.get()).size(), 1U);
  for (const std::string field : {"", R"(,"subscribers":[])", R"(,"subscribers":null)"}) {
    const auto without = *parseConfiguration(R"({"configVersion":2,"routeTable":[],"serviceTable":[])" + field + "}");
    EXPECT_TRUE(allocator.allocate(now + 1s, "n", demand, {}, without.get()).empty()) << field;
  }
}
// Demand below the limit must not be rejected, whether a tenant's requests are spread over few nodes or many. A token
// takes one round trip to the leader, and no token is lost by expiry.
TEST(Quota, DemandBelowTheLimitIsAllowed) {
  for (const std::size_t count : {9U, 70U, 330U}) {
    std::mt19937_64 rng(3);
    auto configuration = configurationWithTenant(32, 32);
    QuotaAllocator allocator;
    allocator.setBounds({0.1, 20, 5});
    TimePoint now{100s};
    allocator.startTerm(now);
    std::vector<QuotaTokenBuckets> nodes(count);
    int requestCount = 0;
    int rejectedCount = 0;
    for (int ms = 0; ms < 40000; ms += 10, now += 10ms) {
      // 20 requests per second, in bursts of three at one node.
      if (ms > 4000 && rng() % 15 == 0) {
        const auto i = static_cast<std::size_t>(rng() % nodes.size());
        auto& node = nodes[i];
        for (int k = 0; k < 3; ++k) {
          ++requestCount;
          bool acquired = node.tryAcquire("t", now);
          if (!acquired) {
            node.requestToken("t");
            node.addImmediateTokens(
                allocator.allocate(now, "n" + std::to_string(i), node.takeTokenRequests(), {}, configuration.get()),
                now);
            acquired = node.retryAcquire("t", now);
          }
          rejectedCount += !acquired;
        }
      }
      if (ms % 400 == 0)
        for (std::size_t i = 0; i < nodes.size(); ++i)
          nodes[i].refillReserve(allocator.allocate(now, "n" + std::to_string(i), nodes[i].steadyDemand(now),
                                                    nodes[i].reserveHoldings(now), configuration.get()),
                                 now);
    }
    EXPECT_GT(requestCount, 500);
    EXPECT_LE(rejectedCount * 1000, requestCount)
        << rejectedCount << " of " << requestCount << " on " << count << " nodes";
  }
}
TEST(Quota, TokensExpire) {
  QuotaTokenBuckets buckets;
  TimePoint now{100s};
  buckets.refillReserve({{"t", 5, 0.1}}, now);
  EXPECT_TRUE(buckets.tryAcquire("t", now + 1s));
  EXPECT_FALSE(buckets.tryAcquire("t", now + QuotaTokenBuckets::kReserveLifetime + 1ms));
  buckets.addImmediateTokens({{"t", 2, 0.1}}, now);
  EXPECT_TRUE(buckets.retryAcquire("t", now + 10ms));
  EXPECT_FALSE(buckets.retryAcquire("t", now + QuotaTokenBuckets::kImmediateTokenLifetime + 1ms));
}
// A node reports only the tenants that send to it steadily, however many other tenants sent a single request.
TEST(Quota, OnlySteadyTenantsAreReported) {
  QuotaTokenBuckets buckets;
  TimePoint now{100s};
  for (int ms = 0; ms < 20000; ms += 10, now += 10ms) {
    if (ms % 100 == 0)
      buckets.tryAcquire("steady", now);
    if (ms % 50 == 0)
      buckets.tryAcquire("rare" + std::to_string(ms / 50 % 200), now);
    if (ms % 400 == 0) {
      const auto demand = buckets.steadyDemand(now);
      EXPECT_LE(demand.size(), 1U);
      if (ms > 4000) {
        ASSERT_EQ(demand.size(), 1U);
      }
      for (auto& entry : demand)
        EXPECT_EQ(entry.tenant, "steady");
    }
  }
  for (int i = 0; i < 200; ++i, now += 400ms)
    (void)buckets.steadyDemand(now);
  EXPECT_EQ(buckets.size(), 0U) << "tenants without requests are removed";
}
TEST(RetryBudget, RetriesStayWithinTheRatio) {
  std::mt19937_64 rng(9);
  RetryBudget budget(0.15, 2500ms);
  budget.setReserve(10, 0.5);
  std::deque<std::pair<int, bool>> window;  // time in units of 10 ms, and whether the attempt was a retry
  TimePoint now{100s};
  for (int t = 0; t < 100000; ++t, now += 10ms) {
    if (rng() % 10 == 0)
      budget.recordRequest("s", now), window.emplace_back(t, false);
    while (rng() % 5 == 0 && budget.tryWithdraw("s", now))
      window.emplace_back(t, true);
    while (!window.empty() && window.front().first < t - 1000)
      window.pop_front();
    double firstAttempts = 0;
    double retries = 0;
    for (auto& [at, isRetry] : window)
      (isRetry ? retries : firstAttempts) += 1;
    ASSERT_LE(retries, 0.2 * firstAttempts + 12) << t;
  }
}
// After a long time without traffic, all requests on all nodes fail at once. The nodes' reserves together must stay
// within the slack of the window.
TEST(RetryBudget, AllNodesTogetherStayWithinTheSlack) {
  std::mt19937_64 rng(4);
  for (int nodes : {3, 6, 9, 20, 70, 330}) {
    const double slack = 50;
    std::vector<RetryBudget> budgets(static_cast<std::size_t>(nodes), RetryBudget(0.15, 2500ms));
    for (auto& budget : budgets)
      budget.setReserve(slack * 0.5 / nodes, static_cast<double>(rng() % 1000) / 1000);
    TimePoint now{100s};
    // Much traffic is followed by little traffic. Tokens earned by the much traffic must not be spent on retries later.
    for (int i = 0; i < 500; ++i, now += 10ms)
      for (auto& budget : budgets)
        budget.recordRequest("s", now);
    now += 20s;
    int firstAttempts = 0;
    int retries = 0;
    for (int i = 0; i < 40; ++i, now += 100ms)
      for (auto& budget : budgets) {
        if (nodes > 20 && rng() % 10)
          continue;
        budget.recordRequest("s", now);
        ++firstAttempts;
        while (budget.tryWithdraw("s", now))
          ++retries;
      }
    EXPECT_LE(retries, 0.2 * firstAttempts + slack) << nodes;
    EXPECT_GT(retries, 0) << nodes;
  }
}
// After steady traffic has stopped, earned tokens must expire: the retry rule compares retries with the first attempts
// of the same window or of the window before.
TEST(RetryBudget, EarnedTokensExpire) {
  RetryBudget budget(0.15, 2500ms);
  budget.setReserve(0.2, 0.9);
  TimePoint now{100s};
  int firstAttempts = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    budget.recordRequest("s", now), ++firstAttempts;
  int retries = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    while (budget.tryWithdraw("s", now))
      ++retries;
  EXPECT_GT(retries, 10);
  EXPECT_LE(retries, 0.15 * firstAttempts * 0.26);
}
TEST(RunnerPool, NodesAgreeOnTheRunnerOfASharedPrefix) {
  std::vector<Runner> runnerList;
  runnerList.reserve(18);
  for (int i = 0; i < 18; ++i)
    runnerList.push_back(runnerIn("r" + std::to_string(i), "z" + std::to_string(i % 3)));
  RunnerPool firstPool(1);
  RunnerPool secondPool(2);
  firstPool.setRunners(runnerList);
  std::reverse(runnerList.begin(), runnerList.end());
  secondPool.setRunners(runnerList);
  std::set<std::string> used;
  for (int part = 1; part < 60; ++part) {
    RunnerQuery query;
    query.service = "s", query.zone = "z0", query.hasPrefixCache = true, query.affinity = hash64(std::to_string(part)),
    query.sharedTokens = 5000;
    const auto chosen = firstPool.at(firstPool.choose(query, TimePoint{100s})).id;
    query.zone = "z2";
    EXPECT_EQ(chosen, secondPool.at(secondPool.choose(query, TimePoint{100s})).id);
    used.insert(chosen);
  }
  EXPECT_GT(used.size(), 12U) << "prefixes spread over the runners";
}
TEST(RunnerPool, ARunnerWithALargePrefillBacklogIsAvoided) {
  RunnerPool pool(1);
  pool.setRunners({runnerIn("r1", "z"), runnerIn("r2", "z")});
  RunnerQuery query;
  query.service = "s", query.zone = "z", query.hasPrefixCache = true, query.affinity = 77, query.sharedTokens = 1000,
  query.promptTokens = 3000;
  const int preferred = pool.choose(query, TimePoint{100s});
  pool.attemptStarted(preferred, 3000);
  EXPECT_EQ(pool.choose(query, TimePoint{100s}), preferred) << "one waiting prompt does not change the choice";
  pool.attemptStarted(preferred, 30000);
  EXPECT_NE(pool.choose(query, TimePoint{100s}), preferred);
  pool.prefillEnded(preferred, 30000);
  EXPECT_EQ(pool.choose(query, TimePoint{100s}), preferred)
      << "the preferred runner is chosen again once the backlog is gone";
}
TEST(RunnerPool, DrainingRunnersAreNeverChosenUnhealthyOnesOnlyAtNeed) {
  RunnerPool pool(1);
  pool.setRunners({runnerIn("r1", "z", RunnerState::draining), runnerIn("r2", "z"), runnerIn("r3", "z")});
  RunnerQuery query;
  query.service = "s", query.zone = "z";
  for (int i = 0; i < 50; ++i)
    EXPECT_NE(pool.at(pool.choose(query, TimePoint{100s})).id, "r1");
  int r2 = 0;
  while (pool.at(r2).id != "r2")
    ++r2;
  pool.recordFailure(r2, TimePoint{100s});
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(pool.at(pool.choose(query, TimePoint{100s})).id, "r3");
  pool.setRunners({runnerIn("r2", "z")});
  EXPECT_EQ(pool.at(pool.choose(query, TimePoint{100s})).id, "r2");
  pool.setRunners({});
  EXPECT_EQ(pool.choose(query, TimePoint{100s}), -1);
}
TEST(RunnerPool, AnotherRegionIsChosenOnlyAtNeed) {
  RunnerPool pool(1);
  pool.setRegions({{"a1", "a"}, {"a2", "a"}, {"b1", "b"}});
  pool.setRunners({runnerIn("r1", "a2"), runnerIn("r2", "b1"), runnerIn("r3", "b1")});
  for (bool engine : {false, true})
    for (int part = 1; part < 30; ++part) {
      RunnerQuery query;
      query.service = "s", query.zone = "a1", query.hasPrefixCache = engine,
      query.affinity = hash64(std::to_string(part)), query.sharedTokens = 2000;
      EXPECT_EQ(pool.at(pool.choose(query, TimePoint{100s})).id, "r1");
    }
  pool.setRunners({runnerIn("r2", "b1")});
  RunnerQuery query;
  query.service = "s", query.zone = "a1", query.hasPrefixCache = true, query.affinity = 5, query.sharedTokens = 2000;
  EXPECT_EQ(pool.at(pool.choose(query, TimePoint{100s})).id, "r2")
      << "a runner in another region is chosen if there is no other";
}
TEST(PromptPrefix, ParsesParts) {
  const auto prefix = parsePromptPrefix("5c1e07a2:800,91bd3f06:410,e4402b7d:250");
  EXPECT_EQ(prefix.totalTokens, 1460);
  EXPECT_EQ(prefix.sharedTokens, 1210);
  EXPECT_EQ(prefix.affinity, parsePromptPrefix("5c1e07a2:800,91bd3f06:410,ffff:9").affinity);
  EXPECT_NE(prefix.affinity, parsePromptPrefix("5c1e07a2:800,e4402b7d:250").affinity);
  EXPECT_EQ(parsePromptPrefix("").affinity, 0U);
  EXPECT_EQ(parsePromptPrefix("aa:5").sharedTokens, 0);
  EXPECT_EQ(parsePromptPrefix("nonsense,,:x").sharedTokens, 0);
}

TEST(AdmissionControl, ShedsLessUrgentRequestsFirstAndNoneWithoutOverload) {
  AdmissionControl admission;
  TimePoint now{100s};
  for (int i = 0; i < 400; ++i, now += 10ms) {
    admission.recordResponse("s", i % 3 == 0, now);
    ASSERT_TRUE(admission.admits("s", 4, 0.0, now)) << "one late response in three is no overload";
  }
  for (int i = 0; i < 400; ++i, now += 10ms)
    admission.recordResponse("s", true, now);
  int urgent = 0;
  int other = 0;
  for (int i = 0; i < 1000; ++i) {
    urgent += admission.admits("s", 0, i / 1000.0, now);
    other += admission.admits("s", 4, i / 1000.0, now);
  }
  EXPECT_LT(urgent, 1000);
  EXPECT_GT(urgent, other);
  EXPECT_GE(other, 250) << "some requests of each precedence are accepted";
  EXPECT_TRUE(admission.admits("another", 4, 0.0, now)) << "each service is evaluated by itself";
  for (int i = 0; i < 2000; ++i, now += 10ms)
    admission.recordResponse("s", false, now);
  EXPECT_DOUBLE_EQ(admission.shedLevel("s"), 0);
}
TEST(AdmissionControl, SheddingEndsWithoutTraffic) {
  AdmissionControl admission;
  TimePoint now{100s};
  for (int i = 0; i < 300; ++i, now += 10ms)
    admission.recordResponse("s", true, now);
  EXPECT_GT(admission.shedLevel("s"), 0);
  for (int i = 0; i < 60; ++i, now += 1s)
    (void)admission.admits("s", 4, 0.5, now);
  EXPECT_DOUBLE_EQ(admission.shedLevel("s"), 0);
}
