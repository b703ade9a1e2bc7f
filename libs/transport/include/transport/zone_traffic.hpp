/// What this process has queued for its peers, by the zone of the peer and the type of message. On the event loop's
/// thread only.
#pragma once
#include <array>

#include "transport/envelope.hpp"
namespace zinccleat::transport {
/// Messages and bytes, heads of frames included.
struct TrafficCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};
/// By type of message; index 0 is not used.
using TrafficByType = std::array<TrafficCount, static_cast<std::size_t>(kLastMessageType) + 1>;

/// The counters of this process for peers in one zone, made at the first use; they stay for the life of the process.
/// @param zone empty: peers whose zone is not known, and those of the zones beyond the first 63.
TrafficByType& trafficTo(const std::string& zone);
/// The counters of this process by zone.
const std::map<std::string, TrafficByType>& trafficByZone();
/// The name of a type of message, as reports and metrics have it; "unknown" if there is no such type.
std::string_view nameOf(MessageType type);
}  // namespace zinccleat::transport
