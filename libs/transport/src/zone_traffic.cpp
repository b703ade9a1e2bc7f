#include "transport/zone_traffic.hpp"

namespace zinccleat::transport {
namespace {
// Peers report their own zone, so the number of zones must be bounded: further zones are counted as unknown.
constexpr std::size_t kMaxZones = 64;
std::map<std::string, TrafficByType> traffic;

constexpr std::array<std::string_view, static_cast<std::size_t>(kLastMessageType) + 1> kNames{
    "unknown",
    "consensus",
    "submitEntry",
    "submitEntryResponse",
    "readIndexRequest",
    "readIndexResponse",
    "heartbeatBatch",
    "heartbeatBatchResponse",
    "agentState",
    "clusterStatus",
    "followLog",
    "feedEntries",
    "feedSnapshot",
    "bodyAhead",
    "leaseRequest",
    "leaseResponse",
    "quotaTokenRequest",
    "quotaTokenResponse",
    "prefixLookupRequest",
    "prefixLookupResponse",
    "coordinationConsensus",
    "coordinationCall",
    "coordinationResult",
    "shardRecordsQuery",
    "shardRecordsAnswer",
    "counterProgressReport",
    "counterTransferRequest",
    "counterTransfer",
};
}  // namespace

TrafficByType& trafficTo(const std::string& zone) {
  const auto known = traffic.find(zone);
  if (known != traffic.end())
    return known->second;
  return traffic[traffic.size() < kMaxZones ? zone : std::string()];
}
const std::map<std::string, TrafficByType>& trafficByZone() {
  return traffic;
}
std::string_view nameOf(MessageType type) {
  const auto index = static_cast<std::size_t>(type);
  return index < kNames.size() ? kNames[index] : kNames[0];
}
}  // namespace zinccleat::transport
