// A seeded world of core members: a network that loses, delays and cuts, disks that are slow, full or wiped,
// machines that freeze, lose power and come back. Time is simulated; nothing sleeps.
#pragma once
#include <queue>
#include <random>
#include <set>

#include "consensus/raft_node.hpp"
#include "state_machine/replicated_state.hpp"
#include "storage/storage.hpp"

namespace zinccleat::sim {
using namespace zinccleat::consensus;
using namespace zinccleat::state_machine;
using namespace zinccleat::storage;
using namespace zinccleat::transport;
struct World {
  struct Node {
    std::string ip, id;
    std::unique_ptr<RaftNode> raft;
    ReplicatedState copy;
    std::vector<std::string> disk;  // sealed pages that a sync covered
    int life = 0;
    bool up = false, frozen = false, diskFull = false;
    Duration syncTime{4};
    std::deque<std::pair<std::int64_t, DiskRecord>> pages;      // waiting for the disk
    std::vector<std::pair<std::int64_t, std::string>> applied;  // this life's numbers, with what stood under them
    std::int64_t lastApplied = 0;
  };
  struct Event {
    TimePoint at;
    std::uint64_t no;
    std::function<void()> run;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : no > o.no; }
  };
  std::mt19937_64 rng;
  std::uint64_t seed;
  TimePoint now{std::chrono::seconds(1000)};
  std::priority_queue<Event> events;
  std::uint64_t eventNo = 0;
  std::map<std::string, Node> nodes;  // by ip
  std::set<std::pair<std::string, std::string>> cut;
  double loss = 0.0;
  int delayMost = 3;
  // What must hold.
  std::map<std::int64_t, std::string> agreed;                  // number -> what was released under it, anywhere
  std::map<std::int64_t, std::set<std::string>> leasesOfTerm;  // term -> who held a lease in it
  std::map<std::string, std::int64_t> acked;                   // operation -> number at its acknowledgement
  std::vector<std::string> broken;
  int opNo = 0;
  int timesWell = 0;  // how often all was well when the next trouble was drawn
  RaftOptions options;
  std::size_t tolerated = 1;  // machines that may be lost at once, disks and all

  explicit World(std::uint64_t s) : rng(s), seed(s) {}
  std::uint64_t draw(std::uint64_t n) { return rng() % n; }
  void at(Duration d, std::function<void()> f) { events.push({now + d, ++eventNo, std::move(f)}); }
  void blame(const std::string& what) { broken.push_back(what + " (seed " + std::to_string(seed) + ")"); }

  void boot(const std::string& ip, const std::vector<std::string>& seeds, bool first) {
    auto& n = nodes[ip];
    n.ip = ip;
    n.up = true;
    n.frozen = false;
    ++n.life;
    n.copy = ReplicatedState{};
    n.applied.clear();
    n.lastApplied = 0;
    n.pages.clear();
    std::vector<DiskRecord> pages;
    for (auto& b : n.disk) {
      auto g = decodeRecord(b);
      checkInvariant(g.has_value(), "a synced page reads back");
      if (g->full)
        pages.clear();
      pages.push_back(*g);
    }
    const bool founder = first && std::find(seeds.begin(), seeds.end(), ip) != seeds.end();
    n.id = !pages.empty() ? pages.front().self : founder ? ip + "#0" : ip + "#" + std::to_string(draw(1000000) + 1);
    n.raft = std::make_unique<RaftNode>(n.id, options, rng(), now);
    n.raft->setSeedAddresses(seeds);
    if (!pages.empty())
      n.raft->recover(pages, now);
    else if (founder) {
      std::vector<std::string> f;
      f.reserve(seeds.size());
      for (auto& s : seeds)
        f.push_back(s + "#0");
      n.raft->bootstrap(f, now);
    }
    step(n);
    tickLater(ip, n.life);
  }
  void tickLater(const std::string& ip, int life) {
    at(Duration(40 + draw(20)), [this, ip, life] {
      auto& n = nodes[ip];
      if (!n.up || n.life != life)
        return;
      if (!n.frozen) {
        n.raft->tick(now);
        step(n);
        if (n.raft->hasLease(now)) {
          for (auto& [o, x] : nodes)
            if (o != ip && x.up && x.raft->hasLease(now))
              blame("two leases at one moment, " + ip + " and " + o);
          auto& who = leasesOfTerm[n.raft->term()];
          who.insert(n.id);
          if (who.size() > 1)
            blame("two sequencers in term " + std::to_string(n.raft->term()));
          // A valid lease must know of all that was acknowledged.
          for (auto& [op, num] : acked)
            if (num > n.raft->commitIndex())
              blame("a lease older than an acknowledged write");
        }
      }
      tickLater(ip, life);
    });
  }
  void step(Node& n) {
    for (auto actions = n.raft->takeActions(); !actions.empty(); actions = n.raft->takeActions())
      for (auto& action : actions)
        std::visit([&](auto& alternative) { carryOut(n, alternative); }, action);
  }
  void carryOut(Node& n, const SendMessage& action) { post(n, action.to, encodeMessage(action.message)); }
  void carryOut(Node& n, const PersistRecord& action) { keep(n, action.ticket, action.record); }
  void carryOut(Node& n, const ApplyEntry& action) { release(n, action.entry); }
  void carryOut(Node& n, const RestoreSnapshot& action) { install(n, action); }
  // Whether a message from one address to the other is lost on its way.
  bool lost(const std::string& from, const std::string& to) {
    return cut.contains({from, to}) || std::uniform_real_distribution<>(0, 1)(rng) < loss;
  }
  Duration delay() { return Duration(1 + draw(static_cast<std::uint64_t>(delayMost))); }
  // Messages pass through their encoding: what the connection can't carry must not pass here either.
  void post(Node& from, const std::string& to, const std::string& bytes) {
    const auto ip = addressOf(to);
    if (lost(from.ip, ip))
      return;
    at(delay(), [this, ip, bytes, src = from.ip, sender = from.id] { deliver(src, sender, ip, bytes); });
  }
  // The node at an address, if it is up and a packet from `src` reaches it.
  Node* reach(const std::string& src, const std::string& ip) {
    const auto it = nodes.find(ip);
    if (it == nodes.end() || !it->second.up || cut.contains({src, ip}))
      return nullptr;
    return &it->second;
  }
  void deliver(const std::string& src, const MemberId& sender, const std::string& ip, const std::string& bytes) {
    auto* n = reach(src, ip);
    if (!n)
      return;
    if (n->frozen)
      return at(Duration(50), [this, src, sender, ip, bytes] { deliver(src, sender, ip, bytes); });
    auto message = decodeMessage(bytes);
    checkInvariant(message.has_value(), "a member's own message reads back");
    n->raft->receive(now, sender, std::move(*message));
    step(*n);
  }
  void postWrite(Node& from, const std::string& to, const LogEntry& entry) {
    const auto ip = addressOf(to);
    if (lost(from.ip, ip))
      return;
    at(delay(), [this, ip, entry, src = from.ip] { deliverWrite(src, ip, entry); });
  }
  void deliverWrite(const std::string& src, const std::string& ip, const LogEntry& entry) {
    auto* n = reach(src, ip);
    if (!n)
      return;
    if (n->frozen)
      return at(Duration(50), [this, src, ip, entry] { deliverWrite(src, ip, entry); });
    n->raft->submit(now, entry);
    step(*n);
  }
  void keep(Node& n, std::int64_t ticket, const DiskRecord& g) {
    n.pages.emplace_back(ticket, g);
    if (n.pages.size() == 1)
      startSync(n.ip, n.life);
  }
  // One page at a time; how long it takes is the disk's state when it begins.
  void startSync(const std::string& ip, int life) {
    at(nodes[ip].syncTime, [this, ip, life] { endSync(ip, life); });
  }
  void endSync(const std::string& ip, int life) {
    auto& n = nodes[ip];
    if (n.life != life || !n.up)
      return;  // power was lost before the sync: the page is gone
    if (n.frozen)
      return at(Duration(50), [this, ip, life] { endSync(ip, life); });
    const auto [ticket, g] = n.pages.front();
    n.pages.pop_front();
    if (!n.pages.empty())
      startSync(ip, life);
    settleKeep(ip, life, ticket, g);
  }
  void settleKeep(const std::string& ip, int life, std::int64_t ticket, const DiskRecord& g) {
    auto& n = nodes[ip];
    if (n.life != life || !n.up)
      return;
    std::int64_t last = 0;
    if (!n.disk.empty())
      last = decodeRecord(n.disk.back())->seq;
    const bool ok = !n.diskFull && g.seq == last + 1;
    if (ok)
      n.disk.push_back(encodeRecord(g));
    n.raft->persisted(now, ticket, ok);
    step(n);
  }
  static std::string contentOf(const LogEntry& e) {
    return std::to_string(e.term) + "|" + e.operationId + "|" + e.body;
  }
  void release(Node& n, const LogEntry& e) {
    if (e.index != n.lastApplied + 1)
      blame("applied out of order at " + n.ip);
    n.lastApplied = e.index;
    auto [it, fresh] = agreed.emplace(e.index, contentOf(e));
    if (!fresh && it->second != contentOf(e))
      blame("two writes under number " + std::to_string(e.index));
    n.copy.apply(e);
    if (e.index % 16 == 0)
      n.raft->compact(e.index, n.copy.snapshot(), now);
  }
  void install(Node& n, const RestoreSnapshot& snapshot) {
    if (snapshot.index < n.lastApplied)
      blame("went back in number at " + n.ip);
    n.lastApplied = snapshot.index;
    if (!n.copy.restore(snapshot.state))
      blame("snapshot unreadable");
  }
  // A writer at any node: point-to-point to the leader, acknowledged once its own queue releases it.
  void write(const std::string& ip, std::size_t bytes = 10) {
    auto& n = nodes[ip];
    if (!n.up || n.frozen)
      return;
    const auto op = n.id + "/" + std::to_string(++opNo);
    LogEntry e = configurationEntry(0, opNo, std::string(bytes, 'x') + op, op);
    e.operationId = op + "@" + std::to_string(opNo);
    tryWrite(ip, n.life, e, 12);
  }
  void tryWrite(const std::string& ip, int life, LogEntry e, int left) {
    auto& n = nodes[ip];
    if (!n.up || n.life != life || left == 0)
      return;
    if (!n.frozen) {
      if (n.copy.outcomeOf(e.operationId)) {
        acked.emplace(e.operationId, n.lastApplied);
        return;
      }
      const auto seq = n.raft->leader();
      if (seq == n.id) {
        n.raft->submit(now, e);
        step(n);
      } else if (!seq.empty()) {
        postWrite(n, seq, e);
      }
    }
    at(Duration(120), [this, ip, life, e, left] { tryWrite(ip, life, e, left - 1); });
  }
  void kill(const std::string& ip) {
    auto& n = nodes[ip];
    n.up = false;
    ++n.life;
    n.raft.reset();
  }
  // Planned work: the member asks the others to do without it and ends when they can, or at the last moment.
  void leave(const std::string& ip, Duration grace = Duration(6500)) {
    auto& n = nodes[ip];
    if (!n.up)
      return;
    n.raft->leave(now);
    step(n);
    endWhenAllowed(ip, n.life, now + grace);
  }
  void endWhenAllowed(const std::string& ip, int life, TimePoint deadline) {
    at(Duration(50), [this, ip, life, deadline] {
      auto& n = nodes[ip];
      if (!n.up || n.life != life)
        return;
      if ((n.raft->mayExit() && !n.frozen) || now >= deadline)
        return kill(ip);
      endWhenAllowed(ip, life, deadline);
    });
  }
  void runFor(Duration d) {
    const auto end = now + d;
    while (!events.empty() && events.top().at <= end) {
      auto e = events.top();
      events.pop();
      now = std::max(now, e.at);
      e.run();
      if (broken.size() > 5)
        return;
    }
    now = end;
  }
  std::string leader() {
    for (auto& [ip, n] : nodes)
      if (n.up && !n.frozen && n.raft->hasLease(now))
        return ip;
    return {};
  }
  void cutOff(const std::string& ip, bool both = true) {
    for (auto& [o, n] : nodes)
      if (o != ip) {
        cut.insert({ip, o});
        if (both)
          cut.insert({o, ip});
      }
  }
};
}  // namespace zinccleat::sim
