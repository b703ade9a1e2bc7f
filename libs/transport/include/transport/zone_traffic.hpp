/// Counters of the traffic that this process has queued for its peers, by the zone of the peer and the message type.
/// Used only on the event loop's thread.
#pragma once
#include <array>

#include "transport/envelope.hpp"
namespace zinccleat::transport {
/// Numbers of messages and bytes. Bytes include the frame headers.
struct TrafficCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};
/// Counters by message type. Index 0 counts messages of unknown types.
using TrafficByType = std::array<TrafficCount, static_cast<std::size_t>(kLastMessageType) + 1>;

/// The counters for peers in one zone, created at the first use and valid until the process ends.
/// @param zone the zone; empty for peers of unknown zones and of zones beyond the first 63.
TrafficByType& trafficTo(const std::string& zone);
/// The counters of all zones, by zone.
const std::map<std::string, TrafficByType>& trafficByZone();
/// The name of a message type in reports and metrics; "unknown" for an invalid type.
std::string_view nameOf(MessageType type);
}  // namespace zinccleat::transport
