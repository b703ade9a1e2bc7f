#include "resource_meter.hpp"

#include "control_calls.hpp"
#include "process_usage.hpp"
#include "transport/envelope.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kStatusTimeout = 2000ms;

struct ReportedMessage {
  transport::MessageType type;
  const char* name;
};
// The messages between an access machine and the controllers, by the names that earlier reports gave them.
constexpr ReportedMessage kReportedMessages[] = {
    {transport::MessageType::agentState, "state"},         {transport::MessageType::clusterStatus, "stateAck"},
    {transport::MessageType::followLog, "follow"},         {transport::MessageType::feedEntries, "feed"},
    {transport::MessageType::feedSnapshot, "snapshot"},    {transport::MessageType::leaseRequest, "challenge"},
    {transport::MessageType::leaseResponse, "lease"},      {transport::MessageType::quotaTokenRequest, "draw"},
    {transport::MessageType::quotaTokenResponse, "drawn"},
};
std::string roleOf(const LocalFleet& fleet, std::size_t controller) {
  const auto status = operations::callOne(fleet.control(controller), statusCall(), kStatusTimeout);
  if (!status)
    return "";
  return status->body.find("\"role\":\"leader\"") != std::string::npos ? "leads" : "follows";
}
}  // namespace

void ResourceMeter::begin(const LocalFleet& fleet) {
  for (const auto& process : fleet.processes())
    cpuSecondsAtBegin_[process.pid] = cpuSecondsOf(process.pid);
  trafficAtBegin_ = transport::trafficCounters();
}
double ResourceMeter::cpuSecondsAtBegin(pid_t process) const {
  const auto it = cpuSecondsAtBegin_.find(process);
  return it == cpuSecondsAtBegin_.end() ? 0 : it->second;
}
std::vector<ProcessUsage> ResourceMeter::processes(const LocalFleet& fleet, double seconds) const {
  std::vector<ProcessUsage> usages;
  for (std::size_t i = 0; i < fleet.processes().size(); ++i) {
    const auto& process = fleet.processes()[i];
    const double cores = (cpuSecondsOf(process.pid) - cpuSecondsAtBegin(process.pid)) / seconds;
    usages.push_back(
        {process.name, i < fleet.core().size() ? roleOf(fleet, i) : "", cores, peakMemoryMbOf(process.pid)});
  }
  return usages;
}
std::vector<MessageTraffic> ResourceMeter::traffic(int nodes, double seconds) const {
  const auto& now = transport::trafficCounters();
  const double nodeSeconds = seconds * nodes;
  std::vector<MessageTraffic> rates;
  for (const auto& message : kReportedMessages) {
    const auto type = static_cast<std::size_t>(message.type);
    const auto sent = static_cast<double>(now.sent[type].bytes - trafficAtBegin_.sent[type].bytes);
    const auto received = static_cast<double>(now.received[type].bytes - trafficAtBegin_.received[type].bytes);
    rates.push_back({message.name, sent / nodeSeconds, received / nodeSeconds});
  }
  return rates;
}
}  // namespace zinccleat::simulation
