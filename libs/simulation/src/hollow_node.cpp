#include "hollow_node.hpp"

namespace zinccleat::simulation {
namespace {
constexpr std::size_t kDialledControllers = 3;
constexpr Duration kStatePeriod{1000};
constexpr Duration kLeasePeriod{400};
constexpr Duration kRefetchPeriod{150};
constexpr auto kLeaseLength = 3500ms;  // from the request, not from its answer
constexpr int kStatesPerView = 8;      // one in so many carries the view
constexpr std::size_t kMaxOpenLeaseRequests = 16;
constexpr int kReportedAttempts = 8;  // by runner, in each lease request
constexpr std::uint64_t kReportedRunners = 600;
}  // namespace

HollowNode::HollowNode(std::string self, std::vector<std::string> core, unsigned short port, std::uint64_t seed)
    : self_(std::move(self)), core_(std::move(core)), port_(port), random_(seed) {}
void HollowNode::start() {
  dial();
  callEvery(kStatePeriod, &HollowNode::sendState);
  callEvery(kLeasePeriod, &HollowNode::requestLease);
  callEvery(kRefetchPeriod, &HollowNode::refetchIfBehind);
}
void HollowNode::restart() {
  queue_ = consensus::EntryQueue{};
  copy_ = state_machine::ReplicatedState{};
  reserve_ = balancing::QuotaTokenBuckets{};
  leaseEnds_ = {};
  newestIndex_ = 0;
  following_ = false;
  dial();
}

// --- connections ---

// As an agent does: the leader and two others. Here it is known which addresses are controllers.
std::vector<std::string> HollowNode::chooseControllers() {
  auto chosen = core_;
  std::shuffle(chosen.begin(), chosen.end(), random_);
  if (chosen.size() > kDialledControllers)
    chosen.resize(kDialledControllers);
  if (!leaderIp_.empty() && std::find(chosen.begin(), chosen.end(), leaderIp_) == chosen.end())
    chosen.back() = leaderIp_;
  return chosen;
}
void HollowNode::dial() {
  links_.clear();
  for (const auto& ip : chooseControllers())
    links_[ip] = std::make_unique<transport::Dialer>(
        *runtime::parseEndpoint(ip + ":" + std::to_string(port_)),
        [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) { onMessage(link, envelope); },
        [this](const transport::PeerLinkPtr& link) {
          transport::AgentState state;
          state.lastApplied = queue_.applied();
          link->send(transport::pack(state, self_));
        });
}
transport::Dialer* HollowNode::leader() {
  const auto it = links_.find(leaderIp_);
  return it == links_.end() || !it->second->up() ? nullptr : it->second.get();
}

// --- periodic messages ---

void HollowNode::callEvery(Duration period, void (HollowNode::*function)()) {
  // Real nodes do not send in step.
  const Duration first(random_() % static_cast<std::uint64_t>(period.count()));
  auto timer = std::make_shared<asio::steady_timer>(runtime::EventLoop::get().io(), first);
  timer->async_wait([this, timer, period, function](runtime::SocketError) {
    runtime::EventLoop::get().callEvery(period, [this, function] { (this->*function)(); });
  });
}
void HollowNode::sendState() {
  transport::AgentState state;
  state.lastApplied = queue_.applied();
  if (++statesSent_ % kStatesPerView == 1)
    state.view = {"127.0.2.1/core", "127.0.2.2/core", "127.4.0.9/access", "127.4.0.7/access", self_ + "/access"};
  for (auto& [ip, link] : links_)
    link->send(transport::pack(state, self_));
}
void HollowNode::requestLease() {
  auto* link = leader();
  if (!link)
    return;
  const auto now = Clock::now();
  transport::LeaseRequest request;
  request.requestId = ++leaseRequestId_;
  request.demand = reserve_.steadyDemand(now);
  request.holds = reserve_.reserveHoldings(now);
  request.load = {{"", 20, 0}};
  request.outliersVersion = outliersVersion_;
  // What a node with its part of the traffic has seen of runners since its last request.
  for (int i = 0; i < kReportedAttempts; ++i)
    request.attempts.push_back({"i-" + std::to_string(random_() % kReportedRunners), 2, 0});
  leaseRequestedAt_[request.requestId] = now;
  while (leaseRequestedAt_.size() > kMaxOpenLeaseRequests)
    leaseRequestedAt_.erase(leaseRequestedAt_.begin());
  link->send(transport::pack(request, self_));
}
void HollowNode::refetchIfBehind() {
  const bool behind = queue_.gap() || queue_.applied() < newestIndex_;
  if (behind && Clock::now() - followedAt_ > kRefetchPeriod)
    followLog();
}

// --- quota ---

void HollowNode::request(const std::string& tenant) {
  if (reserve_.tryAcquire(tenant, Clock::now())) {
    ++statistics_.granted;
    return;
  }
  reserve_.requestToken(tenant);
  ++waitingRequests_[tenant];
  // One token request for all requests of this turn of the loop.
  if (std::exchange(tokenRequestScheduled_, true))
    return;
  asio::post(runtime::EventLoop::get().io(), [this] {
    tokenRequestScheduled_ = false;
    requestTokens();
  });
}
void HollowNode::requestTokens() {
  auto* link = leader();
  if (!link)
    return;
  transport::QuotaTokenRequest request;
  request.requestId = ++tokenRequestId_;
  request.waiting = reserve_.takeTokenRequests();
  tokensRequestedAt_ = Clock::now();
  if (!request.waiting.empty())
    link->send(transport::pack(request, self_));
}
void HollowNode::onTokens(const transport::QuotaTokenResponse& response) {
  const auto now = Clock::now();
  const std::chrono::duration<double, std::milli> roundTrip = now - tokensRequestedAt_;
  statistics_.tokenRequestMs.push_back(roundTrip.count());
  reserve_.addImmediateTokens(response.grants, now);
  for (const auto& grant : response.grants) {
    auto& waiting = waitingRequests_[grant.tenant];
    for (; waiting > 0; --waiting)
      ++(reserve_.retryAcquire(grant.tenant, now) ? statistics_.granted : statistics_.refused);
  }
}

// --- messages ---

void HollowNode::onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  using namespace transport;
  receive<ClusterStatus>(link, envelope, [this](const ClusterStatus& status) { onClusterStatus(status); });
  receive<FeedEntries>(link, envelope, [this](FeedEntries feed) { onEntries(std::move(feed)); });
  receive<FeedSnapshot>(link, envelope, [this](const FeedSnapshot& feed) { onSnapshot(feed); });
  receive<BodyAhead>(link, envelope, [this](BodyAhead ahead) { onBodyAhead(std::move(ahead)); });
  receive<LeaseResponse>(link, envelope, [this](const LeaseResponse& response) { onLease(response); });
  receive<QuotaTokenResponse>(link, envelope, [this](const QuotaTokenResponse& response) { onTokens(response); });
}
void HollowNode::onClusterStatus(const transport::ClusterStatus& status) {
  if (status.term < term_ || status.leader.empty())
    return;
  term_ = status.term;
  if (const auto ip = status.leader.substr(0, status.leader.find('#')); ip != leaderIp_) {
    leaderIp_ = ip;
    following_ = false;
    if (!links_.contains(ip)) {
      // Not at once: this is a handler of one of the connections that dial() replaces.
      asio::post(runtime::EventLoop::get().io(), [this] { dial(); });
      return;
    }
  }
  if (!following_)
    followLog();
}
void HollowNode::onLease(const transport::LeaseResponse& response) {
  const auto it = leaseRequestedAt_.find(response.requestId);
  if (!response.granted || it == leaseRequestedAt_.end())
    return;
  newestIndex_ = std::max(newestIndex_, response.commitIndex);
  if (queue_.applied() >= response.commitIndex)
    leaseEnds_ = it->second + kLeaseLength;
  if (response.requestId == leaseRequestId_)
    reserve_.refillReserve(response.grants, it->second);
  outliersVersion_ = response.outliersVersion;
  leaseRequestedAt_.erase(it);
}

// --- log ---

void HollowNode::followLog() {
  auto* link = leader();
  if (!link)
    return;
  transport::FollowLog request;
  request.lastApplied = queue_.applied();
  request.cachedDigest = copy_.state().digest;
  request.refetch = following_;
  link->send(transport::pack(request, self_));
  followedAt_ = Clock::now();
  following_ = true;
}
void HollowNode::onEntries(transport::FeedEntries feed) {
  newestIndex_ = std::max(newestIndex_, feed.newestIndex);
  for (auto& entry : feed.entries)
    queue_.offer(std::move(entry));
  applyEntries();
}
void HollowNode::onSnapshot(const transport::FeedSnapshot& feed) {
  newestIndex_ = std::max(newestIndex_, feed.lastIncludedIndex);
  if (feed.lastIncludedIndex <= queue_.applied() || !copy_.restore(feed.state))
    return;
  queue_.restart(feed.lastIncludedIndex);
  applyEntries();
}
void HollowNode::onBodyAhead(transport::BodyAhead ahead) {
  queue_.body(ahead.digest, std::move(ahead.body));
  applyEntries();
}
void HollowNode::applyEntries() {
  while (auto entry = queue_.next())
    copy_.apply(*entry);
}
}  // namespace zinccleat::simulation
