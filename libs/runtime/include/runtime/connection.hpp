/// TCP connections for fibers, and parsing of endpoint addresses.
#pragma once
#include <boost/intrusive/list.hpp>

#include "runtime/asio.hpp"
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// A TCP connection whose operations suspend the calling fiber instead of blocking the thread. At most one fiber may
/// read and one may write at the same time. Operations report errors through the parameter `ec`.
///
/// When the deadline of a connection passes, pending operations are cancelled. Deadlines are checked every 20 ms.
class Connection : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// Creates a closed connection; `connect` opens it.
  Connection();
  /// Wraps a socket that a listening socket accepted.
  explicit Connection(tcp::socket socket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  /// Waits for at least one byte and reads the available bytes.
  /// @return the number of bytes read; 0 on an error.
  std::size_t read(asio::mutable_buffer buffer, SocketError& ec);
  /// Writes the whole buffer.
  /// @return the number of bytes that the operating system accepted. Only 0 together with an error proves that no byte
  /// can reach the peer.
  std::size_t write(asio::const_buffer buffer, SocketError& ec);
  /// Writes two buffers as one message, without joining them in memory.
  std::size_t write(asio::const_buffer first, asio::const_buffer second, SocketError& ec);
  /// Connects to an endpoint.
  void connect(const tcp::endpoint& endpoint, SocketError& ec);
  /// Waits until bytes can be read, without reading them.
  void awaitReadable(SocketError& ec);
  /// Whether the peer has closed the connection, or the connection failed. Does not wait, and returns false while
  /// unread bytes precede the end.
  bool peerHasClosed();
  /// Waits until the peer closes the connection, for at most `wait`. Replaces the deadline of the connection; no other
  /// fiber may read meanwhile.
  /// @return whether the peer has closed the connection; false at once if unread bytes precede the end.
  bool awaitPeerClose(Duration wait);
  /// Sets the deadline for pending and future operations.
  void setDeadline(TimePoint deadline);
  /// Removes the deadline.
  void clearDeadline() { setDeadline(TimePoint::max()); }
  /// Whether the most recently set deadline has passed and operations were cancelled.
  bool deadlineExceeded() const { return deadlineExceeded_; }
  /// Closes the socket; pending operations complete with an error.
  void close();
  /// Cancels pending operations, which complete with an error.
  void cancel();
  /// The underlying socket.
  tcp::socket& socket() { return socket_; }
  /// The deadline; `TimePoint::max()` if there is none.
  TimePoint deadline() const { return deadline_; }
  /// Called by the event loop when the deadline has passed.
  void onDeadline() {
    deadlineExceeded_ = true;
    cancel();
  }

 private:
  tcp::socket socket_;
  TimePoint deadline_ = TimePoint::max();
  bool deadlineExceeded_ = false;
  bool nonBlocking_ = false;
};
/// Sets the options that every connection has: small writes are sent without delay (TCP_NODELAY), and a connection
/// whose peer acknowledges no data for four seconds is closed (TCP_USER_TIMEOUT).
void setConnectionOptions(tcp::socket& socket);
/// Parses "IP:PORT". A host name instead of an IP address, or port 0, gives `ErrorCode::invalidArgument`.
Result<tcp::endpoint> parseEndpoint(std::string_view text);
}  // namespace zinccleat::runtime
