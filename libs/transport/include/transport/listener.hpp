/// Accepts TCP connections.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::transport {
/// Accepts connections on an endpoint for as long as the event loop runs.
/// @param onAccept called with each accepted socket.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on.
Result<void> listen(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept);
}  // namespace zinccleat::transport
