/// The messages between core machines and access machines, and those between core machines that the consensus does not
/// know of. Each question has a number that its answer brings back; the numbers of one asker never return in its life.
#pragma once
#include "transport/envelope.hpp"
#include "transport/lease_records.hpp"
#include "transport/messages.hpp"
namespace zinccleat::transport {
// --- between core machines ---

/// A write on its way to the leader. Sent again it is the same write, by its operation id.
struct SubmitEntry {
  static constexpr auto kType = MessageType::submitEntry;
  LogEntry entry;
  template <class V>
  void fields(V& v) {
    v("entry", entry);
  }
};
/// The leader has it, or not (it does not lead, or lacks the body). The sender learns the verdict from its own copy.
struct SubmitEntryResponse {
  static constexpr auto kType = MessageType::submitEntryResponse;
  bool accepted = false;
  template <class V>
  void fields(V& v) {
    v("accepted", accepted);
  }
};
/// How far is it committed? (Read index: who has applied that may answer a linearizable read.)
struct ReadIndexRequest {
  static constexpr auto kType = MessageType::readIndexRequest;
  std::int64_t requestId = 0;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
  }
};
struct ReadIndexResponse {
  static constexpr auto kType = MessageType::readIndexResponse;
  std::int64_t requestId = 0;
  bool underLease = false;  // else the number says nothing
  std::int64_t commitIndex = 0;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("underLease", underLease), v("commitIndex", commitIndex);
  }
};
struct RunnerAge {
  std::string id;
  std::int64_t ageMs = 0;  // since its newest beat
  template <class V>
  void fields(V& v) {
    v("id", id), v("ageMs", ageMs);
  }
};
/// Runners heard by a core machine that does not lead. Sent again until acknowledged.
struct HeartbeatBatch {
  static constexpr auto kType = MessageType::heartbeatBatch;
  std::int64_t number = 0;
  std::vector<RunnerAge> runners;
  template <class V>
  void fields(V& v) {
    v("number", number), v("runners", runners);
  }
};
/// From a leader with a valid lease only.
struct HeartbeatBatchResponse {
  static constexpr auto kType = MessageType::heartbeatBatchResponse;
  std::int64_t number = 0;
  template <class V>
  void fields(V& v) {
    v("number", number);
  }
};

// --- who leads, and the log ---

/// An agent says each second, and after so many receipts, how far it is.
struct AgentState {
  static constexpr auto kType = MessageType::agentState;
  std::int64_t lastApplied = 0;
  std::vector<std::string> view;  // a shuffled part of the sender's partial view; now and then
  template <class V>
  void fields(V& v) {
    v("lastApplied", lastApplied), v("view", view);
  }
};
/// Who leads, as far as the sender knows. The answer to an agent's state, and told to all when it changes.
struct ClusterStatus {
  static constexpr auto kType = MessageType::clusterStatus;
  std::int64_t term = 0;
  std::string leader;               // empty: unknown
  std::vector<std::string> voters;  // empty: as told before on this link
  std::int64_t commitIndex = 0;
  std::vector<std::string> view;
  template <class V>
  void fields(V& v) {
    v("term", term), v("leader", leader), v("voters", voters), v("commitIndex", commitIndex), v("view", view);
  }
};
/// From now on, send what comes after a number.
struct FollowLog {
  static constexpr auto kType = MessageType::followLog;
  std::int64_t lastApplied = 0;  // 0: all of it is wanted
  std::string cachedDigest;      // of the configuration held, which need not be sent again
  bool refetch = false;          // something is missing: nothing may be left out
  template <class V>
  void fields(V& v) {
    v("lastApplied", lastApplied), v("cachedDigest", cachedDigest), v("refetch", refetch);
  }
};
struct FeedEntries {
  static constexpr auto kType = MessageType::feedEntries;
  std::int64_t term = 0;
  std::int64_t newestIndex = 0;
  std::vector<LogEntry> entries;  // committed
  template <class V>
  void fields(V& v) {
    v("term", term), v("newestIndex", newestIndex), v("entries", entries);
  }
};
struct FeedSnapshot {
  static constexpr auto kType = MessageType::feedSnapshot;
  std::int64_t term = 0;
  std::int64_t number = 0;  // what it brings a copy to
  std::string state;        // see `ReplicatedState::snapshotFor`
  template <class V>
  void fields(V& v) {
    v("term", term), v("number", number), v("state", state);
  }
};
/// The body of a large write, ahead of its entry, which then names the digest only.
struct BodyAhead {
  static constexpr auto kType = MessageType::bodyAhead;
  std::string digest, body;
  template <class V>
  void fields(V& v) {
    v("digest", digest), v("body", body);
  }
};

// --- leases, quotas, hints ---

/// A proxy asks for its lease, and tells what the leader is to know of its machine.
struct LeaseRequest {
  static constexpr auto kType = MessageType::leaseRequest;
  std::int64_t requestId = 0;
  std::vector<QuotaDemand> demand;
  std::vector<QuotaHolding> holds;
  std::vector<ZoneLoad> load;
  std::vector<RunnerAttempts> attempts;  // since the last request
  std::int64_t outliersVersion = 0;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("demand", demand), v("holds", holds), v("load", load), v("attempts", attempts);
    v("outliersVersion", outliersVersion);
  }
};
struct LeaseResponse {
  static constexpr auto kType = MessageType::leaseResponse;
  std::int64_t requestId = 0;
  bool granted = false;  // else nothing below counts
  std::int64_t commitIndex = 0;
  std::int64_t accessMachines = 0;  // that were heard lately
  std::vector<QuotaGrant> grants;
  std::int64_t outliersVersion = 0;
  std::vector<RunnerEjection> outliers;  // empty where the sender of the request has this version
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("granted", granted), v("commitIndex", commitIndex);
    v("accessMachines", accessMachines), v("grants", grants), v("outliersVersion", outliersVersion);
    v("outliers", outliers);
  }
};
/// Tokens for requests that wait right now.
struct QuotaTokenRequest {
  static constexpr auto kType = MessageType::quotaTokenRequest;
  std::int64_t requestId = 0;
  std::vector<QuotaDemand> waiting;  // only `waitingRequests` is set
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("waiting", waiting);
  }
};
struct QuotaTokenResponse {
  static constexpr auto kType = MessageType::quotaTokenResponse;
  std::int64_t requestId = 0;
  bool granted = false;
  std::vector<QuotaGrant> grants;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("granted", granted), v("grants", grants);
  }
};
/// Does the partner site hold a prompt's opening that is not held here?
struct PrefixLookupRequest {
  static constexpr auto kType = MessageType::prefixLookupRequest;
  std::int64_t requestId = 0;
  std::int64_t opening = 0;       // its digest
  std::int64_t tenantDigest = 0;  // the same at all machines of the site; it stays inside the site
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("opening", opening), v("tenantDigest", tenantDigest);
  }
};
struct PrefixLookupResponse {
  static constexpr auto kType = MessageType::prefixLookupResponse;
  std::int64_t requestId = 0;
  std::vector<std::string> access;  // the partner's addresses; empty: it does not, or has not told
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("access", access);
  }
};
}  // namespace zinccleat::transport
