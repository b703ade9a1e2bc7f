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
    // Closed and not only cancelled: a fiber that is about to read from it must not wait there again.
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
