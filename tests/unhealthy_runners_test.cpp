/// @file
/// Tests with runners that fail although they report healthy: from a response to the choice of a runner, with stand-in
/// runners on loopback.
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
// Reports this proxy's attempts to the leader's detector under two proxy names, because reports of one proxy alone
// eject no runner.
void reportToLeader(TestProxy& testProxy, OutlierDetector& detector, const std::vector<Runner>& runners,
                    TimePoint now) {
  const auto seen = testProxy.context.observer.takeReport(24);
  detector.report(now, "node-a", seen);
  detector.report(now, "node-b", seen);
  detector.evaluate(now, runners);
  testProxy.context.runners.setEjected(detector.ejections());
}
std::vector<Runner> runnersOf(const TestProxy& testProxy) {
  std::vector<Runner> runners;
  for (auto& runner : testProxy.runners)
    runners.push_back(Runner{runner->id, runner->service, runner->address(), "z", 4, 1, 0});
  return runners;
}
int requestsAt(const FakeRunner& runner) {
  return static_cast<int>(runner.receivedRequests.size());
}
bool probed(const FakeRunner& runner) {
  return std::any_of(runner.receivedRequests.begin(), runner.receivedRequests.end(),
                     [](auto& request) { return request.find("/health") != std::string::npos; });
}
}  // namespace

TEST(UnhealthyRunners, ARunnerThatFailsSomeRequestsIsEjectedWithoutHealthChecks) {
  withProxy([](TestProxy& testProxy) {
    int requestCount = 0;
    auto unhealthy = testProxy.runner("i-0", [&requestCount](FakeRunner& runner, Connection& connection,
                                                             const std::string& id, const std::string& text) {
      if (++requestCount % 2)
        sendBytes(connection, completeResponse(id, "failed", 500));
      else
        respondOk(runner, connection, id, text);
    });
    for (int i = 1; i < 5; ++i)
      testProxy.runner("i-" + std::to_string(i), respondOk);
    OutlierDetector detector;
    const auto allRunners = runnersOf(testProxy);
    TimePoint now = Clock::now();
    detector.evaluate(now, allRunners);
    int served = 0;
    for (int i = 0; i < 120; ++i) {
      testProxy.context.runners.recordSuccess(0);  // as on a proxy that has sent the runner no request yet
      const auto response = sendRequest(testProxy, requestText("/open/" + std::to_string(i), "a" + std::to_string(i)));
      served += response.status == 200;
      if (i % 10 == 9)
        reportToLeader(testProxy, detector, allRunners, now += 100ms);
    }
    const auto before = requestsAt(*unhealthy);
    EXPECT_GT(before, 4);
    ASSERT_FALSE(detector.ejections().empty());
    EXPECT_EQ(detector.ejections()[0].runner, "i-0");
    EXPECT_EQ(detector.ejections().size(), 1U);
    for (int i = 0; i < 40; ++i)
      EXPECT_EQ(sendRequest(testProxy, requestText("/open/x", "b" + std::to_string(i))).status, 200);
    EXPECT_EQ(requestsAt(*unhealthy), before) << "an ejected runner gets no requests";
    for (auto& runner : testProxy.runners)
      EXPECT_FALSE(probed(*runner)) << "ejection does not depend on health checks, so none is sent";
  });
}
TEST(UnhealthyRunners, ARunnerThatHangsIsReportedWhileItIsAwaited) {
  withProxy([](TestProxy& testProxy) {
    auto hangs = testProxy.runner("i-0", respondOk);
    auto well = testProxy.runner("i-1", respondOk);
    for (int i = 0; i < 30; ++i)
      EXPECT_EQ(sendRequest(testProxy, requestText("/open/x", "a" + std::to_string(i))).status, 200);
    (void)testProxy.context.observer.takeReport(24);
    for (auto& runner : {hangs, well})
      runner->handler = [](FakeRunner&, Connection&, const std::string&, const std::string&) {
        EventLoop::get().sleepFor(300ms);
      };
    auto connection = testProxy.connectClient();
    sendBytes(*connection, requestText("/open/x", "waits"));
    for (int i = 0; i < 200 && testProxy.context.pendingAttempts.empty(); ++i)
      EventLoop::get().sleepFor(1ms);
    ASSERT_EQ(testProxy.context.pendingAttempts.size(), 1U);
    testProxy.context.recordSlowAttempts(Clock::now());
    EXPECT_TRUE(testProxy.context.observer.takeReport(24).empty()) << "a pending attempt is not reported immediately";
    testProxy.context.recordSlowAttempts(Clock::now() + 2s);
    testProxy.context.recordSlowAttempts(Clock::now() + 4s);
    const auto report = testProxy.context.observer.takeReport(24);
    ASSERT_EQ(report.size(), 1U);
    EXPECT_EQ(report[0].failed, RunnerObserver::kSlowWeight) << "each slow request is counted once";
  });
}
TEST(UnhealthyRunners, AFlappingRunnerCostsNoResponse) {
  withProxy([](TestProxy& testProxy) {
    auto flaps = testProxy.runner("i-0", respondOk);
    testProxy.runner("i-1", respondOk);
    const auto allRunners = runnersOf(testProxy);
    for (int i = 0; i < 60; ++i) {
      if (i == 10)
        flaps->acceptor->close();  // the runner is down: connections are refused
      testProxy.context.connections.closeAll("i-0");
      testProxy.context.runners.recordSuccess(0);
      EXPECT_EQ(sendRequest(testProxy, requestText(i % 2 ? "/open/x" : "/once/x", "a" + std::to_string(i))).status, 200)
          << i;
    }
    const auto report = testProxy.context.observer.takeReport(24);
    const auto attempts = std::find_if(report.begin(), report.end(), [](auto& entry) { return entry.runner == "i-0"; });
    ASSERT_NE(attempts, report.end());
    EXPECT_GT(attempts->failed, 3);
  });
}
// A new runner gets requests according to its load instead of all new requests.
TEST(UnhealthyRunners, ANewRunnerIsNotOverloaded) {
  withProxy([](TestProxy& testProxy) {
    for (int i = 0; i < 4; ++i)
      testProxy.runner("i-" + std::to_string(i), respondOk);
    std::map<std::string, int> requestsByRunner;
    std::vector<int> busy;
    for (int i = 0; i < 8; ++i) {
      RunnerQuery query;
      query.service = "s", query.zone = "z";
      const int chosen = testProxy.context.runners.choose(query, Clock::now());
      testProxy.context.runners.attemptStarted(chosen, 0);
    }
    testProxy.runner("i-new", respondOk);
    for (int i = 0; i < 12; ++i) {
      RunnerQuery query;
      query.service = "s", query.zone = "z";
      const int chosen = testProxy.context.runners.choose(query, Clock::now());
      testProxy.context.runners.attemptStarted(chosen, 0);
      ++requestsByRunner[testProxy.context.runners.at(chosen).id];
    }
    EXPECT_GE(requestsByRunner["i-new"], 2);
    EXPECT_LE(requestsByRunner["i-new"], 5);
  });
}
// A runner may drop an idle connection without closing it, and the next request on the connection is reset. A request
// that must not be repeated must not use such a connection; an idempotent request is retried.
TEST(UnhealthyRunners, AStaleConnectionCostsNoUnrepeatableRequest) {
  withProxy([](TestProxy& testProxy) {
    testProxy.runner("i-0", respondOk);
    EXPECT_EQ(sendRequest(testProxy, requestText("/once/x", "a1")).status, 200);
    const auto now = Clock::now();
    EXPECT_EQ(testProxy.context.connections.acquire("i-0", now + 3s, false), nullptr)
        << "the connection was idle too long, so a new one is required";
    auto kept = testProxy.context.connections.acquire("i-0", now, false);
    ASSERT_NE(kept, nullptr) << "the connection was used recently";
    testProxy.context.connections.release("i-0", std::move(kept), now + 20s, now);
    testProxy.context.connections.recordStaleConnection();
    EXPECT_EQ(testProxy.context.connections.acquire("i-0", now + 1s, false), nullptr)
        << "the idle limit is shorter after a stale connection was found";
    EXPECT_NE(testProxy.context.connections.acquire("i-0", now + 3s, true), nullptr);
  });
}
TEST(UnhealthyRunners, AResetOnAReusedConnectionIsNoRunnerFailure) {
  withProxy([](TestProxy& testProxy) {
    int requestCount = 0;
    auto handler = [&requestCount](FakeRunner& runner, Connection& connection, const std::string& id,
                                   const std::string& text) {
      if (++requestCount == 2) {
        const linger abortiveClose{1, 0};
        ::setsockopt(connection.socket().native_handle(), SOL_SOCKET, SO_LINGER, &abortiveClose, sizeof abortiveClose);
        return connection.close();  // resets the connection, as if the runner had dropped it
      }
      respondOk(runner, connection, id, text);
    };
    auto runner = testProxy.runner("i-0", handler);
    EXPECT_EQ(sendRequest(testProxy, requestText("/open/x", "a1")).status, 200);
    (void)sendRequest(testProxy, requestText("/open/x", "a2"));
    for (auto& attempts : testProxy.context.observer.takeReport(24))
      EXPECT_EQ(attempts.failed, 0) << attempts.runner;
    EXPECT_EQ(testProxy.context.runners.at(0).consecutiveFailures, 0);
  });
}
// One tenant sends many times its usual rate. That tenant is limited, and the other tenants are served as before.
TEST(UnhealthyRunners, OneTenantsFloodTakesOnlyItsOwnTokens) {
  std::mt19937_64 rng(8);
  auto configuration = *parseConfiguration(R"({"configVersion":1,"routeTable":[],"serviceTable":[],"subscribers":[
    {"label":"flood","accessKeys":["a"],"ratePerS":20,"burstSize":20},{"label":"other","accessKeys":["b"],"ratePerS":20,"burstSize":20}]})");
  QuotaAllocator allocator;
  allocator.setBounds({0.1, 20, 5});
  TimePoint now{100s};
  allocator.startTerm(now);
  std::vector<QuotaTokenBuckets> nodes(70);
  std::map<std::string, int> served;
  std::map<std::string, int> sent;
  for (int ms = 0; ms < 30000; ms += 5, now += 5ms)
    for (int request = 0; request < 2; ++request) {
      const std::string tenant = rng() % 12 == 0 && request == 0 ? "other" : "flood";
      if (tenant == "flood" && rng() % 4)
        continue;
      const auto i = rng() % nodes.size();
      auto& buckets = nodes[i];
      ++sent[tenant];
      bool acquired = buckets.tryAcquire(tenant, now);
      if (!acquired) {
        buckets.requestToken(tenant);
        buckets.addImmediateTokens(allocator.allocate(now, {}, buckets.takeTokenRequests(), {}, configuration.get()),
                                   now);
        acquired = buckets.retryAcquire(tenant, now);
      }
      served[tenant] += acquired;
    }
  EXPECT_GT(sent["flood"], 2 * served["flood"]);
  EXPECT_GE(served["other"] * 1000, sent["other"] * 995) << sent["other"];
}
