/// @file
/// Replicated counters on this controller: its replica, the replica's records on the disk, the links to the other
/// controllers and the calls that wait for copies. On the event-loop thread; calls park their fiber.
///
/// The links are the counters' own, so that a controller of a version without them is not sent what it would refuse.
#pragma once
#include "peer_links.hpp"
#include "replicated_counters/counter_replica.hpp"
#include "runtime/event_loop.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// The service; see the file's comment.
class CounterService {
 public:
  /// @param context must outlive this; its fleet member must exist before `recover`.
  explicit CounterService(ControllerContext& context);
  /// Recovers the counters' files. Blocks while the disk can't be read.
  /// @param incarnation of this process, drawn at random.
  Result<void> recover(std::uint64_t incarnation);
  /// Listens for the other controllers and begins to take part.
  Result<void> start(const std::shared_ptr<DiskThread>& disk);
  /// To be called every `RaftOptions::tickInterval`.
  void tick(TimePoint now);

  /// Parks the calling fiber until the increment is acknowledged, or the time is up.
  /// @return `ErrorCode::limitReached`: nothing was done; `ErrorCode::outcomeUnknown`: it may count, also later.
  Result<void> add(const replicated_counters::Increment& increment, Duration timeout);
  /// The counter's total, as far as this replica knows; 0 for one that is new.
  /// @return `ErrorCode::unavailable` if this replica has not caught up since its start.
  Result<std::int64_t> total(const std::string& counter) const;
  /// The body of the Tallies.List call.
  std::string countersJson(TimePoint now) const;

 private:
  struct PendingCall {
    runtime::Waiter waiter;
    bool acknowledged = false;
  };
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// The other controllers' identities, by address; of several at one address the one heard last.
  void followMembership();
  template <class Message>
  void send(const std::string& address, const Message& message);
  void executeAction(const replicated_counters::SendReport& action) { send(action.to, action.message); }
  void executeAction(const replicated_counters::SendRequest& action) { send(action.to, action.message); }
  void executeAction(const replicated_counters::SendTransfer& action) { send(action.to, action.message); }
  void executeAction(replicated_counters::PersistBatch& action);
  void executeAction(const replicated_counters::Acknowledge& action);
  void appendRecord(const consensus::DiskRecord& record,
                    const std::shared_ptr<replicated_counters::IncrementBatch>& batch);
  /// Writes to the log who became unreachable or came back.
  void logReachabilityChanges(TimePoint now);
  void run();

  ControllerContext& context_;
  PeerLinks links_;
  std::optional<replicated_counters::CounterReplica> replica_;
  std::optional<storage::Storage> recoveredStorage_;  // until `start`
  std::unique_ptr<AsyncStorage> storage_;
  std::int64_t lastRecord_ = 0;
  std::map<std::string, consensus::MemberId> heardMembers_;  // by address
  std::map<std::int64_t, PendingCall*> calls_;               // by id, on the stacks of the fibers that wait
  std::int64_t lastCallId_ = 0;
  TimePoint membershipFollowedAt_{};
  bool caughtUp_ = false;
  std::set<std::string> unreachablePeers_;
};
}  // namespace zinccleat::controller
