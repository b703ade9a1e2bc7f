// The fingerprint of a member: a text of all state that affects its further behaviour. The model checker treats two
// states with equal fingerprints as the same state, so the fingerprint must include each field of `RaftCore` that a
// transition reads.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
constexpr Duration kMaxRelevantAge{6000};  // ages above this limit have the same effect, so they are written alike

class FingerprintWriter {
 public:
  explicit FingerprintWriter(TimePoint now) : now_(now) {}
  FingerprintWriter& operator()(std::int64_t value) {
    text_ += std::to_string(value);
    text_ += ',';
    return *this;
  }
  FingerprintWriter& operator()(const std::string& value) {
    text_ += value;
    text_ += ',';
    return *this;
  }
  // Writes a time relative to the present.
  FingerprintWriter& operator()(TimePoint at) {
    const auto relative = at == TimePoint{} ? -kMaxRelevantAge : std::max(-kMaxRelevantAge, toDuration(at - now_));
    return (*this)(static_cast<std::int64_t>(relative.count()));
  }
  // Writes a time that has no effect any more once it has passed.
  FingerprintWriter& deadline(TimePoint at) { return (*this)(std::max(at, now_)); }
  std::string text() { return std::move(text_); }

 private:
  TimePoint now_;
  std::string text_;
};
void writeLog(FingerprintWriter& writer, const RaftLog& log) {
  const auto& snapshot = log.snapshot();
  writer(snapshot.lastIncludedIndex)(snapshot.lastIncludedTerm)(encodeConfig(snapshot.config));
  for (const auto& entry : log.entries())
    writer(entry.index)(entry.term)(static_cast<std::int64_t>(entry.kind))(entry.operationId)(entry.body);
}
void writePeer(FingerprintWriter& writer, const MemberId& peer, const PeerProgress& progress) {
  writer(peer)(progress.nextIndex)(progress.matchIndex)(progress.sendBodiesUpTo)(progress.lastHeardAt);
  writer(progress.lastSentAt)(progress.lastProgressAt)(progress.leasePromisedFrom)(progress.lastLeaveRequestAt);
  writer(progress.firstLeaveRequestAt)(progress.snapshotInFlight)(progress.leaveGrantedAt);
}
void writeLeading(FingerprintWriter& writer, const LeaderState& leading) {
  for (const auto& [peer, progress] : leading.peers)
    writePeer(writer, peer, progress);
  writer(leading.heartbeatId);  // absolute, because responses in flight contain heartbeat ids
  for (const auto& [id, sentAt] : leading.heartbeatSentAt)
    writer(id)(sentAt);
  writer(leading.firstIndexOfTerm)(leading.lastHeartbeatAt)(leading.lastQuorumAt)(leading.commitAheadOfDiskSince);
}
// Writes tickets relative to the newest ticket, since the absolute values of tickets affect nothing.
void writePersistence(FingerprintWriter& writer, const RaftCore& core) {
  const auto newest = core.persistence.newestTicket();
  writer(static_cast<std::int64_t>(core.syncAllowance().count()));
  if (!core.persistence.pending().empty())
    writer(core.term.recordTicket - newest)(core.election.ownVoteTicket - newest)(core.election.voteTicket - newest);
  for (const auto& pending : core.persistence.pending()) {
    writer(pending.ticket - newest)(pending.firstTicket -
                                    newest)(pending.lastLogIndex)(pending.lastLogTerm)(pending.failed);
    writer(pending.inFlight)(pending.retryAt)(static_cast<std::int64_t>(pending.pendingFor.count()));
  }
  for (const auto& deferred : core.persistence.deferred())
    writer(deferred.after - newest)(deferred.to)(encodeMessage(deferred.message));
}
}  // namespace

std::string RaftCore::fingerprint(TimePoint now) const {
  FingerprintWriter writer(now);
  writer(self)(term.current)(term.lastLed)(term.votedFor);
  writeLog(writer, log);
  writer(static_cast<std::int64_t>(role))(follower.leader)(log.commitIndex())(log.persistedIndex());
  writer(follower.matchIndex).deadline(follower.leasePromisedUntil).deadline(election.timeoutAt);
  writer(follower.leaderHeardAt)(follower.leaderHadLease)(term.restarted)(election.preVoting);
  writer(election.transferAccepted)(election.transferredTerm)(election.lastVoteRequestAt);
  writer.deadline(election.suppressedUntil)(lastTickAt);
  for (const auto& vote : election.votes)
    writer(vote);
  writer(static_cast<std::int64_t>(election.votes.size()));
  for (const auto& vote : election.preVotes)
    writer(vote);
  writeLeading(writer, leading);
  writer(membership.lastJoinRequestAt)(membership.lastLeaveRequestAt);
  writer(membership.leaving)(membership.exitAllowed);
  writePersistence(writer, *this);
  return writer.text();
}
}  // namespace zinccleat::consensus
