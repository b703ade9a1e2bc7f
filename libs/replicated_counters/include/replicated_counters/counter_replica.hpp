/// @file
/// One controller's replica of the counters. It tracks which increments it has accepted, how many disks store each of
/// them, and which increments this replica or its peers are missing. Every replica accepts increments and answers reads
/// independently, on either side of a network partition. After a partition has healed, the replicas exchange the
/// missing increments. Pure state machine: it takes events, returns actions and is passed the clock. Not thread-safe.
///
/// Guarantees:
/// - An increment is acknowledged once it is on this replica's disk and on the disks of `Options::copies` peers, or on
///   the disks of `Options::copies` + 1 peers, regardless of the local disk. In both cases at least one copy survives
///   the loss of `Options::copies` machines.
/// - If a network partition separates so many peers from this replica that fewer than `Options::copies` remain, the
///   disks of the remaining ones suffice; a replica without any acknowledges on its own disk alone. Each missing copy
///   takes evidence of a partition (`PartitionDetector`): a peer that is only silent may have ended or stand still, and
///   increments wait for its return. Within `kStartGrace` after the start, all copies are required.
/// - Peers are chosen by the recently measured response times of their disks, so one slow disk delays no caller.
/// - A read includes every increment that this incarnation of the replica has acknowledged. After a start the replica
///   answers no reads until it has caught up with its peers (`mayRead`).
/// - After two replicas can reach each other, an increment on one disk is copied to the other within about
///   `kReportInterval`, plus one round trip for each `kTransferBytes` of missing data.
/// - The id of an increment is kept for at least `kIdRetention` after the increment was merged here, and until every
///   peer has the increment on its disk. A known but silent peer blocks the folding of ids for up to
///   `kSilentPeerTimeout`, or `kRemovedPeerTimeout` if it was replaced. New increments are refused while
///   `kMaxRetainedIncrements` ids are kept.
#pragma once
#include <set>
#include <variant>

#include "replicated_counters/counter_state.hpp"
#include "replicated_counters/disk_time.hpp"
#include "replicated_counters/messages.hpp"
#include "replicated_counters/partition_detector.hpp"
namespace zinccleat::replicated_counters {
/// Sends a progress report to a peer.
struct SendReport {
  std::string to;  ///< address of the peer
  ProgressReport message;
};
/// Sends a request for missing increments to a peer.
struct SendRequest {
  std::string to;  ///< address of the peer
  TransferRequest message;
};
/// Sends increments to a peer.
struct SendTransfer {
  std::string to;  ///< address of the peer
  IncrementTransfer message;
};
/// Writes a batch to the disk. The owner calls `CounterReplica::persisted` when the write has finished. At most one
/// write is in progress at a time.
struct PersistBatch {
  IncrementBatch batch;
  bool full = false;  ///< the batch is a snapshot and makes all earlier records obsolete
};
/// Acknowledges an increment to its caller.
struct Acknowledge {
  std::int64_t callId = 0;
  bool hasAllCopies = true;  ///< false: a partition allows fewer than `CounterReplica::Options::copies`
};
/// Attempts to connect to a silent peer. The owner passes the `ConnectionAttempt` to `CounterReplica::receive`.
struct AttemptConnection {
  std::string to;  ///< address of the peer
};
using Action = std::variant<SendReport, SendRequest, SendTransfer, PersistBatch, Acknowledge, AttemptConnection>;

/// The status of one peer, as shown to operators.
struct PeerStatus {
  std::string address;
  std::string zone;               ///< empty until the first report from the peer
  bool reachable = false;         ///< a message arrived within `CounterReplica::kReachabilityTimeout`
  std::int64_t theyLack = 0;      ///< increments stored here that the peer has not reported as durable
  std::int64_t weLack = 0;        ///< increments that the peer has reported as durable and that are not stored here
  std::int64_t silentForMs = -1;  ///< time since the last message from the peer; -1: no message yet
  bool cutOff = false;            ///< there is evidence of a partition between this machine and the peer
  int unansweredAttempts = 0;     ///< connection attempts in a row that were not answered
  /// The last connection attempt that was answered while the peer was silent, if any.
  std::optional<transport::ConnectionAttempt> lastAnswer;
};

/// A replica of the counters. The guarantees are listed at the top of this file.
class CounterReplica {
 public:
  /// Configuration of a replica.
  struct Options {
    OriginId origin = 0;  ///< id of this incarnation of the process; never reused
    std::string zone;     ///< zone of this machine
    /// Number of peer disks that must store an increment, and number of machines whose simultaneous loss is tolerated.
    int copies = 2;
  };
  /// Interval between progress reports to all peers.
  static constexpr Duration kReportInterval{250};
  /// A peer counts as reachable for this long after its last message.
  static constexpr Duration kReachabilityTimeout{700};
  /// After this time without a message from a peer, connection attempts show why it is silent.
  static constexpr Duration kAttemptAfterSilence{400};
  /// For this long after the start, an increment is acknowledged only with the full number of `Options::copies`.
  static constexpr Duration kStartGrace{1500};
  /// A replica that started with records on its disk waits at most this long for reports from a majority before it
  /// answers reads.
  static constexpr Duration kCatchUpGrace{3000};
  /// A replica that started with an empty disk waits at most this long for reports from a majority before it answers
  /// reads. After this time it still needs a report from at least one peer.
  static constexpr Duration kEmptyCatchUpGrace{6000};
  /// Approximate size of one transfer, in bytes.
  static constexpr std::size_t kTransferBytes = 65536;
  /// Minimum time for which the id of an increment is kept.
  static constexpr Duration kIdRetention{std::chrono::minutes(30)};
  /// Maximum number of increments whose ids are kept; they take about 40 MB of memory.
  static constexpr std::size_t kMaxRetainedIncrements = 200'000;
  /// A peer that has been silent for this long no longer blocks the folding of ids.
  static constexpr Duration kSilentPeerTimeout{std::chrono::hours(24)};
  /// A peer that is no longer among the voters of the fleet's log, because another machine has replaced it, stops
  /// blocking the folding of ids once it has been silent for this long.
  static constexpr Duration kRemovedPeerTimeout = kIdRetention;

  CounterReplica(Options options, TimePoint now) : options_(std::move(options)), startedAt_(now), tickedAt_(now) {}

  /// Restores one record from the disk. Called once for each record, in order, before any other event.
  void recover(const IncrementBatch& record);

  /// Sets the addresses of the other controllers that are currently known. A peer that is no longer listed still counts
  /// while it is reachable.
  /// @param voters addresses of the voters of the fleet's log; a machine that was a voter and no longer is one has been
  /// replaced.
  void setPeers(const std::set<std::string>& addresses, const std::set<std::string>& voters = {});
  /// Adds an increment for a caller. An `Acknowledge` with this call id follows, unless `cancel` is called first.
  /// @return `ErrorCode::limitReached` if no more ids can be kept; the state is then unchanged.
  Result<void> add(TimePoint now, std::int64_t callId, const Increment& increment);
  /// Drops a call whose caller has given up. The increment may still be counted.
  void cancel(std::int64_t callId);
  void receive(TimePoint now, const std::string& from, const ProgressReport& report);
  void receive(TimePoint now, const std::string& from, const TransferRequest& request);
  void receive(TimePoint now, const std::string& from, const IncrementTransfer& transfer);
  /// An attempt to connect to a peer has ended.
  void receive(TimePoint now, const std::string& from, const transport::ConnectionAttempt& attempt);
  /// The write of the last `PersistBatch` has finished and the batch is durable.
  void persisted(TimePoint now);
  /// Handles timeouts. To be called several times within `PartitionDetector::kMaxPause`; a longer interval counts as a
  /// pause of the process.
  void tick(TimePoint now);
  /// Removes and returns the pending actions.
  std::vector<Action> takeActions();

  /// Whether the replica has caught up since its start and may answer reads.
  bool mayRead() const { return caughtUp_; }
  const CounterState& state() const { return state_; }
  /// Number of calls that wait for copies on other disks.
  std::size_t pendingCalls() const { return pending_.size(); }
  /// Time since the last `tick`.
  Duration sinceTick(TimePoint now) const { return toDuration(now - tickedAt_); }
  std::vector<PeerStatus> peers(TimePoint now) const;

 private:
  using Sequences = std::map<OriginId, std::int64_t>;
  struct Peer {
    bool isMember = false;  // listed by `setPeers`
    bool wasVoter = false;
    bool isRemoved = false;  // was a voter and no longer is one
    std::string zone;
    std::optional<TimePoint> heardAt;
    PartitionDetector partition;
    Sequences durable;            // the progress that the peer last reported
    Sequences initiallyReported;  // the peer's first report to this incarnation
    bool hasReported = false;
    std::optional<TimePoint> requestedAt;  // when the outstanding transfer request was sent
    DiskTime diskTime;
    std::int64_t pushedThrough = 0;  // the last sequence of this incarnation that was pushed to the peer
  };
  struct PendingCall {
    std::int64_t callId = 0;
    CounterState::Position position;
    TimePoint since;
    bool pushedToAdditionalPeers = false;
    bool pushedToAllPeers = false;
  };
  /// The progress of all origins on the local disk at one moment. It shows how old the ids of increments are.
  struct Epoch {
    TimePoint at;
    Sequences reached;
  };
  bool isReachable(const Peer& peer, TimePoint now) const {
    return peer.heardAt && now - *peer.heardAt < kReachabilityTimeout;
  }
  /// Whether there is evidence of a partition between this machine and a silent peer.
  bool isCutOff(const Peer& peer, TimePoint now) const {
    return !isReachable(peer, now) && !isPaused(now) && peer.partition.isCutOff(now);
  }
  /// Whether this process was paused just now, so that it has not looked at what happened meanwhile.
  bool isPaused(TimePoint now) const { return now - tickedAt_ > PartitionDetector::kMaxPause; }
  Peer& recordContact(TimePoint now, const std::string& from);
  void detectPause(TimePoint now);
  void attemptConnections(TimePoint now);
  /// The number of peers whose disks must store an increment.
  int requiredCopies(TimePoint now) const;
  int assumedPeers() const;
  int remoteCopiesOf(const CounterState::Position& position) const;
  /// Whether an increment is on enough disks to be acknowledged.
  bool hasEnoughCopies(const CounterState::Position& position, int requiredCopies) const;
  bool isDurable(const CounterState::Position& position) const;
  void acknowledgeReplicatedCalls(TimePoint now);
  /// Sends an increment of this incarnation to the preferred peers, as many as are needed for its acknowledgement.
  void pushToPreferredPeers(std::int64_t sequence, TimePoint now);
  /// Sends a peer the increments of this incarnation that it is missing, up to `sequence`, because a caller waits for
  /// their acknowledgement.
  /// @return false if the peer already has them, or is missing more than one push can carry.
  bool pushTo(const std::string& address, std::int64_t sequence, TimePoint now);
  void pushToAdditionalPeers(PendingCall& call, TimePoint now);
  void pushToAllPeers(PendingCall& call, TimePoint now);
  /// The expected write time of the `Options::copies`th fastest disk among the reachable peers: the shortest time in
  /// which enough copies can be made.
  Duration expectedCopyTime(TimePoint now) const;
  bool isSlow(const DiskTime& disk, Duration expectedCopyTime, TimePoint now) const;
  /// The reachable peers, best first: fast disks before slow ones, then other zones before this replica's own zone,
  /// then an order that differs from replica to replica to spread the load.
  std::vector<std::string> peersByPreference(TimePoint now) const;
  void sendDeferredReports();
  void mergeReceived(const IncrementBatch& batch);
  void requestMissing(TimePoint now, const std::string& from);
  void persistIfIdle();
  void reportTo(const std::string& address);
  void reportToAll(TimePoint now);
  void updateCaughtUp(TimePoint now);
  bool hasReached(const Sequences& target) const;
  void foldOldIds(TimePoint now);
  void startFolding(TimePoint now);
  void finishFolding(TimePoint now);
  bool isPermanentlySilent(const Peer& peer, TimePoint now) const;
  bool allPeersHave(const Sequences& sequences, TimePoint now) const;

  Options options_;
  TimePoint startedAt_;
  TimePoint tickedAt_;
  CounterState state_;
  bool hadRecords_ = false;
  bool caughtUp_ = false;
  Sequences durable_;           // progress on the local disk
  IncrementBatch unpersisted_;  // merged, but not yet part of a write
  Sequences persisting_;        // progress on the local disk once the current write has finished
  bool isPersisting_ = false;
  std::size_t bytesSinceSnapshot_ = 0;
  std::size_t snapshotBytes_ = 0;
  int recordsSinceSnapshot_ = 0;
  bool snapshotIsDue_ = false;
  std::map<std::string, Peer> peers_;  // by address
  DiskTime ownDiskTime_;
  // By address: progress from urgent transfers, to be reported to the sender once it is durable.
  std::map<std::string, Sequences> deferredReports_;
  std::vector<PendingCall> pending_;
  std::deque<Epoch> epochs_;  // oldest first
  // All peers have the increments up to here. They are folded once all peers also have the increments up to
  // `foldBarrier_`.
  std::optional<Sequences> foldLimit_;
  Sequences foldBarrier_;
  TimePoint foldStartedAt_{};
  TimePoint reportedAt_{};
  TimePoint epochAt_{};
  std::vector<Action> actions_;
};
}  // namespace zinccleat::replicated_counters
