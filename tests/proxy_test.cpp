// Single requests through the proxy, with a fake client and fake runners on loopback connections.
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;

TEST(Proxy, CarriesARequestAndItsAnswerUnchanged) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    const auto response = sendRequest(
        proxy,
        requestText("/safe/x?y=1", "a9",
                    "X-Subscriber: forged\r\nX-Unknown: stays\r\nConnection: X-Hop\r\nX-Hop: goes\r\n", "hello"));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, "body of a9");
    EXPECT_EQ(response.headers.at("X-Server-Seal"), "seal-1");
    ASSERT_EQ(runner->receivedRequests.size(), 1U);
    const auto& request = runner->receivedRequests[0];
    EXPECT_EQ(request.rfind("POST /safe/x?y=1\n", 0), 0U);
    for (auto expected : {"X-Attempt-Id: a9\n", "X-Subscriber: tina\n", "X-Expected-Instance: i-1\n",
                          "X-Unknown: stays\n", "\nhello", "X-Deadline-Ms: "})
      EXPECT_NE(request.find(expected), std::string::npos) << expected << request;
    for (auto unexpected : {"forged", "key1", "X-Hop"})
      EXPECT_EQ(request.find(unexpected), std::string::npos) << unexpected;
  });
}
TEST(Proxy, DeclinesWhatIsNotAllowed) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    EXPECT_EQ(sendRequest(proxy, requestText("/nowhere/")).status, 404);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "a", "", "", "wrong")).status, 401);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "a", "", "", "")).status, 401);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "a", "", std::string(4000, 'x'))).status, 413);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "a", "X-Long: " + std::string(4000, 'x') + "\r\n")).status, 431);
    EXPECT_EQ(sendRequest(proxy, "NONSENSE\r\n\r\n").status, 400);
    EXPECT_EQ(sendRequest(proxy,
                          "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 3\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n0\r\n\r\n")
                  .status,
              400);
    EXPECT_EQ(sendRequest(proxy, "POST /safe/ HTTP/1.1\r\nHost: h.ex").status, 408);
    EXPECT_TRUE(runner->receivedRequests.empty());
    EXPECT_EQ(sendRequest(proxy, requestText("/open/", "a", "", "", "")).status, 200);
  });
}
namespace {
std::shared_ptr<const config::Configuration> configurationWithSubscribers(const std::string& field) {
  return *config::parseConfiguration(R"({"configVersion":8,"routeTable":[
      {"authority":"h.example","pathPrefix":"/safe/","routeType":"safe","expiryMs":20000,"targetService":"s"},
      {"authority":"h.example","pathPrefix":"/open/","routeType":"safe","expiryMs":20000,"targetService":"s","keyless":true}],
      "serviceTable":[{"label":"s"}])" +
                                     field + "}");
}
}  // namespace
// Guards against review/1: once the last tenant's key was taken away, every key ran, and runners saw the keys.
TEST(Proxy, OnceTheLastKeyIsTakenAwayNoKeyRuns) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    for (const std::string field : {R"(,"subscribers":[])", R"(,"subscribers":null)"}) {
      proxy.context.configuration = configurationWithSubscribers(field);
      for (const std::string key : {"key1", "unknown", ""})
        EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "a", "", "", key)).status, 401) << field << key;
      EXPECT_TRUE(runner->receivedRequests.empty());
      EXPECT_EQ(sendRequest(proxy, requestText("/open/", "b")).status, 200) << "a keyless route needs no key";
      ASSERT_EQ(runner->receivedRequests.size(), 1U);
      EXPECT_EQ(runner->receivedRequests[0].find("key1"), std::string::npos) << "runners see no keys";
      runner->receivedRequests.clear();
    }
  });
}
TEST(Proxy, WithoutAListOfSubscribersRequestsCarryNoKey) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    proxy.context.configuration = configurationWithSubscribers("");
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "a", "", "", "")).status, 200);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/", "b")).status, 200);
    ASSERT_EQ(runner->receivedRequests.size(), 2U);
    EXPECT_NE(runner->receivedRequests[1].find("key1"), std::string::npos) << "the header is the client's own";
  });
}
TEST(Proxy, WithoutAFreshLeaseNothingIsServed) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    proxy.context.leaseExpiresAt = Clock::now() - 1ms;
    const auto response = sendRequest(proxy, requestText("/safe/x"));
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.headers.count("Retry-After"));
    EXPECT_TRUE(runner->receivedRequests.empty());
  });
}
TEST(Proxy, ServesPipelinedAndChunkedRequestsOnOneConnection) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    auto connection = proxy.connectClient();
    Buffer buffer;
    sendBytes(*connection, requestText("/safe/1", "p1") +
                               "POST /safe/2 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: p2\r\nAuthorization: Bearer "
                               "key1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" +
                               requestText("/safe/3", "p3"));
    for (auto id : {"p1", "p2", "p3"}) {
      const auto response = readResponse(*connection, buffer);
      EXPECT_EQ(response.body, std::string("body of ") + id);
    }
    EXPECT_NE(runner->receivedRequests[1].find("\nabcde"), std::string::npos);
    EXPECT_EQ(runner->connections, 1) << "the connection to the runner is reused";
  });
}
TEST(Proxy, AtMostOnceRequestsReachNoSecondRunnerAfterASend) {
  withProxy([](TestProxy& proxy) {
    const auto disconnect = [](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
      connection.close();
    };
    auto r1 = proxy.runner("i-1", disconnect);
    auto r2 = proxy.runner("i-2", disconnect);
    for (auto path : {"/once/x", "/stream/x"}) {
      r1->receivedRequests.clear(), r2->receivedRequests.clear();
      const auto response = sendRequest(proxy, requestText(path));
      EXPECT_EQ(r1->receivedRequests.size() + r2->receivedRequests.size(), 1U) << path;
      EXPECT_TRUE(response.status == 502 || response.status == 0)
          << response.status << ": 408, 421, 429 and 503 would state that the request has not run";
    }
  });
}
TEST(Proxy, RetriesSafeRequestsWithinTheirAttempts) {
  withProxy([](TestProxy& proxy) {
    int requestCount = 0;
    const auto handler = [&requestCount](FakeRunner&, Connection& connection, const std::string& id,
                                         const std::string&) {
      if (requestCount++ == 0)
        connection.close();
      else
        sendBytes(connection, completeResponse(id, "second"));
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x")).body, "second");
    EXPECT_EQ(requestCount, 2);
  });
}
TEST(Proxy, RetriesNotExecutedRequestsEvenOfUnsafeRoutes) {
  withProxy([](TestProxy& proxy) {
    int requestCount = 0;
    const auto handler = [&requestCount](FakeRunner&, Connection& connection, const std::string& id,
                                         const std::string&) {
      if (requestCount++ == 0)
        sendBytes(connection, completeResponse(id, "no", 421));
      else
        sendBytes(connection, completeResponse(id, "ran"));
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x")).body, "ran");
  });
}
TEST(Proxy, RejectsWithRetryAfterWhenAllRunnersAreFull) {
  withProxy([](TestProxy& proxy) {
    const auto full = [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
    };
    proxy.runner("i-1", full);
    proxy.runner("i-2", full);
    const auto response = sendRequest(proxy, requestText("/once/x"));
    EXPECT_EQ(response.status, 503);
    EXPECT_TRUE(response.headers.count("Retry-After"));
  });
}
TEST(Proxy, A503ThatMayHaveRunIsNotForwarded) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, completeResponse(id, "?", 503));
    });
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x")).status, 502);
  });
}
TEST(Proxy, ForwardsARunnersOwnFailureUnchanged) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, completeResponse(id, "broke", 500));
    });
    const auto response = sendRequest(proxy, requestText("/once/x"));
    EXPECT_EQ(response.status, 500);
    EXPECT_EQ(response.body, "broke");
  });
}
TEST(Proxy, DropsAResponseToAnotherAttempt) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner& self, Connection& connection, const std::string& id, const std::string&) {
      if (self.receivedRequests.size() == 1)
        sendBytes(connection, completeResponse(id, "first"));
      else
        sendBytes(connection, completeResponse("a1", "late surplus") + completeResponse(id, "mine"));
    });
    auto connection = proxy.connectClient();
    Buffer buffer;
    sendBytes(*connection, requestText("/once/x", "a1"));
    EXPECT_EQ(readResponse(*connection, buffer).body, "first");
    sendBytes(*connection, requestText("/once/x", "a2"));
    EXPECT_EQ(readResponse(*connection, buffer).body, "mine");
  });
}
TEST(Proxy, DoesNotReuseAConnectionWithUnsolicitedBytes) {
  withProxy([](TestProxy& proxy) {
    auto runner =
        proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
          sendBytes(connection, completeResponse(id, "ok") + "stray");
        });
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x", "a1")).body, "ok");
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x", "a2")).body, "ok");
    EXPECT_EQ(runner->connections, 2);
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
  for (auto& makeResponse : table)
    withProxy([&](TestProxy& proxy) {
      proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        sendBytes(connection, makeResponse(id));
        connection.close();
      });
      const auto response = sendRequest(proxy, requestText("/once/x"));
      EXPECT_NE(response.status / 100, 2);
      EXPECT_NE(response.status, 503);
    });
}
TEST(Proxy, ForwardsAStreamAsItArrivesUntilTheRunnerEndsIt) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, streamHeader(id) + chunk(event(1)));
      EventLoop::get().sleepFor(5ms);
      sendBytes(connection, chunk(event(2)) + "0\r\n\r\n");
    });
    for (auto path : {"/stream/x", "/resume/x"}) {
      const auto response = sendRequest(proxy, requestText(path));
      EXPECT_TRUE(response.bodyComplete);
      EXPECT_TRUE(response.chunked);
      EXPECT_EQ(response.body, event(1) + event(2)) << path;
    }
  });
}
TEST(Proxy, AStreamCutShortNeverLooksComplete) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, streamHeader(id) + chunk(event(1)));
      connection.close();
    });
    const auto response = sendRequest(proxy, requestText("/stream/x"));
    EXPECT_EQ(response.status, 200);
    EXPECT_FALSE(response.bodyComplete);
  });
}
TEST(Proxy, ResumesACutStreamAfterItsLastCompleteEvent) {
  withProxy([](TestProxy& proxy) {
    int requestCount = 0;
    std::string second;
    const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string& text) {
      if (requestCount++ == 0) {
        sendBytes(connection, streamHeader(id, "seal-first") + chunk(event(1) + event(2) + "id: 3\nda"));
        connection.close();
        return;
      }
      second = text;
      sendBytes(connection, streamHeader(id, "seal-second") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    const auto response = sendRequest(proxy, requestText("/resume/x"));
    EXPECT_TRUE(response.bodyComplete);
    EXPECT_EQ(response.body, event(1) + event(2) + event(3) + event(4)) << "no event is missing or repeated";
    EXPECT_EQ(response.headers.at("X-Server-Seal"), "seal-first");
    EXPECT_NE(second.find("Last-Event-Id: 2\n"), std::string::npos) << second;
  });
}
TEST(Proxy, AClientThatDisconnectsEndsTheRun) {
  withProxy([](TestProxy& proxy) {
    bool ended = false;
    Waiter done;
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, streamHeader(id) + chunk(event(1)));
      char byte = 0;
      SocketError ec;
      connection.read(asio::buffer(&byte, 1), ec);
      ended = static_cast<bool>(ec);
      connection.close();
      done.wake();
    });
    auto connection = proxy.connectClient();
    sendBytes(*connection, requestText("/stream/x"));
    SocketError ec;
    char buf[400];
    EXPECT_GT(connection->read(asio::buffer(buf), ec), 0U);
    connection->close();
    EXPECT_TRUE(EventLoop::get().waitFor(done, 3000ms));
    EXPECT_TRUE(ended);
  });
}
TEST(Proxy, ARunnerThatCannotBeReachedCostsNoAttempt) {
  withProxy([](TestProxy& proxy) {
    auto dead = proxy.runner("i-0", respondOk);
    auto runner = proxy.runner("i-1", respondOk);
    dead->acceptor->close();
    proxy.context.runners.setRunners(
        {Runner{"i-0", "s", "127.0.0.1:1", "z", 4, 1, 0}, Runner{"i-1", "s", runner->address(), "z", 4, 1, 0}});
    for (int i = 0; i < 6; ++i)
      EXPECT_EQ(sendRequest(proxy, requestText("/once/x", "a" + std::to_string(i))).status, 200);
  });
}
TEST(Proxy, ASilentRunnerIsWaitedForUntilTheTimeIsUp) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
      char byte = 0;
      SocketError ec;
      connection.read(asio::buffer(&byte, 1), ec);
      connection.close();
    });
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x", "a1", "X-Deadline-Ms: 150\r\n")).status, 504);
  });
}
TEST(Proxy, ClosesConnectionsBeyondTheLimitUnread) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", respondOk);
    proxy.context.maxClients = 2;
    auto first = proxy.connectClient();
    auto second = proxy.connectClient();
    Buffer firstBuffer;
    Buffer thirdBuffer;
    sendBytes(*first, requestText("/safe/x", "a1"));
    EXPECT_EQ(readResponse(*first, firstBuffer).status, 200);
    auto third = proxy.connectClient();
    sendBytes(*third, requestText("/safe/x", "c1"));
    EXPECT_EQ(readResponse(*third, thirdBuffer).status, 0);
    first->close();
    second->close();
    EventLoop::get().sleepFor(20ms);
    EXPECT_EQ(proxy.context.clients, 0);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a2")).status, 200);
  });
}
TEST(Proxy, ReadsNothingWhileBodiesExceedTheLimit) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    constexpr std::size_t kBytes = MemoryBudget::kLargeBytes;
    auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
    configuration->limits.maxBodyBytes = kBytes;
    proxy.context.configuration = configuration;
    proxy.context.messageMemory = MemoryBudget(kBytes);
    std::optional<MemoryReservation> others(proxy.context.messageMemory);
    ASSERT_TRUE(others->tryGrowTo(kBytes));
    auto connection = proxy.connectClient();
    Buffer buffer;
    sendBytes(*connection, requestText("/safe/x", "a1", "", std::string(kBytes / 2, 'b')));
    EventLoop::get().sleepFor(60ms);
    EXPECT_TRUE(runner->receivedRequests.empty());
    others.reset();
    EXPECT_EQ(readResponse(*connection, buffer).status, 200);
  });
}
TEST(EventScanner, FindsCompleteEventsAndTheLastId) {
  EventScanner scanner;
  EXPECT_EQ(scanner.feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(scanner.feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_EQ(scanner.lastEventId(), "1");
  EXPECT_EQ(scanner.feed("ta: id: 9\n\nid: 3\r\ndata: x\r\n\r"), "id: 2\ndata: id: 9\n\n");
  EXPECT_EQ(scanner.lastEventId(), "2");
  EXPECT_EQ(scanner.feed("\n"), "id: 3\r\ndata: x\r\n\r\n");
  EXPECT_EQ(scanner.lastEventId(), "3");
  EXPECT_TRUE(scanner.partialEvent().empty());
}
