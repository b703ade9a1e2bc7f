/// The messages between core machines and access machines, and the messages between core machines that are not part of
/// the consensus protocol.
///
/// A request that expects a response carries a `requestId`, which the response repeats. The sender takes the ids from a
/// counter for each type of request and uses no id twice in one incarnation, so that it recognises and drops a late
/// response. `RequestResponse` checks each pair of messages at compile time. Each message declares the field itself
/// instead of inheriting it, because messages are aggregates that are built with designated initializers.
///
/// Fields whose names end in `Ms` are in milliseconds. An index is the index of a log entry; 0 is the position before
/// the first entry.
#pragma once
#include <concepts>

#include "transport/envelope.hpp"
#include "transport/lease_records.hpp"
#include "transport/messages.hpp"
#include "transport/platform_records.hpp"
#include "transport/rollout_records.hpp"
#include "transport/warmup_records.hpp"
namespace zinccleat::transport {
/// A message with a `requestId`.
template <class T>
concept CarriesRequestId = requires(T message) {
  { message.requestId } -> std::same_as<std::int64_t&>;
};
/// A request type and its response type.
template <class Request, class Response>
concept RequestResponse = CarriesRequestId<Request> && CarriesRequestId<Response> && Request::kType != Response::kType;

// --- between core machines ---

/// A write forwarded to the leader. Forwarding a write repeatedly is harmless, because the operation id identifies it.
struct SubmitEntry {
  static constexpr auto kType = MessageType::submitEntry;
  LogEntry entry;
  template <class V>
  void fields(V& v) {
    v("entry", entry);
  }
};
/// Whether the receiver of a `SubmitEntry` has appended the write to its log. A member rejects the write if it is not
/// the leader or lacks the entry's body. The sender learns from its own replica whether the write was committed.
struct SubmitEntryResponse {
  static constexpr auto kType = MessageType::submitEntryResponse;
  bool accepted = false;
  template <class V>
  void fields(V& v) {
    v("accepted", accepted);
  }
};
/// Asks the leader for its commit index. A replica that has applied the log up to this index may serve a linearizable
/// read (ReadIndex, Ongaro's dissertation, section 6.4).
struct ReadIndexRequest {
  static constexpr auto kType = MessageType::readIndexRequest;
  std::int64_t requestId = 0;
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
  }
};
/// The leader's commit index.
struct ReadIndexResponse {
  static constexpr auto kType = MessageType::readIndexResponse;
  std::int64_t requestId = 0;
  bool underLease = false;       ///< the sender leads with a valid lease; otherwise `commitIndex` is meaningless
  std::int64_t commitIndex = 0;  ///< the commit index at the time of the request or later
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
    v("underLease", underLease);
    v("commitIndex", commitIndex);
  }
};
static_assert(RequestResponse<ReadIndexRequest, ReadIndexResponse>);

/// The zone of a core machine.
struct MemberZone {
  std::string address;  ///< the machine's IP address
  std::string zone;
  template <class V>
  void fields(V& v) {
    v("address", address);
    v("zone", zone);
  }
  bool operator==(const MemberZone&) const = default;
};
/// The time since a runner's last heartbeat.
struct RunnerAge {
  std::string id;
  std::int64_t ageMs = 0;  ///< time since the runner's newest heartbeat
  template <class V>
  void fields(V& v) {
    v("id", id);
    v("ageMs", ageMs);
  }
};
/// Runner heartbeats that a core machine other than the leader has received. The sender repeats a batch until it is
/// acknowledged, and occasionally sends an empty batch so that the leader knows the sender's zone.
struct HeartbeatBatch {
  static constexpr auto kType = MessageType::heartbeatBatch;
  struct Extension {
    std::string zone;  ///< zone of the sender
    bool empty() const { return zone.empty(); }
    template <class V>
    void fields(V& v) {
      v("zone", zone);
    }
  };
  std::int64_t number = 0;  ///< sequence number of the batch
  std::vector<RunnerAge> runners;
  Extension extension{};
  template <class V>
  void fields(V& v) {
    v("number", number);
    v("runners", runners);
  }
};
/// Acknowledges a `HeartbeatBatch`. Sent only by a leader with a valid lease.
struct HeartbeatBatchResponse {
  static constexpr auto kType = MessageType::heartbeatBatchResponse;
  struct Extension {
    std::vector<MemberZone> members;  ///< the core machines that the leader has recently heard from
    bool empty() const { return members.empty(); }
    template <class V>
    void fields(V& v) {
      v("members", members);
    }
  };
  std::int64_t number = 0;  ///< sequence number of the acknowledged batch
  Extension extension{};
  template <class V>
  void fields(V& v) {
    v("number", number);
  }
};

// --- cluster status and the replicated log ---

/// The progress of an agent, sent every second and after a certain number of received entries.
struct AgentState {
  static constexpr auto kType = MessageType::agentState;
  std::int64_t lastApplied = 0;
  std::vector<std::string> view;  ///< a sample of the sender's `PartialView`; empty in most messages
  template <class V>
  void fields(V& v) {
    v("lastApplied", lastApplied);
    v("view", view);
  }
};
/// The current leader as known to the sender. Sent in response to an `AgentState`, and to all agents after a change.
struct ClusterStatus {
  static constexpr auto kType = MessageType::clusterStatus;
  struct Extension {
    /// The core machines that the sender knows to be up. Each of them streams the log to the agents in its zone. Sent
    /// together with `voters`.
    std::vector<MemberZone> members;
    bool empty() const { return members.empty(); }
    template <class V>
    void fields(V& v) {
      v("members", members);
    }
  };
  std::int64_t term = 0;
  std::string leader;               ///< empty: unknown
  std::vector<std::string> voters;  ///< empty: unchanged since the last message on this link
  std::int64_t commitIndex = 0;
  std::vector<std::string> view;  ///< a sample of the sender's `PartialView`
  Extension extension{};
  template <class V>
  void fields(V& v) {
    v("term", term);
    v("leader", leader);
    v("voters", voters);
    v("commitIndex", commitIndex);
    v("view", view);
  }
};
/// Subscribes to the committed log entries after an index.
struct FollowLog {
  static constexpr auto kType = MessageType::followLog;
  struct Extension {
    std::string zone;          ///< zone of the sender; a core machine of this zone serves the sender, leader or not
    bool unsubscribe = false;  ///< true: the message ends the subscription
    bool empty() const { return zone.empty() && !unsubscribe; }
    template <class V>
    void fields(V& v) {
      v("zone", zone);
      v("unsubscribe", unsubscribe);
    }
  };
  std::int64_t lastApplied = 0;  ///< 0: the sender has no state and needs the complete state
  std::string cachedDigest;      ///< digest of the configuration that the sender has cached and does not need again
  bool refetch = false;          ///< the sender's state is incomplete: the response must omit nothing
  Extension extension{};
  template <class V>
  void fields(V& v) {
    v("lastApplied", lastApplied);
    v("cachedDigest", cachedDigest);
    v("refetch", refetch);
  }
};
/// Committed log entries for a subscriber, in order of their index.
struct FeedEntries {
  static constexpr auto kType = MessageType::feedEntries;
  std::int64_t term = 0;
  std::int64_t newestIndex = 0;  ///< the newest index that the sender knows to be committed
  std::vector<LogEntry> entries;
  template <class V>
  void fields(V& v) {
    v("term", term);
    v("newestIndex", newestIndex);
    v("entries", entries);
  }
};
/// A state snapshot for a subscriber that lags too far behind to catch up from log entries.
struct FeedSnapshot {
  static constexpr auto kType = MessageType::feedSnapshot;
  std::int64_t term = 0;
  std::int64_t lastIncludedIndex = 0;  ///< index of the last log entry that the state contains
  std::string state;                   ///< see `ReplicatedState::snapshotFor`
  template <class V>
  void fields(V& v) {
    v("term", term);
    v("lastIncludedIndex", lastIncludedIndex);
    v("state", state);
  }
};
/// The body of a large write, sent before its log entry is committed. The log entry then carries only the digest.
struct BodyAhead {
  static constexpr auto kType = MessageType::bodyAhead;
  std::string digest;
  std::string body;
  template <class V>
  void fields(V& v) {
    v("digest", digest);
    v("body", body);
  }
};

// --- leases, quotas and prefix hints ---

/// A proxy's request for a lease, with the proxy's reports on quotas, load and runners for the leader.
struct LeaseRequest {
  static constexpr auto kType = MessageType::leaseRequest;
  struct Extension {
    /// Sent while runners are warming up, and whenever the nested extension is sent.
    struct WarmupExtension {
      std::string warmupZone;      ///< the sender's zone, for which the sender requests `WarmupGrant`s
      PlatformReport extension{};  ///< sent if the fleet uses functions of its platform
      bool empty() const { return warmupZone.empty() && extension.empty(); }
      template <class V>
      void fields(V& v) {
        v("warmupZone", warmupZone);
      }
    };
    std::vector<RolloutReport> rollouts;  ///< reports on rollouts in progress
    WarmupExtension extension{};
    bool empty() const { return rollouts.empty() && extension.empty(); }
    template <class V>
    void fields(V& v) {
      v("rollouts", rollouts);
    }
  };
  std::int64_t requestId = 0;
  std::vector<QuotaDemand> demand;
  std::vector<QuotaHolding> holds;
  std::vector<ZoneLoad> load;
  std::vector<RunnerAttempts> attempts;  // attempts since the last request
  std::int64_t outliersVersion = 0;
  Extension extension{};
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("demand", demand), v("holds", holds), v("load", load), v("attempts", attempts);
    v("outliersVersion", outliersVersion);
  }
};
struct LeaseResponse {
  static constexpr auto kType = MessageType::leaseResponse;
  struct Extension {
    /// Sent while runners are warming up, and whenever the nested extension is sent.
    struct WarmupExtension {
      std::vector<WarmupGrant> warmups;
      PlatformReportAnswer extension{};  ///< response to a `PlatformReport`
      bool empty() const { return warmups.empty() && extension.empty(); }
      template <class V>
      void fields(V& v) {
        v("warmups", warmups);
      }
    };
    std::vector<ExposureGrant> exposures;  ///< for the rollouts that the request reported on
    WarmupExtension extension{};
    bool empty() const { return exposures.empty() && extension.empty(); }
    template <class V>
    void fields(V& v) {
      v("exposures", exposures);
    }
  };
  std::int64_t requestId = 0;
  bool granted = false;  // if false, all fields below are meaningless
  std::int64_t commitIndex = 0;
  std::int64_t accessMachines = 0;  // number of access machines that the leader has recently heard from
  std::vector<QuotaGrant> grants;
  std::int64_t outliersVersion = 0;
  std::vector<RunnerEjection> outliers;  // empty if the request already had this `outliersVersion`
  Extension extension{};
  template <class V>
  void fields(V& v) {
    v("requestId", requestId), v("granted", granted), v("commitIndex", commitIndex);
    v("accessMachines", accessMachines), v("grants", grants), v("outliersVersion", outliersVersion);
    v("outliers", outliers);
  }
};
/// Requests quota tokens for client requests that are currently waiting.
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
/// Asks whether a prompt prefix is cached at the partner site and not at this one.
struct PrefixLookupRequest {
  static constexpr auto kType = MessageType::prefixLookupRequest;
  std::int64_t requestId = 0;
  std::int64_t promptPrefix = 0;  ///< the prefix's hash
  std::int64_t tenantDigest = 0;  ///< the same on all machines of the site; never leaves the site
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
    v("promptPrefix", promptPrefix);
    v("tenantDigest", tenantDigest);
  }
};
/// The addresses at which the partner site accepts requests.
struct PrefixLookupResponse {
  static constexpr auto kType = MessageType::prefixLookupResponse;
  std::int64_t requestId = 0;
  std::vector<std::string> access;  ///< addresses of the partner's access nodes; empty: keep the prompt at this site
  template <class V>
  void fields(V& v) {
    v("requestId", requestId);
    v("access", access);
  }
};
static_assert(RequestResponse<PrefixLookupRequest, PrefixLookupResponse>);
static_assert(RequestResponse<LeaseRequest, LeaseResponse>);
static_assert(RequestResponse<QuotaTokenRequest, QuotaTokenResponse>);
}  // namespace zinccleat::transport
