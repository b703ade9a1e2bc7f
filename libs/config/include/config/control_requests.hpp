// The calls of runners, after api/control.yaml.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::config {
struct RunnerHeartbeat {
  std::string id, service, address, zone;
  std::int64_t capacity = 0, sequence = 0, warmupLeftMs = 0;
  bool draining = false;
};
Result<RunnerHeartbeat> parseRunnerHeartbeat(std::string_view id, std::string_view text);
struct ZoneDrainRequest {
  std::string zone, note;
  std::int32_t drainPercent = 0;
  bool notAccepting = false, open = false, force = false;
  double calmBelowPerS = 0;  // 0: no bound
};
Result<ZoneDrainRequest> parseZoneDrainRequest(std::string_view text);
std::string quoteJson(std::string_view s);
}  // namespace zinccleat::config
