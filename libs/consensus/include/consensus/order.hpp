// The numbered order, the leader's lease and the core's membership as one pure state machine:
// events in, actions out, the clock passed in. It touches no socket, no file and no clock.
#pragma once
#include "transport/messages.hpp"
namespace zc {
// What a member keeps on its disk. A page is either the whole (full) or what came on top of the page before.
struct DiskRecord {
  std::int64_t seq = 0, term = 0;
  std::int64_t led = 0;  // the newest term in which this member was the leader
  std::string self, vote;
  bool full = false;
  std::int64_t snapNum = 0, snapTerm = 0, founded = 0;
  std::vector<std::string> snapMembers;
  std::string state;
  std::int64_t from = 0;  // entries replace everything at and after this number; 0: none
  std::vector<Entry> entries;
  template <class V>
  void fields(V& v) {
    v("seq", seq), v("term", term), v("led", led), v("self", self), v("vote", vote), v("full", full),
        v("snapNum", snapNum);
    v("snapTerm", snapTerm), v("snapMembers", snapMembers), v("founded", founded), v("state", state), v("from", from),
        v("entries", entries);
  }
};

struct OrderParams {
  Span pulse{120}, lease{500}, margin{80}, electMin{550}, electSpread{300};
  Span turn{50};         // how often `tick` is called
  Span diskSick{700};    // an unfinished sync this old makes a leader hand over, if another has synced more
  Span deadAfter{2500};  // a silent member may be replaced by a waiting learner
  Span askAgain{100};    // a question of a would-be leader that found no majority yet
  Span resend{400}, join{500}, keepRetry{300};
  std::size_t bulky = 16384;    // bodies above this go ahead from their sender
  std::size_t tolerate = 1;     // members that may be lost at once, disks and all (`faultTolerance.machines`)
  std::size_t membersMost = 9;  // beyond this a further machine only learns: each write would wait for more syncs
};
enum class Role { learner, follower, candidate, leader };

struct Action {
  enum class What { send, keep, release, install, role } what = What::send;
  std::string to;
  Msg msg;
  std::int64_t ticket = 0;
  DiskRecord page;
  Entry entry;
};

class Order {
 public:
  Order(std::string self, OrderParams p, std::uint64_t seed, Instant now);
  ~Order();
  // One of: a first start with the founders, or what the disk held, or nothing (an empty disk: a learner).
  void found(const std::vector<std::string>& members, Instant now);
  void recover(const std::vector<DiskRecord>& pages, Instant now);
  void seeds(std::vector<std::string> ips);

  void tick(Instant now);
  void hear(Instant now, Msg m);
  bool submit(Instant now, Entry e);  // false: not the leader
  void kept(Instant now, std::int64_t ticket, bool ok);
  void compact(std::int64_t num, std::string state, Instant now);  // the applied state up to num
  void handOver(Instant now);                                      // on SIGTERM
  std::vector<Action> take();

  Role role() const;
  std::int64_t term() const;
  std::string leader() const;  // empty: unknown
  std::int64_t released() const;
  std::int64_t firstKept() const;
  bool leased(Instant now) const;  // holds a valid lease and has released in its own term
  const std::vector<std::string>& members() const;
  const Entry* at(std::int64_t num) const;
  bool diskSick(Instant now) const;
  const std::string& self() const;
  std::string debug() const;  // the pages not kept yet

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};
std::string ipOf(const std::string& member);  // "10.1.0.8#0" -> "10.1.0.8"
}  // namespace zc
