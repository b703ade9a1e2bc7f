#include "client_watch.hpp"

#include <sys/socket.h>

namespace zinccleat::proxy {
ClientWatch::ClientWatch(runtime::Connection& client) : client_(client) {
  client.socket().async_wait(tcp::socket::wait_read, [state = state_, &client](runtime::SocketError ec) {
    if (ec || state->over)
      return;
    char c = 0;
    const auto n = ::recv(client.socket().native_handle(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)))
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
