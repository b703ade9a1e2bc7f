/// TCP connections for fibers, and the endpoints that they connect to.
#pragma once
#include <boost/intrusive/list.hpp>

#include "runtime/asio.hpp"
#include "runtime/common.hpp"
namespace zinccleat::runtime {
/// A TCP connection whose operations suspend the calling fiber instead of the thread. One fiber reads and one writes at
/// a time. Operations report errors through their `ec` argument.
///
/// A deadline cancels the operations under way once it has passed. It is checked every 20 ms.
class Connection : public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
 public:
  /// A connection that is not open yet; see `connect`.
  Connection();
  /// A connection accepted by a listening socket.
  explicit Connection(tcp::socket socket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  /// Reads what has arrived, waiting for at least one byte.
  /// @return the bytes read; 0 with an error.
  std::size_t read(asio::mutable_buffer buffer, SocketError& ec);
  /// Writes the full buffer.
  /// @return the bytes that the operating system accepted. Only 0 together with an error proves that none of them can
  /// reach the other end.
  std::size_t write(asio::const_buffer buffer, SocketError& ec);
  /// Connects to an endpoint.
  void connect(const tcp::endpoint& endpoint, SocketError& ec);
  /// Waits until bytes can be read, without reading them.
  void awaitReadable(SocketError& ec);
  /// Sets the deadline of all operations from here on.
  void setDeadline(TimePoint deadline);
  /// Removes the deadline.
  void clearDeadline() { setDeadline(TimePoint::max()); }
  /// Whether the deadline set last has passed and operations were cancelled.
  bool deadlineExceeded() const { return deadlineExceeded_; }
  /// Closes the socket; operations under way end with an error.
  void close();
  /// Cancels the operations under way; they end with an error.
  void cancel();
  /// The socket underneath.
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
/// Sets the options of every connection: small writes leave without delay, and a peer that acknowledges nothing for
/// four seconds counts as lost.
void tune(tcp::socket& socket);
/// Parses "IP:PORT". A name instead of an IP address, or port 0, is an `ErrorCode::invalidArgument`.
Result<tcp::endpoint> parseEndpoint(std::string_view text);
}  // namespace zinccleat::runtime
