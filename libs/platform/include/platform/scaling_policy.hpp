/// @file
/// How many runners of each service are to serve in each zone: target tracking on the share of the runners' slots that
/// are in use, up at once and down slowly. Why so: docs/notes-platform.md.
///
/// A count is never lowered while the leader is blind (proxies have not reported), in a zone that is evacuated, during
/// a rollout of the service, or within `Scaling::startup` of a higher demand.
///
/// Soft state of the leader. Pure: the time is passed in.
#pragma once
#include "config/configuration.hpp"
#include "state_machine/fleet_state.hpp"
#include "transport/platform_records.hpp"
namespace zinccleat::platform {
/// A count of runners to be ordered.
struct ScalingOrder {
  std::string service;
  std::string zone;
  int desiredCount = 0;
  const char* reason = "";  ///< for logs
};
/// What is known of one service in one zone, for reports.
struct ScalingStatus {
  std::string service;
  std::string zone;
  int present = 0;   ///< runners in service
  int demand = 0;    ///< requests under way at them, and those that found none
  int wanted = 0;    ///< runners that the demand calls for
  int ordered = -1;  ///< by this leader; -1: nothing yet
  const char* reason = "";
};

/// See the file's comment.
class ScalingPolicy {
 public:
  /// A leader's term begins: it has ordered nothing yet.
  void startTerm(TimePoint now);
  /// A proxy has told its load.
  void report(const std::string& machine, const std::vector<transport::RunnerLoadReport>& loads, TimePoint now);
  /// The orders to be sent now.
  /// @param machines access machines that were heard lately.
  std::vector<ScalingOrder> decide(const config::Configuration& configuration,
                                   const state_machine::StateContents& state, std::size_t machines, TimePoint now);
  /// The platform has taken an order.
  void accepted(const ScalingOrder& order, TimePoint now);
  /// An order got no answer and may be carried out late: the newest one is sent again some time after.
  void unanswered(const ScalingOrder& order, TimePoint now);
  std::vector<ScalingStatus> status() const;

 private:
  using ServiceZone = std::pair<std::string, std::string>;  // service and zone
  struct Load {
    int inFlight = 0;
    int turnedAway = 0;
  };
  struct MachineLoad {
    TimePoint reportedAt{};
    std::vector<transport::RunnerLoadReport> loads;
  };
  /// A demand and when it was seen; the list of them falls, so the first is the highest of those that still count.
  struct Demand {
    TimePoint seenAt{};
    int runners = 0;
  };
  struct ServiceZoneState {
    int present = 0;
    int demand = 0;
    std::deque<Demand> wanted;
    std::optional<int> ordered;
    TimePoint orderedAt{};
    std::vector<TimePoint> repeatAt;  ///< the last order is sent again then
    const char* reason = "";
  };
  std::map<ServiceZone, Load> sumLoads(TimePoint now, std::size_t& reporting);
  static void recordWanted(ServiceZoneState& zoneState, int runners, Duration kept, TimePoint now);
  std::optional<ScalingOrder> decideOne(const ServiceZone& name, ServiceZoneState& zoneState,
                                        const config::Scaling& scaling, bool mayScaleDown, TimePoint now);
  static bool repeatIsDue(ServiceZoneState& zoneState, TimePoint now);

  std::unordered_map<std::string, MachineLoad> machines_;
  std::map<ServiceZone, ServiceZoneState> serviceZones_;
  TimePoint termStartedAt_{};
};
}  // namespace zinccleat::platform
