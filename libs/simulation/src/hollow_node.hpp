/// A hollow access node: the agent's and the proxy's side of every exchange with the controllers, without the traffic
/// itself. Many of them in one process stand for a large fleet.
#pragma once
#include <random>

#include "balancing/quota_token_buckets.hpp"
#include "consensus/entry_queue.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/dialer.hpp"
namespace zinccleat::simulation {
/// Keeps a copy of the replicated state, a lease and a reserve of quota tokens, as an agent and its proxy do. It may
/// only be used on the event loop's thread, and must outlive the loop's last turn after `start`.
class HollowNode {
 public:
  /// Since the last `resetStatistics`.
  struct Statistics {
    std::uint64_t granted = 0;  ///< requests that got a token
    std::uint64_t refused = 0;
    std::vector<double> tokenRequestMs;  ///< round trips of token requests
  };
  /// @param self the node's identity in messages, ip#role.
  /// @param core the controllers' addresses, @param port their internal port.
  HollowNode(std::string self, std::vector<std::string> core, unsigned short port, std::uint64_t seed);
  /// Connects to controllers and starts the timers.
  void start();
  /// Forgets everything, as a process that has just started.
  void restart();
  /// A request of the tenant that needs a token. Counted in the statistics once it has one or is refused.
  void request(const std::string& tenant);
  bool leased() const { return Clock::now() < leaseEnds_; }
  /// Version and digest of the configuration that the node has.
  std::int64_t version() const { return copy_.state().version; }
  std::string digest() const { return copy_.state().digest; }
  const Statistics& statistics() const { return statistics_; }
  void resetStatistics() { statistics_ = {}; }

 private:
  void dial();
  std::vector<std::string> chooseControllers();
  /// Calls a member function periodically, from a random moment within the first period.
  void callEvery(Duration period, void (HollowNode::*function)());
  void sendState();
  void requestLease();
  void refetchIfBehind();
  void requestTokens();
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onClusterStatus(const transport::ClusterStatus& status);
  void onEntries(transport::FeedEntries feed);
  void onSnapshot(const transport::FeedSnapshot& feed);
  void onBodyAhead(transport::BodyAhead ahead);
  void onLease(const transport::LeaseResponse& response);
  void onTokens(const transport::QuotaTokenResponse& response);
  void followLog();
  void applyEntries();
  /// The connection to the leader, or null.
  transport::Dialer* leader();

  std::string self_, leaderIp_;
  std::vector<std::string> core_;
  unsigned short port_;
  std::mt19937_64 random_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> links_;  // by the controller's address
  consensus::EntryQueue queue_;
  state_machine::ReplicatedState copy_;
  balancing::QuotaTokenBuckets reserve_;
  std::map<std::int64_t, TimePoint> leaseRequestedAt_;  // by request id
  TimePoint leaseEnds_{}, followedAt_{}, tokensRequestedAt_{};
  std::int64_t leaseRequestId_ = 0, tokenRequestId_ = 0;
  std::int64_t term_ = 0, newestIndex_ = 0, outliersVersion_ = 0;
  std::map<std::string, int> waitingRequests_;  // by tenant
  int statesSent_ = 0;
  bool following_ = false, tokenRequestScheduled_ = false;
  Statistics statistics_;
};
using HollowNodes = std::vector<std::unique_ptr<HollowNode>>;
}  // namespace zinccleat::simulation
