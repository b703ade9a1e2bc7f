/// @file
/// Tests an agent with real connections on loopback. The member that sends the log to the agent is isolated from the
/// rest of the core but still answers the agent. Acknowledged entries must reach the agent within the required time.
#include <gtest/gtest.h>

#include "agent/agent_daemon.hpp"
#include "agent/port.hpp"
#include "state_machine/log_entries.hpp"
#include "transport/access_messages.hpp"
#include "transport/dialer.hpp"
#include "transport/listener.hpp"

using namespace zinccleat;
using namespace zinccleat::agent;
using namespace zinccleat::runtime;
using namespace zinccleat::transport;
namespace {
constexpr int kFirstPort = 7940;
constexpr auto kTimeout = 10s;
/// On the users' small sites, a drain must take effect within 2,000 ms after its acknowledgement. The proxy renews its
/// lease every 400 ms, and each lease response reports new entries.
constexpr Duration kMaxDrainDelay{2000};
constexpr Duration kRenewalInterval{400};

LogEntry runnerJoins(std::int64_t index) {
  state_machine::Runner runner;
  runner.id = "i" + std::to_string(index);
  auto entry = state_machine::runnerEntry(runner, "runner/" + runner.id);
  entry.index = index;
  entry.term = 1;
  return entry;
}

/// A member of the core that sends its entries to followers of its log, and grants leases if it is the leader.
struct FakeCoreMember {
  std::string address;
  std::string leader;  ///< identity of the leader in the status messages of this member
  std::vector<MemberZone> members;
  std::vector<LogEntry> entries;
  bool isLeader = false;
  int followers = 0;  ///< requests to follow its log
  int refetches = 0;

  std::string id() const { return address + "#0"; }
  std::int64_t commitIndex() const { return static_cast<std::int64_t>(entries.size()); }
  void start() {
    ASSERT_TRUE(listen(*parseEndpoint(address + ":" + std::to_string(kFirstPort)), [this](tcp::socket socket) {
      auto link = std::make_shared<PeerLink>(
          std::move(socket), [this](const PeerLinkPtr& from, const Envelope& envelope) { answer(from, envelope); },
          [](const PeerLinkPtr&) {});
      link->start();
    }));
  }
  void answer(const PeerLinkPtr& link, const Envelope& envelope) {
    receive<AgentState>(link, envelope, [&](const AgentState&) { sendStatus(link); });
    receive<FollowLog>(link, envelope, [&](const FollowLog& request) {
      if (request.extension.unsubscribe)
        return;
      ++(request.refetch ? refetches : followers);
      FeedEntries feed;
      feed.term = 1;
      feed.newestIndex = commitIndex();
      for (auto index = request.lastApplied; index < commitIndex(); ++index)
        feed.entries.push_back(entries[static_cast<std::size_t>(index)]);
      link->send(pack(feed, id()));
      sendStatus(link);
    });
    receive<LeaseRequest>(link, envelope, [&](const LeaseRequest& request) {
      LeaseResponse response;
      response.requestId = request.requestId;
      response.granted = isLeader;
      response.commitIndex = commitIndex();
      link->send(pack(response, id()));
    });
  }
  void sendStatus(const PeerLinkPtr& link) const {
    ClusterStatus status;
    status.term = 1;
    status.leader = leader;
    status.commitIndex = commitIndex();
    for (const auto& member : members)
      status.voters.push_back(member.address + "#0");
    status.extension.members = members;
    link->send(pack(status, id()));
  }
};

/// A proxy that renews its lease and records the highest index of the received entries.
struct FakeProxyClient {
  std::int64_t newestEntry = 0;
  std::int64_t lastRequest = 0;
  Dialer dialer;
  explicit FakeProxyClient(const config::Settings& settings)
      : dialer(
            *parseEndpoint(agentEndpoint(settings)),
            [this](const PeerLinkPtr& link, const Envelope& envelope) {
              receive<FeedEntries>(link, envelope, [this](const FeedEntries& feed) {
                for (const auto& entry : feed.entries)
                  newestEntry = std::max(newestEntry, entry.index);
              });
            },
            [](const PeerLinkPtr& link) { link->send(pack(FollowLog{})); }) {}
  void renewLease() {
    LeaseRequest request;
    request.requestId = ++lastRequest;
    dialer.send(pack(request));
  }
};

/// Two members of the core, the second of them in the agent's zone, and one access machine. Objects must exist until
/// the end of the process, because timers of the event loop refer to them.
struct SmallFleet {
  FakeCoreMember leader{"127.0.6.1", "127.0.6.1#0"};
  FakeCoreMember zoneMember{"127.0.6.2", "127.0.6.1#0"};
  std::unique_ptr<AgentDaemon> agent;
  std::unique_ptr<FakeProxyClient> proxy;

  void start() {
    leader.isLeader = true;
    const std::vector<MemberZone> members{{leader.address, "a"}, {zoneMember.address, "b"}};
    for (auto* member : {&leader, &zoneMember}) {
      member->members = members;
      member->entries = {runnerJoins(1)};
      member->start();
    }
    config::Settings settings;
    settings.node = "access";
    settings.ip = "127.0.6.3";
    settings.zone = "b";
    settings.firstPort = kFirstPort;
    settings.seeds = {leader.address + ":8477", zoneMember.address + ":8477"};
    agent = std::make_unique<AgentDaemon>(settings);
    runtime::Startup startup;
    ASSERT_TRUE(agent->start(startup));
    proxy = std::make_unique<FakeProxyClient>(settings);
    EventLoop::get().callEvery(kRenewalInterval, [this] { proxy->renewLease(); });
  }
  static bool waitUntil(const std::function<bool()>& condition) {
    for (const auto end = Clock::now() + kTimeout; Clock::now() < end; EventLoop::get().sleepFor(2ms))
      if (condition())
        return true;
    return false;
  }
};
void runOnLoop(const std::function<void()>& test) {
  EventLoop::get().spawn([test] {
    test();
    EventLoop::get().stop();
  });
  EventLoop::get().run();
}
}  // namespace

// Regression (DRAIN, CONFIG): the agent treated each message of its source, including responses to its own refetch
// requests, as a sign that a transfer of entries was in progress, and waited 2 s for that transfer. Proxies served from
// the old state for that time.
TEST(IsolatedSource, AMemberThatAnswersButHasNoEntriesIsLeftInTimeForADrain) {
  static SmallFleet fleet;
  runOnLoop([] {
    ASSERT_NO_FATAL_FAILURE(fleet.start());
    ASSERT_TRUE(SmallFleet::waitUntil([] { return fleet.proxy->newestEntry == 1 && fleet.zoneMember.followers > 0; }))
        << "the member of the zone is the source";
    const auto acknowledgedAt = Clock::now();
    fleet.leader.entries.push_back(runnerJoins(2));  // the member of the agent's zone never receives this entry
    ASSERT_TRUE(SmallFleet::waitUntil([] { return fleet.proxy->newestEntry == 2; }));
    const auto staleFor = toDuration(Clock::now() - acknowledgedAt);
    EXPECT_GT(fleet.zoneMember.refetches, 0) << "the source received refetch requests and responded";
    EXPECT_LT(staleFor, kMaxDrainDelay / 2) << "half of the allowed time is reserved for attempts in progress";
  });
}

// Guards against agents that cannot start because several machines share a host, where each has the same loopback
// address, and all machines use the same ports.
TEST(AgentEndpoint, IsTheMachinesOwnAddress) {
  config::Settings settings;
  settings.firstPort = kFirstPort;
  for (const std::string ip : {"10.1.0.5", "10.1.0.6", "127.0.6.3"}) {
    settings.ip = ip;
    EXPECT_EQ(agentEndpoint(settings), ip + ":7941") << "no other machine of the host listens there";
  }
}
TEST(AgentEndpoint, OtherMachinesCannotConnect) {
  const auto address = [](const char* text) { return asio::ip::make_address(text); };
  EXPECT_TRUE(isOwnMachine(address("10.1.0.5"), address("10.1.0.5")));
  EXPECT_TRUE(isOwnMachine(address("127.0.0.1"), address("10.1.0.5")));
  EXPECT_TRUE(isOwnMachine(address("127.0.0.1"), address("127.0.6.3")));
  EXPECT_FALSE(isOwnMachine(address("10.1.0.6"), address("10.1.0.5")));
  EXPECT_FALSE(isOwnMachine(address("10.1.0.6"), address("127.0.6.3")));
}
