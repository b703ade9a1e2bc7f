#include "consensus/order.hpp"

#include <random>
#include <set>

#include "runtime/log_ring.hpp"

namespace zc {
std::string ipOf(const std::string& m) {
  return m.substr(0, m.find('#'));
}

namespace {
struct Far {  // what the leader knows of one receiver
  std::int64_t next = 0, match = 0;
  std::int64_t whole = 0;  // up to here bodies are never left out: what was sent before may be lost
  Instant heard{}, sentAt{}, progress{};
  Instant leaseFrom{};  // send time of the newest pulse it has answered
  bool snapFlying = false;
};
struct Held {
  std::int64_t ticket;
  std::string to;
  Msg msg;
};
}  // namespace

struct Order::Impl {
  std::string self;
  OrderParams p;
  std::mt19937_64 rng;
  std::vector<std::string> seedIps;

  // kept on disk
  std::int64_t term = 0, led = 0;
  std::string vote;
  std::int64_t snapNum = 0, snapTerm = 0;
  std::vector<std::string> snapMembers;
  std::string state;
  std::deque<Entry> log;  // from logBase + 1
  std::int64_t logBase = 0, logBaseTerm = 0;

  // in memory
  Role role = Role::learner;
  std::vector<std::string> members;
  std::string leader;
  std::int64_t released = 0, durable = 0, matched = 0, takeOverNum = 0;
  Instant promised{}, electAt{}, leaderHeard{}, lastPulse{}, lastJoin{}, lastQuorum{}, yieldedUntil{};
  bool preVoting = false, handOverRun = false;
  // This life began from a disk and has held no role since: what lease this member once had is void.
  bool restarted = false;
  std::int64_t termTicket = 0;  // the page that holds the present term
  std::set<std::string> yes;
  std::map<std::string, Far> far;
  std::int64_t pulseNonce = 0;
  std::map<std::int64_t, Instant> pulseSent;
  std::int64_t pageSeq = 0, ticketNo = 0;
  struct Keeping {
    std::int64_t ticket, lastNum, lastTerm;
    DiskRecord page;
    Instant retryAt;
    bool failed = false;
    Span waited{0};  // as far as this loop itself was awake, see `age`
  };
  std::deque<Keeping> keeping;
  std::vector<Held> held;
  std::vector<Action> out;
  std::map<std::string, std::string> bodies;  // digest -> body that came ahead
  std::deque<std::string> bodyOrder;

  std::int64_t lastNum() const { return logBase + static_cast<std::int64_t>(log.size()); }
  std::int64_t termAt(std::int64_t n) const {
    if (n == logBase)
      return logBaseTerm;
    if (n == snapNum)
      return snapTerm;
    if (n > logBase && n <= lastNum())
      return log[static_cast<std::size_t>(n - logBase - 1)].term;
    return -1;
  }
  std::int64_t lastTerm() const { return termAt(lastNum()); }
  bool member(const std::string& m) const { return std::find(members.begin(), members.end(), m) != members.end(); }
  std::size_t majority() const { return members.size() / 2 + 1; }
  void scanMembers() {
    members = snapMembers;
    for (auto& e : log)
      if (e.op() == OpKind::members && e.num > snapNum)
        members = splitMembers(e.blob);
    if (role == Role::learner && member(self))
      setRole(Role::follower);
    if (role == Role::follower && !member(self))
      setRole(Role::learner);
  }
  static std::vector<std::string> splitMembers(const std::string& s) {
    std::vector<std::string> v;
    std::size_t at = 0;
    while (at < s.size()) {
      auto e = s.find(' ', at);
      if (e == s.npos)
        e = s.size();
      if (e > at)
        v.push_back(s.substr(at, e - at));
      at = e + 1;
    }
    return v;
  }
  static std::string joinMembers(const std::vector<std::string>& v) {
    std::string s;
    for (auto& m : v)
      s += (s.empty() ? "" : " ") + m;
    return s;
  }
  // The one place where the role changes.
  void setRole(Role d) {
    if (role == d)
      return;
    role = d;
    ring::note(self + " role " + std::to_string(static_cast<int>(d)) + " term " + std::to_string(term));
    Action a;
    a.what = Action::What::role;
    out.push_back(std::move(a));
  }
  Role idleRole() const { return member(self) ? Role::follower : Role::learner; }

  void send(const std::string& to, Msg m, std::int64_t after = 0) {
    m.from = self;
    if (after && !keeping.empty() && keeping.front().ticket <= after) {
      held.push_back({after, to, std::move(m)});
      return;
    }
    Action a;
    a.to = to;
    a.msg = std::move(m);
    out.push_back(std::move(a));
  }
  std::int64_t keep(Instant now, std::int64_t from, std::vector<Entry> entries, bool full = false) {
    DiskRecord g;
    g.seq = ++pageSeq;
    g.term = term;
    g.led = led;
    g.self = self;
    g.vote = vote;
    g.full = full;
    if (full) {
      g.snapNum = snapNum;
      g.snapTerm = snapTerm;
      g.snapMembers = snapMembers;
      g.state = state;
      g.founded = static_cast<std::int64_t>(foundedWith);
      g.from = logBase + 1;
      g.entries.assign(log.begin(), log.end());
    } else {
      g.from = from;
      g.entries = std::move(entries);
    }
    const auto t = ++ticketNo;
    keeping.push_back({t, lastNum(), lastTerm(), g, now, false, Span(0)});
    Action a;
    a.what = Action::What::keep;
    a.ticket = t;
    a.page = std::move(g);
    out.push_back(std::move(a));
    return t;
  }
  void armElection(Instant now) {
    electAt =
        now + p.electMin + Span(static_cast<std::int64_t>(rng() % static_cast<std::uint64_t>(p.electSpread.count())));
  }
  // A higher term fences whatever this one did in the lower.
  std::int64_t adopt(Instant now, std::int64_t t, const std::string& voteFor = {}) {
    term = t;
    vote = voteFor;
    leader.clear();
    matched = 0;
    preVoting = false;
    setRole(idleRole());
    armElection(now);
    return termTicket = keep(now, 0, {});
  }
  void truncateFrom(std::int64_t n) {
    must(n > released, "a released number is taken back");
    while (lastNum() >= n)
      log.pop_back();
    durable = std::min(durable, n - 1);
  }
  void releaseTo(std::int64_t n) {
    n = std::min(n, lastNum());
    while (released < n) {
      ++released;
      Action a;
      a.what = Action::What::release;
      a.entry = log[static_cast<std::size_t>(released - logBase - 1)];
      out.push_back(std::move(a));
    }
  }
  bool upToDate(std::int64_t t, std::int64_t n) const { return t > lastTerm() || (t == lastTerm() && n >= lastNum()); }

  // --- election ---
  void campaign(Instant now, bool pre, bool handed) {
    if (!member(self) || sick())
      return armElection(now);
    handOverRun = handed;
    yes = {self};
    armElection(now);
    if (pre) {
      preVoting = true;
      setRole(Role::candidate);
      lastAsk = now;
      ask(0);
    } else {
      const auto before = term;
      preVoting = false;
      ++term;
      vote = self;
      leader.clear();
      matched = 0;
      setRole(Role::candidate);
      yes.clear();
      askTerm = before;
      const auto t = keep(now, 0, {});
      selfVoteTicket = t;
      ask(t);
    }
    maybeWin(now);
  }
  Instant lastAsk{};
  std::int64_t selfVoteTicket = 0, askTerm = 0;
  void ask(std::int64_t after) {
    Msg m = msgOf(Kind::ask);
    m.flag = preVoting;
    m.ok = handOverRun;
    m.term = preVoting ? term + 1 : term;
    m.commit = askTerm;
    if (restarted && led > 0 && led == (preVoting ? term : term - 1))
      m.nonce = led;
    m.num = lastNum();
    m.prevTerm = lastTerm();
    for (auto& x : members)
      if (x != self)
        send(x, m, after);
  }
  void maybeWin(Instant now) {
    if (role != Role::candidate || yes.size() < majority())
      return;
    if (preVoting)
      return campaign(now, false, false);
    setRole(Role::leader);
    led = term;
    restarted = false;
    leader = self;
    far.clear();
    pulseSent.clear();
    lastQuorum = now;
    for (auto& x : members)
      if (x != self)
        far[x] = Far{lastNum() + 1, 0, 0, now, {}, now, {}, false};
    Entry e;
    e.kind = static_cast<std::int32_t>(OpKind::takeOver);
    e.blob = self;
    append(now, std::move(e));
    takeOverNum = lastNum();
    pulse(now, true);
  }
  void onAsk(Instant now, const Msg& m) {
    Msg r = msgOf(Kind::granted);
    r.flag = m.flag;
    if (!member(m.from)) {
      // Why answered by a pulse at most: one that was voted out must not unsettle the rest.
      if (role == Role::leader)
        touchLearner(now, m.from);
      return;
    }
    // A lease handed over binds nobody; any other promise holds until its time.
    const bool bound = role == Role::leader ? leasedNow(now) : now < promised;
    // So does one whose owner has restarted: who led this very term asks without any memory of its lease. Safe since a
    // promise to a later one is given only once that term is on the disk (`onPulse`), and then the terms differ.
    const bool free =
        !bound || (role != Role::leader && ((m.ok && m.commit >= term) || (m.nonce > 0 && m.nonce == term)));
    if (m.flag) {
      r.term = m.term;
      r.ok = m.term > term && free && upToDate(m.prevTerm, m.num);
      if (r.ok)
        send(m.from, r);
      return;
    }
    if (m.term < term || !free)
      return;
    const bool newest = upToDate(m.prevTerm, m.num);
    std::int64_t ticket = 0;
    if (m.term > term)
      ticket = adopt(now, m.term, newest ? m.from : std::string{});
    if (!newest || role == Role::leader || !(vote.empty() || vote == m.from))
      return;
    if (vote.empty()) {
      vote = m.from;
      ticket = keep(now, 0, {});
    }
    armElection(now);
    r.term = term;
    r.ok = true;
    // Why after every ticket: a vote is on the disk before it is told.
    send(m.from, r, ticket ? ticket : ticketNo);
  }
  void onGranted(Instant now, const Msg& m) {
    if (role != Role::candidate || !m.ok || m.flag != preVoting)
      return;
    if (m.term != (preVoting ? term + 1 : term) || !member(m.from))
      return;
    yes.insert(m.from);
    maybeWin(now);
  }

  // --- the leader ---
  void append(Instant now, Entry e) {
    e.term = term;
    e.num = lastNum() + 1;
    log.push_back(e);
    if (e.op() == OpKind::members) {
      members = splitMembers(e.blob);
      for (auto& x : members)
        if (x != self && !far.count(x))
          far[x] = Far{lastNum(), 0, 0, now, {}, now, {}, false};
    }
    keep(now, e.num, {std::move(e)});
  }
  void feedOne(Instant now, const std::string& to, Far& f, bool beat) {
    if (f.match + 1 < f.next && now - std::max(f.progress, f.sentAt) > p.resend) {
      f.whole = std::max(f.whole, f.next - 1);
      f.next = f.match + 1;
      f.sentAt = now;
    }
    if (f.next <= logBase) {
      if (f.snapFlying && now - f.sentAt < p.resend * 4) {
        if (beat)
          sendPulse(to, lastNum(), {});
        return;
      }
      Msg m = msgOf(Kind::snapshot);
      m.term = term;
      m.num = snapNum;
      m.prevTerm = snapTerm;
      m.names = snapMembers;
      m.blob = state;
      m.commit = released;
      m.nonce = static_cast<std::int64_t>(foundedWith);
      f.snapFlying = true;
      f.sentAt = now;
      send(to, std::move(m));
      return;
    }
    std::vector<Entry> es;
    std::size_t bytes = 0;
    const auto prev = f.next - 1;
    while (f.next <= lastNum() && bytes < (1u << 20)) {
      const auto& e = log[static_cast<std::size_t>(f.next - logBase - 1)];
      es.push_back(e);
      auto& c = es.back();
      // The large-write path: the sender fanned the body out, only the numbered acknowledgement goes from here.
      if (c.blob.size() > p.bulky && !c.digest.empty() && f.next > f.whole && c.opId.rfind(self + "/", 0) != 0) {
        c.blob.clear();
        c.omitted = true;
      }
      bytes += c.blob.size() + 100;
      ++f.next;
    }
    if (es.empty() && !beat)
      return;
    if (!es.empty())
      f.sentAt = now;
    sendPulse(to, prev, std::move(es));
  }
  void sendPulse(const std::string& to, std::int64_t prev, std::vector<Entry> es) {
    Msg m = msgOf(Kind::pulse);
    m.term = term;
    m.num = prev;
    m.prevTerm = termAt(prev);
    m.commit = released;
    m.nonce = pulseNonce;
    m.entries = std::move(es);
    send(to, std::move(m));
  }
  void pulse(Instant now, bool beat) {
    if (beat) {
      lastPulse = now;
      pulseSent[++pulseNonce] = now;
      while (pulseSent.size() > 64)
        pulseSent.erase(pulseSent.begin());
    }
    for (auto& [x, f] : far)
      feedOne(now, x, f, beat);
  }
  Instant leaseEnd() const {
    std::vector<Instant> from;
    for (auto& x : members) {
      if (x == self)
        continue;
      const auto it = far.find(x);
      from.push_back(it == far.end() ? Instant{} : it->second.leaseFrom);
    }
    const auto need = majority() - (member(self) ? 1 : 0);
    if (need == 0)
      return Instant::max();
    if (from.size() < need)
      return Instant{};
    std::sort(from.rbegin(), from.rend());
    const auto base = from[need - 1];
    return base == Instant{} ? base : base + p.lease - p.margin;
  }
  bool leasedNow(Instant now) const { return role == Role::leader && now < leaseEnd(); }
  void onPulseAck(Instant now, const Msg& m) {
    if (role != Role::leader || m.term != term)
      return;
    const auto it = far.find(m.from);
    if (it == far.end())
      return touchLearner(now, m.from);
    auto& f = it->second;
    f.heard = now;
    if (m.nonce)
      if (const auto s = pulseSent.find(m.nonce); s != pulseSent.end())
        f.leaseFrom = std::max(f.leaseFrom, s->second);
    if (m.flag) {  // refetch: it misses what comes after num; below 0 it has nothing, not even the members
      f.snapFlying = false;
      f.next = std::max<std::int64_t>(0, std::min(m.num + 1, lastNum() + 1));
      f.whole = lastNum();
      return feedOne(now, it->first, f, false);
    }
    if (m.num > f.match && m.num <= lastNum()) {
      f.match = m.num;
      f.progress = now;
      if (f.next <= f.match)
        f.next = f.match + 1;
      f.snapFlying = false;
      settle(now);
      if (f.next <= lastNum())
        feedOne(now, it->first, f, false);
    }
  }
  // Release what a majority of the core has synced.
  void settle(Instant now) {
    if (role != Role::leader)
      return;
    std::vector<std::int64_t> nums;
    for (auto& x : members) {
      if (x == self)
        nums.push_back(durable);
      else if (const auto it = far.find(x); it != far.end())
        nums.push_back(std::max<std::int64_t>(0, it->second.match));
      else
        nums.push_back(0);
    }
    if (nums.size() < majority())
      return;
    std::sort(nums.rbegin(), nums.rend());
    const auto n = nums[majority() - 1];
    if (n <= released || termAt(n) != term)
      return;
    const auto before = released;
    releaseTo(n);
    for (std::int64_t i = before + 1; i <= released; ++i) {
      const auto* e = entryAt(i);
      if (e && e->op() == OpKind::members && !member(self)) {
        // Voted out while holding the role: nothing more to do here.
        pulse(now, true);
        leader.clear();
        return setRole(idleRole());
      }
    }
    pulse(now, true);
  }
  const Entry* entryAt(std::int64_t n) const {
    if (n <= logBase || n > lastNum())
      return nullptr;
    return &log[static_cast<std::size_t>(n - logBase - 1)];
  }
  void touchLearner(Instant now, const std::string& who) {
    if (who.empty() || who == self)
      return;
    auto [it, fresh] = far.try_emplace(who);
    auto& f = it->second;
    f.heard = now;
    if (!fresh)
      return;
    f.next = lastNum() + 1;
    f.progress = now;
    feedOne(now, who, f, true);
  }
  void tendMembers(Instant now) {
    // One numbered change at a time, and only once the last one and our own take-over are released.
    if (released < takeOverNum)
      return;
    for (auto i = released + 1; i <= lastNum(); ++i)
      if (entryAt(i)->op() == OpKind::members)
        return;
    // A learner that has caught up and still answers.
    std::string ready;
    bool returned = false;  // came back empty at a member's place: first
    for (auto& [x, f] : far)
      if (!member(x) && f.match + 8 >= lastNum() && f.match > 0 && now - f.heard < p.pulse * 3) {
        if (ready.empty())
          ready = x;
        for (auto& mb : members)
          if (ipOf(mb) == ipOf(x))
            ready = x, returned = true;
      }
    for (auto it = far.begin(); it != far.end();)
      if (!member(it->first) && now - it->second.heard > p.deadAfter * 2)
        it = far.erase(it);
      else
        ++it;
    if (ready.empty())
      return;
    std::string dead;
    bool allHeard = true;
    for (auto& mb : members) {
      if (mb == self)
        continue;
      const auto it = far.find(mb);
      if (it == far.end())
        continue;
      const auto& f = it->second;
      allHeard = allHeard && now - f.heard < p.pulse * 4 && f.match + 8 >= lastNum();
      if (ipOf(mb) == ipOf(ready) && now - f.heard > p.pulse * 3)
        dead = mb;
      if (dead.empty() && now - f.heard > p.deadAfter)
        dead = mb;
    }
    auto next = members;
    if (!dead.empty())
      next.erase(std::find(next.begin(), next.end(), dead));
    else if (!returned && (members.size() < needed() || (members.size() < p.membersMost && allHeard)))
      next.push_back(ready);
    else
      return;
    Entry e;
    e.kind = static_cast<std::int32_t>(OpKind::members);
    e.blob = joinMembers(next);
    if (!dead.empty())
      far.erase(dead);
    append(now, std::move(e));
    pulse(now, false);
  }
  // Every machine of the core becomes a member. Why not only as many as were founded: of three members no two disks
  // may be lost, and a cut that leaves most of the core together could leave most of the members on its other side.
  // Up to what must be borne it grows whenever it can; beyond that only while all members answer, so that a
  // replacement does not raise the majority while the one that it replaces is still counted.
  std::size_t foundedWith = 3;
  std::size_t needed() const { return std::max(foundedWith, 2 * p.tolerate + 1); }

  // --- the follower ---
  // Whoever speaks with the leader's voice in this term or a higher one is followed, and promised its lease.
  bool heed(Instant now, const Msg& m) {
    if (m.term > term)
      adopt(now, m.term);
    if (role == Role::leader)
      return false;
    if (role == Role::candidate)
      setRole(idleRole());
    leader = m.from;
    leaderHeard = now;
    promised = now + p.lease;
    armElection(now);
    return true;
  }
  void onPulse(Instant now, Msg& m) {
    Msg r = msgOf(Kind::pulseAck);
    if (m.term < term) {
      r.term = term;
      return send(m.from, r);
    }
    if (!heed(now, m))
      return;
    r.term = term;
    r.nonce = m.nonce;
    if (snapMembers.empty()) {
      r.flag = true;
      r.num = -1;
      return send(m.from, r, termTicket);
    }
    if (m.num < logBase) {
      // What lies below our base is released and so equal; skip it.
      std::erase_if(m.entries, [&](const Entry& e) { return e.num <= logBase; });
      m.num = logBase;
      m.prevTerm = logBaseTerm;
      if (!m.entries.empty() && m.entries.front().num != logBase + 1)
        m.entries.clear();
    }
    if (m.num > lastNum() || termAt(m.num) != m.prevTerm) {
      r.flag = true;
      r.num = std::min(std::max(released, std::min(m.num - 1, lastNum())), lastNum());
      if (m.num <= lastNum())
        r.num = released;
      return send(m.from, r, termTicket);
    }
    std::vector<Entry> fresh;
    bool missing = false;
    auto last = m.num;
    for (auto& e : m.entries) {
      if (e.omitted) {
        const auto b = bodies.find(e.digest);
        if (b == bodies.end()) {
          missing = true;
          break;
        }
        e.blob = b->second;
        e.omitted = false;
      }
      if (e.num <= lastNum()) {
        if (termAt(e.num) == e.term) {
          last = e.num;
          continue;
        }
        truncateFrom(e.num);
      }
      last = e.num;
      log.push_back(e);
      fresh.push_back(std::move(e));
    }
    matched = std::max(matched, last);
    if (!fresh.empty()) {
      const auto from = fresh.front().num;
      keep(now, from, std::move(fresh));
      scanMembers();
    }
    releaseTo(std::min(m.commit, matched));
    r.num = std::min(matched, durable);
    // Why after the term's page: the answer is a promise to this leader, which a restart must not forget.
    send(m.from, r, termTicket);
    if (missing) {
      Msg g = msgOf(Kind::pulseAck);
      g.term = term;
      g.flag = true;
      g.num = last;
      send(m.from, g);
    }
  }
  void onSnapshot(Instant now, Msg& m) {
    if (m.term < term || !heed(now, m))
      return;
    // Why the log stays where it agrees: what lies above the snapshot may have been counted on already.
    const bool agrees = m.num <= lastNum() && termAt(m.num) == m.prevTerm;
    if (!snapMembers.empty() && (m.num <= released || agrees)) {
      Msg r = msgOf(Kind::pulseAck);
      r.term = term;
      matched = std::max(matched, std::max(released, m.num));
      releaseTo(m.num);
      r.num = std::min(matched, durable);
      return send(m.from, r);
    }
    snapNum = m.num;
    snapTerm = m.prevTerm;
    snapMembers = m.names;
    foundedWith = static_cast<std::size_t>(std::max<std::int64_t>(1, m.nonce));
    state = m.blob;
    log.clear();
    logBase = snapNum;
    logBaseTerm = snapTerm;
    released = snapNum;
    matched = snapNum;
    durable = 0;
    scanMembers();
    Action a;
    a.what = Action::What::install;
    a.entry.num = snapNum;
    a.entry.term = snapTerm;
    a.entry.blob = state;
    out.push_back(std::move(a));
    keep(now, 0, {}, true);
  }
  bool failing() const { return !keeping.empty() && keeping.front().failed; }
  bool sick() const { return !keeping.empty() && (keeping.front().failed || keeping.front().waited > p.diskSick); }
  // A sync ages by the turns of this loop, each counted for two regular ones at most. Why: where the loop itself comes
  // late, the answer of a good disk lies unread, and the role would go round among members that are all as busy.
  void age(Instant now) {
    const auto step = lastTick == Instant{} ? Span(0) : std::min(toSpan(now - lastTick), p.turn * 2);
    lastTick = now;
    for (auto& k : keeping)
      k.waited += step;
  }
  Instant lastTick{};
  // Whether any member has synced what we could not: else nobody's disk is better off than ours.
  bool betterOff(Instant now) const {
    return std::any_of(members.begin(), members.end(), [&](auto& x) {
      const auto it = far.find(x);
      return it != far.end() && now - it->second.heard < p.pulse * 4 && it->second.match > durable;
    });
  }
  void yield(Instant now) {
    // The one that has most, answered last, and is a member takes over.
    std::string best;
    std::int64_t most = -1;
    for (auto& x : members)
      if (x != self) {
        const auto it = far.find(x);
        if (it != far.end() && now - it->second.heard < p.pulse * 4 && it->second.match > most) {
          most = it->second.match;
          best = x;
        }
      }
    if (best.empty())
      return;
    Msg m = msgOf(Kind::handOver);
    m.term = term;
    leader.clear();
    yieldedUntil = now + p.electMin * 3;
    setRole(idleRole());  // the lease ends here, before anybody may start a new one
    armElection(now);
    electAt += p.electMin;
    send(best, m);
    ring::alarm("hands over the leader's role to " + best);
  }
};

Order::Order(std::string self, OrderParams p, std::uint64_t seed, Instant now) : impl_(std::make_unique<Impl>()) {
  impl_->self = std::move(self);
  impl_->p = p;
  impl_->rng.seed(seed);
  impl_->armElection(now);
}
Order::~Order() = default;
void Order::found(const std::vector<std::string>& members, Instant now) {
  auto& d = *impl_;
  d.snapMembers = members;
  d.foundedWith = members.size();
  d.scanMembers();
  d.keep(now, 0, {}, true);
}
void Order::recover(const std::vector<DiskRecord>& pages, Instant now) {
  auto& d = *impl_;
  for (auto& g : pages) {
    d.pageSeq = std::max(d.pageSeq, g.seq);
    d.term = g.term;
    d.led = g.led;
    d.vote = g.vote;
    if (g.full) {
      d.snapNum = g.snapNum;
      d.snapTerm = g.snapTerm;
      d.snapMembers = g.snapMembers;
      d.state = g.state;
      d.foundedWith = static_cast<std::size_t>(std::max<std::int64_t>(1, g.founded));
      d.log.clear();
      d.logBase = g.from ? g.from - 1 : g.snapNum;
      d.logBaseTerm = d.logBase == g.snapNum ? g.snapTerm : -1;
    }
    if (g.from > 0 && !g.entries.empty()) {
      while (d.lastNum() >= g.from)
        d.log.pop_back();
      for (auto& e : g.entries)
        if (e.num == d.lastNum() + 1)
          d.log.push_back(e);
    }
  }
  d.durable = d.lastNum();
  d.released = d.snapNum;
  d.scanMembers();
  if (d.snapNum > 0 || !d.state.empty()) {
    Action a;
    a.what = Action::What::install;
    a.entry.num = d.snapNum;
    a.entry.term = d.snapTerm;
    a.entry.blob = d.state;
    d.out.push_back(std::move(a));
  }
  // A promise made before the restart is not remembered, so it is kept by waiting.
  d.promised = now + d.p.lease;
  d.restarted = true;
  // Why soon after: where all came back at once nobody is there to wait for. Who led the newest term it knows of need
  // not wait: the lease was its own, and it is gone.
  d.electAt = d.led > 0 && d.led == d.term ? now + Span(20 + static_cast<std::int64_t>(d.rng() % 30))
                                           : d.promised + Span(20 + static_cast<std::int64_t>(d.rng() % 200));
}
void Order::seeds(std::vector<std::string> ips) {
  impl_->seedIps = std::move(ips);
}

void Order::tick(Instant now) {
  auto& d = *impl_;
  d.age(now);
  for (auto& k : d.keeping)
    if (k.failed && now >= k.retryAt) {
      k.retryAt = now + d.p.keepRetry;
      Action a;
      a.what = Action::What::keep;
      a.ticket = k.ticket;
      a.page = k.page;
      d.out.push_back(std::move(a));
      break;  // in order, one at a time
    }
  if (d.role == Role::leader) {
    if (d.leasedNow(now))
      d.lastQuorum = now;
    else if (now - d.lastQuorum > d.p.lease + d.p.electMin) {
      d.leader.clear();
      d.setRole(d.idleRole());
      d.armElection(now);
      return;
    }
    if (d.failing() || (d.sick() && d.betterOff(now)))
      return d.yield(now);
    d.tendMembers(now);
    if (now - d.lastPulse >= d.p.pulse)
      d.pulse(now, true);
    return;
  }
  if (d.role == Role::learner) {
    if (now - d.lastJoin < d.p.join || now - d.leaderHeard < d.p.pulse * 4)
      return;
    d.lastJoin = now;
    Msg m = msgOf(Kind::join);
    std::set<std::string> to;
    for (auto& x : d.members)
      to.insert(ipOf(x));
    for (auto& x : d.seedIps)
      to.insert(x);
    to.erase(ipOf(d.self));
    for (auto& x : to)
      d.send(x, m);
    return;
  }
  if (d.role == Role::candidate && d.preVoting && now < d.electAt && now - d.lastAsk >= d.p.askAgain) {
    d.lastAsk = now;
    d.ask(0);
  }
  if (now >= d.electAt && now >= d.yieldedUntil) {
    d.askTerm = 0;
    d.campaign(now, true, false);
  }
}
void Order::hear(Instant now, Msg m) {
  auto& d = *impl_;
  switch (m.what()) {
    case Kind::ask:
      return d.onAsk(now, m);
    case Kind::granted:
      return d.onGranted(now, m);
    case Kind::pulse:
      return d.onPulse(now, m);
    case Kind::pulseAck:
      if (m.term > d.term) {
        d.adopt(now, m.term);
        return;
      }
      return d.onPulseAck(now, m);
    case Kind::snapshot:
      return d.onSnapshot(now, m);
    case Kind::join:
      if (d.role == Role::leader) {
        d.touchLearner(now, m.from);
      } else if (!d.leader.empty() && now - d.leaderHeard < d.p.lease) {
        Msg r = msgOf(Kind::join);
        r.who = m.from;
        r.flag = true;
        // Passed on once, so that the leader learns of the newcomer.
        if (!m.flag)
          d.send(d.leader, r);
      }
      if (m.flag && d.role == Role::leader)
        d.touchLearner(now, m.who);
      return;
    case Kind::handOver:
      if (m.term == d.term && d.role == Role::follower && !d.sick()) {
        d.promised = {};
        d.askTerm = d.term;
        d.campaign(now, false, true);
      }
      return;
    case Kind::body:
      if (d.bodies.emplace(m.who, m.blob).second) {
        d.bodyOrder.push_back(m.who);
        if (d.bodyOrder.size() > 4) {
          d.bodies.erase(d.bodyOrder.front());
          d.bodyOrder.pop_front();
        }
      }
      return;
    default:
      return;
  }
}
bool Order::submit(Instant now, Entry e) {
  auto& d = *impl_;
  if (d.role != Role::leader)
    return false;
  if (e.omitted) {
    const auto b = d.bodies.find(e.digest);
    if (b == d.bodies.end())
      return false;
    e.blob = b->second;
    e.omitted = false;
  }
  // A write sent again while the first is still on its way is that first write.
  for (auto i = d.released + 1; i <= d.lastNum(); ++i)
    if (d.entryAt(i)->opId == e.opId)
      return true;
  d.append(now, std::move(e));
  d.pulse(now, false);
  return true;
}
void Order::kept(Instant now, std::int64_t ticket, bool ok) {
  auto& d = *impl_;
  const auto it = std::find_if(d.keeping.begin(), d.keeping.end(), [&](auto& k) { return k.ticket == ticket; });
  if (it == d.keeping.end())
    return;
  if (!ok) {
    it->failed = true;
    it->retryAt = now + d.p.keepRetry;
    return;
  }
  const auto lastNum = it->lastNum, lastTerm = it->lastTerm;
  d.keeping.erase(it);
  if (lastNum <= d.lastNum() && d.termAt(lastNum) == lastTerm)
    d.durable = std::max(d.durable, lastNum);
  if (d.role == Role::candidate && !d.preVoting && ticket == d.selfVoteTicket)
    d.yes.insert(d.self);
  const auto oldest = d.keeping.empty() ? std::numeric_limits<std::int64_t>::max() : d.keeping.front().ticket;
  auto held = std::move(d.held);
  d.held.clear();
  for (auto& h : held) {
    if (h.ticket < oldest) {
      // Why checked: a vote or a question of a term already left behind says nothing true any more.
      if (h.msg.term == d.term)
        d.send(h.to, std::move(h.msg));
    } else {
      d.held.push_back(std::move(h));
    }
  }
  d.maybeWin(now);
  if (d.role == Role::leader)
    return d.settle(now);
  if (!d.leader.empty()) {
    Msg r = msgOf(Kind::pulseAck);
    r.term = d.term;
    r.num = std::min(d.matched, d.durable);
    if (r.num > 0)
      d.send(d.leader, r);
  }
}
void Order::compact(std::int64_t num, std::string state, Instant now) {
  auto& d = *impl_;
  if (num <= d.snapNum || num > d.released)
    return;
  const auto t = d.termAt(num);
  for (auto i = std::max(d.logBase, d.snapNum) + 1; i <= num; ++i)
    if (d.entryAt(i)->op() == OpKind::members)
      d.snapMembers = Impl::splitMembers(d.entryAt(i)->blob);
  d.snapNum = num;
  d.snapTerm = t;
  d.state = std::move(state);
  while (d.logBase < num) {
    d.logBaseTerm = d.log.front().term;
    d.log.pop_front();
    ++d.logBase;
  }
  d.keep(now, 0, {}, true);
}
void Order::handOver(Instant now) {
  if (impl_->role == Role::leader)
    impl_->yield(now);
}
std::vector<Action> Order::take() {
  return std::exchange(impl_->out, {});
}
Role Order::role() const {
  return impl_->role;
}
std::int64_t Order::term() const {
  return impl_->term;
}
std::string Order::leader() const {
  return impl_->leader;
}
std::int64_t Order::released() const {
  return impl_->released;
}
std::int64_t Order::firstKept() const {
  return impl_->logBase + 1;
}
bool Order::leased(Instant now) const {
  return impl_->leasedNow(now) && impl_->released >= impl_->takeOverNum;
}
const std::vector<std::string>& Order::members() const {
  return impl_->members;
}
const Entry* Order::at(std::int64_t n) const {
  return impl_->entryAt(n);
}
bool Order::diskSick(Instant) const {
  return impl_->sick();
}
std::string Order::debug() const {
  std::string s = "keeping";
  for (auto& k : impl_->keeping)
    s += " " + std::to_string(k.page.seq) + (k.failed ? "(failed)" : "");
  return s;
}
const std::string& Order::self() const {
  return impl_->self;
}
}  // namespace zc
