#include "client_watch.hpp"

namespace zinccleat::proxy {
ClientWatch::ClientWatch(runtime::Connection& client) : client_(client) {
  client.socket().async_wait(tcp::socket::wait_read, [state = state_, &client](runtime::SocketError ec) {
    if (ec || state->stopped || !client.peerHasClosed())
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
