// Guards against a process whose places or memory are held for good by connections that make no progress, and against
// an honest connection, on a slow link or behind a short cut, that makes way for others.
#include "runtime/connection_table.hpp"

#include <gtest/gtest.h>

#include "runtime/event_loop.hpp"
#include "transport/listener.hpp"

namespace zinccleat::runtime {
namespace {
using namespace std::chrono_literals;
constexpr TimePoint kStart{1h};
constexpr std::size_t kKb = 1024;

void onEventLoop(const std::function<void()>& body) {
  auto& loop = EventLoop::get();
  loop.spawn([&] {
    body();
    loop.stop();
  });
  loop.run();
}
/// Accepted connections in a table, each with its peer.
struct Connections {
  explicit Connections(std::size_t budgetBytes = 100 * kKb) : budget(budgetBytes) {}
  ServedConnection& add() {
    peers.push_back(std::make_unique<Connection>());
    SocketError ec;
    peers.back()->connect(listener.endpoint(), ec);
    while (served.size() < peers.size())
      EventLoop::get().sleepFor(1ms);
    return *served.back();
  }
  /// Makes a connection late for a time.
  static void makeLate(ServedConnection& connection, Duration lateness) {
    connection.connection().progress().begin(Clock::now() - lateness, Duration(0));
  }
  ConnectionTable table;
  MemoryBudget budget;
  std::vector<std::unique_ptr<Connection>> peers;
  std::vector<std::unique_ptr<ServedConnection>> served;
  transport::Listener listener =
      *transport::openListener({asio::ip::make_address("127.0.0.1"), 0}, [this](tcp::socket socket) {
        served.push_back(std::make_unique<ServedConnection>(table, budget, std::move(socket)));
      });
};
}  // namespace

TEST(TransferProgress, APeerBehindACutOfASecondIsNotLate) {
  TransferProgress progress;
  progress.begin(kStart);
  progress.record(100, kStart + 100ms);
  EXPECT_GT(progress.due(), kStart + 100ms + 1s + 1s) << "a cut of a second, and a second until TCP sends again";
}
TEST(TransferProgress, ASlowLinkThatKeepsTheLeastRateIsNeverLate) {
  TransferProgress progress;
  progress.begin(kStart);
  auto now = kStart;
  for (int part = 0; part < 600; ++part) {
    now += 1s;
    progress.record(TransferProgress::kMinBytesPerS, now);
    ASSERT_GT(progress.due(), now);
  }
}
TEST(TransferProgress, AFewBytesNowAndThenDoNotHelp) {
  TransferProgress progress;
  progress.begin(kStart);
  auto now = kStart;
  for (int part = 0; part < 40; ++part) {
    now += 100ms;
    progress.record(1, now);
  }
  EXPECT_LT(progress.due(), now);
}
TEST(TransferProgress, BytesSentAtOnceDoNotCountForLong) {
  TransferProgress progress;
  progress.begin(kStart);
  progress.record(std::size_t{1} << 30, kStart + 1s);
  EXPECT_EQ(progress.due(), kStart + 1s + TransferProgress::kMaxCredit);
}
TEST(ConnectionTable, TheConnectionThatIsLateForTheLongestTimeMakesWay) {
  onEventLoop([] {
    Connections connections;
    auto& first = connections.add();
    auto& second = connections.add();
    auto& fresh = connections.add();
    EXPECT_FALSE(connections.table.evictForPlace()) << "none is late";
    EventLoop::get().sleepFor(30ms);
    Connections::makeLate(first, 10ms);
    Connections::makeLate(second, 1000ms);
    EXPECT_TRUE(connections.table.evictForPlace());
    EXPECT_FALSE(second.connection().isOpen());
    EXPECT_TRUE(first.connection().isOpen());
    EXPECT_TRUE(connections.table.evictForPlace());
    EXPECT_FALSE(first.connection().isOpen());
    EXPECT_FALSE(connections.table.evictForPlace());
    EXPECT_TRUE(fresh.connection().isOpen());
    EXPECT_EQ(connections.table.evicted(), 2U);
  });
}
// While a crowd that sends no whole header had all places, ordinary callers were turned away for three seconds.
TEST(ConnectionTable, APauseWithinAHeaderIsShorterWhileAPlaceIsNeeded) {
  onEventLoop([] {
    Connections connections;
    auto& header = connections.add();
    auto& body = connections.add();
    body.enter(ConnectionPhase::receivingBody);
    const auto begun = Clock::now();
    for (auto* connection : {&header, &body})
      connection->connection().progress().begin(begun);
    EXPECT_EQ(header.due(true), begun + ServedConnection::kMaxHeaderPause);
    EXPECT_GT(header.due(true), begun + 2s) << "a cut of a second, and a second until TCP sends again";
    EXPECT_EQ(header.due(false), begun + TransferProgress::kMaxCredit);
    EXPECT_EQ(body.due(true), begun + TransferProgress::kMaxCredit);
  });
}
TEST(ConnectionTable, WhoHasHadAnAnswerMakesWayAfterThoseWhoHaveNot) {
  onEventLoop([] {
    Connections connections;
    auto& answered = connections.add();
    auto& silent = connections.add();
    answered.enter(ConnectionPhase::idle);
    Connections::makeLate(answered, 5000ms);
    Connections::makeLate(silent, 10ms);
    EXPECT_TRUE(connections.table.evictForPlace());
    EXPECT_FALSE(silent.connection().isOpen());
    EXPECT_TRUE(answered.connection().isOpen());
    EXPECT_TRUE(connections.table.evictForPlace()) << "late all the same";
    EXPECT_FALSE(answered.connection().isOpen());
  });
}
TEST(ConnectionTable, ARequestThatIsBeingAnsweredDoesNotMakeWay) {
  onEventLoop([] {
    Connections connections;
    auto& serving = connections.add();
    serving.enter(ConnectionPhase::serving);
    Connections::makeLate(serving, 1000ms);
    EXPECT_FALSE(connections.table.evictForPlace());
    EXPECT_FALSE(connections.table.evictSlowest());
    EXPECT_TRUE(serving.connection().isOpen());
  });
}
TEST(ConnectionTable, AnAnswerThatIsNotReadMakesWay) {
  onEventLoop([] {
    Connections connections;
    auto& unread = connections.add();
    unread.enter(ConnectionPhase::serving);
    bool ended = false;
    EventLoop::get().spawn([&] {
      SocketError ec;
      unread.connection().write(asio::buffer(std::string(std::size_t{32} << 20, 'x')), ec);
      EXPECT_TRUE(ec);
      ended = true;
    });
    EventLoop::get().sleepFor(50ms);
    EXPECT_TRUE(unread.connection().isWriting());
    EXPECT_FALSE(connections.table.evictForPlace()) << "the peer has time to read";
    EventLoop::get().sleepFor(30ms);
    Connections::makeLate(unread, 1ms);
    EXPECT_TRUE(connections.table.evictForPlace());
    EventLoop::get().sleepFor(20ms);
    EXPECT_TRUE(ended);
  });
}
TEST(ConnectionTable, AReservationWaitsUntilLateHoldersHaveMadeWay) {
  onEventLoop([] {
    Connections connections(100 * kKb);
    auto& holder = connections.add();
    auto& late = connections.add();
    auto& needy = connections.add();
    ASSERT_TRUE(holder.reserve(30 * kKb, 0ms));
    ASSERT_TRUE(late.reserve(50 * kKb, 0ms));
    EXPECT_FALSE(needy.reserve(50 * kKb, 0ms)) << "nobody is late";
    EXPECT_TRUE(late.connection().isOpen());
    // The owner of an evicted connection ends and frees what it holds.
    EventLoop::get().spawn([&] {
      while (late.connection().isOpen())
        EventLoop::get().sleepFor(1ms);
      late.memory().shrinkTo(0);
    });
    EventLoop::get().sleepFor(30ms);
    Connections::makeLate(late, 1ms);
    EXPECT_TRUE(needy.reserve(50 * kKb, 2000ms));
    EXPECT_FALSE(late.connection().isOpen());
    EXPECT_TRUE(holder.connection().isOpen());
    EXPECT_EQ(connections.budget.used(), 80 * kKb);
  });
}
TEST(ConnectionTable, WhoHoldsNothingDoesNotMakeWayForMemory) {
  onEventLoop([] {
    Connections connections(100 * kKb);
    auto& idle = connections.add();
    Connections::makeLate(idle, 1000ms);
    EXPECT_FALSE(connections.table.evictForMemory());
    EXPECT_TRUE(idle.connection().isOpen());
  });
}
// A process that stood still finds bytes that arrived meanwhile; its peers were not slow.
TEST(ConnectionTable, APeerWhoseBytesHaveArrivedIsNotLate) {
  onEventLoop([] {
    Connections connections;
    auto& waiting = connections.add();
    SocketError ec;
    connections.peers[0]->write(asio::buffer(std::string("x")), ec);
    EventLoop::get().sleepFor(10ms);
    Connections::makeLate(waiting, 1000ms);
    EXPECT_FALSE(connections.table.evictForPlace());
    EXPECT_TRUE(waiting.connection().isOpen());
  });
}
// While memory is full nothing is read, so a peer that waits for it cannot make progress.
TEST(ConnectionTable, WhoWaitsForMemoryDoesNotBecomeLate) {
  onEventLoop([] {
    Connections connections(100 * kKb);
    auto& holder = connections.add();
    auto& needy = connections.add();
    ASSERT_TRUE(holder.reserve(60 * kKb, 0ms));
    ASSERT_TRUE(needy.reserve(10 * kKb, 0ms));
    needy.connection().progress().begin(Clock::now(), 50ms);
    EXPECT_FALSE(needy.reserve(60 * kKb, 200ms));
    EXPECT_GT(needy.connection().progress().due(), Clock::now());
    EXPECT_TRUE(needy.connection().isOpen());
  });
}
TEST(ConnectionTable, TheSlowestMakesWayEvenIfItIsNotLate) {
  onEventLoop([] {
    Connections connections;
    auto& first = connections.add();
    EventLoop::get().sleepFor(5ms);
    auto& second = connections.add();
    EXPECT_TRUE(connections.table.evictSlowest());
    EXPECT_FALSE(first.connection().isOpen());
    EXPECT_TRUE(second.connection().isOpen());
  });
}
}  // namespace zinccleat::runtime
