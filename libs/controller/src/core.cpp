#include "core.hpp"

#include <thread>

#include "runtime/log_ring.hpp"

namespace zc {
namespace {
constexpr auto kTick = 50ms;
constexpr auto kAgain = 250ms;  // a write without an outcome is sent again
constexpr std::int64_t kCompactAfter = 96;
constexpr std::size_t kView = 12;
constexpr std::size_t kMemberBacklog = 4u << 20;  // bytes that wait for a member before it is told again later
constexpr auto kTellPartner = 2000ms;
constexpr Span kLeaveAtLeast = 400ms;   // answers under way are sent before the process ends
constexpr Span kLeaveReserve = 1500ms;  // the process ends so long before it would be killed, whatever the others say
constexpr int kViewEvery = 8;           // state messages: the members and a part of the view go with each so many-th
constexpr auto kDiskRetry = 500ms;
constexpr int kDiskReportEvery = 120;  // retries, so once a minute
// Why wait here and not end: a disk in trouble mostly comes back, ending in a loop helps nobody, and what can't be read
// is neither given up nor changed. Until then the member counts as down.
bool waitForDisk(const Fault& trouble) {
  static int retries = 0;
  if (retries++ % kDiskReportEvery == 0)
    ring::say("disk: " + trouble.text + "; waits until it can be read, nothing is changed");
  std::this_thread::sleep_for(kDiskRetry);
  return true;
}
constexpr auto kForwardHeartbeats = 500ms;
constexpr auto kContactPoll = 25ms;
std::string hostOf(const std::string& addr) {
  return addr.substr(0, addr.rfind(':'));
}
}  // namespace

bool snapshotIsValid(const std::string& state) {
  ReplicatedState probe;
  return probe.restore(state).has_value();
}
std::optional<std::string> unusableSettings(const Settings& s) {
  if (s.dataDir.empty())
    return "settings name no dataDir for a core machine";
  const bool alone = std::all_of(s.seeds.begin(), s.seeds.end(), [&](auto& seed) { return hostOf(seed) == s.ip; });
  if (!alone)
    return std::nullopt;
  if (!s.initialAttach)
    return "seedNodes hold this machine alone: there is nobody to join";
  if (s.tolerateMachines > 0)
    return "seedNodes hold this machine alone, and faultTolerance.machines is " + std::to_string(s.tolerateMachines) +
           ": a core of one bears no loss";
  return std::nullopt;
}

Core::Core(Settings s) : s_(std::move(s)), view_(s_.ip + "/core", kView, drawSeed()), runnerMonitor_(s_.heartbeat) {}
Core::~Core() = default;

Outcome<void> Core::start() {
  if (const auto why = unusableSettings(s_))
    return fault(0, *why);
  boot_ = drawSeed();
  if (s_.partner) {
    auto key = HintKey::from(s_.partner->secret);
    if (!key)
      return tl::unexpected(key.error());
    hintKey_ = *key;
    hints_.emplace(*key, kHintBounds, drawSeed());
  }
  quota_.bounds(
      {s_.timers.quotaExcess, s_.timers.quotaSlack, static_cast<double>(s_.timers.quotaWindow.count()) / 1000});
  Storage storage(s_.dataDir);
  auto recovery = recoverStorage(storage, waitForDisk);
  if (!recovery)
    return fault(0, s_.dataDir + ": " + recovery.error().text +
                        (recovery.error().code == kOtherFormat
                             ? "; start that version, or empty the folder to join as a new member"
                             : ""));
  for (auto& warning : recovery->warnings)
    ring::say(s_.dataDir + ": " + warning);
  const auto& records = recovery->records;
  const auto now = Clock::now();  // after the disk, which may have taken its time
  std::vector<std::string> founders, seedIps;
  for (auto& x : s_.seeds)
    seedIps.push_back(hostOf(x));
  for (auto& x : seedIps)
    founders.push_back(x + "#0");
  // Why not after a damaged disk: it may have voted as a founder and forgotten it.
  const bool founder =
      s_.initialAttach && !recovery->identityLost && std::find(seedIps.begin(), seedIps.end(), s_.ip) != seedIps.end();
  std::string self;
  if (!records.empty())
    self = records.front().self;
  else if (founder)
    self = s_.ip + "#0";
  else
    self = s_.ip + "#" + std::to_string(boot_ | 1);
  // Why before anything is taken over: a disk whose state this program can't read must not be led or voted with.
  for (const auto& record : records)
    if (record.full && !record.state.empty() && !snapshotIsValid(record.state))
      return fault(0, s_.dataDir + ": record " + std::to_string(record.seq) + " holds a state that can't be restored");
  operationIds_.emplace(self, boot_);
  RaftOptions options;
  options.largeBody = kBulkyBody;
  options.snapshotIsValid = snapshotIsValid;
  raft_ = std::make_unique<RaftNode>(self, options, boot_, now);
  raft_->setSeeds(seedIps);
  for (auto& x : seedIps)
    view_.add(x + "/core");
  disk_ = std::make_unique<StorageThread>(std::move(storage));
  if (!records.empty())
    raft_->recover(records, now);
  else if (founder)
    raft_->found(founders, now);
  ring::note("starts as " + self + (records.empty() ? founder ? ", a founder" : ", empty" : ", with its disk"));
  auto ep = parseEndpoint(s_.ip + ":" + std::to_string(s_.portFirst));
  if (!ep)
    return tl::unexpected(ep.error());
  auto ok = listen(*ep, [this](tcp::socket sock) {
    auto l = std::make_shared<PeerLink>(
        std::move(sock), [this](const PeerLinkPtr& x, Msg m) { onMsg(x, std::move(m)); }, [](const PeerLinkPtr&) {});
    l->start();
  });
  if (!ok)
    return ok;
  // Why at once: the first question to the others must not be lost to a connection not dialled yet.
  for (auto& x : raft_->voters())
    dialer(addressOf(x));
  if (raft_->voters().empty())
    for (auto& x : seedIps)
      dialer(x);
  EventLoop::get().every(kTick, [this] { tick(); });
  EventLoop::get().every(1000ms, [this] {
    const auto heard = Clock::now() - 30s;
    std::erase_if(loads_, [&](auto& l) { return l.second.at < heard; });
    dropSilent(Clock::now());
    nodesHeard_ = static_cast<std::int64_t>(loads_.size());
    watchRunners(Clock::now());
  });
  EventLoop::get().every(kForwardHeartbeats, [this] { forwardHeartbeats(Clock::now()); });
  if (hints_)
    EventLoop::get().every(kTellPartner, [this] { tellPartner(); });
  run();
  return {};
}

void Core::tick() {
  raft_->tick(Clock::now());
  if (wasLeader_ && ++turns_ % 4 == 0)
    outliers_.weigh(Clock::now(), copy_.state().runners);
  run();
}
void Core::run() {
  // Why one level only: an action's effect may ask for more, which the running loop picks up.
  if (running_)
    return;
  running_ = true;
  for (auto actions = raft_->takeActions(); !actions.empty(); actions = raft_->takeActions())
    for (auto& action : actions)
      std::visit([this](auto& alternative) { carryOut(alternative); }, action);
  running_ = false;
  const bool seq = raft_->role() == Role::leader;
  if (seq && !wasLeader_) {
    quota_.takeOver(Clock::now());
    outliers_.takeOver(raft_->term());
    ring::note("takes the leader's role in term " + std::to_string(raft_->term()));
  }
  if (!seq && wasLeader_)
    for (auto& [n, t] : agents_)
      t.fed = -1;
  wasLeader_ = seq;
  if (raft_->leader() != lastLeader_) {
    lastLeader_ = raft_->leader();
    heartbeats_.leaderChanged();
    tellAgents();
    for (auto& [id, ws] : writes_)
      for (auto* w : ws)
        w->w.wake();
  }
  if (seq)
    feedAll();
}
void Core::carryOut(SendMessage& action) {
  Msg m = msgOf(Kind::consensus);
  m.blob = encodeMessage(action.message);
  sendTo(action.to, m);
}
void Core::carryOut(PersistRecord& action) {
  disk_->append(std::move(action.record), [this, ticket = action.ticket](bool ok) {
    if (!ok)
      ring::alarm("the disk took no record");
    raft_->persisted(Clock::now(), ticket, ok);
    run();
  });
}
void Core::carryOut(ApplyEntry& action) {
  release(action.entry);
}
void Core::carryOut(RestoreSnapshot& action) {
  install(action.state);
}
void Core::release(const Entry& e) {
  const auto c = copy_.apply(e);
  // Why stop: what every member applied alike came out otherwise here. The disk's pages, replayed, set it right.
  must(!c.damaged, "a core copy that differs from the others");
  if (c.configuration)
    adoptConfiguration();
  if (const auto it = writes_.find(e.opId); it != writes_.end())
    for (auto* w : it->second) {
      w->verdict = copy_.verdictOf(e.opId);
      w->w.wake();
    }
  for (auto& [n, r] : reads_)
    if (r->num >= 0 && copy_.state().num >= r->num)
      r->w.wake();
  // State messages tell what nobody will ask for again; one far behind takes a snapshot in the end.
  auto needed = copy_.state().num;
  for (auto& [n, t] : agents_)
    if (t.link->open())
      needed = std::min(needed, t.applied);
  const bool forgettable = needed + kCompactAfter / 2 >= copy_.state().num;
  if (++sinceCompact_ >= (forgettable ? kCompactAfter : 4 * kCompactAfter)) {
    sinceCompact_ = 0;
    raft_->compact(copy_.state().num, copy_.snapshot(), Clock::now());
  }
}
void Core::install(const std::string& state) {
  // Why stop: what was agreed on stands in this snapshot, and nothing may be applied on top of anything else. Each way
  // in checks the state first: `start` for the disk, `snapshotIsValid` for another member.
  must(copy_.restore(state).has_value(), "a snapshot that was found valid restores");
  adoptConfiguration();
  for (auto& [id, ws] : writes_)
    if (auto v = copy_.verdictOf(id))
      for (auto* w : ws) {
        w->verdict = v;
        w->w.wake();
      }
}
void Core::adoptConfiguration() {
  if (copy_.state().configuration.empty())
    return;
  if (auto c = parseConfiguration(copy_.state().configuration))
    cfg_ = *c;
  else
    ring::alarm("a taken configuration can't be read: " + c.error().text);
}

Dialer* Core::dialer(const std::string& ip) {
  if (ip == s_.ip)
    return nullptr;
  auto& m = dialers_[ip];
  if (!m) {
    auto ep = parseEndpoint(ip + ":" + std::to_string(s_.portFirst));
    if (!ep) {
      dialers_.erase(ip);
      return nullptr;
    }
    m = std::make_unique<Dialer>(
        *ep, [this](const PeerLinkPtr& l, Msg x) { onMsg(l, std::move(x)); }, [](const PeerLinkPtr&) {});
  }
  return m.get();
}
void Core::sendTo(const std::string& member, const Msg& m) {
  Msg x = m;
  x.from = raft_->self();
  // The order bears losses: one that reads slowly is told again later.
  auto post = [&](PeerLink& l) {
    if (l.backlog() <= kMemberBacklog)
      l.send(x);
  };
  // An answer goes back on the connection the other spoke on; only what has none goes on a dialled one.
  const auto it = lastLink_.find(member);
  if (it != lastLink_.end())
    if (auto l = it->second.lock(); l && l->open() && Clock::now() - l->heard() < 1s)
      return post(*l);
  if (auto* mo = dialer(addressOf(member)); mo && mo->up())
    post(*mo->link());
}
void Core::onMsg(const PeerLinkPtr& l, Msg m) {
  const auto now = Clock::now();
  switch (m.what()) {
    case Kind::state: {
      auto& t = agents_[m.from];
      if (t.link != l) {
        if (t.link && t.link->open())
          t.link->end();
        t = AgentSession{};
        t.link = l;
      }
      view_.add(addressOf(m.from) + "/access");
      view_.merge(m.view);
      t.applied = m.num;
      auto r = stateAck();
      // Changes only: what the far end was told on this link already is left out.
      std::size_t members = 0;
      for (auto& x : r.names)
        members = hash64(x, members);
      if (std::exchange(t.members, members) == members && t.told % kViewEvery)
        r.names.clear(), r.view.clear();
      ++t.told;
      return l->send(r);
    }
    case Kind::follow: {
      auto& t = agents_[m.from];
      // Why not while something is under way: it would be sent again and again to one that reads slowly.
      if (m.flag && t.link == l && t.fed >= 0 && l->backlog() > 0)
        return;
      t.link = l;
      t.fed = std::max<std::int64_t>(0, m.num);
      t.held = m.names.empty() ? std::string{} : m.names.front();
      if (raft_->role() != Role::leader)
        return l->send(stateAck());
      // A refetch must be answered in full: what was omitted before is not omitted again.
      // One that holds nothing, or nothing that it trusts, takes a snapshot instead.
      if (m.flag && t.fed > 0 && t.fed + 1 >= raft_->firstNumber()) {
        Msg r = msgOf(Kind::feed);
        r.from = raft_->self();
        r.term = raft_->term();
        for (auto n = t.fed + 1; n <= raft_->commitNumber(); ++n)
          r.entries.push_back(*raft_->entryAt(n));
        r.num = raft_->commitNumber();
        t.fed = r.num;
        return l->sendBulk(frameOf(r));
      }
      feed(t);
      return l->send(stateAck());
    }
    case Kind::challenge: {
      Msg r = msgOf(Kind::lease);
      r.from = raft_->self();
      r.nonce = m.nonce;
      r.who = raft_->leader();
      r.term = raft_->term();
      r.ok = raft_->hasLease(now);
      r.num = raft_->commitNumber();
      r.commit = nodesHeard_;
      if (!m.load.empty())
        loads_[m.from] = {m.load, now};
      if (r.ok && m.flag) {
        r.grants = quota_.draw(now, m.from, m.grants, m.holds, cfg_.get());
        outliers_.told(now, m.from, m.seen);
        // Changes only: who has the newest list is told no more.
        r.prevTerm = outliers_.version();
        if (m.prevTerm != r.prevTerm)
          r.seen = outliers_.list();
      }
      return l->send(r);
    }
    case Kind::draw: {
      Msg r = msgOf(Kind::drawn);
      r.from = raft_->self();
      r.ok = raft_->hasLease(now);
      // Why for nobody in particular: what waits is spent at once and belongs to no stash.
      if (r.ok)
        r.grants = quota_.draw(now, {}, m.grants, {}, cfg_.get());
      r.from.clear();
      return l->send(r);
    }
    case Kind::whereHeld: {
      Msg r = msgOf(Kind::held);
      r.nonce = m.nonce;
      // Alike whether the partner does not hold it, or has not told: only whether to go there.
      if (hints_ && raft_->hasLease(now) &&
          hints_->elsewhere(now, hintEpoch(), static_cast<std::uint64_t>(m.num),
                            static_cast<std::uint64_t>(m.prevTerm)))
        r.names = s_.partner->access;
      return l->send(r);
    }
    case Kind::lease: {
      const auto it = reads_.find(m.nonce);
      if (it == reads_.end())
        return;
      if (m.ok)
        it->second->num = m.num;
      it->second->w.wake();
      return;
    }
    case Kind::stateAck:
      view_.merge(m.view);
      return;
    case Kind::submit: {
      lastLink_[m.from] = l;
      Msg r = msgOf(Kind::submitAck);
      r.ok = true;
      // A write sent again after it was released is that same write; the sender sees it in its own queue.
      for (auto& e : m.entries)
        if (!copy_.verdictOf(e.opId))
          r.ok = raft_->submit(now, std::move(e)) && r.ok;
      sendTo(m.from, r);
      return run();
    }
    case Kind::submitAck:
      return;
    case Kind::beats: {
      if (!raft_->hasLease(now))
        return;
      for (auto& runner : m.load)
        runnerMonitor_.heard(runner.label, now - Span(static_cast<std::int64_t>(runner.rate)));
      Msg r = msgOf(Kind::beatsAck);
      r.from = raft_->self();
      r.nonce = m.nonce;
      return l->send(r);
    }
    case Kind::beatsAck:
      if (m.from == raft_->leader())
        heartbeats_.acknowledged(m.nonce);
      return;
    default:
      break;
  }
  if (m.from.empty())
    return;
  lastLink_[m.from] = l;
  view_.add(addressOf(m.from) + "/core");
  if (m.what() != Kind::consensus)
    return;
  auto message = decodeMessage(m.blob);
  if (!message) {
    ++messagesDeclined_;
    ring::alarm("link to " + m.from + " ended: " + message.error().text);
    return l->end();
  }
  raft_->receive(now, m.from, std::move(*message));
  run();
}

Outcome<std::int32_t> Core::write(Entry e, Span within) {
  const auto end = Clock::now() + within;
  Write me;
  me.verdict = copy_.verdictOf(e.opId);
  writes_[e.opId].push_back(&me);
  bool shared = false;
  while (!me.verdict && Clock::now() < end) {
    const auto seq = raft_->leader();
    if (seq == raft_->self()) {
      raft_->submit(Clock::now(), e);
      run();
    } else if (!seq.empty()) {
      Msg m = msgOf(Kind::submit);
      m.entries.push_back(e);
      if (e.blob.size() > kBulkyBody && !e.digest.empty()) {
        if (!shared)
          shareBody(e);
        // Sent again, it goes whole: the body may have been lost.
        if (!shared)
          m.entries[0].blob.clear(), m.entries[0].omitted = true;
        shared = true;
      }
      sendTo(seq, m);
    }
    if (me.verdict)
      break;
    EventLoop::get().waitFor(me.w, std::min(toSpan(end - Clock::now()) + 1ms, Span(kAgain)));
    if (!me.verdict)
      me.verdict = copy_.verdictOf(e.opId);
  }
  auto& v = writes_[e.opId];
  v.erase(std::find(v.begin(), v.end(), &me));
  if (v.empty())
    writes_.erase(e.opId);
  if (!me.verdict)
    return fault(503, "no outcome yet");
  return *me.verdict;
}
Outcome<void> Core::fresh(Span within) {
  const auto end = Clock::now() + within;
  while (Clock::now() < end) {
    if (raft_->hasLease(Clock::now()))
      return {};
    const auto seq = raft_->leader();
    Read me;
    const auto n = ++nonce_;
    reads_[n] = &me;
    if (!seq.empty() && seq != raft_->self()) {
      Msg m = msgOf(Kind::challenge);
      m.nonce = n;
      sendTo(seq, m);
    }
    const auto until = std::min(end, Clock::now() + 400ms);
    while (Clock::now() < until && (me.num < 0 || copy_.state().num < me.num))
      if (!EventLoop::get().waitFor(me.w, std::max(1ms, toSpan(until - Clock::now()))))
        break;
      else if (me.num < 0)
        break;
    reads_.erase(n);
    if (me.num >= 0 && copy_.state().num >= me.num)
      return {};
    EventLoop::get().pause(50ms);
  }
  return fault(503, "no fresh lease");
}
bool Core::inContact() const {
  return raft_->inContactWithMajority(Clock::now());
}
bool Core::awaitContact(Span within) {
  const auto end = Clock::now() + within;
  while (!inContact()) {
    if (Clock::now() >= end)
      return false;
    EventLoop::get().pause(kContactPoll);
  }
  return true;
}
bool Core::heartbeatsReachLeader() const {
  // Who leaves sends its runners on before it is gone.
  return !leaving_ && heartbeats_.leaderAnswers(Clock::now());
}
void Core::noteHeartbeat(const std::string& runnerId) {
  const auto now = Clock::now();
  heartbeats_.heard(runnerId, now);
  runnerMonitor_.heard(runnerId, now);
}
void Core::forwardHeartbeats(Instant now) {
  const auto leader = raft_->leader();
  if (leader == raft_->self()) {
    heartbeats_.takeAll();  // each was noted by our own monitor when it came
    return;
  }
  if (leader.empty())
    return;
  const auto batch = heartbeats_.nextBatch(now);
  if (!batch)
    return;
  Msg m = msgOf(Kind::beats);
  m.nonce = batch->number;
  for (auto& runner : batch->runners)
    m.load.push_back({runner.id, static_cast<double>(toSpan(now - runner.at).count()), 0});
  sendTo(leader, m);
}
void Core::watchRunners(Instant now) {
  const auto missed = runnerMonitor_.missed(now, raft_->hasLease(now), copy_.state().runners);
  for (auto& runner : missed) {
    auto gone = runner;
    gone.state = static_cast<std::int32_t>(RunnerState::gone);
    gone.sequence = 0;  // missed, not left: it may beat again
    ring::note("runner " + runner.id + " missed");
    raft_->submit(now, runnerOp(gone, "missed/" + runner.id + "/" + std::to_string(runner.sequence)));
  }
  if (!missed.empty())
    run();
}
void Core::reread(Settings s) {
  std::vector<std::string> ips;
  for (auto& x : s.seeds)
    ips.push_back(hostOf(x));
  for (auto& x : ips)
    view_.add(x + "/core");
  raft_->setSeeds(ips);
  s_.seeds = s.seeds;
  s_.timers = s.timers;
  ring::note("settings read again");
}
void Core::leave(std::function<void()> done) {
  if (leaving_)
    return;
  leaving_ = true;
  raft_->leave(Clock::now());
  run();
  const auto begun = Clock::now();
  const auto deadline = begun + std::max(kLeaveAtLeast, s_.timers.grace - kLeaveReserve);
  EventLoop::get().every(kTick, [this, done, begun, deadline] {
    const auto now = Clock::now();
    if (now - begun >= kLeaveAtLeast && (raft_->mayExit() || now >= deadline))
      done();
  });
}
std::string Core::leaderControl() const {
  const auto seq = raft_->leader();
  if (seq.empty() || seq == raft_->self())
    return {};
  return addressOf(seq) + s_.controlAddr.substr(s_.controlAddr.rfind(':'));
}
}  // namespace zc
