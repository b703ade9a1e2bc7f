#include "control_calls.hpp"

namespace zinccleat::simulation {
namespace {
constexpr int kOk = 200;
constexpr auto kStatusTimeout = 1000ms;
}  // namespace

operations::Call heartbeatCall(const std::string& runnerId, std::string report) {
  return {"POST", "/v1/Instances.Heartbeat/" + runnerId, std::move(report), {}};
}
operations::Call detachCall(const std::string& runnerId) {
  return {"POST", "/v1/Instances.Detach/" + runnerId, "{}", {}};
}
operations::Call replaceCall(std::string configuration, std::int64_t baseVersion) {
  return {
      "POST", "/v1/Configuration.Replace", std::move(configuration), {{"X-Base-Version", std::to_string(baseVersion)}}};
}
operations::Call beginRolloutCall(const std::string& service, const std::string& revision, Duration duration) {
  constexpr double kMsPerS = 1000;
  const auto seconds = std::to_string(static_cast<double>(duration.count()) / kMsPerS);
  auto body =
      R"({"targetService":")" + service + R"(","targetRevision":")" + revision + R"(","durationS":)" + seconds + "}";
  return {"POST", "/v1/Rollouts.Begin", std::move(body), {}};
}
operations::Call retrieveRolloutCall(const std::string& service) {
  return {"GET", "/v1/Rollouts.Retrieve/" + service, "", {}};
}
operations::Call retrieveCall() {
  return {"GET", "/v1/Configuration.Retrieve", "", {}};
}
operations::Call statusCall() {
  return {"GET", "/v1/Status", "", {}};
}
bool isAcknowledged(const Result<operations::CallResponse>& answer) {
  return answer && answer->status == kOk;
}
std::optional<std::size_t> findLeader(const LocalFleet& fleet) {
  for (std::size_t i = 0; i < fleet.core().size(); ++i) {
    const auto status = operations::callOne(fleet.control(i), statusCall(), kStatusTimeout);
    if (status && status->body.find("\"leased\":true") != std::string::npos)
      return i;
  }
  return std::nullopt;
}
}  // namespace zinccleat::simulation
