#include "agent/agent.hpp"

#include <set>

#include "agent/port.hpp"
#include "consensus/cluster_config.hpp"
#include "consensus/queue.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/partial_view.hpp"
#include "transport/peer_link.hpp"

namespace zc {
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
  explicit Agent(const Settings& s) : s_(s), self_(s.ip + "#agent"), view_(s.ip + "/access", kView, drawSeed()) {}

  Outcome<void> start() {
    for (auto& x : s_.seeds)
      view_.add(hostOf(x) + "/core");
    auto ep = parseEndpoint("127.0.0.1:" + std::to_string(s_.portFirst + kTenderPort));
    if (!ep)
      return tl::unexpected(ep.error());
    auto ok = listen(*ep, [this](tcp::socket sock) {
      auto l = std::make_shared<PeerLink>(
          std::move(sock), [this](const PeerLinkPtr& link, const Envelope& envelope) { onProxy(link, envelope); },
          [](const PeerLinkPtr&) {});
      l->start();
    });
    if (!ok)
      return ok;
    chooseLinks();
    EventLoop::get().every(kLinksEvery, [this] { chooseLinks(); });
    EventLoop::get().every(kState, [this] {
      for (auto& [ip, m] : dialers_)
        m->send(stateMessage());
      receipts_ = 0;
    });
    EventLoop::get().every(kRefetch, [this] { refetch(false); });
    return {};
  }
  bool feedsProxy() const { return proxy_ && proxy_->open(); }
  void reread(const Settings& s) {
    s_.seeds = s.seeds;
    for (auto& x : s_.seeds)
      view_.add(hostOf(x) + "/core");
    chooseLinks();
  }

 private:
  Envelope stateMessage() {
    AgentState state;
    state.appliedNumber = queue_.applied();
    if (++states_ % kViewEvery == 1)
      state.view = view_.sample();
    return pack(state, self_);
  }
  // Links go to the leader and to a few other members, each node's own choice, so that their number does not grow
  // with the core; while none is up, to every member and every core machine ever heard of.
  void chooseLinks() {
    std::set<std::string> want;
    auto others = voters_;
    std::sort(others.begin(), others.end(), [this](auto& a, auto& b) { return hash64(a, rank_) > hash64(b, rank_); });
    if (!leader_.empty())
      want.insert(addressOf(leader_));
    for (auto& x : others)
      if (want.size() < kOthers + 1)
        want.insert(addressOf(x));
    bool up = false;
    for (auto& [ip, m] : dialers_)
      up = up || (m->up() && want.contains(ip));
    // Why also without a lease: those we know may all be on the smaller side of a cut.
    if (want.empty() || !up || Clock::now() - lastLease_ > kNoLease) {
      for (auto& x : voters_)
        want.insert(addressOf(x));
      for (auto& x : s_.seeds)
        want.insert(hostOf(x));
      for (auto& n : view_.all())
        if (n.size() > 5 && n.substr(n.size() - 5) == "/core")
          want.insert(n.substr(0, n.size() - 5));
    }
    for (auto& ip : want) {
      if (dialers_.contains(ip))
        continue;
      auto ep = parseEndpoint(ip + ":" + std::to_string(s_.portFirst));
      if (!ep)
        continue;
      dialers_[ip] = std::make_unique<Dialer>(
          *ep, [this](const PeerLinkPtr& link, const Envelope& envelope) { onCore(link, envelope); },
          [this, ip](const PeerLinkPtr& l) {
            l->send(stateMessage());
            if (ip == addressOf(leader_))
              follow(l, false);
          });
    }
    for (auto it = dialers_.begin(); it != dialers_.end();)
      if (!want.contains(it->first))
        it = dialers_.erase(it);
      else
        ++it;
  }
  Dialer* toLeader() {
    if (leader_.empty())
      return nullptr;
    const auto it = dialers_.find(addressOf(leader_));
    return it == dialers_.end() ? nullptr : it->second.get();
  }
  void follow(const PeerLinkPtr& link, bool refetch) {
    FollowLog message;
    // A copy that a difference did not fit asks for all of it.
    message.appliedNumber = copy_.damaged() ? 0 : queue_.applied();
    message.heldDigest = copy_.state().digest;
    message.refetch = refetch;
    link->send(pack(message, self_));
    lastFollow_ = Clock::now();
    following_ = true;
  }
  void refetch(bool now) {
    // A gap is mended before anything later is applied; the leader keeps what was missed.
    const bool behind = queue_.gap() || queue_.applied() < newest_ || copy_.damaged();
    if (!now && !behind)
      return;
    if (Clock::now() - lastFollow_ < kRefetch)
      return;
    if (auto* m = toLeader(); m && m->up())
      follow(m->link(), true);
  }
  void onCore(const PeerLinkPtr& link, const Envelope& envelope) {
    if (!envelope.sender.empty())
      view_.add(addressOf(envelope.sender) + "/core");
    receive<ClusterStanding>(link, envelope, [this](const ClusterStanding& standing) { onStanding(standing); });
    receive<FeedEntries>(link, envelope, [&](FeedEntries feed) {
      if (feed.term >= term_)  // else fenced: a leader of an older term
        onEntries(link, std::move(feed));
    });
    receive<FeedSnapshot>(link, envelope, [&](const FeedSnapshot& feed) {
      if (feed.term >= term_)
        onSnapshot(link, feed);
    });
    receive<BodyAhead>(link, envelope, [this](BodyAhead ahead) {
      queue_.body(ahead.digest, std::move(ahead.body));
      drain();
    });
    receive<LeaseAnswer>(link, envelope, [this](const LeaseAnswer& answer) { onLease(answer); });
    const bool forProxy = envelope.type == MessageType::leaseAnswer || envelope.type == MessageType::quotaDrawn ||
                          envelope.type == MessageType::openingAnswer;
    if (forProxy && feedsProxy())
      proxy_->send(envelope);
  }
  void onStanding(const ClusterStanding& standing) {
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
      ring::note("follows " + leader_ + " in term " + std::to_string(term_));
      following_ = false;
      chooseLinks();
    }
    if (following_)
      return;
    if (auto* dialer = toLeader(); dialer && dialer->up())
      follow(dialer->link(), false);
  }
  void onEntries(const PeerLinkPtr& link, FeedEntries feed) {
    for (auto& entry : feed.entries)
      queue_.offer(std::move(entry));
    newest_ = std::max(newest_, feed.newestNumber);
    drain();
    countReceipt(link);
  }
  void onSnapshot(const PeerLinkPtr& link, const FeedSnapshot& feed) {
    // Never back in number.
    if (feed.number < queue_.applied() || (feed.number == queue_.applied() && !copy_.damaged()))
      return;
    if (auto restored = copy_.restore(feed.state); !restored) {
      ring::alarm("snapshot declined: " + restored.error().text);
      copy_.damage();
      return refetch(true);
    }
    queue_.restart(feed.number);
    tail_.clear();
    newest_ = std::max(newest_, feed.number);
    if (feedsProxy())
      sendSnapshot();
    drain();
    countReceipt(link);
  }
  void countReceipt(const PeerLinkPtr& link) {
    if (++receipts_ < kStateAfter)
      return;
    link->send(stateMessage());
    receipts_ = 0;
  }
  void onLease(const LeaseAnswer& answer) {
    if (!answer.granted)
      return;
    newest_ = std::max(newest_, answer.commitNumber);
    lastLease_ = Clock::now();
    if (queue_.applied() < answer.commitNumber)
      refetch(true);
  }
  void drain() {
    std::vector<Entry> fresh;
    while (auto e = queue_.next()) {
      if (copy_.apply(*e).damaged)
        ring::alarm("a difference did not fit: the whole is asked for"), refetch(true);
      tail_.push_back(*e);
      if (tail_.size() > kTail)
        tail_.pop_front();
      fresh.push_back(std::move(*e));
    }
    if (fresh.empty() || !feedsProxy())
      return;
    FeedEntries feed;
    feed.newestNumber = queue_.applied();
    feed.entries = std::move(fresh);
    proxy_->send(pack(feed));
    proxyHolds_ = copy_.state().digest;
  }
  void sendSnapshot() {
    FeedSnapshot feed;
    feed.number = copy_.state().num;
    feed.state = copy_.snapshotFor(proxyHolds_);
    proxy_->send(pack(feed));
    proxyHolds_ = copy_.state().digest;
  }
  void onProxy(const PeerLinkPtr& link, const Envelope& envelope) {
    receive<FollowLog>(link, envelope, [&](const FollowLog& message) { onFollow(link, message); });
    const bool forLeader = envelope.type == MessageType::leaseQuestion || envelope.type == MessageType::quotaDraw ||
                           envelope.type == MessageType::openingQuestion;
    if (!forLeader)
      return;
    auto* leader = toLeader();
    if (!leader || !leader->up())
      return link->send(pack(ClusterStanding{}));  // a sign of life: there is nobody to ask
    auto passedOn = envelope;
    passedOn.sender = self_;
    leader->send(passedOn);
  }
  void onFollow(const PeerLinkPtr& link, const FollowLog& message) {
    if (proxy_ && proxy_ != link)
      proxy_->end();
    proxy_ = link;
    proxyHolds_ = message.heldDigest;
    if (message.refetch)  // it asks for all of it
      return copy_.damaged() ? void() : sendSnapshot();
    FeedEntries feed;
    for (auto& entry : tail_)
      if (entry.num > message.appliedNumber)
        feed.entries.push_back(entry);
    const bool behind = message.appliedNumber < queue_.applied();
    const bool tailReaches = !feed.entries.empty() && feed.entries.front().num == message.appliedNumber + 1;
    if (behind && !tailReaches)
      return sendSnapshot();
    feed.newestNumber = queue_.applied();
    proxyHolds_ = copy_.state().digest;
    link->send(pack(feed));
  }

  Settings s_;
  std::string self_;
  PartialView view_;
  std::map<std::string, std::unique_ptr<Dialer>> dialers_;
  std::vector<std::string> voters_;
  std::string leader_;
  std::int64_t term_ = 0, newest_ = 0;
  Instant lastFollow_{}, lastLease_{};
  const std::uint64_t rank_ = drawSeed();
  bool following_ = false;
  int receipts_ = 0, states_ = 0;
  Queue queue_;
  ReplicatedState copy_;
  std::deque<Entry> tail_;
  PeerLinkPtr proxy_;
  std::string proxyHolds_;  // digest of the configuration that the proxy has, once it has read what was sent
};
}  // namespace

int runAgent(const Settings& s) {
  EventLoop loop;
  Agent t(s);
  if (auto r = t.start(); !r) {
    ring::say("agent: " + r.error().text);
    return 1;
  }
  watchLifecycle(settingsPath(), {[&] {
                                    // The proxy ends its work inside the grace; the agent outlasts it.
                                    const auto end = Clock::now() + s.timers.grace * 9 / 10;
                                    loop.every(100ms, [&, end] {
                                      if (Clock::now() >= end || !t.feedsProxy())
                                        loop.stop();
                                    });
                                  },
                                  [&] {
                                    if (auto n = loadSettings(settingsPath()))
                                      t.reread(*n);
                                    else
                                      ring::alarm(n.error().text);
                                  }});
  loop.run();
  return 0;
}
}  // namespace zc
