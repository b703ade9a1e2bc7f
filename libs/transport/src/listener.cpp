#include "transport/listener.hpp"

#include "runtime/address_holder.hpp"

namespace zinccleat::transport {
namespace {
constexpr int kAcceptBacklog = 512;  // maximum number of connections that wait in the operating system to be accepted
// Without a pause, accept would fail again immediately while no file descriptors are free, and use a full CPU core.
constexpr auto kPauseAfterError = 20ms;

tl::unexpected<Error> bindError(const tcp::endpoint& endpoint, const runtime::SocketError& ec) {
  auto message =
      "cannot bind " + endpoint.address().to_string() + ":" + std::to_string(endpoint.port()) + ": " + ec.message();
  if (ec != asio::error::address_in_use)
    return makeError(ErrorCode::ioError, std::move(message), ec.value());
  const auto use = runtime::findAddressUse(endpoint);
  if (!use.description.empty())
    message += ", " + use.description;
  const auto code = use.holder == runtime::AddressHolder::connection ? ErrorCode::addressTaken : ErrorCode::ioError;
  return makeError(code, std::move(message), ec.value());
}
}  // namespace

/// The listening socket. Owned by its pending asynchronous operation and by the `Listener` handle.
class Listener::Acceptor : public std::enable_shared_from_this<Listener::Acceptor> {
 public:
  Acceptor(std::function<void(tcp::socket)> onAccept, const SocketBufferSizes& buffers)
      : buffers_(buffers),
        acceptor_(runtime::EventLoop::get().io()),
        pause_(runtime::EventLoop::get().io()),
        onAccept_(std::move(onAccept)) {}
  Result<void> open(const tcp::endpoint& endpoint) {
    runtime::SocketError ec;
    acceptor_.open(endpoint.protocol(), ec);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    // Accepted sockets inherit the sizes. Set before the port listens, so that no peer is invited to send more.
    acceptor_.set_option(tcp::acceptor::receive_buffer_size(static_cast<int>(buffers_.receive)), ec);
    if (buffers_.send > 0)
      acceptor_.set_option(tcp::acceptor::send_buffer_size(static_cast<int>(buffers_.send)), ec);
    acceptor_.bind(endpoint, ec);
    if (ec)
      return bindError(endpoint, ec);
    acceptor_.listen(kAcceptBacklog, ec);
    if (ec)
      return makeError(ErrorCode::ioError, "cannot listen: " + ec.message(), ec.value());
    return {};
  }
  void close() {
    runtime::SocketError ec;
    acceptor_.close(ec);
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void acceptNext() {
    if (!acceptor_.is_open())
      return;
    acceptor_.async_accept([self = shared_from_this()](runtime::SocketError ec, tcp::socket socket) {
      if (ec == asio::error::operation_aborted)
        return;
      if (ec)
        return self->acceptAfterPause();
      self->onAccept_(std::move(socket));
      self->acceptNext();
    });
  }

 private:
  void acceptAfterPause() {
    pause_.expires_after(kPauseAfterError);
    pause_.async_wait([self = shared_from_this()](runtime::SocketError) { self->acceptNext(); });
  }

  SocketBufferSizes buffers_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::function<void(tcp::socket)> onAccept_;
};

Listener::Listener(std::shared_ptr<Acceptor> acceptor) : acceptor_(std::move(acceptor)) {}
void Listener::close() {
  acceptor_->close();
}
tcp::endpoint Listener::endpoint() const {
  return acceptor_->endpoint();
}
Result<Listener> openListener(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept,
                              const SocketBufferSizes& buffers) {
  auto acceptor = std::make_shared<Listener::Acceptor>(std::move(onAccept), buffers);
  if (auto opened = acceptor->open(endpoint); !opened)
    return tl::unexpected(opened.error());
  acceptor->acceptNext();
  return Listener(std::move(acceptor));
}
Result<void> listen(const tcp::endpoint& endpoint, std::function<void(tcp::socket)> onAccept,
                    const SocketBufferSizes& buffers) {
  auto listener = openListener(endpoint, std::move(onAccept), buffers);
  if (!listener)
    return tl::unexpected(listener.error());
  return {};
}
}  // namespace zinccleat::transport
