/// @file
/// This machine's member of one shard of the coordination service: the replicated log, the replica and, while this
/// member leads, the leaseholder. A member without records of the shard does not participate until an entry of the
/// fleet's log says who founds the shard. This class executes the actions that the log, the replica and the leaseholder
/// request, as `RaftDriver` does for the fleet's log. It runs on the event-loop thread, to which disk results are
/// posted.
#pragma once
#include "controller_context.hpp"
#include "coordination/leaseholder.hpp"
#include "startup.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// Member of one shard; see the file comment.
class CoordinationShard {
 public:
  /// Functions of the owning service that a shard calls.
  struct Callbacks {
    std::function<void(const consensus::MemberId& to, const consensus::ConsensusMessage& message)> send;
    std::function<void(const coordination::CallResult&)> onResult;
    /// The known leader has changed, possibly to none.
    std::function<void()> onLeaderChanged;
    /// The replica has applied an entry.
    std::function<void()> onApplied;
    /// The replica was restored from a snapshot, which may contain puts of any group.
    std::function<void()> onRestored;
  };
  CoordinationShard(const ControllerContext& context, int number, Callbacks callbacks);
  /// Recovers the shard's files and creates the Raft node. Blocks while the disk cannot be read.
  Result<void> recover(const DiskRecovery& disk, std::uint64_t incarnation);
  /// Starts writing to disk. Must be called after all storages of the process have been recovered.
  void start(const std::shared_ptr<DiskThread>& disk);
  void tick(TimePoint now);
  void receive(const consensus::MemberId& from, consensus::ConsensusMessage message);
  /// Passes a call to the leaseholder. The result is delivered to `Callbacks::onResult`, possibly before this function
  /// returns.
  void call(std::int64_t callId, const coordination::Command& command);
  /// Starts to leave the shard before a planned exit of the process.
  void leave(TimePoint now);
  void setSeedAddresses(const std::vector<std::string>& addresses) { raft_->setSeedAddresses(addresses); }
  /// Whether this machine's disk holds records of the shard.
  bool hasRecords() const { return hasRecords_; }
  /// Whether the other members can operate without this machine. Meaningful after `leave`.
  bool mayExit() const { return !isParticipating_ || raft_->mayExit(); }

  int number() const { return number_; }
  const consensus::RaftNode& raft() const { return *raft_; }
  const coordination::ShardState& state() const { return state_; }
  std::size_t pendingCalls() const { return leaseholder_.pendingCalls(); }

 private:
  void run();
  void executeAction(const consensus::SendMessage& action) const;
  void executeAction(consensus::PersistRecord& action);
  void executeAction(consensus::ApplyEntry& action);
  void executeAction(consensus::RestoreSnapshot& action);
  void executeActions();
  void syncLeaseholderTerm();
  /// @return whether a batch was proposed.
  bool propose();
  std::string nextOperationId() const;
  void compactIfDue();
  /// Founds or joins the shard's log once the fleet's log says who founds it.
  void participateIfAgreed();

  const ControllerContext& context_;
  const int number_;
  Callbacks callbacks_;
  std::unique_ptr<consensus::RaftNode> raft_;
  consensus::RaftOptions options_;
  std::uint64_t incarnation_ = 0;
  bool hasRecords_ = false;
  bool canFoundShard_ = false;                        // this machine has no records of the shard and has not lost any
  bool isParticipating_ = false;                      // false: waiting for the fleet's log to name the founders
  std::optional<storage::Storage> recoveredStorage_;  // moved to `storage_` by `start`
  std::unique_ptr<AsyncStorage> storage_;
  coordination::ShardState state_;
  coordination::Leaseholder leaseholder_;
  std::int64_t ledTerm_ = 0;  // term in which the leaseholder is active; 0: this member does not lead
  consensus::MemberId leader_;
  std::int64_t operations_ = 0;
  std::int64_t entriesSinceCompaction_ = 0;
  std::size_t bytesSinceCompaction_ = 0;
  std::size_t snapshotBytes_ = 0;
  bool running_ = false;
};
}  // namespace zinccleat::controller
