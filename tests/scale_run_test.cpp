// A zone is closed in the middle of a match: live streams and pushes go on while its runners and doors are given up.
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::standin;

namespace {
constexpr int kEvents = 40;
struct Match {
  std::map<std::string, int> pushRuns, streamStarts;  // by attempt id
  int atClosedAfter = 0;
  bool closed = false;
};
std::string headOf(const std::string& request, const std::string& name) {
  const auto at = request.find("\n" + name + ": ");
  if (at == std::string::npos)
    return {};
  const auto from = at + name.size() + 3;
  return request.substr(from, request.find('\n', from) - from);
}
void closeZone(TestProxy& h, int share, bool doors) {
  h.context.runners.setZoneDrains({{"za", {share, doors}}});
  h.context.zoneDraining = doors && h.context.zone == "za";
}
}  // namespace

TEST(ScaleRun, AZoneClosesMidMatchAndEveryPushAndStreamArrivesOnce) {
  withProxy([](TestProxy& a) {
    auto b = std::make_shared<TestProxy>();
    a.context.zone = "za";
    b->context.zone = "zb";
    for (auto* h : {&a, b.get()})
      h->saveUp(10, 40);
    Match match;
    auto act = [&match](const std::string& zone) {
      return [&match, zone](StandIn&, Connection& w, const std::string& id, const std::string& text) {
        if (match.closed && zone == "za")
          ++match.atClosedAfter;
        if (text.find("/once/") != std::string::npos) {
          ++match.pushRuns[id];
          EventLoop::get().sleepFor(2ms);
          return say(w, completeResponse(id, "pushed " + id));
        }
        ++match.streamStarts[id];
        const auto last = headOf(text, "Last-Event-Id");
        say(w, streamHead(id, "seal " + zone));
        for (int e = last.empty() ? 1 : std::stoi(last) + 1; e <= kEvents && w.socket().is_open(); ++e) {
          say(w, chunk(event(e)));
          EventLoop::get().sleepFor(8ms);
        }
        say(w, "0\r\n\r\n");
      };
    };
    std::vector<Runner> all;
    for (int i = 0; i < 4; ++i) {
      auto r = std::make_shared<StandIn>();
      const std::string zone = i < 2 ? "za" : "zb";
      r->id = zone + std::to_string(i);
      r->act = act(zone);
      runStandIn(r);
      a.runners.push_back(r);
      all.push_back(Runner{r->id, "s", r->address(), zone, 64, 1, 0});
    }
    for (auto* h : {&a, b.get()})
      h->context.runners.setRunners(all);

    int open = 0;
    int pushes = 0;
    int streams = 0;
    int pushesFine = 0;
    int streamsFine = 0;
    int latestMs = 0;
    std::string wanted;
    for (int e = 1; e <= kEvents; ++e)
      wanted += event(e);
    bool doors = false;
    auto consume = [&](bool push, int n) {
      ++open;
      EventLoop::get().spawn([&, push, n] {
        // The platform gives new clients of a zone whose doors are shut to the other.
        auto& h = doors || n % 2 ? *b : a;
        const auto id = (push ? "p" : "s") + std::to_string(n);
        const auto began = Clock::now();
        const auto r = once(h, ask(push ? "/once/x" : "/resume/x", id, "X-Deadline-Ms: 20000\r\n"));
        if (push) {
          pushesFine += r.status == 200 && r.bodyComplete && r.body == "pushed " + id;
          latestMs = std::max(latestMs, static_cast<int>(toDuration(Clock::now() - began).count()));
        } else {
          streamsFine += r.status == 200 && r.bodyComplete && r.body == wanted;
        }
        --open;
      });
    };
    // Announced, a quarter, half, all new work, doors shut: with the match going on throughout.
    const std::vector<std::pair<int, bool>> steps = {{0, false},   {25, false}, {50, false},
                                                     {100, false}, {100, true}, {100, true}};
    for (auto [share, shut] : steps) {
      closeZone(a, share, shut);
      closeZone(*b, share, shut);
      doors = shut;
      if (share == 100)
        match.closed = true;
      for (int k = 0; k < 12; ++k) {
        consume(true, pushes++);
        if (k % 2 == 0)
          consume(false, streams++);
        EventLoop::get().sleepFor(5ms);
      }
    }
    while (open > 0)
      EventLoop::get().sleepFor(10ms);
    EXPECT_EQ(pushesFine, pushes) << "every push arrived";
    EXPECT_EQ(static_cast<int>(match.pushRuns.size()), pushes);
    for (auto& [id, n] : match.pushRuns)
      EXPECT_EQ(n, 1) << id << " ran " << n << " times";
    EXPECT_LT(latestMs, 300) << "and on time";
    EXPECT_EQ(streamsFine, streams) << "every stream whole, nothing missing, nothing twice";
    EXPECT_EQ(match.atClosedAfter, 0) << "no new work at the place's runners once all keeps away";
    EXPECT_GT(a.context.migratedStreams + b->context.migratedStreams, 0U) << "live sessions were carried over";
    EXPECT_EQ(a.context.runners.inFlightInZones({"za"}) + b->context.runners.inFlightInZones({"za"}), 0)
        << "nothing is left there";
    static std::vector<std::shared_ptr<TestProxy>> kept;
    kept.push_back(b);
  });
}
TEST(ScaleRun, WhenOnlyTheClosingPlaceIsLeftItServes) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, completeResponse(id, "ok"));
    });
    h.context.runners.setZoneDrains({{"z", {100, true}}});
    EXPECT_EQ(once(h, ask("/once/x")).status, 200);
  });
}
