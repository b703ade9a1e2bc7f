// Operators: they change the configuration and evacuate zones, with retries until the response is definite, and read
// the configuration at the end of the run.
#include "control_calls.hpp"
#include "operations/json_path.hpp"
#include "soak_run.hpp"

namespace zinccleat::soak {
namespace {
constexpr Duration kCallTimeout{1500};
constexpr Duration kZoneOrderTimeout{1000};  // a silent controller is given up after this time
constexpr Duration kRetryInterval{60};
constexpr int kMaxFirstChangeAttempts = 200;
constexpr int kMaxChangeAttempts = 12;
constexpr int kMaxZoneOrderAttempts = 20;
constexpr std::uint64_t kMaxQuickTurns = 3;
constexpr Duration kHoldPollInterval{50};
constexpr Duration kReadBackTimeout{3000};
constexpr int kOk = 200;
constexpr int kPreconditionFailed = 412;

/// What the operators change of the configuration.
struct Variant {
  std::set<std::string> routes;
  std::set<std::string> keys;
};
std::string routeJson(const std::string& label, const char* type, bool keyless = true) {
  return R"({"label":")" + label + R"(","authority":"soak.example","pathPrefix":"/)" + label + R"(/","routeType":")" +
         type + R"(","expiryMs":4000,"targetLatencyMs":500,"targetService":"models","maxAttempts":2,"keyless":)" +
         (keyless ? "true" : "false") + "}";
}
std::string subscribersJson(const std::set<std::string>& keys) {
  std::string list;
  for (const auto& key : keys)
    list += (list.empty() ? "" : ",") + (R"({"label":")" + tenantOf(key) + R"(","accessKeys":[")" + key + R"("]})");
  return "[" + list + "]";
}
std::string configurationJson(std::int64_t version, const Variant& variant) {
  std::string table = routeJson("safe", "safe") + "," + routeJson("unsafe", "unsafe") + "," +
                      routeJson("stream", "stream") + "," + routeJson("keyed", "safe", false);
  for (const auto& route : variant.routes)
    table += "," + routeJson(route, "safe");
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[)" + table +
         R"(],"serviceTable":[{"label":"models"}],"subscribers":)" + subscribersJson(variant.keys) + "}";
}
/// Sends one change until the response is definite (200 or 412). @return the response status; 0 without such a
/// response.
int sendChange(SoakRun& run, std::int64_t base, std::int64_t version, const Variant& variant, int attempts) {
  const auto call = simulation::replaceCall(configurationJson(version, variant), base);
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
  const Variant first{{"t0", "t1", "t2"}, {kAccessKeys.begin(), kAccessKeys.end()}};
  run.observations.changes.push_back({1, first.routes, Clock::now(), std::nullopt, false, first.keys});
  if (sendChange(run, 0, 1, first, kMaxFirstChangeAttempts) != kOk)
    return false;
  run.observations.changes.back().acknowledgedAt = Clock::now();
  run.version = 1;
  run.routes = first.routes;
  run.keys = first.keys;
  return true;
}
namespace {
/// Sends one change that is based on the newest acknowledged configuration. @return whether it was acknowledged.
bool changeTo(SoakRun& run, const Variant& variant) {
  const auto base = run.version;
  const auto version = base + 1 + static_cast<std::int64_t>(run.draw(3));
  const auto index = run.observations.changes.size();
  run.observations.changes.push_back({version, variant.routes, Clock::now(), std::nullopt, false, variant.keys});
  const int status = sendChange(run, base, version, variant, kMaxChangeAttempts);
  auto& change = run.observations.changes[index];
  change.refused = status == kPreconditionFailed;
  if (status != kOk)
    return false;
  change.acknowledgedAt = Clock::now();
  if (version > run.version) {
    run.version = version;
    run.routes = variant.routes;
    run.keys = variant.keys;
  }
  return true;
}
}  // namespace
void changeConfiguration(SoakRun& run) {
  (void)changeTo(run, {withRandomRouteToggled(run), run.keys});
}
void changeAccessKeys(SoakRun& run) {
  auto keys = run.keys;
  if (keys.empty())
    run.takesKeysAway = false;
  if (keys.size() == kAccessKeys.size())
    run.takesKeysAway = true;
  const auto& key = kAccessKeys[run.draw(kAccessKeys.size())];
  if (run.takesKeysAway)
    keys.erase(keys.contains(key) ? key : *keys.begin());
  else
    keys.insert(key);
  const bool isLast = keys.empty();
  if (changeTo(run, {run.routes, keys}) && isLast)  // no key is valid for longer than the bound of a change
    runtime::EventLoop::get().sleepFor(run.observations.bounds.configApply + run.drawDuration(100ms, 1500ms));
}
namespace {
/// Sends an evacuation order for a zone until it is acknowledged. @return false if no attempt was acknowledged.
bool sendZoneOrder(SoakRun& run, const std::string& order, const std::string& zone) {
  for (int attempt = 0; attempt < kMaxZoneOrderAttempts; ++attempt) {
    const auto response = operations::callOne(
        run.randomControllerAddress(), {"POST", "/v1/Evacuation." + order + "/" + zone, "", {}}, kZoneOrderTimeout);
    if (response && response->status == kOk)
      return true;
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  return false;
}
/// @return the index of the evacuation in the observations; none if it was not acknowledged.
std::optional<std::size_t> beginEvacuation(SoakRun& run, const std::string& zone) {
  if (!sendZoneOrder(run, "Begin", zone))
    return std::nullopt;
  run.observations.evacuations.push_back({zone, Clock::now(), std::nullopt});
  return run.observations.evacuations.size() - 1;
}
void endEvacuation(SoakRun& run, const std::string& zone, std::optional<std::size_t> evacuation) {
  if (evacuation)
    run.observations.evacuations[*evacuation].releasedAt = Clock::now();
  (void)sendZoneOrder(run, "Release", zone);
}
}  // namespace
void evacuateInTurns(SoakRun& run, const std::string& zone) {
  auto& loop = runtime::EventLoop::get();
  for (auto turns = run.draw(kMaxQuickTurns + 1); turns > 0 && run.disturbancesActive; --turns) {
    const auto evacuation = beginEvacuation(run, zone);
    loop.sleepFor(run.drawDuration(20ms, 600ms));
    endEvacuation(run, zone, evacuation);
    loop.sleepFor(run.drawDuration(20ms, 400ms));
  }
  const auto evacuation = beginEvacuation(run, zone);
  const bool holdsLong = run.draw(3) == 0;
  loop.sleepFor(run.drawDuration(100ms, holdsLong ? run.observations.bounds.evacuate + 1500ms : 800ms));
  while (!run.disturbancesActive && run.loadActive)
    loop.sleepFor(kHoldPollInterval);
  endEvacuation(run, zone, evacuation);
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
