/// @file
/// The coordination service (locks, numbers, cells and watches) on this controller. It holds this controller's members
/// of all shards, the connections to the members on other controllers, the calls that wait for their leaseholder and
/// the watches that wait for a put.
///
/// The shards use connections of their own, so that a controller of a version without shards does not receive messages
/// that it would reject. Everything runs on the event-loop thread; calls and watches suspend their fiber.
#pragma once
#include "coordination/call_progress.hpp"
#include "coordination/messages.hpp"
#include "coordination/watch_query.hpp"
#include "coordination_shard.hpp"
#include "peer_links.hpp"
#include "runtime/event_loop.hpp"
#include "shard_founder.hpp"
namespace zinccleat::controller {
/// The coordination service; see the file comment.
class CoordinationService {
 public:
  /// Proposes an entry of the fleet's log; called on the leader of that log.
  using ProposeFounding = std::function<void(const state_machine::ShardFounding&)>;
  /// @param context must outlive this object; its Raft node must exist before `recover` is called.
  CoordinationService(ControllerContext& context, ProposeFounding proposeFounding);
  /// Recovers the files of all shards. Blocks while the disk cannot be read.
  Result<void> recover(const DiskRecovery& disk, std::uint64_t incarnation);
  /// Listens for connections of the other controllers and starts all shards.
  Result<void> start(const std::shared_ptr<DiskThread>& disk);
  /// To be called every `RaftOptions::tickInterval`.
  void tick(TimePoint now);
  void setSeedAddresses(const std::vector<std::string>& addresses);
  /// Begins a planned shutdown: hands over the leases of all shards, asks the other members to continue without this
  /// machine and ends all watches.
  void leave(TimePoint now);
  /// Whether the other members can operate without this machine. Meaningful after `leave`.
  bool mayExit() const;

  /// Suspends the calling fiber until the leaseholder of the command's shard has answered. If the leaseholder is lost
  /// or has not executed the command, the call is sent to the next leaseholder.
  /// @return `ErrorCode::unavailable`: the command was not executed and never will be; `ErrorCode::outcomeUnknown`: the
  /// command may have been executed or may still be.
  Result<coordination::Outcome> call(const coordination::Command& command, Duration timeout);
  /// Suspends the calling fiber until the group has puts above a revision, or `wait` is over.
  /// @param after the revision; 0 only requests the current revision.
  /// @return all events up to the revision in the result, which is not below any revision acknowledged before the call;
  /// `ErrorCode::unavailable` if this replica cannot guarantee that; `ErrorCode::limitReached` if the maximum number of
  /// watches is already waiting.
  Result<coordination::WatchedEvents> watch(const std::string& group, std::int64_t after, Duration wait);
  /// Returns the response body of the Shards call.
  std::string shardsJson(TimePoint now) const;

 private:
  /// A call of this controller whose fiber waits for the result.
  struct PendingCall {
    runtime::Waiter waiter;
    std::optional<coordination::CallResult> result;
    int shard = 0;
  };
  /// A call that another controller has sent to a leaseholder on this controller.
  struct RemoteCall {
    consensus::MemberId from;
    std::int64_t requestId = 0;
  };
  struct PendingWatch {
    runtime::Waiter waiter;
    int shard = 0;
    coordination::WatchQuery query;
  };

  CoordinationShard::Callbacks callbacksFor(int shard);
  void dialOthers();
  bool hasRecords() const;
  /// On the leader of the fleet's log: decides who founds the shards, and proposes the decision once to the log.
  void proposeFoundingIfDecided(TimePoint now);
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onRecordsQuery(const transport::PeerLinkPtr& link, const coordination::ShardRecordsQuery& query);
  void onShardCall(const consensus::MemberId& from, const coordination::ShardCall& message);
  void onResult(int shard, const coordination::CallResult& result);
  void onLeaderChanged(int shard);
  void onApplied(int shard);
  void wakeWatches(int shard);
  CoordinationShard& shardAt(int number) { return *shards_[static_cast<std::size_t>(number)]; }
  /// Sends the call to the leaseholder that is currently known. Waits until the call has ended, another leaseholder is
  /// known or the deadline has passed.
  coordination::AttemptEnd attempt(CoordinationShard& shard, const coordination::Command& command, PendingCall& pending,
                                   TimePoint deadline);
  Result<coordination::WatchedEvents> awaitEvents(PendingWatch& watch, TimePoint deadline);

  ControllerContext& context_;
  ProposeFounding proposeFounding_;
  ShardFounder founder_;
  TimePoint proposedAt_{};
  PeerLinks links_;
  std::vector<std::unique_ptr<CoordinationShard>> shards_;  // indexed by shard number
  std::map<std::int64_t, PendingCall*> calls_;  // keyed by call id; the objects are on the stacks of the waiting fibers
  std::map<std::int64_t, RemoteCall> remoteCalls_;  // keyed by call id
  std::vector<PendingWatch*> watches_;              // the objects are on the stacks of the waiting fibers
  std::int64_t lastCallId_ = 0;
  bool leaving_ = false;
};
}  // namespace zinccleat::controller
