/// The messages between members of the replicated log. The frame around a message carries the identity of the sender.
/// The quoted names in the `fields` lists are part of the wire format: a quoted name stays when its member is renamed.
#pragma once
#include <variant>

#include "consensus/cluster_config.hpp"
#include "transport/messages.hpp"
namespace zinccleat::consensus {
/// Raft's RequestVote: a candidate requests a vote. With `preVote`, it asks whether the receiver would vote for it.
struct VoteRequest {
  std::int64_t term = 0;  ///< the candidate's term; in a pre-vote the term that the candidate would enter
  bool preVote = false;
  /// The leader of this term has given up its lease and transferred the leadership to the candidate; 0: no transfer.
  std::int64_t transferredTerm = 0;
  /// The candidate was the leader of this term before its process restarted, so the lease of this term is void; 0: the
  /// candidate was not the leader of the term before `term`.
  std::int64_t endedLeaseTerm = 0;
  std::int64_t lastLogIndex = 0, lastLogTerm = 0;  ///< the last entry of the candidate's log
  template <class V>
  void fields(V& v) {
    v("term", term), v("preVote", preVote), v("transferredTerm", transferredTerm);
    v("endedLeaseTerm", endedLeaseTerm), v("lastLogIndex", lastLogIndex), v("lastTerm", lastLogTerm);
  }
};
/// A granted vote. A member that refuses its vote sends no response.
struct VoteResponse {
  std::int64_t term = 0;  ///< the term of the request
  bool preVote = false;
  template <class V>
  void fields(V& v) {
    v("term", term), v("preVote", preVote);
  }
};
/// The fields that later versions of the program have added to AppendEntries.
struct AppendEntriesExtension {
  std::int64_t leaseMs = 0;  ///< duration of the lease promise that the leader asks for; 0: `RaftOptions::maxLease`
  bool empty() const { return leaseMs == 0; }
  template <class V>
  void fields(V& v) {
    v("leaseMs", leaseMs);
  }
};
/// The entries after `prevLogIndex`; a heartbeat has none. A member that accepts the message promises the leader a
/// lease: not to help elect another leader while the lease lasts.
struct AppendEntries {
  std::int64_t term = 0;
  std::int64_t prevLogIndex = 0, prevLogTerm = 0;  ///< the log entry before the first of `entries`
  std::int64_t commitIndex = 0;                    ///< the commit index of the leader
  std::int64_t heartbeatId = 0;                    ///< echoed in the response to identify the answered message
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
/// The response to AppendEntries and InstallSnapshot. It is also sent when a sync completes, and as the response to a
/// message of an older term.
struct AppendEntriesResponse {
  std::int64_t term = 0;
  std::int64_t heartbeatId = 0;  ///< the `heartbeatId` of the AppendEntries that is answered; 0: none
  /// The sender's log equals the leader's up to this index, and that part is on the sender's disk. With `mismatch`:
  /// the leader is to send the entries after this index; a negative value means that the sender has no configuration
  /// yet and needs a snapshot.
  std::int64_t matchIndex = 0;
  bool mismatch = false;
  template <class V>
  void fields(V& v) {
    v("term", term), v("heartbeatId", heartbeatId), v("matchIndex", matchIndex), v("mismatch", mismatch);
  }
};
/// Raft's InstallSnapshot: replaces entries that the leader's log no longer contains.
struct InstallSnapshot {
  std::int64_t term = 0;
  std::int64_t lastIncludedIndex = 0, lastIncludedTerm = 0;  ///< the last entry that the snapshot covers
  std::string config;                                        ///< see `encodeConfig`
  std::string state;
  std::int64_t commitIndex = 0;  ///< ignored by receivers; part of the wire format
  template <class V>
  void fields(V& v) {
    v("term", term), v("lastLogIndex", lastIncludedIndex), v("lastTerm", lastIncludedTerm), v("config", config);
    v("state", state), v("commitIndex", commitIndex);
  }
};
/// Raft's TimeoutNow: the leader of `term` has given up its lease, and the receiver starts an election at once.
struct TransferLeadership {
  std::int64_t term = 0;
  template <class V>
  void fields(V& v) {
    v("term", term);
  }
};
/// A member asks to receive the log. A follower that knows the leader forwards the request to the leader; a forwarded
/// request is not forwarded again.
struct JoinRequest {
  std::string member;      ///< the member that wants to join
  bool forwarded = false;  ///< a follower sent this request on behalf of `member`
  template <class V>
  void fields(V& v) {
    v("member", member), v("forwarded", forwarded);
  }
};
/// A member that is about to exit, permanently or for a restart, asks the leader whether the exit is safe.
struct LeaveRequest {
  std::int64_t term = 0;
  std::int64_t requestId = 0;  ///< random for each leave: a response to an earlier process has another id
  template <class V>
  void fields(V& v) {
    v("term", term), v("requestId", requestId);
  }
};
/// Allows the member to exit. Either the member is out of the committed configuration, or removing it would improve
/// nothing and a majority without it has all committed entries on disk. A leader that refuses sends no response.
struct LeaveResponse {
  std::int64_t term = 0;
  std::int64_t requestId = 0;  ///< the `requestId` of the request
  template <class V>
  void fields(V& v) {
    v("term", term), v("requestId", requestId);
  }
};
/// The body of a large write, which the node that accepted the write sends ahead of the log entry. The entry then
/// contains only the digest of the body.
struct EntryBody {
  std::string digest, body;
  template <class V>
  void fields(V& v) {
    v("digest", digest), v("body", body);
  }
};
/// Any consensus message. The order is part of the wire format: the index of an alternative is its type byte.
using ConsensusMessage = std::variant<VoteRequest, VoteResponse, AppendEntries, AppendEntriesResponse, InstallSnapshot,
                                      TransferLeadership, JoinRequest, LeaveRequest, LeaveResponse, EntryBody>;

/// Encodes a message as one type byte followed by the Avro record.
std::string encodeMessage(const ConsensusMessage& message);
/// Decodes the result of `encodeMessage`.
/// @return `ErrorCode::corruption` for an unknown type or a record that does not parse.
Result<ConsensusMessage> decodeMessage(std::string_view bytes);
}  // namespace zinccleat::consensus
