/// The calls of the control interface that the simulated runners and operators make.
#pragma once
#include <optional>

#include "fleet.hpp"
#include "operations/call.hpp"
namespace zinccleat::simulation {
/// Outcomes of calls that are counted by whether the fleet acknowledged them.
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
/// Rollouts.Begin of a service. @param duration the term.
operations::Call beginRolloutCall(const std::string& service, const std::string& revision, Duration duration);
/// Rollouts.Retrieve of a service.
operations::Call retrieveRolloutCall(const std::string& service);
/// Configuration.Retrieve.
operations::Call retrieveCall();
/// Status of one controller.
operations::Call statusCall();

/// Whether the call was answered with 200.
bool isAcknowledged(const Result<operations::CallResponse>& answer);
/// Asks the controllers in turn for the one that leads and has its lease.
/// @return its index in `LocalFleet::core`. Runs on a fiber.
std::optional<std::size_t> findLeader(const LocalFleet& fleet);
}  // namespace zinccleat::simulation
