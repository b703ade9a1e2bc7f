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
  if (!leaderIp_.empty() && std::find(some.begin(), some.end(), leaderIp_) == some.end())
    some.back() = leaderIp_;
  for (auto& ip : some)
    links_[ip] = std::make_unique<Dialer>(
        *parseEndpoint(ip + ":" + std::to_string(port_)),
        [this](const PeerLinkPtr& link, const Envelope& envelope) { onMessage(link, envelope); },
        [this](const PeerLinkPtr& link) {
          AgentState state;
          state.appliedNumber = queue_.applied();
          link->send(pack(state, self_));
        });
}
void HollowNode::start() {
  dial();
  // Why spread: real nodes do not beat in step.
  auto soon = [this](Span every, const std::function<void()>& f) {
    auto t = std::make_shared<asio::steady_timer>(EventLoop::get().io(),
                                                  Span(rng_() % static_cast<std::uint64_t>(every.count())));
    t->async_wait([t, every, f](Ec) { EventLoop::get().every(every, f); });
  };
  soon(1000ms, [this] {
    AgentState state;
    state.appliedNumber = queue_.applied();
    if (++states_ % 8 == 1)
      state.view = {"127.0.2.1/core", "127.0.2.2/core", "127.4.0.9/access", "127.4.0.7/access", self_ + "/access"};
    for (auto& [ip, l] : links_)
      l->send(pack(state, self_));
  });
  soon(400ms, [this] {
    auto* s = leader();
    if (!s)
      return;
    const auto now = Clock::now();
    LeaseQuestion question;
    question.question = ++question_;
    question.demand = stash_.demand(now);
    question.holds = stash_.holds(now);
    question.load = {{"", 20, 0}};
    question.outliersVersion = outliersKnown_;
    // What a node with its share of traffic has seen of runners since the last one.
    for (int i = 0; i < 8; ++i)
      question.attempts.push_back({"i-" + std::to_string(rng_() % 600), 2, 0});
    asked_[question.question] = now;
    while (asked_.size() > 16)
      asked_.erase(asked_.begin());
    s->send(pack(question, self_));
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
  const auto it = links_.find(leaderIp_);
  return it == links_.end() || !it->second->up() ? nullptr : it->second.get();
}
void HollowNode::follow() {
  auto* s = leader();
  if (!s)
    return;
  FollowLog message;
  message.appliedNumber = queue_.applied();
  message.heldDigest = copy_.state().digest;
  message.refetch = following_;
  s->send(pack(message, self_));
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
    QuotaDraw draw;
    draw.question = ++draw_;
    draw.waiting = stash_.unasked();
    drawnAt_ = Clock::now();
    if (!draw.waiting.empty())
      s->send(pack(draw, self_));
  });
}
void HollowNode::drain() {
  const auto before = version();
  while (auto e = queue_.next())
    copy_.apply(*e);
  if (version() != before)
    onVersion(*this);
}
void HollowNode::onMessage(const PeerLinkPtr& link, const Envelope& envelope) {
  receive<ClusterStanding>(link, envelope, [this](const ClusterStanding& standing) { onStanding(standing); });
  receive<FeedEntries>(link, envelope, [this](FeedEntries feed) {
    newest_ = std::max(newest_, feed.newestNumber);
    for (auto& entry : feed.entries)
      queue_.offer(std::move(entry));
    drain();
  });
  receive<FeedSnapshot>(link, envelope, [this](const FeedSnapshot& feed) {
    newest_ = std::max(newest_, feed.number);
    if (feed.number <= queue_.applied() || !copy_.restore(feed.state))
      return;
    queue_.restart(feed.number);
    onVersion(*this);
    drain();
  });
  receive<BodyAhead>(link, envelope, [this](BodyAhead ahead) {
    queue_.body(ahead.digest, std::move(ahead.body));
    drain();
  });
  receive<LeaseAnswer>(link, envelope, [this](const LeaseAnswer& answer) { onLease(answer); });
  receive<QuotaDrawn>(link, envelope, [this](const QuotaDrawn& drawn) { onDrawn(drawn); });
}
void HollowNode::onStanding(const ClusterStanding& standing) {
  if (standing.term < term_ || standing.leader.empty())
    return;
  term_ = standing.term;
  if (const auto ip = standing.leader.substr(0, standing.leader.find('#')); ip != leaderIp_) {
    leaderIp_ = ip;
    following_ = false;
    if (!links_.contains(ip)) {
      asio::post(EventLoop::get().io(), [this] { dial(); });
      return;
    }
  }
  if (!following_)
    follow();
}
void HollowNode::onLease(const LeaseAnswer& answer) {
  const auto it = asked_.find(answer.question);
  if (!answer.granted || it == asked_.end())
    return;
  newest_ = std::max(newest_, answer.commitNumber);
  if (queue_.applied() >= answer.commitNumber)
    leaseEnds_ = it->second + 3500ms;
  if (answer.question == question_)
    stash_.drawn(answer.grants, it->second);
  outliersKnown_ = answer.outliersVersion;
  asked_.erase(it);
}
void HollowNode::onDrawn(const QuotaDrawn& drawn) {
  const auto now = Clock::now();
  drawMs.push_back(std::chrono::duration<double, std::milli>(now - drawnAt_).count());
  stash_.loose(drawn.grants, now);
  for (auto& grant : drawn.grants) {
    auto& waiting = waiting_[grant.label];
    for (; waiting > 0; --waiting)
      ++(stash_.retake(grant.label, now) ? granted : refused);
  }
}
}  // namespace zc
