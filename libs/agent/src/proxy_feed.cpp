#include "agent/proxy_feed.hpp"

namespace zinccleat::agent {
void ProxyFeed::subscribe(const transport::PeerLinkPtr& link, const transport::FollowLog& request) {
  if (link_ && link_ != link)
    link_->close();
  link_ = link;
  proxyDigest_ = request.cachedDigest;
  if (request.refetch) {
    if (!follower_.replica().corrupted())
      sendSnapshot();
    return;
  }
  const auto entries = follower_.entriesAfter(request.lastApplied);
  if (!entries)
    return sendSnapshot();
  recordDigest();
  link->send(transport::pack(*entries));
}
void ProxyFeed::sendEntries(std::vector<transport::LogEntry> entries) {
  if (entries.empty() || !connected())
    return;
  transport::FeedEntries feed;
  feed.newestIndex = follower_.replica().lastApplied();
  feed.entries = std::move(entries);
  link_->send(transport::pack(feed));
  recordDigest();
}
void ProxyFeed::sendSnapshot() {
  if (!connected())
    return;
  link_->send(transport::pack(follower_.replica().snapshotFor(proxyDigest_)));
  recordDigest();
}
void ProxyFeed::forward(const transport::Envelope& envelope) {
  if (connected())
    link_->send(envelope);
}
}  // namespace zinccleat::agent
