/// @file
/// Links to the other controllers. A message is sent at most once and may be lost: whoever needs an answer sends again.
/// The links are opened, kept and used here only, on the event-loop thread.
#pragma once
#include "controller_context.hpp"
#include "transport/dialer.hpp"
namespace zinccleat::controller {
/// Sends messages to the other controllers; see the file's comment.
class PeerLinks {
 public:
  /// @param port where the other controllers listen for these links.
  /// @param onMessage is called for each message that comes on a link dialled from here.
  PeerLinks(const ControllerContext& context, std::uint16_t port, transport::PeerLink::OnMessage onMessage)
      : context_(context), port_(port), onMessage_(std::move(onMessage)) {}
  /// Opens a link to a controller and opens it again whenever it ends.
  void dial(const std::string& address);
  /// A member has sent a message on this link: answers go back on it while it stays in use.
  void recordMessage(const consensus::MemberId& member, const transport::PeerLinkPtr& link) {
    inboundLinks_[member] = link;
  }
  /// Listens on the own address for the links that other controllers open.
  Result<void> listen() const;
  /// Sends one message, on the link that the member uses or else on a dialled one.
  template <class Message>
  void send(const consensus::MemberId& to, const Message& message) {
    (void)sendEnvelope(to, transport::pack(message, context_.raft->self()));
  }
  /// The same for a message of the consensus.
  void send(const consensus::MemberId& to, const consensus::ConsensusMessage& message);
  /// Sends to all voters but this member.
  void sendToVoters(const consensus::ConsensusMessage& message);
  /// Sends a message that names its sender itself.
  /// @return false: there is no open link, and no byte of it was sent.
  bool sendEnvelope(const consensus::MemberId& to, const transport::Envelope& envelope);

 private:
  transport::Envelope envelopeOf(const consensus::ConsensusMessage& message) const;
  /// The link that the member used within the last second; null: none.
  transport::PeerLinkPtr recentLinkOf(const consensus::MemberId& member) const;
  /// Null: the address is our own or can't be dialled.
  transport::Dialer* dialerTo(const std::string& address);

  const ControllerContext& context_;
  const std::uint16_t port_;
  transport::PeerLink::OnMessage onMessage_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> dialers_;  // by address
  std::map<consensus::MemberId, std::weak_ptr<transport::PeerLink>> inboundLinks_;
};
}  // namespace zinccleat::controller
