// The rules of docs/rules.md that apply to a single request: what is forwarded to a runner, when a response is complete
// and how long each side waits. Clients and runners are fakes on loopback connections.
#include <sys/socket.h>

#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;
namespace {
constexpr auto kResponseMargin = 500ms;  // maximum time from the expiry of a request to the end of its response
constexpr auto kCancelMargin =
    500ms;  // maximum time from a client's disconnect to the end of its request at the runner

std::string headerOf(const std::string& request, const std::string& name) {
  const auto from = request.find("\n" + name + ": ");
  if (from == std::string::npos)
    return {};
  const auto begin = from + name.size() + 3;
  return request.substr(begin, request.find('\n', begin) - begin);
}
void readUntilClosed(Connection& connection) {
  char byte = 0;
  SocketError ec;
  connection.read(asio::buffer(&byte, 1), ec);
  connection.close();
}
// Closes a connection with a TCP reset.
void reset(Connection& connection) {
  const linger now{1, 0};
  ::setsockopt(connection.socket().native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  SocketError ec;
  connection.socket().close(ec);
}
std::string responseWithoutLength(const std::string& attempt, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-1\r\nConnection: close\r\n\r\n" +
         body;
}
// Sets the expiry of all routes of the proxy under test.
void setExpiry(TestProxy& proxy, Duration expiry) {
  auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
  for (auto& route : configuration->routes)
    route.expiry = expiry;
  proxy.context.configuration = configuration;
}
const char* const kPaths[] = {"/safe/x", "/once/x", "/stream/x", "/resume/x"};
}  // namespace

TEST(RequestRules, SchedulingHeadersAreTheClientsOwnOnEachAttempt) {
  withProxy([](TestProxy& proxy) {
    const std::string headers =
        "X-Model: m-7\r\nX-Token-Count: 812,40\r\nX-Prompt-Prefix: a:600,b:200\r\nX-Expected-Version: 12\r\n";
    std::vector<std::string> requests;
    const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string& text) {
      requests.push_back(text);
      if (requests.size() == 1)
        return connection.close();
      sendBytes(connection, completeResponse(id, "second"));
    };
    proxy.runner("i-1", handler);
    proxy.runner("i-2", handler);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1", headers, "the body")).body, "second");
    ASSERT_EQ(requests.size(), 2U);
    for (auto& request : requests) {
      EXPECT_EQ(headerOf(request, "X-Model"), "m-7");
      EXPECT_EQ(headerOf(request, "X-Token-Count"), "812,40");
      EXPECT_EQ(headerOf(request, "X-Prompt-Prefix"), "a:600,b:200");
      EXPECT_EQ(headerOf(request, "X-Expected-Version"), "12");
      EXPECT_NE(request.find("\nthe body"), std::string::npos);
    }
  });
}
TEST(RequestRules, WeightVersionsAreForwardedInHeadersAndEvents) {
  const std::string eventWithNewVersion = "x-weight-versions: 8\n" + event(2);
  for (const char* path : kPaths)
    withProxy([&](TestProxy& proxy) {
      const bool stream = std::string_view(path) == "/stream/x" || std::string_view(path) == "/resume/x";
      proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        auto answer = stream ? streamHeader(id) + chunk(event(1) + eventWithNewVersion) + "0\r\n\r\n"
                             : completeResponse(id, "ok");
        answer.insert(answer.find("\r\n") + 2, "X-Weight-Versions: 7\r\n");
        sendBytes(connection, answer);
      });
      const auto response = sendRequest(proxy, requestText(path));
      EXPECT_EQ(response.status, 200) << path;
      ASSERT_TRUE(response.headers.count("X-Weight-Versions")) << path;
      EXPECT_EQ(response.headers.at("X-Weight-Versions"), "7") << path;
      EXPECT_EQ(response.body, stream ? event(1) + eventWithNewVersion : "ok") << path;
    });
}
TEST(RequestRules, PrecedenceIsTheConfigurationsAndNeverTheClients) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
    for (auto& route : configuration->routes)
      route.precedence = 3;
    proxy.context.configuration = configuration;
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1", "X-Precedence: 0\r\n")).status, 200);
    configuration = std::make_shared<Configuration>(*configuration);
    configuration->subscribers[0].precedence = 1;
    proxy.context.configuration = configuration;
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a2", "X-Precedence: 0\r\n")).status, 200);
    ASSERT_EQ(runner->receivedRequests.size(), 2U);
    EXPECT_EQ(headerOf(runner->receivedRequests[0], "X-Precedence"), "3") << "the precedence of the route";
    EXPECT_EQ(headerOf(runner->receivedRequests[1], "X-Precedence"), "1")
        << "the precedence of the subscriber overrides that of the route";
  });
}
// Guards against requests that lay in the socket of a proxy that stood still: their clients have left, and sent them
// again elsewhere.
TEST(RequestRules, ARequestIsNotStartedOnceItsClientHasLeft) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "first")).status, 200) << "leaves an open connection";
    auto client = proxy.connectClient();
    sendBytes(*client, requestText("/safe/x", "abandoned"));
    client->close();
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "next")).status, 200);
    ASSERT_EQ(runner->receivedRequests.size(), 2U);
    EXPECT_EQ(headerOf(runner->receivedRequests[1], "X-Attempt-Id"), "next");
  });
}
TEST(RequestRules, ARunnerIsGivenNoMoreTimeThanIsLeft) {
  constexpr auto kFirstAttemptDuration = 60ms;
  const struct {
    std::string headers;
    std::int64_t maxMs;
  } table[] = {{"X-Deadline-Ms: 5000\r\n", 5000}, {"", 20000}, {"X-Deadline-Ms: 90000\r\n", 20000}};
  for (auto& row : table)
    withProxy([&](TestProxy& proxy) {
      std::vector<std::int64_t> deadlinesMs;
      const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string& text) {
        deadlinesMs.push_back(std::stoll("0" + headerOf(text, "X-Deadline-Ms")));
        if (deadlinesMs.size() > 1)
          return sendBytes(connection, completeResponse(id, "second"));
        EventLoop::get().sleepFor(kFirstAttemptDuration);
        connection.close();
      };
      proxy.runner("i-1", handler);
      proxy.runner("i-2", handler);
      EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1", row.headers)).body, "second");
      ASSERT_EQ(deadlinesMs.size(), 2U);
      EXPECT_GT(deadlinesMs[0], 0) << "each runner gets a deadline";
      EXPECT_LE(deadlinesMs[0], row.maxMs);
      EXPECT_GT(deadlinesMs[1], 0);
      EXPECT_LE(deadlinesMs[1], row.maxMs - kFirstAttemptDuration.count())
          << "the second deadline is reduced by the duration of the first attempt";
    });
}
TEST(RequestRules, NoMoreRunnersThanTheRouteAllowsHoweverRichTheBudget) {
  for (const char* path : {"/safe/x", "/resume/x"})
    withProxy([&](TestProxy& proxy) {
      proxy.fillRetryReserve(10, 12);
      int requestCount = 0;
      for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
        proxy.runner(id, [&](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
          ++requestCount;
          connection.close();
        });
      EXPECT_EQ(sendRequest(proxy, requestText(path)).status, 502);
      EXPECT_EQ(requestCount, 2) << path << ": maxAttempts";
    });
}
TEST(RequestRules, EachRequestIsAnsweredByItsRoutesExpiry) {
  constexpr Duration kExpiry{120};
  for (const char* path : kPaths)
    for (bool responseBegun : {false, true}) {
      const bool stream = std::string_view(path) == "/stream/x" || std::string_view(path) == "/resume/x";
      withProxy([&](TestProxy& proxy) {
        setExpiry(proxy, kExpiry);
        proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
          if (responseBegun)
            sendBytes(connection, streamHeader(id) + chunk(event(1)));
          readUntilClosed(connection);
        });
        const auto from = Clock::now();
        const auto response = sendRequest(proxy, requestText(path));
        EXPECT_LE(Clock::now() - from, kExpiry + kResponseMargin) << path;
        EXPECT_EQ(response.status, responseBegun && stream ? 200 : 504) << path;
        EXPECT_EQ(response.bodyComplete, !(responseBegun && stream)) << path << ": a cut stream must not look complete";
      });
    }
}
TEST(RequestRules, AStreamThatNeverEndsIsCutAtItsRoutesExpiry) {
  constexpr Duration kExpiry{120};
  for (const char* path : {"/stream/x", "/resume/x"})
    withProxy([&](TestProxy& proxy) {
      setExpiry(proxy, kExpiry);
      bool cancelled = false;
      proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        SocketError ec;
        connection.write(asio::buffer(streamHeader(id)), ec);
        for (int i = 1; !ec && i < 400; ++i) {
          connection.write(asio::buffer(chunk(event(i))), ec);
          EventLoop::get().sleepFor(5ms);
        }
        cancelled = static_cast<bool>(ec);
        connection.close();
      });
      const auto from = Clock::now();
      const auto response = sendRequest(proxy, requestText(path));
      EXPECT_LE(Clock::now() - from, kExpiry + kResponseMargin) << path;
      EXPECT_EQ(response.status, 200);
      EXPECT_FALSE(response.bodyComplete) << path;
      EventLoop::get().sleepFor(50ms);
      EXPECT_TRUE(cancelled) << path << ": the runner stops as well";
    });
}
TEST(RequestRules, WithoutAConfigurationNothingIsRejectedForGood) {
  withProxy([](TestProxy& proxy) {
    proxy.context.configuration = nullptr;
    for (const char* path : {"/safe/x", "/nowhere/x"})
      EXPECT_EQ(sendRequest(proxy, requestText(path, "a1", "", "", "wrong")).status, 503) << path;
  });
}
TEST(RequestRules, ADisconnectedClientIsNoticedAtItsRunnerInTime) {
  for (const char* path : kPaths)
    withProxy([&](TestProxy& proxy) {
      Waiter arrived;
      Waiter runnerDone;
      TimePoint closedAt{};
      proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string&, const std::string&) {
        arrived.wake();
        readUntilClosed(connection);
        closedAt = Clock::now();
        runnerDone.wake();
      });
      auto client = proxy.connectClient();
      sendBytes(*client, requestText(path));
      ASSERT_TRUE(EventLoop::get().waitFor(arrived, 3000ms));
      const auto disconnectedAt = Clock::now();
      client->close();
      ASSERT_TRUE(EventLoop::get().waitFor(runnerDone, 3000ms)) << path;
      EXPECT_LE(closedAt - disconnectedAt, kCancelMargin) << path;
    });
}
// A client may disconnect while its request is not being read because no memory is free for its body. The request must
// not reach a runner afterwards.
TEST(RequestRules, AClientThatDisconnectedBeforeItsRequestWasReadReachesNoRunner) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1")).status,
              200);  // puts a connection to the runner into the pool
    constexpr std::size_t kBytes = MemoryBudget::kLargeBytes;
    auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
    configuration->limits.maxBodyBytes = kBytes;
    proxy.context.configuration = configuration;
    proxy.context.messageMemory = MemoryBudget(kBytes);
    std::optional<MemoryReservation> others(proxy.context.messageMemory);
    ASSERT_TRUE(others->tryGrowTo(kBytes));
    auto client = proxy.connectClient();
    sendBytes(*client, requestText("/safe/x", "a2", "", std::string(kBytes / 2, 'b')));
    EventLoop::get().sleepFor(60ms);
    client->close();
    EventLoop::get().sleepFor(kCancelMargin + 100ms);
    others.reset();
    EventLoop::get().sleepFor(100ms);
    EXPECT_EQ(runner->receivedRequests.size(), 1U);
  });
}
TEST(RequestRules, AResponseWithoutALengthIsCompleteOnlyIfItsConnectionEnds) {
  const struct {
    const char* path;
    bool resets;
    int status;
    const char* body;
    bool complete;
    int requestCount;
  } table[] = {{"/safe/x", false, 200, "all of it", true, 1},   {"/once/x", false, 200, "all of it", true, 1},
               {"/stream/x", false, 200, "all of it", true, 1}, {"/safe/x", true, 200, "second", true, 2},
               {"/once/x", true, 502, nullptr, true, 1},        {"/stream/x", true, 200, nullptr, false, 1}};
  for (auto& row : table)
    withProxy([&](TestProxy& proxy) {
      int requestCount = 0;
      const auto handler = [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        if (++requestCount > 1)
          return sendBytes(connection, completeResponse(id, "second"));
        sendBytes(connection, responseWithoutLength(id, "all of it"));
        EventLoop::get().sleepFor(20ms);
        row.resets ? reset(connection) : connection.close();
      };
      proxy.runner("i-1", handler);
      proxy.runner("i-2", handler);
      const auto response = sendRequest(proxy, requestText(row.path));
      EXPECT_EQ(response.status, row.status) << row.path << row.resets;
      EXPECT_EQ(response.bodyComplete, row.complete) << row.path << row.resets;
      if (row.body) {
        EXPECT_EQ(response.body, row.body) << row.path << row.resets;
      }
      EXPECT_EQ(requestCount, row.requestCount) << row.path << row.resets;
    });
}
TEST(RequestRules, ResponsesOnDifferentConnectionsMayOvertakeEachOther) {
  withProxy([](TestProxy& proxy) {
    Waiter secondResponseSent;
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      if (id == "first") {
        EXPECT_TRUE(EventLoop::get().waitFor(secondResponseSent, 3000ms));
      }
      sendBytes(connection, completeResponse(id, "for " + id));
    });
    auto first = proxy.connectClient();
    auto second = proxy.connectClient();
    Buffer ofFirst;
    Buffer ofSecond;
    sendBytes(*first, requestText("/once/x", "first"));
    EventLoop::get().sleepFor(10ms);
    sendBytes(*second, requestText("/once/x", "second"));
    EXPECT_EQ(readResponse(*second, ofSecond).body, "for second");
    secondResponseSent.wake();
    EXPECT_EQ(readResponse(*first, ofFirst).body, "for first");
  });
}
namespace {
// A runner that answers as soon as it has read the header of a request, and reads the body afterwards.
struct EarlyResponder {
  tcp::acceptor acceptor{EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::vector<std::string> bodies;  // the bytes received after each header, as many as `Content-Length` announced
  std::size_t connections = 0;
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
  void acceptNext() {
    acceptor.async_accept([this](SocketError ec, tcp::socket socket) {
      if (ec)
        return;
      ++connections;
      auto accepted = std::make_shared<tcp::socket>(std::move(socket));
      EventLoop::get().spawn([this, accepted] { serve(std::move(*accepted)); });
      acceptNext();
    });
  }
  void serve(tcp::socket socket) {
    Connection connection(std::move(socket));
    std::string bytes;
    while (readUntil(connection, bytes, [&] { return bytes.find("\r\n\r\n") != bytes.npos; })) {
      const auto headSize = bytes.find("\r\n\r\n") + 4;
      std::string head = bytes.substr(0, headSize);
      std::erase(head, '\r');
      const auto size = std::stoul("0" + headerOf(head, "Content-Length"));
      sendBytes(connection, completeResponse(headerOf(head, "X-Attempt-Id"), "early"));
      EventLoop::get().sleepFor(30ms);
      if (!readUntil(connection, bytes, [&] { return bytes.size() >= headSize + size; }))
        return;
      bodies.push_back(bytes.substr(headSize, size));
      bytes.erase(0, headSize + size);
    }
  }
  template <class Enough>
  static bool readUntil(Connection& connection, std::string& bytes, Enough enough) {
    char part[4096];
    SocketError ec;
    while (!enough()) {
      const auto received = connection.read(asio::buffer(part), ec);
      if (ec)
        return false;
      bytes.append(part, received);
    }
    return true;
  }
};
}  // namespace
TEST(RequestRules, ARunnerThatAnswersEarlyReadsTheRestOfTheBodyAndNothingElse) {
  for (const std::size_t size : {std::size_t{2000}, std::size_t{8} << 20U})
    withProxy([&](TestProxy& proxy) {
      auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
      configuration->limits.maxBodyBytes = std::int64_t{16} << 20U;
      proxy.context.configuration = configuration;
      proxy.context.messageMemory = MemoryBudget(std::size_t{64} << 20U);
      auto& runner = *new EarlyResponder;  // never freed: its fibers may outlive the test
      runner.acceptNext();
      proxy.context.runners.setRunners({Runner{"i-1", "s", runner.address(), "z", 4, 1, 0}});
      const std::string first(size, 'a');
      const std::string second(size, 'b');
      EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1", "", first)).body, "early");
      EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a2", "", second)).body, "early");
      EventLoop::get().sleepFor(200ms);
      for (auto& body : runner.bodies)
        EXPECT_TRUE(body == first || body == second) << "unexpected bytes in place of a body, " << body.size();
      EXPECT_EQ(runner.bodies.size(), 2U);
    });
}
