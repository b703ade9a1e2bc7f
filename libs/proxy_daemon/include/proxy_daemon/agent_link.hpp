/// The connection to the agent on the same machine.
#pragma once
#include "transport/dialer.hpp"
namespace zinccleat::proxy_daemon {
/// Reconnects whenever the connection is lost.
class AgentLink {
 public:
  /// Starts to connect. Not connected before this.
  /// @param endpoint of the agent, on loopback.
  void start(const tcp::endpoint& endpoint, transport::PeerLink::OnMessage onMessage,
             transport::Dialer::OnConnected onConnected) {
    dialer_ = std::make_unique<transport::Dialer>(endpoint, std::move(onMessage), std::move(onConnected));
  }
  bool connected() const { return dialer_ && dialer_->up(); }
  /// Sends a message; it is dropped if there is no connection.
  template <class Message>
  void send(const Message& message) {
    if (dialer_)
      dialer_->send(transport::pack(message));
  }

 private:
  std::unique_ptr<transport::Dialer> dialer_;
};
}  // namespace zinccleat::proxy_daemon
