// What the leader sends to agents: numbered writes, snapshots, bodies ahead, who leads.
#include "core.hpp"

namespace zc {
namespace {
constexpr std::size_t kAgentBacklog =
    64 * 1024;  // bytes that wait for one before nothing more is added: it is sent the rest later
constexpr std::size_t kAgentLinks = 3;  // with more members a agent is not linked to each, and misses bodies sent ahead
constexpr auto kAgentSilent = 6s;
}  // namespace

Msg Core::stateAck() {
  Msg r = msgOf(Kind::stateAck);
  r.from = raft_->self();
  r.term = raft_->term();
  r.who = raft_->leader();
  r.names = raft_->voters();
  r.num = raft_->commitNumber();
  r.view = view_.sample();
  return r;
}
void Core::tellAgents() {
  const auto r = stateAck();
  for (auto it = agents_.begin(); it != agents_.end();) {
    if (!it->second.link->open()) {
      it = agents_.erase(it);
      continue;
    }
    it->second.link->send(r);
    ++it;
  }
}
std::shared_ptr<const std::string> Core::feedFrame(std::int64_t from, const std::string& held) {
  if (std::exchange(framesOf_, raft_->commitNumber()) != raft_->commitNumber())
    frames_.clear();
  const bool whole = from + 1 < raft_->firstNumber() || from == 0;
  auto& f = whole ? frames_[{-1, held}] : frames_[{from, {}}];
  if (f)
    return f;
  Msg m = msgOf(Kind::feed);
  m.from = raft_->self();
  m.term = raft_->term();
  m.num = raft_->commitNumber();
  if (whole) {
    m.ok = true;
    // What the receiver holds already is not sent again: only the difference from it.
    m.blob = copy_.snapshotFor(from == 0 ? std::string{} : held);
    m.num = copy_.state().num;
  } else {
    for (auto n = from + 1; n <= raft_->commitNumber(); ++n) {
      m.entries.push_back(*raft_->entryAt(n));
      auto& e = m.entries.back();
      // The node that took a large write has fanned its body out already, to the agents linked to it.
      if (e.blob.size() > kBulkyBody && !e.digest.empty() && raft_->voters().size() <= kAgentLinks &&
          e.opId.rfind(raft_->self() + "/", 0) != 0) {
        e.blob.clear();
        e.omitted = true;
      }
    }
  }
  return f = std::make_shared<const std::string>(frameOf(m));
}
void Core::feed(AgentSession& t) {
  if (t.fed < 0 || !t.link->open() || t.fed >= raft_->commitNumber() || t.link->backlog() > kAgentBacklog)
    return;
  t.link->sendBulk(feedFrame(t.fed, t.held));
  t.fed = raft_->commitNumber();
  t.held = copy_.state().digest;
}
void Core::feedAll() {
  for (auto& [n, t] : agents_)
    feed(t);
  frames_.clear();
}
// A agent that says nothing for long has another link by now, or is gone: nothing is kept for it.
void Core::dropSilent(Instant now) {
  for (auto it = agents_.begin(); it != agents_.end();) {
    auto& l = it->second.link;
    if (l->open() && now - l->heard() < kAgentSilent) {
      ++it;
      continue;
    }
    l->end();
    it = agents_.erase(it);
  }
}
void Core::shareBody(const Entry& e) {
  Msg toMembers = msgOf(Kind::consensus);
  toMembers.blob = encodeMessage(EntryBody{e.digest, e.blob});
  for (auto& x : raft_->voters())
    if (x != raft_->self())
      sendTo(x, toMembers);
  Msg b = msgOf(Kind::body);
  b.from = raft_->self();
  b.who = e.digest;
  b.blob = e.blob;
  const auto frame = std::make_shared<const std::string>(frameOf(b));
  for (auto& [n, t] : agents_)
    if (t.link->open())
      t.link->sendBulk(frame);
}
}  // namespace zc
