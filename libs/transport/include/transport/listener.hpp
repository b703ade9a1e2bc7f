/// Accepts TCP connections.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::transport {
/// An endpoint on which connections are accepted until it is closed or the event loop ends; destroying the handle does
/// not close it.
class Listener {
 public:
  class Acceptor;
  explicit Listener(std::shared_ptr<Acceptor> acceptor);
  /// Accepts no more: new connections are refused. Those accepted before are not touched.
  void close();
  /// The bound address, with the port that the operating system chose for port 0.
  tcp::endpoint endpoint() const;

 private:
  std::shared_ptr<Acceptor> acceptor_;
};
/// Accepts connections on an endpoint until the listener is closed.
/// @param onAccept called with each accepted socket.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on.
Result<Listener> openListener(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept);
/// Accepts connections on an endpoint for as long as the event loop runs.
/// @param onAccept called with each accepted socket.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on.
Result<void> listen(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept);
}  // namespace zinccleat::transport
