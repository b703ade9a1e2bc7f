/// @file
/// The replicated counters on this controller: the replica, its records on disk, the connections to the other
/// controllers and the calls that wait for copies. Runs on the event-loop thread; calls suspend their fiber.
///
/// The service uses connections of its own, so that a controller of a version without replicated counters does not
/// receive messages that it would reject.
#pragma once
#include "peer_links.hpp"
#include "replicated_counters/counter_replica.hpp"
#include "runtime/event_loop.hpp"
#include "startup.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// The counter service; see the file comment.
class CounterService {
 public:
  /// @param context must outlive this object; its Raft node must exist before `recover` is called.
  explicit CounterService(ControllerContext& context);
  /// Recovers the counters' files. Blocks while the disk cannot be read.
  /// @param incarnation random number drawn by each process.
  Result<void> recover(const DiskRecovery& disk, std::uint64_t incarnation);
  /// Listens for connections of the other controllers and starts replication.
  Result<void> start(const std::shared_ptr<DiskThread>& disk);
  /// To be called every `RaftOptions::tickInterval`.
  void tick(TimePoint now);

  /// Suspends the calling fiber until the increment is acknowledged, or `timeout` is over.
  /// @return `ErrorCode::limitReached`: nothing was changed; `ErrorCode::outcomeUnknown`: the increment may be counted,
  /// now or later.
  Result<void> add(const replicated_counters::Increment& increment, Duration timeout);
  /// Returns the counter's total as known to this replica; 0 for an unknown counter.
  /// @return `ErrorCode::unavailable` if this replica has not caught up since its start.
  Result<std::int64_t> total(const std::string& counter) const;
  /// Returns the response body of the Tallies.List call.
  std::string countersJson(TimePoint now) const;

 private:
  struct PendingCall {
    runtime::Waiter waiter;
    bool acknowledged = false;
  };
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// Updates the connections and the replica's peers from the voters and the seed addresses.
  void followMembership();
  template <class Message>
  void send(const std::string& address, const Message& message);
  void executeAction(const replicated_counters::SendReport& action) { send(action.to, action.message); }
  void executeAction(const replicated_counters::SendRequest& action) { send(action.to, action.message); }
  void executeAction(const replicated_counters::SendTransfer& action) { send(action.to, action.message); }
  void executeAction(replicated_counters::PersistBatch& action);
  void executeAction(const replicated_counters::Acknowledge& action);
  void executeAction(const replicated_counters::AttemptConnection& action);
  void appendRecord(const consensus::DiskRecord& record,
                    const std::shared_ptr<replicated_counters::IncrementBatch>& batch);
  /// Logs which peers became unreachable or reachable again.
  void logReachabilityChanges(TimePoint now);
  /// Logs when increments begin to be acknowledged with fewer copies, with the evidence, and when this ends.
  void logMissingCopies(bool hasAllCopies);
  void run();

  ControllerContext& context_;
  PeerLinks links_;
  std::optional<replicated_counters::CounterReplica> replica_;
  std::optional<storage::Storage> recoveredStorage_;  // moved to `storage_` by `start`
  std::unique_ptr<AsyncStorage> storage_;
  std::int64_t lastRecord_ = 0;
  // Keyed by address; if several members used an address, the last one heard.
  std::map<std::string, consensus::MemberId> heardMembers_;
  std::map<std::int64_t, PendingCall*> calls_;  // keyed by call id; the objects are on the stacks of the waiting fibers
  std::int64_t lastCallId_ = 0;
  TimePoint membershipFollowedAt_{};
  bool caughtUp_ = false;
  std::set<std::string> unreachablePeers_;
  bool acknowledgesWithAllCopies_ = true;
};
}  // namespace zinccleat::controller
