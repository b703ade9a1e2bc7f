// What a core node tells operators.
#include "core.hpp"

namespace zc {
double Core::requestsPerS() const {
  double n = 0;
  for (auto& [t, l] : loads_)
    if (Clock::now() - l.at < 5s)
      for (auto& g : l.places)
        if (g.label.empty())
          n += g.rate;
  return n;
}
std::string Core::closuresJson() const {
  std::string s = "{\"requestsPerS\":" + std::to_string(requestsPerS()) + ",\"closures\":[";
  bool first = true;
  for (auto& c : copy_.state().closures) {
    double runners = 0, proxies = 0;
    int heard = 0;
    for (auto& [t, l] : loads_)
      if (Clock::now() - l.at < 5s) {
        ++heard;
        for (auto& g : l.places)
          if (g.label == c.place)
            runners += g.rate, proxies += g.burst;
      }
    s += (std::exchange(first, false) ? "" : ",") + ("{\"place\":" + quoteJson(c.place)) +
         ",\"note\":" + quoteJson(c.note) + ",\"share\":" + std::to_string(c.share) +
         ",\"doorsShut\":" + (c.doorsShut ? "true" : "false") +
         ",\"atItsRunners\":" + std::to_string(static_cast<int>(runners)) +
         ",\"atItsProxies\":" + std::to_string(static_cast<int>(proxies)) + ",\"nodesHeard\":" + std::to_string(heard) +
         "}";
  }
  return s + "]}";
}
std::string Core::statusJson() const {
  const auto now = Clock::now();
  std::size_t waiting = 0;  // bytes that agents have not read yet
  for (auto& [n, t] : agents_)
    waiting += t.link->backlog();
  static const char* duties[] = {"learner", "follower", "candidate", "leader"};
  std::string s =
      "{\"node\":" + quoteJson(s_.node) + ",\"member\":" + quoteJson(raft_->self()) + ",\"role\":\"" +
      duties[static_cast<int>(raft_->role())] + "\",\"term\":" + std::to_string(raft_->term()) +
      ",\"leader\":" + quoteJson(raft_->leader()) + ",\"leased\":" + (raft_->hasLease(now) ? "true" : "false") +
      ",\"released\":" + std::to_string(raft_->commitNumber()) + ",\"applied\":" + std::to_string(copy_.state().num) +
      ",\"inContact\":" + (raft_->inContactWithMajority(now) ? "true" : "false") +
      ",\"snapshotsDeclined\":" + std::to_string(raft_->snapshotsRefused()) +
      ",\"framesDeclined\":" + std::to_string(trafficSoFar().framesDeclined) +
      ",\"messagesDeclined\":" + std::to_string(messagesDeclined_) +
      ",\"framesOfOtherFormats\":" + std::to_string(trafficSoFar().framesOfOtherFormats) +
      ",\"diskSick\":" + (raft_->diskStalled() ? "true" : "false") +
      ",\"version\":" + std::to_string(copy_.state().version) + ",\"agents\":" + std::to_string(agents_.size()) +
      ",\"waitingBytes\":" + std::to_string(waiting) + ",\"hintsTold\":" + std::to_string(hints_ ? hints_->told() : 0) +
      ",\"hintsKnown\":" + std::to_string(hints_ ? hints_->known() : 0) +
      ",\"hintsDeclined\":" + std::to_string(hints_ ? hints_->errorResponse() : 0) +
      ",\"runnersAside\":" + std::to_string(outliers_.list().size()) +
      ",\"wordsDeclined\":" + std::to_string(outliers_.errorResponse()) + ",\"members\":[";
  bool first = true;
  for (auto& m : raft_->voters())
    s += (std::exchange(first, false) ? "" : ",") + quoteJson(m);
  s += "],\"runners\":[";
  first = true;
  for (auto& r : copy_.state().runners)
    s += (std::exchange(first, false) ? "" : ",") + ("{\"id\":" + quoteJson(r.id)) +
         ",\"service\":" + quoteJson(r.service) + ",\"address\":" + quoteJson(r.address) + ",\"state\":\"" +
         (r.state == 0 ? "in_service" : "draining") + "\"}";
  return s + "]}";
}
}  // namespace zc
