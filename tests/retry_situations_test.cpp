// Which requests are retried in situations beyond a single failure: clients that disconnect, deadlines, leases, changes
// of the configuration, shutdown, contradictory responses, large bodies and partner sites. Runners and clients are
// fakes on loopback connections.
#include <sys/socket.h>

#include "failure_scenario.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;

// Requests during which the client disconnects, the deadline passes, the lease expires, the configuration changes or
// the process shuts down.

TEST(Retry, AClientThatDisconnectsEndsItEverywhere) {
  for (const char* path : {"/safe/x", "/once/x", "/stream/x", "/resume/x"})
    for (bool responseBegun : {false, true})
      withProxy([&](TestProxy& proxy) {
        int requests = 0;
        int closed = 0;
        Waiter arrived;
        Waiter runnerDone;
        const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
          ++requests;
          if (responseBegun)
            sendBytes(connection, streamHeader(id) + chunk(event(1)));
          arrived.wake();
          char byte = 0;
          SocketError ec;
          connection.read(asio::buffer(&byte, 1), ec);
          closed += static_cast<bool>(ec);
          connection.close();
          runnerDone.wake();
        };
        proxy.runner("i-1", handler);
        proxy.runner("i-2", handler);
        auto client = proxy.connectClient();
        sendBytes(*client, requestText(path));
        EXPECT_TRUE(EventLoop::get().waitFor(arrived, 3000ms));
        EventLoop::get().sleepFor(2ms);
        client->close();
        EXPECT_TRUE(EventLoop::get().waitFor(runnerDone, 3000ms)) << path;
        EventLoop::get().sleepFor(5ms);
        EXPECT_EQ(closed, 1) << path;
        EXPECT_EQ(requests, 1) << path << ": a request of a disconnected client is not retried";
        EXPECT_EQ(proxy.context.inFlight, 0);
      });
}
TEST(Retry, NothingIsRetriedPastTheDeadline) {
  for (const char* path : {"/safe/x", "/resume/x", "/once/x"})
    withProxy([&](TestProxy& proxy) {
      int requests = 0;
      const auto handler = [&](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
        ++requests;
        EventLoop::get().sleepFor(60ms);
        connection.close();
      };
      proxy.runner("i-1", handler);
      proxy.runner("i-2", handler);
      EXPECT_EQ(sendRequest(proxy, requestText(path, "a1", "X-Deadline-Ms: 40\r\n")).status, 504) << path;
      EXPECT_EQ(requests, 1) << path;
    });
}
TEST(Retry, ALeaseThatExpiresStopsRetries) {
  for (const char* path : {"/safe/x", "/once/x"})
    for (bool sent : {false, true})
      withProxy([&](TestProxy& proxy) {
        int requests = 0;
        const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
          ++requests;
          proxy.context.leaseExpiresAt = Clock::now() - 1ms;
          if (sent)
            return connection.close();
          sendBytes(connection, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
        };
        proxy.runner("i-1", handler);
        proxy.runner("i-2", handler);
        EXPECT_EQ(sendRequest(proxy, requestText(path)).status, sent ? 502 : 503) << path;
        EXPECT_EQ(requests, 1) << path;
      });
}
TEST(Retry, ARequestKeepsItsConfiguration) {
  withProxy([](TestProxy& proxy) {
    const auto before = proxy.context.configuration;
    int requests = 0;
    const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      if (++requests == 1) {
        // The new configuration has no routes and a different service.
        proxy.context.configuration =
            *parseConfiguration(R"({"configVersion":8,"routeTable":[],"serviceTable":[{"label":"other"}]})");
        connection.close();
      } else {
        sendBytes(connection, completeResponse(id, "second"));
      }
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x")).body, "second");
    EXPECT_EQ(requests, 2);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x")).status, 404);
    proxy.context.configuration = before;
    requests = 0;
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x")).status, 502);
    EXPECT_EQ(requests, 1);
  });
}
// A request that is in flight at SIGTERM is completed, including retries. The response announces the close of the
// connection, so that the client does not send its next request on it.
TEST(Retry, AGracefulShutdownCompletesRequestsInFlight) {
  for (const char* path : {"/safe/x", "/resume/x", "/once/x"})
    withProxy([&](TestProxy& proxy) {
      const bool stream = std::string_view(path) == "/resume/x";
      int requests = 0;
      const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        proxy.context.shutdown.begin(Clock::now(), 8s);
        if (++requests == 1 && std::string_view(path) != "/once/x")
          return connection.close();
        sendBytes(connection, correctResponse(stream ? CallKind::resumable : CallKind::safe, id));
      };
      proxy.runner("i-1", handler);
      proxy.runner("i-2", handler);
      const auto response = sendRequest(proxy, requestText(path));
      EXPECT_EQ(response.status, 200) << path;
      EXPECT_TRUE(response.bodyComplete) << path;
      ASSERT_TRUE(response.headers.count("Connection")) << path;
      EXPECT_EQ(response.headers.at("Connection"), "close") << path;
    });
}

// Contradictory responses and unusual forms of responses.

TEST(Retry, ASuccessThatSaysNotExecutedIsNeitherForwardedNorRetried) {
  for (const char* path : {"/stream/x", "/once/x", "/resume/x", "/safe/x"})
    withProxy([&](TestProxy& proxy) {
      int requests = 0;
      const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        ++requests;
        sendBytes(connection, completeResponse(id, event(1), 200, "X-Not-Executed: 1\r\n"));
      };
      proxy.runner("i-1", handler);
      proxy.runner("i-2", handler);
      auto client = proxy.connectClient();
      Buffer buffer;
      sendBytes(*client, requestText(path));
      EXPECT_EQ(readResponse(*client, buffer).status, 502) << path;
      const bool isRetried = std::string_view(path) == "/safe/x" || std::string_view(path) == "/resume/x";
      EXPECT_EQ(requests, isRetried ? 2 : 1) << path;
    });
}
TEST(Retry, ResponsesWithoutABodyEndWithTheirHeader) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string& text) {
      if (text.rfind("HEAD", 0) == 0)
        sendBytes(connection, streamHeader(id));
      else if (id == "none")
        sendBytes(connection, "HTTP/1.1 204 No Content\r\nX-Attempt-Id: none\r\nX-Server-Seal: s\r\n\r\n");
      else
        sendBytes(connection, correctResponse(CallKind::stream, id));
    });
    auto client = proxy.connectClient();
    Buffer buffer;
    sendBytes(*client,
              "HEAD /stream/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: head\r\nAuthorization: Bearer key1\r\n\r\n" +
                  requestText("/stream/x", "none") + requestText("/stream/x", "after"));
    http::response_parser<http::string_body> headParser;
    headParser.skip(true);
    SocketError ec;
    client->setDeadline(Clock::now() + 5s);
    readIntoParser(*client, buffer, headParser, true, ec);
    EXPECT_FALSE(ec);
    EXPECT_EQ(headParser.get()["X-Attempt-Id"], "head");
    auto response = readResponse(*client, buffer);
    EXPECT_EQ(response.status, 204);
    response = readResponse(*client, buffer);
    EXPECT_EQ(response.headers["X-Attempt-Id"], "after");
    EXPECT_EQ(response.body, correctBody(CallKind::stream, "after"));
  });
}
TEST(Retry, AnInterimResponseIsNotTheResponse) {
  withProxy([](TestProxy& proxy) {
    int requests = 0;
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      ++requests;
      std::string interimResponses;
      for (int i = 0; i < 4; ++i)
        interimResponses += "HTTP/1.1 102 Processing\r\nX-Attempt-Id: " + id + "\r\n\r\n";
      sendBytes(connection, interimResponses + completeResponse(id, "final"));
    });
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x")).body, "final");
    EXPECT_EQ(requests, 1);
  });
}
// The runner states in the header that it did not run the request, and closes the connection before the end of the
// body.
TEST(Retry, NotExecutedIsValidFromTheHeaderOn) {
  withProxy([](TestProxy& proxy) {
    int requests = 0;
    const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      if (++requests > 1)
        return sendBytes(connection, completeResponse(id, "ran"));
      const auto full = completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n");
      sendBytes(connection, full.substr(0, full.size() - 2));
      connection.close();
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x")).body, "ran");
    EXPECT_EQ(requests, 2);
  });
}
// After an event without an id a stream must not be resumed: another runner would continue after the last id and repeat
// that event.
TEST(Retry, AStreamIsNotResumedAfterAnEventWithoutAnId) {
  for (bool firstHasId : {true, false})
    withProxy([&](TestProxy& proxy) {
      int requests = 0;
      const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        ++requests;
        sendBytes(connection, streamHeader(id) + chunk((firstHasId ? event(1) : "") + "data: nameless\n\n"));
        connection.close();
      };
      proxy.runner("i-1", handler);
      proxy.runner("i-2", handler);
      const auto response = sendRequest(proxy, requestText("/resume/x"));
      EXPECT_EQ(requests, 1);
      EXPECT_FALSE(response.bodyComplete);
      EXPECT_EQ(response.body, (firstHasId ? event(1) : "") + "data: nameless\n\n");
    });
}
// Comment lines are not events, so a stream that contains keep-alive comments can be resumed.
TEST(Retry, AStreamIsResumedAfterAComment) {
  withProxy([](TestProxy& proxy) {
    int requests = 0;
    const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      if (++requests > 1)
        return sendBytes(connection, streamHeader(id) + chunk(event(2)) + "0\r\n\r\n");
      sendBytes(connection, streamHeader(id) + chunk(event(1) + ": still here\n\n"));
      connection.close();
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    const auto response = sendRequest(proxy, requestText("/resume/x"));
    EXPECT_TRUE(response.bodyComplete);
    EXPECT_EQ(response.body, event(1) + ": still here\n\n" + event(2));
  });
}
// Live streams in a zone that is being drained are migrated. A stream without a target runner stays where it is.
TEST(Retry, AStreamWithoutATargetIsNotMigrated) {
  withProxy([](TestProxy& proxy) {
    proxy.fillRetryReserve(8, 12);
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, streamHeader(id) + chunk(event(1)));
      proxy.context.runners.setZoneDrains({{"z", {100, true}}});
      EventLoop::get().sleepFor(3ms);
      sendBytes(connection, chunk(event(2)));
      EventLoop::get().sleepFor(3ms);
      sendBytes(connection, chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n");
    });
    const auto response = sendRequest(proxy, requestText("/resume/x"));
    EXPECT_TRUE(response.bodyComplete);
    EXPECT_EQ(response.body, correctBody(CallKind::resumable, "a1"));
  });
}
TEST(Retry, ARequestInACodingWithoutAnEndIsRejected) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    EXPECT_EQ(
        sendRequest(proxy,
                    "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nAuthorization: Bearer key1\r\n"
                    "Transfer-Encoding: identity\r\n\r\n" +
                        requestText("/once/x", "smuggled"))
            .status,
        400);
    EXPECT_TRUE(runner->receivedRequests.empty());
  });
}

// Bodies larger than the socket buffers: only a part of the request has been sent when the runner closes the
// connection.

namespace {
void allowLargeBodies(TestProxy& proxy) {
  auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
  configuration->limits.maxBodyBytes = 64U << 20;
  configuration->limits.idleTimeout = 5s;
  proxy.context.configuration = configuration;
}
// A runner that reads the beginning of each request and then calls a function of the test.
struct PartialReader {
  int requestCount = 0;
  std::shared_ptr<tcp::acceptor> acceptor;
  // Arguments: the connection, the number of this request (from 1) and the bytes read so far.
  std::function<void(Connection&, int, const std::string&)> handler;
  void accept() {
    acceptor->async_accept([this](SocketError ec, tcp::socket socket) {
      if (ec)
        return;
      auto accepted = std::make_shared<tcp::socket>(std::move(socket));
      EventLoop::get().spawn([this, accepted] {
        Connection connection(std::move(*accepted));
        std::string bytes;
        if (FailureScenario::readMore(connection, bytes, 4096))
          handler(connection, ++requestCount, bytes);
      });
      accept();
    });
  }
  explicit PartialReader(decltype(handler) requestHandler) : handler(std::move(requestHandler)) {
    acceptor = std::make_shared<tcp::acceptor>(EventLoop::get().io());
    acceptor->open(tcp::v4());
    acceptor->set_option(asio::socket_base::receive_buffer_size(8192));
    acceptor->bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor->listen();
    accept();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor->local_endpoint().port()); }
};
void readAll(Connection& connection, std::string bytes, std::size_t bodyBytes) {
  auto remaining = bytes.find("\r\n\r\n") + 4 + bodyBytes - bytes.size();
  while (remaining > 0) {
    bytes.clear();
    if (!FailureScenario::readMore(connection, bytes, 4096))
      return;
    remaining -= std::min(remaining, bytes.size());
  }
}
}  // namespace
TEST(Retry, APartiallySentBodyMayHaveRun) {
  const std::string body(24U << 20, 'b');
  for (const char* path : {"/safe/x", "/once/x"})
    // Variants of the first attempt: 0 resets the connection, 1 closes it, 2 answers `X-Not-Executed` and resets it.
    for (int variant = 0; variant < 3; ++variant)
      withProxy([&](TestProxy& proxy) {
        allowLargeBodies(proxy);
        // Never freed because the fibers of the runner may outlive the test.
        auto& runner =
            *new PartialReader([variant, &body](Connection& connection, int requestNumber, const std::string& bytes) {
              if (requestNumber == 1 && variant == 0)
                return FailureScenario::resetConnection(connection);
              if (requestNumber == 1 && variant == 1)
                return connection.close();
              if (requestNumber == 1) {
                sendBytes(connection, completeResponse("a1", "full", 503, "X-Not-Executed: 1\r\n"));
                return FailureScenario::resetConnection(connection);
              }
              readAll(connection, bytes, body.size());
              sendBytes(connection, completeResponse("a1", "ran"));
            });
        proxy.context.runners.setRunners(
            {Runner{"i-1", "s", runner.address(), "z", 4, 1, 0}, Runner{"i-2", "s", runner.address(), "z", 4, 1, 0}});
        const auto response = sendRequest(proxy, requestText(path, "a1", "", body));
        const bool safe = std::string_view(path) == "/safe/x";
        // The reset may discard the runner's "not executed" response. Then the request may have run.
        if (variant == 2 && runner.requestCount == 2) {
          EXPECT_EQ(response.body, "ran") << path;
        } else if (safe) {
          EXPECT_EQ(runner.requestCount, 2) << variant;
          EXPECT_EQ(response.body, "ran") << variant;
        } else {
          EXPECT_EQ(runner.requestCount, 1) << variant;
          EXPECT_EQ(response.status, 502) << variant;
        }
      });
}
// The proxy relies on the number of bytes that a failed write has sent: only after zero bytes it is certain that
// nothing has arrived.
TEST(Retry, AWriteReturnsHowManyBytesWereSent) {
  withProxy([](TestProxy&) {
    tcp::acceptor acceptor(EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Connection connection;
    SocketError ec;
    connection.connect(acceptor.local_endpoint(), ec);
    ASSERT_FALSE(ec);
    {
      Connection peer(acceptor.accept());
      EXPECT_EQ(connection.write(asio::buffer("abc", 3), ec), 3U);
      EXPECT_FALSE(ec);
      char got[3];
      EXPECT_EQ(peer.read(asio::buffer(got), ec), 3U);
      FailureScenario::resetConnection(peer);
    }
    connection.awaitReadable(ec);
    EXPECT_EQ(connection.write(asio::buffer("abc", 3), ec), 0U);
    EXPECT_TRUE(ec);
  });
}

// A node of the partner site counts as one of the runners of a request.

namespace {
std::shared_ptr<const Configuration> partnerRoutes(int maxAttempts) {
  return *parseConfiguration(R"({"configVersion":7,"routeTable":[
    {"label":"recap","authority":"h.example","pathPrefix":"/recap/","routeType":"stream","streamResume":true,"sessionAffinity":true,"expiryMs":20000,"targetLatencyMs":2000,"targetService":"s","maxAttempts":)" +
                             std::to_string(maxAttempts) + R"(,"keyless":true}],
    "serviceTable":[{"label":"s","engine":{"capacity":8,"kvCapacity":400000,"modelList":[{"label":"m"}]}}],"subscribers":[]})");
}
const std::string kLongPrompt = "X-Model: m\r\nX-Token-Count: 9000,80\r\nX-Prompt-Prefix: aa:6000,bb:3000\r\n";
}  // namespace
TEST(Retry, WhatAPartnerSiteMayHaveRunIsNotReportedAsNotRun) {
  withProxy([](TestProxy& proxy) {
    proxy.context.configuration = partnerRoutes(2);
    int partnerRequests = 0;
    auto& partner =
        *new PartialReader([&partnerRequests](Connection& connection, int requestNumber, const std::string&) {
          partnerRequests = requestNumber, connection.close();
        });
    proxy.context.lookupPartner = [&](std::uint64_t, const std::string&) { return partner.address(); };
    const auto response = sendRequest(proxy, requestText("/recap/x", "a1", kLongPrompt, "", ""));
    EXPECT_EQ(partnerRequests, 1);
    EXPECT_EQ(response.status, 502) << "503 would state that the request has not run";
  });
}
// The line before a chunk may arrive in two parts. Without a read between the two attempts to parse it the event loop
// would stand still for ever.
TEST(Retry, ThePartOfAPartnersChunkLineThatIsMissingIsAwaited) {
  withProxy([](TestProxy& proxy) {
    proxy.context.configuration = partnerRoutes(2);
    auto& partner = *new PartialReader([](Connection& connection, int, const std::string&) {
      const auto body = chunk(event(1));
      sendBytes(connection, streamHeader("a1") + body.substr(0, 1));
      EventLoop::get().sleepFor(10ms);
      sendBytes(connection, body.substr(1) + "0\r\n\r\n");
    });
    proxy.context.lookupPartner = [&](std::uint64_t, const std::string&) { return partner.address(); };
    const auto response = sendRequest(proxy, requestText("/recap/x", "a1", kLongPrompt, "", ""));
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(response.body, event(1));
  });
}
TEST(Retry, APartnerSiteCountsAmongTheRunnersOfARequest) {
  for (int maxAttempts : {1, 2, 3})
    withProxy([maxAttempts](TestProxy& proxy) {
      proxy.context.configuration = partnerRoutes(maxAttempts);
      proxy.fillRetryReserve(8, 12);
      int requestCount = 0;
      auto& partner = *new PartialReader(
          [&requestCount](Connection& connection, int, const std::string&) { ++requestCount, connection.close(); });
      proxy.context.lookupPartner = [&](std::uint64_t, const std::string&) { return partner.address(); };
      for (int i = 0; i < 4; ++i)
        proxy.runner("i-" + std::to_string(i),
                     [&requestCount](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
                       ++requestCount;
                       connection.close();
                     });
      EXPECT_EQ(sendRequest(proxy, requestText("/recap/x", "a1", kLongPrompt, "", "")).status, 502);
      EXPECT_EQ(requestCount, maxAttempts);
    });
}
// A request that a partner site forwarded goes to at most one runner here, because the partner site's own runners count
// as well.
TEST(Retry, ARequestFromAPartnerSiteGoesToOneRunner) {
  withProxy([](TestProxy& proxy) {
    proxy.fillRetryReserve(8, 12);
    int requestCount = 0;
    for (int i = 0; i < 3; ++i)
      proxy.runner("i-" + std::to_string(i),
                   [&requestCount](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
                     ++requestCount;
                     connection.close();
                   });
    EXPECT_EQ(sendRequest(proxy, requestText("/resume/x", "a1", "X-Partner-Site: 1\r\n")).status, 502);
    EXPECT_EQ(requestCount, 1);
  });
}

// A pooled connection is not reused if the runner has closed it or has sent unsolicited bytes while it was idle.
TEST(Retry, AnIdleConnectionThatIsNoLongerCleanIsNotReused) {
  for (const char* path : {"/safe/x", "/once/x", "/stream/x", "/resume/x"}) {
    // Variants: 0 resets the idle connection, 1 closes it, 2 sends an unsolicited response on it.
    for (int variant = 0; variant < 3; ++variant) {
      withProxy([&](TestProxy& proxy) {
        const auto kind = std::string_view(path) == "/safe/x" || std::string_view(path) == "/once/x" ? CallKind::safe
                                                                                                     : CallKind::stream;
        Waiter unclean;
        auto runner = proxy.runner(
            "i-1", [&](FakeRunner& self, Connection& connection, const std::string& id, const std::string&) {
              sendBytes(connection, correctResponse(kind, id));
              if (self.receivedRequests.size() > 1)
                return;
              EventLoop::get().sleepFor(3ms);
              if (variant == 0)
                FailureScenario::resetConnection(connection);
              else if (variant == 1)
                connection.close();
              else
                sendBytes(connection, correctResponse(kind, "late"));
              unclean.wake();
            });
        EXPECT_EQ(sendRequest(proxy, requestText(path, "a1")).body, correctBody(kind, "a1"));
        EXPECT_TRUE(EventLoop::get().waitFor(unclean, 3000ms));
        EventLoop::get().sleepFor(2ms);
        const auto response = sendRequest(proxy, requestText(path, "a2"));
        EXPECT_EQ(response.status, 200) << path << " " << variant;
        EXPECT_EQ(response.body, correctBody(kind, "a2")) << path << " " << variant;
        EXPECT_EQ(runner->receivedRequests.size(), 2U) << "each request was sent once";
        EXPECT_EQ(runner->connections, 2);
      });
    }
  }
}
