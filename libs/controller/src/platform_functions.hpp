/// @file
/// The functions that the fleet has at its platform, held by the leader: usage reports and orders of runners.
///
/// A report is committed to the log before it is first sent, so that a later holder sends the same; it is sent until
/// the platform has it. An order is complete in itself and is sent again where it may be carried out late.
///
/// Off where the settings name no platform. On the event-loop thread.
#pragma once
#include <set>

#include "platform/fleet_clock.hpp"
#include "platform/scaling_policy.hpp"
#include "platform/usage_collector.hpp"
#include "platform_client.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::controller {
/// See the file's comment.
class PlatformFunctions {
 public:
  /// @param context must outlive this.
  /// @param nextOperationId draws the ids of log entries.
  PlatformFunctions(const ControllerContext& context, std::function<std::string()> nextOperationId);
  /// This controller has become the leader.
  void startTerm(TimePoint now);
  /// Takes over what a proxy has told, at a leader that holds a lease. @return the answer to it.
  transport::PlatformReportAnswer onReport(TimePoint now, const std::string& agent,
                                           const transport::PlatformReport& report);
  /// Commits and sends what is due; for the leader, many times a second. The caller has the log's actions carried out.
  void tick(TimePoint now);
  /// The body of the Functions call; without a platform an empty object.
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
  std::unordered_map<std::string, TimePoint> heardAt_;  // by access machine
  std::map<std::int64_t, TimePoint> proposedAt_;        // by window, of reports that are not committed yet
  std::set<std::int64_t> confirmed_;                    // windows that the platform has; the log may not say so yet
  TimePoint usageCheckedAt_{};
  TimePoint scalingDecidedAt_{};
  std::uint64_t reportsAccepted_ = 0;
  std::uint64_t ordersAccepted_ = 0;
};
}  // namespace zinccleat::controller
