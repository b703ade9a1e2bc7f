/// A zone is drained while requests are in progress. Live streams and pushes must complete while the zone's runners and
/// proxies are taken out of service.
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;

namespace {
constexpr int kEventsPerStream = 40;
constexpr auto kEventInterval = 8ms;
constexpr auto kPushDuration = 2ms;
constexpr auto kRequestInterval = 5ms;
constexpr int kRequestsPerStep = 12;
constexpr int kRunnersPerZone = 2;
constexpr int kMaxPushMs = 300;

// A step of a zone drain, as `Zones.Drain` distributes it.
struct DrainStep {
  int percent = 0;            // percent of new requests that are routed to other zones
  bool notAccepting = false;  // whether the zone's proxies refuse new clients
};
// Announcement, 25 %, 50 % and 100 % of new requests routed elsewhere, then no new clients.
constexpr DrainStep kDrainSteps[] = {{0, false}, {25, false}, {50, false}, {100, false}, {100, true}, {100, true}};

// Counters of the fake runners.
struct RunnerStatistics {
  std::map<std::string, int> pushRuns;  // number of runs of each push, by attempt id
  int startedInDrainedZone = 0;         // requests started in the zone after all new requests were routed elsewhere
  bool allNewRequestsDiverted = false;
};
// Counters of the clients.
struct ClientStatistics {
  int open = 0;
  int pushes = 0, pushesServed = 0;
  int streams = 0, streamsServed = 0;
  int maxPushMs = 0;
};

std::string headerOf(const std::string& request, const std::string& name) {
  const auto line = request.find("\n" + name + ": ");
  if (line == std::string::npos)
    return {};
  const auto begin = line + name.size() + 3;
  return request.substr(begin, request.find('\n', begin) - begin);
}
std::string completeStream() {
  std::string text;
  for (int number = 1; number <= kEventsPerStream; ++number)
    text += event(number);
  return text;
}
void drainZoneA(TestProxy& proxy, const DrainStep& step) {
  proxy.context.runners.setZoneDrains({{"za", {step.percent, step.notAccepting}}});
  proxy.context.zoneDraining = step.notAccepting && proxy.context.zone == "za";
}

/// Two zones, each with a proxy and two runners.
class TwoZones {
 public:
  explicit TwoZones(TestProxy& proxyA) : proxyA_(proxyA) {
    // The proxy is kept because fibers may still refer to it after the test has ended.
    static std::vector<std::shared_ptr<TestProxy>> keptAlive;
    keptAlive.push_back(proxyB_);
    proxyA_.context.zone = "za";
    proxyB_->context.zone = "zb";
    startRunners();
    for (auto* proxy : {&proxyA_, proxyB_.get()}) {
      proxy->fillRetryReserve(10, 40);
      proxy->context.runners.setRunners(runners_);
    }
  }
  void apply(const DrainStep& step) {
    drainZoneA(proxyA_, step);
    drainZoneA(*proxyB_, step);
    proxyANotAccepting_ = step.notAccepting;
    if (step.percent == 100)
      runnerStatistics_.allNewRequestsDiverted = true;
  }
  void startPush() {
    startRequest([this, number = clientStatistics_.pushes++] { push(number); });
  }
  void startStream() {
    startRequest([this, number = clientStatistics_.streams++] { stream(number); });
  }
  void awaitClients() const {
    while (clientStatistics_.open > 0)
      EventLoop::get().sleepFor(10ms);
  }
  const ClientStatistics& clients() const { return clientStatistics_; }
  const RunnerStatistics& runners() const { return runnerStatistics_; }
  std::uint64_t migratedStreams() const { return proxyA_.context.migratedStreams + proxyB_->context.migratedStreams; }
  int inFlightInZoneA() {
    return proxyA_.context.runners.inFlightInZones({"za"}) + proxyB_->context.runners.inFlightInZones({"za"});
  }

 private:
  void startRunners() {
    for (int i = 0; i < 2 * kRunnersPerZone; ++i) {
      const std::string zone = i < kRunnersPerZone ? "za" : "zb";
      auto runner = std::make_shared<FakeRunner>();
      runner->id = zone + std::to_string(i);
      runner->handler = [this, zone](FakeRunner&, Connection& connection, const std::string& attempt,
                                     const std::string& request) { serve(zone, connection, attempt, request); };
      startFakeRunner(runner);
      proxyA_.runners.push_back(runner);
      runners_.push_back(Runner{runner->id, "s", runner->address(), zone, 64, 1, 0});
    }
  }
  void serve(const std::string& zone, Connection& connection, const std::string& attempt, const std::string& request) {
    if (runnerStatistics_.allNewRequestsDiverted && zone == "za")
      ++runnerStatistics_.startedInDrainedZone;
    if (request.find("/once/") != std::string::npos)
      servePush(connection, attempt);
    else
      serveStream(zone, connection, attempt, headerOf(request, "Last-Event-Id"));
  }
  void servePush(Connection& connection, const std::string& attempt) {
    ++runnerStatistics_.pushRuns[attempt];
    EventLoop::get().sleepFor(kPushDuration);
    sendBytes(connection, completeResponse(attempt, "pushed " + attempt));
  }
  static void serveStream(const std::string& zone, Connection& connection, const std::string& attempt,
                          const std::string& lastEventId) {
    sendBytes(connection, streamHeader(attempt, "seal " + zone));
    const int first = lastEventId.empty() ? 1 : std::stoi(lastEventId) + 1;
    for (int number = first; number <= kEventsPerStream && connection.socket().is_open(); ++number) {
      sendBytes(connection, chunk(event(number)));
      EventLoop::get().sleepFor(kEventInterval);
    }
    sendBytes(connection, "0\r\n\r\n");
  }
  template <class Request>
  void startRequest(Request request) {
    ++clientStatistics_.open;
    EventLoop::get().spawn([this, request] {
      request();
      --clientStatistics_.open;
    });
  }
  // If zone A accepts no new clients, the platform sends them to zone B.
  TestProxy& proxyFor(int number) { return proxyANotAccepting_ || number % 2 ? *proxyB_ : proxyA_; }
  ClientResponse request(const std::string& path, const std::string& attempt, int number) {
    return sendRequest(proxyFor(number), requestText(path, attempt, "X-Deadline-Ms: 20000\r\n"));
  }
  void push(int number) {
    const auto attempt = "p" + std::to_string(number);
    const auto begin = Clock::now();
    const auto answer = request("/once/x", attempt, number);
    clientStatistics_.pushesServed += answer.status == 200 && answer.bodyComplete && answer.body == "pushed " + attempt;
    clientStatistics_.maxPushMs =
        std::max(clientStatistics_.maxPushMs, static_cast<int>(toDuration(Clock::now() - begin).count()));
  }
  void stream(int number) {
    const auto answer = request("/resume/x", "s" + std::to_string(number), number);
    clientStatistics_.streamsServed += answer.status == 200 && answer.bodyComplete && answer.body == completeStream();
  }

  TestProxy& proxyA_;
  std::shared_ptr<TestProxy> proxyB_ = std::make_shared<TestProxy>();
  std::vector<Runner> runners_;
  RunnerStatistics runnerStatistics_;
  ClientStatistics clientStatistics_;
  bool proxyANotAccepting_ = false;
};
void sendRequests(TwoZones& zones) {
  for (int number = 0; number < kRequestsPerStep; ++number) {
    zones.startPush();
    if (number % 2 == 0)
      zones.startStream();
    EventLoop::get().sleepFor(kRequestInterval);
  }
}
}  // namespace

TEST(ZoneDrainTraffic, EveryPushAndStreamCompletesOnceWhileAZoneDrains) {
  withProxy([](TestProxy& proxy) {
    // The zones are kept because the runners' fibers refer to them until the event loop ends.
    static std::vector<std::unique_ptr<TwoZones>> keptAlive;
    auto& zones = *keptAlive.emplace_back(std::make_unique<TwoZones>(proxy));

    for (const auto& step : kDrainSteps) {
      zones.apply(step);
      sendRequests(zones);
    }
    zones.awaitClients();

    const auto& clients = zones.clients();
    const auto& runners = zones.runners();
    EXPECT_EQ(clients.pushesServed, clients.pushes) << "every push was answered";
    EXPECT_EQ(static_cast<int>(runners.pushRuns.size()), clients.pushes);
    for (const auto& [attempt, runs] : runners.pushRuns)
      EXPECT_EQ(runs, 1) << attempt << " ran " << runs << " times";
    EXPECT_LT(clients.maxPushMs, kMaxPushMs) << "pushes are answered in time";
    EXPECT_EQ(clients.streamsServed, clients.streams) << "every stream complete, no event lost or repeated";
    EXPECT_EQ(runners.startedInDrainedZone, 0)
        << "no request starts in the zone after all new requests were routed elsewhere";
    EXPECT_GT(zones.migratedStreams(), 0U) << "live streams were migrated";
    EXPECT_EQ(zones.inFlightInZoneA(), 0) << "no attempt is in flight in the drained zone";
  });
}
TEST(ZoneDrainTraffic, ADrainedZoneServesIfItIsTheOnlyOne) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& attempt, const std::string&) {
      sendBytes(connection, completeResponse(attempt, "ok"));
    });
    proxy.context.runners.setZoneDrains({{"z", {100, true}}});
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x")).status, 200);
  });
}
