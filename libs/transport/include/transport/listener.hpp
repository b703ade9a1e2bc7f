/// Accepts TCP connections.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::transport {
/// A handle to a listening endpoint, which accepts connections until `close` is called or the event loop ends.
/// Destroying the handle does not close the endpoint.
class Listener {
 public:
  class Acceptor;
  explicit Listener(std::shared_ptr<Acceptor> acceptor);
  /// Stops accepting: new connections are refused. Connections accepted before stay open.
  void close();
  /// The bound address. If the requested port was 0, it contains the port that the operating system chose.
  tcp::endpoint endpoint() const;

 private:
  std::shared_ptr<Acceptor> acceptor_;
};
/// Bytes that a peer of a new connection may send before they are read. The kernel may hold twice as many.
inline constexpr std::size_t kMaxUnreadBytes = std::size_t{16} * 1024;
/// The same for a connection within the fleet, which carries more at once.
inline constexpr std::size_t kMaxUnreadLinkBytes = std::size_t{64} * 1024;
/// Accepts connections on an endpoint until the listener is closed.
/// @param onAccept called with each accepted socket.
/// @param maxUnreadBytes the receive buffer of the accepted sockets.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on;
/// `ErrorCode::addressTaken` if a connection of this machine has the endpoint as its local one.
Result<Listener> openListener(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept,
                              std::size_t maxUnreadBytes = kMaxUnreadBytes);
/// Accepts connections on an endpoint for as long as the event loop runs.
/// @param onAccept called with each accepted socket.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on.
Result<void> listen(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept,
                    std::size_t maxUnreadBytes = kMaxUnreadBytes);
}  // namespace zinccleat::transport
