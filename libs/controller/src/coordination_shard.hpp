/// @file
/// This machine's member of one shard of the coordination service: the replicated log, the replica and, while it leads,
/// the leaseholder. Without records of the shard it waits, and takes no part, until the fleet's log says who founds it.
/// It carries out what the three ask for, as `RaftDriver` does for the fleet's log. On the event-loop thread; results
/// of the disk come back to it.
#pragma once
#include "controller_context.hpp"
#include "coordination/leaseholder.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// One shard; see the file's comment.
class CoordinationShard {
 public:
  /// What a shard needs of the service that it is a part of.
  struct Callbacks {
    std::function<void(const consensus::MemberId& to, const consensus::ConsensusMessage& message)> send;
    std::function<void(const coordination::CallResult&)> onResult;
    /// Another leader, or none, is followed now.
    std::function<void()> onLeaderChanged;
    /// The replica has applied an entry.
    std::function<void()> onApplied;
    /// The replica was restored from a snapshot, which may hold puts of any group.
    std::function<void()> onRestored;
  };
  CoordinationShard(const ControllerContext& context, int number, Callbacks callbacks);
  /// Recovers the shard's files and makes its member. Blocks while the disk can't be read.
  Result<void> recover(std::uint64_t incarnation);
  /// Begins to write. To be called once all storages of the process are recovered.
  void start(const std::shared_ptr<DiskThread>& disk);
  void tick(TimePoint now);
  void receive(const consensus::MemberId& from, consensus::ConsensusMessage message);
  /// Passes a call to the leaseholder; its result comes by `Callbacks::onResult`, perhaps during this call.
  void call(std::int64_t callId, const coordination::Command& command);
  /// Starts to leave the shard for a planned end of the process.
  void leave(TimePoint now);
  void setSeedAddresses(const std::vector<std::string>& addresses) { raft_->setSeedAddresses(addresses); }
  /// Whether this machine's disk has records of the shard.
  bool hasRecords() const { return hasRecords_; }
  /// Whether the others can do without this machine, after `leave`.
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
  /// Founds or joins the shard's log once it is agreed who founds it.
  void participateIfAgreed();

  const ControllerContext& context_;
  const int number_;
  Callbacks callbacks_;
  std::unique_ptr<consensus::RaftNode> raft_;
  consensus::RaftOptions options_;
  std::uint64_t incarnation_ = 0;
  bool hasRecords_ = false;
  bool canFoundShard_ = false;                        // its disk has lost no records of the shard
  bool isParticipating_ = false;                      // else it waits for the agreement
  std::optional<storage::Storage> recoveredStorage_;  // until `start`
  std::unique_ptr<AsyncStorage> storage_;
  coordination::ShardState state_;
  coordination::Leaseholder leaseholder_;
  std::int64_t ledTerm_ = 0;  // the term that the leaseholder works in; 0: this member does not lead
  consensus::MemberId leader_;
  std::int64_t operations_ = 0;
  std::int64_t entriesSinceCompaction_ = 0;
  std::size_t bytesSinceCompaction_ = 0;
  std::size_t snapshotBytes_ = 0;
  bool running_ = false;
};
}  // namespace zinccleat::controller
