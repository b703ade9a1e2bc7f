/// @file
/// Decides how many runners each service should have in each zone. It uses target tracking on the utilization of the
/// runners' slots, scales up immediately and scales down slowly. The reasons are explained in docs/notes-platform.md.
///
/// A count is never lowered while too many proxies have not reported their load, in a zone that is being evacuated,
/// during a rollout of the service, or within `Scaling::startup` of a higher demand.
///
/// The state is not persisted; it belongs to the leader. Pure: the time is passed in.
#pragma once
#include "config/configuration.hpp"
#include "state_machine/fleet_state.hpp"
#include "transport/platform_records.hpp"
namespace zinccleat::platform {
/// An order to the platform to run a number of runners.
struct ScalingOrder {
  std::string service;
  std::string zone;
  int desiredCount = 0;
  const char* reason = "";  ///< for logs
};
/// The scaling status of one service in one zone, for status reports.
struct ScalingStatus {
  std::string service;
  std::string zone;
  int present = 0;  ///< runners in service
  int demand = 0;  ///< requests in flight at these runners, plus the zone's share of requests that found no free runner
  int wanted = 0;  ///< runners needed for the demand
  int ordered = -1;  ///< the count last ordered by this leader; -1: none yet
  const char* reason = "";
};

/// Decides the desired runner counts; see the description at the top of this file.
class ScalingPolicy {
 public:
  /// A new term of the leader begins. It has not ordered anything yet.
  void startTerm(TimePoint now);
  /// Records the load that a proxy has reported.
  void report(const std::string& machine, const std::vector<transport::RunnerLoadReport>& loads, TimePoint now);
  /// The orders to send now.
  /// @param machines number of access machines that were recently in contact.
  std::vector<ScalingOrder> decide(const config::Configuration& configuration,
                                   const state_machine::StateContents& state, std::size_t machines, TimePoint now);
  /// The platform has accepted an order.
  void accepted(const ScalingOrder& order, TimePoint now);
  /// An order got no answer and may still be executed late, after a newer one. The latest order is therefore repeated
  /// after some time.
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
  /// A number of runners and when it was needed. The list of them is descending, so its first element is the highest
  /// demand that still counts.
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
    std::vector<TimePoint> repeatAt;  ///< when to repeat the last order
    const char* reason = "";
  };
  std::map<ServiceZone, Load> sumLoads(TimePoint now, std::size_t& reporting);
  static void recordNeededRunners(ServiceZoneState& zoneState, int runners, Duration retention, TimePoint now);
  std::optional<ScalingOrder> decideForZone(const ServiceZone& serviceZone, ServiceZoneState& zoneState,
                                            const config::Scaling& scaling, bool mayScaleDown, TimePoint now);
  static bool repeatIsDue(ServiceZoneState& zoneState, TimePoint now);

  std::unordered_map<std::string, MachineLoad> machines_;
  std::map<ServiceZone, ServiceZoneState> serviceZones_;
  TimePoint termStartedAt_{};
};
}  // namespace zinccleat::platform
