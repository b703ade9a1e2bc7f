/// Requests to the control API that the simulated runners and operators send.
#pragma once
#include <optional>

#include "fleet.hpp"
#include "operations/call.hpp"
namespace zinccleat::simulation {
/// Numbers of calls that the fleet acknowledged and did not acknowledge.
struct AcknowledgementCounts {
  std::uint64_t acknowledged = 0;
  std::uint64_t unacknowledged = 0;

  void add(bool wasAcknowledged) { ++(wasAcknowledged ? acknowledged : unacknowledged); }
};

/// Instances.Heartbeat of a runner. @param report the runner's report, a JSON object.
operations::Call heartbeatCall(const std::string& runnerId, std::string report);
/// Instances.Detach of a runner.
operations::Call detachCall(const std::string& runnerId);
/// Configuration.Replace on top of `baseVersion`. @param configuration the new configuration as JSON.
operations::Call replaceCall(std::string configuration, std::int64_t baseVersion);
/// Rollouts.Begin of a service. @param duration the planned duration of the rollout, sent in seconds.
operations::Call beginRolloutCall(const std::string& service, const std::string& revision, Duration duration);
/// Rollouts.Retrieve of a service.
operations::Call retrieveRolloutCall(const std::string& service);
/// Configuration.Retrieve.
operations::Call retrieveCall();
/// Status of one controller.
operations::Call statusCall();

/// Whether a response with status 200 was received.
bool isAcknowledged(const Result<operations::CallResponse>& answer);
/// Queries the status of the controllers in turn until one reports that it holds the leader's lease. Must run on a
/// fiber.
/// @return the index of that controller in `LocalFleet::core`; `std::nullopt` if no controller reports the lease.
std::optional<std::size_t> findLeader(const LocalFleet& fleet);
}  // namespace zinccleat::simulation
