/// The agent: wires the parts of this library to sockets, timers and the settings. It decides nothing by itself.
#pragma once
#include "agent/core_links.hpp"
#include "agent/feed_source.hpp"
#include "agent/leader_discovery.hpp"
#include "agent/log_follower.hpp"
#include "agent/proxy_feed.hpp"
#include "config/settings.hpp"
namespace zinccleat::agent {
/// Lives as long as the event loop, on whose thread all of it runs.
class AgentDaemon {
 public:
  explicit AgentDaemon(const config::Settings& settings);
  AgentDaemon(const AgentDaemon&) = delete;
  AgentDaemon& operator=(const AgentDaemon&) = delete;
  /// Listens for the proxy, connects to the core and starts the timers.
  /// @return the error of the proxy's endpoint or of its listener.
  Result<void> start();
  /// SIGTERM has come: ends the event loop once the proxy has disconnected, or after nine tenths of the grace.
  void shutDown();
  /// Takes over the seeds of settings that were read again.
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

  /// Follows another member if the feed is to come from there now.
  void chooseSource();
  transport::PeerLinkPtr sourceLink() const { return links_.connectedLink(sourceAddress_); }
  void follow(const transport::PeerLinkPtr& link, bool refetch);
  void unsubscribe(const std::string& address);
  void refetch();
  void refetchIfBehind();
  /// Logs that the replica lags, and when it has caught up.
  void reportLag(TimePoint now);
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
  std::string identity_;  // "IP#agent"
  LeaderDiscovery discovery_;
  FeedSource feedSource_;
  std::string sourceAddress_;           // of the member that feeds this agent; empty: none
  std::int64_t sourceCommitIndex_ = 0;  // the newest that this member has said to have committed
  LogFollower follower_;
  ProxyFeed proxyFeed_;
  CoreLinks links_;
  int receiptsSinceState_ = 0;
  int stateMessages_ = 0;
  Duration loggedLag_{0};   // as last logged; 0: not since the replica caught up
  Duration longestLag_{0};  // since the replica caught up
};
}  // namespace zinccleat::agent
