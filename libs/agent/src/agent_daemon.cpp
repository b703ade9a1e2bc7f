#include "agent/agent_daemon.hpp"

#include "agent/port.hpp"
#include "agent/request_forwarding.hpp"
#include "consensus/cluster_config.hpp"
#include "runtime/log_ring.hpp"
#include "transport/listener.hpp"

namespace zinccleat::agent {
namespace {
constexpr auto kStateReportInterval = 1000ms;   // between two reports of the agent's state to the core
constexpr int kReceiptsPerStateReport = 32;     // a report is also due after this number of entry or snapshot messages
constexpr int kStateReportsPerViewSample = 8;   // one in this many reports includes a sample of the partial view
constexpr auto kLinkSelectionInterval = 250ms;  // between two selections of the links to the core
constexpr auto kShutdownInterval = 100ms;
constexpr Duration kMinLoggedLag{300};  // a longer lag is logged, and again each time it has doubled
}  // namespace

AgentDaemon::AgentDaemon(const config::Settings& settings)
    : settings_(settings),
      identity_(settings.ip + "#agent"),
      acceptedLinks_(transport::AcceptedLinkLimits::of(settings.memoryMb, settings.fdLimit)),
      discovery_(settings.ip, randomSeed()),
      feedSource_(settings.zone, randomSeed()),
      proxyFeed_(follower_),
      links_(
          settings.firstPort,
          [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
            onCoreMessage(link, envelope);
          },
          [this](const std::string& address, const transport::PeerLinkPtr& link) { onCoreConnected(address, link); }) {}

Result<void> AgentDaemon::start(runtime::Startup& startup) {
  discovery_.setSeeds(settings_.seeds);
  if (auto listening = startup.retry([this] { return listenForProxy(); }); !listening)
    return listening;
  chooseLinks();
  startTimers();
  return {};
}
Result<void> AgentDaemon::listenForProxy() {
  const auto endpoint = runtime::parseEndpoint(agentEndpoint(settings_));
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  const auto acceptProxy = [this, own = endpoint->address()](tcp::socket socket) {
    runtime::SocketError ec;
    const auto remote = socket.remote_endpoint(ec);
    if (ec || !isOwnMachine(remote.address(), own))
      return;  // closes the connection: only the proxy of this machine may connect
    acceptedLinks_.accept(std::move(socket),
                          [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
                            onProxyMessage(link, envelope);
                          });
  };
  // The proxy gets all of the replicated state, and sends little.
  return transport::listen(*endpoint, acceptProxy, {.send = 0});
}
void AgentDaemon::startTimers() {
  auto& loop = runtime::EventLoop::get();
  loop.callEvery(kLinkSelectionInterval, [this] { chooseLinks(); });
  loop.callEvery(kStateReportInterval, [this] { sendStateToAll(); });
  loop.callEvery(LogFollower::kRefetchInterval, [this] { refetchIfBehind(); });
}
void AgentDaemon::shutDown() {
  // The proxy completes its requests within the grace period and needs the agent until then.
  const auto deadline = Clock::now() + settings_.timers.grace * 9 / 10;
  runtime::EventLoop::get().callEvery(kShutdownInterval, [this, deadline] { stopOnceProxyDisconnects(deadline); });
}
void AgentDaemon::stopOnceProxyDisconnects(TimePoint deadline) {
  if (Clock::now() >= deadline || !proxyFeed_.connected())
    runtime::EventLoop::get().stop();
}
void AgentDaemon::reloadSettings(const config::Settings& settings) {
  discovery_.setSeeds(settings.seeds);
  chooseLinks();
}

void AgentDaemon::chooseLinks() {
  const auto now = Clock::now();
  links_.connectTo(discovery_.desiredAddresses(
      now, [this](const std::string& address) { return links_.isConnected(address); }, feedSource_.memberInZone(now)));
  chooseSource();
}
void AgentDaemon::chooseSource() {
  const auto chosen = feedSource_.choose(Clock::now(), discovery_.leaderAddress(), sourceAddress_,
                                         [this](const std::string& address) { return links_.isConnected(address); });
  if (chosen.empty() || (chosen == sourceAddress_ && follower_.following()))
    return;
  const auto previous = std::exchange(sourceAddress_, chosen);
  if (previous != chosen) {
    sourceCommitIndex_ = 0;
    unsubscribe(previous);
  }
  follow(sourceLink(), false);
}
transport::PeerLinkPtr AgentDaemon::leaderLink() const {
  return links_.connectedLink(discovery_.leaderAddress());
}
transport::Envelope AgentDaemon::stateMessage() {
  transport::AgentState state;
  state.lastApplied = follower_.replica().lastApplied();
  if (++stateReportCount_ % kStateReportsPerViewSample == 1)
    state.view = discovery_.sampleView();
  return transport::pack(state, identity_);
}
void AgentDaemon::sendStateToAll() {
  links_.sendToAll([this] { return stateMessage(); });
  receiptsSinceStateReport_ = 0;
}
void AgentDaemon::sendStateIfDue(const transport::PeerLinkPtr& link) {
  if (++receiptsSinceStateReport_ < kReceiptsPerStateReport)
    return;
  link->send(stateMessage());
  receiptsSinceStateReport_ = 0;
}

void AgentDaemon::follow(const transport::PeerLinkPtr& link, bool refetch) {
  auto request = follower_.follow(Clock::now(), refetch);
  request.extension.zone = settings_.zone;
  link->send(transport::pack(request, identity_));
}
void AgentDaemon::unsubscribe(const std::string& address) {
  const auto link = links_.connectedLink(address);
  if (!link)
    return;
  transport::FollowLog request;
  request.extension.unsubscribe = true;
  link->send(transport::pack(request, identity_));
}
void AgentDaemon::refetch() {
  if (!follower_.mayRefetch(Clock::now()))
    return;
  if (const auto link = sourceLink())
    follow(link, true);
}
// A follower of the core commits an entry slightly later than the leader, so it sends the entry shortly after the
// leader has granted a lease that requires it. Missing entries are therefore requested only after `kRefetchInterval`.
void AgentDaemon::refetchIfBehind() {
  const auto now = Clock::now();
  logReplicaLag(now);
  const auto stalledFor = follower_.stalledFor(now);
  const auto source = sourceLink();
  const FeedSource::Activity activity{source ? source->lastReceivedAt() : TimePoint{},
                                      sourceCommitIndex_ > follower_.replica().lastApplied()};
  const bool isStalled = FeedSource::isStalled(now, stalledFor, activity);
  if (isStalled && sourceAddress_ != discovery_.leaderAddress()) {
    log::debug("feed_source_stalled", {{"member", sourceAddress_}, {"stalled_ms", stalledFor}});
    feedSource_.avoid(sourceAddress_, now);
    return chooseSource();
  }
  if (stalledFor >= LogFollower::kRefetchInterval)
    refetch();
}
void AgentDaemon::logReplicaLag(TimePoint now) {
  const auto lag = follower_.lag(now);
  longestLag_ = std::max(longestLag_, lag);
  if (lag >= std::max(kMinLoggedLag, loggedLag_ * 2)) {
    const auto source = sourceLink();
    log::debug("replica_lags", {{"member", sourceAddress_},
                                {"leader", discovery_.leaderAddress()},
                                {"index", follower_.replica().lastApplied()},
                                {"committed", follower_.newestIndex()},
                                {"has_gap", follower_.replica().hasGap()},
                                {"received_ms", source ? toDuration(now - source->lastReceivedAt()) : Duration(-1)},
                                {"lag_ms", lag}});
    loggedLag_ = lag;
  }
  if (lag > Duration(0))
    return;
  if (loggedLag_ > Duration(0))
    log::debug("replica_caught_up",
               {{"member", sourceAddress_}, {"index", follower_.replica().lastApplied()}, {"lag_ms", longestLag_}});
  loggedLag_ = Duration(0);
  longestLag_ = Duration(0);
}
void AgentDaemon::applyEntries() {
  std::vector<transport::LogEntry> entries;
  while (auto applied = follower_.applyNext()) {
    if (applied->change.corrupted) {
      log::error("replica_corrupted",
                 {{"index", applied->entry.index}, {"reason", "a configuration delta does not match the replica"}});
      refetch();
    }
    entries.push_back(std::move(applied->entry));
  }
  proxyFeed_.sendEntries(std::move(entries));
}

void AgentDaemon::onCoreConnected(const std::string& address, const transport::PeerLinkPtr& link) {
  link->send(stateMessage());
  // A subscription ends when the connection that it was made on is closed.
  if (address == sourceAddress_)
    follower_.stopFollowing();
  chooseSource();
}
void AgentDaemon::onCoreMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  if (!envelope.sender.empty())
    discovery_.recordContact(envelope.sender);
  transport::receive<transport::ClusterStatus>(
      link, envelope, [&](const transport::ClusterStatus& status) { onClusterStatus(envelope.sender, status); });
  transport::receive<transport::FeedEntries>(link, envelope,
                                             [&](transport::FeedEntries feed) { onEntries(link, std::move(feed)); });
  transport::receive<transport::FeedSnapshot>(
      link, envelope, [&](const transport::FeedSnapshot& snapshot) { onSnapshot(link, snapshot); });
  transport::receive<transport::BodyAhead>(link, envelope, [this](transport::BodyAhead body) {
    follower_.offerBody(std::move(body));
    applyEntries();
  });
  transport::receive<transport::LeaseResponse>(
      link, envelope, [this](const transport::LeaseResponse& response) { onLeaseResponse(response); });
  if (isResponseForProxy(envelope.type))
    proxyFeed_.forward(envelope);
}
void AgentDaemon::onClusterStatus(const std::string& sender, const transport::ClusterStatus& status) {
  if (consensus::addressOf(sender) == sourceAddress_)
    sourceCommitIndex_ = std::max(sourceCommitIndex_, status.commitIndex);
  const auto change = discovery_.observe(status);
  if (change.stale)
    return;
  if (change.voters)
    chooseLinks();
  if (change.leader) {
    discovery_.setLeader(status.leader);
    log::debug("leader_followed", {{"member", status.leader}, {"term", status.term}});
    // The leader of the earlier term no longer sends entries to agents of other zones, so a new subscription is needed.
    follower_.stopFollowing();
    chooseLinks();
  }
  // The leader's list of members is the most reliable. Until one is received, the list of any member is used.
  if (sender == discovery_.leader() || !feedSource_.knowsMembers()) {
    feedSource_.setMembers(status.extension.members, Clock::now());
    chooseLinks();
  }
  chooseSource();
}
void AgentDaemon::onEntries(const transport::PeerLinkPtr& link, transport::FeedEntries feed) {
  if (!discovery_.acceptsTerm(feed.term))
    return;
  if (link == sourceLink())
    sourceCommitIndex_ = std::max(sourceCommitIndex_, feed.newestIndex);
  follower_.offer(std::move(feed));
  applyEntries();
  sendStateIfDue(link);
}
void AgentDaemon::onSnapshot(const transport::PeerLinkPtr& link, const transport::FeedSnapshot& snapshot) {
  if (!discovery_.acceptsTerm(snapshot.term) || !follower_.needsSnapshot(snapshot))
    return;
  if (const auto restored = follower_.restore(snapshot); !restored) {
    log::error("snapshot_declined", {{"index", snapshot.lastIncludedIndex}, {"reason", restored.error().message}});
    return refetch();
  }
  proxyFeed_.sendSnapshot();
  applyEntries();
  sendStateIfDue(link);
}
void AgentDaemon::onLeaseResponse(const transport::LeaseResponse& response) {
  if (!response.granted)
    return;
  const auto now = Clock::now();
  follower_.recordCommitIndex(now, response.commitIndex);
  discovery_.recordLease(now);
  refetchIfBehind();
}
void AgentDaemon::onProxyMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  transport::receive<transport::FollowLog>(
      link, envelope, [&](const transport::FollowLog& request) { proxyFeed_.subscribe(link, request); });
  if (isRequestForLeader(envelope.type))
    forwardToLeader(link, envelope);
}
void AgentDaemon::forwardToLeader(const transport::PeerLinkPtr& proxy, const transport::Envelope& envelope) {
  const auto leader = leaderLink();
  if (!leader)
    return proxy->send(
        transport::pack(transport::ClusterStatus{}));  // without a leader, the message only keeps the link alive
  auto forwarded = envelope;
  forwarded.sender = identity_;
  leader->send(forwarded);
}
}  // namespace zinccleat::agent
