/// Tests prefix hints between partner sites: what the updates contain, what they must not reveal, and that a wrong hint
/// may delay a request but never loses its response.
#include "hints/hints.hpp"

#include "balancing/prompt_prefix.hpp"
#include "standins.hpp"
#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
using namespace zinccleat::config;
using namespace zinccleat::hints;
using namespace zinccleat::runtime;
using namespace zinccleat::proxy_testing;
namespace {
constexpr TimePoint kStart{1000s};
constexpr std::int64_t kEpoch = 7;
constexpr std::uint64_t kPrefix = 42;
constexpr std::uint64_t kOtherPrefix = 43;
constexpr std::uint64_t kTenantHere = 9;

/// Creates a key whose secret repeats one hex digit.
HintKey keyOf(char digit = 'a') {
  return *HintKey::parse(std::string(64, digit));
}
HintTable makeTable(std::uint64_t seed) {
  return HintTable(keyOf(), HintBounds{}, seed);
}
/// Records that tenants 1 to `tenants` send a prompt with this prefix to a site.
void sendPrefix(HintTable& site, std::uint64_t prefix, std::uint64_t tenants = HintBounds{}.minTenants) {
  for (std::uint64_t tenant = 1; tenant <= tenants; ++tenant)
    EXPECT_FALSE(site.cachedOnlyAtPartner(kStart, kEpoch, prefix, tenant));
}
/// Sends updates in both directions between two sites, `times` times each.
void exchange(HintTable& one, HintTable& other, TimePoint now, std::int64_t epoch, int times = 2) {
  for (int i = 0; i < times; ++i) {
    (void)other.applyUpdate(now, epoch, one.nextUpdate(now, epoch));
    (void)one.applyUpdate(now, epoch, other.nextUpdate(now, epoch));
  }
}
bool announces(const HintUpdate& update, std::int64_t digest) {
  return std::find(update.added.begin(), update.added.end(), digest) != update.added.end();
}
std::vector<std::int64_t> commonDigests(const HintUpdate& one, const HintUpdate& other) {
  std::vector<std::int64_t> common;
  std::set_intersection(one.added.begin(), one.added.end(), other.added.begin(), other.added.end(),
                        std::back_inserter(common));
  return common;
}
}  // namespace

TEST(HintTable, FindsAPrefixThatSeveralTenantsSentAtThePartner) {
  auto here = makeTable(1);
  auto partner = makeTable(2);
  sendPrefix(partner, kPrefix);

  exchange(here, partner, kStart, kEpoch);

  EXPECT_TRUE(here.cachedOnlyAtPartner(kStart, kEpoch, kPrefix, kTenantHere));
  EXPECT_FALSE(here.cachedOnlyAtPartner(kStart, kEpoch, kOtherPrefix, kTenantHere))
      << "the partner has not announced this prefix";
  EXPECT_FALSE(partner.cachedOnlyAtPartner(kStart, kEpoch, kPrefix, kTenantHere))
      << "the partner does not forward a prefix that it has cached";
}
TEST(HintTable, NeverAnnouncesThePrefixOfASingleTenant) {
  auto here = makeTable(1);
  auto partner = makeTable(2);
  for (int i = 0; i < 100; ++i)
    sendPrefix(partner, kPrefix, 1);

  EXPECT_FALSE(announces(partner.nextUpdate(kStart, kEpoch), keyOf().digest(kPrefix, kEpoch)));
  exchange(here, partner, kStart, kEpoch);
  EXPECT_FALSE(here.cachedOnlyAtPartner(kStart, kEpoch, kPrefix, kTenantHere));
}
// An observer sees lists of the same length for no prefix, for prefixes of a single tenant and for 40 announced
// prefixes, and no digest appears again under the next key.
TEST(HintTable, ListsRevealNeitherHowManyPrefixesNorTheSameOnesUnderTheNextKey) {
  auto empty = makeTable(1);
  auto ofOneTenant = makeTable(2);
  auto ofForty = makeTable(3);
  for (std::uint64_t prefix = 0; prefix < 50; ++prefix)
    sendPrefix(ofOneTenant, prefix, 1);
  for (std::uint64_t prefix = 0; prefix < 40; ++prefix)
    sendPrefix(ofForty, prefix, 3);

  EXPECT_EQ(empty.nextUpdate(kStart, kEpoch).added.size(), 64U);
  EXPECT_EQ(ofOneTenant.nextUpdate(kStart, kEpoch).added.size(), 64U);
  const auto first = ofForty.nextUpdate(kStart, kEpoch);
  const auto second = ofForty.nextUpdate(kStart + 1s, kEpoch + 1);
  EXPECT_EQ(first.added.size(), 64U);
  ASSERT_EQ(second.added.size(), 64U) << "a new key causes a full list";

  EXPECT_TRUE(commonDigests(first, second).empty());
}
TEST(HintTable, GuessedPrefixesCannotBeTestedWithoutTheSecret) {
  auto table = makeTable(3);
  for (std::uint64_t prefix = 0; prefix < 40; ++prefix)
    sendPrefix(table, prefix, 3);

  const auto update = table.nextUpdate(kStart, kEpoch);

  for (std::uint64_t prefix = 0; prefix < 40; ++prefix) {
    EXPECT_TRUE(announces(update, keyOf().digest(prefix, kEpoch))) << "with the secret";
    EXPECT_FALSE(announces(update, keyOf('b').digest(prefix, kEpoch))) << "with another secret";
  }
}
TEST(HintTable, SendsChangesAndRecoversFromALostUpdateByAFullList) {
  auto here = makeTable(1);
  auto partner = makeTable(2);
  for (std::uint64_t prefix = 0; prefix < 60; ++prefix)
    sendPrefix(partner, prefix);
  exchange(here, partner, kStart, kEpoch, 3);

  sendPrefix(partner, 100);
  const auto lost = partner.nextUpdate(kStart, kEpoch);
  EXPECT_NE(lost.baseVersion, 0);
  EXPECT_LE(lost.added.size() + lost.removed.size(), 4U);

  sendPrefix(partner, 101);
  exchange(here, partner, kStart, kEpoch, 3);
  EXPECT_TRUE(here.cachedOnlyAtPartner(kStart, kEpoch, 100, kTenantHere));
  EXPECT_TRUE(here.cachedOnlyAtPartner(kStart, kEpoch, 101, kTenantHere));
}
TEST(HintTable, HintsExpire) {
  auto partner = makeTable(2);
  sendPrefix(partner, kPrefix);

  auto withSilentPartner = makeTable(1);
  exchange(withSilentPartner, partner, kStart, kEpoch);
  EXPECT_FALSE(withSilentPartner.cachedOnlyAtPartner(kStart + 11s, kEpoch, kPrefix, kTenantHere))
      << "the partner has sent no update for longer than `partnerTimeout`";

  const auto later = kStart + HintBounds{}.lifetime + 2s;
  auto afterLifetime = makeTable(3);
  exchange(afterLifetime, partner, later, kEpoch);
  EXPECT_FALSE(afterLifetime.cachedOnlyAtPartner(later, kEpoch, kPrefix, kTenantHere))
      << "no tenant has sent the prefix within its lifetime";

  auto afterTwoKeys = makeTable(4);
  exchange(afterTwoKeys, partner, later, kEpoch);
  EXPECT_FALSE(afterTwoKeys.cachedOnlyAtPartner(later, kEpoch + 2, kPrefix, kTenantHere))
      << "hints are not used two key periods later";
}
TEST(HintTable, RejectsOversizedAndOutdatedUpdatesWithoutEffect) {
  auto here = makeTable(1);
  auto partner = makeTable(2);
  sendPrefix(partner, kPrefix);
  exchange(here, partner, kStart, kEpoch);
  HintUpdate oversized;
  oversized.epoch = kEpoch;
  for (int i = 0; i < 10000; ++i)
    oversized.added.push_back(i);
  HintUpdate outdated;
  outdated.epoch = kEpoch - 4;

  EXPECT_FALSE(here.applyUpdate(kStart, kEpoch, oversized));
  EXPECT_FALSE(here.applyUpdate(kStart, kEpoch, outdated));

  EXPECT_EQ(here.rejectedCount(), 2U);
  EXPECT_TRUE(here.cachedOnlyAtPartner(kStart, kEpoch, kPrefix, kTenantHere)) << "earlier hints are kept";
}
TEST(HintTable, AnnouncesABoundedNumberOfPrefixes) {
  auto table = makeTable(1);
  for (std::uint64_t prefix = 0; prefix < 70000; ++prefix)
    sendPrefix(table, prefix << 8);

  const auto announced = table.nextUpdate(kStart, kEpoch).added.size();
  EXPECT_LE(announced, 2048U + 64U);
  EXPECT_GE(announced, 2048U) << "as many prefixes are announced as allowed";
}
TEST(HintKey, VerifiesOnlyCodesOfTheSameSecretAndText) {
  EXPECT_TRUE(keyOf().verify("text", keyOf().sign("text")));
  EXPECT_FALSE(keyOf().verify("text2", keyOf().sign("text")));
  EXPECT_FALSE(keyOf().verify("text", keyOf('b').sign("text")));
  EXPECT_FALSE(keyOf().verify("text", ""));
}
TEST(HintKey, RejectsWhatIsNot32BytesInHex) {
  EXPECT_FALSE(HintKey::parse("short"));
  EXPECT_FALSE(HintKey::parse(std::string(64, 'z')));
}
TEST(PartnerCircuitBreaker, AllowsAQuarterAndFewAfterFailures) {
  PartnerCircuitBreaker circuitBreaker;
  TimePoint now = kStart;
  int allowed = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    allowed += circuitBreaker.allowRequest(now);
  EXPECT_LE(allowed, 255);
  EXPECT_GT(allowed, 200);

  int allowedWhileFailing = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    if (circuitBreaker.allowRequest(now)) {
      ++allowedWhileFailing;
      circuitBreaker.recordFailure(now);
    }
  EXPECT_LE(allowedWhileFailing, 5);
}

namespace {
constexpr int kStreamEvents = 5;
std::string allEvents() {
  std::string events;
  for (int i = 0; i < kStreamEvents; ++i)
    events += event(i);
  return events;
}
std::string streamRequest(const std::string& attempt, const std::string& prefixHeader, const std::string& more = {}) {
  return requestText("/recap/x", attempt, more + "X-Prompt-Prefix: " + prefixHeader + "\r\n");
}

/// A site with one runner. Before the runner streams a response, it needs `prefillTime` for a prompt prefix that it has
/// not cached.
struct Site {
  std::shared_ptr<TestProxy> proxy;
  HintTable hints;
  std::set<std::string> cached;  // header fields of the prefixes that the runner has cached
  int streams = 0;
  int pushes = 0;
  int markedRequests = 0;  // requests that reached the runner with X-Partner-Site, which proxies must remove
  Duration prefillTime{25};

  Site(std::shared_ptr<TestProxy> ownProxy, std::uint64_t seed) : proxy(std::move(ownProxy)), hints(makeTable(seed)) {
    proxy->context.configuration = *parseConfiguration(R"({"configVersion":7,"routeTable":[
      {"label":"recap","authority":"h.example","pathPrefix":"/recap/","routeType":"stream","streamResume":true,"sessionAffinity":true,"expiryMs":20000,"targetLatencyMs":500,"targetService":"s","maxAttempts":2},
      {"label":"push","authority":"h.example","pathPrefix":"/push/","routeType":"unsafe","expiryMs":20000,"targetLatencyMs":150,"targetService":"s"}],
      "serviceTable":[{"label":"s","engine":{"capacity":8,"kvCapacity":100000,"stride":1}}],"subscribers":[{"label":"tina","accessKeys":["key1"]}]})");
    proxy->fillRetryReserve(10, 40);
    proxy->runner("i-0", [this](FakeRunner&, Connection& connection, const std::string& attempt,
                                const std::string& request) { respond(connection, attempt, request); });
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(proxy->listener->local_endpoint().port()); }

 private:
  void respond(Connection& connection, const std::string& attempt, const std::string& request) {
    if (request.find("/push/") != std::string::npos) {
      ++pushes;
      return sendBytes(connection, completeResponse(attempt, "pushed " + attempt));
    }
    ++streams;
    markedRequests += request.find("X-Partner-Site") != std::string::npos;
    const auto start = request.find("X-Prompt-Prefix: ");
    const auto prefix = request.substr(start, request.find(',', start) - start);
    if (cached.insert(prefix).second)
      EventLoop::get().sleepFor(prefillTime);
    sendBytes(connection, streamHeader(attempt));
    sendBytes(connection, chunk(allEvents()) + "0\r\n\r\n");
  }
};

/// Two partner sites. The test sends all requests to `here`.
struct TwoSites {
  std::shared_ptr<Site> here = std::make_shared<Site>(std::make_shared<TestProxy>(), 1);
  std::shared_ptr<Site> partner = std::make_shared<Site>(std::make_shared<TestProxy>(), 2);
  std::string partnerAddress = partner->address();

  TwoSites() {
    static std::vector<std::shared_ptr<Site>> sites;  // static, because fibers may use the sites after the test
    sites.push_back(here);
    sites.push_back(partner);
  }
  void forwardEverythingToPartner() {
    here->proxy->context.lookupPartner = [this](std::uint64_t, const std::string&) { return partnerAddress; };
  }
  void forwardByHints() {
    here->proxy->context.lookupPartner = [this](std::uint64_t prefix, const std::string&) {
      const bool forward = here->hints.cachedOnlyAtPartner(kStart, kEpoch, prefix, 99);
      return forward ? partnerAddress : std::string{};
    };
  }
  void forwardNothing() { here->proxy->context.lookupPartner = nullptr; }
  std::string pushResponse(const std::string& attempt) {
    return sendRequest(*here->proxy, requestText("/push/x", attempt)).body;
  }

  struct Outcome {
    double meanMs = 0;
    int completeStreams = 0;
    int completePushes = 0;
  };
  /// Sends one stream and one push for each of `count` prefixes that the partner has cached and announced.
  /// @param name prefix of the names of prompt prefixes and attempts.
  Outcome run(int count, const std::string& name) {
    const auto prefixOf = [&](int i) { return name + std::to_string(i) + ":5000"; };
    for (int i = 0; i < count; ++i) {
      partner->cached.insert("X-Prompt-Prefix: " + prefixOf(i));
      sendPrefix(partner->hints, parsePromptPrefix(prefixOf(i) + ",x:100").affinity);
    }
    exchange(here->hints, partner->hints, kStart, kEpoch, 3);
    Outcome outcome;
    for (int i = 0; i < count; ++i) {
      const auto number = std::to_string(i);
      const auto started = Clock::now();
      const auto stream = sendRequest(
          *here->proxy,
          streamRequest(name + "a" + number, prefixOf(i) + ",own" + number + ":100\r\nX-Token-Count: 5100,50"));
      outcome.meanMs += std::chrono::duration<double, std::milli>(Clock::now() - started).count() / count;
      outcome.completeStreams += stream.status == 200 && stream.bodyComplete && stream.body == allEvents();
      const auto push = name + "p" + number;
      outcome.completePushes += pushResponse(push) == "pushed " + push;
    }
    return outcome;
  }
};
/// Checks the number of forwarded requests after 24 streams with long prompts that could be forwarded.
void expectAQuarterForwarded(const TwoSites& sites) {
  EXPECT_GE(sites.partner->streams, 6);
  EXPECT_LE(sites.partner->streams, 9) << "a quarter of the requests, and two at the beginning";
  EXPECT_EQ(sites.partner->pushes, 0) << "pushes are never forwarded";
  EXPECT_EQ(sites.partner->markedRequests + sites.here->markedRequests, 0);
}
void compareWithAndWithoutHints() {
  TwoSites sites;
  sites.here->prefillTime = sites.partner->prefillTime = 60ms;  // long compared to the delays of a busy machine

  sites.forwardNothing();
  const auto without = sites.run(24, "a");
  EXPECT_EQ(sites.partner->streams, 0);
  sites.forwardByHints();
  const auto with = sites.run(24, "b");

  EXPECT_EQ(without.completeStreams, 24);
  EXPECT_EQ(with.completeStreams, 24);
  EXPECT_EQ(with.completePushes, 24);
  EXPECT_EQ(sites.here->streams + sites.partner->streams, 48) << "each stream runs once";
  expectAQuarterForwarded(sites);
  EXPECT_LT(with.meanMs, without.meanMs * 0.9) << with.meanMs << " and " << without.meanMs;
  std::printf("first events, mean: %.1f ms without hints, %.1f ms with (fake runners)\n", without.meanMs, with.meanMs);
}
}  // namespace

TEST(PartnerSites, LongPromptsStartSoonerWhereTheirPrefixIsCached) {
  withProxy([](TestProxy&) { compareWithAndWithoutHints(); });
}
TEST(PartnerSites, WrongHintsCostOneOrdinaryPrefillEach) {
  withProxy([](TestProxy&) {
    TwoSites sites;
    sites.forwardByHints();
    const auto withHints = sites.run(16, "l");
    sites.partner->cached.clear();  // the prefixes are evicted, so the hints are wrong from now on
    sites.forwardNothing();
    const auto withoutHints = sites.run(4, "m");
    EXPECT_EQ(withHints.completeStreams, 16);
    EXPECT_EQ(withHints.completePushes + withoutHints.completePushes, 20);

    sites.forwardEverythingToPartner();
    int complete = 0;
    for (int i = 0; i < 8; ++i) {
      const auto attempt = "n" + std::to_string(i);
      complete +=
          sendRequest(*sites.here->proxy, streamRequest(attempt, attempt + ":5000,o:1\r\nX-Token-Count: 5001,5"))
              .bodyComplete;
    }
    EXPECT_EQ(complete, 8);
  });
}
TEST(PartnerSites, RequestsOfAPartnerAreNotForwarded) {
  withProxy([](TestProxy&) {
    TwoSites sites;
    sites.forwardEverythingToPartner();

    const auto response = sendRequest(
        *sites.here->proxy, streamRequest("z1", "z:5000,o:1\r\nX-Token-Count: 5001,5", "X-Partner-Site: 1\r\n"));

    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(sites.partner->streams, 0);
    EXPECT_EQ(sites.here->streams, 1);
  });
}

namespace {
enum class PartnerFault { unreachable, slow, withoutLease, cutsItsStreams };
struct PartnerFaultCase {
  const char* name;
  PartnerFault fault;
};
void injectFault(TwoSites& sites, PartnerFault fault) {
  switch (fault) {
    case PartnerFault::unreachable:
      sites.partnerAddress = "127.0.0.1:1";
      return;
    case PartnerFault::slow:
      sites.partner->prefillTime = 3000ms;
      return;
    case PartnerFault::withoutLease:
      sites.partner->proxy->context.leaseExpiresAt = Clock::now() - 1s;
      return;
    case PartnerFault::cutsItsStreams:
      sites.partner->proxy->runners[0]->handler = [](FakeRunner&, Connection& connection, const std::string& attempt,
                                                     const std::string&) {
        sendBytes(connection, streamHeader(attempt) + chunk(event(0) + event(1)));
        connection.close();
      };
  }
}
int eventsIn(const std::string& body) {
  int events = 0;
  for (std::size_t at = 0; (at = body.find("id: ", at)) != std::string::npos; ++at)
    ++events;
  return events;
}
/// Checks that a response is complete.
/// @param mayBeResumed whether the response may start with two events from the partner before the stream was resumed.
void expectComplete(const ClientResponse& response, bool mayBeResumed) {
  EXPECT_EQ(response.status, 200);
  EXPECT_TRUE(response.bodyComplete);
  const auto events = eventsIn(response.body);
  const bool resumed = mayBeResumed && events != kStreamEvents;
  EXPECT_EQ(events, resumed ? 2 + kStreamEvents : kStreamEvents);
}
void sendRequestsBesideFault(PartnerFault fault) {
  TwoSites sites;
  injectFault(sites, fault);
  sites.forwardEverythingToPartner();
  for (int i = 0; i < 10; ++i) {
    const auto number = std::to_string(i);
    const auto started = Clock::now();
    const auto response = sendRequest(*sites.here->proxy,
                                      streamRequest("k" + number, "k" + number + ":5000,o:1\r\nX-Token-Count: 5001,5"));
    // An interrupted stream is resumed after the received events, but the fake runner sends all its events again.
    expectComplete(response, fault == PartnerFault::cutsItsStreams && i < 4);
    EXPECT_LT(Clock::now() - started, 500ms + 400ms);
    EXPECT_EQ(sites.pushResponse("q" + number), "pushed q" + number);
  }
  EXPECT_EQ(sites.partner->pushes, 0);
  EXPECT_LE(sites.here->proxy->context.forwardedToPartner, 4U) << "few requests are forwarded to a faulty partner";
}
}  // namespace

class FaultyPartner : public testing::TestWithParam<PartnerFaultCase> {};
TEST_P(FaultyPartner, CostsADelayAndNoResponse) {
  withProxy([](TestProxy&) { sendRequestsBesideFault(GetParam().fault); });
}
INSTANTIATE_TEST_SUITE_P(PartnerSites, FaultyPartner,
                         testing::Values(PartnerFaultCase{"Unreachable", PartnerFault::unreachable},
                                         PartnerFaultCase{"Slow", PartnerFault::slow},
                                         PartnerFaultCase{"WithoutLease", PartnerFault::withoutLease},
                                         PartnerFaultCase{"CutsItsStreams", PartnerFault::cutsItsStreams}),
                         [](const auto& test) { return std::string(test.param.name); });
