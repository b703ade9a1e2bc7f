#include "config/control_requests.hpp"

#include "config/json.hpp"

namespace zinccleat::config {
namespace {
constexpr std::size_t kMaxRevisionBytes = 128;
constexpr double kMinRolloutS = 1;
constexpr double kMaxRolloutS = 86400;
constexpr double kMsPerS = 1000;
}  // namespace

Result<RunnerHeartbeat> parseRunnerHeartbeat(std::string_view id, std::string_view body) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return makeError(ErrorCode::invalidArgument, "heartbeat is no JSON object");
  RunnerHeartbeat heartbeat;
  heartbeat.id = std::string(id);
  std::string state;
  Duration::rep warmupLeftMs = 0;
  JsonReader reader;
  reader.text(root, "targetService", heartbeat.service, Presence::required);
  reader.text(root, "address", heartbeat.address, Presence::required);
  reader.text(root, "zone", heartbeat.zone);
  reader.text(root, "state", state);
  reader.integer(root, "capacity", heartbeat.capacity);
  reader.integer(root, "sequence", heartbeat.sequence);
  reader.integer(root, "warmupLeftMs", warmupLeftMs);
  reader.text(root, "configVersion", heartbeat.revision);
  heartbeat.draining = state == "draining";
  heartbeat.warmupLeft = Duration(warmupLeftMs);
  if (!reader.ok())
    return makeError(ErrorCode::invalidArgument, "heartbeat: " + reader.error());
  if (heartbeat.id.empty())
    return makeError(ErrorCode::invalidArgument, "heartbeat without an id");
  return heartbeat;
}

Result<ZoneDrainRequest> parseZoneDrainRequest(std::string_view body) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return makeError(ErrorCode::invalidArgument, "closure is no JSON object");
  ZoneDrainRequest request;
  JsonReader reader;
  reader.text(root, "place", request.zone, Presence::required);
  reader.text(root, "note", request.note);
  reader.integer(root, "share", request.drainPercent);
  reader.boolean(root, "doorsShut", request.notAccepting);
  reader.boolean(root, "open", request.open);
  reader.boolean(root, "force", request.force);
  reader.number(root, "calmBelowPerS", request.calmBelowPerS);
  if (request.drainPercent < 0 || request.drainPercent > 100)
    reader.fail("no percentage in", "share");
  if (!reader.ok())
    return makeError(ErrorCode::invalidArgument, "closure: " + reader.error());
  return request;
}

Result<RolloutRequest> parseRolloutRequest(std::string_view body) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return makeError(ErrorCode::invalidArgument, "rollout is no JSON object");
  RolloutRequest request;
  double durationS = 0;
  JsonReader reader;
  reader.text(root, "targetService", request.service, Presence::required);
  reader.text(root, "targetRevision", request.revision, Presence::required);
  reader.number(root, "durationS", durationS, Presence::required);
  if (request.revision.empty() || request.revision.size() > kMaxRevisionBytes)
    reader.fail("1 to 128 bytes in", "targetRevision");
  if (!(durationS >= kMinRolloutS && durationS <= kMaxRolloutS))
    reader.fail("1 to 86400 in", "durationS");
  if (!reader.ok())
    return makeError(ErrorCode::invalidArgument, "rollout: " + reader.error());
  request.duration = Duration(static_cast<Duration::rep>(durationS * kMsPerS));
  return request;
}
Result<std::string> parseRolloutRevertRequest(std::string_view body) {
  JsonDocument document(body);
  JsonObject root;
  if (!document.object(root))
    return makeError(ErrorCode::invalidArgument, "rollout is no JSON object");
  std::string service;
  JsonReader reader;
  reader.text(root, "targetService", service, Presence::required);
  if (!reader.ok())
    return makeError(ErrorCode::invalidArgument, "rollout: " + reader.error());
  return service;
}
}  // namespace zinccleat::config
