// Tests which members of the core an agent connects to, and which messages the agent forwards.
#include "agent/leader_discovery.hpp"

#include <gtest/gtest.h>

#include "agent/request_forwarding.hpp"

using namespace zinccleat;
using namespace zinccleat::agent;
using transport::ClusterStatus;
using transport::MessageType;

namespace {
using Addresses = std::set<std::string>;
const TimePoint kNow = TimePoint{} + 1h;
const std::vector<std::string> kVoters{"10.0.0.1#a", "10.0.0.2#b", "10.0.0.3#c", "10.0.0.4#d", "10.0.0.5#e"};
const Addresses kVoterAddresses{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"};

bool allConnected(const std::string&) {
  return true;
}
bool noneConnected(const std::string&) {
  return false;
}
ClusterStatus statusOf(std::int64_t term, const std::string& leader, std::vector<std::string> voters = kVoters) {
  ClusterStatus status;
  status.term = term;
  status.leader = leader;
  status.voters = std::move(voters);
  return status;
}
/// Creates a discovery that knows all voters and the leader 10.0.0.3, which granted a lease at `kNow`.
LeaderDiscovery settledDiscovery(std::uint64_t seed = 1) {
  LeaderDiscovery discovery("10.1.0.1", seed);
  discovery.observe(statusOf(3, "10.0.0.3#c"));
  discovery.setLeader("10.0.0.3#c");
  discovery.recordLease(kNow);
  return discovery;
}
}  // namespace

TEST(LeaderDiscovery, StartsWithTheSeeds) {
  LeaderDiscovery discovery("10.1.0.1", 1);
  EXPECT_TRUE(discovery.desiredAddresses(kNow, noneConnected).empty());
  discovery.setSeeds({"10.0.0.1:9000", "10.0.0.2:9000"});
  EXPECT_EQ(discovery.desiredAddresses(kNow, noneConnected), (Addresses{"10.0.0.1", "10.0.0.2"}));
  EXPECT_EQ(discovery.leaderAddress(), "");
}
TEST(LeaderDiscovery, LinksToTheLeaderAndAFewVoters) {
  const auto discovery = settledDiscovery();
  const auto addresses = discovery.desiredAddresses(kNow, allConnected);
  EXPECT_EQ(addresses.size(), 1 + LeaderDiscovery::kExtraVoterLinks);
  EXPECT_TRUE(addresses.contains("10.0.0.3"));
  EXPECT_TRUE(std::includes(kVoterAddresses.begin(), kVoterAddresses.end(), addresses.begin(), addresses.end()));
  EXPECT_EQ(discovery.desiredAddresses(kNow + 500ms, allConnected), addresses) << "the selected voters do not change";
}
TEST(LeaderDiscovery, NodesSpreadOverTheVoters) {
  Addresses chosen;
  for (std::uint64_t seed = 1; seed <= 30; ++seed)
    chosen.merge(settledDiscovery(seed).desiredAddresses(kNow, allConnected));
  EXPECT_EQ(chosen, kVoterAddresses);
}
TEST(LeaderDiscovery, LinksToAllKnownWhileNoneIsConnected) {
  auto discovery = settledDiscovery();
  discovery.setSeeds({"10.0.0.9:9000"});
  auto expected = kVoterAddresses;
  expected.insert("10.0.0.9");
  EXPECT_EQ(discovery.desiredAddresses(kNow, noneConnected), expected);
}
TEST(LeaderDiscovery, OneConnectionOfThoseDesiredSuffices) {
  const auto discovery = settledDiscovery();
  const auto onlyLeader = [](const std::string& address) { return address == "10.0.0.3"; };
  EXPECT_EQ(discovery.desiredAddresses(kNow, onlyLeader).size(), 1 + LeaderDiscovery::kExtraVoterLinks);
}
TEST(LeaderDiscovery, LinksToAllKnownWithoutALease) {
  const auto discovery = settledDiscovery();
  EXPECT_EQ(discovery.desiredAddresses(kNow + 1000ms, allConnected).size(), 3U);
  EXPECT_EQ(discovery.desiredAddresses(kNow + 1001ms, allConnected), kVoterAddresses)
      << "all connected members may be on the minority side of a partition";
}
TEST(LeaderDiscovery, RemembersMembersItHeardFromOrOf) {
  LeaderDiscovery discovery("10.1.0.1", 1);
  discovery.recordContact("10.0.0.7#x");
  ClusterStatus status;
  status.view = {"10.0.0.8/core", "10.1.0.2/access"};
  discovery.observe(status);
  EXPECT_EQ(discovery.desiredAddresses(kNow, noneConnected), (Addresses{"10.0.0.7", "10.0.0.8"}))
      << "an access machine is not a member of the core";
}
TEST(LeaderDiscovery, NoticesAnotherLeaderAndOtherVoters) {
  auto discovery = settledDiscovery();
  const auto same = discovery.observe(statusOf(3, "10.0.0.3#c"));
  EXPECT_FALSE(same.stale || same.voters || same.leader);

  const auto unknownLeader = discovery.observe(statusOf(4, ""));
  EXPECT_FALSE(unknownLeader.leader);
  EXPECT_EQ(discovery.term(), 4);

  const auto otherLeader = discovery.observe(statusOf(4, "10.0.0.1#a", {"10.0.0.1#a"}));
  EXPECT_TRUE(otherLeader.leader);
  EXPECT_TRUE(otherLeader.voters);
  EXPECT_EQ(discovery.leader(), "10.0.0.3#c") << "unchanged until `setLeader` is called";
}
TEST(LeaderDiscovery, TheSameLeaderInANewTermIsFollowedAnew) {
  auto discovery = settledDiscovery();
  EXPECT_TRUE(discovery.observe(statusOf(4, "10.0.0.3#c")).leader);
}
TEST(LeaderDiscovery, AStatusWithoutVotersChangesNone) {
  auto discovery = settledDiscovery();
  EXPECT_FALSE(discovery.observe(statusOf(3, "10.0.0.3#c", {})).voters);
  EXPECT_EQ(discovery.desiredAddresses(kNow, noneConnected), kVoterAddresses);
}
TEST(LeaderDiscovery, AStaleStatusBringsOnlyItsView) {
  auto discovery = settledDiscovery();
  auto stale = statusOf(2, "10.0.0.1#a", {"10.0.0.1#a"});
  stale.view = {"10.0.0.8/core"};
  EXPECT_TRUE(discovery.observe(stale).stale);
  EXPECT_EQ(discovery.term(), 3);
  EXPECT_EQ(discovery.leader(), "10.0.0.3#c");
  EXPECT_TRUE(discovery.desiredAddresses(kNow, noneConnected).contains("10.0.0.8"));
  EXPECT_TRUE(discovery.desiredAddresses(kNow, noneConnected).contains("10.0.0.5"));
}
TEST(LeaderDiscovery, EarlierTermsAreFenced) {
  const auto discovery = settledDiscovery();
  EXPECT_FALSE(discovery.acceptsTerm(2));
  EXPECT_TRUE(discovery.acceptsTerm(3));
  EXPECT_TRUE(discovery.acceptsTerm(4));
}

TEST(RequestForwarding, PassesRequestsAndTheirResponsesOnly) {
  const std::set<MessageType> requests{MessageType::leaseRequest, MessageType::quotaTokenRequest,
                                       MessageType::prefixLookupRequest};
  const std::set<MessageType> responses{MessageType::leaseResponse, MessageType::quotaTokenResponse,
                                        MessageType::prefixLookupResponse};
  for (int number = 1; number <= static_cast<int>(transport::kLastMessageType); ++number) {
    const auto type = static_cast<MessageType>(number);
    EXPECT_EQ(isRequestForLeader(type), requests.contains(type)) << number;
    EXPECT_EQ(isResponseForProxy(type), responses.contains(type)) << number;
  }
}
