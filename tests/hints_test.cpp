// Hints between partner sites: what they tell, what they hide, and that a wrong one costs a moment and never an answer.
#include "hints/hints.hpp"

#include "standins.hpp"
#include "transport/avro.hpp"

using namespace zinccleat;
using namespace zinccleat::balancing;
using namespace zinccleat::config;
using namespace zinccleat::hints;
using namespace zinccleat::runtime;
using namespace zinccleat::standin;
namespace {
const std::string kSecret(64, 'a');
HintKey key(char c = 'a') {
  return *HintKey::from(std::string(64, c));
}
HintTable desk(std::uint64_t seed = 1, char c = 'a') {
  return HintTable(key(c), HintBounds{}, seed);
}
constexpr TimePoint kStart{1000s};
// Both sites tell each other, as often as asked.
void exchange(HintTable& a, HintTable& b, TimePoint now, std::int64_t epoch, int times = 2) {
  for (int i = 0; i < times; ++i) {
    (void)b.heard(now, epoch, a.news(now, epoch));
    (void)a.heard(now, epoch, b.news(now, epoch));
  }
}
}  // namespace

TEST(Hints, AnOpeningThatSeveralTenantsSentIsFoundAtThePartner) {
  auto a = desk(1);
  auto b = desk(2);
  EXPECT_FALSE(b.elsewhere(kStart, 7, 42, 1));
  EXPECT_FALSE(b.elsewhere(kStart, 7, 42, 2));
  exchange(a, b, kStart, 7);
  EXPECT_TRUE(a.elsewhere(kStart, 7, 42, 9));
  EXPECT_FALSE(a.elsewhere(kStart, 7, 43, 9)) << "another opening";
  EXPECT_FALSE(b.elsewhere(kStart, 7, 42, 9)) << "held there itself";
}
TEST(Hints, WhatOneTenantSentIsNeverToldHoweverOften) {
  auto a = desk(1);
  auto b = desk(2);
  for (int i = 0; i < 100; ++i)
    (void)b.elsewhere(kStart, 7, 42, 1);
  const auto n = b.news(kStart, 7);
  EXPECT_EQ(std::count(n.added.begin(), n.added.end(), key().digest(42, 7)), 0);
  exchange(a, b, kStart, 7);
  EXPECT_FALSE(a.elsewhere(kStart, 7, 42, 9));
}
// An observer of the lists: as long for nothing, one tenant's or forty openings; nothing alike from key to key.
TEST(Hints, ListsShowNeitherHowManyNorTheSameTwice) {
  auto none = desk(1);
  auto one = desk(2);
  auto many = desk(3);
  for (int i = 0; i < 50; ++i)
    (void)one.elsewhere(kStart, 7, static_cast<std::uint64_t>(i), 1);
  for (int i = 0; i < 40; ++i)
    for (std::uint64_t t = 1; t < 4; ++t)
      (void)many.elsewhere(kStart, 7, static_cast<std::uint64_t>(i), t);
  EXPECT_EQ(none.news(kStart, 7).added.size(), 64U);
  EXPECT_EQ(one.news(kStart, 7).added.size(), 64U);
  const auto first = many.news(kStart, 7);
  const auto second = many.news(kStart + 1s, 8);
  EXPECT_EQ(first.added.size(), 64U);
  ASSERT_EQ(second.added.size(), 64U) << "whole under the new key";
  std::vector<std::int64_t> both;
  std::set_intersection(first.added.begin(), first.added.end(), second.added.begin(), second.added.end(),
                        std::back_inserter(both));
  EXPECT_TRUE(both.empty());
  // Without the secret nobody can test a guess.
  for (int i = 0; i < 40; ++i)
    EXPECT_EQ(std::count(first.added.begin(), first.added.end(), key('b').digest(static_cast<std::uint64_t>(i), 7)), 0);
}
TEST(Hints, OnlyChangesAreToldAndALossHealsByTheWhole) {
  auto a = desk(1);
  auto b = desk(2);
  for (std::uint64_t o = 0; o < 60; ++o)
    (void)b.elsewhere(kStart, 7, o, 1), (void)b.elsewhere(kStart, 7, o, 2);
  exchange(a, b, kStart, 7, 3);
  (void)b.elsewhere(kStart, 7, 100, 1), (void)b.elsewhere(kStart, 7, 100, 2);
  const auto change = b.news(kStart, 7);
  EXPECT_NE(change.base, 0);
  EXPECT_LE(change.added.size() + change.gone.size(), 4U);
  // Lost on its way; the next one does not fit, and what follows is whole again.
  (void)b.elsewhere(kStart, 7, 101, 1), (void)b.elsewhere(kStart, 7, 101, 2);
  exchange(a, b, kStart, 7, 3);
  EXPECT_TRUE(a.elsewhere(kStart, 7, 100, 9));
  EXPECT_TRUE(a.elsewhere(kStart, 7, 101, 9));
}
TEST(Hints, TheyAgeOut) {
  auto a = desk(1);
  auto b = desk(2);
  (void)b.elsewhere(kStart, 7, 42, 1), (void)b.elsewhere(kStart, 7, 42, 2);
  exchange(a, b, kStart, 7);
  EXPECT_FALSE(a.elsewhere(kStart + 11s, 7, 42, 9)) << "a partner that is silent";
  auto c = desk(3);
  const auto later = kStart + HintBounds{}.lives + 2s;
  exchange(c, b, later, 7);
  EXPECT_FALSE(c.elsewhere(later, 7, 42, 9)) << "an opening nobody sends any more";
  auto d = desk(4);
  exchange(d, b, later, 7);
  EXPECT_FALSE(d.elsewhere(later, 9, 42, 9)) << "a key two times old";
}
TEST(Hints, TooMuchIsDeclinedAndNothingChanges) {
  auto a = desk(1);
  auto b = desk(2);
  (void)b.elsewhere(kStart, 7, 42, 1), (void)b.elsewhere(kStart, 7, 42, 2);
  exchange(a, b, kStart, 7);
  HintUpdate flood;
  flood.epoch = 7;
  for (int i = 0; i < 10000; ++i)
    flood.added.push_back(i);
  EXPECT_FALSE(a.heard(kStart, 7, flood));
  HintUpdate old;
  old.epoch = 3;
  EXPECT_FALSE(a.heard(kStart, 7, old));
  EXPECT_EQ(a.errorResponse(), 2U);
  EXPECT_TRUE(a.elsewhere(kStart, 7, 42, 9)) << "what was known stands";
  for (std::uint64_t o = 0; o < 70000; ++o)
    (void)a.elsewhere(kStart, 7, o << 8, 1);
  EXPECT_LE(a.news(kStart, 7).added.size(), 2048U + 64U);
}
TEST(Hints, TheSealIsTheSecretsOwn) {
  EXPECT_TRUE(key().fits("text", key().seal("text")));
  EXPECT_FALSE(key().fits("text2", key().seal("text")));
  EXPECT_FALSE(key().fits("text", key('b').seal("text")));
  EXPECT_FALSE(key().fits("text", ""));
  EXPECT_FALSE(HintKey::from("short"));
  EXPECT_FALSE(HintKey::from(std::string(64, 'z')));
}
TEST(Hints, ThePartnerGetsFewAndFewerWhileItDisappoints) {
  PartnerTrust t;
  int went = 0;
  TimePoint now = kStart;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    went += t.allows(now);
  EXPECT_LE(went, 255);
  EXPECT_GT(went, 200);
  went = 0;
  for (int i = 0; i < 1000; ++i, now += 10ms)
    if (t.allows(now))
      ++went, t.recordFailure(now);
  EXPECT_LE(went, 5);
}

namespace {
// A runner as both sites have them: a shared opening that it has not read takes time before the first event.
struct Site {
  std::shared_ptr<TestProxy> h;
  HintTable hints;
  std::set<std::string> held;
  int streams = 0, pushes = 0, fromPartner = 0;
  Duration reading{25};
  explicit Site(std::shared_ptr<TestProxy> x, std::uint64_t seed) : h(std::move(x)), hints(desk(seed)) {
    h->context.configuration = *parseConfiguration(R"({"configVersion":7,"routeTable":[
      {"label":"recap","authority":"h.example","pathPrefix":"/recap/","routeType":"stream","streamResume":true,"sessionAffinity":true,"expiryMs":20000,"targetLatencyMs":500,"targetService":"s","maxAttempts":2},
      {"label":"push","authority":"h.example","pathPrefix":"/push/","routeType":"unsafe","expiryMs":20000,"targetLatencyMs":150,"targetService":"s"}],
      "serviceTable":[{"label":"s","engine":{"capacity":8,"kvCapacity":100000,"stride":1}}],"subscribers":[{"label":"tina","accessKeys":["key1"]}]})");
    h->saveUp(10, 40);
    h->runner("i-0", [this](StandIn&, Connection& w, const std::string& id, const std::string& text) {
      if (text.find("/push/") != std::string::npos) {
        ++pushes;
        return say(w, whole(id, "pushed " + id));
      }
      ++streams;
      fromPartner += text.find("X-Partner-Site") != std::string::npos;  // it must not reach a runner
      const auto at = text.find("X-Prompt-Prefix: ");
      const auto opening = text.substr(at, text.find(',', at) - at);
      if (held.insert(opening).second)
        EventLoop::get().sleepFor(reading);
      say(w, streamHead(id));
      std::string all;
      for (int e = 0; e < 5; ++e)
        all += event(e);
      say(w, chunk(all) + "0\r\n\r\n");
    });
  }
  std::string door() const { return "127.0.0.1:" + std::to_string(h->door->local_endpoint().port()); }
};
struct Two {
  std::shared_ptr<Site> here, there;
  std::string partnerDoor;
  explicit Two(TestProxy&) {
    here = std::make_shared<Site>(std::make_shared<TestProxy>(), 1);
    there = std::make_shared<Site>(std::make_shared<TestProxy>(), 2);
    partnerDoor = there->door();
    static std::vector<std::shared_ptr<Site>> kept;  // their fibers may still refer to them
    kept.push_back(here), kept.push_back(there);
  }
  // A busy hour in small: openings that the partner's tenants have sent already, one request each.
  struct Played {
    double meanMs = 0, worstMs = 0;
    int whole = 0, pushes = 0;
  };
  Played play(bool hints, int count, const std::string& mark) {
    auto name = [&](int i) { return mark + std::to_string(i) + ":5000"; };
    for (int i = 0; i < count; ++i) {
      there->held.insert("X-Prompt-Prefix: " + name(i));
      const auto opening = promptOf(name(i) + ",x:100").affinity;
      for (std::uint64_t t = 1; t < 3; ++t)
        (void)there->hints.elsewhere(kStart, 7, opening, t);
    }
    exchange(here->hints, there->hints, kStart, 7, 3);
    if (hints)
      here->h->context.lookupPartner = [this](std::uint64_t opening, const std::string&) {
        return here->hints.elsewhere(kStart, 7, opening, 99) ? partnerDoor : std::string{};
      };
    else
      here->h->context.lookupPartner = nullptr;
    Played p;
    for (int i = 0; i < count; ++i) {
      const auto began = Clock::now();
      const auto a = once(*here->h, ask("/recap/x", mark + "a" + std::to_string(i),
                                        "X-Prompt-Prefix: " + name(i) + ",own" + std::to_string(i) +
                                            ":100\r\nX-Token-Count: 5100,50\r\n"));
      const double ms = std::chrono::duration<double, std::milli>(Clock::now() - began).count();
      std::string all;
      for (int e = 0; e < 5; ++e)
        all += event(e);
      p.whole += a.status == 200 && a.wholeBody && a.body == all;
      p.meanMs += ms / count;
      p.worstMs = std::max(p.worstMs, ms);
      p.pushes += once(*here->h, ask("/push/x", mark + "p" + std::to_string(i))).body ==
                  "pushed " + mark + "p" + std::to_string(i);
    }
    return p;
  }
};
}  // namespace

TEST(PartnerSites, LongOpeningsBeginSoonerWhereTheyAreHeld) {
  withProxy([](TestProxy& h) {
    Two two(h);
    // Long beside what a busy machine adds to a request.
    two.here->reading = two.there->reading = 60ms;
    const auto without = two.play(false, 24, "a");
    EXPECT_EQ(two.there->streams, 0);
    const auto with = two.play(true, 24, "b");
    EXPECT_EQ(without.whole, 24);
    EXPECT_EQ(with.whole, 24);
    EXPECT_EQ(with.pushes, 24);
    EXPECT_GE(two.there->streams, 6);
    EXPECT_LE(two.there->streams, 9) << "one in four, and two to begin with";
    EXPECT_EQ(two.there->pushes, 0) << "pushes never go";
    EXPECT_EQ(two.there->fromPartner + two.here->fromPartner, 0);
    EXPECT_EQ(two.here->streams + two.there->streams, 48) << "each once";
    EXPECT_LT(with.meanMs, without.meanMs * 0.9) << with.meanMs << " and " << without.meanMs;
    std::printf("first events, mean: %.1f ms without hints, %.1f ms with (stand-ins)\n", without.meanMs, with.meanMs);
  });
}
TEST(PartnerSites, OneThatLiesCostsOneOrdinaryReading) {
  withProxy([](TestProxy& h) {
    Two two(h);
    two.here->h->context.partner = {};
    const auto p = two.play(true, 16, "l");
    two.there->held.clear();  // all that it told of is gone
    const auto q = two.play(false, 4, "m");
    EXPECT_EQ(p.whole, 16);
    EXPECT_EQ(p.pushes + q.pushes, 20);
    two.here->h->context.lookupPartner = [&](std::uint64_t, const std::string&) { return two.partnerDoor; };
    int whole = 0;
    for (int i = 0; i < 8; ++i)
      whole +=
          once(*two.here->h, ask("/recap/x", "n" + std::to_string(i),
                                 "X-Prompt-Prefix: n" + std::to_string(i) + ":5000,o:1\r\nX-Token-Count: 5001,5\r\n"))
              .wholeBody;
    EXPECT_EQ(whole, 8);
  });
}
TEST(PartnerSites, OneThatIsCutOffSlowOrRefusesCostsAMomentAndNoAnswer) {
  for (const int how : {0, 1, 2, 3})
    withProxy([how](TestProxy& h) {
      Two two(h);
      if (how == 0)
        two.partnerDoor = "127.0.0.1:1";  // nobody there
      if (how == 1)
        two.there->reading = 3000ms;  // holds nothing, and reads slowly
      if (how == 2)
        two.there->h->context.leaseEnds = Clock::now() - 1s;  // refuses
      if (how == 3)
        two.there->h->runners[0]->act = [](StandIn&, Connection& w, const std::string& id, const std::string&) {
          say(w, streamHead(id) + chunk(event(0) + event(1)));  // begins, and is cut
          w.close();
        };
      const auto p = [&] {
        auto r = two.play(true, 0, "s");
        two.here->h->context.lookupPartner = [&](std::uint64_t, const std::string&) { return two.partnerDoor; };
        return r;
      }();
      (void)p;
      for (int i = 0; i < 10; ++i) {
        const auto began = Clock::now();
        const auto a = once(*two.here->h,
                            ask("/recap/x", "k" + std::to_string(i),
                                "X-Prompt-Prefix: k" + std::to_string(i) + ":5000,o:1\r\nX-Token-Count: 5001,5\r\n"));
        EXPECT_EQ(a.status, 200) << how;
        EXPECT_TRUE(a.wholeBody) << how;
        int events = 0;
        for (std::size_t at = 0; (at = a.body.find("id: ", at)) != std::string::npos; ++at)
          ++events;
        // A cut one goes on behind what had come; this stand-in says all of it again.
        EXPECT_EQ(events, how == 3 && i < 4 && events != 5 ? 7 : 5) << how;
        EXPECT_LT(Clock::now() - began, 500ms + 400ms) << how;
        EXPECT_EQ(once(*two.here->h, ask("/push/x", "q" + std::to_string(i))).body, "pushed q" + std::to_string(i));
      }
      EXPECT_EQ(two.there->pushes, 0);
      EXPECT_LE(two.here->h->context.toPartner, 4U) << "it is left alone after that";
    });
}
TEST(PartnerSites, WhatCameFromAPartnerGoesNoFurther) {
  withProxy([](TestProxy& h) {
    Two two(h);
    two.here->h->context.lookupPartner = [&](std::uint64_t, const std::string&) { return two.partnerDoor; };
    const auto a =
        once(*two.here->h,
             ask("/recap/x", "z1", "X-Partner-Site: 1\r\nX-Prompt-Prefix: z:5000,o:1\r\nX-Token-Count: 5001,5\r\n"));
    EXPECT_EQ(a.status, 200);
    EXPECT_EQ(two.there->streams, 0);
    EXPECT_EQ(two.here->streams, 1);
  });
}
