/// @file
/// Interface between the control API and the controller that serves it.
#pragma once
#include "config/settings.hpp"
#include "coordination/commands.hpp"
#include "coordination/shard_state.hpp"
#include "replicated_counters/increments.hpp"
#include "state_machine/replicated_state.hpp"
namespace zinccleat::controller {
/// Implemented by `ControllerNode` and by test doubles. Functions that suspend the calling fiber say so.
class ControllerServices {
 public:
  virtual ~ControllerServices() = default;
  /// Returns the settings in force.
  virtual const config::Settings& settings() const = 0;
  /// Returns this controller's replica. Everything in it is committed, but it may lag behind the leader.
  virtual const state_machine::ReplicatedState& replica() const = 0;
  /// Whether this controller recently heard from a majority of the controllers, as the leader or through the leader.
  virtual bool inContact() const = 0;
  /// Suspends the calling fiber until this controller has contact with a majority.
  /// @return false if there was no contact within `timeout`.
  virtual bool awaitContact(Duration timeout) = 0;
  /// Whether heartbeats received by this controller reach the leader.
  virtual bool heartbeatsReachLeader() const = 0;
  /// Records that a runner has sent a heartbeat to this controller.
  virtual void recordHeartbeat(const std::string& runner) = 0;
  /// Whether a heartbeat carries warm-up information that the replica lacks and that proxies need.
  virtual bool changesWarmup(const state_machine::Runner& reported) const = 0;
  /// Submits a write and suspends the calling fiber until the write is committed and applied by this replica (see
  /// `PendingWrites`).
  /// @return the outcome of the write in the replica, or `ErrorCode::unavailable`.
  virtual Result<state_machine::ReplicatedState::Verdict> write(transport::LogEntry entry, Duration timeout) = 0;
  /// Like `write`, for an operator's order that follows the order at `base`: it is applied only if no other order on
  /// its subject was applied after `base` (`state_machine::asOrder`). The outcome may be that of another order which
  /// was applied in its place; the newest of `OrderPositions` tells.
  virtual Result<state_machine::ReplicatedState::Verdict> writeOrder(transport::LogEntry entry, std::int64_t base,
                                                                     Duration timeout) = 0;
  /// Suspends the calling fiber until the replica is as new as the leader's log was at the time of the call. Reads from
  /// the replica after that are linearizable.
  /// @return `ErrorCode::unavailable` if that took longer than `timeout`.
  virtual Result<void> awaitReadIndex(Duration timeout) = 0;
  /// Suspends the calling fiber until the leaseholder of the command's shard has answered.
  /// @return `ErrorCode::unavailable`: the command was not executed and never will be; `ErrorCode::outcomeUnknown`: the
  /// command may have been executed or may still be.
  virtual Result<coordination::Outcome> executeCoordinationCommand(const coordination::Command& command,
                                                                   Duration timeout) = 0;
  /// Suspends the calling fiber until the group has puts above a revision, or `wait` is over; see
  /// `CoordinationService::watch`.
  virtual Result<coordination::WatchedEvents> watch(const std::string& group, std::int64_t after, Duration wait) = 0;
  /// Suspends the calling fiber until an increment is on as many disks as are currently available.
  /// @return `ErrorCode::limitReached`: nothing was changed; `ErrorCode::outcomeUnknown`: the increment may be counted,
  /// now or later.
  virtual Result<void> addToCounter(const replicated_counters::Increment& increment, Duration timeout) = 0;
  /// Returns the total of a replicated counter as known to this controller.
  /// @return `ErrorCode::unavailable` if this controller has not caught up with the others since its start.
  virtual Result<std::int64_t> counterTotal(const std::string& counter) const = 0;
  /// Returns a new id for a write. No id is used twice.
  virtual std::string nextOperationId() = 0;
  /// Returns the address of the leader's control API; none: the leader is unknown or is this controller.
  virtual std::optional<std::string> leaderControlAddress() const = 0;
  /// Returns the address of the control API of a controller in a zone; none: no controller in the zone is known to be
  /// up.
  virtual std::optional<std::string> controlAddressIn(const std::string& zone) const = 0;
  /// Returns the requests per second of the whole fleet; known only to the leader.
  virtual double requestsPerS() const = 0;
  /// Returns the response body of the Status call.
  virtual std::string statusJson() const = 0;
  /// Returns the response body of the Counters call.
  virtual std::string countersJson() const = 0;
  /// Returns the response body of the Functions call: the state of the functions at the platform as known to this node.
  virtual std::string platformJson() const = 0;
  /// Returns the response body of the Shards call.
  virtual std::string shardsJson() const = 0;
  /// Returns the response body of the Tallies.List call.
  virtual std::string replicatedCountersJson() const = 0;
  /// Returns the response body of the Closures.List call; complete only on the leader.
  virtual std::string zoneDrainsJson() const = 0;
  /// Stores the prefix hints of the partner site.
  /// @return the sealed hints of this site.
  virtual Result<std::string> exchangeHints(std::string_view body, std::string_view seal) = 0;
};
}  // namespace zinccleat::controller
