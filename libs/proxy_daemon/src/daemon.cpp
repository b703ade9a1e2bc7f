#include "proxy_daemon/daemon.hpp"

#include "agent/port.hpp"
#include "proxy/proxy.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr auto kRenewalInterval = LeaseRenewal::kInterval;
constexpr auto kRenewalIntervalWithoutLease = kRenewalInterval / 4;
/// A lease that has not been renewed for this time is logged: three renewals have failed, or the replica lags.
constexpr auto kRenewalOverdueAfter = kRenewalInterval * 3;
constexpr auto kConnectionSweepInterval = 1000ms;
constexpr auto kShutdownInterval = 100ms;
/// Margins that keep this node's retry budget below the limits in the settings: the ratio and the slack are multiplied
/// by these fractions, and the window is divided.
constexpr double kRetryRatioFraction = 0.75;
constexpr double kRetrySlackFraction = 0.5;
constexpr int kRetryWindowDivisor = 4;

double randomFraction() {
  constexpr std::uint64_t kSteps = 10007;
  return static_cast<double>(randomSeed() % kSteps) / kSteps;
}
}  // namespace

ProxyDaemon::ProxyDaemon(const config::Settings& settings)
    : settings_(settings),
      adoption_(context_, settings.zones),
      lease_(LeaseRenewal::leaseDuration(settings.timers), LeaseRenewal::maxLag(settings.timers), randomRequestId()),
      report_(context_, settings.zones, Clock::now()),
      quotaTokens_(context_, agentLink_),
      readiness_(context_),
      retrySlackDraw_(randomFraction()) {
  context_.zone = settings.zone;
  context_.rng.seed(randomSeed());
  context_.runners = balancing::RunnerPool(randomSeed());
  context_.runners.setRegions(settings.zones);
  context_.revisions.setExposureShare(settings.timers.exposureShare);
  context_.retryBudget = balancing::RetryBudget(settings.timers.retryRatio * kRetryRatioFraction,
                                                settings.timers.retryWindow / kRetryWindowDivisor);
  if (settings.platform)
    context_.usage = platform::UsageRecorder(
        settings.platform->usageReporting ? settings.timers.reportWindow : Duration(0), randomRequestId() | 1);
  applyLimits();
  connectCallbacks();
}
void ProxyDaemon::applyLimits() {
  // For files, listeners, the agent's connection, readiness checks, and a margin.
  constexpr int kReservedDescriptors = 260 + ReadinessServer::kMaxConnections;
  constexpr int kDescriptorsPerRequest = 2;  // one for the client, one for the runner
  constexpr int kMinClients = 64;
  constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
  constexpr std::size_t kMemoryDivisorForMessages = 4;
  constexpr std::size_t kMemoryDivisorForConnections = 2;
  constexpr std::size_t kMemoryDivisorForSocketBuffers = 8;
  // Stack, buffers, the usual header of a request and its response, and what the kernel holds of both connections.
  constexpr std::size_t kBytesPerConnection = std::size_t{128} * 1024;
  if (settings_.fdLimit > 0)
    context_.maxClients = std::max(kMinClients, (settings_.fdLimit - kReservedDescriptors) / kDescriptorsPerRequest);
  if (settings_.memoryMb <= 0)
    return;
  const auto memory = static_cast<std::size_t>(settings_.memoryMb) * kBytesPerMb;
  const auto connections = static_cast<int>(memory / kMemoryDivisorForConnections / kBytesPerConnection);
  context_.maxClients = std::max(kMinClients, std::min(context_.maxClients, connections));
  context_.messageMemory = runtime::MemoryBudget(memory / kMemoryDivisorForMessages);
  context_.socketBuffers = runtime::SocketBufferBudget(memory / kMemoryDivisorForSocketBuffers);
}
void ProxyDaemon::connectCallbacks() {
  context_.requestReserveRefill = [this] { renewLease(); };  // a lease request also contains the quota demand
  context_.requestQuotaTokens = [this] { quotaTokens_.requestSoon(); };
  if (!settings_.partner || settings_.partner->access.empty())
    return;
  partnerLookup_.emplace(context_, agentLink_, settings_.partner->secret);
  context_.lookupPartner = [this](std::uint64_t promptPrefix, const std::string& tenant) {
    return partnerLookup_->lookup(promptPrefix, tenant);
  };
}

Result<void> ProxyDaemon::start(runtime::Startup& startup) {
  const auto access = runtime::parseEndpoint(settings_.accessAddress);
  const auto readiness = runtime::parseEndpoint(settings_.readinessAddress);
  const auto agent = runtime::parseEndpoint(agent::agentEndpoint(settings_));
  for (const auto* endpoint : {&access, &readiness, &agent})
    if (!*endpoint)
      return tl::unexpected(endpoint->error());
  agentLink_.start(
      *agent,
      [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
        onAgentMessage(link, envelope);
      },
      [this](const transport::PeerLinkPtr& link) { onAgentConnected(link); });
  // The clients' address comes last: while the start waits for another address, no client connects.
  if (auto listening = startup.retry([&] { return readiness_.start(*readiness); }); !listening)
    return listening;
  if (auto listening = startup.retry([&] { return listenForClients(*access); }); !listening)
    return listening;
  startTimers();
  return {};
}
Result<void> ProxyDaemon::listenForClients(const tcp::endpoint& endpoint) {
  auto listener = transport::openListener(
      endpoint, [this](tcp::socket socket) { proxy::acceptClient(context_, std::move(socket)); });
  if (!listener)
    return tl::unexpected(listener.error());
  clientListener_ = std::move(*listener);
  return {};
}
void ProxyDaemon::startTimers() {
  auto& loop = runtime::EventLoop::get();
  loop.callEvery(kRenewalInterval, [this] { renewLease(); });
  // Without a lease, requests are sent more often. This puts no load on the core while there is no leader, because the
  // agent then does not forward lease requests.
  loop.callEvery(kRenewalIntervalWithoutLease, [this] {
    if (!context_.hasLease(Clock::now()))
      renewLease();
  });
  loop.callEvery(kConnectionSweepInterval, [this] { context_.connections.closeExpired(Clock::now()); });
}
void ProxyDaemon::shutDown() {
  if (context_.shutdown.begin(Clock::now(), settings_.timers.grace))
    runtime::EventLoop::get().callEvery(kShutdownInterval, [this] { advanceShutdown(Clock::now()); });
}
void ProxyDaemon::advanceShutdown(TimePoint now) {
  if (!context_.shutdown.acceptsRequests(now)) {
    clientListener_->close();
    context_.idleConnections.limitIdleTime(proxy::kIdleTimeoutWhileDraining);
  }
  if (context_.shutdown.mayExit(now, context_.clients, context_.inFlight))
    runtime::EventLoop::get().stop();
}

void ProxyDaemon::onAgentConnected(const transport::PeerLinkPtr& link) {
  transport::FollowLog message;
  message.lastApplied = replica_.lastApplied();
  message.cachedDigest = replica_.state().digest;
  message.refetch = replica_.corrupted();
  link->send(transport::pack(message));
  renewLease();
}
void ProxyDaemon::onAgentMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  transport::receive<transport::FeedSnapshot>(
      link, envelope, [this](const transport::FeedSnapshot& snapshot) { onSnapshot(snapshot); });
  transport::receive<transport::FeedEntries>(link, envelope,
                                             [this](transport::FeedEntries feed) { onEntries(std::move(feed)); });
  transport::receive<transport::LeaseResponse>(
      link, envelope, [this](const transport::LeaseResponse& response) { onLeaseResponse(response); });
  transport::receive<transport::QuotaTokenResponse>(
      link, envelope, [this](const transport::QuotaTokenResponse& response) { quotaTokens_.accept(response); });
  transport::receive<transport::PrefixLookupResponse>(link, envelope, [this](transport::PrefixLookupResponse response) {
    if (partnerLookup_)
      partnerLookup_->accept(std::move(response));
  });
}

void ProxyDaemon::onSnapshot(const transport::FeedSnapshot& snapshot) {
  if (!replica_.needsSnapshot(snapshot))
    return;
  if (const auto restored = replica_.restore(snapshot); !restored) {
    log::error("snapshot_declined", {{"index", snapshot.lastIncludedIndex}, {"reason", restored.error().message}});
    return requestSnapshot();
  }
  adopt({.configuration = true, .runners = true, .zoneDrains = true, .rollouts = true});
  applyEntries();
}
void ProxyDaemon::onEntries(transport::FeedEntries feed) {
  for (auto& entry : feed.entries)
    replica_.offer(std::move(entry));
  applyEntries();
}
/// Does not yield to other fibers, so no request sees a state in which only some of the entries are applied.
void ProxyDaemon::applyEntries() {
  state_machine::ReplicatedState::Change changes;
  while (const auto applied = replica_.applyNext()) {
    changes.configuration |= applied->change.configuration;
    changes.runners |= applied->change.runners;
    changes.zoneDrains |= applied->change.zoneDrains;
    changes.rollouts |= applied->change.rollouts;
  }
  if (replica_.corrupted()) {
    log::error("replica_corrupted",
               {{"index", replica_.lastApplied()}, {"reason", "a configuration delta does not match the replica"}});
    return requestSnapshot();
  }
  adopt(changes);
  useLease();
}
/// Drops the lease, because a corrupted replica must not decide about requests: the proxy serves no request until a
/// full snapshot has been restored.
void ProxyDaemon::requestSnapshot() {
  replica_.markCorrupted();
  grantedLeaseExpiresAt_ = {};
  context_.leaseExpiresAt = {};
  transport::FollowLog message;
  message.refetch = true;
  agentLink_.send(message);
}
void ProxyDaemon::adopt(state_machine::ReplicatedState::Change change) {
  if (adoption_.adopt(replica_.state(), change))
    renewLease();
}

void ProxyDaemon::renewLease() {
  if (!agentLink_.connected())
    return;
  const auto now = Clock::now();
  logOverdueRenewal(now);
  transport::LeaseRequest request;
  request.requestId = lease_.start(now);
  report_.fill(request, now, replica_.state().zoneDrains);
  request.outliersVersion = adoption_.ejectionsVersion();
  agentLink_.send(request);
}
void ProxyDaemon::logOverdueRenewal(TimePoint now) {
  const auto left = grantedLeaseExpiresAt_ - now;
  const bool isOverdue = left > 0ms && left < LeaseRenewal::leaseDuration(settings_.timers) - kRenewalOverdueAfter;
  if (std::exchange(isRenewalOverdue_, isOverdue) == isOverdue)
    return;
  log::debug(isOverdue ? "lease_not_renewed" : "lease_renewed",
             {{"index", replica_.lastApplied()},
              {"required", lease_.requiredIndex()},
              {"left_ms", context_.hasLease(now) ? toDuration(context_.leaseExpiresAt - now) : Duration(0)},
              {"agent_connected", agentLink_.connected()}});
}
void ProxyDaemon::onLeaseResponse(const transport::LeaseResponse& response) {
  const auto granted = lease_.accept(response);
  if (!granted)
    return;
  // Tokens are taken only from the response to the newest request. A newer request has already reported a local reserve
  // that did not include the tokens of this response.
  if (granted->isNewestRequest)
    context_.quota.refillReserve(response.grants, granted->requestedAt);
  context_.revisions.addGrants(response.extension.exposures, granted->requestedAt);
  context_.usage.accept(response.extension.extension.extension, granted->requestedAt, Clock::now());
  context_.runners.setWarmupGrants(response.extension.extension.warmups, granted->requestedAt);
  if (response.accessMachines > 0)
    context_.retryBudget.setReserve(
        settings_.timers.retrySlack * kRetrySlackFraction / static_cast<double>(response.accessMachines),
        retrySlackDraw_);
  adoption_.adoptEjections(response);
  useLease();
}
// Called after each lease response and after entries were applied. A lease may be used only after the replica has
// applied all entries that the leader had committed when it granted the lease. A lease in use is shortened while the
// replica lacks entries that are known to be committed.
void ProxyDaemon::useLease() {
  if (replica_.corrupted())
    return;
  const auto freshUntil = lease_.freshUntil(replica_.lastApplied());
  const auto usableUntil = lease_.usableUntil(replica_.lastApplied());
  if (usableUntil && grantedLeaseExpiresAt_ == TimePoint{})
    log::debug("lease_acquired", {{"index", replica_.lastApplied()}});
  grantedLeaseExpiresAt_ = std::max(grantedLeaseExpiresAt_, usableUntil.value_or(TimePoint{}));
  context_.leaseExpiresAt = std::min(grantedLeaseExpiresAt_, freshUntil);
}
}  // namespace zinccleat::proxy_daemon
