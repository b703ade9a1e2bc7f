// The phases after SIGTERM: their times, and what a proxy does with connections and requests in each of them.
#include "proxy/graceful_shutdown.hpp"

#include "standins.hpp"
#include "transport/listener.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::transport;
using namespace zinccleat::standin;

namespace {
const TimePoint kTerminated = TimePoint{} + 1h;
GracefulShutdown begunWith(Duration grace) {
  GracefulShutdown shutdown;
  shutdown.begin(kTerminated, grace);
  return shutdown;
}
// Begun so long ago that requests are no longer accepted.
void stopTakingRequests(ProxyContext& context) {
  context.shutdown.begin(Clock::now() - kNotReadyDuration, 8s);
}
// Whether the peer closes the connection before it sends anything.
bool endsSilently(Connection& connection) {
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
  EXPECT_EQ(shutdown.phase(kTerminated), ShutdownPhase::serving);
  EXPECT_TRUE(shutdown.acceptsRequests(kTerminated));
  EXPECT_FALSE(shutdown.mayExit(kTerminated, 0, 0));
}
TEST(GracefulShutdown, PhasesFollowEachOther) {
  const auto shutdown = begunWith(8s);
  const std::pair<Duration, ShutdownPhase> table[] = {
      {0ms, ShutdownPhase::notReady},        {2599ms, ShutdownPhase::notReady}, {2600ms, ShutdownPhase::notAccepting},
      {2999ms, ShutdownPhase::notAccepting}, {3000ms, ShutdownPhase::draining}, {7199ms, ShutdownPhase::draining},
      {7200ms, ShutdownPhase::exiting},
  };
  for (auto& [after, phase] : table)
    EXPECT_EQ(shutdown.phase(kTerminated + after), phase) << after.count() << " ms";
}
// The rule LOST forgives a cut response only for requests that were sent no later than 3 s after SIGTERM and at which a
// runner still worked in the second half of `graceS`.
TEST(GracefulShutdown, AcceptsNothingThatLostWouldCount) {
  for (Duration grace = 200ms; grace <= 60s; grace += 200ms) {
    const auto shutdown = begunWith(grace);
    for (Duration after = 0ms; after <= grace; after += 50ms) {
      const auto now = kTerminated + after;
      const bool lostWouldCount = after >= 3s || after >= grace / 2;
      EXPECT_FALSE(lostWouldCount && shutdown.acceptsRequests(now)) << grace.count() << ", " << after.count();
    }
    EXPECT_TRUE(shutdown.mayExit(kTerminated + grace * 9 / 10, 1, 1)) << "it ends before it is killed";
  }
}
TEST(GracefulShutdown, OnlyTheFirstSigtermCounts) {
  auto shutdown = begunWith(8s);
  EXPECT_FALSE(shutdown.begin(kTerminated + 2s, 8s));
  EXPECT_EQ(shutdown.phase(kTerminated + kNotReadyDuration), ShutdownPhase::notAccepting);
}
TEST(GracefulShutdown, ExitsOnceNothingIsInFlight) {
  const auto shutdown = begunWith(8s);
  EXPECT_FALSE(shutdown.mayExit(kTerminated, 0, 0)) << "callers may still come";
  EXPECT_FALSE(shutdown.mayExit(kTerminated + 2600ms, 1, 0)) << "a request may be half read";
  EXPECT_TRUE(shutdown.mayExit(kTerminated + 2600ms, 0, 0));
  EXPECT_FALSE(shutdown.mayExit(kTerminated + 3s, 2, 1));
  EXPECT_TRUE(shutdown.mayExit(kTerminated + 3s, 1, 0));
  EXPECT_TRUE(shutdown.mayExit(kTerminated + 7200ms, 2, 1));
}

TEST(GracefulShutdown, NotReadyStillServesAndClosesAfterwards) {
  withProxy([](TestProxy& h) {
    auto runner = h.runner("i-1", answers);
    auto client = h.dial();
    Buffer buffer;
    say(*client, ask("/once/x", "a1"));
    EXPECT_EQ(hear(*client, buffer).status, 200);
    h.context.shutdown.begin(Clock::now(), 8s);
    say(*client, ask("/once/x", "a2"));
    const auto onIdleConnection = hear(*client, buffer);
    const auto onNewConnection = once(h, ask("/once/x", "a3"));
    for (const auto& answer : {onIdleConnection, onNewConnection}) {
      EXPECT_EQ(answer.status, 200);
      EXPECT_EQ(answer.heads.at("Connection"), "close");
    }
    EXPECT_EQ(runner->got.size(), 3U);
  });
}
TEST(GracefulShutdown, ARequestThatArrivesLateIsRejectedAndReachesNoRunner) {
  for (const char* path : {"/once/x", "/safe/x", "/resume/x"})
    withProxy([path](TestProxy& h) {
      auto runner = h.runner("i-1", answers);
      auto idle = h.dial();
      Buffer buffer;
      say(*idle, ask("/safe/x", "a1"));
      EXPECT_EQ(hear(*idle, buffer).status, 200);
      stopTakingRequests(h.context);
      say(*idle, ask(path, "a2"));
      const auto onIdleConnection = hear(*idle, buffer);
      const auto onNewConnection = once(h, ask(path, "a2"));
      for (const auto& answer : {onIdleConnection, onNewConnection}) {
        EXPECT_EQ(answer.status, 503) << path;
        EXPECT_EQ(answer.heads.at("X-Attempt-Id"), "a2") << path;
        EXPECT_TRUE(answer.heads.contains("Retry-After")) << path;
        EXPECT_EQ(answer.heads.at("Connection"), "close") << path;
      }
      EXPECT_TRUE(endsSilently(*idle)) << path;
      EXPECT_EQ(runner->got.size(), 1U) << path;
    });
}
TEST(GracefulShutdown, ARequestHalfReadWhenThePhaseBeginsIsAnswered) {
  withProxy([](TestProxy& h) {
    auto runner = h.runner("i-1", answers);
    const auto request = ask("/once/x", "a2", "", "hello");
    auto client = h.dial();
    Buffer buffer;
    say(*client, ask("/once/x", "a1") + request.substr(0, request.size() - 2));
    EXPECT_EQ(hear(*client, buffer).status, 200);
    stopTakingRequests(h.context);
    h.context.idleConnections.limitIdleTime(Duration(0));
    say(*client, request.substr(request.size() - 2));
    EXPECT_EQ(hear(*client, buffer).status, 503);
    EXPECT_EQ(runner->got.size(), 1U);
  });
}
TEST(GracefulShutdown, IdleConnectionsAreClosed) {
  withProxy([](TestProxy& h) {
    h.runner("i-1", answers);
    auto used = h.dial();
    Buffer buffer;
    say(*used, ask("/safe/x"));
    EXPECT_EQ(hear(*used, buffer).status, 200);
    EXPECT_EQ(h.context.idleConnections.size(), 1U);
    stopTakingRequests(h.context);
    h.context.idleConnections.limitIdleTime(kIdleTimeoutWhileDraining);
    EXPECT_TRUE(endsSilently(*used));
    EXPECT_EQ(h.context.idleConnections.size(), 0U);
    EXPECT_EQ(h.context.clients, 0);
  });
}
// The client sends in the very turn in which its connection is closed as idle.
TEST(GracefulShutdown, BytesThatCameBeforeTheCloseAreStillAnswered) {
  withProxy([](TestProxy& h) {
    auto runner = h.runner("i-1", answers);
    auto client = h.dial();
    Buffer buffer;
    say(*client, ask("/once/x", "a1"));
    EXPECT_EQ(hear(*client, buffer).status, 200);
    stopTakingRequests(h.context);
    h.context.idleConnections.limitIdleTime(Duration(0));
    say(*client, ask("/once/x", "a2"));
    EXPECT_EQ(hear(*client, buffer).status, 503);
    EXPECT_EQ(runner->got.size(), 1U);
  });
}
TEST(GracefulShutdown, RequestsInFlightAreCompleted) {
  for (const char* path : {"/once/x", "/stream/x", "/resume/x"})
    withProxy([path](TestProxy& h) {
      h.runner("i-1", [&h](StandIn&, Connection& connection, const std::string& id, const std::string&) {
        say(connection, streamHead(id) + chunk(event(1)));
        stopTakingRequests(h.context);
        h.context.idleConnections.limitIdleTime(Duration(0));
        EXPECT_EQ(once(h, ask("/safe/x", "late")).status, 503);
        EXPECT_FALSE(h.context.shutdown.mayExit(Clock::now(), h.context.clients, h.context.inFlight));
        say(connection, chunk(event(2)) + "0\r\n\r\n");
      });
      const auto answer = once(h, ask(path));
      EXPECT_EQ(answer.status, 200) << path;
      EXPECT_TRUE(answer.bodyComplete) << path;
      EXPECT_EQ(answer.body, event(1) + event(2)) << path;
      EXPECT_EQ(h.context.inFlight, 0) << path;
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
    EXPECT_TRUE(endsSilently(before));
    listener->close();
    listener->close();
    Connection after;
    after.connect(endpoint, ec);
    EXPECT_TRUE(ec);
    EXPECT_EQ(accepted, 1);
  });
}
