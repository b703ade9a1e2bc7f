/// Sends the replicated log from the agent to its proxy.
#pragma once
#include "agent/log_follower.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::agent {
/// Sends the state of the agent's replica and all later entries to the proxy. An agent serves one proxy: a new
/// subscription replaces the previous one.
class ProxyFeed {
 public:
  /// @param follower must outlive this object.
  explicit ProxyFeed(const LogFollower& follower) : follower_(follower) {}
  /// Whether a proxy has subscribed and is connected.
  bool connected() const { return link_ && link_->open(); }
  /// Handles a subscription of a proxy, or its request to send missing state again. The proxy gets the entries that it
  /// lacks. It gets a snapshot instead if the entries are no longer retained or if it requested missing state again.
  void subscribe(const transport::PeerLinkPtr& link, const transport::FollowLog& request);
  /// Sends entries that were just applied. Does nothing if there are no entries or no proxy is connected.
  void sendEntries(std::vector<transport::LogEntry> entries);
  /// Sends the complete state, without the parts that the proxy has cached. Does nothing if no proxy is connected.
  void sendSnapshot();
  /// Forwards a message of the core to the proxy. The message is dropped if no proxy is connected.
  void forward(const transport::Envelope& envelope);

 private:
  void recordDigest() { proxyDigest_ = follower_.replica().state().digest; }

  const LogFollower& follower_;
  transport::PeerLinkPtr link_;
  std::string proxyDigest_;  // digest of the proxy's configuration after all sent messages
};
}  // namespace zinccleat::agent
