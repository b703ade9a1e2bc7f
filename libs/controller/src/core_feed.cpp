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
  r.from = order_->self();
  r.term = order_->term();
  r.who = order_->leader();
  r.names = order_->members();
  r.num = order_->released();
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
  if (std::exchange(framesOf_, order_->released()) != order_->released())
    frames_.clear();
  const bool whole = from + 1 < order_->firstKept() || from == 0;
  auto& f = whole ? frames_[{-1, held}] : frames_[{from, {}}];
  if (f)
    return f;
  Msg m = msgOf(Kind::feed);
  m.from = order_->self();
  m.term = order_->term();
  m.num = order_->released();
  if (whole) {
    m.ok = true;
    // What the receiver holds already is not sent again: only the difference from it.
    m.blob = copy_.snapshotFor(from == 0 ? std::string{} : held);
    m.num = copy_.state().num;
  } else {
    for (auto n = from + 1; n <= order_->released(); ++n) {
      m.entries.push_back(*order_->at(n));
      auto& e = m.entries.back();
      // The node that took a large write has fanned its body out already, to the agents linked to it.
      if (e.blob.size() > kBulkyBody && !e.digest.empty() && order_->members().size() <= kAgentLinks &&
          e.opId.rfind(order_->self() + "/", 0) != 0) {
        e.blob.clear();
        e.omitted = true;
      }
    }
  }
  return f = std::make_shared<const std::string>(frameOf(m));
}
void Core::feed(AgentSession& t) {
  if (t.fed < 0 || !t.link->open() || t.fed >= order_->released() || t.link->backlog() > kAgentBacklog)
    return;
  t.link->sendBulk(feedFrame(t.fed, t.held));
  t.fed = order_->released();
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
  Msg b = msgOf(Kind::body);
  b.from = order_->self();
  b.who = e.digest;
  b.blob = e.blob;
  for (auto& x : order_->members())
    if (x != order_->self())
      sendTo(x, b);
  const auto frame = std::make_shared<const std::string>(frameOf(b));
  for (auto& [n, t] : agents_)
    if (t.link->open())
      t.link->sendBulk(frame);
}
}  // namespace zc
