/// @file
/// Tests of the control server on real connections before and after it stops accepting calls.
#include "control_server.hpp"

#include "fake_controller.hpp"
#include "standins.hpp"
#include "transport/listener.hpp"

using namespace zinccleat;
using namespace zinccleat::controller;
using namespace zinccleat::controller_testing;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::transport;
using proxy_testing::readResponse;
using proxy_testing::sendBytes;

namespace {
/// A controller whose writes wait until the test releases them.
struct SlowController final : FakeController {
  Waiter writing;  // woken when a write has arrived
  Waiter mayWrite;
  bool writeArrived = false;
  Result<ReplicatedState::Verdict> write(LogEntry entry, Duration within) override {
    writeArrived = true;
    writing.wake();
    mayWrite.wait();
    return FakeController::write(std::move(entry), within);
  }
};
struct TestServer {
  SlowController core;
  ControlServer control{core, "10.0.0.4:8080"};
  Listener listener = *openListener({asio::ip::make_address("127.0.0.1"), 0}, [this](tcp::socket socket) {
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    EventLoop::get().spawn([this, shared] { control.serve(std::move(*shared)); });
  });
  std::unique_ptr<Connection> dial() const {
    auto connection = std::make_unique<Connection>();
    SocketError ec;
    connection->connect(listener.endpoint(), ec);
    EXPECT_FALSE(ec);
    return connection;
  }
};
const std::string kStatusCall = "GET /v1/Status HTTP/1.1\r\nHost: c\r\n\r\n";
const std::string kReleaseCall = "POST /v1/Evacuation.Release/z1 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";
const std::string kDetachCall = "POST /v1/Instances.Detach/i1 HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n";

template <class Test>
void withServer(Test test) {
  static std::vector<std::shared_ptr<TestServer>> kept;  // kept because fibers of the servers may still refer to them
  EventLoop::get().spawn([&test] {
    kept.push_back(std::make_shared<TestServer>());
    test(*kept.back());
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
}  // namespace

TEST(ControlServer, ACallInFlightIsAnsweredAfterNoMoreAreTaken) {
  withServer([](TestServer& server) {
    auto caller = server.dial();
    auto idle = server.dial();
    Buffer buffer;
    Buffer idleBuffer;
    sendBytes(*idle, kStatusCall);
    EXPECT_EQ(readResponse(*idle, idleBuffer).status, 200);
    sendBytes(*caller, kDetachCall);
    server.core.writing.wait();
    server.control.stopAccepting();
    EXPECT_EQ(readResponse(*idle, idleBuffer).status, 0) << "an idle connection is closed";
    EXPECT_EQ(server.control.inFlight(), 1);
    server.core.mayWrite.wake();
    const auto answer = readResponse(*caller, buffer);
    EXPECT_EQ(answer.status, 200);
    EXPECT_EQ(answer.headers.at("Connection"), "close");
    EXPECT_EQ(server.control.inFlight(), 0);
  });
}
TEST(ControlServer, ACallThatArrivesLateIsSentOnAndNothingIsWritten) {
  withServer([](TestServer& server) {
    server.control.stopAccepting();
    auto caller = server.dial();
    Buffer buffer;
    sendBytes(*caller, kDetachCall);
    const auto answer = readResponse(*caller, buffer);
    EXPECT_EQ(answer.status, 503);
    EXPECT_TRUE(answer.headers.contains("Retry-After"));
    EXPECT_EQ(answer.headers.at("Connection"), "close");
    EXPECT_TRUE(server.core.written.empty());
  });
}
// Guards against review/2: the call lay in the socket of a controller that stood still, and its caller had left.
TEST(ControlServer, AnOrderIsNotWrittenOnceItsCallerHasLeft) {
  withServer([](TestServer& server) {
    server.core.configuredSettings.zones = {{"z1", "r"}};
    auto caller = server.dial();
    sendBytes(*caller, kReleaseCall);
    caller->close();
    auto other = server.dial();
    Buffer buffer;
    do {  // the server's fibers run while the answers are awaited
      sendBytes(*other, kStatusCall);
      EXPECT_EQ(readResponse(*other, buffer).status, 200);
    } while (server.control.inFlight() > 0 && !server.core.writeArrived);
    EXPECT_FALSE(server.core.writeArrived);
  });
}
TEST(ControlServer, AnOrderIsWrittenWhileItsCallerWaits) {
  withServer([](TestServer& server) {
    server.core.configuredSettings.zones = {{"z1", "r"}};
    auto caller = server.dial();
    Buffer buffer;
    sendBytes(*caller, kReleaseCall);
    server.core.writing.wait();
    server.core.mayWrite.wake();
    EXPECT_EQ(readResponse(*caller, buffer).status, 200);
  });
}
TEST(ControlServer, ServesOneCallAfterAnother) {
  withServer([](TestServer& server) {
    auto caller = server.dial();
    Buffer buffer;
    for (int i = 0; i < 2; ++i) {
      sendBytes(*caller, kStatusCall);
      const auto answer = readResponse(*caller, buffer);
      EXPECT_EQ(answer.status, 200);
      EXPECT_FALSE(answer.headers.contains("Connection"));
    }
  });
}
