// The phases after SIGTERM: when each phase begins, and how a proxy treats connections and requests in each phase.
#include "proxy/graceful_shutdown.hpp"

#include "standins.hpp"
#include "transport/listener.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::transport;
using namespace zinccleat::proxy_testing;

namespace {
const TimePoint kSigtermAt = TimePoint{} + 1h;
GracefulShutdown shutdownWithGrace(Duration grace) {
  GracefulShutdown shutdown;
  shutdown.begin(kSigtermAt, grace);
  return shutdown;
}
// Starts the shutdown with a start time so far in the past that requests are no longer accepted.
void stopAcceptingRequests(ProxyContext& context) {
  context.shutdown.begin(Clock::now() - kNotReadyDuration, 8s);
}
// Whether the peer closes the connection without sending anything.
bool closesWithoutResponse(Connection& connection) {
  SocketError ec;
  char byte = 0;
  connection.setDeadline(Clock::now() + 20s);
  connection.read(asio::buffer(&byte, 1), ec);
  connection.clearDeadline();
  return ec == asio::error::eof;
}
}  // namespace

TEST(GracefulShutdown, ServesUntilSigterm) {
  GracefulShutdown shutdown;
  EXPECT_FALSE(shutdown.begun());
  EXPECT_EQ(shutdown.phase(kSigtermAt), ShutdownPhase::serving);
  EXPECT_TRUE(shutdown.acceptsRequests(kSigtermAt));
  EXPECT_FALSE(shutdown.mayExit(kSigtermAt, 0, 0));
}
TEST(GracefulShutdown, PhasesFollowEachOther) {
  const auto shutdown = shutdownWithGrace(8s);
  const std::pair<Duration, ShutdownPhase> table[] = {
      {0ms, ShutdownPhase::notReady},        {2599ms, ShutdownPhase::notReady}, {2600ms, ShutdownPhase::notAccepting},
      {2999ms, ShutdownPhase::notAccepting}, {3000ms, ShutdownPhase::draining}, {7199ms, ShutdownPhase::draining},
      {7200ms, ShutdownPhase::exiting},
  };
  for (auto& [after, phase] : table)
    EXPECT_EQ(shutdown.phase(kSigtermAt + after), phase) << after.count() << " ms";
}
// The rule LOST forgives a cut response only if the request was sent no later than 3 s after SIGTERM and a runner was
// still processing it in the second half of `graceS`.
TEST(GracefulShutdown, AcceptsNothingThatLostWouldCount) {
  for (Duration grace = 200ms; grace <= 60s; grace += 200ms) {
    const auto shutdown = shutdownWithGrace(grace);
    for (Duration after = 0ms; after <= grace; after += 50ms) {
      const auto now = kSigtermAt + after;
      const bool lostWouldCount = after >= 3s || after >= grace / 2;
      EXPECT_FALSE(lostWouldCount && shutdown.acceptsRequests(now)) << grace.count() << ", " << after.count();
    }
    EXPECT_TRUE(shutdown.mayExit(kSigtermAt + grace * 9 / 10, 1, 1))
        << "the process exits before the platform kills it";
  }
}
TEST(GracefulShutdown, OnlyTheFirstSigtermCounts) {
  auto shutdown = shutdownWithGrace(8s);
  EXPECT_FALSE(shutdown.begin(kSigtermAt + 2s, 8s));
  EXPECT_EQ(shutdown.phase(kSigtermAt + kNotReadyDuration), ShutdownPhase::notAccepting);
}
TEST(GracefulShutdown, ExitsOnceNothingIsInFlight) {
  const auto shutdown = shutdownWithGrace(8s);
  EXPECT_FALSE(shutdown.mayExit(kSigtermAt, 0, 0)) << "callers may still send requests";
  EXPECT_FALSE(shutdown.mayExit(kSigtermAt + 2600ms, 1, 0)) << "a request may have been read partly";
  EXPECT_TRUE(shutdown.mayExit(kSigtermAt + 2600ms, 0, 0));
  EXPECT_FALSE(shutdown.mayExit(kSigtermAt + 3s, 2, 1));
  EXPECT_TRUE(shutdown.mayExit(kSigtermAt + 3s, 1, 0));
  EXPECT_TRUE(shutdown.mayExit(kSigtermAt + 7200ms, 2, 1));
}

TEST(GracefulShutdown, NotReadyStillServesAndClosesAfterwards) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    auto client = proxy.connectClient();
    Buffer buffer;
    sendBytes(*client, requestText("/once/x", "a1"));
    EXPECT_EQ(readResponse(*client, buffer).status, 200);
    proxy.context.shutdown.begin(Clock::now(), 8s);
    sendBytes(*client, requestText("/once/x", "a2"));
    const auto onIdleConnection = readResponse(*client, buffer);
    const auto onNewConnection = sendRequest(proxy, requestText("/once/x", "a3"));
    for (const auto& answer : {onIdleConnection, onNewConnection}) {
      EXPECT_EQ(answer.status, 200);
      EXPECT_EQ(answer.headers.at("Connection"), "close");
    }
    EXPECT_EQ(runner->receivedRequests.size(), 3U);
  });
}
TEST(GracefulShutdown, ARequestThatArrivesLateIsRejectedAndReachesNoRunner) {
  for (const char* path : {"/once/x", "/safe/x", "/resume/x"})
    withProxy([path](TestProxy& proxy) {
      auto runner = proxy.runner("i-1", respondOk);
      auto idle = proxy.connectClient();
      Buffer buffer;
      sendBytes(*idle, requestText("/safe/x", "a1"));
      EXPECT_EQ(readResponse(*idle, buffer).status, 200);
      stopAcceptingRequests(proxy.context);
      sendBytes(*idle, requestText(path, "a2"));
      const auto onIdleConnection = readResponse(*idle, buffer);
      const auto onNewConnection = sendRequest(proxy, requestText(path, "a2"));
      for (const auto& answer : {onIdleConnection, onNewConnection}) {
        EXPECT_EQ(answer.status, 503) << path;
        EXPECT_EQ(answer.headers.at("X-Attempt-Id"), "a2") << path;
        EXPECT_TRUE(answer.headers.contains("Retry-After")) << path;
        EXPECT_EQ(answer.headers.at("Connection"), "close") << path;
      }
      EXPECT_TRUE(closesWithoutResponse(*idle)) << path;
      EXPECT_EQ(runner->receivedRequests.size(), 1U) << path;
    });
}
TEST(GracefulShutdown, ARequestHalfReadWhenThePhaseBeginsIsAnswered) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    const auto request = requestText("/once/x", "a2", "", "hello");
    auto client = proxy.connectClient();
    Buffer buffer;
    sendBytes(*client, requestText("/once/x", "a1") + request.substr(0, request.size() - 2));
    EXPECT_EQ(readResponse(*client, buffer).status, 200);
    stopAcceptingRequests(proxy.context);
    proxy.context.idleConnections.limitIdleTime(Duration(0));
    sendBytes(*client, request.substr(request.size() - 2));
    EXPECT_EQ(readResponse(*client, buffer).status, 503);
    EXPECT_EQ(runner->receivedRequests.size(), 1U);
  });
}
TEST(GracefulShutdown, IdleConnectionsAreClosed) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", respondOk);
    auto used = proxy.connectClient();
    Buffer buffer;
    sendBytes(*used, requestText("/safe/x"));
    EXPECT_EQ(readResponse(*used, buffer).status, 200);
    EXPECT_EQ(proxy.context.idleConnections.size(), 1U);
    stopAcceptingRequests(proxy.context);
    proxy.context.idleConnections.limitIdleTime(kIdleTimeoutWhileDraining);
    EXPECT_TRUE(closesWithoutResponse(*used));
    EXPECT_EQ(proxy.context.idleConnections.size(), 0U);
    EXPECT_EQ(proxy.context.clients, 0);
  });
}
// The client sends a request in the same event loop iteration in which its connection is closed as idle.
TEST(GracefulShutdown, BytesThatCameBeforeTheCloseAreStillAnswered) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    auto client = proxy.connectClient();
    Buffer buffer;
    sendBytes(*client, requestText("/once/x", "a1"));
    EXPECT_EQ(readResponse(*client, buffer).status, 200);
    stopAcceptingRequests(proxy.context);
    proxy.context.idleConnections.limitIdleTime(Duration(0));
    sendBytes(*client, requestText("/once/x", "a2"));
    EXPECT_EQ(readResponse(*client, buffer).status, 503);
    EXPECT_EQ(runner->receivedRequests.size(), 1U);
  });
}
TEST(GracefulShutdown, RequestsInFlightAreCompleted) {
  for (const char* path : {"/once/x", "/stream/x", "/resume/x"})
    withProxy([path](TestProxy& proxy) {
      proxy.runner("i-1", [&proxy](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        sendBytes(connection, streamHeader(id) + chunk(event(1)));
        stopAcceptingRequests(proxy.context);
        proxy.context.idleConnections.limitIdleTime(Duration(0));
        EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "late")).status, 503);
        EXPECT_FALSE(proxy.context.shutdown.mayExit(Clock::now(), proxy.context.clients, proxy.context.inFlight));
        sendBytes(connection, chunk(event(2)) + "0\r\n\r\n");
      });
      const auto answer = sendRequest(proxy, requestText(path));
      EXPECT_EQ(answer.status, 200) << path;
      EXPECT_TRUE(answer.bodyComplete) << path;
      EXPECT_EQ(answer.body, event(1) + event(2)) << path;
      EXPECT_EQ(proxy.context.inFlight, 0) << path;
    });
}
TEST(GracefulShutdown, AClosedListenerRefusesConnections) {
  withProxy([](TestProxy&) {
    int accepted = 0;
    auto listener =
        openListener({asio::ip::make_address("127.0.0.1"), 0}, [&accepted](const tcp::socket&) { ++accepted; });
    ASSERT_TRUE(listener.has_value());
    const auto endpoint = listener->endpoint();
    SocketError ec;
    Connection before;
    before.connect(endpoint, ec);
    EXPECT_FALSE(ec);
    EXPECT_TRUE(closesWithoutResponse(before));
    listener->close();
    listener->close();
    Connection after;
    after.connect(endpoint, ec);
    EXPECT_TRUE(ec);
    EXPECT_EQ(accepted, 1);
  });
}
