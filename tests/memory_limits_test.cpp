// Guards against a process that grows over its `memoryMb` because of what its peers send or do not read: bodies that
// are announced and never completed, bodies without a length, answers that nobody reads. Clients and runners are fakes
// on loopback connections; the checks look at the memory budget, which bounds what the process holds for messages.
#include "control_server.hpp"
#include "fake_controller.hpp"
#include "runtime/memory_budget.hpp"
#include "standins.hpp"

using namespace zinccleat;
using namespace zinccleat::proxy_testing;

namespace {
constexpr std::size_t kMb = std::size_t{1} << 20U;
constexpr std::size_t kSentAfterARefusal = 128 * kMb;

void allowBodies(TestProxy& proxy, std::size_t bytes) {
  auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
  configuration->limits.maxBodyBytes = bytes;
  proxy.context.configuration = configuration;
}
std::string announcement(const std::string& path, const std::string& attempt, std::size_t bytes) {
  const auto complete = requestText(path, attempt);
  const std::string zero = "Content-Length: 0";
  auto text = complete;
  return text.replace(text.find(zero), zero.size(), "Content-Length: " + std::to_string(bytes));
}
/// Sends a part of a body from its own fiber, because the peer may read none of it.
void sendInBackground(Connection& connection, std::size_t bytes) {
  EventLoop::get().spawn([&connection, bytes] { sendBytes(connection, std::string(bytes, 'x')); });
}
}  // namespace

TEST(MemoryBudget, LargeReservationsLeaveRoomForSmallOnes) {
  MemoryBudget budget(kMb);
  MemoryReservation large(budget);
  MemoryReservation small(budget);
  EXPECT_FALSE(large.tryGrowTo(kMb)) << "a large message may use three quarters";
  EXPECT_TRUE(large.tryGrowTo(kMb / 4 * 3));
  EXPECT_TRUE(small.tryGrowTo(MemoryBudget::kLargeBytes));
  EXPECT_FALSE(small.tryGrowTo(MemoryBudget::kLargeBytes + 1));
  EXPECT_EQ(budget.used(), kMb / 4 * 3 + MemoryBudget::kLargeBytes);
  large.shrinkTo(10);
  EXPECT_TRUE(small.tryGrowTo(MemoryBudget::kLargeBytes + 1));
}
TEST(MemoryBudget, IsFreeAgainAfterTheLastReservation) {
  MemoryBudget budget(100);
  {
    MemoryReservation one(budget);
    MemoryReservation other(budget);
    EXPECT_TRUE(one.tryGrowTo(60));
    EXPECT_TRUE(one.tryGrowTo(30)) << "a smaller size has no effect";
    EXPECT_FALSE(other.tryGrowTo(41));
    EXPECT_TRUE(other.tryGrowTo(40));
    EXPECT_EQ(budget.used(), 100U);
  }
  EXPECT_EQ(budget.used(), 0U);
}
TEST(Proxy, BodiesThatAreBeingReadStayWithinTheMemory) {
  withProxy([](TestProxy& proxy) {
    constexpr int kClients = 40;
    allowBodies(proxy, 2 * kMb);
    proxy.context.messageMemory = MemoryBudget(4 * kMb);
    auto runner = proxy.runner("i-1", respondOk);
    std::vector<std::unique_ptr<Connection>> clients;
    for (int i = 0; i < kClients; ++i) {
      clients.push_back(proxy.connectClient());
      sendBytes(*clients.back(), announcement("/safe/x", "slow-" + std::to_string(i), kMb));
      sendInBackground(*clients.back(), kMb / 2);
    }
    EventLoop::get().sleepFor(100ms);
    EXPECT_EQ(proxy.context.messageMemory.used(), 3 * kMb) << "three bodies are read, the others wait";
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "small", "", "body")).status, 200);
    Buffer buffer;
    EXPECT_EQ(readResponse(*clients.back(), buffer).status, 503) << "whoever waits too long is told so";
    EXPECT_EQ(runner->receivedRequests.size(), 1U) << "a request that got 503 never runs";
  });
}
TEST(Proxy, ABodyWithoutALengthStaysWithinTheMemory) {
  withProxy([](TestProxy& proxy) {
    allowBodies(proxy, 2 * kMb);
    proxy.context.messageMemory = MemoryBudget(kMb / 2);
    auto runner = proxy.runner("i-1", respondOk);
    auto client = proxy.connectClient();
    auto header = requestText("/safe/x", "a1");
    const std::string zero = "Content-Length: 0";
    header.replace(header.find(zero), zero.size(), "Transfer-Encoding: chunked");
    sendBytes(*client, header);
    EventLoop::get().spawn([&client] { sendBytes(*client, chunk(std::string(kMb, 'x')) + "0\r\n\r\n"); });
    Buffer buffer;
    EXPECT_EQ(readResponse(*client, buffer).status, 503);
    EXPECT_TRUE(runner->receivedRequests.empty());
    EventLoop::get().sleepFor(600ms);  // the rest of the body is discarded for half a second
    EXPECT_EQ(proxy.context.messageMemory.used(), 0U);
  });
}
TEST(Proxy, AnAnswerLargerThanTheMemoryIsForwardedAsItArrives) {
  for (const bool hasLength : {true, false})
    withProxy([hasLength](TestProxy& proxy) {
      proxy.context.messageMemory = MemoryBudget(kMb / 4);
      const std::string body(2 * kMb, 'b');
      proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
        sendBytes(connection, hasLength ? completeResponse(id, body) : streamHeader(id) + chunk(body) + "0\r\n\r\n");
      });
      const auto response = sendRequest(proxy, requestText("/safe/x", "a1"));
      EXPECT_EQ(response.status, 200);
      EXPECT_TRUE(response.bodyComplete);
      EXPECT_TRUE(response.body == body);
      EXPECT_LE(proxy.context.messageMemory.used(), kMb / 4);
    });
}
TEST(Proxy, AnAnswerThatNobodyReadsIsNotReadFromItsRunner) {
  withProxy([](TestProxy& proxy) {
    proxy.context.messageMemory = MemoryBudget(kMb);
    constexpr std::size_t kBytes = 24 * kMb;  // more than the buffers of all sockets on the way
    std::size_t sent = 0;
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      SocketError ec;
      sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                                "\r\nX-Server-Seal: s\r\nContent-Length: " + std::to_string(kBytes) + "\r\n\r\n");
      const std::string part(kMb / 4, 'p');
      while (!ec && sent < kBytes) {
        connection.write(asio::buffer(part), ec);
        sent += part.size();
      }
    });
    auto client = proxy.connectClient();
    sendBytes(*client, requestText("/safe/x", "a1"));
    EventLoop::get().sleepFor(500ms);
    EXPECT_LT(sent, kBytes) << "the proxy reads no faster than its client";
    EXPECT_LE(proxy.context.messageMemory.used(), kMb);
    Buffer buffer;
    EXPECT_EQ(readResponse(*client, buffer).status, 200) << "what is read now is an answer, begun in time";
  });
}
// A success is complete only if all of it has come: the connection is cut where the runner breaks off.
TEST(Proxy, AForwardedAnswerThatBreaksOffDoesNotLookComplete) {
  withProxy([](TestProxy& proxy) {
    proxy.context.messageMemory = MemoryBudget(kMb / 4);
    proxy.runner("i-1", [](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                                "\r\nX-Server-Seal: s\r\nContent-Length: 2000000\r\n\r\n" + std::string(kMb, 'p'));
      connection.close();
    });
    const auto response = sendRequest(proxy, requestText("/safe/x", "a1"));
    EXPECT_FALSE(response.bodyComplete);
  });
}
/// The header of a request whose body comes in chunks.
static std::string chunkedAnnouncement(const std::string& attempt) {
  auto header = requestText("/safe/x", attempt);
  const std::string zero = "Content-Length: 0";
  return header.replace(header.find(zero), zero.size(), "Transfer-Encoding: chunked");
}
// The parser asks for more bytes until it has a whole line before a chunk, or the whole trailer section.
TEST(Proxy, WhatTheParserHoldsBetweenThePartsOfABodyIsLimited) {
  const std::string inTrailers = "1\r\nx\r\n0\r\n";
  for (const auto& [prefix, repeated] : std::vector<std::pair<std::string, std::string>>{
           {"1;", "e"}, {"", "0"}, {inTrailers, "X-T: t\r\n"}, {inTrailers + "X-T: ", "t"}})
    withProxy([&prefix = prefix, &repeated = repeated](TestProxy& proxy) {
      auto runner = proxy.runner("i-1", respondOk);
      auto client = proxy.connectClient();
      std::string endless;
      while (endless.size() < kMb)
        endless += repeated;
      EventLoop::get().spawn(
          [&client, text = chunkedAnnouncement("a1") + prefix + endless] { sendBytes(*client, text); });
      Buffer buffer;
      EXPECT_EQ(readResponse(*client, buffer).status, 431) << prefix << repeated;
      EXPECT_TRUE(runner->receivedRequests.empty());
      EventLoop::get().sleepFor(600ms);  // the rest is discarded for half a second
      EXPECT_EQ(proxy.context.messageMemory.used(), 0U);
    });
}
// The same loop reads what runners answer.
TEST(Proxy, ARunnersTrailersWithoutEndEndTheAttempt) {
  withProxy([](TestProxy& proxy) {
    std::size_t sent = 0;
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      SocketError ec;
      sendBytes(connection, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                                "\r\nX-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-T: ");
      for (const std::string part(kMb / 4, 't'); !ec && sent < 64 * kMb; sent += part.size())
        connection.write(asio::buffer(part), ec);
    });
    EXPECT_EQ(sendRequest(proxy, requestText("/once/x", "a1")).status, 502);
    EventLoop::get().sleepFor(50ms);
    EXPECT_LT(sent, 64 * kMb) << "the connection to the runner is closed";
  });
}
// An answer that is forwarded as it arrives is read by a loop of its own.
TEST(Proxy, AStreamWhoseChunkLineNeverEndsIsCut) {
  withProxy([](TestProxy& proxy) {
    std::size_t sent = 0;
    proxy.runner("i-1", [&](FakeRunner&, Connection& connection, const std::string& id, const std::string&) {
      SocketError ec;
      sendBytes(connection, streamHeader(id) + chunk(event(1)) + "1;");
      for (const std::string part(kMb / 4, 'e'); !ec && sent < 64 * kMb; sent += part.size())
        connection.write(asio::buffer(part), ec);
    });
    const auto response = sendRequest(proxy, requestText("/stream/x", "a1"));
    EXPECT_EQ(response.status, 200);
    EXPECT_FALSE(response.bodyComplete);
    EventLoop::get().sleepFor(50ms);
    EXPECT_LT(sent, 64 * kMb) << "the connection to the runner is closed";
  });
}
// Of a refused request all that came within half a second was read: 1.3 GB of one client.
TEST(Proxy, WhatIsReadAfterARefusalIsBoundedInBytes) {
  withProxy([](TestProxy& proxy) {
    auto client = proxy.connectClient();
    SocketError ec;
    sendBytes(*client, "no request\r\n\r\n");
    const std::string rest(kSentAfterARefusal, 'x');
    client->setDeadline(Clock::now() + 20s);
    EXPECT_LT(client->write(asio::buffer(rest), ec), kSentAfterARefusal / 4);
    EXPECT_TRUE(ec);
    EXPECT_FALSE(client->deadlineExceeded());
  });
}
TEST(Proxy, ARefusalIsReadByAClientThatSendsARequestOfLegalSizeFirst) {
  withProxy([](TestProxy& proxy) {
    allowBodies(proxy, kMb);
    auto client = proxy.connectClient();
    sendBytes(*client, "no request\r\n\r\n" + std::string(kMb, 'x'));
    Buffer buffer;
    EXPECT_EQ(readResponse(*client, buffer).status, 400);
  });
}
// Each chunk line was limited, but not their sum: the parser drops them, so no memory showed it.
TEST(Proxy, BytesBetweenTheChunksOfABodyAreLimitedByItsSize) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", respondOk);
    std::string smallChunks;
    for (int i = 0; i < 2000; ++i)
      smallChunks += "0001\r\nx\r\n";
    EXPECT_EQ(sendRequest(proxy, chunkedAnnouncement("a1") + smallChunks + "0\r\n\r\n").status, 200);
    const auto padded = "1;" + std::string(1500, 'e') + "\r\nx\r\n";
    std::string paddedChunks;
    for (int i = 0; i < 200; ++i)
      paddedChunks += padded;
    EXPECT_EQ(sendRequest(proxy, chunkedAnnouncement("a2") + paddedChunks + "0\r\n\r\n").status, 431);
  });
}
// The parser adds the fields of a trailer section to those of the header: a key that came after the body was taken for
// one that had been shown before it, and the runner got the fields as its header.
TEST(Proxy, ATrailerFieldSetsNothingThatAHeaderFieldSets) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    const std::string withoutKey =
        "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk("body") + "0\r\nAuthorization: Bearer key1\r\n\r\n";
    EXPECT_EQ(sendRequest(proxy, withoutKey).status, 401);
    EXPECT_TRUE(runner->receivedRequests.empty());
    const auto withTrailer = chunkedAnnouncement("a2") + chunk("body") + "0\r\nX-Late: late\r\n\r\n";
    EXPECT_EQ(sendRequest(proxy, withTrailer).status, 200);
    ASSERT_EQ(runner->receivedRequests.size(), 1U);
    EXPECT_EQ(runner->receivedRequests.front().find("X-Late"), std::string::npos);
    EXPECT_NE(runner->receivedRequests.front().find("body"), std::string::npos);
  });
}
TEST(Proxy, TrailersWithinTheLimitOfAHeaderAreAccepted) {
  withProxy([](TestProxy& proxy) {
    auto runner = proxy.runner("i-1", respondOk);
    std::string trailers;
    for (int i = 0; i < 90; ++i)
      trailers += "X-Trailer: 456789\r\n";
    const auto response = sendRequest(proxy, chunkedAnnouncement("a1") + chunk("body") + "0\r\n" + trailers + "\r\n");
    EXPECT_EQ(response.status, 200);
    EXPECT_EQ(runner->receivedRequests.size(), 1U);
  });
}
// A field of four bytes takes a hundred: the limit on a header's bytes does not bound its memory.
TEST(Proxy, HeaderFieldsAreReservedByTheMemoryThatTheyTake) {
  withProxy([](TestProxy& proxy) {
    auto configuration = std::make_shared<Configuration>(*proxy.context.configuration);
    configuration->limits.maxHeaderBytes = 16384;
    proxy.context.configuration = configuration;
    constexpr int kFields = 3500;
    std::string fields;
    for (int i = 0; i < kFields; ++i)
      fields += "a:\r\n";
    auto client = proxy.connectClient();
    auto text = requestText("/safe/x", "a1", fields, "body");
    text.pop_back();
    sendBytes(*client, text);
    EventLoop::get().sleepFor(50ms);
    EXPECT_GT(proxy.context.messageMemory.used(), kFields * 64U);
    client->close();
    EventLoop::get().sleepFor(50ms);
    EXPECT_EQ(proxy.context.messageMemory.used(), 0U);
  });
}
// All that the requests need is in memory, so nothing but a pause between them lets others in.
TEST(Proxy, AClientThatSendsAheadDoesNotKeepOthersOut) {
  withProxy([](TestProxy& proxy) {
    constexpr int kRequests = 3000;
    proxy.runner("i-1", respondOk);
    auto eager = proxy.connectClient();
    std::string requests;
    for (int i = 0; i < kRequests; ++i)
      requests += requestText("/unknown/x", "e" + std::to_string(i));
    EventLoop::get().spawn([&] { sendBytes(*eager, requests); });
    EventLoop::get().sleepFor(5ms);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1")).status, 200);
    EXPECT_LT(proxy.context.rejected, static_cast<std::uint64_t>(kRequests));
  });
}
// A small request fits into what every connection is charged with. It must not depend on what others hold.
TEST(Proxy, ASmallRequestIsServedWhileTheMemoryIsFull) {
  withProxy([](TestProxy& proxy) {
    proxy.runner("i-1", respondOk);
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a0")).status, 200);
    proxy.context.messageMemory = MemoryBudget(kMb / 4);
    MemoryReservation large(proxy.context.messageMemory);
    MemoryReservation small(proxy.context.messageMemory);
    ASSERT_TRUE(large.tryGrowTo(kMb / 16 * 3));
    ASSERT_TRUE(small.tryGrowTo(kMb / 16));
    const std::string body(2000, 'b');
    EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a1", "X-Deadline-Ms: 5000\r\n", body)).status, 200);
    const auto chunked = chunkedAnnouncement("a2") + chunk(body) + "0\r\n\r\n";
    EXPECT_EQ(sendRequest(proxy, chunked).status, 200);
    EXPECT_EQ(proxy.context.messageMemory.used(), kMb / 4);
  });
}
// Connections to runners that went away stay in the pool for as long as these had announced. They must not take the
// descriptors of new ones.
TEST(Proxy, IdleConnectionsToRunnersStayWithinThePlacesOfClients) {
  withProxy([](TestProxy& proxy) {
    constexpr int kPlaces = 3;
    proxy.context.maxClients = kPlaces;
    for (int i = 0; i < 3 * kPlaces; ++i) {
      proxy.runners.clear();
      proxy.runner("i-" + std::to_string(i), respondOk);
      EXPECT_EQ(sendRequest(proxy, requestText("/safe/x", "a" + std::to_string(i))).status, 200);
      EventLoop::get().sleepFor(5ms);
      EXPECT_LE(proxy.context.connections.size(), static_cast<std::size_t>(kPlaces));
    }
  });
}
// Calls of many runners and operators at once. `memoryMb` of 8 leaves 1 MB for the bodies of calls.
TEST(ControlServer, BodiesThatAreBeingReadStayWithinTheMemory) {
  static controller_testing::FakeController controller;
  controller.configuredSettings.memoryMb = 8;
  static controller::ControlServer server(controller, "127.0.0.1:0");
  EventLoop::get().spawn([] {
    const auto listener = *transport::openListener({asio::ip::make_address("127.0.0.1"), 0}, [](tcp::socket socket) {
      auto shared = std::make_shared<tcp::socket>(std::move(socket));
      EventLoop::get().spawn([shared] { server.serve(std::move(*shared)); });
    });
    const auto dial = [&listener] {
      auto connection = std::make_unique<Connection>();
      SocketError ec;
      connection->connect(listener.endpoint(), ec);
      EXPECT_FALSE(ec);
      return connection;
    };
    const auto replaceCall = [](std::size_t bytes) {
      return "POST /v1/Configuration.Replace HTTP/1.1\r\nHost: c\r\nX-Base-Version: 0\r\nContent-Length: " +
             std::to_string(bytes) + "\r\n\r\n";
    };
    std::vector<std::unique_ptr<Connection>> callers;
    for (int i = 0; i < 20; ++i) {
      callers.push_back(dial());
      sendBytes(*callers.back(), replaceCall(kMb / 4));
      sendInBackground(*callers.back(), kMb / 8);
    }
    EventLoop::get().sleepFor(50ms);
    auto runner = dial();
    Buffer buffer;
    sendBytes(*runner, "GET /v1/Status HTTP/1.1\r\nHost: c\r\n\r\n");
    EXPECT_EQ(readResponse(*runner, buffer).status, 200);
    EXPECT_EQ(server.bodyBytes(), kMb / 4 * 3);
    Buffer refused;
    EXPECT_EQ(readResponse(*callers.back(), refused).status, 503);
    callers.clear();
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
