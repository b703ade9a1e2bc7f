/// @file
/// A controller process: a member of the replicated log with its replica, its connections and the services of the
/// control API.
///
/// `ControllerNode` constructs the components and passes events between them. Each component owns its own state, as
/// described in its header. All components run on a single event-loop thread; only storage has a thread of its own.
#pragma once
#include "agent_request_handler.hpp"
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "controller_services.hpp"
#include "coordination_service.hpp"
#include "counter_service.hpp"
#include "graceful_shutdown.hpp"
#include "lease_reads.hpp"
#include "majority_contact.hpp"
#include "message_dispatcher.hpp"
#include "operation_ids.hpp"
#include "partner_hints.hpp"
#include "peer_links.hpp"
#include "pending_writes.hpp"
#include "raft_driver.hpp"
#include "role_changes.hpp"
#include "runner_liveness.hpp"
#include "runtime/startup.hpp"
#include "status_report.hpp"
namespace zinccleat::controller {
/// A controller; see the file comment.
class ControllerNode final : public ControllerServices {
 public:
  /// Constructs the components; nothing runs before `start`.
  explicit ControllerNode(config::Settings settings);
  ~ControllerNode() override;
  /// Recovers the disk, joins the other controllers and starts the timers.
  /// @return `ErrorCode::invalidArgument` for settings with which no controller can start, or an error of the disk, of
  /// the listening socket or of the partner site's secret.
  Result<void> start(runtime::Startup& startup);
  /// Applies the settings that may change while a controller runs: seeds and timers.
  void reloadSettings(const config::Settings& settings);
  /// Starts a graceful shutdown; see `GracefulShutdown`.
  void shutDown(const std::function<void(bool deadlinePassed)>& onReadyToExit);

  // Implementation of `ControllerServices` for the control API; see that interface for documentation.
  const config::Settings& settings() const override { return context_.settings; }
  const state_machine::ReplicatedState& replica() const override { return context_.replica; }
  bool inContact() const override { return contact_.inContact(); }
  bool awaitContact(Duration timeout) override { return contact_.await(timeout); }
  bool heartbeatsReachLeader() const override;
  void recordHeartbeat(const std::string& runner) override { runners_.recordHeartbeat(runner, Clock::now()); }
  bool changesWarmup(const state_machine::Runner& reported) const override {
    return requests_.changesWarmup(Clock::now(), reported);
  }
  Result<state_machine::ReplicatedState::Verdict> write(transport::LogEntry entry, Duration timeout) override {
    return writes_.write(entry, timeout);
  }
  Result<state_machine::ReplicatedState::Verdict> writeOrder(transport::LogEntry entry, std::int64_t base,
                                                             Duration timeout) override {
    return writes_.write(state_machine::asOrder(std::move(entry), base, context_.replica), timeout);
  }
  Result<void> awaitReadIndex(Duration timeout) override { return reads_.awaitReadIndex(timeout); }
  Result<coordination::Outcome> executeCoordinationCommand(const coordination::Command& command,
                                                           Duration timeout) override {
    return coordination_.call(command, timeout);
  }
  Result<coordination::WatchedEvents> watch(const std::string& group, std::int64_t after, Duration wait) override {
    return coordination_.watch(group, after, wait);
  }
  Result<void> addToCounter(const replicated_counters::Increment& increment, Duration timeout) override {
    return counters_.add(increment, timeout);
  }
  Result<std::int64_t> counterTotal(const std::string& counter) const override { return counters_.total(counter); }
  std::string nextOperationId() override { return operationIds_->next(); }
  std::optional<std::string> leaderControlAddress() const override;
  std::optional<std::string> controlAddressIn(const std::string& zone) const override;
  double requestsPerS() const override { return requests_.requestsPerS(Clock::now()); }
  std::string statusJson() const override { return controller::statusJson(statusSources(), Clock::now()); }
  std::string countersJson() const override { return controller::countersJson(*context_.raft); }
  std::string platformJson() const override { return platform_.statusJson(Clock::now()); }
  std::string shardsJson() const override { return coordination_.shardsJson(Clock::now()); }
  std::string replicatedCountersJson() const override { return counters_.countersJson(Clock::now()); }
  std::string zoneDrainsJson() const override { return controller::zoneDrainsJson(statusSources(), Clock::now()); }
  Result<std::string> exchangeHints(std::string_view body, std::string_view seal) override {
    return hints_.exchange(body, seal);
  }

 private:
  PendingWrites::Submitters submitters();
  Result<void> startLinks(runtime::Startup& startup);
  void startTimers();
  void onTick();
  void onMaintenanceTimer();
  void writeRollouts(TimePoint now);
  void proposeFounding(const state_machine::ShardFounding& founding);
  std::string controlAddressAt(const std::string& ip) const;
  StatusSources statusSources() const { return {context_, agents_, requests_, hints_}; }

  std::shared_ptr<DiskThread> disk_;                // set by `start`
  const std::uint64_t incarnation_ = randomSeed();  // drawn at random by each process
  ControllerContext context_;
  std::optional<OperationIds> operationIds_;  // set once the member's id is known
  MajorityContact contact_;
  PeerLinks peers_;
  AgentSessions agents_;
  PendingWrites writes_;
  LeaseReads reads_;
  AgentRequestHandler requests_;
  PartnerHints hints_;
  RunnerLiveness runners_;
  CoordinationService coordination_;
  CounterService counters_;
  GracefulShutdown shutdown_;
  PlatformFunctions platform_;
  RoleChanges roles_;
  RaftDriver driver_;
  MessageDispatcher dispatcher_;
  std::uint64_t ticksAsLeader_ = 0;
};
}  // namespace zinccleat::controller
