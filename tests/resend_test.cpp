// Which requests are retried after a connection failure, and which are not. Covers each kind of request, on a new and
// on a reused connection, with each failure mode at each position in the request and the response. Runners and clients
// are fakes on loopback connections. The expected results in `expected` follow the protocol documentation, not the
// code.
#include <sys/socket.h>

#include <cstdlib>

#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;
namespace {

enum class CallKind { safe, unsafe, stream, resumable };
enum class FailureMode { reset, close, silence, garbage, notExecuted, otherId, extraBytes };
// The position of the failure. Positions up to `completeRequest` say how much of the request the runner has read; the
// later ones say how much of its response the runner has sent.
enum class Position {
  beforeConnect,
  nothingRead,
  partOfHeader,
  completeHeader,
  partOfBody,
  completeRequest,  // no byte of the response was sent
  inStatusLine,
  inResponseHeader,
  afterResponseHeader,
  inResponseBody,
  allButLastByte,
};
constexpr CallKind kKinds[] = {CallKind::safe, CallKind::unsafe, CallKind::stream, CallKind::resumable};
constexpr FailureMode kFailureModes[] = {FailureMode::reset,     FailureMode::close,       FailureMode::silence,
                                         FailureMode::garbage,   FailureMode::notExecuted, FailureMode::otherId,
                                         FailureMode::extraBytes};
constexpr Position kPositions[] = {Position::beforeConnect,  Position::nothingRead,      Position::partOfHeader,
                                   Position::completeHeader, Position::partOfBody,       Position::completeRequest,
                                   Position::inStatusLine,   Position::inResponseHeader, Position::afterResponseHeader,
                                   Position::inResponseBody, Position::allButLastByte};
const char* name(CallKind kind) {
  constexpr const char* names[] = {"safe", "unsafe", "stream", "resumable stream"};
  return names[static_cast<int>(kind)];
}
const char* name(FailureMode failureMode) {
  constexpr const char* names[] = {"reset",          "close",      "silence",    "garbage",
                                   "X-Not-Executed", "another id", "extra bytes"};
  return names[static_cast<int>(failureMode)];
}
const char* name(Position position) {
  constexpr const char* names[] = {"before connect", "nothing read",     "part of header",   "complete header",
                                   "part of body",   "complete request", "in status line",   "in answer's head",
                                   "after its head", "in body / event",  "all but last byte"};
  return names[static_cast<int>(position)];
}
const char* pathOf(CallKind kind) {
  constexpr const char* paths[] = {"/safe/x", "/once/x", "/stream/x", "/resume/x"};
  return paths[static_cast<int>(kind)];
}
bool isStream(CallKind kind) {
  return kind == CallKind::stream || kind == CallKind::resumable;
}
bool idempotent(CallKind kind) {
  return kind == CallKind::safe || kind == CallKind::resumable;
}

constexpr int kEvents = 4;
const std::string kBody = "0123456789";
// The correct response to a request. A stream begins after the event `after`; 0 sends all events.
std::string correctResponse(CallKind kind, const std::string& id, int after = 0) {
  if (!isStream(kind))
    return completeResponse(id, "body of " + id);
  std::string response = streamHeader(id);
  for (int number = after + 1; number <= kEvents; ++number)
    response += chunk(event(number));
  return response + "0\r\n\r\n";
}
std::string correctBody(CallKind kind, const std::string& id) {
  if (!isStream(kind))
    return "body of " + id;
  std::string body;
  for (int number = 1; number <= kEvents; ++number)
    body += event(number);
  return body;
}
std::string responsePrefix(CallKind kind, Position position, const std::string& id) {
  const auto response = correctResponse(kind, id);
  const auto headerSize = response.find("\r\n\r\n") + 4;
  switch (position) {
    case Position::inStatusLine:
      return response.substr(0, 7);
    case Position::inResponseHeader:
      return response.substr(0, headerSize - 9);
    case Position::afterResponseHeader:
      return response.substr(0, headerSize);
    case Position::inResponseBody:  // for a stream: inside the chunk of its second event
      return isStream(kind) ? response.substr(0, headerSize + chunk(event(1)).size() + 9)
                            : response.substr(0, headerSize + 4);
    case Position::allButLastByte:
      return response.substr(0, response.size() - 1);
    default:
      return {};
  }
}

// A proxy with several runners that fail once: the first request that reaches any of the runners is read up to a given
// position and then fails in the given way. All later requests are answered correctly.
struct FailureScenario {
  struct ReceivedRequest {
    std::string runner, bytes;
    bool notExecuted = false;
  };
  TestProxy proxy;
  CallKind kind = CallKind::safe;
  FailureMode failureMode = FailureMode::reset;
  Position position = Position::completeRequest;
  bool failureInjected = false;
  int fibers = 0;
  // One entry for each request that began to arrive, in order.
  std::vector<std::shared_ptr<ReceivedRequest>> receivedRequests;
  struct RunnerListener {
    std::string id;
    std::shared_ptr<tcp::acceptor> acceptor;
  };
  std::vector<std::shared_ptr<RunnerListener>> listeners;
  std::vector<std::unique_ptr<Connection>> backlogFillers;

  explicit FailureScenario(int runners = 3) {
    for (int i = 0; i < runners; ++i) {
      auto listener = std::make_shared<RunnerListener>();
      listener->id = "i-" + std::to_string(i);
      listener->acceptor =
          std::make_shared<tcp::acceptor>(EventLoop::get().io(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      listeners.push_back(listener);
      accept(listener);
    }
    updateRunners();
    proxy.fillRetryReserve(8, 12);
  }
  void updateRunners(const std::string& firstAddress = {}) {
    std::vector<Runner> runnerList;
    for (auto& listener : listeners) {
      auto address = "127.0.0.1:" + std::to_string(listener->acceptor->local_endpoint().port());
      if (!firstAddress.empty() && listener == listeners.front())
        address = firstAddress;
      runnerList.push_back(Runner{listener->id, "s", address, "z", 4, 1, 0});
    }
    proxy.context.runners.setRunners(runnerList);
  }
  void accept(const std::shared_ptr<RunnerListener>& listener) {
    listener->acceptor->async_accept([this, listener](SocketError ec, tcp::socket socket) {
      if (ec)
        return;
      auto accepted = std::make_shared<tcp::socket>(std::move(socket));
      ++fibers;
      EventLoop::get().spawn([this, listener, accepted] {
        {
          Connection connection(std::move(*accepted));
          setConnectionOptions(connection.socket());
          while (serve(*listener, connection)) {
          }
        }
        --fibers;
      });
      accept(listener);
    });
  }
  static bool readMore(Connection& connection, std::string& got, std::size_t maxBytes) {
    char part[4096];
    SocketError ec;
    const auto received = connection.read(asio::buffer(part, std::min(sizeof part, maxBytes)), ec);
    got.append(part, received);
    return !ec && received > 0;
  }
  static void resetConnection(Connection& connection) {
    const linger now{1, 0};
    ::setsockopt(connection.socket().native_handle(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    connection.close();
  }
  static std::string headerOf(const std::string& request, const std::string& field) {
    const auto at = request.find("\r\n" + field + ": ");
    if (at == std::string::npos)
      return {};
    const auto from = at + field.size() + 4;
    return request.substr(from, request.find("\r\n", from) - from);
  }
  // Serves one request on a connection. Returns false if the connection has ended.
  bool serve(RunnerListener& listener, Connection& connection) {
    SocketError ec;
    connection.awaitReadable(ec);
    char byte = 0;
    if (ec || ::recv(connection.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0)
      return false;
    auto request = std::make_shared<ReceivedRequest>();
    request->runner = listener.id;
    receivedRequests.push_back(request);
    const bool injectsFailure = !std::exchange(failureInjected, true);
    const auto readUpTo = injectsFailure ? position : Position::completeRequest;
    auto& got = request->bytes;
    const auto bytesToRead = [&]() -> std::size_t {
      const auto head = got.find("\r\n\r\n");
      switch (readUpTo) {
        case Position::nothingRead:
          return 0;
        case Position::partOfHeader:
          return 25;
        case Position::completeHeader:
          return head == std::string::npos ? got.size() + 1 : head + 4;
        case Position::partOfBody:
          return head == std::string::npos ? got.size() + 1 : head + 4 + kBody.size() / 2;
        default: {
          const auto length = headerOf(got, "Content-Length");
          return head == std::string::npos ? got.size() + 1 : head + 4 + (length.empty() ? 0 : std::stoul(length));
        }
      }
    };
    while (got.size() < bytesToRead())
      if (!readMore(connection, got, readUpTo == Position::completeRequest ? 4096 : 1))
        return false;
    const auto id = headerOf(got, "X-Attempt-Id");
    const auto after = headerOf(got, "Last-Event-Id");
    if (!injectsFailure) {
      sendBytes(connection, correctResponse(kind, id, after.empty() ? 0 : std::stoi(after)));
      return true;
    }
    return injectFailure(connection, *request, id.empty() ? "a1" : id);
  }
  bool injectFailure(Connection& connection, ReceivedRequest& request, const std::string& id) {
    if (const auto prefix = responsePrefix(kind, position, id); !prefix.empty()) {
      sendBytes(connection, prefix);
      // The prefix must arrive before the failure: a reset discards bytes that the proxy has not read yet.
      EventLoop::get().sleepFor(2ms);
    }
    switch (failureMode) {
      case FailureMode::reset:
        resetConnection(connection);
        return false;
      case FailureMode::close:
        connection.close();
        return false;
      case FailureMode::silence: {
        std::string rest;
        while (readMore(connection, rest, 4096)) {
        }
        return false;
      }
      case FailureMode::garbage:
        sendBytes(connection, "\x16\x03\x01 nothing of this is an answer\r\n\r\n");
        connection.close();
        return false;
      case FailureMode::notExecuted:
        request.notExecuted = true;
        sendBytes(connection, completeResponse(id, "full", 503, "X-Not-Executed: 1\r\n"));
        if (position == Position::completeRequest)
          return true;
        // The rest of the request is read because closing a connection with unread bytes resets it, which would discard
        // the response.
        connection.socket().shutdown(tcp::socket::shutdown_send, ignored_);
        for (std::string rest; readMore(connection, rest, 4096);) {
        }
        return false;
      case FailureMode::otherId:
        sendBytes(connection, correctResponse(kind, "of-another") + correctResponse(kind, id));
        return true;
      case FailureMode::extraBytes:
        sendBytes(connection, correctResponse(kind, id) + correctResponse(kind, "of-another"));
        return true;
    }
    return false;
  }
  // Closes all connections and waits until no fiber refers to this object.
  void closeAndWait() {
    SocketError ec;
    proxy.listener->close(ec);
    for (auto& listener : listeners)
      listener->acceptor->close(ec);
    backlogFillers.clear();
    proxy.context.connections = ConnectionPool();
    for (int i = 0; i < 4000 && (fibers > 0 || proxy.context.clients > 0); ++i)
      EventLoop::get().sleepFor(1ms);
    EXPECT_EQ(fibers, 0);
    EXPECT_EQ(proxy.context.clients, 0);
    EventLoop::get().sleepFor(1ms);  // lets the handlers of the closed acceptors run
  }
  int receivedRequestCount() const { return static_cast<int>(receivedRequests.size()); }

 private:
  SocketError ignored_;
};

struct Row {
  CallKind kind;
  bool reused;
  FailureMode failureMode;
  Position position;
};
std::string describe(const Row& row) {
  return std::string(name(row.kind)) + ", " + (row.reused ? "reused" : "new") + ", " + name(row.failureMode) + ", " +
         name(row.position);
}
// Whether a combination can occur. `X-Not-Executed`, another id and extra bytes are responses of their own, so they
// need a position in the request. Garbage within an announced body length cannot be distinguished from the correct
// body.
bool isMeaningful(const Row& row) {
  if (row.position == Position::beforeConnect)
    return !row.reused && (row.failureMode == FailureMode::reset || row.failureMode == FailureMode::silence);
  if (row.failureMode == FailureMode::notExecuted)
    return row.position >= Position::partOfHeader && row.position <= Position::completeRequest;
  if (row.failureMode == FailureMode::otherId || row.failureMode == FailureMode::extraBytes)
    return row.position == Position::completeRequest;
  if (row.failureMode == FailureMode::garbage)
    return isStream(row.kind) ? row.position != Position::inResponseBody : row.position <= Position::inResponseHeader;
  return true;
}
struct ScenarioResult {
  int begun = 0;          // times that a runner received at least one byte of the request
  int ran = 0;            // of these, the times that the runner did not answer X-Not-Executed
  int status = 0;         // status that the client received; 0 if the connection was closed
  bool complete = false;  // whether the client received a complete response
  std::string body;
};
// The expected result of a combination.
ScenarioResult expected(const Row& row) {
  ScenarioResult success{1, 1, 200, true, correctBody(row.kind, "a1")};
  auto successAfterRetry = success;
  successAfterRetry.begun = 2, successAfterRetry.ran = 2;
  if (row.position == Position::beforeConnect)
    return success;  // nothing was sent, so the next runner gets the request
  if (row.failureMode == FailureMode::notExecuted) {
    successAfterRetry.ran = 1;  // the first runner states that it did not run the request
    return successAfterRetry;
  }
  if (row.failureMode == FailureMode::otherId || row.failureMode == FailureMode::extraBytes)
    return success;  // the extra bytes belong to no request and are ignored
  const bool begun = row.kind == CallKind::stream && row.position >= Position::afterResponseHeader;
  // The result for a stream that has begun and that no other runner may continue.
  ScenarioResult truncatedStream{1, 1, 200, false, {}};
  if (row.position == Position::inResponseBody)
    truncatedStream.body = event(1) + "id: 2";
  if (row.position == Position::allButLastByte)
    truncatedStream.body = correctBody(row.kind, "a1");
  if (row.failureMode == FailureMode::silence) {
    // A silent runner does not cause a retry or an early end. The request ends at its deadline.
    if (row.kind == CallKind::resumable && row.position >= Position::afterResponseHeader) {
      truncatedStream.body = row.position == Position::inResponseBody   ? event(1)
                             : row.position == Position::allButLastByte ? correctBody(row.kind, "a1")
                                                                        : "";
      return truncatedStream;
    }
    return begun ? truncatedStream : ScenarioResult{1, 1, 504, true, {}};
  }
  if (begun)
    return truncatedStream;
  if (idempotent(row.kind))
    return successAfterRetry;
  return {1, 1, 502, true, {}};
}

ScenarioResult runScenario(const Row& row) {
  auto scenario = std::make_unique<FailureScenario>();
  auto& proxy = scenario->proxy;
  scenario->kind = row.kind;
  scenario->failureMode = row.failureMode;
  scenario->position = row.position;
  SocketError ec;
  if (row.reused) {
    for (auto& listener : scenario->listeners) {
      auto connection = std::make_unique<Connection>();
      connection->connect(listener->acceptor->local_endpoint(), ec);
      EXPECT_FALSE(ec);
      proxy.context.connections.release(listener->id, std::move(connection), Clock::now() + 20s, Clock::now());
    }
  }
  std::optional<tcp::acceptor> fullListener;
  if (row.position == Position::beforeConnect) {
    scenario->failureInjected = true;
    if (row.failureMode == FailureMode::reset) {
      scenario->updateRunners("127.0.0.1:1");  // refuses connections
    } else {
      // A listener whose accept queue is full does not answer the TCP handshake.
      fullListener.emplace(EventLoop::get().io());
      fullListener->open(tcp::v4());
      fullListener->bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
      fullListener->listen(0);
      for (int i = 0; i < 2; ++i) {
        scenario->backlogFillers.push_back(std::make_unique<Connection>());
        auto& filler = *scenario->backlogFillers.back();
        filler.setDeadline(Clock::now() + 20ms);
        filler.connect(fullListener->local_endpoint(), ec);
        filler.clearDeadline();
      }
      scenario->updateRunners("127.0.0.1:" + std::to_string(fullListener->local_endpoint().port()));
    }
    // The other runners are made busy so that the request goes to the runner that cannot be reached.
    for (int i = 1; i < 3; ++i)
      for (int k = 0; k < 3; ++k)
        proxy.context.runners.attemptStarted(i, 0);
  }
  auto client = proxy.connectClient();
  Buffer buffer;
  const bool awaitsDeadline = row.failureMode == FailureMode::silence && row.position != Position::beforeConnect;
  // The deadline is long enough for a busy machine: the bytes that the runner sends before it falls silent must arrive
  // in time.
  sendBytes(*client, requestText(pathOf(row.kind), "a1", awaitsDeadline ? "X-Deadline-Ms: 400\r\n" : "", kBody));
  const auto response = readResponse(*client, buffer);
  ScenarioResult result;
  result.begun = scenario->receivedRequestCount();
  for (auto& request : scenario->receivedRequests)
    result.ran += !request->notExecuted;
  result.status = response.status;
  result.complete = response.bodyComplete;
  if (response.status == 200)
    result.body = response.body;
  if (row.position != Position::beforeConnect) {
    EXPECT_TRUE(scenario->failureInjected) << describe(row);
  }

  // No byte of this request or its response may reach later requests, on this client connection or on a new one, even
  // though the connections to the runners are reused.
  for (int i = 0; i < 6; ++i) {
    const auto id = "next-" + std::to_string(i);
    if (i % 2 || !response.bodyComplete) {
      const auto nextResponse = sendRequest(proxy, requestText(pathOf(row.kind), id, "", kBody));
      EXPECT_EQ(nextResponse.body, correctBody(row.kind, id)) << describe(row);
      EXPECT_TRUE(nextResponse.bodyComplete) << describe(row);
    } else {
      sendBytes(*client, requestText(pathOf(row.kind), id, "", kBody));
      const auto nextResponse = readResponse(*client, buffer);
      EXPECT_EQ(nextResponse.body, correctBody(row.kind, id)) << describe(row);
      EXPECT_EQ(nextResponse.headers.contains("X-Attempt-Id") ? nextResponse.headers.at("X-Attempt-Id") : "", id)
          << describe(row);
    }
  }
  client->close();
  client.reset();
  scenario->closeAndWait();
  return result;
}
}  // namespace

TEST(Retry, EachKindConnectionFailureAndBytePosition) {
  std::vector<Row> rows;
  for (auto kind : kKinds)
    for (bool reused : {false, true})
      for (auto failureMode : kFailureModes)
        for (auto position : kPositions)
          if (const Row row{kind, reused, failureMode, position}; isMeaningful(row))
            rows.push_back(row);
  ASSERT_EQ(rows.size(), 360U);
  std::vector<ScenarioResult> results(rows.size());
  // The rows run concurrently so that their waits for a deadline overlap.
  std::size_t nextRow = 0;
  std::size_t ended = 0;
  for (int worker = 0; worker < 24; ++worker)
    EventLoop::get().spawn([&] {
      while (nextRow < rows.size()) {
        const auto i = nextRow++;
        results[i] = runScenario(rows[i]);
        if (++ended == rows.size())
          EventLoop::get().stop();
      }
    });
  EventLoop::get().run();
  ASSERT_EQ(ended, rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const auto expectation = expected(rows[i]);
    const auto& got = results[i];
    EXPECT_EQ(got.begun, expectation.begun) << describe(rows[i]);
    EXPECT_EQ(got.ran, expectation.ran) << describe(rows[i]);
    EXPECT_EQ(got.status, expectation.status) << describe(rows[i]);
    EXPECT_EQ(got.complete, expectation.complete) << describe(rows[i]);
    if (expectation.status == 200) {
      EXPECT_EQ(got.body, expectation.body) << describe(rows[i]);
    }
    if (!idempotent(rows[i].kind)) {
      EXPECT_LE(got.ran, 1) << describe(rows[i]);
    }
  }
  if (std::getenv("ZINCCLEAT_PRINT_TABLE")) {
    std::puts(
        "| kind | connection | failureMode | position | begun | may have run | client gets "
        "|\n|---|---|---|---|---|---|---|");
    for (std::size_t i = 0; i < rows.size(); ++i)
      std::printf("| %s | %s | %s | %s | %d | %d | %d%s |\n", name(rows[i].kind), rows[i].reused ? "reused" : "new",
                  name(rows[i].failureMode), name(rows[i].position), results[i].begun, results[i].ran,
                  results[i].status, results[i].complete ? "" : ", cut");
  }
}

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
