#include "agent/agent.hpp"

#include <set>

#include "agent/port.hpp"
#include "consensus/cluster_config.hpp"
#include "consensus/queue.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/partial_view.hpp"
#include "transport/peer_link.hpp"

namespace zc {
namespace {
constexpr auto kState = 1000ms;  // a state message when nothing else was response
constexpr auto kRefetch = 150ms;
constexpr int kStateAfter = 32;  // ... or after so many receipts
constexpr auto kMoor = 250ms;
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
          std::move(sock), [this](const PeerLinkPtr& x, Msg m) { onPilot(x, std::move(m)); },
          [](const PeerLinkPtr&) {});
      l->start();
    });
    if (!ok)
      return ok;
    moor();
    EventLoop::get().every(kMoor, [this] { moor(); });
    EventLoop::get().every(kState, [this] {
      for (auto& [ip, m] : dialers_)
        m->send(stateMsg());
      receipts_ = 0;
    });
    EventLoop::get().every(kRefetch, [this] { refetch(false); });
    return {};
  }
  bool feedsPilot() const { return pilot_ && pilot_->open(); }
  void reread(const Settings& s) {
    s_.seeds = s.seeds;
    for (auto& x : s_.seeds)
      view_.add(hostOf(x) + "/core");
    moor();
  }

 private:
  Msg stateMsg() {
    Msg m = msgOf(Kind::state);
    m.from = self_;
    m.num = queue_.applied();
    if (++states_ % kViewEvery == 1)
      m.view = view_.sample();
    return m;
  }
  // Links go to the leader and to a few other members, each node's own choice, so that their number does not grow
  // with the core; while none is up, to every member and every core machine ever heard of.
  void moor() {
    std::set<std::string> want;
    auto others = members_;
    std::sort(others.begin(), others.end(), [this](auto& a, auto& b) { return hash64(a, rank_) > hash64(b, rank_); });
    if (!sequencer_.empty())
      want.insert(addressOf(sequencer_));
    for (auto& x : others)
      if (want.size() < kOthers + 1)
        want.insert(addressOf(x));
    bool up = false;
    for (auto& [ip, m] : dialers_)
      up = up || (m->up() && want.count(ip));
    // Why also without a lease: those we know may all be on the smaller side of a cut.
    if (want.empty() || !up || Clock::now() - lastLease_ > kNoLease) {
      for (auto& x : members_)
        want.insert(addressOf(x));
      for (auto& x : s_.seeds)
        want.insert(hostOf(x));
      for (auto& n : view_.all())
        if (n.size() > 5 && n.substr(n.size() - 5) == "/core")
          want.insert(n.substr(0, n.size() - 5));
    }
    for (auto& ip : want) {
      if (dialers_.count(ip))
        continue;
      auto ep = parseEndpoint(ip + ":" + std::to_string(s_.portFirst));
      if (!ep)
        continue;
      dialers_[ip] = std::make_unique<Dialer>(
          *ep, [this](const PeerLinkPtr& l, Msg m) { onCore(l, std::move(m)); },
          [this, ip](const PeerLinkPtr& l) {
            l->send(stateMsg());
            if (ip == addressOf(sequencer_))
              follow(l, false);
          });
    }
    for (auto it = dialers_.begin(); it != dialers_.end();)
      if (!want.count(it->first))
        it = dialers_.erase(it);
      else
        ++it;
  }
  Dialer* toSequencer() {
    if (sequencer_.empty())
      return nullptr;
    const auto it = dialers_.find(addressOf(sequencer_));
    return it == dialers_.end() ? nullptr : it->second.get();
  }
  void follow(const PeerLinkPtr& l, bool whole) {
    Msg m = msgOf(Kind::follow);
    m.from = self_;
    // A copy that a difference did not fit asks for all of it.
    m.num = copy_.damaged() ? 0 : queue_.applied();
    m.names = {copy_.state().digest};
    m.flag = whole;
    l->send(m);
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
    if (auto* m = toSequencer(); m && m->up())
      follow(m->link(), true);
  }
  void onCore(const PeerLinkPtr& l, Msg m) {
    if (!m.from.empty())
      view_.add(addressOf(m.from) + "/core");
    switch (m.what()) {
      case Kind::stateAck: {
        view_.merge(m.view);
        if (m.term < term_)
          return;
        const bool newer = m.term > term_ || (!m.who.empty() && m.who != sequencer_);
        term_ = m.term;
        if (!m.names.empty() && m.names != members_) {
          members_ = m.names;
          moor();
        }
        if (newer && !m.who.empty()) {
          sequencer_ = m.who;
          ring::note("follows " + sequencer_ + " in term " + std::to_string(term_));
          following_ = false;
          moor();
        }
        if (!sequencer_.empty() && !following_)
          if (auto* s = toSequencer(); s && s->up())
            follow(s->link(), false);
        return;
      }
      case Kind::feed: {
        if (m.term < term_)
          return;  // fenced: a leader of an older term
        if (m.ok) {
          if (m.num < queue_.applied() || (m.num == queue_.applied() && !copy_.damaged()))
            return;  // never back in number
          if (auto r = copy_.restore(m.blob); !r) {
            ring::alarm("snapshot errorResponse: " + r.error().text);
            copy_.damage();
            return refetch(true);
          }
          queue_.restart(m.num);
          tail_.clear();
          newest_ = std::max(newest_, m.num);
          if (pilot_ && pilot_->open())
            sendSnapshot();
        } else {
          for (auto& e : m.entries)
            queue_.offer(std::move(e));
          newest_ = std::max(newest_, m.num);
        }
        drain();
        if (++receipts_ >= kStateAfter)
          l->send(stateMsg()), receipts_ = 0;
        return;
      }
      case Kind::body:
        queue_.body(m.who, std::move(m.blob));
        return drain();
      case Kind::held:
      case Kind::drawn:
        if (pilot_ && pilot_->open())
          pilot_->send(m);
        return;
      case Kind::lease:
        if (m.ok)
          newest_ = std::max(newest_, m.num), lastLease_ = Clock::now();
        if (m.ok && queue_.applied() < m.num)
          refetch(true);
        if (pilot_ && pilot_->open())
          pilot_->send(m);
        return;
      default:
        return;
    }
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
    if (fresh.empty() || !pilot_ || !pilot_->open())
      return;
    Msg m = msgOf(Kind::feed);
    m.num = queue_.applied();
    m.entries = std::move(fresh);
    pilot_->send(m);
    pilotHolds_ = copy_.state().digest;
  }
  void sendSnapshot() {
    Msg m = msgOf(Kind::feed);
    m.ok = true;
    m.num = copy_.state().num;
    m.blob = copy_.snapshotFor(pilotHolds_);
    pilot_->send(m);
    pilotHolds_ = copy_.state().digest;
  }
  void onPilot(const PeerLinkPtr& l, Msg m) {
    switch (m.what()) {
      case Kind::follow: {
        if (pilot_ && pilot_ != l)
          pilot_->end();
        pilot_ = l;
        pilotHolds_ = m.names.empty() ? std::string{} : m.names.front();
        if (m.flag)
          return copy_.damaged() ? void() : sendSnapshot();  // it asks for all of it
        Msg r = msgOf(Kind::feed);
        for (auto& e : tail_)
          if (e.num > m.num)
            r.entries.push_back(e);
        if (m.num < queue_.applied() && (r.entries.empty() || r.entries.front().num != m.num + 1))
          return sendSnapshot();
        r.num = queue_.applied();
        pilotHolds_ = copy_.state().digest;
        return l->send(r);
      }
      case Kind::draw:
      case Kind::whereHeld:
      case Kind::challenge: {
        if (m.what() == Kind::challenge)
          m.from = self_;
        if (auto* s = toSequencer(); s && s->up())
          s->send(m);
        else
          l->send(msgOf(Kind::stateAck));
        return;
      }
      default:
        return;
    }
  }

  Settings s_;
  std::string self_;
  PartialView view_;
  std::map<std::string, std::unique_ptr<Dialer>> dialers_;
  std::vector<std::string> members_;
  std::string sequencer_;
  std::int64_t term_ = 0, newest_ = 0;
  Instant lastFollow_{}, lastLease_{};
  const std::uint64_t rank_ = drawSeed();
  bool following_ = false;
  int receipts_ = 0, states_ = 0;
  Queue queue_;
  ReplicatedState copy_;
  std::deque<Entry> tail_;
  PeerLinkPtr pilot_;
  std::string pilotHolds_;  // digest of the configuration that the proxy has, once it has read what was sent
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
                                      if (Clock::now() >= end || !t.feedsPilot())
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
