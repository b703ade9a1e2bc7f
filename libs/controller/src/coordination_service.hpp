/// @file
/// Locks, numbers, cells and watches on this controller: its members of all shards, the links to the other
/// controllers' members, the calls that wait for their leaseholder and the watches that wait for a put.
///
/// The shards have links of their own, so that a controller of a version without them is not sent what it would refuse.
/// On the event-loop thread; calls and watches park their fiber.
#pragma once
#include "coordination/call_progress.hpp"
#include "coordination/messages.hpp"
#include "coordination/watch_query.hpp"
#include "coordination_shard.hpp"
#include "peer_links.hpp"
#include "runtime/event_loop.hpp"
#include "shard_founder.hpp"
namespace zinccleat::controller {
/// The service; see the file's comment.
class CoordinationService {
 public:
  /// Has an entry of the fleet's log written, at its leader.
  using ProposeFounding = std::function<void(const state_machine::ShardFounding&)>;
  /// @param context must outlive this; its fleet member must exist before `recover`.
  CoordinationService(ControllerContext& context, ProposeFounding proposeFounding);
  /// Recovers all shards' files. Blocks while the disk can't be read.
  Result<void> recover(std::uint64_t incarnation);
  /// Listens for the other controllers and begins to take part.
  Result<void> start(const std::shared_ptr<DiskThread>& disk);
  /// To be called every `RaftOptions::tickInterval`.
  void tick(TimePoint now);
  void setSeedAddresses(const std::vector<std::string>& addresses);
  /// Begins a planned end: hands the leases over, asks the others to go on without this machine, ends all watches.
  void leave(TimePoint now);
  /// Whether the others can do without this machine, after `leave`.
  bool mayExit() const;

  /// Parks the calling fiber until the leaseholder of the command's shard has answered; asks the next one where it has
  /// not, or is lost.
  /// @return `ErrorCode::unavailable`: not executed, and it never will be; `ErrorCode::outcomeUnknown`: it may have
  /// been, or may yet be.
  Result<coordination::Outcome> call(const coordination::Command& command, Duration timeout);
  /// Parks the calling fiber until there are puts above a revision, or the time is up.
  /// @param after 0: only the present revision is asked for.
  /// @return complete up to the revision that it names, which is not below any that was acknowledged before the call;
  /// `ErrorCode::unavailable` if this replica can't know that, or can no longer; `ErrorCode::limitReached`: as many
  /// watches wait here as may.
  Result<coordination::WatchedEvents> watch(const std::string& group, std::int64_t after, Duration wait);
  /// The body of the Shards call.
  std::string shardsJson(TimePoint now) const;

 private:
  /// A call whose fiber waits here.
  struct PendingCall {
    runtime::Waiter waiter;
    std::optional<coordination::CallResult> result;
    int shard = 0;
  };
  /// A call that another controller has sent to a leaseholder here.
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
  /// At the leader of the fleet's log: has it agreed on once who founds the shards.
  void proposeFoundingIfDecided(TimePoint now);
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onRecordsQuery(const transport::PeerLinkPtr& link, const coordination::ShardRecordsQuery& query);
  void onShardCall(const consensus::MemberId& from, const coordination::ShardCall& message);
  void onResult(int shard, const coordination::CallResult& result);
  void onLeaderChanged(int shard);
  void onApplied(int shard);
  void wakeWatches(int shard);
  CoordinationShard& shardAt(int number) { return *shards_[static_cast<std::size_t>(number)]; }
  /// Passes the call to the leaseholder as it is known now, and waits for its end, for another leaseholder or until the
  /// deadline.
  coordination::AttemptEnd attempt(CoordinationShard& shard, const coordination::Command& command, PendingCall& pending,
                                   TimePoint deadline);
  Result<coordination::WatchedEvents> awaitEvents(PendingWatch& watch, TimePoint deadline);

  ControllerContext& context_;
  ProposeFounding proposeFounding_;
  ShardFounder founder_;
  TimePoint proposedAt_{};
  PeerLinks links_;
  std::vector<std::unique_ptr<CoordinationShard>> shards_;  // by number
  std::map<std::int64_t, PendingCall*> calls_;              // by id, on the stacks of the fibers that wait
  std::map<std::int64_t, RemoteCall> remoteCalls_;          // by id
  std::vector<PendingWatch*> watches_;                      // on the stacks of the fibers that wait
  std::int64_t lastCallId_ = 0;
  bool leaving_ = false;
};
}  // namespace zinccleat::controller
