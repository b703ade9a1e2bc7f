/// The messages between members of the replicated log, one type for each kind. The sender's identity travels beside
/// the message, in the frame. The names in the `fields` lists are the serializer's: they stay when a member is renamed.
#pragma once
#include <variant>

#include "consensus/cluster_config.hpp"
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// Raft's RequestVote: a candidate requests a vote, or (pre-vote) asks whether it would get one.
struct VoteRequest {
  std::int64_t term = 0;  ///< the candidate's term; in a pre-vote the one that it would enter
  bool preVote = false;
  /// The leader of this term has given up its lease and told the candidate to stand; 0: no transfer.
  std::int64_t transferredTerm = 0;
  /// The candidate led this term before its process restarted, so that term's lease is void; 0: it did not.
  std::int64_t endedLeaseTerm = 0;
  std::int64_t lastLogIndex = 0, lastLogTerm = 0;  ///< the last entry of the candidate's log
  template <class V>
  void fields(V& v) {
    v("term", term), v("preVote", preVote), v("transferredTerm", transferredTerm);
    v("endedLeaseTerm", endedLeaseTerm), v("lastLogIndex", lastLogIndex), v("lastTerm", lastLogTerm);
  }
};
/// A vote granted. A refusal is not answered.
struct VoteResponse {
  std::int64_t term = 0;  ///< the request's
  bool preVote = false;
  template <class V>
  void fields(V& v) {
    v("term", term), v("preVote", preVote);
  }
};
/// What later versions have added to AppendEntries.
struct AppendEntriesExtension {
  std::int64_t leaseMs = 0;  ///< how long the promise of the leader's lease is to last; 0: `RaftOptions::maxLease`
  bool empty() const { return leaseMs == 0; }
  template <class V>
  void fields(V& v) {
    v("leaseMs", leaseMs);
  }
};
/// Entries after `prevLogIndex`, or none: a heartbeat. Whoever accepts it promises the leader its lease.
struct AppendEntries {
  std::int64_t term = 0;
  std::int64_t prevLogIndex = 0, prevLogTerm = 0;  ///< the entry before the first one here
  std::int64_t commitIndex = 0;                    ///< the leader's
  std::int64_t heartbeatId = 0;                    ///< echoed in the answer: tells the leader which one was answered
  bool leaderHasLease = false;
  std::vector<transport::LogEntry> entries;
  AppendEntriesExtension extension;
  template <class V>
  void fields(V& v) {
    v("term", term), v("prevLogIndex", prevLogIndex), v("prevLogTerm", prevLogTerm);
    v("commitIndex", commitIndex), v("heartbeatId", heartbeatId), v("leaderHasLease", leaderHasLease);
    v("entries", entries);
  }
};
/// The answer to AppendEntries and InstallSnapshot, also sent when a sync completes, and to any message of an older
/// term.
struct AppendEntriesResponse {
  std::int64_t term = 0;
  std::int64_t heartbeatId = 0;  ///< of the message answered; 0: none
  /// Up to here the log equals the leader's and is on the disk. With `mismatch`: send what comes after this index;
  /// below 0 the sender has no configuration yet and needs a snapshot.
  std::int64_t matchIndex = 0;
  bool mismatch = false;
  template <class V>
  void fields(V& v) {
    v("term", term), v("heartbeatId", heartbeatId), v("matchIndex", matchIndex), v("mismatch", mismatch);
  }
};
/// A snapshot in place of entries that the leader no longer has.
struct InstallSnapshot {
  std::int64_t term = 0;
  std::int64_t lastIncludedIndex = 0, lastIncludedTerm = 0;  ///< the last entry that the snapshot covers
  std::string config;                                        ///< see `encodeConfig`
  std::string state;
  std::int64_t commitIndex = 0;  ///< not read any more; kept for the wire format
  template <class V>
  void fields(V& v) {
    v("term", term), v("lastLogIndex", lastIncludedIndex), v("lastTerm", lastIncludedTerm), v("config", config);
    v("state", state), v("commitIndex", commitIndex);
  }
};
/// The leader of `term` has given up its lease: the receiver stands for election at once.
struct TransferLeadership {
  std::int64_t term = 0;
  template <class V>
  void fields(V& v) {
    v("term", term);
  }
};
/// A member asks to receive the log. A follower forwards it once to the leader, if it knows one.
struct JoinRequest {
  std::string member;      ///< who wants to join
  bool forwarded = false;  ///< sent by a follower in its place
  template <class V>
  void fields(V& v) {
    v("member", member), v("forwarded", forwarded);
  }
};
/// A member is about to exit for good or for a restart, and asks whether the others can do without it.
struct LeaveRequest {
  std::int64_t term = 0;
  std::int64_t requestId = 0;  ///< drawn for each leave, so that the answer to an earlier process does not count
  template <class V>
  void fields(V& v) {
    v("term", term), v("requestId", requestId);
  }
};
/// The member may exit: it is out of the committed configuration or the change would help nobody, and a majority
/// without it has on disk all that is committed. A refusal is not answered.
struct LeaveResponse {
  std::int64_t term = 0;
  std::int64_t requestId = 0;  ///< the request's
  template <class V>
  void fields(V& v) {
    v("term", term), v("requestId", requestId);
  }
};
/// The body of a large write, sent ahead by the node that accepted it; entries then name its digest only.
struct EntryBody {
  std::string digest, body;
  template <class V>
  void fields(V& v) {
    v("digest", digest), v("body", body);
  }
};
/// Any of them. The order is the wire's: a message's index here is its type.
using ConsensusMessage = std::variant<VoteRequest, VoteResponse, AppendEntries, AppendEntriesResponse, InstallSnapshot,
                                      TransferLeadership, JoinRequest, LeaveRequest, LeaveResponse, EntryBody>;

/// One byte for the type, then the Avro record.
std::string encodeMessage(const ConsensusMessage& message);
/// @return `ErrorCode::corruption` for an unknown type or a record that does not parse.
Result<ConsensusMessage> decodeMessage(std::string_view bytes);
}  // namespace zinccleat::consensus
