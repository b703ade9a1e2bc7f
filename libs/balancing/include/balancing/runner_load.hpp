/// @file
/// The load of a runner: from its own reports while they are fresh, and from this proxy's attempts.
#pragma once
#include "balancing/runner_endpoint.hpp"
namespace zinccleat::balancing {
/// Takes a runner's report of its load: "running,waiting,slots". One that cannot be read is ignored.
void updateLoad(RunnerEndpoint& endpoint, std::string_view report, TimePoint now);
/// Whether the newest report is fresh enough to go by.
bool hasFreshLoadReport(const RunnerEndpoint& endpoint, TimePoint now);
/// Requests at the runner as a fraction of its slots.
double loadOf(const RunnerEndpoint& endpoint, TimePoint now);
}  // namespace zinccleat::balancing
