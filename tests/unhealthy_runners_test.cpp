// Runners that are unhealthy but report healthy: from a response to the choice of a runner, with stand-ins on loopback.
#include <sys/socket.h>

#include "outlier_detector.hpp"
#include "quota_allocator.hpp"
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
using namespace zinccleat::config;
using namespace zinccleat::controller;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;
namespace {
// Reports this node's counts to the leader's detector, as if another node had counted the same.
void reportToLeader(TestProxy& h, OutlierDetector& detector, const std::vector<Runner>& runners, TimePoint now) {
  const auto seen = h.context.observer.takeReport(24);
  detector.report(now, "node-a", seen);
  detector.report(now, "node-b", seen);
  detector.evaluate(now, runners);
  h.context.runners.setEjected(detector.ejections());
}
std::vector<Runner> known(const TestProxy& h) {
  std::vector<Runner> v;
  for (auto& r : h.runners)
    v.push_back(Runner{r->id, r->service, r->address(), "z", 4, 1, 0});
  return v;
}
int requestsAt(const FakeRunner& r) {
  return static_cast<int>(r.receivedRequests.size());
}
bool probed(const FakeRunner& r) {
  return std::any_of(r.receivedRequests.begin(), r.receivedRequests.end(),
                     [](auto& g) { return g.find("/health") != std::string::npos; });
}
}  // namespace

TEST(UnhealthyRunners, ARunnerThatFailsSomeRequestsIsEjectedWithoutHealthChecks) {
  withProxy([](TestProxy& h) {
    int n = 0;
    auto unhealthy =
        h.runner("i-0", [&n](FakeRunner& r, Connection& w, const std::string& id, const std::string& text) {
          if (++n % 2)
            sendBytes(w, completeResponse(id, "failed", 500));
          else
            respondOk(r, w, id, text);
        });
    for (int i = 1; i < 5; ++i)
      h.runner("i-" + std::to_string(i), respondOk);
    OutlierDetector detector;
    const auto rs = known(h);
    TimePoint now = Clock::now();
    detector.evaluate(now, rs);
    int served = 0;
    for (int i = 0; i < 120; ++i) {
      h.context.runners.recordSuccess(0);  // as at nodes that have not sent to it yet
      const auto a = sendRequest(h, requestText("/open/" + std::to_string(i), "a" + std::to_string(i)));
      served += a.status == 200;
      if (i % 10 == 9)
        reportToLeader(h, detector, rs, now += 100ms);
    }
    const auto before = requestsAt(*unhealthy);
    EXPECT_GT(before, 4);
    ASSERT_FALSE(detector.ejections().empty());
    EXPECT_EQ(detector.ejections()[0].runner, "i-0");
    EXPECT_EQ(detector.ejections().size(), 1U);
    for (int i = 0; i < 40; ++i)
      EXPECT_EQ(sendRequest(h, requestText("/open/x", "b" + std::to_string(i))).status, 200);
    EXPECT_EQ(requestsAt(*unhealthy), before) << "an ejected runner gets no requests";
    for (auto& r : h.runners)
      EXPECT_FALSE(probed(*r)) << "health checks are not relied on, so none is sent";
  });
}
TEST(UnhealthyRunners, ARunnerThatHangsIsReportedWhileItIsAwaited) {
  withProxy([](TestProxy& h) {
    auto hangs = h.runner("i-0", respondOk);
    auto well = h.runner("i-1", respondOk);
    for (int i = 0; i < 30; ++i)
      EXPECT_EQ(sendRequest(h, requestText("/open/x", "a" + std::to_string(i))).status, 200);
    (void)h.context.observer.takeReport(24);
    for (auto& r : {hangs, well})
      r->handler = [](FakeRunner&, Connection&, const std::string&, const std::string&) {
        EventLoop::get().sleepFor(300ms);
      };
    auto w = h.connectClient();
    sendBytes(*w, requestText("/open/x", "waits"));
    for (int i = 0; i < 200 && h.context.pendingAttempts.empty(); ++i)
      EventLoop::get().sleepFor(1ms);
    ASSERT_EQ(h.context.pendingAttempts.size(), 1U);
    h.context.recordSlowAttempts(Clock::now());
    EXPECT_TRUE(h.context.observer.takeReport(24).empty()) << "not at once";
    h.context.recordSlowAttempts(Clock::now() + 2s);
    h.context.recordSlowAttempts(Clock::now() + 4s);
    const auto report = h.context.observer.takeReport(24);
    ASSERT_EQ(report.size(), 1U);
    EXPECT_EQ(report[0].failed, RunnerObserver::kSlowWeight) << "counted once a request";
  });
}
TEST(UnhealthyRunners, AFlappingRunnerCostsNoResponse) {
  withProxy([](TestProxy& h) {
    auto flaps = h.runner("i-0", respondOk);
    h.runner("i-1", respondOk);
    const auto rs = known(h);
    for (int i = 0; i < 60; ++i) {
      if (i == 10)
        flaps->acceptor->close();  // down: connections are refused
      h.context.connections.closeAll("i-0");
      h.context.runners.recordSuccess(0);
      EXPECT_EQ(sendRequest(h, requestText(i % 2 ? "/open/x" : "/once/x", "a" + std::to_string(i))).status, 200) << i;
    }
    const auto report = h.context.observer.takeReport(24);
    const auto it = std::find_if(report.begin(), report.end(), [](auto& g) { return g.runner == "i-0"; });
    ASSERT_NE(it, report.end());
    EXPECT_GT(it->failed, 3);
  });
}
// A new runner gets requests by its load, not all of them.
TEST(UnhealthyRunners, ANewRunnerIsNotOverloaded) {
  withProxy([](TestProxy& h) {
    for (int i = 0; i < 4; ++i)
      h.runner("i-" + std::to_string(i), respondOk);
    std::map<std::string, int> by;
    std::vector<int> busy;
    for (int i = 0; i < 8; ++i) {
      RunnerQuery w;
      w.service = "s", w.zone = "z";
      const int d = h.context.runners.choose(w, Clock::now());
      h.context.runners.attemptStarted(d, 0);
    }
    h.runner("i-new", respondOk);
    for (int i = 0; i < 12; ++i) {
      RunnerQuery w;
      w.service = "s", w.zone = "z";
      const int d = h.context.runners.choose(w, Clock::now());
      h.context.runners.attemptStarted(d, 0);
      ++by[h.context.runners.at(d).id];
    }
    EXPECT_GE(by["i-new"], 2);
    EXPECT_LE(by["i-new"], 5);
  });
}
// A runner drops an idle connection without closing it: the next request on it is reset. A request that may not be
// repeated must not meet that; an idempotent one is retried.
TEST(UnhealthyRunners, AStaleConnectionCostsNoUnrepeatableRequest) {
  withProxy([](TestProxy& h) {
    h.runner("i-0", respondOk);
    EXPECT_EQ(sendRequest(h, requestText("/once/x", "a1")).status, 200);
    const auto now = Clock::now();
    EXPECT_EQ(h.context.connections.acquire("i-0", now + 3s, false), nullptr)
        << "idle for long: only a new connection will do";
    auto kept = h.context.connections.acquire("i-0", now, false);
    ASSERT_NE(kept, nullptr) << "used a moment ago";
    h.context.connections.release("i-0", std::move(kept), now + 20s, now);
    h.context.connections.recordStaleConnection();
    EXPECT_EQ(h.context.connections.acquire("i-0", now + 1s, false), nullptr) << "sooner once one was found stale";
    EXPECT_NE(h.context.connections.acquire("i-0", now + 3s, true), nullptr);
  });
}
TEST(UnhealthyRunners, AResetOnAReusedConnectionIsNoRunnerFailure) {
  withProxy([](TestProxy& h) {
    int n = 0;
    auto handler = [&n](FakeRunner& r, Connection& w, const std::string& id, const std::string& text) {
      if (++n == 2) {
        const linger now{1, 0};
        ::setsockopt(w.socket().native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
        return w.close();  // as a connection that the far end has dropped
      }
      respondOk(r, w, id, text);
    };
    auto r = h.runner("i-0", handler);
    EXPECT_EQ(sendRequest(h, requestText("/open/x", "a1")).status, 200);
    (void)sendRequest(h, requestText("/open/x", "a2"));
    for (auto& g : h.context.observer.takeReport(24))
      EXPECT_EQ(g.failed, 0) << g.runner;
    EXPECT_EQ(h.context.runners.at(0).consecutiveFailures, 0);
  });
}
// One tenant sends many times its usual rate: it is limited, and the others are served as before.
TEST(UnhealthyRunners, OneTenantsFloodTakesOnlyItsOwnTokens) {
  std::mt19937_64 rng(8);
  auto cfg = *parseConfiguration(R"({"configVersion":1,"routeTable":[],"serviceTable":[],"subscribers":[
    {"label":"flood","accessKeys":["a"],"ratePerS":20,"burstSize":20},{"label":"other","accessKeys":["b"],"ratePerS":20,"burstSize":20}]})");
  QuotaAllocator allocator;
  allocator.setBounds({0.1, 20, 5});
  TimePoint now{100s};
  allocator.startTerm(now);
  std::vector<QuotaTokenBuckets> nodes(70);
  std::map<std::string, int> got;
  std::map<std::string, int> sent;
  for (int ms = 0; ms < 30000; ms += 5, now += 5ms)
    for (int k = 0; k < 2; ++k) {
      const std::string who = rng() % 12 == 0 && k == 0 ? "other" : "flood";
      if (who == "flood" && rng() % 4)
        continue;
      const auto i = rng() % nodes.size();
      auto& n = nodes[i];
      ++sent[who];
      bool ok = n.tryAcquire(who, now);
      if (!ok) {
        n.requestToken(who);
        n.addImmediateTokens(allocator.allocate(now, {}, n.takeTokenRequests(), {}, cfg.get()), now);
        ok = n.retryAcquire(who, now);
      }
      got[who] += ok;
    }
  EXPECT_GT(sent["flood"], 2 * got["flood"]);
  EXPECT_GE(got["other"] * 1000, sent["other"] * 995) << sent["other"];
}
