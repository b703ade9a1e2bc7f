#include "hollow_node.hpp"

namespace zinccleat::simulation {
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
    links_[ip] = std::make_unique<transport::Dialer>(
        *runtime::parseEndpoint(ip + ":" + std::to_string(port_)),
        [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) { onMessage(link, envelope); },
        [this](const transport::PeerLinkPtr& link) {
          transport::AgentState state;
          state.lastApplied = queue_.applied();
          link->send(transport::pack(state, self_));
        });
}
void HollowNode::start() {
  dial();
  // Why spread: real nodes do not beat in step.
  auto soon = [this](Duration every, const std::function<void()>& f) {
    auto t = std::make_shared<asio::steady_timer>(runtime::EventLoop::get().io(),
                                                  Duration(rng_() % static_cast<std::uint64_t>(every.count())));
    t->async_wait([t, every, f](runtime::SocketError) { runtime::EventLoop::get().callEvery(every, f); });
  };
  soon(1000ms, [this] {
    transport::AgentState state;
    state.lastApplied = queue_.applied();
    if (++states_ % 8 == 1)
      state.view = {"127.0.2.1/core", "127.0.2.2/core", "127.4.0.9/access", "127.4.0.7/access", self_ + "/access"};
    for (auto& [ip, l] : links_)
      l->send(transport::pack(state, self_));
  });
  soon(400ms, [this] {
    auto* s = leader();
    if (!s)
      return;
    const auto now = Clock::now();
    transport::LeaseRequest requestId;
    requestId.requestId = ++question_;
    requestId.demand = reserve_.steadyDemand(now);
    requestId.holds = reserve_.reserveHoldings(now);
    requestId.load = {{"", 20, 0}};
    requestId.outliersVersion = outliersKnown_;
    // What a node with its share of traffic has seen of runners since the last one.
    for (int i = 0; i < 8; ++i)
      requestId.attempts.push_back({"i-" + std::to_string(rng_() % 600), 2, 0});
    asked_[requestId.requestId] = now;
    while (asked_.size() > 16)
      asked_.erase(asked_.begin());
    s->send(transport::pack(requestId, self_));
  });
  soon(150ms, [this] {
    if ((queue_.gap() || queue_.applied() < newest_) && Clock::now() - followed_ > 150ms)
      follow();
  });
}
void HollowNode::restart() {
  queue_ = consensus::EntryQueue{};
  copy_ = state_machine::ReplicatedState{};
  reserve_ = balancing::QuotaTokenBuckets{};
  leaseEnds_ = {};
  newest_ = 0;
  following_ = false;
  dial();
}
transport::Dialer* HollowNode::leader() {
  const auto it = links_.find(leaderIp_);
  return it == links_.end() || !it->second->up() ? nullptr : it->second.get();
}
void HollowNode::follow() {
  auto* s = leader();
  if (!s)
    return;
  transport::FollowLog message;
  message.lastApplied = queue_.applied();
  message.cachedDigest = copy_.state().digest;
  message.refetch = following_;
  s->send(transport::pack(message, self_));
  followed_ = Clock::now();
  following_ = true;
}
void HollowNode::request(const std::string& tenant) {
  const auto now = Clock::now();
  if (reserve_.tryAcquire(tenant, now)) {
    ++granted;
    return;
  }
  reserve_.requestToken(tenant);
  ++waiting_[tenant];
  if (std::exchange(asking_, true))
    return;
  asio::post(runtime::EventLoop::get().io(), [this] {
    asking_ = false;
    auto* s = leader();
    if (!s)
      return;
    transport::QuotaTokenRequest draw;
    draw.requestId = ++draw_;
    draw.waiting = reserve_.takeTokenRequests();
    drawnAt_ = Clock::now();
    if (!draw.waiting.empty())
      s->send(transport::pack(draw, self_));
  });
}
void HollowNode::drain() {
  const auto before = version();
  while (auto e = queue_.next())
    copy_.apply(*e);
  if (version() != before)
    onVersion(*this);
}
void HollowNode::onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  transport::receive<transport::ClusterStatus>(
      link, envelope, [this](const transport::ClusterStatus& standing) { onStanding(standing); });
  transport::receive<transport::FeedEntries>(link, envelope, [this](transport::FeedEntries feed) {
    newest_ = std::max(newest_, feed.newestIndex);
    for (auto& entry : feed.entries)
      queue_.offer(std::move(entry));
    drain();
  });
  transport::receive<transport::FeedSnapshot>(link, envelope, [this](const transport::FeedSnapshot& feed) {
    newest_ = std::max(newest_, feed.lastIncludedIndex);
    if (feed.lastIncludedIndex <= queue_.applied() || !copy_.restore(feed.state))
      return;
    queue_.restart(feed.lastIncludedIndex);
    onVersion(*this);
    drain();
  });
  transport::receive<transport::BodyAhead>(link, envelope, [this](transport::BodyAhead ahead) {
    queue_.body(ahead.digest, std::move(ahead.body));
    drain();
  });
  transport::receive<transport::LeaseResponse>(link, envelope,
                                               [this](const transport::LeaseResponse& answer) { onLease(answer); });
  transport::receive<transport::QuotaTokenResponse>(
      link, envelope, [this](const transport::QuotaTokenResponse& drawn) { onDrawn(drawn); });
}
void HollowNode::onStanding(const transport::ClusterStatus& standing) {
  if (standing.term < term_ || standing.leader.empty())
    return;
  term_ = standing.term;
  if (const auto ip = standing.leader.substr(0, standing.leader.find('#')); ip != leaderIp_) {
    leaderIp_ = ip;
    following_ = false;
    if (!links_.contains(ip)) {
      asio::post(runtime::EventLoop::get().io(), [this] { dial(); });
      return;
    }
  }
  if (!following_)
    follow();
}
void HollowNode::onLease(const transport::LeaseResponse& answer) {
  const auto it = asked_.find(answer.requestId);
  if (!answer.granted || it == asked_.end())
    return;
  newest_ = std::max(newest_, answer.commitIndex);
  if (queue_.applied() >= answer.commitIndex)
    leaseEnds_ = it->second + 3500ms;
  if (answer.requestId == question_)
    reserve_.refillReserve(answer.grants, it->second);
  outliersKnown_ = answer.outliersVersion;
  asked_.erase(it);
}
void HollowNode::onDrawn(const transport::QuotaTokenResponse& drawn) {
  const auto now = Clock::now();
  drawMs.push_back(std::chrono::duration<double, std::milli>(now - drawnAt_).count());
  reserve_.addImmediateTokens(drawn.grants, now);
  for (auto& grant : drawn.grants) {
    auto& waiting = waiting_[grant.tenant];
    for (; waiting > 0; --waiting)
      ++(reserve_.retryAcquire(grant.tenant, now) ? granted : refused);
  }
}
}  // namespace zinccleat::simulation
