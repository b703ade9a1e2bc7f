/// Links to the other core machines. A message is sent once or lost: the replicated log sends again what matters.
#pragma once
#include "core_context.hpp"
#include "transport/peer_link.hpp"
namespace zc {
class PeerLinks {
 public:
  PeerLinks(const CoreContext& core, PeerLink::OnMessage onMessage) : core_(core), onMessage_(std::move(onMessage)) {}
  /// Keeps a link to a machine dialled from here on.
  void dial(const std::string& address);
  /// A member has spoken on this link: answers go back on it for as long as it does.
  void heardFrom(const MemberId& member, const PeerLinkPtr& link) { spokeOn_[member] = link; }
  template <class T>
  void send(const MemberId& to, const T& message) {
    post(to, pack(message, core_.raft->self()));
  }
  void send(const MemberId& to, const ConsensusMessage& message);
  /// To all other voters.
  void sendToVoters(const ConsensusMessage& message);

 private:
  void post(const MemberId& to, const Envelope& envelope);
  Envelope envelopeOf(const ConsensusMessage& message) const;
  Dialer* dialerTo(const std::string& address);
  const CoreContext& core_;
  PeerLink::OnMessage onMessage_;
  std::map<std::string, std::unique_ptr<Dialer>> dialers_;  // by address
  std::map<MemberId, std::weak_ptr<PeerLink>> spokeOn_;
};
}  // namespace zc
