#include "proxy_daemon/proxy_daemon.hpp"

#include <set>

#include "agent/port.hpp"
#include "consensus/entry_queue.hpp"
#include "proxy/proxy.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/dialer.hpp"
#include "transport/listener.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr auto kLeaseRenewal = 400ms;
constexpr std::size_t kMostReported = 24;  // runners told of in one question, the worst first
constexpr std::size_t kQuestionsRemembered = 16;
constexpr auto kOpeningHeldHere = 20s;  // an opening sent so lately is not asked about again
constexpr auto kPartnerQueryWait = 10ms;
constexpr auto kShutdownTick = 100ms;  // how often a shutdown is looked at

std::int64_t firstQuestion() {
  constexpr int kBits = 40;  // so that a number stays short on the wire
  return static_cast<std::int64_t>(randomSeed() >> (64 - kBits));
}

class ProxyDaemon {
 public:
  explicit ProxyDaemon(const config::Settings& s) : settings_(s) {
    context_.zone = s.zone;
    context_.rng.seed(randomSeed());
    context_.runners = balancing::RunnerPool(randomSeed());
    context_.runners.setRegions(s.zones);
    // Why a margin: an answer is under way while the lease ends, and the far clocks are not ours.
    leaseSpan_ = s.timers.revokedFail ? std::max(Duration(500), s.timers.revoke - Duration(1500)) : Duration(60000);
    // Of the descriptors 200 are not ours; a request may need one on either side.
    if (s.fdLimit > 0)
      context_.maxClients = std::max(64, (s.fdLimit - 260) / 2);
    if (s.memoryMb > 0)
      context_.maxBodyBytes = static_cast<std::size_t>(s.memoryMb) * 1024 * 1024 / 4;
    context_.requestReserveRefill = [this] { renewLease(); };
    context_.requestQuotaTokens = [this] { ask(); };
    if (s.partner && !s.partner->access.empty())
      context_.lookupPartner = [this](std::uint64_t opening, const std::string& tenant) {
        return lookupPartner(opening, tenant);
      };
    context_.retryBudget = balancing::RetryBudget(s.timers.retryRatio * 0.75, s.timers.retryWindow / 4);
    slackShare_ = static_cast<double>(randomSeed() % 10007) / 10007;
  }
  Result<void> start() {
    auto access = runtime::parseEndpoint(settings_.accessAddress);
    auto ready = runtime::parseEndpoint(settings_.readinessAddress);
    auto agent = runtime::parseEndpoint("127.0.0.1:" + std::to_string(settings_.firstPort + agent::kAgentPortOffset));
    if (!access)
      return tl::unexpected(access.error());
    if (!ready)
      return tl::unexpected(ready.error());
    if (!agent)
      return tl::unexpected(agent.error());
    agentLink_ = std::make_unique<transport::Dialer>(
        *agent,
        [this](const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
          onAgentMessage(link, envelope);
        },
        [this](const transport::PeerLinkPtr& link) {
          transport::FollowLog message;
          message.lastApplied = updates_.applied();
          message.cachedDigest = state_.state().digest;
          message.refetch = state_.corrupted();
          link->send(transport::pack(message));
          renewLease();
        });
    auto accessListener =
        transport::openListener(*access, [this](tcp::socket sock) { proxy::acceptClient(context_, std::move(sock)); });
    if (!accessListener)
      return tl::unexpected(accessListener.error());
    accessListener_ = std::move(*accessListener);
    auto ok = transport::listen(*ready, [this](tcp::socket sock) {
      auto held = std::make_shared<tcp::socket>(std::move(sock));
      runtime::EventLoop::get().spawn([this, held] { serveReadiness(std::move(*held)); });
    });
    if (!ok)
      return ok;
    runtime::EventLoop::get().callEvery(kLeaseRenewal, [this] { renewLease(); });
    // Why oftener without one: each of these goes no further than the agent while there is no leader.
    runtime::EventLoop::get().callEvery(kLeaseRenewal / 4, [this] {
      if (!context_.hasLease(Clock::now()))
        renewLease();
    });
    runtime::EventLoop::get().callEvery(1000ms, [this] { context_.connections.closeExpired(Clock::now()); });
    return {};
  }
  void leave() {
    if (context_.shutdown.begin(Clock::now(), settings_.timers.grace))
      runtime::EventLoop::get().callEvery(kShutdownTick, [this] { advanceShutdown(Clock::now()); });
  }
  void reread(const config::Settings& s) { settings_.timers = s.timers; }

 private:
  void advanceShutdown(TimePoint now) {
    if (!context_.shutdown.acceptsRequests(now)) {
      accessListener_->close();
      context_.idleConnections.limit(proxy::kIdleTimeoutWhileDraining);
    }
    if (context_.shutdown.mayExit(now, context_.clients, context_.inFlight))
      runtime::EventLoop::get().stop();
  }
  void renewLease() {
    if (!agentLink_->up())
      return;
    const auto now = Clock::now();
    transport::LeaseRequest requestId;
    requestId.requestId = ++leaseQuestion_;
    requestId.demand = context_.quota.steadyDemand(now);
    requestId.holds = context_.quota.reserveHoldings(now);
    requestId.load = load(now);
    context_.recordSlowAttempts(now);
    requestId.attempts = context_.observer.takeReport(kMostReported);
    requestId.outliersVersion = ejectionsVersion_;
    renewals_[requestId.requestId] = now;
    while (renewals_.size() > kQuestionsRemembered)
      renewals_.erase(renewals_.begin());
    agentLink_->send(transport::pack(requestId));
  }
  // What requests wait for goes out once a turn of the loop, at once, and names nobody else.
  void ask() {
    if (std::exchange(asking_, true))
      return;
    asio::post(runtime::EventLoop::get().io(), [this] {
      asking_ = false;
      if (!agentLink_->up())
        return;
      transport::QuotaTokenRequest draw;
      draw.waiting = context_.quota.takeTokenRequests();
      if (draw.waiting.empty())
        return;
      draw.requestId = ++drawQuestion_;
      draws_.insert(draw.requestId);
      if (draws_.size() > kQuestionsRemembered)
        draws_.erase(draws_.begin());
      agentLink_->send(transport::pack(draw));
    });
  }
  // Asks the leader, which hears all nodes. What was sent from here not long ago is held here; no answer in ms is a no.
  std::string lookupPartner(std::uint64_t opening, const std::string& tenant) {
    const auto now = Clock::now();
    if (sentOpenings_.size() > 8192)
      sentOpenings_.clear();
    if (const auto it = sentOpenings_.find(opening); it != sentOpenings_.end() && now - it->second < kOpeningHeldHere)
      return {};
    if (!agentLink_->up())
      return {};
    transport::PrefixLookupRequest requestId;
    requestId.requestId = ++prefixLookupRequest_;
    requestId.promptPrefix = static_cast<std::int64_t>(opening);
    // Alike at all nodes of the site, so that one tenant is counted once.
    requestId.tenantDigest = static_cast<std::int64_t>(hash64(tenant, hash64(settings_.partner->secret)));
    PartnerQuery query;
    partnerQueries_[requestId.requestId] = &query;
    agentLink_->send(transport::pack(requestId));
    (void)runtime::EventLoop::get().waitFor(query.waiter, kPartnerQueryWait);
    partnerQueries_.erase(requestId.requestId);
    if (query.access.empty()) {
      sentOpenings_[opening] = now;
      return {};
    }
    return query.access[context_.rng() % query.access.size()];
  }
  void onAgentMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
    transport::receive<transport::FeedSnapshot>(link, envelope,
                                                [this](const transport::FeedSnapshot& feed) { onSnapshot(feed); });
    transport::receive<transport::FeedEntries>(link, envelope,
                                               [this](transport::FeedEntries feed) { onEntries(std::move(feed)); });
    transport::receive<transport::LeaseResponse>(link, envelope,
                                                 [this](const transport::LeaseResponse& answer) { onLease(answer); });
    transport::receive<transport::QuotaTokenResponse>(
        link, envelope, [this](const transport::QuotaTokenResponse& drawn) { onDrawn(drawn); });
    transport::receive<transport::PrefixLookupResponse>(
        link, envelope, [this](transport::PrefixLookupResponse answer) { onPrefixLookup(std::move(answer)); });
  }
  void onSnapshot(const transport::FeedSnapshot& feed) {
    // Never back in number.
    if (feed.lastIncludedIndex < updates_.applied() ||
        (feed.lastIncludedIndex == updates_.applied() && !state_.corrupted()))
      return;
    if (auto restored = state_.restore(feed.state); !restored)
      return requestSnapshot("snapshot declined: " + restored.error().message);
    updates_.restart(feed.lastIncludedIndex);
    adopt({true, true, true});
    applyQueued();
  }
  void onEntries(transport::FeedEntries feed) {
    for (auto& entry : feed.entries)
      updates_.offer(std::move(entry));
    applyQueued();
  }
  // A fiber applies without yielding: nothing reads a copy half applied.
  void applyQueued() {
    state_machine::ReplicatedState::Change all;
    while (auto entry = updates_.next()) {
      const auto change = state_.apply(*entry);
      all.configuration |= change.configuration;
      all.runners |= change.runners;
      all.zoneDrains |= change.zoneDrains;
    }
    if (state_.corrupted())
      return requestSnapshot("a difference did not fit");
    adopt(all);
    settleLease(Clock::now());
  }
  void onLease(const transport::LeaseResponse& answer) {
    const auto it = renewals_.find(answer.requestId);
    if (it == renewals_.end() || !answer.granted)
      return;
    // The lease counts from our own question, never from the answer.
    if (it->second + leaseSpan_ > pendingEnd_) {
      pendingEnd_ = it->second + leaseSpan_;
      pendingIndex_ = std::max(pendingIndex_, answer.commitIndex);
    }
    // Why only the newest: what a later question told of the stash did not know of these tokens yet.
    if (answer.requestId == leaseQuestion_)
      context_.quota.refillReserve(answer.grants, it->second);
    if (answer.accessMachines > 0)
      context_.retryBudget.setReserve(settings_.timers.retrySlack * 0.5 / static_cast<double>(answer.accessMachines),
                                      slackShare_);
    if (answer.outliersVersion != 0 && answer.outliersVersion != ejectionsVersion_) {
      ejectionsVersion_ = answer.outliersVersion;
      ejections_ = answer.outliers;
      context_.runners.setEjected(ejections_);
    }
    renewals_.erase(it);
    settleLease(Clock::now());
  }
  void onDrawn(const transport::QuotaTokenResponse& drawn) {
    // An answer that comes twice, or to an earlier life, is none.
    if (!draws_.erase(drawn.requestId) || !drawn.granted)
      return;
    context_.quota.addImmediateTokens(drawn.grants, Clock::now());
    context_.wakeQuotaWaiters(drawn.grants);
  }
  void onPrefixLookup(transport::PrefixLookupResponse answer) {
    const auto it = partnerQueries_.find(answer.requestId);
    if (it == partnerQueries_.end())
      return;
    it->second->access = std::move(answer.access);
    it->second->waiter.wake();
  }
  // A copy that differs from what was numbered must not answer for it: nothing is served until all of it has come anew.
  void requestSnapshot(const std::string& why) {
    log::error(why + ": the whole is asked for");
    state_.markCorrupted();
    context_.leaseEnds = {};
    transport::FollowLog message;
    message.refetch = true;
    agentLink_->send(transport::pack(message));
  }
  void settleLease(TimePoint) {
    // Only once applied as far as the leader was when it answered.
    if (pendingEnd_ == TimePoint{} || state_.corrupted() || updates_.applied() < pendingIndex_)
      return;
    if (context_.leaseEnds == TimePoint{})
      log::debug("first lease, at number " + std::to_string(updates_.applied()));
    context_.leaseEnds = std::max(context_.leaseEnds, pendingEnd_);
  }
  void adopt(state_machine::ReplicatedState::Change c) {
    if (c.runners)
      context_.runners.setRunners(state_.state().runners), context_.runners.setEjected(ejections_);
    if (c.zoneDrains)
      adoptZoneDrains();
    if (!c.configuration || state_.state().configuration.empty())
      return;
    // Built aside and swapped: requests under way keep the table they began with.
    auto cfg = config::parseConfiguration(state_.state().configuration);
    if (!cfg)
      return log::error("a taken configuration can't be read: " + cfg.error().message);
    context_.configuration = *cfg;
    renewLease();
  }
  std::set<std::string> zonesOf(const std::string& place) const {
    std::set<std::string> out;
    for (auto& [zone, region] : settings_.zones)
      if (zone == place || region == place)
        out.insert(zone);
    return out;
  }
  void adoptZoneDrains() {
    std::map<std::string, balancing::RunnerPool::ZoneDrainLevel> zones;
    for (auto& c : state_.state().zoneDrains)
      for (auto& z : zonesOf(c.zone)) {
        auto& x = zones[z];
        x.drainPercent = std::max(x.drainPercent, static_cast<int>(c.drainPercent));
        x.migrateStreams = x.migrateStreams || c.notAccepting;
      }
    const auto mine = zones.find(settings_.zone);
    context_.zoneDraining = mine != zones.end() && mine->second.migrateStreams;
    context_.runners.setZoneDrains(std::move(zones));
  }
  // What the core tells operators of a closing place's progress, and how busy the fleet is.
  std::vector<transport::ZoneLoad> load(TimePoint now) {
    std::vector<transport::ZoneLoad> out;
    const double s = std::max(0.05, std::chrono::duration<double>(now - loadAt_).count());
    const auto all = context_.served + context_.rejected;
    if (now - loadAt_ > 900ms) {
      perS_ = static_cast<double>(all - loadCount_) / s;
      loadAt_ = now;
      loadCount_ = all;
    }
    out.push_back({"", perS_, 0});
    for (auto& c : state_.state().zoneDrains) {
      const auto zones = zonesOf(c.zone);
      out.push_back({c.zone, static_cast<double>(context_.runners.inFlightInZones(zones)),
                     zones.contains(settings_.zone) ? context_.inFlight * 1.0 : 0.0});
    }
    return out;
  }
  void serveReadiness(tcp::socket sock) {
    runtime::Connection w(std::move(sock));
    proxy::Buffer buf;
    for (;;) {
      proxy::RequestParser p;
      const auto r = proxy::readRequest(w, buf, p, {});
      if (r.outcome != proxy::ReadOutcome::complete)
        return;
      const bool known = p.get().target() == "/v1/readiness";
      const bool ready = context_.hasLease(Clock::now()) && !context_.shutdown.begun() && !context_.zoneDraining;
      const bool keep = p.get().keep_alive();
      runtime::SocketError ec;
      w.write(asio::buffer(proxy::plainResponse(!known  ? 404
                                                : ready ? 200
                                                        : 503,
                                                "", "application/json",
                                                ready ? "{\"ready\":true}" : "{\"ready\":false}", keep)),
              ec);
      if (ec || !keep)
        return;
    }
  }

  config::Settings settings_;
  proxy::ProxyContext context_;
  consensus::EntryQueue updates_;
  state_machine::ReplicatedState state_;
  std::optional<transport::Listener> accessListener_;
  std::unique_ptr<transport::Dialer> agentLink_;
  std::map<std::int64_t, TimePoint> renewals_;
  // Questions are numbered from a point drawn for this life: an answer to an earlier one fits none.
  std::int64_t leaseQuestion_ = firstQuestion(), drawQuestion_ = firstQuestion(),
               prefixLookupRequest_ = firstQuestion();
  std::set<std::int64_t> draws_;  // under way
  std::int64_t pendingIndex_ = 0;
  bool asking_ = false;
  struct PartnerQuery {
    runtime::Waiter waiter;
    std::vector<std::string> access;
  };
  std::map<std::int64_t, PartnerQuery*> partnerQueries_;  // questions under way
  std::unordered_map<std::uint64_t, TimePoint> sentOpenings_;
  std::int64_t ejectionsVersion_ = 0;
  std::vector<transport::RunnerEjection> ejections_;  // runners set aside, as last told
  TimePoint pendingEnd_{};
  TimePoint loadAt_ = Clock::now();
  std::uint64_t loadCount_ = 0;
  double perS_ = 0, slackShare_ = 0;
  Duration leaseSpan_{};
};
}  // namespace

int runProxy(const config::Settings& s) {
  runtime::EventLoop loop;
  ProxyDaemon p(s);
  if (auto r = p.start(); !r) {
    log::info("proxy: " + r.error().message);
    return 1;
  }
  runtime::watchLifecycle(config::settingsPath(), {[&] { p.leave(); },
                                                   [&] {
                                                     if (auto n = config::loadSettings(config::settingsPath()))
                                                       p.reread(*n);
                                                     else
                                                       log::error(n.error().message);
                                                   }});
  loop.run();
  return 0;
}
}  // namespace zinccleat::proxy_daemon
