/// The connection to the agent on the same machine.
#pragma once
#include "transport/dialer.hpp"
namespace zinccleat::proxy_daemon {
/// Opens a connection to the agent and reconnects whenever the connection is lost.
class AgentLink {
 public:
  /// Starts to connect. The link is never connected before this call.
  /// @param endpoint the agent's endpoint.
  /// @param onMessage called for each message from the agent.
  /// @param onConnected called each time that a connection is established.
  void start(const tcp::endpoint& endpoint, transport::PeerLink::OnMessage onMessage,
             transport::Dialer::OnConnected onConnected) {
    dialer_ = std::make_unique<transport::Dialer>(endpoint, std::move(onMessage), std::move(onConnected));
  }
  bool connected() const { return dialer_ && dialer_->up(); }
  /// Sends a message. The message is dropped if there is no connection.
  template <class Message>
  void send(const Message& message) {
    if (dialer_)
      dialer_->send(transport::pack(message));
  }

 private:
  std::unique_ptr<transport::Dialer> dialer_;
};
}  // namespace zinccleat::proxy_daemon
