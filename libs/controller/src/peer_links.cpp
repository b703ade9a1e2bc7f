#include "peer_links.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMostBacklog = 4U << 20;  // bytes that wait for a member before it is told again later
constexpr auto kSpokeLately = 1s;
}  // namespace

void PeerLinks::dial(const std::string& address) {
  (void)dialerTo(address);
}
transport::Dialer* PeerLinks::dialerTo(const std::string& address) {
  if (address == core_.settings.ip)
    return nullptr;
  auto& dialer = dialers_[address];
  if (dialer)
    return dialer.get();
  const auto endpoint = runtime::parseEndpoint(address + ":" + std::to_string(core_.settings.firstPort));
  if (!endpoint) {
    dialers_.erase(address);
    return nullptr;
  }
  dialer = std::make_unique<transport::Dialer>(*endpoint, onMessage_, [](const transport::PeerLinkPtr&) {});
  return dialer.get();
}
transport::Envelope PeerLinks::envelopeOf(const consensus::ConsensusMessage& message) const {
  return {transport::MessageType::consensus, core_.raft->self(), consensus::encodeMessage(message)};
}
void PeerLinks::send(const consensus::MemberId& to, const consensus::ConsensusMessage& message) {
  post(to, envelopeOf(message));
}
void PeerLinks::post(const consensus::MemberId& to, const transport::Envelope& envelope) {
  // The replicated log bears losses: one that reads slowly is told again later.
  auto write = [&](transport::PeerLink& link) {
    if (link.backlog() <= kMostBacklog)
      link.send(envelope);
  };
  // An answer goes back on the connection the other spoke on; only what has none goes on a dialled one.
  if (const auto it = spokeOn_.find(to); it != spokeOn_.end()) {
    const auto link = it->second.lock();
    if (link && link->open() && Clock::now() - link->lastReceivedAt() < kSpokeLately)
      return write(*link);
  }
  if (auto* dialer = dialerTo(consensus::addressOf(to)); dialer && dialer->up())
    write(*dialer->link());
}
void PeerLinks::sendToVoters(const consensus::ConsensusMessage& message) {
  const auto envelope = envelopeOf(message);
  for (auto& voter : core_.raft->voters())
    if (voter != core_.raft->self())
      post(voter, envelope);
}
}  // namespace zinccleat::controller
