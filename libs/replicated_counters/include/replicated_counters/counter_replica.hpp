/// @file
/// One controller's replica of the counters: which increments it has accepted, on how many disks each of them is, and
/// what it lacks or others lack. Every replica accepts increments and answers reads by itself, on whichever side of a
/// partition it is; after the partition has healed the replicas exchange what they lack. Pure: events in, actions out,
/// the clock passed in. Not thread-safe.
///
/// Guarantees:
/// - An increment is acknowledged once it is on this disk and on the disks of `Options::copies` others, or of as many
///   as were recordContact within `kReachabilityTimeout`; or once it is on the disks of `Options::copies` + 1 others,
///   whatever this disk does. Either way the loss of `Options::copies` machines leaves one. A replica that hears nobody
///   acknowledges alone, though not within `kStartGrace` of its start: it may not have been recordContact yet.
/// - Which disks are asked first goes by how fast they answered lately: one that is slow holds no caller up.
/// - A read holds everything that this incarnation has acknowledged. After a start there is no read before the replica
///   has caught up with the others (`mayRead`).
/// - Whatever is on the disk of a replica is on those of all others about `kReportInterval` after they hear each other,
///   and one round trip for each `kTransferBytes`.
/// - An id is kept for `kIdRetention` at least after its increment was merged here, and until every peer has it on its
///   disk. A peer that is known and silent stops the folding of ids, unless it was replaced and is silent for
///   `kRemovedPeerTimeout`; beyond `kMaxRetainedIncrements` increments are
///   refused.
#pragma once
#include <set>
#include <variant>

#include "replicated_counters/counter_state.hpp"
#include "replicated_counters/disk_time.hpp"
#include "replicated_counters/messages.hpp"
namespace zinccleat::replicated_counters {
/// A message for another replica.
struct SendReport {
  std::string to;  ///< address of the peer
  ProgressReport message;
};
/// A message for another replica.
struct SendRequest {
  std::string to;  ///< address of the peer
  TransferRequest message;
};
/// A message for another replica.
struct SendTransfer {
  std::string to;  ///< address of the peer
  IncrementTransfer message;
};
/// Writes to the disk; to be answered by `CounterReplica::persisted`. There is one at a time.
struct PersistBatch {
  IncrementBatch batch;
  bool full = false;  ///< a snapshot: all records before it are obsolete
};
/// An increment is acknowledged.
struct Acknowledge {
  std::int64_t callId = 0;
};
using Action = std::variant<SendReport, SendRequest, SendTransfer, PersistBatch, Acknowledge>;

/// What an operator may see of a replica's peer.
struct PeerStatus {
  std::string address;
  std::string zone;               ///< empty: not recordContact yet
  bool reachable = false;         ///< recordContact within `CounterReplica::kReachabilityTimeout`
  std::int64_t theyLack = 0;      ///< increments that are here and not on its disk, as far as it has reported
  std::int64_t weLack = 0;        ///< increments that it has reported and that are not here
  std::int64_t silentForMs = -1;  ///< since it was last recordContact; -1: never
};

/// See the file's comment.
class CounterReplica {
 public:
  /// How it is set up.
  struct Options {
    OriginId origin = 0;  ///< of this incarnation, never used before
    std::string zone;     ///< of this machine
    int copies = 2;       ///< other disks that an increment is to be on: machines that may be lost at once
  };
  /// Progress is reported to all peers so often.
  static constexpr Duration kReportInterval{250};
  /// A peer counts as reachable for so long after it was recordContact.
  static constexpr Duration kReachabilityTimeout{700};
  /// For so long after the start nothing is acknowledged on fewer disks than `Options::copies` asks for.
  static constexpr Duration kStartGrace{1500};
  /// For so long after the start a replica whose disk held records waits to hear a majority before it answers reads.
  static constexpr Duration kCatchUpGrace{3000};
  /// The same for a replica whose disk was empty; it then needs one peer at least.
  static constexpr Duration kEmptyCatchUpGrace{6000};
  /// Bytes of one transfer, about.
  static constexpr std::size_t kTransferBytes = 65536;
  /// An id is kept for so long at least.
  static constexpr Duration kIdRetention{std::chrono::minutes(30)};
  /// Increments whose ids are kept at the most; about 40 MB.
  static constexpr std::size_t kMaxRetainedIncrements = 200'000;
  /// A peer that was silent for so long is given up: it stops the folding of ids no longer.
  static constexpr Duration kSilentPeerTimeout{std::chrono::hours(24)};
  /// The same for a machine that the fleet's log has removed from its voters: another has taken its place.
  static constexpr Duration kRemovedPeerTimeout = kIdRetention;

  CounterReplica(Options options, TimePoint now) : options_(std::move(options)), startedAt_(now) {}

  /// Takes over what the disk holds, a record after the other. Before any other event.
  void recover(const IncrementBatch& record);

  /// The other controllers that are known now, by address. One that is named no longer counts as long as it is
  /// recordContact.
  /// @param voters of the fleet's log, by address; a machine that was one and is none any more has been replaced.
  void setPeers(const std::set<std::string>& addresses, const std::set<std::string>& voters = {});
  /// A caller adds to a counter; an `Acknowledge` with this id follows, unless `cancel` comes first.
  /// @return `ErrorCode::limitReached` if no more ids can be kept: nothing was done.
  Result<void> add(TimePoint now, std::int64_t callId, const Increment& increment);
  /// The caller has given up. The increment may count all the same.
  void cancel(std::int64_t callId);
  void receive(TimePoint now, const std::string& from, const ProgressReport& report);
  void receive(TimePoint now, const std::string& from, const TransferRequest& request);
  void receive(TimePoint now, const std::string& from, const IncrementTransfer& transfer);
  /// The batch of the last `PersistBatch` is on the disk.
  void persisted(TimePoint now);
  /// To be called several times a second.
  void tick(TimePoint now);
  /// Removes and returns what is to be done now.
  std::vector<Action> takeActions();

  /// Whether the replica has caught up since its start.
  bool mayRead() const { return caughtUp_; }
  const CounterState& state() const { return state_; }
  /// Calls that wait for copies.
  std::size_t pendingCalls() const { return pending_.size(); }
  std::vector<PeerStatus> peers(TimePoint now) const;

 private:
  using Sequences = std::map<OriginId, std::int64_t>;
  struct Peer {
    bool isMember = false;  // named by `setPeers`
    bool wasVoter = false;
    bool isRemoved = false;  // was a voter and is none any more
    std::string zone;
    std::optional<TimePoint> heardAt;
    Sequences durable;            // what it has reported
    Sequences initiallyReported;  // what it had when it was first recordContact in this incarnation
    bool hasReported = false;
    std::optional<TimePoint> requestedAt;  // a request to it is under way since
    DiskTime diskTime;
    std::int64_t pushedThrough = 0;  // increments of this incarnation that were sent to it at once
  };
  struct PendingCall {
    std::int64_t callId = 0;
    CounterState::Position position;
    TimePoint since;
    bool pushedToAdditionalPeers = false;
    bool pushedToAllPeers = false;
  };
  /// Increments that arrived together, by how far all origins had come then; for the folding of ids.
  struct Epoch {
    TimePoint at;
    Sequences reached;
  };
  bool isReachable(const Peer& peer, TimePoint now) const {
    return peer.heardAt && now - *peer.heardAt < kReachabilityTimeout;
  }
  Peer& recordContact(TimePoint now, const std::string& from);
  int requiredCopies(TimePoint now) const;
  int remoteCopiesOf(const CounterState::Position& position) const;
  /// Whether an increment is on as many disks as its acknowledgement takes.
  bool hasEnoughCopies(const CounterState::Position& position, int requiredCopies) const;
  bool isDurable(const CounterState::Position& position) const;
  void acknowledgeReplicatedCalls(TimePoint now);
  /// Sends an increment of this incarnation to the disks that are to have it.
  void pushToPreferredPeers(std::int64_t sequence, TimePoint now);
  /// Sends a peer what it lacks of this incarnation's increments up to `sequence`: a caller waits for it.
  /// @return false if it has that already, or lacks too much.
  bool pushTo(const std::string& address, std::int64_t sequence, TimePoint now);
  void pushToAdditionalPeers(PendingCall& call, TimePoint now);
  void pushToAllPeers(PendingCall& call, TimePoint now);
  /// Of the reachable peers' disks the one that is the `Options::copies`th fastest: how long copies take at the best.
  Duration expectedCopyTime(TimePoint now) const;
  bool isSlow(const DiskTime& disk, Duration expectedCopyTime, TimePoint now) const;
  /// Reachable peers: fast disks first, among those the ones in other zones, otherwise in an order that differs from
  /// replica to replica.
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
  CounterState state_;
  bool hadRecords_ = false;
  bool caughtUp_ = false;
  Sequences durable_;           // on this disk
  IncrementBatch unpersisted_;  // merged, and not on the way to the disk yet
  Sequences persisting_;        // reached once the write that is under way has ended
  bool isPersisting_ = false;
  std::size_t bytesSinceSnapshot_ = 0;
  std::size_t snapshotBytes_ = 0;
  int recordsSinceSnapshot_ = 0;
  bool snapshotIsDue_ = false;
  std::map<std::string, Peer> peers_;  // by address
  DiskTime ownDiskTime_;
  std::map<std::string, Sequences> deferredReports_;  // by address: what urgent transfers brought that awaits the disk
  std::vector<PendingCall> pending_;
  std::deque<Epoch> epochs_;            // oldest first
  std::optional<Sequences> foldLimit_;  // every peer has these; folded once every peer has what they had accepted then
  Sequences foldBarrier_;
  TimePoint foldStartedAt_{};
  TimePoint reportedAt_{};
  TimePoint epochAt_{};
  std::vector<Action> actions_;
};
}  // namespace zinccleat::replicated_counters
