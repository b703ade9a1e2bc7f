// Guards against a process that cannot start because a connection holds its listening address: an outgoing connection
// of a process on the same machine gets its local port from the system, which may be the port of a process that is just
// restarting; and a process that dials an address of its own machine on which nobody listens may be connected to
// itself.
#include <gtest/gtest.h>

#include "runtime/event_loop.hpp"
#include "transport/dialer.hpp"
#include "transport/listener.hpp"

namespace zinccleat {
namespace {
const auto kLoopback = asio::ip::make_address("127.0.0.1");

/// Runs a function on a fiber of the event loop.
void onEventLoop(const std::function<void()>& body) {
  auto& loop = runtime::EventLoop::get();
  loop.spawn([&] {
    body();
    loop.stop();
  });
  loop.run();
}
/// A listener that keeps what it accepts open.
struct Server {
  std::vector<tcp::socket> accepted;
  transport::Listener listener =
      *transport::openListener({kLoopback, 0}, [this](tcp::socket socket) { accepted.push_back(std::move(socket)); });
};
/// A connection whose local endpoint the system has chosen.
std::unique_ptr<runtime::Connection> connectTo(const tcp::endpoint& endpoint) {
  auto connection = std::make_unique<runtime::Connection>();
  runtime::SocketError ec;
  connection->connect(endpoint, ec);
  EXPECT_FALSE(ec) << ec.message();
  return connection;
}
}  // namespace

TEST(LocalAddress, AnOutgoingConnectionDoesNotHoldItsPortAgainstAListener) {
  onEventLoop([] {
    Server server;
    const auto connection = connectTo(server.listener.endpoint());
    const auto local = connection->socket().local_endpoint();
    auto listener = transport::openListener(local, [](const tcp::socket&) {});
    ASSERT_TRUE(listener) << listener.error().message;
    listener->close();
  });
}
// After its close a connection keeps its port for a minute (TIME_WAIT), far longer than a start waits.
TEST(LocalAddress, AClosedConnectionDoesNotHoldItsPortAgainstAListener) {
  onEventLoop([] {
    Server server;
    auto connection = connectTo(server.listener.endpoint());
    const auto local = connection->socket().local_endpoint();
    connection->close();
    runtime::EventLoop::get().sleepFor(20ms);
    server.accepted.clear();
    runtime::EventLoop::get().sleepFor(20ms);
    auto listener = transport::openListener(local, [](const tcp::socket&) {});
    ASSERT_TRUE(listener) << listener.error().message;
    listener->close();
  });
}
// The system may choose the destination's own port as the local one. The port is bound here, so that it always does.
TEST(LocalAddress, AConnectionToItselfCountsAsRefused) {
  onEventLoop([] {
    runtime::Connection connection;
    connection.socket().open(tcp::v4());
    connection.socket().bind({kLoopback, 0});
    const auto local = connection.socket().local_endpoint();
    runtime::SocketError ec;
    connection.connect(local, ec);
    EXPECT_EQ(ec, asio::error::connection_refused);
    EXPECT_FALSE(connection.socket().is_open()) << "the address is free for its listener";
    auto listener = transport::openListener(local, [](const tcp::socket&) {});
    ASSERT_TRUE(listener) << listener.error().message;
    listener->close();
  });
}
}  // namespace zinccleat
