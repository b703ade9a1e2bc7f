// The text that a search over states takes for one state: all that decides how the member goes on.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
constexpr Duration kForgotten{6000};  // beyond this, how long ago something was makes no difference

class Writer {
 public:
  explicit Writer(TimePoint now) : now_(now) {}
  Writer& operator()(std::int64_t value) {
    text_ += std::to_string(value);
    text_ += ',';
    return *this;
  }
  Writer& operator()(const std::string& value) {
    text_ += value;
    text_ += ',';
    return *this;
  }
  Writer& operator()(TimePoint at) {
    const auto relative = at == TimePoint{} ? -kForgotten : std::max(-kForgotten, toDuration(at - now_));
    return (*this)(static_cast<std::int64_t>(relative.count()));
  }
  std::string take() { return std::move(text_); }

 private:
  TimePoint now_;
  std::string text_;
};
void writeEntry(Writer& writer, const transport::LogEntry& entry) {
  writer(entry.index)(entry.term)(static_cast<std::int64_t>(entry.kind))(entry.operationId)(entry.body);
}
}  // namespace

std::string RaftNode::fingerprint(TimePoint now) const {
  const auto& core = *core_;
  Writer writer(now);
  writer(core.self)(core.currentTerm)(core.lastLedTerm)(core.votedFor);
  writer(core.log.snapshot().number)(core.log.snapshot().term)(encodeConfig(core.log.snapshot().config));
  for (const auto& entry : core.log.entries())
    writeEntry(writer, entry);
  writer(static_cast<std::int64_t>(core.role))(core.leader)(core.commitIndex)(core.persistedIndex);
  writer(core.matchIndex)(std::max(core.leasePromisedUntil, now))(std::max(core.electionAt, now));
  writer(core.leaderHeardAt)(core.leaderHadLease)(core.restarted)(core.preVoting)(core.transferAccepted);
  writer(core.transferredTerm)(core.lastVoteRequestAt)(std::max(core.noElectionBefore, now))(core.lastTickAt);
  for (const auto& vote : core.votes)
    writer(vote);
  for (const auto& [peer, progress] : core.peers) {
    writer(peer)(progress.nextIndex)(progress.matchIndex)(progress.sendWholeUpTo)(progress.heardAt);
    writer(progress.sentAt)(progress.progressAt)(progress.leasePromisedFrom)(progress.leaveAskedAt);
    writer(progress.leaveFirstAskedAt);
    writer(progress.snapshotUnderWay)(progress.leaveGrantedAt);
  }
  // Absolute: answers on their way name a heartbeat by its number.
  writer(core.heartbeatId);
  for (const auto& [id, at] : core.heartbeatSentAt)
    writer(id)(at);
  writer(core.firstIndexOfTerm)(core.lastHeartbeatAt)(core.lastQuorumAt)(core.lastJoinAt)(core.lastLeaveAt);
  writer(core.leaving)(core.exitAllowed);
  if (!core.persistence.pending().empty()) {
    writer(core.termTicket - core.persistence.newestTicket());
    writer(core.ownVoteTicket - core.persistence.newestTicket());
  }
  for (const auto& pending : core.persistence.pending()) {
    writer(pending.ticket - core.persistence.newestTicket())(pending.lastLogIndex)(pending.lastLogTerm)(pending.failed);
    writer(pending.inFlight);
    writer(pending.retryAt)(static_cast<std::int64_t>(pending.waited.count()));
  }
  for (const auto& [ticket, held] : core.persistence.held())
    writer(ticket - core.persistence.newestTicket())(held.to)(encodeMessage(held.message));
  return writer.take();
}
}  // namespace zinccleat::consensus
