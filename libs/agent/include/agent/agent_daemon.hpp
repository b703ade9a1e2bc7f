/// The agent's daemon: connects the components of this library to sockets, timers and settings.
#pragma once
#include "agent/core_links.hpp"
#include "agent/feed_source.hpp"
#include "agent/leader_discovery.hpp"
#include "agent/log_follower.hpp"
#include "agent/proxy_feed.hpp"
#include "config/settings.hpp"
#include "runtime/startup.hpp"
#include "transport/accepted_links.hpp"
namespace zinccleat::agent {
/// Must exist until the event loop has ended. Used on the event loop's thread only.
class AgentDaemon {
 public:
  explicit AgentDaemon(const config::Settings& settings);
  AgentDaemon(const AgentDaemon&) = delete;
  AgentDaemon& operator=(const AgentDaemon&) = delete;
  /// Listens for the proxy, connects to the core and starts the timers.
  /// @return the error of the proxy's endpoint or of its listener.
  Result<void> start(runtime::Startup& startup);
  /// Handles SIGTERM: stops the event loop when the proxy has disconnected, or at the latest after nine tenths of the
  /// grace period.
  void shutDown();
  /// Applies the seeds of reloaded settings.
  void reloadSettings(const config::Settings& settings);

 private:
  Result<void> listenForProxy();
  void startTimers();
  void stopOnceProxyDisconnects(TimePoint deadline);

  void chooseLinks();
  transport::PeerLinkPtr leaderLink() const;
  transport::Envelope stateMessage();
  void sendStateToAll();
  void sendStateIfDue(const transport::PeerLinkPtr& link);

  /// Selects the source of the log and subscribes there if the source has changed or the agent follows none.
  void chooseSource();
  transport::PeerLinkPtr sourceLink() const { return links_.connectedLink(sourceAddress_); }
  void follow(const transport::PeerLinkPtr& link, bool refetch);
  void unsubscribe(const std::string& address);
  void refetch();
  void refetchIfBehind();
  /// Logs that the replica lags, and later that the replica has caught up.
  void logReplicaLag(TimePoint now);
  void applyEntries();

  void onCoreConnected(const std::string& address, const transport::PeerLinkPtr& link);
  void onCoreMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onClusterStatus(const std::string& sender, const transport::ClusterStatus& status);
  void onEntries(const transport::PeerLinkPtr& link, transport::FeedEntries feed);
  void onSnapshot(const transport::PeerLinkPtr& link, const transport::FeedSnapshot& snapshot);
  void onLeaseResponse(const transport::LeaseResponse& response);
  void onProxyMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void forwardToLeader(const transport::PeerLinkPtr& proxy, const transport::Envelope& envelope);

  config::Settings settings_;
  std::string identity_;                    // "IP#agent"
  transport::AcceptedLinks acceptedLinks_;  // from proxies of this machine
  LeaderDiscovery discovery_;
  FeedSource feedSource_;
  std::string sourceAddress_;           // member that sends the log to this agent; empty if there is none
  std::int64_t sourceCommitIndex_ = 0;  // highest commit index reported by the source
  LogFollower follower_;
  ProxyFeed proxyFeed_;
  CoreLinks links_;
  int receiptsSinceStateReport_ = 0;
  int stateReportCount_ = 0;
  Duration loggedLag_{0};   // lag that was last logged; 0 if none since the replica caught up
  Duration longestLag_{0};  // longest lag since the replica last caught up
};
}  // namespace zinccleat::agent
