#include "hollow_node.hpp"

namespace zc {
HollowNode::HollowNode(std::string self, std::vector<std::string> core, unsigned short port, std::uint64_t seed)
    : self_(std::move(self)), core_(std::move(core)), port_(port), rng_(seed) {}
void HollowNode::dial() {
  links_.clear();
  auto some = core_;
  std::shuffle(some.begin(), some.end(), rng_);
  // As an agent does: the leader and two others; here who they are is known.
  if (some.size() > 3)
    some.resize(3);
  if (!sequencer_.empty() && std::find(some.begin(), some.end(), sequencer_) == some.end())
    some.back() = sequencer_;
  for (auto& ip : some)
    links_[ip] = std::make_unique<Dialer>(
        *parseEndpoint(ip + ":" + std::to_string(port_)),
        [this](const PeerLinkPtr& l, Msg m) { onMsg(l, std::move(m)); },
        [this](const PeerLinkPtr& l) {
          Msg m = msgOf(Kind::state);
          m.from = self_;
          m.num = queue_.applied();
          l->send(m);
        });
}
void HollowNode::start() {
  dial();
  // Why spread: real nodes do not beat in step.
  auto soon = [this](Span every, std::function<void()> f) {
    auto t = std::make_shared<asio::steady_timer>(EventLoop::get().io(),
                                                  Span(rng_() % static_cast<std::uint64_t>(every.count())));
    t->async_wait([t, every, f](Ec) { EventLoop::get().every(every, f); });
  };
  soon(1000ms, [this] {
    Msg m = msgOf(Kind::state);
    m.from = self_;
    m.num = queue_.applied();
    if (++states_ % 8 == 1)
      m.view = {"127.0.2.1/core", "127.0.2.2/core", "127.4.0.9/access", "127.4.0.7/access", self_ + "/access"};
    for (auto& [ip, l] : links_)
      l->send(m);
  });
  soon(400ms, [this] {
    auto* s = leader();
    if (!s)
      return;
    const auto now = Clock::now();
    Msg m = msgOf(Kind::challenge);
    m.from = self_;
    m.nonce = ++nonce_;
    m.flag = true;
    m.grants = stash_.demand(now);
    m.holds = stash_.holds(now);
    m.load = {{"", 20, 0}};
    m.prevTerm = outliersKnown_;
    // What a node with its share of traffic has seen of runners since the last one.
    for (int i = 0; i < 8; ++i)
      m.seen.push_back({"i-" + std::to_string(rng_() % 600), 2, 0});
    asked_[m.nonce] = now;
    while (asked_.size() > 16)
      asked_.erase(asked_.begin());
    s->send(m);
  });
  soon(150ms, [this] {
    if ((queue_.gap() || queue_.applied() < newest_) && Clock::now() - followed_ > 150ms)
      follow();
  });
}
void HollowNode::restart() {
  queue_ = Queue{};
  copy_ = ReplicatedState{};
  stash_ = QuotaGrants{};
  leaseEnds_ = {};
  newest_ = 0;
  following_ = false;
  dial();
}
Dialer* HollowNode::leader() {
  const auto it = links_.find(sequencer_);
  return it == links_.end() || !it->second->up() ? nullptr : it->second.get();
}
void HollowNode::follow() {
  auto* s = leader();
  if (!s)
    return;
  Msg m = msgOf(Kind::follow);
  m.from = self_;
  m.num = queue_.applied();
  m.names = {copy_.state().digest};
  m.flag = following_;
  s->send(m);
  followed_ = Clock::now();
  following_ = true;
}
void HollowNode::request(const std::string& tenant) {
  const auto now = Clock::now();
  if (stash_.take(tenant, now)) {
    ++granted;
    return;
  }
  stash_.wait(tenant);
  ++waiting_[tenant];
  if (std::exchange(asking_, true))
    return;
  asio::post(EventLoop::get().io(), [this] {
    asking_ = false;
    auto* s = leader();
    if (!s)
      return;
    Msg m = msgOf(Kind::draw);
    m.grants = stash_.unasked();
    drawnAt_ = Clock::now();
    if (!m.grants.empty())
      s->send(m);
  });
}
void HollowNode::drain() {
  const auto before = version();
  while (auto e = queue_.next())
    copy_.apply(*e);
  if (version() != before)
    onVersion(*this);
}
void HollowNode::onMsg(const PeerLinkPtr&, Msg m) {
  const auto now = Clock::now();
  switch (m.what()) {
    case Kind::stateAck:
      if (m.term < term_ || m.who.empty())
        return;
      term_ = m.term;
      if (const auto ip = m.who.substr(0, m.who.find('#')); ip != sequencer_) {
        sequencer_ = ip;
        following_ = false;
        if (!links_.count(ip)) {
          asio::post(EventLoop::get().io(), [this] { dial(); });
          return;
        }
      }
      if (!following_)
        follow();
      return;
    case Kind::feed:
      newest_ = std::max(newest_, m.num);
      if (m.ok) {
        if (m.num <= queue_.applied() || !copy_.restore(m.blob))
          return;
        queue_.restart(m.num);
        onVersion(*this);
      }
      for (auto& e : m.entries)
        queue_.offer(std::move(e));
      return drain();
    case Kind::body:
      queue_.body(m.who, std::move(m.blob));
      return drain();
    case Kind::lease: {
      const auto it = asked_.find(m.nonce);
      if (!m.ok || it == asked_.end())
        return;
      newest_ = std::max(newest_, m.num);
      if (queue_.applied() >= m.num)
        leaseEnds_ = it->second + 3500ms;
      if (m.nonce == nonce_)
        stash_.drawn(m.grants, it->second);
      outliersKnown_ = m.prevTerm;
      asked_.erase(it);
      return;
    }
    case Kind::drawn:
      drawMs.push_back(std::chrono::duration<double, std::milli>(now - drawnAt_).count());
      stash_.loose(m.grants, now);
      for (auto& g : m.grants) {
        auto& w = waiting_[g.label];
        for (; w > 0; --w)
          ++(stash_.retake(g.label, now) ? granted : refused);
      }
      return;
    default:
      return;
  }
}
}  // namespace zc
