/// @file
/// What the control API needs of the controller that serves it.
#pragma once
#include "config/settings.hpp"
#include "coordination/commands.hpp"
#include "coordination/shard_state.hpp"
#include "replicated_counters/increments.hpp"
#include "state_machine/replicated_state.hpp"
namespace zinccleat::controller {
/// Implemented by `ControllerNode`, and by tests. Calls that park their fiber say so.
class ControllerServices {
 public:
  virtual ~ControllerServices() = default;
  /// The settings in force.
  virtual const config::Settings& settings() const = 0;
  /// This controller's replica: everything in it is committed, but it may be old.
  virtual const state_machine::ReplicatedState& replica() const = 0;
  /// Whether a majority of the controllers was heard a moment ago, through a leader or as the leader.
  virtual bool inContact() const = 0;
  /// Parks the calling fiber until there is contact. @return false: there was none within `timeout`.
  virtual bool awaitContact(Duration timeout) = 0;
  /// False: heartbeats received here do not reach the leader.
  virtual bool heartbeatsReachLeader() const = 0;
  /// A runner has sent a heartbeat to this controller.
  virtual void recordHeartbeat(const std::string& runner) = 0;
  /// Whether a heartbeat says of its runner's warm-up what the replica does not know, and proxies need to.
  virtual bool changesWarmup(const state_machine::Runner& reported) const = 0;
  /// Parks the calling fiber until its own write is committed and applied here (`PendingWrites` submits it).
  /// @return the write's outcome by the replica, or `ErrorCode::unavailable`.
  virtual Result<state_machine::ReplicatedState::Verdict> write(transport::LogEntry entry, Duration timeout) = 0;
  /// Parks the calling fiber until the replica is as new as the leader's log was at the call: what is read from it then
  /// is linearizable. @return `ErrorCode::unavailable` if that took longer than `timeout`.
  virtual Result<void> awaitReadIndex(Duration timeout) = 0;
  /// Parks the calling fiber until the leaseholder of the command's shard has answered.
  /// @return `ErrorCode::unavailable`: not executed, and it never will be; `ErrorCode::outcomeUnknown`.
  virtual Result<coordination::Outcome> executeCoordinationCommand(const coordination::Command& command,
                                                                   Duration timeout) = 0;
  /// Parks the calling fiber until there are puts above a revision, or the time is up; see
  /// `CoordinationService::watch`.
  virtual Result<coordination::WatchedEvents> watch(const std::string& group, std::int64_t after, Duration wait) = 0;
  /// Parks the calling fiber until an increment is on as many disks as can be had.
  /// @return `ErrorCode::limitReached`: nothing was done; `ErrorCode::outcomeUnknown`: it may count, also later.
  virtual Result<void> addToCounter(const replicated_counters::Increment& increment, Duration timeout) = 0;
  /// The total of a replicated counter, as far as this controller knows.
  /// @return `ErrorCode::unavailable` if it has not caught up with the others since its start.
  virtual Result<std::int64_t> counterTotal(const std::string& counter) const = 0;
  /// A new id for a write; it is never used again.
  virtual std::string nextOperationId() = 0;
  /// Where the leader's control API listens; none: the leader is unknown, or it is this controller.
  virtual std::optional<std::string> leaderControlAddress() const = 0;
  /// Where the control API of a controller in a zone listens; none: no controller there is known to be up.
  virtual std::optional<std::string> controlAddressIn(const std::string& zone) const = 0;
  /// Requests a second of the whole fleet; known to the leader only.
  virtual double requestsPerS() const = 0;
  /// The body of the Status call.
  virtual std::string statusJson() const = 0;
  /// The body of the Counters call.
  virtual std::string countersJson() const = 0;
  /// The body of the Functions call: what this node knows of the functions at the platform.
  virtual std::string platformJson() const = 0;
  /// The body of the Shards call.
  virtual std::string shardsJson() const = 0;
  /// The body of the Tallies.List call.
  virtual std::string replicatedCountersJson() const = 0;
  /// The body of the Closures.List call; complete on the leader only.
  virtual std::string zoneDrainsJson() const = 0;
  /// Takes in the partner site's prefix hints. @return our own hints, sealed.
  virtual Result<std::string> exchangeHints(std::string_view body, std::string_view seal) = 0;
};
}  // namespace zinccleat::controller
