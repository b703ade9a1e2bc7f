// The rules about one request that docs/rules.md lists: what a runner is given, when a response is complete, how long
// each side waits. Against stand-ins for client and runner on loopback.
#include <sys/socket.h>

#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::standin;
namespace {
constexpr auto kAnswerMargin = 500ms;  // by then after its expiry a request has its final answer
constexpr auto kCancelMargin = 500ms;  // by then after its client has left a request is over at its runner

std::string fieldOf(const std::string& request, const std::string& name) {
  const auto from = request.find("\n" + name + ": ");
  if (from == std::string::npos)
    return {};
  const auto begin = from + name.size() + 3;
  return request.substr(begin, request.find('\n', begin) - begin);
}
void waitUntilClosed(Connection& connection) {
  char byte = 0;
  SocketError ec;
  connection.read(asio::buffer(&byte, 1), ec);
  connection.close();
}
// Closes a connection with a reset.
void reset(Connection& connection) {
  const linger now{1, 0};
  ::setsockopt(connection.socket().native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  SocketError ec;
  connection.socket().close(ec);
}
std::string answerWithoutLength(const std::string& attempt, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Seal: seal-1\r\nConnection: close\r\n\r\n" +
         body;
}
// Four routes with this expiry, otherwise as the proxy under test has them.
void expireAfter(TestProxy& proxy, Duration expiry) {
  auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
  for (auto& route : configuration->routes)
    route.expiry = expiry;
  proxy.context.configuration = configuration;
}
const char* const kPaths[] = {"/safe/x", "/once/x", "/stream/x", "/resume/x"};
}  // namespace

TEST(RequestRules, SchedulingHeadersAreTheClientsOwnOnEachAttempt) {
  withProxy([](TestProxy& h) {
    const std::string heads =
        "X-Model: m-7\r\nX-Token-Count: 812,40\r\nX-Prompt-Prefix: a:600,b:200\r\nX-Expected-Version: 12\r\n";
    std::vector<std::string> got;
    const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string& text) {
      got.push_back(text);
      if (got.size() == 1)
        return w.close();
      say(w, completeResponse(id, "second"));
    };
    h.runner("i-1", act);
    h.runner("i-2", act);
    EXPECT_EQ(once(h, ask("/safe/x", "a1", heads, "the body")).body, "second");
    ASSERT_EQ(got.size(), 2U);
    for (auto& request : got) {
      EXPECT_EQ(fieldOf(request, "X-Model"), "m-7");
      EXPECT_EQ(fieldOf(request, "X-Token-Count"), "812,40");
      EXPECT_EQ(fieldOf(request, "X-Prompt-Prefix"), "a:600,b:200");
      EXPECT_EQ(fieldOf(request, "X-Expected-Version"), "12");
      EXPECT_NE(request.find("\nthe body"), std::string::npos);
    }
  });
}
TEST(RequestRules, WeightVersionsAreForwardedInHeadersAndEvents) {
  const std::string changed = "x-weight-versions: 8\n" + event(2);
  for (const char* path : kPaths)
    withProxy([&](TestProxy& h) {
      const bool stream = std::string_view(path) == "/stream/x" || std::string_view(path) == "/resume/x";
      h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        auto answer = stream ? streamHead(id) + chunk(event(1) + changed) + "0\r\n\r\n" : completeResponse(id, "ok");
        answer.insert(answer.find("\r\n") + 2, "X-Weight-Versions: 7\r\n");
        say(w, answer);
      });
      const auto a = once(h, ask(path));
      EXPECT_EQ(a.status, 200) << path;
      ASSERT_TRUE(a.heads.count("X-Weight-Versions")) << path;
      EXPECT_EQ(a.heads.at("X-Weight-Versions"), "7") << path;
      EXPECT_EQ(a.body, stream ? event(1) + changed : "ok") << path;
    });
}
TEST(RequestRules, PrecedenceIsTheConfigurationsAndNeverTheClients) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    auto configuration = std::make_shared<Configuration>(*h.context.configuration);
    for (auto& route : configuration->routes)
      route.precedence = 3;
    h.context.configuration = configuration;
    EXPECT_EQ(once(h, ask("/safe/x", "a1", "X-Precedence: 0\r\n")).status, 200);
    configuration = std::make_shared<Configuration>(*configuration);
    configuration->subscribers[0].precedence = 1;
    h.context.configuration = configuration;
    EXPECT_EQ(once(h, ask("/safe/x", "a2", "X-Precedence: 0\r\n")).status, 200);
    ASSERT_EQ(r->got.size(), 2U);
    EXPECT_EQ(fieldOf(r->got[0], "X-Precedence"), "3") << "the route's";
    EXPECT_EQ(fieldOf(r->got[1], "X-Precedence"), "1") << "the subscriber's comes first";
  });
}
TEST(RequestRules, ARunnerIsGivenNoMoreTimeThanIsLeft) {
  constexpr auto kFirstTakes = 60ms;
  const struct {
    std::string heads;
    std::int64_t most;
  } table[] = {{"X-Deadline-Ms: 5000\r\n", 5000}, {"", 20000}, {"X-Deadline-Ms: 90000\r\n", 20000}};
  for (auto& row : table)
    withProxy([&](TestProxy& h) {
      std::vector<std::int64_t> handed;
      const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string& text) {
        handed.push_back(std::stoll("0" + fieldOf(text, "X-Deadline-Ms")));
        if (handed.size() > 1)
          return say(w, completeResponse(id, "second"));
        EventLoop::get().sleepFor(kFirstTakes);
        w.close();
      };
      h.runner("i-1", act);
      h.runner("i-2", act);
      EXPECT_EQ(once(h, ask("/safe/x", "a1", row.heads)).body, "second");
      ASSERT_EQ(handed.size(), 2U);
      EXPECT_GT(handed[0], 0) << "each runner gets a deadline";
      EXPECT_LE(handed[0], row.most);
      EXPECT_GT(handed[1], 0);
      EXPECT_LE(handed[1], row.most - kFirstTakes.count()) << "less what the first attempt used";
    });
}
TEST(RequestRules, NoMoreRunnersThanTheRouteAllowsHoweverRichTheBudget) {
  for (const char* path : {"/safe/x", "/resume/x"})
    withProxy([&](TestProxy& h) {
      h.saveUp(10, 12);
      int ran = 0;
      for (const char* id : {"i-1", "i-2", "i-3", "i-4"})
        h.runner(id, [&](StandIn&, Connection& w, const std::string&, const std::string&) {
          ++ran;
          w.close();
        });
      EXPECT_EQ(once(h, ask(path)).status, 502);
      EXPECT_EQ(ran, 2) << path << ": maxAttempts";
    });
}
TEST(RequestRules, EachRequestIsAnsweredByItsRoutesExpiry) {
  constexpr Duration kExpiry{120};
  for (const char* path : kPaths)
    for (bool begun : {false, true}) {
      const bool stream = std::string_view(path) == "/stream/x" || std::string_view(path) == "/resume/x";
      withProxy([&](TestProxy& h) {
        expireAfter(h, kExpiry);
        h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
          if (begun)
            say(w, streamHead(id) + chunk(event(1)));
          waitUntilClosed(w);
        });
        const auto from = Clock::now();
        const auto a = once(h, ask(path));
        EXPECT_LE(Clock::now() - from, kExpiry + kAnswerMargin) << path;
        EXPECT_EQ(a.status, begun && stream ? 200 : 504) << path;
        EXPECT_EQ(a.bodyComplete, !(begun && stream)) << path << ": a cut stream must not look complete";
      });
    }
}
TEST(RequestRules, AStreamThatNeverEndsIsCutAtItsRoutesExpiry) {
  constexpr Duration kExpiry{120};
  for (const char* path : {"/stream/x", "/resume/x"})
    withProxy([&](TestProxy& h) {
      expireAfter(h, kExpiry);
      bool cancelled = false;
      h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        SocketError ec;
        w.write(asio::buffer(streamHead(id)), ec);
        for (int i = 1; !ec && i < 400; ++i) {
          w.write(asio::buffer(chunk(event(i))), ec);
          EventLoop::get().sleepFor(5ms);
        }
        cancelled = static_cast<bool>(ec);
        w.close();
      });
      const auto from = Clock::now();
      const auto a = once(h, ask(path));
      EXPECT_LE(Clock::now() - from, kExpiry + kAnswerMargin) << path;
      EXPECT_EQ(a.status, 200);
      EXPECT_FALSE(a.bodyComplete) << path;
      EventLoop::get().sleepFor(50ms);
      EXPECT_TRUE(cancelled) << path << ": the runner's work ends too";
    });
}
TEST(RequestRules, WithoutAConfigurationNothingIsRejectedForGood) {
  withProxy([](TestProxy& h) {
    h.context.configuration = nullptr;
    for (const char* path : {"/safe/x", "/nowhere/x"})
      EXPECT_EQ(once(h, ask(path, "a1", "", "", "wrong")).status, 503) << path;
  });
}
TEST(RequestRules, ADisconnectedClientIsNoticedAtItsRunnerInTime) {
  for (const char* path : kPaths)
    withProxy([&](TestProxy& h) {
      Waiter arrived;
      Waiter over;
      TimePoint cancelledAt{};
      h.runner("i-1", [&](StandIn&, Connection& w, const std::string&, const std::string&) {
        arrived.wake();
        waitUntilClosed(w);
        cancelledAt = Clock::now();
        over.wake();
      });
      auto client = h.dial();
      say(*client, ask(path));
      ASSERT_TRUE(EventLoop::get().waitFor(arrived, 3000ms));
      const auto left = Clock::now();
      client->close();
      ASSERT_TRUE(EventLoop::get().waitFor(over, 3000ms)) << path;
      EXPECT_LE(cancelledAt - left, kCancelMargin) << path;
    });
}
// A client may disconnect while its request waits unread because of `maxBodyBytes`.
TEST(RequestRules, AClientThatDisconnectedBeforeItsRequestWasReadReachesNoRunner) {
  withProxy([](TestProxy& h) {
    auto r = h.runner("i-1", answers);
    EXPECT_EQ(once(h, ask("/safe/x", "a1")).status, 200);  // leaves a connection to the runner for the next request
    h.context.bodyBytes = 2;
    h.context.maxBodyBytes = 1;
    auto client = h.dial();
    say(*client, ask("/safe/x", "a2"));
    EventLoop::get().sleepFor(60ms);
    client->close();
    EventLoop::get().sleepFor(kCancelMargin + 100ms);
    h.context.bodyBytes = 0;
    EventLoop::get().sleepFor(100ms);
    EXPECT_EQ(r->got.size(), 1U);
  });
}
TEST(RequestRules, AResponseWithoutALengthIsCompleteOnlyIfItsConnectionEnds) {
  const struct {
    const char* path;
    bool resets;
    int status;
    const char* body;
    bool complete;
    int ran;
  } table[] = {{"/safe/x", false, 200, "all of it", true, 1},   {"/once/x", false, 200, "all of it", true, 1},
               {"/stream/x", false, 200, "all of it", true, 1}, {"/safe/x", true, 200, "second", true, 2},
               {"/once/x", true, 502, nullptr, true, 1},        {"/stream/x", true, 200, nullptr, false, 1}};
  for (auto& row : table)
    withProxy([&](TestProxy& h) {
      int ran = 0;
      const auto act = [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
        if (++ran > 1)
          return say(w, completeResponse(id, "second"));
        say(w, answerWithoutLength(id, "all of it"));
        EventLoop::get().sleepFor(20ms);
        row.resets ? reset(w) : w.close();
      };
      h.runner("i-1", act);
      h.runner("i-2", act);
      const auto a = once(h, ask(row.path));
      EXPECT_EQ(a.status, row.status) << row.path << row.resets;
      EXPECT_EQ(a.bodyComplete, row.complete) << row.path << row.resets;
      if (row.body) {
        EXPECT_EQ(a.body, row.body) << row.path << row.resets;
      }
      EXPECT_EQ(ran, row.ran) << row.path << row.resets;
    });
}
TEST(RequestRules, ResponsesOnDifferentConnectionsMayOvertakeEachOther) {
  withProxy([](TestProxy& h) {
    Waiter secondAnswered;
    h.runner("i-1", [&](StandIn&, Connection& w, const std::string& id, const std::string&) {
      if (id == "first") {
        EXPECT_TRUE(EventLoop::get().waitFor(secondAnswered, 3000ms));
      }
      say(w, completeResponse(id, "for " + id));
    });
    auto first = h.dial();
    auto second = h.dial();
    Buffer ofFirst;
    Buffer ofSecond;
    say(*first, ask("/once/x", "first"));
    EventLoop::get().sleepFor(10ms);
    say(*second, ask("/once/x", "second"));
    EXPECT_EQ(hear(*second, ofSecond).body, "for second");
    secondAnswered.wake();
    EXPECT_EQ(hear(*first, ofFirst).body, "for first");
  });
}
namespace {
// A runner that answers as soon as it has a request's head, and reads the body only afterwards.
struct EarlyAnswerer {
  tcp::acceptor acceptor{EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  std::vector<std::string> bodies;  // the bytes in the position of each body, by its length
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
      const auto size = std::stoul("0" + fieldOf(head, "Content-Length"));
      say(connection, completeResponse(fieldOf(head, "X-Attempt-Id"), "early"));
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
      const auto n = connection.read(asio::buffer(part), ec);
      if (ec)
        return false;
      bytes.append(part, n);
    }
    return true;
  }
};
}  // namespace
TEST(RequestRules, ARunnerThatAnswersEarlyReadsTheRestOfTheBodyAndNothingElse) {
  for (const std::size_t size : {std::size_t{2000}, std::size_t{8} << 20U})
    withProxy([&](TestProxy& h) {
      auto configuration = std::make_shared<Configuration>(*h.context.configuration);
      configuration->limits.maxBodyBytes = std::int64_t{16} << 20U;
      h.context.configuration = configuration;
      h.context.maxBodyBytes = std::size_t{64} << 20U;
      auto& runner = *new EarlyAnswerer;  // never freed: its fibers may outlive the test
      runner.acceptNext();
      h.context.runners.setRunners({Runner{"i-1", "s", runner.address(), "z", 4, 1, 0}});
      const std::string first(size, 'a');
      const std::string second(size, 'b');
      EXPECT_EQ(once(h, ask("/safe/x", "a1", "", first)).body, "early");
      EXPECT_EQ(once(h, ask("/safe/x", "a2", "", second)).body, "early");
      EventLoop::get().sleepFor(200ms);
      for (auto& body : runner.bodies)
        EXPECT_TRUE(body == first || body == second) << "other bytes where a body is due, " << body.size();
      EXPECT_EQ(runner.bodies.size(), 2U);
    });
}
