/// @file
/// Estimates the load of a runner from the runner's own reports, while they are fresh, and from this proxy's attempts.
#pragma once
#include "balancing/runner_endpoint.hpp"
namespace zinccleat::balancing {
/// Stores a runner's load report, "running,waiting,slots". A report that cannot be parsed is ignored.
void updateLoad(RunnerEndpoint& endpoint, std::string_view report, TimePoint now);
/// Whether the newest report is recent enough to be used.
bool hasFreshLoadReport(const RunnerEndpoint& endpoint, TimePoint now);
/// The number of requests at the runner divided by the number of its slots.
double loadOf(const RunnerEndpoint& endpoint, TimePoint now);
}  // namespace zinccleat::balancing
