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
/// Buffers of the accepted sockets, in bytes. The operating system may hold twice as many.
struct SocketBufferSizes {
  std::size_t receive = runtime::SocketBufferBudget::kBaseBytes;
  std::size_t send = runtime::SocketBufferBudget::kBaseBytes;  ///< 0: chosen by the operating system
};
/// Buffers of a connection within the fleet, which carries more at once.
inline constexpr SocketBufferSizes kLinkBufferSizes{.receive = std::size_t{64} * 1024, .send = 0};
/// Accepts connections on an endpoint until the listener is closed.
/// @param onAccept called with each accepted socket.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on;
/// `ErrorCode::addressTaken` if a connection of this machine has the endpoint as its local one.
Result<Listener> openListener(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept,
                              const SocketBufferSizes& buffers = {});
/// Accepts connections on an endpoint for as long as the event loop runs.
/// @param onAccept called with each accepted socket.
/// @return `ErrorCode::ioError` with the `errno` if the endpoint cannot be bound or listened on.
Result<void> listen(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept,
                    const SocketBufferSizes& buffers = {});
}  // namespace zinccleat::transport
