// Which requests are retried after a connection failure, and which are not. Covers each kind of request, on a new and
// on a reused connection, with each failure mode at each position in the request and the response. Runners and clients
// are fakes on loopback connections. The expected results in `expected` follow the protocol documentation, not the
// code.
#include <cstdlib>

#include "failure_scenario.hpp"

using namespace zinccleat;
using namespace zinccleat::config;
using namespace zinccleat::proxy;
using namespace zinccleat::runtime;
using namespace zinccleat::state_machine;
using namespace zinccleat::proxy_testing;
namespace {
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
