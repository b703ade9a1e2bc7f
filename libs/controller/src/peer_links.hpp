/// @file
/// Connections to the other controllers. A message is delivered at most once and may be lost: a sender that needs an
/// answer sends again. Connections are opened, kept and used only here, on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "transport/connection_attempt.hpp"
#include "transport/dialer.hpp"
namespace zinccleat::controller {
/// Sends messages to the other controllers; see the file comment.
class PeerLinks {
 public:
  /// @param port the port on which the other controllers listen for these connections.
  /// @param onMessage is called for each message received on any of these connections.
  PeerLinks(const ControllerContext& context, std::uint16_t port, transport::PeerLink::OnMessage onMessage)
      : context_(context), port_(port), onMessage_(std::move(onMessage)) {}
  /// Opens a connection to a controller and reopens it whenever it closes.
  void dial(const std::string& address);
  /// Attempts to connect to a controller, apart from the connections for messages. Does nothing for an address that
  /// cannot be dialled.
  void attemptConnection(const std::string& address, Duration timeout,
                         std::function<void(const transport::ConnectionAttempt&)> onEnded) const;
  /// Records that a member has sent a message on this connection. Messages to the member use the connection while it
  /// stays in use.
  void recordMessage(const consensus::MemberId& member, const transport::PeerLinkPtr& link) {
    inboundLinks_[member] = link;
  }
  /// Listens on this machine's address for connections that other controllers open.
  Result<void> listen() const;
  /// Sends one message, on a connection recently used by the member if there is one, otherwise on a dialled connection.
  template <class Message>
  void send(const consensus::MemberId& to, const Message& message) {
    (void)sendEnvelope(to, transport::pack(message, context_.raft->self()));
  }
  /// Sends a consensus message in the same way.
  void send(const consensus::MemberId& to, const consensus::ConsensusMessage& message);
  /// Sends a message to all voters except this member.
  void sendToVoters(const consensus::ConsensusMessage& message);
  /// Sends an envelope that already names its sender.
  /// @return false if there is no open connection, in which case no byte was sent.
  bool sendEnvelope(const consensus::MemberId& to, const transport::Envelope& envelope);

 private:
  Result<tcp::endpoint> endpointAt(const std::string& address) const {
    return runtime::parseEndpoint(address + ":" + std::to_string(port_));
  }
  transport::Envelope envelopeOf(const consensus::ConsensusMessage& message) const;
  /// Returns the connection on which a message of the member arrived within the last second; null: none.
  transport::PeerLinkPtr recentLinkOf(const consensus::MemberId& member) const;
  /// Returns the dialer for an address; null: the address is this machine's own or cannot be dialled.
  transport::Dialer* dialerTo(const std::string& address);

  const ControllerContext& context_;
  const std::uint16_t port_;
  transport::PeerLink::OnMessage onMessage_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> dialers_;  // keyed by address
  std::map<consensus::MemberId, std::weak_ptr<transport::PeerLink>> inboundLinks_;
};
}  // namespace zinccleat::controller
