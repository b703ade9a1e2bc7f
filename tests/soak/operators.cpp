// Operators: they change the configuration and evacuate zones, with retries until the response is definite, and read
// the configuration at the end of the run.
#include "control_calls.hpp"
#include "operations/json_path.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kCallTimeout{1500};
constexpr Duration kRetryInterval{60};
constexpr int kMaxFirstChangeAttempts = 200;
constexpr int kMaxChangeAttempts = 12;
constexpr int kMaxZoneOrderAttempts = 20;
constexpr Duration kReadBackTimeout{3000};
constexpr int kOk = 200;
constexpr int kPreconditionFailed = 412;

std::string routeJson(const std::string& label, const char* type) {
  return R"({"label":")" + label + R"(","authority":"soak.example","pathPrefix":"/)" + label + R"(/","routeType":")" +
         type + R"(","expiryMs":4000,"targetLatencyMs":500,"targetService":"models","maxAttempts":2})";
}
std::string configurationJson(std::int64_t version, const std::set<std::string>& routes) {
  std::string table =
      routeJson("safe", "safe") + "," + routeJson("unsafe", "unsafe") + "," + routeJson("stream", "stream");
  for (const auto& route : routes)
    table += "," + routeJson(route, "safe");
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[)" + table +
         R"(],"serviceTable":[{"label":"models"}]})";
}
/// Sends one change until the response is definite (200 or 412). @return the response status; 0 without such a
/// response.
int sendChange(SoakRun& run, std::int64_t base, std::int64_t version, const std::set<std::string>& routes,
               int attempts) {
  const auto call = simulation::replaceCall(configurationJson(version, routes), base);
  for (int attempt = 0; attempt < attempts; ++attempt) {
    const auto response = operations::callOne(run.randomControllerAddress(), call, kCallTimeout);
    if (response && (response->status == kOk || response->status == kPreconditionFailed))
      return response->status;
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  return 0;
}
std::set<std::string> withRandomRouteToggled(SoakRun& run) {
  auto routes = run.routes;
  const auto route = "t" + std::to_string(run.draw(kOptionalRouteCount));
  if (routes.erase(route) == 0)
    routes.insert(route);
  return routes;
}
}  // namespace

bool installFirstConfiguration(SoakRun& run) {
  const std::set<std::string> routes{"t0", "t1", "t2"};
  run.observations.changes.push_back({1, routes, Clock::now(), std::nullopt, false});
  if (sendChange(run, 0, 1, routes, kMaxFirstChangeAttempts) != kOk)
    return false;
  run.observations.changes.back().acknowledgedAt = Clock::now();
  run.version = 1;
  run.routes = routes;
  return true;
}
void changeConfiguration(SoakRun& run) {
  const auto base = run.version;
  const auto version = base + 1 + static_cast<std::int64_t>(run.draw(3));
  const auto routes = withRandomRouteToggled(run);
  const auto index = run.observations.changes.size();
  run.observations.changes.push_back({version, routes, Clock::now(), std::nullopt, false});
  const int status = sendChange(run, base, version, routes, kMaxChangeAttempts);
  auto& change = run.observations.changes[index];
  change.refused = status == kPreconditionFailed;
  if (status != kOk)
    return;
  change.acknowledgedAt = Clock::now();
  if (version > run.version) {
    run.version = version;
    run.routes = routes;
  }
}
namespace {
/// Sends an evacuation order for a zone until it is acknowledged. @return false if no attempt was acknowledged.
bool sendZoneOrder(SoakRun& run, const std::string& order, const std::string& zone) {
  for (int attempt = 0; attempt < kMaxZoneOrderAttempts; ++attempt) {
    const auto response = operations::callOne(run.randomControllerAddress(),
                                              {"POST", "/v1/Evacuation." + order + "/" + zone, "", {}}, kCallTimeout);
    if (response && response->status == kOk)
      return true;
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  return false;
}
}  // namespace
void evacuateZone(SoakRun& run) {
  const auto& zone = kZones[run.draw(kZones.size())];
  const bool acknowledged = sendZoneOrder(run, "Begin", zone);
  const auto index = run.observations.evacuations.size();
  if (acknowledged)
    run.observations.evacuations.push_back({zone, Clock::now(), std::nullopt});
  runtime::EventLoop::get().sleepFor(run.observations.bounds.evacuate + run.drawDuration(0ms, 2500ms));
  if (acknowledged)
    run.observations.evacuations[index].releasedAt = Clock::now();
  (void)sendZoneOrder(run, "Release", zone);
}
void readBackConfiguration(SoakRun& run) {
  for (const auto end = Clock::now() + kReadBackTimeout; Clock::now() < end && !run.observations.finalVersion;
       runtime::EventLoop::get().sleepFor(kRetryInterval)) {
    const auto response = operations::callOne(run.randomControllerAddress(), simulation::retrieveCall(), kCallTimeout);
    if (!response || response->status != kOk)
      continue;
    if (const auto version = operations::fieldOf(response->body, "configVersion"))
      run.observations.finalVersion = std::atoll(version->c_str());
  }
}
}  // namespace zinccleat::soak
