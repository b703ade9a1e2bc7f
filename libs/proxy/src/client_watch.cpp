#include "client_watch.hpp"

#include <sys/socket.h>

namespace zinccleat::proxy {
bool hasLeft(runtime::Connection& client) {
  char next = 0;
  const auto count = ::recv(client.socket().native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  return !isOpen;
}
ClientWatch::ClientWatch(runtime::Connection& client) : client_(client) {
  client.socket().async_wait(tcp::socket::wait_read, [state = state_, &client](runtime::SocketError ec) {
    if (ec || state->over || !hasLeft(client))
      return;
    state->gone = true;
    // Why shut and not only cancelled: whoever is about to read from it again must not park there.
    if (state->upstream)
      state->upstream->close();
  });
}
ClientWatch::~ClientWatch() {
  state_->over = true;
  state_->upstream = nullptr;
  client_.cancel();
}
}  // namespace zinccleat::proxy
