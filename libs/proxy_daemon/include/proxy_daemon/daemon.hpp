/// The proxy's daemon: connects the components of this library to the proxy, to sockets, timers and settings.
#pragma once
#include "agent/followed_replica.hpp"
#include "config/settings.hpp"
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/agent_link.hpp"
#include "proxy_daemon/lease_renewal.hpp"
#include "proxy_daemon/node_report.hpp"
#include "proxy_daemon/partner_lookup.hpp"
#include "proxy_daemon/quota_token_client.hpp"
#include "proxy_daemon/readiness_server.hpp"
#include "proxy_daemon/state_adoption.hpp"
#include "runtime/startup.hpp"
#include "transport/listener.hpp"
namespace zinccleat::proxy_daemon {
/// Must exist until the event loop has ended. Used on the event loop's thread only.
class ProxyDaemon {
 public:
  explicit ProxyDaemon(const config::Settings& settings);
  ProxyDaemon(const ProxyDaemon&) = delete;
  ProxyDaemon& operator=(const ProxyDaemon&) = delete;
  /// Connects to the agent, opens the listeners and starts the timers.
  /// @return the error of the first endpoint or listener that cannot be used.
  Result<void> start(runtime::Startup& startup);
  /// Handles SIGTERM: stops the event loop after the phases of `GracefulShutdown`.
  void shutDown();
  /// Applies the timers of reloaded settings.
  void reloadSettings(const config::Settings& settings) { settings_.timers = settings.timers; }

 private:
  void applyLimits();
  void connectCallbacks();
  Result<void> listenForClients(const tcp::endpoint& endpoint);
  void startTimers();
  void advanceShutdown(TimePoint now);

  void onAgentConnected(const transport::PeerLinkPtr& link);
  void onAgentMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);

  void onSnapshot(const transport::FeedSnapshot& snapshot);
  void onEntries(transport::FeedEntries feed);
  void applyEntries();
  void requestSnapshot();
  void adopt(state_machine::ReplicatedState::Change change);

  void renewLease();
  /// Logs when the renewal of a lease that is still valid becomes overdue, and when the lease is renewed again.
  void logOverdueRenewal(TimePoint now);
  void onLeaseResponse(const transport::LeaseResponse& response);
  void useLease();

  config::Settings settings_;
  proxy::ProxyContext context_;
  AgentLink agentLink_;
  agent::FollowedReplica replica_;
  StateAdoption adoption_;
  LeaseRenewal lease_;
  TimePoint grantedLeaseExpiresAt_{};  // expiry of the usable lease, not shortened by a lag of the replica
  bool isRenewalOverdue_ = false;      // state that was last logged
  NodeReport report_;
  QuotaTokenClient quotaTokens_;
  std::optional<PartnerLookup> partnerLookup_;  // empty without a partner site
  ReadinessServer readiness_;
  std::optional<transport::Listener> clientListener_;
  // Random number from 0 to 1. If the fleet-wide retry slack is too small to give each node a retry, this number
  // decides which nodes get one.
  double retrySlackDraw_;
};
}  // namespace zinccleat::proxy_daemon
