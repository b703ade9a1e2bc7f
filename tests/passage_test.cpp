// One request through the proxy, against stand-ins for consumer and runner on loopback.
#include <gtest/gtest.h>

#include "events.hpp"
#include "passage/passage.hpp"

using namespace zc;
namespace {
// A runner that does what a test tells it, one wire at a time.
struct StandIn {
  std::string id, service = "s";
  std::shared_ptr<tcp::acceptor> acc;
  std::vector<std::string> got;  // requests as they came, whole
  std::function<void(StandIn&, Wire&, const std::string&, const std::string&)> act;  // wire, attempt id, request
  int wires = 0;
  std::string address() const { return "127.0.0.1:" + std::to_string(acc->local_endpoint().port()); }
};
void say(Wire& w, const std::string& s) {
  Ec ec;
  w.write(asio::buffer(s), ec);
}
std::string whole(const std::string& attempt, const std::string& body, int status = 200, const std::string& more = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-1\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
std::string chunk(const std::string& s) {
  char b[20];
  std::snprintf(b, sizeof b, "%zx\r\n", s.size());
  return b + s + "\r\n";
}
std::string streamHead(const std::string& attempt, const std::string& seal = "seal-1") {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: " + seal +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}
std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n"; }

void runStandIn(const std::shared_ptr<StandIn>& r) {
  r->acc = std::make_shared<tcp::acceptor>(Quay::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  auto go = std::make_shared<std::function<void()>>();
  *go = [r, go] {
    r->acc->async_accept([r, go](Ec ec, tcp::socket s) {
      if (ec) return;
      ++r->wires;
      auto held = std::make_shared<tcp::socket>(std::move(s));
      Quay::get().launch([r, held] {
        Wire w(std::move(*held));
        Buffer buf;
        for (;;) {
          RequestParser p;
          if (readRequest(w, buf, p, {}).end != ReadEnd::whole) return;
          auto& q = p.get();
          std::string text = std::string(q.method_string()) + " " + std::string(q.target()) + "\n";
          for (auto& f : q) text += std::string(f.name_string()) + ": " + std::string(f.value()) + "\n";
          text += "\n" + q.body();
          r->got.push_back(text);
          r->act(*r, w, std::string(q["X-Attempt-Id"]), text);
          if (!w.sock().is_open()) return;
        }
      });
      (*go)();
    });
  };
  (*go)();
}
struct Harbour {
  Waters wa;
  std::vector<std::shared_ptr<StandIn>> runners;
  std::shared_ptr<tcp::acceptor> door;
  Harbour() {
    wa.cfg = *parseConfiguration(R"({"configVersion":7,"routeTable":[
      {"label":"safe","authority":"h.example","pathPrefix":"/safe/","routeType":"safe","expiryMs":900,"targetLatencyMs":300,"targetService":"s","maxAttempts":2},
      {"label":"once","authority":"h.example","pathPrefix":"/once/","routeType":"unsafe","expiryMs":900,"targetLatencyMs":300,"targetService":"s","maxAttempts":3},
      {"label":"stream","authority":"h.example","pathPrefix":"/stream/","routeType":"stream","expiryMs":900,"targetLatencyMs":300,"targetService":"s","maxAttempts":2},
      {"label":"resume","authority":"h.example","pathPrefix":"/resume/","routeType":"stream","streamResume":true,"expiryMs":900,"targetLatencyMs":300,"targetService":"s","maxAttempts":2},
      {"label":"open","authority":"h.example","pathPrefix":"/open/","routeType":"safe","expiryMs":900,"targetService":"s","keyless":true}],
      "serviceTable":[{"label":"s"}],"limits":{"maxHeaderBytes":2000,"maxBodyBytes":3000,"headerTimerMs":200,"idleTimerMs":2000},
      "subscribers":[{"label":"tina","accessKeys":["key1"]}]})");
    wa.claimEnds = Clock::now() + 60s;
    wa.zone = "z";
    door = std::make_shared<tcp::acceptor>(Quay::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    take();
  }
  void take() {
    door->async_accept([this](Ec ec, tcp::socket s) {
      if (ec) return;
      auto held = std::make_shared<tcp::socket>(std::move(s));
      Quay::get().launch([this, held] { serveConsumer(wa, std::move(*held)); });
      take();
    });
  }
  std::shared_ptr<StandIn> runner(const std::string& id, decltype(StandIn::act) act) {
    auto r = std::make_shared<StandIn>();
    r->id = id;
    r->act = std::move(act);
    runStandIn(r);
    runners.push_back(r);
    follow();
    return r;
  }
  void follow() {
    std::vector<Runner> rs;
    for (auto& r : runners) rs.push_back(Runner{r->id, r->service, r->address(), "z", 4, 1, 0});
    wa.docks.follow(rs);
  }
  std::unique_ptr<Wire> dial() {
    auto w = std::make_unique<Wire>();
    Ec ec;
    w->connect(door->local_endpoint(), ec);
    EXPECT_FALSE(ec);
    return w;
  }
};
struct Answer {
  int status = 0;
  std::string body;
  bool wholeBody = false, chunked = false;
  std::map<std::string, std::string> heads;
};
Answer hear(Wire& w, Buffer& buf) {
  Answer a;
  http::response_parser<http::string_body> p;
  p.eager(true);
  Ec ec;
  w.due(Clock::now() + 5s);
  pump(w, buf, p, false, ec);
  w.undue();
  if (p.is_header_done()) {
    a.status = static_cast<int>(p.get().result_int());
    for (auto& f : p.get()) a.heads[std::string(f.name_string())] = std::string(f.value());
    a.chunked = p.chunked();
  }
  a.body = p.get().body();
  a.wholeBody = !ec && p.is_done();
  return a;
}
std::string ask(const std::string& path, const std::string& attempt = "a1", const std::string& more = {}, const std::string& body = {},
                const std::string& key = "key1") {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + attempt + "\r\n" +
         (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
Answer once(Harbour& h, const std::string& request) {
  auto w = h.dial();
  Buffer b;
  say(*w, request);
  return hear(*w, b);
}
template <class F>
void inHarbour(F f) {
  bool ended = false;
  Quay::get().launch([&] {
    auto h = std::make_shared<Harbour>();
    f(*h);
    static std::vector<std::shared_ptr<Harbour>> kept;  // its fibers may still refer to it
    kept.push_back(h);
    ended = true;
    Quay::get().stop();
  });
  Quay::get().run();
  EXPECT_TRUE(ended);
}
const auto answers = [](StandIn&, Wire& w, const std::string& id, const std::string&) { say(w, whole(id, "body of " + id)); };
}  // namespace

TEST(Passage, CarriesARequestAndItsAnswerUnchanged) {
  inHarbour([](Harbour& h) {
    auto r = h.runner("i-1", answers);
    const auto a = once(h, ask("/safe/x?y=1", "a9", "X-Subscriber: forged\r\nX-Unknown: stays\r\nConnection: X-Hop\r\nX-Hop: goes\r\n", "hello"));
    EXPECT_EQ(a.status, 200);
    EXPECT_EQ(a.body, "body of a9");
    EXPECT_EQ(a.heads.at("X-Server-Seal"), "seal-1");
    ASSERT_EQ(r->got.size(), 1u);
    const auto& g = r->got[0];
    EXPECT_EQ(g.rfind("POST /safe/x?y=1\n", 0), 0u);
    for (auto has : {"X-Attempt-Id: a9\n", "X-Subscriber: tina\n", "X-Expected-Instance: i-1\n", "X-Unknown: stays\n", "\nhello", "X-Deadline-Ms: "})
      EXPECT_NE(g.find(has), std::string::npos) << has << g;
    for (auto hasNot : {"forged", "key1", "X-Hop"}) EXPECT_EQ(g.find(hasNot), std::string::npos) << hasNot;
  });
}
TEST(Passage, DeclinesWhatIsNotAllowed) {
  inHarbour([](Harbour& h) {
    auto r = h.runner("i-1", answers);
    EXPECT_EQ(once(h, ask("/nowhere/")).status, 404);
    EXPECT_EQ(once(h, ask("/safe/", "a", "", "", "wrong")).status, 401);
    EXPECT_EQ(once(h, ask("/safe/", "a", "", "", "")).status, 401);
    EXPECT_EQ(once(h, ask("/safe/", "a", "", std::string(4000, 'x'))).status, 413);
    EXPECT_EQ(once(h, ask("/safe/", "a", "X-Long: " + std::string(4000, 'x') + "\r\n")).status, 431);
    EXPECT_EQ(once(h, "NONSENSE\r\n\r\n").status, 400);
    EXPECT_EQ(once(h, "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").status, 400);
    EXPECT_EQ(once(h, "POST /safe/ HTTP/1.1\r\nHost: h.ex").status, 408);
    EXPECT_TRUE(r->got.empty());
    EXPECT_EQ(once(h, ask("/open/", "a", "", "", "")).status, 200);
  });
}
TEST(Passage, WithoutAFreshClaimNothingIsServed) {
  inHarbour([](Harbour& h) {
    auto r = h.runner("i-1", answers);
    h.wa.claimEnds = Clock::now() - 1ms;
    const auto a = once(h, ask("/safe/x"));
    EXPECT_EQ(a.status, 503);
    EXPECT_TRUE(a.heads.count("Retry-After"));
    EXPECT_TRUE(r->got.empty());
  });
}
TEST(Passage, OneWireManyRequestsPipelinedAndChunked) {
  inHarbour([](Harbour& h) {
    auto r = h.runner("i-1", answers);
    auto w = h.dial();
    Buffer b;
    say(*w, ask("/safe/1", "p1") + "POST /safe/2 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: p2\r\nAuthorization: Bearer key1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" + ask("/safe/3", "p3"));
    for (auto id : {"p1", "p2", "p3"}) {
      const auto a = hear(*w, b);
      EXPECT_EQ(a.body, std::string("body of ") + id);
    }
    EXPECT_NE(r->got[1].find("\nabcde"), std::string::npos);
    EXPECT_EQ(r->wires, 1) << "the runner's wire is used again";
  });
}
TEST(Passage, AtMostOnceNothingGoesToASecondRunnerAfterASend) {
  inHarbour([](Harbour& h) {
    const auto cut = [](StandIn&, Wire& w, const std::string&, const std::string&) { w.shut(); };
    auto r1 = h.runner("i-1", cut);
    auto r2 = h.runner("i-2", cut);
    for (auto path : {"/once/x", "/stream/x"}) {
      r1->got.clear(), r2->got.clear();
      const auto a = once(h, ask(path));
      EXPECT_EQ(r1->got.size() + r2->got.size(), 1u) << path;
      EXPECT_TRUE(a.status == 502 || a.status == 0) << a.status << ": 408, 421, 429 and 503 would promise that it never ran";
    }
  });
}
TEST(Passage, ASafeOneGoesAgainWithinItsAttempts) {
  inHarbour([](Harbour& h) {
    int n = 0;
    const auto act = [&n](StandIn&, Wire& w, const std::string& id, const std::string&) {
      if (n++ == 0) w.shut();
      else say(w, whole(id, "second"));
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/safe/x")).body, "second");
    EXPECT_EQ(n, 2);
  });
}
TEST(Passage, NotExecutedMovesOnEvenForThoseThatRunOnce) {
  inHarbour([](Harbour& h) {
    int n = 0;
    const auto act = [&n](StandIn&, Wire& w, const std::string& id, const std::string&) {
      if (n++ == 0) say(w, whole(id, "no", 421));
      else say(w, whole(id, "ran"));
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/once/x")).body, "ran");
  });
}
TEST(Passage, AllFullIsARefusalWithATimeToComeBack) {
  inHarbour([](Harbour& h) {
    const auto full = [](StandIn&, Wire& w, const std::string& id, const std::string&) { say(w, whole(id, "full", 503, "X-Not-Executed: 1\r\n")); };
    h.runner("i-1", full);
    h.runner("i-2", full);
    const auto a = once(h, ask("/once/x"));
    EXPECT_EQ(a.status, 503);
    EXPECT_TRUE(a.heads.count("Retry-After"));
  });
}
TEST(Passage, A503ThatMayHaveRunIsNotPassedOnAsAPromise) {
  inHarbour([](Harbour& h) {
    h.runner("i-1", [](StandIn&, Wire& w, const std::string& id, const std::string&) { say(w, whole(id, "?", 503)); });
    EXPECT_EQ(once(h, ask("/once/x")).status, 502);
  });
}
TEST(Passage, AFailureOfTheRunnersOwnIsPassedOnUnchanged) {
  inHarbour([](Harbour& h) {
    h.runner("i-1", [](StandIn&, Wire& w, const std::string& id, const std::string&) { say(w, whole(id, "broke", 500)); });
    const auto a = once(h, ask("/once/x"));
    EXPECT_EQ(a.status, 500);
    EXPECT_EQ(a.body, "broke");
  });
}
TEST(Passage, ASurplusAnswerBelongsToNobody) {
  inHarbour([](Harbour& h) {
    h.runner("i-1", [](StandIn& me, Wire& w, const std::string& id, const std::string&) {
      if (me.got.size() == 1) say(w, whole(id, "first") );
      else say(w, whole("a1", "late surplus") + whole(id, "mine"));
    });
    auto w = h.dial();
    Buffer b;
    say(*w, ask("/once/x", "a1"));
    EXPECT_EQ(hear(*w, b).body, "first");
    say(*w, ask("/once/x", "a2"));
    EXPECT_EQ(hear(*w, b).body, "mine");
  });
}
TEST(Passage, AWireWithUnaskedBytesIsNotUsedAgain) {
  inHarbour([](Harbour& h) {
    auto r = h.runner("i-1", [](StandIn&, Wire& w, const std::string& id, const std::string&) { say(w, whole(id, "ok") + "stray"); });
    EXPECT_EQ(once(h, ask("/once/x", "a1")).body, "ok");
    EXPECT_EQ(once(h, ask("/once/x", "a2")).body, "ok");
    EXPECT_EQ(r->wires, 2);
  });
}
TEST(Passage, WhatIsNoAnswerOrHasNoSealOrEndsEarlyIsNoSuccess) {
  const std::function<std::string(const std::string&)> table[] = {
      [](const std::string&) { return std::string("garbage garbage\r\n\r\n"); },
      [](const std::string& id) { return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 2\r\n\r\nhi"; },
      [](const std::string& id) { return whole(id, "hi", 200, "Content-Encoding: gzip\r\n"); },
      [](const std::string& id) { return whole(id, "0123456789").substr(0, whole(id, "0123456789").size() - 4); },
      [](const std::string&) { return whole("another", "x"); }};
  for (auto& t : table)
    inHarbour([&](Harbour& h) {
      h.runner("i-1", [&](StandIn&, Wire& w, const std::string& id, const std::string&) {
        say(w, t(id));
        w.shut();
      });
      const auto a = once(h, ask("/once/x"));
      EXPECT_NE(a.status / 100, 2);
      EXPECT_NE(a.status, 503);
    });
}
TEST(Passage, AStreamPassesAsItComesAndEndsWhenTheRunnerEnds) {
  inHarbour([](Harbour& h) {
    h.runner("i-1", [](StandIn&, Wire& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      Quay::get().pause(5ms);
      say(w, chunk(event(2)) + "0\r\n\r\n");
    });
    for (auto path : {"/stream/x", "/resume/x"}) {
      const auto a = once(h, ask(path));
      EXPECT_TRUE(a.wholeBody);
      EXPECT_TRUE(a.chunked);
      EXPECT_EQ(a.body, event(1) + event(2)) << path;
    }
  });
}
TEST(Passage, AStreamCutShortNeverLooksComplete) {
  inHarbour([](Harbour& h) {
    h.runner("i-1", [](StandIn&, Wire& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      w.shut();
    });
    const auto a = once(h, ask("/stream/x"));
    EXPECT_EQ(a.status, 200);
    EXPECT_FALSE(a.wholeBody);
  });
}
TEST(Passage, ACutStreamIsTakenUpAfterItsLastWholeEvent) {
  inHarbour([](Harbour& h) {
    int n = 0;
    std::string second;
    const auto act = [&](StandIn&, Wire& w, const std::string& id, const std::string& text) {
      if (n++ == 0) {
        say(w, streamHead(id, "seal-first") + chunk(event(1) + event(2) + "id: 3\nda"));
        w.shut();
        return;
      }
      second = text;
      say(w, streamHead(id, "seal-second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    const auto a = once(h, ask("/resume/x"));
    EXPECT_TRUE(a.wholeBody);
    EXPECT_EQ(a.body, event(1) + event(2) + event(3) + event(4)) << "nothing missing, nothing twice";
    EXPECT_EQ(a.heads.at("X-Server-Seal"), "seal-first");
    EXPECT_NE(second.find("Last-Event-Id: 2\n"), std::string::npos) << second;
  });
}
TEST(Passage, AConsumerThatLeavesEndsTheRun) {
  inHarbour([](Harbour& h) {
    bool ended = false;
    Waiter done;
    h.runner("i-1", [&](StandIn&, Wire& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      char c;
      Ec ec;
      w.read(asio::buffer(&c, 1), ec);
      ended = static_cast<bool>(ec);
      w.shut();
      done.wake();
    });
    auto w = h.dial();
    say(*w, ask("/stream/x"));
    Ec ec;
    char buf[400];
    EXPECT_GT(w->read(asio::buffer(buf), ec), 0u);
    w->shut();
    EXPECT_TRUE(Quay::get().waitFor(done, 3000ms));
    EXPECT_TRUE(ended);
  });
}
TEST(Passage, ARunnerThatCannotBeReachedCostsNoAttempt) {
  inHarbour([](Harbour& h) {
    auto dead = h.runner("i-0", answers);
    auto r = h.runner("i-1", answers);
    dead->acc->close();
    h.wa.docks.follow({Runner{"i-0", "s", "127.0.0.1:1", "z", 4, 1, 0}, Runner{"i-1", "s", r->address(), "z", 4, 1, 0}});
    for (int i = 0; i < 6; ++i) EXPECT_EQ(once(h, ask("/once/x", "a" + std::to_string(i))).status, 200);
  });
}
TEST(Passage, ASilentRunnerIsWaitedForUntilTheTimeIsUp) {
  inHarbour([](Harbour& h) {
    h.runner("i-1", [](StandIn&, Wire& w, const std::string&, const std::string&) {
      char c;
      Ec ec;
      w.read(asio::buffer(&c, 1), ec);
      w.shut();
    });
    EXPECT_EQ(once(h, ask("/once/x", "a1", "X-Deadline-Ms: 150\r\n")).status, 504);
  });
}
TEST(Events, WholeOnesAndTheLastId) {
  EventScan s;
  EXPECT_EQ(s.feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(s.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(s.lastId(), "1");
  EXPECT_EQ(s.feed("ta: id: 9\n\nid: 3\r\ndata: x\r\n\r"), "id: 2\ndata: id: 9\n\n");
  EXPECT_EQ(s.lastId(), "2");
  EXPECT_EQ(s.feed("\n"), "id: 3\r\ndata: x\r\n\r\n");
  EXPECT_EQ(s.lastId(), "3");
  EXPECT_TRUE(s.rest().empty());
}
