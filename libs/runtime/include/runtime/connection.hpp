/// TCP connections for fibers, and parsing of endpoint addresses.
#pragma once
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/intrusive/list.hpp>

#include "runtime/asio.hpp"
#include "runtime/common.hpp"
#include "runtime/socket_buffer_budget.hpp"
#include "runtime/transfer_progress.hpp"
namespace zinccleat::runtime {
/// A TCP connection whose operations suspend the calling fiber instead of blocking the thread. At most one fiber may
/// read and one may write at the same time. Operations report errors through the parameter `ec`.
///
/// When the deadline of a connection passes, pending operations are cancelled; this is checked every 20 ms. Operations
/// that begin after the deadline fail at once, whatever has arrived.
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
  /// Whether the socket is open.
  bool isOpen() const { return socket_.is_open(); }
  /// Whether a write waits for the peer to read.
  bool isWriting() const { return writing_; }
  /// How far the peer keeps up. Received bytes are recorded; so are written ones, from the moment a write has to wait.
  TransferProgress& progress() { return progress_; }
  const TransferProgress& progress() const { return progress_; }
  /// Lets the peer send more before it is read, if the budget allows it. The budget must outlive the connection, and be
  /// the same in all calls of this function and the next.
  /// @param wanted  size of the message that the peer sends
  void allowUnread(SocketBufferBudget& budget, std::size_t wanted);
  /// Lets the operating system hold more of what the peer has not taken yet, if the budget allows it.
  /// @param wanted  size of the message that is to be written
  void allowUnsent(SocketBufferBudget& budget, std::size_t wanted);
  /// Makes `connect` limit what the operating system holds in both directions, before the peer is offered a window.
  void limitBuffers() { limitsBuffers_ = true; }
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
  /// Whether the deadline has passed; if so, sets the error of a cancelled operation.
  bool failsByDeadline(SocketError& ec);
  void applyReceiveBuffer();
  void applySendBuffer();
  /// Writes what did not fit into the socket's buffer at once, as the peer reads.
  std::size_t writeRest(const std::array<asio::const_buffer, 2>& buffers, SocketError& ec);

  tcp::socket socket_;
  TimePoint deadline_ = TimePoint::max();
  bool deadlineExceeded_ = false;
  bool nonBlocking_ = false;
  bool writing_ = false;
  bool limitsBuffers_ = false;
  SocketBuffer receiveBuffer_;
  SocketBuffer sendBuffer_;
  TransferProgress progress_;
};
/// Sets the options that every connection has: small writes are sent without delay (TCP_NODELAY), and a connection
/// whose peer acknowledges no data for four seconds is closed (TCP_USER_TIMEOUT).
void setConnectionOptions(tcp::socket& socket);
/// Parses "IP:PORT". A host name instead of an IP address, or port 0, gives `ErrorCode::invalidArgument`.
Result<tcp::endpoint> parseEndpoint(std::string_view text);
}  // namespace zinccleat::runtime
