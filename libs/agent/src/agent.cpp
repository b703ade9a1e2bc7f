#include "agent/agent.hpp"

#include <set>

#include "agent/port.hpp"
#include "consensus/cluster_config.hpp"
#include "consensus/entry_queue.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/dialer.hpp"
#include "transport/listener.hpp"
#include "transport/partial_view.hpp"
#include "transport/peer_link.hpp"

namespace zinccleat::agent {
namespace {
constexpr auto kState = 1000ms;  // a state message when nothing else was response
constexpr auto kRefetch = 150ms;
constexpr int kStateAfter = 32;  // ... or after so many receipts
constexpr auto kLinksEvery = 250ms;
constexpr auto kNoLease = 1000ms;
constexpr int kViewEvery = 8;  // state messages: a part of the view goes with each so many-th
constexpr std::size_t kView = 12, kTail = 256;
constexpr std::size_t kOthers = 2;  // links to members besides the leader: who tells of the next one
std::string hostOf(const std::string& addr) {
  return addr.substr(0, addr.rfind(':'));
}

class Agent {
 public:
  explicit Agent(const config::Settings& s)
      : s_(s), self_(s.ip + "#agent"), view_(s.ip + "/access", kView, randomSeed()) {}

  Result<void> start() {
    for (auto& x : s_.seeds)
      view_.add(hostOf(x) + "/core");
    auto ep = runtime::parseEndpoint("127.0.0.1:" + std::to_string(s_.firstPort + kAgentPortOffset));
    if (!ep)
      return tl::unexpected(ep.error());
    auto ok = transport::listen(*ep, [this](tcp::socket sock) {
      auto l = std::make_shared<transport::PeerLink>(
          std::move(sock),
          [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) { onProxy(link, envelope); },
          [](const transport::PeerLinkPtr&) {});
      l->start();
    });
    if (!ok)
      return ok;
    chooseLinks();
    runtime::EventLoop::get().callEvery(kLinksEvery, [this] { chooseLinks(); });
    runtime::EventLoop::get().callEvery(kState, [this] {
      for (auto& [ip, m] : dialers_)
        m->send(stateMessage());
      receipts_ = 0;
    });
    runtime::EventLoop::get().callEvery(kRefetch, [this] { refetch(false); });
    return {};
  }
  bool feedsProxy() const { return proxy_ && proxy_->open(); }
  void reread(const config::Settings& s) {
    s_.seeds = s.seeds;
    for (auto& x : s_.seeds)
      view_.add(hostOf(x) + "/core");
    chooseLinks();
  }

 private:
  transport::Envelope stateMessage() {
    transport::AgentState state;
    state.lastApplied = queue_.applied();
    if (++states_ % kViewEvery == 1)
      state.view = view_.sample();
    return transport::pack(state, self_);
  }
  // Links go to the leader and to a few other members, each node's own choice, so that their number does not grow
  // with the core; while none is up, to every member and every core machine ever heard of.
  void chooseLinks() {
    std::set<std::string> want;
    auto others = voters_;
    std::sort(others.begin(), others.end(), [this](auto& a, auto& b) { return hash64(a, rank_) > hash64(b, rank_); });
    if (!leader_.empty())
      want.insert(consensus::addressOf(leader_));
    for (auto& x : others)
      if (want.size() < kOthers + 1)
        want.insert(consensus::addressOf(x));
    bool up = false;
    for (auto& [ip, m] : dialers_)
      up = up || (m->up() && want.contains(ip));
    // Why also without a lease: those we know may all be on the smaller side of a cut.
    if (want.empty() || !up || Clock::now() - lastLease_ > kNoLease) {
      for (auto& x : voters_)
        want.insert(consensus::addressOf(x));
      for (auto& x : s_.seeds)
        want.insert(hostOf(x));
      for (auto& n : view_.all())
        if (n.size() > 5 && n.substr(n.size() - 5) == "/core")
          want.insert(n.substr(0, n.size() - 5));
    }
    for (auto& ip : want) {
      if (dialers_.contains(ip))
        continue;
      auto ep = runtime::parseEndpoint(ip + ":" + std::to_string(s_.firstPort));
      if (!ep)
        continue;
      dialers_[ip] = std::make_unique<transport::Dialer>(
          *ep,
          [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) { onCore(link, envelope); },
          [this, ip](const transport::PeerLinkPtr& l) {
            l->send(stateMessage());
            if (ip == consensus::addressOf(leader_))
              follow(l, false);
          });
    }
    for (auto it = dialers_.begin(); it != dialers_.end();)
      if (!want.contains(it->first))
        it = dialers_.erase(it);
      else
        ++it;
  }
  transport::Dialer* toLeader() {
    if (leader_.empty())
      return nullptr;
    const auto it = dialers_.find(consensus::addressOf(leader_));
    return it == dialers_.end() ? nullptr : it->second.get();
  }
  void follow(const transport::PeerLinkPtr& link, bool refetch) {
    transport::FollowLog message;
    // A copy that a difference did not fit asks for all of it.
    message.lastApplied = copy_.corrupted() ? 0 : queue_.applied();
    message.cachedDigest = copy_.state().digest;
    message.refetch = refetch;
    link->send(transport::pack(message, self_));
    lastFollow_ = Clock::now();
    following_ = true;
  }
  void refetch(bool now) {
    // A gap is mended before anything later is applied; the leader keeps what was missed.
    const bool behind = queue_.gap() || queue_.applied() < newest_ || copy_.corrupted();
    if (!now && !behind)
      return;
    if (Clock::now() - lastFollow_ < kRefetch)
      return;
    if (auto* m = toLeader(); m && m->up())
      follow(m->link(), true);
  }
  void onCore(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
    if (!envelope.sender.empty())
      view_.add(consensus::addressOf(envelope.sender) + "/core");
    transport::receive<transport::ClusterStatus>(
        link, envelope, [this](const transport::ClusterStatus& standing) { onStanding(standing); });
    transport::receive<transport::FeedEntries>(link, envelope, [&](transport::FeedEntries feed) {
      if (feed.term >= term_)  // else fenced: a leader of an older term
        onEntries(link, std::move(feed));
    });
    transport::receive<transport::FeedSnapshot>(link, envelope, [&](const transport::FeedSnapshot& feed) {
      if (feed.term >= term_)
        onSnapshot(link, feed);
    });
    transport::receive<transport::BodyAhead>(link, envelope, [this](transport::BodyAhead ahead) {
      queue_.body(ahead.digest, std::move(ahead.body));
      drain();
    });
    transport::receive<transport::LeaseResponse>(link, envelope,
                                                 [this](const transport::LeaseResponse& answer) { onLease(answer); });
    const bool forProxy = envelope.type == transport::MessageType::leaseResponse ||
                          envelope.type == transport::MessageType::quotaTokenResponse ||
                          envelope.type == transport::MessageType::prefixLookupResponse;
    if (forProxy && feedsProxy())
      proxy_->send(envelope);
  }
  void onStanding(const transport::ClusterStatus& standing) {
    view_.merge(standing.view);
    if (standing.term < term_)
      return;
    const bool newLeader = !standing.leader.empty() && (standing.term > term_ || standing.leader != leader_);
    term_ = standing.term;
    if (!standing.voters.empty() && standing.voters != voters_) {
      voters_ = standing.voters;
      chooseLinks();
    }
    if (newLeader) {
      leader_ = standing.leader;
      log::debug("follows " + leader_ + " in term " + std::to_string(term_));
      following_ = false;
      chooseLinks();
    }
    if (following_)
      return;
    if (auto* dialer = toLeader(); dialer && dialer->up())
      follow(dialer->link(), false);
  }
  void onEntries(const transport::PeerLinkPtr& link, transport::FeedEntries feed) {
    for (auto& entry : feed.entries)
      queue_.offer(std::move(entry));
    newest_ = std::max(newest_, feed.newestIndex);
    drain();
    countReceipt(link);
  }
  void onSnapshot(const transport::PeerLinkPtr& link, const transport::FeedSnapshot& feed) {
    // Never back in number.
    if (feed.lastIncludedIndex < queue_.applied() || (feed.lastIncludedIndex == queue_.applied() && !copy_.corrupted()))
      return;
    if (auto restored = copy_.restore(feed.state); !restored) {
      log::error("snapshot declined: " + restored.error().message);
      copy_.markCorrupted();
      return refetch(true);
    }
    queue_.restart(feed.lastIncludedIndex);
    tail_.clear();
    newest_ = std::max(newest_, feed.lastIncludedIndex);
    if (feedsProxy())
      sendSnapshot();
    drain();
    countReceipt(link);
  }
  void countReceipt(const transport::PeerLinkPtr& link) {
    if (++receipts_ < kStateAfter)
      return;
    link->send(stateMessage());
    receipts_ = 0;
  }
  void onLease(const transport::LeaseResponse& answer) {
    if (!answer.granted)
      return;
    newest_ = std::max(newest_, answer.commitIndex);
    lastLease_ = Clock::now();
    if (queue_.applied() < answer.commitIndex)
      refetch(true);
  }
  void drain() {
    std::vector<transport::LogEntry> fresh;
    while (auto e = queue_.next()) {
      if (copy_.apply(*e).corrupted)
        log::error("a difference did not fit: the whole is asked for"), refetch(true);
      tail_.push_back(*e);
      if (tail_.size() > kTail)
        tail_.pop_front();
      fresh.push_back(std::move(*e));
    }
    if (fresh.empty() || !feedsProxy())
      return;
    transport::FeedEntries feed;
    feed.newestIndex = queue_.applied();
    feed.entries = std::move(fresh);
    proxy_->send(transport::pack(feed));
    proxyHolds_ = copy_.state().digest;
  }
  void sendSnapshot() {
    transport::FeedSnapshot feed;
    feed.lastIncludedIndex = copy_.state().index;
    feed.state = copy_.snapshotFor(proxyHolds_);
    proxy_->send(transport::pack(feed));
    proxyHolds_ = copy_.state().digest;
  }
  void onProxy(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
    transport::receive<transport::FollowLog>(link, envelope,
                                             [&](const transport::FollowLog& message) { onFollow(link, message); });
    const bool forLeader = envelope.type == transport::MessageType::leaseRequest ||
                           envelope.type == transport::MessageType::quotaTokenRequest ||
                           envelope.type == transport::MessageType::prefixLookupRequest;
    if (!forLeader)
      return;
    auto* leader = toLeader();
    if (!leader || !leader->up())
      return link->send(transport::pack(transport::ClusterStatus{}));  // a sign of life: there is nobody to ask
    auto passedOn = envelope;
    passedOn.sender = self_;
    leader->send(passedOn);
  }
  void onFollow(const transport::PeerLinkPtr& link, const transport::FollowLog& message) {
    if (proxy_ && proxy_ != link)
      proxy_->close();
    proxy_ = link;
    proxyHolds_ = message.cachedDigest;
    if (message.refetch)  // it asks for all of it
      return copy_.corrupted() ? void() : sendSnapshot();
    transport::FeedEntries feed;
    for (auto& entry : tail_)
      if (entry.index > message.lastApplied)
        feed.entries.push_back(entry);
    const bool behind = message.lastApplied < queue_.applied();
    const bool tailReaches = !feed.entries.empty() && feed.entries.front().index == message.lastApplied + 1;
    if (behind && !tailReaches)
      return sendSnapshot();
    feed.newestIndex = queue_.applied();
    proxyHolds_ = copy_.state().digest;
    link->send(transport::pack(feed));
  }

  config::Settings s_;
  std::string self_;
  transport::PartialView view_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> dialers_;
  std::vector<std::string> voters_;
  std::string leader_;
  std::int64_t term_ = 0, newest_ = 0;
  TimePoint lastFollow_{}, lastLease_{};
  const std::uint64_t rank_ = randomSeed();
  bool following_ = false;
  int receipts_ = 0, states_ = 0;
  consensus::EntryQueue queue_;
  state_machine::ReplicatedState copy_;
  std::deque<transport::LogEntry> tail_;
  transport::PeerLinkPtr proxy_;
  std::string proxyHolds_;  // digest of the configuration that the proxy has, once it has read what was sent
};
}  // namespace

int runAgent(const config::Settings& s) {
  runtime::EventLoop loop;
  Agent t(s);
  if (auto r = t.start(); !r) {
    log::info("agent: " + r.error().message);
    return 1;
  }
  runtime::watchLifecycle(config::settingsPath(), {[&] {
                                                     // The proxy ends its work inside the grace; the agent outlasts it.
                                                     const auto end = Clock::now() + s.timers.grace * 9 / 10;
                                                     loop.callEvery(100ms, [&, end] {
                                                       if (Clock::now() >= end || !t.feedsProxy())
                                                         loop.stop();
                                                     });
                                                   },
                                                   [&] {
                                                     if (auto n = config::loadSettings(config::settingsPath()))
                                                       t.reread(*n);
                                                     else
                                                       log::error(n.error().message);
                                                   }});
  loop.run();
  return 0;
}
}  // namespace zinccleat::agent
