/// Fibers, timers and connections of the event loop, lifecycle signals, and parsing of endpoints.
#include <gtest/gtest.h>

#include <csignal>

#include "runtime/event_loop.hpp"
#include "runtime/lifecycle.hpp"
#include "transport/listener.hpp"

using namespace zinccleat;
using namespace zinccleat::runtime;
namespace {
constexpr std::size_t kTakenAtOnce = std::size_t{64} * 1024;
/// Runs a function on a fiber of the event loop, and stops the loop afterwards.
void onFiber(const std::function<void()>& body) {
  bool finished = false;
  EventLoop::get().spawn([&] {
    body();
    finished = true;
    EventLoop::get().stop();
  });
  EventLoop::get().run();
  EXPECT_TRUE(finished);
}
}  // namespace

TEST(Waiter, ReturnsAtOnceIfItWasWokenBefore) {
  onFiber([] {
    Waiter waiter;
    waiter.wake();
    EXPECT_TRUE(waiter.woken());
    waiter.wait();
    EXPECT_FALSE(waiter.woken()) << "the waiter can be reused";
  });
}
TEST(EventLoop, WaitForTellsWhetherTheWaiterWasWokenInTime) {
  onFiber([] {
    Waiter neverWoken;
    EXPECT_FALSE(EventLoop::get().waitFor(neverWoken, 5ms));

    Waiter woken;
    EventLoop::get().spawn([&] { woken.wake(); });
    const auto started = Clock::now();
    EXPECT_TRUE(EventLoop::get().waitFor(woken, 60s));
    EXPECT_LT(Clock::now() - started, 30s);
  });
}
TEST(EventLoop, CallsAtAnIntervalUntilItIsStopped) {
  int calls = 0;
  EventLoop::get().spawn([&] {
    EventLoop::get().callEvery(1ms, [&] {
      if (++calls == 3)
        EventLoop::get().stop();
    });
  });
  EventLoop::get().run();
  EXPECT_EQ(calls, 3);

  onFiber([] { EventLoop::get().sleepFor(20ms); });
  EXPECT_EQ(calls, 3) << "a stopped loop makes no further calls";
}
TEST(Connection, ADeadlineEndsTheOperationUnderWay) {
  onFiber([] {
    tcp::acceptor silent(EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    Connection connection;
    SocketError ec;
    connection.connect(silent.local_endpoint(), ec);
    ASSERT_FALSE(ec);

    connection.setDeadline(Clock::now() + 30ms);
    char byte = 0;
    EXPECT_EQ(connection.read(asio::buffer(&byte, 1), ec), 0U);

    EXPECT_TRUE(ec);
    EXPECT_TRUE(connection.deadlineExceeded());
  });
}

// Nothing was cancelled at the deadline if the next bytes of the peer were always there: the peer sent on for many
// times the time that it had.
TEST(Connection, AfterTheDeadlineNothingIsReadThoughThePeersBytesAreThere) {
  onFiber([] {
    std::optional<Connection> peer;
    auto listener = *transport::openListener({asio::ip::make_address("127.0.0.1"), 0},
                                             [&](tcp::socket socket) { peer.emplace(std::move(socket)); });
    Connection connection;
    SocketError ec;
    connection.connect(listener.endpoint(), ec);
    connection.write(asio::buffer(std::string(1000, 'x')), ec);
    while (!peer)
      EventLoop::get().sleepFor(1ms);
    peer->awaitReadable(ec);
    ASSERT_FALSE(ec);

    char byte = 0;
    peer->setDeadline(Clock::now() - 1ms);
    EXPECT_EQ(peer->read(asio::buffer(&byte, 1), ec), 0U);
    EXPECT_EQ(ec, asio::error::operation_aborted);
    EXPECT_TRUE(peer->deadlineExceeded());
    EXPECT_EQ(peer->write(asio::buffer(&byte, 1), ec), 0U);
    EXPECT_EQ(ec, asio::error::operation_aborted);
    peer->setDeadline(Clock::now() + 60s);
    EXPECT_EQ(peer->read(asio::buffer(&byte, 1), ec), 1U) << "a later deadline allows it again";
    listener.close();
  });
}
TEST(Connection, AWriteEndsAtTheDeadlineThoughThePeerTakesEachPart) {
  onFiber([] {
    std::optional<Connection> peer;
    auto listener = *transport::openListener({asio::ip::make_address("127.0.0.1"), 0},
                                             [&](tcp::socket socket) { peer.emplace(std::move(socket)); });
    Connection connection;
    SocketError ec;
    connection.connect(listener.endpoint(), ec);
    while (!peer)
      EventLoop::get().sleepFor(1ms);
    bool ended = false;
    EventLoop::get().spawn([&] {
      std::vector<char> part(kTakenAtOnce);
      SocketError ignored;
      while (connection.read(asio::buffer(part), ignored) > 0)
        peer->setDeadline(Clock::now() - 1ms);
      ended = true;
    });
    const std::string message(64 * kTakenAtOnce, 'x');
    EXPECT_LT(peer->write(asio::buffer(message), ec), message.size());
    EXPECT_EQ(ec, asio::error::operation_aborted);
    EXPECT_TRUE(peer->deadlineExceeded());
    peer->close();
    while (!ended)
      EventLoop::get().sleepFor(1ms);
    listener.close();
  });
}

// Regression: SIGHUP killed a process that had not installed its signal handlers yet or had left its event loop.
TEST(Lifecycle, ASignalThatComesWhileTheProcessStartsIsHandledOnceItRuns) {
  static int reloads = 0;
  blockLifecycleSignals();
  ASSERT_EQ(::raise(SIGHUP), 0);
  onFiber([] {
    watchLifecycle("", {.onTerminate = [] {}, .onReloadSettings = [] { ++reloads; }});
    for (const auto end = Clock::now() + 10s; reloads == 0 && Clock::now() < end;)
      EventLoop::get().sleepFor(1ms);
  });
  EXPECT_EQ(reloads, 1);
  blockLifecycleSignals();
  ASSERT_EQ(::raise(SIGHUP), 0) << "like a signal after the end of the event loop";
}
TEST(ParseEndpoint, ReadsAddressAndPort) {
  const auto endpoint = parseEndpoint("127.0.0.1:8405");
  ASSERT_TRUE(endpoint);
  EXPECT_EQ(endpoint->address().to_string(), "127.0.0.1");
  EXPECT_EQ(endpoint->port(), 8405);
  EXPECT_EQ(parseEndpoint("127.0.0.1:65535")->port(), 65535);
  EXPECT_EQ(parseEndpoint("127.0.0.1:0080")->port(), 80);
}
class ParseEndpointRejects : public testing::TestWithParam<const char*> {};
TEST_P(ParseEndpointRejects, AnythingElse) {
  const auto endpoint = parseEndpoint(GetParam());
  ASSERT_FALSE(endpoint);
  EXPECT_EQ(endpoint.error().code, ErrorCode::invalidArgument);
}
INSTANTIATE_TEST_SUITE_P(Texts, ParseEndpointRejects,
                         testing::Values("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
                                         "127.0.0.1:99999999999", "127.0.0.1:-1", "127.0.0.1:+1", "127.0.0.1:80x",
                                         "127.0.0.1: 80", "localhost:80", ":80"));
