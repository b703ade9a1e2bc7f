#include "runtime/connection.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstddef>

#include "runtime/event_loop.hpp"

namespace zinccleat::runtime {
namespace {
constexpr std::size_t kMaxWritePart = std::size_t{64} * 1024;
constexpr unsigned kUserTimeoutMs = 4000;  // a connection with data unacknowledged for this time is closed

// If nobody listens at the destination and the system chooses the destination's own port as the local one, TCP connects
// the socket to itself. It would then hold the address against the process that is about to listen there.
bool isConnectedToItself(const tcp::socket& socket) {
  SocketError ec;
  const auto local = socket.local_endpoint(ec);
  if (ec)
    return false;
  const auto remote = socket.remote_endpoint(ec);
  return !ec && local == remote;
}
// Makes the next close reset the connection, which then leaves no TIME_WAIT.
void resetOnClose(tcp::socket& socket) {
  SocketError ignored;
  socket.set_option(tcp::socket::linger(true, 0), ignored);
}
}  // namespace

Connection::Connection() : socket_(EventLoop::get().io()) {}
Connection::Connection(tcp::socket socket) : socket_(std::move(socket)) {}
Connection::~Connection() {
  close();
}
void Connection::setDeadline(TimePoint deadline) {
  deadline_ = deadline;
  deadlineExceeded_ = false;
  if (deadline != TimePoint::max())
    EventLoop::get().watch(*this);
  else if (is_linked())
    unlink();
}
bool Connection::failsByDeadline(SocketError& ec) {
  if (deadline_ == TimePoint::max() || Clock::now() < deadline_)
    return false;
  deadlineExceeded_ = true;
  ec = asio::error::operation_aborted;
  return true;
}
std::size_t Connection::read(asio::mutable_buffer buffer, SocketError& ec) {
  if (failsByDeadline(ec))
    return 0;
  std::size_t received = 0;
  Waiter waiter;
  socket_.async_read_some(buffer, [&](SocketError error, std::size_t bytes) {
    ec = error;
    received = bytes;
    waiter.wake();
  });
  waiter.wait();
  if (received > 0)
    progress_.record(received, Clock::now());
  return received;
}
std::size_t Connection::write(asio::const_buffer buffer, SocketError& ec) {
  return write(buffer, asio::const_buffer(), ec);
}
std::size_t Connection::write(asio::const_buffer first, asio::const_buffer second, SocketError& ec) {
  if (failsByDeadline(ec))
    return 0;
  // Tries a non-blocking send first: most writes fit into the socket's buffer, and suspending the fiber would cost an
  // iteration of the event loop.
  if (!nonBlocking_) {
    socket_.non_blocking(true, ec);
    nonBlocking_ = true;
  }
  const auto total = first.size() + second.size();
  std::array<asio::const_buffer, 2> buffers{first, second};
  auto written = second.size() == 0 ? socket_.send(asio::buffer(first), MSG_NOSIGNAL, ec)
                                    : socket_.send(buffers, MSG_NOSIGNAL, ec);
  if (ec == asio::error::would_block)
    ec = {};
  else if (ec)
    return 0;
  if (written >= total)
    return written;
  const auto ofFirst = std::min(written, first.size());
  buffers[0] += ofFirst;
  buffers[1] += written - ofFirst;
  return written + writeRest(buffers, ec);
}
std::size_t Connection::writeRest(const std::array<asio::const_buffer, 2>& buffers, SocketError& ec) {
  std::size_t written = 0;
  writing_ = true;
  progress_.begin(Clock::now());
  // Called after each part that was written. A peer that always takes the next part meets the deadline here.
  SocketError late;
  const auto recordPart = [this, &written, &late](const SocketError& error, std::size_t bytes) -> std::size_t {
    progress_.record(bytes - written, Clock::now());
    written = bytes;
    return error || failsByDeadline(late) ? 0 : kMaxWritePart;
  };
  Waiter waiter;
  asio::async_write(socket_, buffers, recordPart, [&](SocketError error, std::size_t bytes) {
    ec = error;
    written = bytes;
    waiter.wake();
  });
  waiter.wait();
  writing_ = false;
  if (!ec && written < asio::buffer_size(buffers))
    ec = late;
  return written;
}
void Connection::allowUnread(SocketBufferBudget& budget, std::size_t wanted) {
  if (receiveBuffer_.enlarge(budget, wanted) && socket_.is_open())
    applyReceiveBuffer();
}
void Connection::allowUnsent(SocketBufferBudget& budget, std::size_t wanted) {
  if (sendBuffer_.enlarge(budget, wanted) && socket_.is_open())
    applySendBuffer();
}
void Connection::applyReceiveBuffer() {
  SocketError ignored;
  socket_.set_option(tcp::socket::receive_buffer_size(static_cast<int>(receiveBuffer_.size())), ignored);
}
void Connection::applySendBuffer() {
  SocketError ignored;
  socket_.set_option(tcp::socket::send_buffer_size(static_cast<int>(sendBuffer_.size())), ignored);
}
void Connection::connect(const tcp::endpoint& endpoint, SocketError& ec) {
  if (!socket_.is_open())
    socket_.open(endpoint.protocol(), ec);
  if (ec)
    return;
  if (limitsBuffers_) {
    applyReceiveBuffer();
    applySendBuffer();
  }
  // Without this option the port that the system chooses here cannot be listened on until a minute after the close
  // (TIME_WAIT). It may be the port of a process of this machine that is being restarted.
  socket_.set_option(tcp::socket::reuse_address(true), ec);
  setConnectionOptions(socket_);
  Waiter waiter;
  socket_.async_connect(endpoint, [&](SocketError error) {
    ec = error;
    waiter.wake();
  });
  waiter.wait();
  if (!ec && isConnectedToItself(socket_)) {
    resetOnClose(socket_);
    close();
    ec = asio::error::connection_refused;
  }
}
void Connection::awaitReadable(SocketError& ec) {
  if (failsByDeadline(ec))
    return;
  Waiter waiter;
  socket_.async_wait(tcp::socket::wait_read, [&](SocketError error) {
    ec = error;
    waiter.wake();
  });
  waiter.wait();
}
bool Connection::peerHasClosed() {
  char next = 0;
  const auto count = ::recv(socket_.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  return !isOpen;
}
bool Connection::awaitPeerClose(Duration wait) {
  if (wait <= Duration(0))
    return peerHasClosed();
  setDeadline(Clock::now() + wait);
  SocketError ignored;
  awaitReadable(ignored);
  clearDeadline();
  return peerHasClosed();
}
void Connection::close() {
  SocketError ec;
  if (is_linked())
    unlink();
  if (socket_.is_open())
    socket_.close(ec);
}
void Connection::cancel() {
  SocketError ec;
  if (socket_.is_open())
    socket_.cancel(ec);
}

void setConnectionOptions(tcp::socket& socket) {
  SocketError ec;
  socket.set_option(tcp::no_delay(true), ec);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMs, sizeof kUserTimeoutMs);
}

namespace {
/// Parses a port in decimal digits; leading zeros are allowed. Returns nothing unless the port is 1 to 65535.
std::optional<std::uint16_t> parsePort(std::string_view text) {
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
  if (error != std::errc{} || end != text.data() + text.size() || port == 0)
    return std::nullopt;
  return port;
}
}  // namespace
Result<tcp::endpoint> parseEndpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return makeError(ErrorCode::invalidArgument, "no port in address '" + std::string(text) + "'");
  SocketError ec;
  const auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  if (ec)
    return makeError(ErrorCode::invalidArgument, "no IP number in address '" + std::string(text) + "'");
  const auto port = parsePort(text.substr(colon + 1));
  if (!port)
    return makeError(ErrorCode::invalidArgument, "no port in address '" + std::string(text) + "'");
  return tcp::endpoint(ip, *port);
}
}  // namespace zinccleat::runtime
