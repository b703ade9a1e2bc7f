/// @file
/// The functions that the leader performs at the platform: usage reports and orders of runners.
///
/// A report is committed to the log before it is first sent, so that a later leader sends the same report. It is sent
/// until the platform has confirmed it. An order contains the complete desired state and is sent again if it may have
/// been lost or delayed.
///
/// Disabled if the settings name no platform. Runs on the event-loop thread.
#pragma once
#include <set>

#include "platform/fleet_clock.hpp"
#include "platform/scaling_policy.hpp"
#include "platform/usage_collector.hpp"
#include "platform_client.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// Sends usage reports and orders of runners to the platform; see the file comment.
class PlatformFunctions {
 public:
  /// @param context must outlive this object.
  /// @param nextOperationId generates the ids of log entries.
  PlatformFunctions(const ControllerContext& context, std::function<std::string()> nextOperationId);
  /// Called when this controller becomes the leader.
  void startTerm(TimePoint now);
  /// Handles a proxy's report. Called on a leader that holds a lease.
  /// @return the answer to the proxy.
  transport::PlatformReportAnswer onReport(TimePoint now, const std::string& agent,
                                           const transport::PlatformReport& report);
  /// Commits and sends due reports and orders. Called many times a second on the leader. The caller then executes the
  /// Raft node's actions.
  void tick(TimePoint now);
  /// Returns the response body of the Functions call; an empty object without a platform.
  std::string statusJson(TimePoint now) const;

 private:
  void commitUsage(TimePoint now);
  void sendUsage(TimePoint now);
  void sendReport(const state_machine::UsageReport& report);
  void orderRunners(TimePoint now);
  void sendOrder(const platform::ScalingOrder& order);
  std::size_t machines() const { return heardAt_.size(); }

  const ControllerContext& context_;
  std::function<std::string()> nextOperationId_;
  PlatformClient client_;
  platform::FleetClock clock_;
  platform::UsageCollector usage_;
  platform::ScalingPolicy scaling_;
  std::unordered_map<std::string, TimePoint> heardAt_;  // keyed by address of the access machine
  // Keyed by window: time of the proposal of a report that is not committed yet.
  std::map<std::int64_t, TimePoint> proposedAt_;
  std::set<std::int64_t> confirmed_;  // windows that the platform has confirmed; the log may not record that yet
  TimePoint usageCheckedAt_{};
  TimePoint scalingDecidedAt_{};
  std::uint64_t reportsAccepted_ = 0;
  std::uint64_t ordersAccepted_ = 0;
};
}  // namespace zinccleat::controller
