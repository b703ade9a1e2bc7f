// Guards against a process that peers fill with incomplete frames or with links: 20 links that announce a frame of 32
// MB and stop short of its end would take 640 MB.
#include "transport/accepted_links.hpp"

#include <gtest/gtest.h>

#include "transport/access_messages.hpp"
#include "transport/listener.hpp"

namespace zinccleat::transport {
namespace {
using namespace std::chrono_literals;
constexpr std::size_t kKb = 1024;
constexpr AcceptedLinkLimits kLimits{.links = 3, .frameBytes = 400 * kKb};

void onEventLoop(const std::function<void()>& body) {
  auto& loop = runtime::EventLoop::get();
  loop.spawn([&] {
    body();
    loop.stop();
  });
  loop.run();
}
/// A process that accepts links, and its peers.
struct Receiver {
  int messages = 0;
  AcceptedLinks links{kLimits};
  Listener listener = *openListener({asio::ip::make_address("127.0.0.1"), 0}, [this](tcp::socket socket) {
    links.accept(std::move(socket), [this](const PeerLinkPtr&, const Envelope&) { ++messages; });
  });
  std::unique_ptr<runtime::Connection> dial() const {
    auto connection = std::make_unique<runtime::Connection>();
    runtime::SocketError ec;
    connection->connect(listener.endpoint(), ec);
    EXPECT_FALSE(ec);
    return connection;
  }
};
void send(runtime::Connection& connection, const std::string& bytes) {
  runtime::SocketError ignored;
  connection.setDeadline(Clock::now() + 1s);
  connection.write(asio::buffer(bytes), ignored);
  connection.clearDeadline();
}
void pause(Duration duration = 50ms) {
  runtime::EventLoop::get().sleepFor(duration);
}
std::string frameOf(std::size_t bytes) {
  return encodeFrame(pack(FeedSnapshot{.lastIncludedIndex = 9, .state = std::string(bytes, 'q')}, "10.0.0.4#77"));
}
}  // namespace

TEST(AcceptedLinks, IncompleteFramesStayWithinTheMemory) {
  onEventLoop([] {
    Receiver receiver;
    auto first = receiver.dial();
    auto second = receiver.dial();
    const auto frame = frameOf(160 * kKb);
    send(*first, frame.substr(0, frame.size() - 1));
    pause();
    EXPECT_GE(receiver.links.reservedBytes(), 160 * kKb);
    send(*second, frame.substr(0, frame.size() - 1));
    pause(800ms);
    EXPECT_LE(receiver.links.reservedBytes(), kLimits.frameBytes);
    EXPECT_TRUE(second->peerHasClosed()) << "the link that finds no memory is closed";
    EXPECT_FALSE(first->peerHasClosed());
    send(*first, frame.substr(frame.size() - 1));
    pause();
    EXPECT_EQ(receiver.messages, 1) << "an incomplete frame that is completed later is received";
    EXPECT_EQ(receiver.links.reservedBytes(), 0U);
  });
}
TEST(AcceptedLinks, FragmentsOfAnIncompleteFrameCountToo) {
  onEventLoop([] {
    Receiver receiver;
    auto peer = receiver.dial();
    const auto frame = frameOf(100 * kKb);
    std::string fragments;
    for (std::size_t offset = 0; offset + kFragmentBytes < frame.size();)
      offset = appendFragment(fragments, frame, offset);
    send(*peer, fragments);
    pause();
    EXPECT_EQ(receiver.messages, 0);
    EXPECT_GE(receiver.links.reservedBytes(), 64 * kKb);
    peer->close();
    pause();
    EXPECT_EQ(receiver.links.reservedBytes(), 0U);
  });
}
TEST(AcceptedLinks, LinksBeyondTheLimitAreClosed) {
  onEventLoop([] {
    Receiver receiver;
    std::vector<std::unique_ptr<runtime::Connection>> peers;
    peers.reserve(kLimits.links);
    for (int i = 0; i < kLimits.links; ++i)
      peers.push_back(receiver.dial());
    pause();
    auto beyond = receiver.dial();
    pause();
    EXPECT_TRUE(beyond->peerHasClosed());
    EXPECT_EQ(receiver.links.size(), kLimits.links);
    peers.pop_back();
    pause();
    auto next = receiver.dial();
    pause();
    EXPECT_FALSE(next->peerHasClosed());
    send(*next, frameOf(10));
    pause();
    EXPECT_EQ(receiver.messages, 1);
  });
}
TEST(AcceptedLinks, LimitsFollowThoseOfTheProcess) {
  const auto limits = AcceptedLinkLimits::of(256, 4096);
  EXPECT_GE(limits.links, 330) << "an agent on each machine of the target";
  EXPECT_GE(limits.frameBytes / 4 * 3, std::size_t{32} << 20) << "the largest frame";
  EXPECT_EQ(AcceptedLinkLimits::of(0, 0).links, AcceptedLinkLimits{}.links) << "no limit of the process";
}
}  // namespace zinccleat::transport
