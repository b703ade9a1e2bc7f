#include "client_watch.hpp"

#include <sys/socket.h>

namespace zinccleat::proxy {
bool hasDisconnected(runtime::Connection& client) {
  char next = 0;
  const auto count = ::recv(client.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  return !isOpen;
}
ClientWatch::ClientWatch(runtime::Connection& client) : client_(client) {
  client.socket().async_wait(tcp::socket::wait_read, [state = state_, &client](runtime::SocketError ec) {
    if (ec || state->stopped || !hasDisconnected(client))
      return;
    state->disconnected = true;
    // The upstream connection is closed, not only cancelled, so that a later read by the fiber fails instead of
    // waiting.
    if (state->upstream)
      state->upstream->close();
  });
}
ClientWatch::~ClientWatch() {
  state_->stopped = true;
  state_->upstream = nullptr;
  client_.cancel();
}
}  // namespace zinccleat::proxy
