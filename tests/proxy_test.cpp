// One request through the proxy, against stand-ins for client and runner on loopback.
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::standin;

TEST(Proxy, CarriesARequestAndItsAnswerUnchanged) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    const auto a =
        once(h, ask("/safe/x?y=1", "a9",
                    "X-Subscriber: forged\r\nX-Unknown: stays\r\nConnection: X-Hop\r\nX-Hop: goes\r\n", "hello"));
    EXPECT_EQ(a.status, 200);
    EXPECT_EQ(a.body, "body of a9");
    EXPECT_EQ(a.heads.at("X-Server-Seal"), "seal-1");
    ASSERT_EQ(r->got.size(), 1U);
    const auto& g = r->got[0];
    EXPECT_EQ(g.rfind("POST /safe/x?y=1\n", 0), 0U);
    for (auto has : {"X-Attempt-Id: a9\n", "X-Subscriber: tina\n", "X-Expected-Instance: i-1\n", "X-Unknown: stays\n",
                     "\nhello", "X-Deadline-Ms: "})
      EXPECT_NE(g.find(has), std::string::npos) << has << g;
    for (auto hasNot : {"forged", "key1", "X-Hop"})
      EXPECT_EQ(g.find(hasNot), std::string::npos) << hasNot;
  });
}
TEST(Proxy, DeclinesWhatIsNotAllowed) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    EXPECT_EQ(once(h, ask("/nowhere/")).status, 404);
    EXPECT_EQ(once(h, ask("/safe/", "a", "", "", "wrong")).status, 401);
    EXPECT_EQ(once(h, ask("/safe/", "a", "", "", "")).status, 401);
    EXPECT_EQ(once(h, ask("/safe/", "a", "", std::string(4000, 'x'))).status, 413);
    EXPECT_EQ(once(h, ask("/safe/", "a", "X-Long: " + std::string(4000, 'x') + "\r\n")).status, 431);
    EXPECT_EQ(once(h, "NONSENSE\r\n\r\n").status, 400);
    EXPECT_EQ(once(h,
                   "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n0\r\n\r\n")
                  .status,
              400);
    EXPECT_EQ(once(h, "POST /safe/ HTTP/1.1\r\nHost: h.ex").status, 408);
    EXPECT_TRUE(r->got.empty());
    EXPECT_EQ(once(h, ask("/open/", "a", "", "", "")).status, 200);
  });
}
TEST(Proxy, WithoutAFreshLeaseNothingIsServed) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    h.context.leaseExpiresAt = Clock::now() - 1ms;
    const auto a = once(h, ask("/safe/x"));
    EXPECT_EQ(a.status, 503);
    EXPECT_TRUE(a.heads.count("Retry-After"));
    EXPECT_TRUE(r->got.empty());
  });
}
TEST(Proxy, ServesPipelinedAndChunkedRequestsOnOneConnection) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    auto w = h.dial();
    Buffer b;
    say(*w, ask("/safe/1", "p1") +
                "POST /safe/2 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: p2\r\nAuthorization: Bearer "
                "key1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
                ask("/safe/3", "p3"));
    for (auto id : {"p1", "p2", "p3"}) {
      const auto a = hear(*w, b);
      EXPECT_EQ(a.body, std::string("body of ") + id);
    }
    EXPECT_NE(r->got[1].find("\nabcde"), std::string::npos);
    EXPECT_EQ(r->connections, 1) << "the runner's connection is used again";
  });
}
TEST(Proxy, AtMostOnceRequestsReachNoSecondRunnerAfterASend) {
  withProxy([](TestProxy& h) {
    const auto cut = [](StandIn&, Connection& w, const std::string&, const std::string&) { w.close(); };
    auto r1 = h.runner("i-1", cut);
    auto r2 = h.runner("i-2", cut);
    for (auto path : {"/once/x", "/stream/x"}) {
      r1->got.clear(), r2->got.clear();
      const auto a = once(h, ask(path));
      EXPECT_EQ(r1->got.size() + r2->got.size(), 1U) << path;
      EXPECT_TRUE(a.status == 502 || a.status == 0)
          << a.status << ": 408, 421, 429 and 503 would promise that it never ran";
    }
  });
}
TEST(Proxy, RetriesSafeRequestsWithinTheirAttempts) {
  withProxy([](TestProxy& h) {
    int n = 0;
    const auto act = [&n](StandIn&, Connection& w, const std::string& id, const std::string&) {
      if (n++ == 0)
        w.close();
      else
        say(w, completeResponse(id, "second"));
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/safe/x")).body, "second");
    EXPECT_EQ(n, 2);
  });
}
TEST(Proxy, RetriesNotExecutedRequestsEvenOfUnsafeRoutes) {
  withProxy([](TestProxy& h) {
    int n = 0;
    const auto act = [&n](StandIn&, Connection& w, const std::string& id, const std::string&) {
      if (n++ == 0)
        say(w, completeResponse(id, "no", 421));
      else
        say(w, completeResponse(id, "ran"));
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/once/x")).body, "ran");
  });
}
TEST(Proxy, RejectsWithRetryAfterWhenAllRunnersAreFull) {
  withProxy([](TestProxy& h) {
    const auto full = [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
    };
    h.runner("i-1", full);
    h.runner("i-2", full);
    const auto a = once(h, ask("/once/x"));
    EXPECT_EQ(a.status, 503);
    EXPECT_TRUE(a.heads.count("Retry-After"));
  });
}
TEST(Proxy, A503ThatMayHaveRunIsNotForwarded) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, completeResponse(id, "?", 503));
    });
    EXPECT_EQ(once(h, ask("/once/x")).status, 502);
  });
}
TEST(Proxy, ForwardsARunnersOwnFailureUnchanged) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, completeResponse(id, "broke", 500));
    });
    const auto a = once(h, ask("/once/x"));
    EXPECT_EQ(a.status, 500);
    EXPECT_EQ(a.body, "broke");
  });
}
TEST(Proxy, DropsAResponseToAnotherAttempt) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn& me, Connection& w, const std::string& id, const std::string&) {
      if (me.got.size() == 1)
        say(w, completeResponse(id, "first"));
      else
        say(w, completeResponse("a1", "late surplus") + completeResponse(id, "mine"));
    });
    auto w = h.dial();
    Buffer b;
    say(*w, ask("/once/x", "a1"));
    EXPECT_EQ(hear(*w, b).body, "first");
    say(*w, ask("/once/x", "a2"));
    EXPECT_EQ(hear(*w, b).body, "mine");
  });
}
TEST(Proxy, DoesNotReuseAConnectionWithUnsolicitedBytes) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, completeResponse(id, "ok") + "stray");
    });
    EXPECT_EQ(once(h, ask("/once/x", "a1")).body, "ok");
    EXPECT_EQ(once(h, ask("/once/x", "a2")).body, "ok");
    EXPECT_EQ(r->connections, 2);
  });
}
TEST(Proxy, InvalidUnsealedOrTruncatedResponsesAreNoSuccess) {
  const std::function<std::string(const std::string&)> table[] = {
      [](const std::string&) { return std::string("garbage garbage\r\n\r\n"); },
      [](const std::string& id) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nContent-Length: 2\r\n\r\nhi";
      },
      [](const std::string& id) { return completeResponse(id, "hi", 200, "Content-Encoding: gzip\r\n"); },
      [](const std::string& id) {
        return completeResponse(id, "0123456789").substr(0, completeResponse(id, "0123456789").size() - 4);
      },
      [](const std::string&) { return completeResponse("another", "x"); }};
  for (auto& t : table)
    withProxy([&](TestProxy& h) {
      h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        say(w, t(id));
        w.close();
      });
      const auto a = once(h, ask("/once/x"));
      EXPECT_NE(a.status / 100, 2);
      EXPECT_NE(a.status, 503);
    });
}
TEST(Proxy, ForwardsAStreamAsItArrivesUntilTheRunnerEndsIt) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      EventLoop::get().sleepFor(5ms);
      say(w, chunk(event(2)) + "0\r\n\r\n");
    });
    for (auto path : {"/stream/x", "/resume/x"}) {
      const auto a = once(h, ask(path));
      EXPECT_TRUE(a.bodyComplete);
      EXPECT_TRUE(a.chunked);
      EXPECT_EQ(a.body, event(1) + event(2)) << path;
    }
  });
}
TEST(Proxy, AStreamCutShortNeverLooksComplete) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      w.close();
    });
    const auto a = once(h, ask("/stream/x"));
    EXPECT_EQ(a.status, 200);
    EXPECT_FALSE(a.bodyComplete);
  });
}
TEST(Proxy, ResumesACutStreamAfterItsLastCompleteEvent) {
  withProxy([](TestProxy& h) {
    int n = 0;
    std::string second;
    const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string& text) {
      if (n++ == 0) {
        say(w, streamHead(id, "seal-first") + chunk(event(1) + event(2) + "id: 3\nda"));
        w.close();
        return;
      }
      second = text;
      say(w, streamHead(id, "seal-second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    const auto a = once(h, ask("/resume/x"));
    EXPECT_TRUE(a.bodyComplete);
    EXPECT_EQ(a.body, event(1) + event(2) + event(3) + event(4)) << "nothing missing, nothing twice";
    EXPECT_EQ(a.heads.at("X-Server-Seal"), "seal-first");
    EXPECT_NE(second.find("Last-Event-Id: 2\n"), std::string::npos) << second;
  });
}
TEST(Proxy, AClientThatDisconnectsEndsTheRun) {
  withProxy([](TestProxy& h) {
    bool ended = false;
    Waiter done;
    h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      say(w, streamHead(id) + chunk(event(1)));
      char c = 0;
      SocketError ec;
      w.read(asio::buffer(&c, 1), ec);
      ended = static_cast<bool>(ec);
      w.close();
      done.wake();
    });
    auto w = h.dial();
    say(*w, ask("/stream/x"));
    SocketError ec;
    char buf[400];
    EXPECT_GT(w->read(asio::buffer(buf), ec), 0U);
    w->close();
    EXPECT_TRUE(EventLoop::get().waitFor(done, 3000ms));
    EXPECT_TRUE(ended);
  });
}
TEST(Proxy, ARunnerThatCannotBeReachedCostsNoAttempt) {
  withProxy([](TestProxy& h) {
    auto dead = h.runner("i-0", answers);
    auto r = h.runner("i-1", answers);
    dead->acc->close();
    h.context.runners.setRunners(
        {Runner{"i-0", "s", "127.0.0.1:1", "z", 4, 1, 0}, Runner{"i-1", "s", r->address(), "z", 4, 1, 0}});
    for (int i = 0; i < 6; ++i)
      EXPECT_EQ(once(h, ask("/once/x", "a" + std::to_string(i))).status, 200);
  });
}
TEST(Proxy, ASilentRunnerIsWaitedForUntilTheTimeIsUp) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", [](StandIn&, Connection& w, const std::string&, const std::string&) {
      char c = 0;
      SocketError ec;
      w.read(asio::buffer(&c, 1), ec);
      w.close();
    });
    EXPECT_EQ(once(h, ask("/once/x", "a1", "X-Deadline-Ms: 150\r\n")).status, 504);
  });
}
TEST(Proxy, ClosesConnectionsBeyondTheLimitUnread) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", answers);
    h.context.maxClients = 2;
    auto a = h.dial();
    auto b = h.dial();
    Buffer ba;
    Buffer bc;
    say(*a, ask("/safe/x", "a1"));
    EXPECT_EQ(hear(*a, ba).status, 200);
    auto c = h.dial();
    say(*c, ask("/safe/x", "c1"));
    EXPECT_EQ(hear(*c, bc).status, 0);
    a->close();
    b->close();
    EventLoop::get().sleepFor(20ms);
    EXPECT_EQ(h.context.clients, 0);
    EXPECT_EQ(once(h, ask("/safe/x", "a2")).status, 200);
  });
}
TEST(Proxy, ReadsNothingWhileBodiesExceedTheLimit) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    h.context.bodyBytes = 2, h.context.maxBodyBytes = 1;
    auto w = h.dial();
    Buffer b;
    say(*w, ask("/safe/x", "a1"));
    EventLoop::get().sleepFor(60ms);
    EXPECT_TRUE(r->got.empty());
    h.context.bodyBytes = 0;
    EXPECT_EQ(hear(*w, b).status, 200);
  });
}
TEST(EventScanner, FindsCompleteEventsAndTheLastId) {
  EventScanner s;
  EXPECT_EQ(s.feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(s.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(s.lastEventId(), "1");
  EXPECT_EQ(s.feed("ta: id: 9\n\nid: 3\r\ndata: x\r\n\r"), "id: 2\ndata: id: 9\n\n");
  EXPECT_EQ(s.lastEventId(), "2");
  EXPECT_EQ(s.feed("\n"), "id: 3\r\ndata: x\r\n\r\n");
  EXPECT_EQ(s.lastEventId(), "3");
  EXPECT_TRUE(s.partialEvent().empty());
}
