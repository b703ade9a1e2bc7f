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
constexpr auto kChallenge = 400ms;
constexpr std::size_t kSeenMost = 24;  // runners told of in one question, the worst first
constexpr std::size_t kQuestionsRemembered = 16;
constexpr auto kHeldHere = 20s;  // an opening sent so lately is not asked about again
constexpr auto kHeldWait = 10ms;
constexpr auto kLinger = 2600ms;  // after SIGTERM: until the platform has surely noticed

std::int64_t firstQuestion() {
  constexpr int kBits = 40;  // so that a number stays short on the wire
  return static_cast<std::int64_t>(drawSeed() >> (64 - kBits));
}

class ProxyDaemon {
 public:
  explicit ProxyDaemon(const Settings& s) : s_(s) {
    wa_.zone = s.zone;
    wa_.rng.seed(drawSeed());
    wa_.runnerPool = RunnerPool(drawSeed());
    wa_.runnerPool.regions(s.zones);
    // Why a margin: an answer is under way while the lease ends, and the far clocks are not ours.
    leaseSpan_ = s.timers.revokedFail ? std::max(Span(500), s.timers.revoke - Span(1500)) : Span(60000);
    // Of the descriptors 200 are not ours; a request may need one on either side.
    if (s.fdLimit > 0)
      wa_.clientsMost = std::max(64, (s.fdLimit - 260) / 2);
    if (s.memoryMb > 0)
      wa_.heldMost = static_cast<std::size_t>(s.memoryMb) * 1024 * 1024 / 4;
    wa_.draw = [this] { challenge(); };
    wa_.ask = [this] { ask(); };
    if (s.partner && !s.partner->access.empty())
      wa_.heldElsewhere = [this](std::uint64_t opening, const std::string& tenant) {
        return heldElsewhere(opening, tenant);
      };
    wa_.budget = Budget(s.timers.retryRatio * 0.75, s.timers.retryWindow / 4);
    slackDraw_ = static_cast<double>(drawSeed() % 10007) / 10007;
  }
  Outcome<void> start() {
    auto access = parseEndpoint(s_.accessAddr);
    auto ready = parseEndpoint(s_.readinessAddr);
    auto agent = parseEndpoint("127.0.0.1:" + std::to_string(s_.portFirst + kTenderPort));
    if (!access)
      return tl::unexpected(access.error());
    if (!ready)
      return tl::unexpected(ready.error());
    if (!agent)
      return tl::unexpected(agent.error());
    agentLink_ = std::make_unique<Dialer>(
        *agent, [this](const PeerLinkPtr& link, const Envelope& envelope) { onAgent(link, envelope); },
        [this](const PeerLinkPtr& link) {
          FollowLog message;
          message.appliedNumber = queue_.applied();
          message.heldDigest = copy_.state().digest;
          message.refetch = copy_.damaged();
          link->send(pack(message));
          challenge();
        });
    auto ok = listen(*access, [this](tcp::socket sock) { takeClient(wa_, std::move(sock)); });
    if (!ok)
      return ok;
    ok = listen(*ready, [this](tcp::socket sock) {
      auto held = std::make_shared<tcp::socket>(std::move(sock));
      EventLoop::get().launch([this, held] { serveReadiness(std::move(*held)); });
    });
    if (!ok)
      return ok;
    EventLoop::get().every(kChallenge, [this] { challenge(); });
    // Why oftener without one: each of these goes no further than the agent while there is no leader.
    EventLoop::get().every(kChallenge / 4, [this] {
      if (!wa_.leased(Clock::now()))
        challenge();
    });
    EventLoop::get().every(1000ms, [this] { wa_.pool.sweep(Clock::now()); });
    return {};
  }
  void leave() {
    if (wa_.leaving)
      return;
    wa_.leaving = true;
    const auto end = Clock::now() + s_.timers.grace * 9 / 10;
    const auto from = Clock::now() + std::min(Span(kLinger), s_.timers.grace / 2);
    EventLoop::get().every(100ms, [this, end, from] {
      const auto now = Clock::now();
      if (now >= end || (now >= from && wa_.aboard == 0))
        EventLoop::get().stop();
    });
  }
  void reread(const Settings& s) { s_.timers = s.timers; }

 private:
  void challenge() {
    if (!agentLink_->up())
      return;
    const auto now = Clock::now();
    LeaseQuestion question;
    question.question = ++leaseQuestion_;
    question.demand = wa_.quota.demand(now);
    question.holds = wa_.quota.holds(now);
    question.load = load(now);
    wa_.blameSilent(now);
    question.attempts = wa_.observer.report(kSeenMost);
    question.outliersVersion = outliersKnown_;
    asked_[question.question] = now;
    while (asked_.size() > kQuestionsRemembered)
      asked_.erase(asked_.begin());
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
      draw.waiting = wa_.quota.unasked();
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
  std::string heldElsewhere(std::uint64_t opening, const std::string& tenant) {
    const auto now = Clock::now();
    if (sent_.size() > 8192)
      sent_.clear();
    if (const auto it = sent_.find(opening); it != sent_.end() && now - it->second < kHeldHere)
      return {};
    if (!agentLink_->up())
      return {};
    OpeningQuestion question;
    question.question = ++openingQuestion_;
    question.opening = static_cast<std::int64_t>(opening);
    // Alike at all nodes of the site, so that one tenant is counted once.
    question.tenantMark = static_cast<std::int64_t>(hash64(tenant, hash64(s_.partner->secret)));
    Held h;
    held_[question.question] = &h;
    agentLink_->send(pack(question));
    (void)EventLoop::get().waitFor(h.waiter, kHeldWait);
    held_.erase(question.question);
    if (h.access.empty()) {
      sent_[opening] = now;
      return {};
    }
    return h.access[wa_.rng() % h.access.size()];
  }
  void onAgent(const PeerLinkPtr& link, const Envelope& envelope) {
    receive<FeedSnapshot>(link, envelope, [this](const FeedSnapshot& feed) { onSnapshot(feed); });
    receive<FeedEntries>(link, envelope, [this](FeedEntries feed) { onEntries(std::move(feed)); });
    receive<LeaseAnswer>(link, envelope, [this](const LeaseAnswer& answer) { onLease(answer); });
    receive<QuotaDrawn>(link, envelope, [this](const QuotaDrawn& drawn) { onDrawn(drawn); });
    receive<OpeningAnswer>(link, envelope, [this](OpeningAnswer answer) { onOpening(std::move(answer)); });
  }
  void onSnapshot(const FeedSnapshot& feed) {
    // Never back in number.
    if (feed.number < queue_.applied() || (feed.number == queue_.applied() && !copy_.damaged()))
      return;
    if (auto restored = copy_.restore(feed.state); !restored)
      return mend("snapshot declined: " + restored.error().text);
    queue_.restart(feed.number);
    adopt({true, true, true});
    applyQueued();
  }
  void onEntries(FeedEntries feed) {
    for (auto& entry : feed.entries)
      queue_.offer(std::move(entry));
    applyQueued();
  }
  // A fiber applies without yielding: nothing reads a copy half applied.
  void applyQueued() {
    ReplicatedState::Change all;
    while (auto entry = queue_.next()) {
      const auto change = copy_.apply(*entry);
      all.configuration |= change.configuration;
      all.runners |= change.runners;
      all.closures |= change.closures;
    }
    if (copy_.damaged())
      return mend("a difference did not fit");
    adopt(all);
    settleLease(Clock::now());
  }
  void onLease(const LeaseAnswer& answer) {
    const auto it = asked_.find(answer.question);
    if (it == asked_.end() || !answer.granted)
      return;
    // The lease counts from our own question, never from the answer.
    if (it->second + leaseSpan_ > pendingEnd_) {
      pendingEnd_ = it->second + leaseSpan_;
      pendingNum_ = std::max(pendingNum_, answer.commitNumber);
    }
    // Why only the newest: what a later question told of the stash did not know of these tokens yet.
    if (answer.question == leaseQuestion_)
      wa_.quota.drawn(answer.grants, it->second);
    if (answer.accessMachines > 0)
      wa_.budget.share(s_.timers.retrySlack * 0.5 / static_cast<double>(answer.accessMachines), slackDraw_);
    if (answer.outliersVersion != 0 && answer.outliersVersion != outliersKnown_) {
      outliersKnown_ = answer.outliersVersion;
      outliers_ = answer.outliers;
      wa_.runnerPool.setAside(outliers_);
    }
    asked_.erase(it);
    settleLease(Clock::now());
  }
  void onDrawn(const QuotaDrawn& drawn) {
    // An answer that comes twice, or to an earlier life, is none.
    if (!draws_.erase(drawn.question) || !drawn.granted)
      return;
    wa_.quota.loose(drawn.grants, Clock::now());
    wa_.quench(drawn.grants);
  }
  void onOpening(OpeningAnswer answer) {
    const auto it = held_.find(answer.question);
    if (it == held_.end())
      return;
    it->second->access = std::move(answer.access);
    it->second->waiter.wake();
  }
  // A copy that differs from what was numbered must not answer for it: nothing is served until all of it has come anew.
  void mend(const std::string& why) {
    ring::alarm(why + ": the whole is asked for");
    copy_.damage();
    wa_.leaseEnds = {};
    FollowLog message;
    message.refetch = true;
    agentLink_->send(pack(message));
  }
  void settleLease(Instant) {
    // Only once applied as far as the leader was when it answered.
    if (pendingEnd_ == Instant{} || copy_.damaged() || queue_.applied() < pendingNum_)
      return;
    if (wa_.leaseEnds == Instant{})
      ring::note("first lease, at number " + std::to_string(queue_.applied()));
    wa_.leaseEnds = std::max(wa_.leaseEnds, pendingEnd_);
  }
  void adopt(ReplicatedState::Change c) {
    if (c.runners)
      wa_.runnerPool.follow(copy_.state().runners), wa_.runnerPool.setAside(outliers_);
    if (c.closures)
      adoptClosures();
    if (!c.configuration || copy_.state().configuration.empty())
      return;
    // Built aside and swapped: requests under way keep the table they began with.
    auto cfg = parseConfiguration(copy_.state().configuration);
    if (!cfg)
      return ring::alarm("a taken configuration can't be read: " + cfg.error().text);
    wa_.cfg = *cfg;
    challenge();
  }
  std::set<std::string> zonesOf(const std::string& place) const {
    std::set<std::string> out;
    for (auto& [zone, region] : s_.zones)
      if (zone == place || region == place)
        out.insert(zone);
    return out;
  }
  void adoptClosures() {
    std::map<std::string, RunnerPool::Closing> zones;
    for (auto& c : copy_.state().closures)
      for (auto& z : zonesOf(c.place)) {
        auto& x = zones[z];
        x.share = std::max(x.share, static_cast<int>(c.share));
        x.carryOver = x.carryOver || c.doorsShut;
      }
    const auto mine = zones.find(s_.zone);
    wa_.doorsShut = mine != zones.end() && mine->second.carryOver;
    wa_.runnerPool.close(std::move(zones));
  }
  // What the core tells operators of a closing place's progress, and how busy the fleet is.
  std::vector<Grant> load(Instant now) {
    std::vector<Grant> out;
    const double s = std::max(0.05, std::chrono::duration<double>(now - loadAt_).count());
    const auto all = wa_.served + wa_.errorResponse;
    if (now - loadAt_ > 900ms) {
      perS_ = static_cast<double>(all - loadCount_) / s;
      loadAt_ = now;
      loadCount_ = all;
    }
    out.push_back({"", perS_, 0});
    for (auto& c : copy_.state().closures) {
      const auto zones = zonesOf(c.place);
      out.push_back({c.place, static_cast<double>(wa_.runnerPool.inFlightIn(zones)),
                     zones.count(s_.zone) ? wa_.aboard * 1.0 : 0.0});
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
      const bool ready = wa_.leased(Clock::now()) && !wa_.leaving && !wa_.doorsShut;
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

  Settings s_;
  ProxyContext wa_;
  Queue queue_;
  ReplicatedState copy_;
  std::unique_ptr<Dialer> agentLink_;
  std::map<std::int64_t, Instant> asked_;
  // Questions are numbered from a point drawn for this life: an answer to an earlier one fits none.
  std::int64_t leaseQuestion_ = firstQuestion(), drawQuestion_ = firstQuestion(), openingQuestion_ = firstQuestion();
  std::set<std::int64_t> draws_;  // under way
  std::int64_t pendingNum_ = 0;
  bool asking_ = false;
  struct Held {
    Waiter waiter;
    std::vector<std::string> access;
  };
  std::map<std::int64_t, Held*> held_;  // questions under way
  std::unordered_map<std::uint64_t, Instant> sent_;
  std::int64_t outliersKnown_ = 0;
  std::vector<Grant> outliers_;  // runners set aside, as last told
  Instant pendingEnd_{};
  Instant loadAt_ = Clock::now();
  std::uint64_t loadCount_ = 0;
  double perS_ = 0, slackDraw_ = 0;
  Span leaseSpan_;
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
