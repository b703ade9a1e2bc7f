// The messages between members of the replicated log, one type for each kind. The sender's identity travels beside
// the message, in the frame.
#pragma once
#include <variant>

#include "consensus/cluster_config.hpp"
#include "transport/messages.hpp"
namespace zinccleat::consensus {
// A candidate asks for a vote, or (pre-vote) whether it would get one.
struct VoteRequest {
  std::int64_t term = 0;  // the term that the candidate stands for; with `preVote` one that it has not entered yet
  bool preVote = false;
  // The leader of this term has given up its lease and asked the candidate to stand; 0: nobody has.
  std::int64_t transferredTerm = 0;
  // The candidate led this term in an earlier life of its process, so that term's lease is void; 0: it did not.
  std::int64_t endedLeaseTerm = 0;
  std::int64_t lastLogIndex = 0, lastLogTerm = 0;  // the end of the candidate's log
  template <class V>
  void fields(V& v) {
    v("term", term), v("preVote", preVote), v("transferredTerm", transferredTerm);
    v("endedLeaseTerm", endedLeaseTerm), v("lastLogIndex", lastLogIndex), v("lastTerm", lastLogTerm);
  }
};
// A vote granted. A refusal is not answered.
struct VoteResponse {
  std::int64_t term = 0;
  bool preVote = false;
  template <class V>
  void fields(V& v) {
    v("term", term), v("preVote", preVote);
  }
};
// Entries after `prevLogIndex`, or none: a heartbeat. Whoever follows it promises the leader's lease.
struct AppendEntries {
  std::int64_t term = 0;
  std::int64_t prevLogIndex = 0, prevLogTerm = 0;
  std::int64_t commitIndex = 0;
  std::int64_t heartbeatId = 0;  // answered, so that the leader knows since when it was promised its lease
  bool leaderHasLease = false;
  std::vector<transport::LogEntry> entries;
  template <class V>
  void fields(V& v) {
    v("term", term), v("prevLogIndex", prevLogIndex), v("prevLogTerm", prevLogTerm);
    v("commitIndex", commitIndex), v("heartbeatId", heartbeatId), v("leaderHasLease", leaderHasLease);
    v("entries", entries);
  }
};
struct AppendEntriesResponse {
  std::int64_t term = 0;
  std::int64_t heartbeatId = 0;  // of the message answered; 0: sent when a sync ended
  // Up to here the log is the leader's and on the disk. With `mismatch`: send what comes after this number; below 0
  // the sender holds nothing yet, not even the configuration.
  std::int64_t matchIndex = 0;
  bool mismatch = false;
  template <class V>
  void fields(V& v) {
    v("term", term), v("heartbeatId", heartbeatId), v("matchIndex", matchIndex), v("mismatch", mismatch);
  }
};
struct InstallSnapshot {
  std::int64_t term = 0;
  std::int64_t lastIncludedIndex = 0, lastIncludedTerm = 0;  // the last entry that the snapshot covers
  std::string config;                                        // see `encodeConfig`
  std::string state;
  std::int64_t commitIndex = 0;
  template <class V>
  void fields(V& v) {
    v("term", term), v("lastLogIndex", lastIncludedIndex), v("lastTerm", lastIncludedTerm), v("config", config),
        v("state", state);
    v("commitIndex", commitIndex);
  }
};
// The leader of `term` has given up its lease: the receiver stands for election at once.
struct TransferLeadership {
  std::int64_t term = 0;
  template <class V>
  void fields(V& v) {
    v("term", term);
  }
};
// A member that is no voter wants to be told of the log. Passed on once to the leader by whoever knows it.
struct JoinRequest {
  std::string member;
  bool forwarded = false;
  template <class V>
  void fields(V& v) {
    v("member", member), v("forwarded", forwarded);
  }
};
// A member is about to end and asks whether the others can do without it.
struct LeaveRequest {
  std::int64_t term = 0;
  std::int64_t requestId = 0;  // drawn for each leave, so that an answer to an earlier life's is none
  template <class V>
  void fields(V& v) {
    v("term", term), v("requestId", requestId);
  }
};
// The member may end: it is out of the committed configuration or the change would help nobody, and a majority
// without it holds on disk all that is committed.
struct LeaveResponse {
  std::int64_t term = 0;
  std::int64_t requestId = 0;
  template <class V>
  void fields(V& v) {
    v("term", term), v("requestId", requestId);
  }
};
// The body of a large write, sent ahead by the node that took it; entries then name its digest only.
struct EntryBody {
  std::string digest, body;
  template <class V>
  void fields(V& v) {
    v("digest", digest), v("body", body);
  }
};
using ConsensusMessage = std::variant<VoteRequest, VoteResponse, AppendEntries, AppendEntriesResponse, InstallSnapshot,
                                      TransferLeadership, JoinRequest, LeaveRequest, LeaveResponse, EntryBody>;

// One byte for the type, then the Avro record.
std::string encodeMessage(const ConsensusMessage& message);
// Fails on an unknown type or a record that does not parse.
Result<ConsensusMessage> decodeMessage(std::string_view bytes);
}  // namespace zinccleat::consensus
