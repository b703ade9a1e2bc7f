#include "proxy_daemon/proxy_daemon.hpp"

#include <set>

#include "agent/port.hpp"
#include "consensus/queue.hpp"
#include "proxy/proxy.hpp"
#include "runtime/lifecycle.hpp"
#include "runtime/log_ring.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"
#include "transport/peer_link.hpp"

namespace zc {
namespace {
constexpr auto kLeaseRenewal = 400ms;
constexpr std::size_t kMostReported = 24;  // runners told of in one question, the worst first
constexpr std::size_t kQuestionsRemembered = 16;
constexpr auto kOpeningHeldHere = 20s;  // an opening sent so lately is not asked about again
constexpr auto kPartnerQueryWait = 10ms;
constexpr auto kShutdownTick = 100ms;  // how often a shutdown is looked at

std::int64_t firstQuestion() {
  constexpr int kBits = 40;  // so that a number stays short on the wire
  return static_cast<std::int64_t>(drawSeed() >> (64 - kBits));
}

class ProxyDaemon {
 public:
  explicit ProxyDaemon(const Settings& s) : settings_(s) {
    context_.zone = s.zone;
    context_.rng.seed(drawSeed());
    context_.runners = RunnerPool(drawSeed());
    context_.runners.regions(s.zones);
    // Why a margin: an answer is under way while the lease ends, and the far clocks are not ours.
    leaseSpan_ = s.timers.revokedFail ? std::max(Span(500), s.timers.revoke - Span(1500)) : Span(60000);
    // Of the descriptors 200 are not ours; a request may need one on either side.
    if (s.fdLimit > 0)
      context_.maxClients = std::max(64, (s.fdLimit - 260) / 2);
    if (s.memoryMb > 0)
      context_.maxBodyBytes = static_cast<std::size_t>(s.memoryMb) * 1024 * 1024 / 4;
    context_.drawGrants = [this] { renewLease(); };
    context_.askTokens = [this] { ask(); };
    if (s.partner && !s.partner->access.empty())
      context_.findAtPartner = [this](std::uint64_t opening, const std::string& tenant) {
        return findAtPartner(opening, tenant);
      };
    context_.budget = Budget(s.timers.retryRatio * 0.75, s.timers.retryWindow / 4);
    slackShare_ = static_cast<double>(drawSeed() % 10007) / 10007;
  }
  Outcome<void> start() {
    auto access = parseEndpoint(settings_.accessAddr);
    auto ready = parseEndpoint(settings_.readinessAddr);
    auto agent = parseEndpoint("127.0.0.1:" + std::to_string(settings_.portFirst + kTenderPort));
    if (!access)
      return tl::unexpected(access.error());
    if (!ready)
      return tl::unexpected(ready.error());
    if (!agent)
      return tl::unexpected(agent.error());
    agentLink_ = std::make_unique<Dialer>(
        *agent, [this](const PeerLinkPtr& link, const Envelope& envelope) { onAgentMessage(link, envelope); },
        [this](const PeerLinkPtr& link) {
          FollowLog message;
          message.appliedNumber = updates_.applied();
          message.heldDigest = state_.state().digest;
          message.refetch = state_.damaged();
          link->send(pack(message));
          renewLease();
        });
    auto accessListener = openListener(*access, [this](tcp::socket sock) { takeClient(context_, std::move(sock)); });
    if (!accessListener)
      return tl::unexpected(accessListener.error());
    accessListener_ = std::move(*accessListener);
    auto ok = listen(*ready, [this](tcp::socket sock) {
      auto held = std::make_shared<tcp::socket>(std::move(sock));
      EventLoop::get().launch([this, held] { serveReadiness(std::move(*held)); });
    });
    if (!ok)
      return ok;
    EventLoop::get().every(kLeaseRenewal, [this] { renewLease(); });
    // Why oftener without one: each of these goes no further than the agent while there is no leader.
    EventLoop::get().every(kLeaseRenewal / 4, [this] {
      if (!context_.hasLease(Clock::now()))
        renewLease();
    });
    EventLoop::get().every(1000ms, [this] { context_.connections.sweep(Clock::now()); });
    return {};
  }
  void leave() {
    if (context_.shutdown.begin(Clock::now(), settings_.timers.grace))
      EventLoop::get().every(kShutdownTick, [this] { advanceShutdown(Clock::now()); });
  }
  void reread(const Settings& s) { settings_.timers = s.timers; }

 private:
  void advanceShutdown(Instant now) {
    if (!context_.shutdown.takesRequests(now)) {
      accessListener_->close();
      context_.idleConnections.limit(kIdleWhileLeaving);
    }
    if (context_.shutdown.mayExit(now, context_.clients, context_.inFlight))
      EventLoop::get().stop();
  }
  void renewLease() {
    if (!agentLink_->up())
      return;
    const auto now = Clock::now();
    LeaseQuestion question;
    question.question = ++leaseQuestion_;
    question.demand = context_.quota.demand(now);
    question.holds = context_.quota.holds(now);
    question.load = load(now);
    context_.countSlow(now);
    question.attempts = context_.observer.report(kMostReported);
    question.outliersVersion = ejectionsVersion_;
    renewals_[question.question] = now;
    while (renewals_.size() > kQuestionsRemembered)
      renewals_.erase(renewals_.begin());
    agentLink_->send(pack(question));
  }
  // What requests wait for goes out once a turn of the loop, at once, and names nobody else.
  void ask() {
    if (std::exchange(asking_, true))
      return;
    asio::post(EventLoop::get().io(), [this] {
      asking_ = false;
      if (!agentLink_->up())
        return;
      QuotaDraw draw;
      draw.waiting = context_.quota.unasked();
      if (draw.waiting.empty())
        return;
      draw.question = ++drawQuestion_;
      draws_.insert(draw.question);
      if (draws_.size() > kQuestionsRemembered)
        draws_.erase(draws_.begin());
      agentLink_->send(pack(draw));
    });
  }
  // Asks the leader, which hears all nodes. What was sent from here not long ago is held here; no answer in ms is a no.
  std::string findAtPartner(std::uint64_t opening, const std::string& tenant) {
    const auto now = Clock::now();
    if (sentOpenings_.size() > 8192)
      sentOpenings_.clear();
    if (const auto it = sentOpenings_.find(opening); it != sentOpenings_.end() && now - it->second < kOpeningHeldHere)
      return {};
    if (!agentLink_->up())
      return {};
    OpeningQuestion question;
    question.question = ++openingQuestion_;
    question.opening = static_cast<std::int64_t>(opening);
    // Alike at all nodes of the site, so that one tenant is counted once.
    question.tenantMark = static_cast<std::int64_t>(hash64(tenant, hash64(settings_.partner->secret)));
    PartnerQuery query;
    partnerQueries_[question.question] = &query;
    agentLink_->send(pack(question));
    (void)EventLoop::get().waitFor(query.waiter, kPartnerQueryWait);
    partnerQueries_.erase(question.question);
    if (query.access.empty()) {
      sentOpenings_[opening] = now;
      return {};
    }
    return query.access[context_.rng() % query.access.size()];
  }
  void onAgentMessage(const PeerLinkPtr& link, const Envelope& envelope) {
    receive<FeedSnapshot>(link, envelope, [this](const FeedSnapshot& feed) { onSnapshot(feed); });
    receive<FeedEntries>(link, envelope, [this](FeedEntries feed) { onEntries(std::move(feed)); });
    receive<LeaseAnswer>(link, envelope, [this](const LeaseAnswer& answer) { onLease(answer); });
    receive<QuotaDrawn>(link, envelope, [this](const QuotaDrawn& drawn) { onDrawn(drawn); });
    receive<OpeningAnswer>(link, envelope, [this](OpeningAnswer answer) { onOpening(std::move(answer)); });
  }
  void onSnapshot(const FeedSnapshot& feed) {
    // Never back in number.
    if (feed.number < updates_.applied() || (feed.number == updates_.applied() && !state_.damaged()))
      return;
    if (auto restored = state_.restore(feed.state); !restored)
      return requestSnapshot("snapshot declined: " + restored.error().text);
    updates_.restart(feed.number);
    adopt({true, true, true});
    applyQueued();
  }
  void onEntries(FeedEntries feed) {
    for (auto& entry : feed.entries)
      updates_.offer(std::move(entry));
    applyQueued();
  }
  // A fiber applies without yielding: nothing reads a copy half applied.
  void applyQueued() {
    ReplicatedState::Change all;
    while (auto entry = updates_.next()) {
      const auto change = state_.apply(*entry);
      all.configuration |= change.configuration;
      all.runners |= change.runners;
      all.closures |= change.closures;
    }
    if (state_.damaged())
      return requestSnapshot("a difference did not fit");
    adopt(all);
    settleLease(Clock::now());
  }
  void onLease(const LeaseAnswer& answer) {
    const auto it = renewals_.find(answer.question);
    if (it == renewals_.end() || !answer.granted)
      return;
    // The lease counts from our own question, never from the answer.
    if (it->second + leaseSpan_ > pendingEnd_) {
      pendingEnd_ = it->second + leaseSpan_;
      pendingNum_ = std::max(pendingNum_, answer.commitNumber);
    }
    // Why only the newest: what a later question told of the stash did not know of these tokens yet.
    if (answer.question == leaseQuestion_)
      context_.quota.drawn(answer.grants, it->second);
    if (answer.accessMachines > 0)
      context_.budget.share(settings_.timers.retrySlack * 0.5 / static_cast<double>(answer.accessMachines),
                            slackShare_);
    if (answer.outliersVersion != 0 && answer.outliersVersion != ejectionsVersion_) {
      ejectionsVersion_ = answer.outliersVersion;
      ejections_ = answer.outliers;
      context_.runners.setEjected(ejections_);
    }
    renewals_.erase(it);
    settleLease(Clock::now());
  }
  void onDrawn(const QuotaDrawn& drawn) {
    // An answer that comes twice, or to an earlier life, is none.
    if (!draws_.erase(drawn.question) || !drawn.granted)
      return;
    context_.quota.loose(drawn.grants, Clock::now());
    context_.wakeQuotaWaits(drawn.grants);
  }
  void onOpening(OpeningAnswer answer) {
    const auto it = partnerQueries_.find(answer.question);
    if (it == partnerQueries_.end())
      return;
    it->second->access = std::move(answer.access);
    it->second->waiter.wake();
  }
  // A copy that differs from what was numbered must not answer for it: nothing is served until all of it has come anew.
  void requestSnapshot(const std::string& why) {
    ring::alarm(why + ": the whole is asked for");
    state_.damage();
    context_.leaseEnds = {};
    FollowLog message;
    message.refetch = true;
    agentLink_->send(pack(message));
  }
  void settleLease(Instant) {
    // Only once applied as far as the leader was when it answered.
    if (pendingEnd_ == Instant{} || state_.damaged() || updates_.applied() < pendingNum_)
      return;
    if (context_.leaseEnds == Instant{})
      ring::note("first lease, at number " + std::to_string(updates_.applied()));
    context_.leaseEnds = std::max(context_.leaseEnds, pendingEnd_);
  }
  void adopt(ReplicatedState::Change c) {
    if (c.runners)
      context_.runners.follow(state_.state().runners), context_.runners.setEjected(ejections_);
    if (c.closures)
      adoptClosures();
    if (!c.configuration || state_.state().configuration.empty())
      return;
    // Built aside and swapped: requests under way keep the table they began with.
    auto cfg = parseConfiguration(state_.state().configuration);
    if (!cfg)
      return ring::alarm("a taken configuration can't be read: " + cfg.error().text);
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
  void adoptClosures() {
    std::map<std::string, RunnerPool::Closing> zones;
    for (auto& c : state_.state().closures)
      for (auto& z : zonesOf(c.place)) {
        auto& x = zones[z];
        x.share = std::max(x.share, static_cast<int>(c.share));
        x.moveStreams = x.moveStreams || c.doorsShut;
      }
    const auto mine = zones.find(settings_.zone);
    context_.zoneClosing = mine != zones.end() && mine->second.moveStreams;
    context_.runners.setClosing(std::move(zones));
  }
  // What the core tells operators of a closing place's progress, and how busy the fleet is.
  std::vector<Grant> load(Instant now) {
    std::vector<Grant> out;
    const double s = std::max(0.05, std::chrono::duration<double>(now - loadAt_).count());
    const auto all = context_.served + context_.refused;
    if (now - loadAt_ > 900ms) {
      perS_ = static_cast<double>(all - loadCount_) / s;
      loadAt_ = now;
      loadCount_ = all;
    }
    out.push_back({"", perS_, 0});
    for (auto& c : state_.state().closures) {
      const auto zones = zonesOf(c.place);
      out.push_back({c.place, static_cast<double>(context_.runners.inFlightIn(zones)),
                     zones.contains(settings_.zone) ? context_.inFlight * 1.0 : 0.0});
    }
    return out;
  }
  void serveReadiness(tcp::socket sock) {
    Connection w(std::move(sock));
    Buffer buf;
    for (;;) {
      RequestParser p;
      const auto r = readRequest(w, buf, p, {});
      if (r.end != ReadEnd::whole)
        return;
      const bool known = p.get().target() == "/v1/readiness";
      const bool ready = context_.hasLease(Clock::now()) && !context_.shutdown.begun() && !context_.zoneClosing;
      const bool keep = p.get().keep_alive();
      Ec ec;
      w.write(asio::buffer(plainAnswer(!known  ? 404
                                       : ready ? 200
                                               : 503,
                                       "", "application/json", ready ? "{\"ready\":true}" : "{\"ready\":false}", keep)),
              ec);
      if (ec || !keep)
        return;
    }
  }

  Settings settings_;
  ProxyContext context_;
  Queue updates_;
  ReplicatedState state_;
  std::optional<Listener> accessListener_;
  std::unique_ptr<Dialer> agentLink_;
  std::map<std::int64_t, Instant> renewals_;
  // Questions are numbered from a point drawn for this life: an answer to an earlier one fits none.
  std::int64_t leaseQuestion_ = firstQuestion(), drawQuestion_ = firstQuestion(), openingQuestion_ = firstQuestion();
  std::set<std::int64_t> draws_;  // under way
  std::int64_t pendingNum_ = 0;
  bool asking_ = false;
  struct PartnerQuery {
    Waiter waiter;
    std::vector<std::string> access;
  };
  std::map<std::int64_t, PartnerQuery*> partnerQueries_;  // questions under way
  std::unordered_map<std::uint64_t, Instant> sentOpenings_;
  std::int64_t ejectionsVersion_ = 0;
  std::vector<Grant> ejections_;  // runners set aside, as last told
  Instant pendingEnd_{};
  Instant loadAt_ = Clock::now();
  std::uint64_t loadCount_ = 0;
  double perS_ = 0, slackShare_ = 0;
  Span leaseSpan_{};
};
}  // namespace

int runProxy(const Settings& s) {
  EventLoop loop;
  ProxyDaemon p(s);
  if (auto r = p.start(); !r) {
    ring::say("proxy: " + r.error().text);
    return 1;
  }
  watchLifecycle(settingsPath(), {[&] { p.leave(); },
                                  [&] {
                                    if (auto n = loadSettings(settingsPath()))
                                      p.reread(*n);
                                    else
                                      ring::alarm(n.error().text);
                                  }});
  loop.run();
  return 0;
}
}  // namespace zc
