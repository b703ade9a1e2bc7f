/// The agent's connection to its proxy, and what the proxy has received over it.
#pragma once
#include "agent/log_follower.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::agent {
/// Brings the proxy to the state of the agent's replica and keeps it there. There is one proxy: a new subscription
/// replaces the one before.
class ProxyFeed {
 public:
  /// @param follower must outlive this object.
  explicit ProxyFeed(const LogFollower& follower) : follower_(follower) {}
  /// Whether a proxy has subscribed and is connected.
  bool connected() const { return link_ && link_->open(); }
  /// A proxy subscribes, or requests again what it lacks: it gets entries, or a snapshot if those do not suffice.
  void subscribe(const transport::PeerLinkPtr& link, const transport::FollowLog& request);
  /// Sends entries that were applied just now, if there are any and a proxy is connected.
  void sendEntries(std::vector<transport::LogEntry> entries);
  /// Sends the complete state, without what the proxy has of it; nothing if no proxy is connected.
  void sendSnapshot();
  /// Passes a message of the core on; dropped if no proxy is connected.
  void forward(const transport::Envelope& envelope);

 private:
  void recordDigest() { proxyDigest_ = follower_.replica().state().digest; }

  const LogFollower& follower_;
  transport::PeerLinkPtr link_;
  std::string proxyDigest_;  // of the configuration that the proxy has, once it has read what was sent
};
}  // namespace zinccleat::agent
