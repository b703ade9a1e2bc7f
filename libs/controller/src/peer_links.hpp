/// Links to the other core machines. A message is sent once or lost: the replicated log sends again what matters.
#pragma once
#include "core_context.hpp"
#include "transport/dialer.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::controller {
class PeerLinks {
 public:
  PeerLinks(const CoreContext& core, transport::PeerLink::OnMessage onMessage)
      : core_(core), onMessage_(std::move(onMessage)) {}
  /// Keeps a link to a machine dialled from here on.
  void dial(const std::string& address);
  /// A member has spoken on this link: answers go back on it for as long as it does.
  void heardFrom(const consensus::MemberId& member, const transport::PeerLinkPtr& link) { spokeOn_[member] = link; }
  template <class T>
  void send(const consensus::MemberId& to, const T& message) {
    post(to, transport::pack(message, core_.raft->self()));
  }
  void send(const consensus::MemberId& to, const consensus::ConsensusMessage& message);
  /// To all other voters.
  void sendToVoters(const consensus::ConsensusMessage& message);

 private:
  void post(const consensus::MemberId& to, const transport::Envelope& envelope);
  transport::Envelope envelopeOf(const consensus::ConsensusMessage& message) const;
  transport::Dialer* dialerTo(const std::string& address);
  const CoreContext& core_;
  transport::PeerLink::OnMessage onMessage_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> dialers_;  // by address
  std::map<consensus::MemberId, std::weak_ptr<transport::PeerLink>> spokeOn_;
};
}  // namespace zinccleat::controller
