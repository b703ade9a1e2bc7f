// Guards against a controller or a command that goes over its memory, or never ends, because of what the platform, a
// partner site or a controller answers: bodies over the limit, trailers and chunk lines without end.
#include "operations/call.hpp"

#include <gtest/gtest.h>

#include "runtime/event_loop.hpp"
#include "transport/listener.hpp"

using namespace zinccleat;
using namespace zinccleat::runtime;
namespace {
constexpr Duration kTimeout{20000};  // far longer than the refusal of an answer takes
constexpr std::size_t kBlockBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxSent = std::size_t{64} << 20;
const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Calls a server that answers with a beginning and then with a part again and again.
struct EndlessServer {
  Result<operations::CallResponse> call(std::size_t maxAnswerBytes) {
    Result<operations::CallResponse> result = makeError(ErrorCode::unavailable, "not called");
    EventLoop::get().spawn([&] {
      auto listener = *transport::openListener({asio::ip::make_address("127.0.0.1"), 0},
                                               [this](tcp::socket socket) { serve(std::move(socket)); });
      operations::Call request;
      request.path = "/";
      request.maxAnswerBytes = maxAnswerBytes;
      const auto started = Clock::now();
      result = operations::callOne("127.0.0.1:" + std::to_string(listener.endpoint().port()), request, kTimeout);
      EXPECT_LT(Clock::now() - started, kTimeout) << "refused for what it sends, not at the time limit";
      while (serving)
        EventLoop::get().sleepFor(1ms);
      listener.close();
      EventLoop::get().stop();
    });
    EventLoop::get().run();
    return result;
  }
  void serve(tcp::socket socket) {
    serving = true;
    auto connection = std::make_shared<Connection>(std::move(socket));
    EventLoop::get().spawn([this, connection] {
      SocketError ec;
      connection->write(asio::buffer(beginning), ec);
      for (std::size_t sent = 0; !ec && sent < kMaxSent; sent += repeated.size())
        connection->write(asio::buffer(repeated), ec);
      serving = false;
    });
  }
  std::string beginning;
  std::string repeated;
  bool serving = false;
};
std::string repeat(const std::string& part) {
  std::string text;
  while (text.size() < kBlockBytes)
    text += part;
  return text;
}
}  // namespace

TEST(CallOne, AnAnswerWithoutEndIsRefusedInEachPart) {
  const std::vector<std::pair<std::string, std::string>> answers = {
      {"HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
      {kChunked + "1;", "e"},
      {kChunked, "0"},
      {kChunked + "0\r\n", "X-Trailer: t\r\n"},
      {kChunked, "1;" + std::string(8000, 'e') + "\r\nx\r\n"},
      {"HTTP/1.1 200 OK\r\n\r\n", "until close"},
  };
  for (const auto& [beginning, repeated] : answers) {
    EndlessServer server{.beginning = beginning, .repeated = repeat(repeated)};
    EXPECT_FALSE(server.call(1 << 20)) << beginning << repeated.substr(0, 20);
  }
}
TEST(CallOne, ABodyOverTheLimitOfItsCallIsRefused) {
  EndlessServer server{.beginning = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'b'),
                       .repeated = repeat("more")};
  EXPECT_FALSE(server.call(999));
  EndlessServer same = server;
  const auto answer = same.call(1000);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body.size(), 1000U);
}
