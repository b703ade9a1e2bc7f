/// The proxy's daemon: wires the parts of this library to the proxy, to sockets, timers and settings.
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
#include "transport/listener.hpp"
namespace zinccleat::proxy_daemon {
/// Lives as long as the event loop, on whose thread all of it runs.
class ProxyDaemon {
 public:
  explicit ProxyDaemon(const config::Settings& settings);
  ProxyDaemon(const ProxyDaemon&) = delete;
  ProxyDaemon& operator=(const ProxyDaemon&) = delete;
  /// Connects to the agent, opens the listeners and starts the timers.
  /// @return the error of the first endpoint or listener that cannot be used.
  Result<void> start();
  /// SIGTERM has come: ends the event loop after the phases of `GracefulShutdown`.
  void shutDown();
  /// Takes over the timers of settings that were read again.
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
  /// Logs that the lease is not renewed although the proxy serves under it, and that it is again.
  void reportAgingLease(TimePoint now);
  void onLeaseResponse(const transport::LeaseResponse& response);
  void useLease();

  config::Settings settings_;
  proxy::ProxyContext context_;
  AgentLink agentLink_;
  agent::FollowedReplica replica_;
  StateAdoption adoption_;
  LeaseRenewal lease_;
  TimePoint grantedLeaseEnds_{};  // of the lease that may be used, whether or not the replica has come to lag since
  bool leaseIsAging_ = false;     // as last reported
  NodeReport report_;
  QuotaTokenClient quotaTokens_;
  std::optional<PartnerLookup> partnerLookup_;  // none without a partner site
  ReadinessServer readiness_;
  std::optional<transport::Listener> clientListener_;
  // From 0 to 1, random: decides which nodes get a slack in retries that is too small to be shared by all.
  double retrySlackDraw_;
};
}  // namespace zinccleat::proxy_daemon
