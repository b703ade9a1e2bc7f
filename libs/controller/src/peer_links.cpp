#include "peer_links.hpp"

#include "transport/listener.hpp"

namespace zinccleat::controller {
namespace {
// Backlog of one member, in bytes, above which further messages to it are dropped.
constexpr std::size_t kMaxBacklogBytes = 4U << 20;
constexpr auto kRecentUseWindow = 1s;

bool sendUnlessBacklogged(transport::PeerLink& link, const transport::Envelope& envelope) {
  // The replicated log tolerates message loss: a dropped message to a slow reader is sent again later.
  if (link.backlog() > kMaxBacklogBytes)
    return false;
  link.send(envelope);
  return true;
}
}  // namespace

Result<void> PeerLinks::listen() const {
  const auto endpoint = endpointAt(context_.settings.ip);
  if (!endpoint)
    return tl::unexpected(endpoint.error());
  return transport::listen(
      *endpoint, [this](tcp::socket socket) { context_.acceptedLinks.accept(std::move(socket), onMessage_); },
      transport::kLinkBufferSizes);
}
void PeerLinks::dial(const std::string& address) {
  (void)dialerTo(address);
}
void PeerLinks::attemptConnection(const std::string& address, Duration timeout,
                                  std::function<void(const transport::ConnectionAttempt&)> onEnded) const {
  if (const auto endpoint = endpointAt(address))
    transport::attemptConnection(*endpoint, timeout, std::move(onEnded));
}
transport::Dialer* PeerLinks::dialerTo(const std::string& address) {
  if (address == context_.settings.ip)
    return nullptr;
  auto& dialer = dialers_[address];
  if (dialer)
    return dialer.get();
  const auto endpoint = endpointAt(address);
  if (!endpoint) {
    dialers_.erase(address);
    return nullptr;
  }
  dialer = std::make_unique<transport::Dialer>(*endpoint, onMessage_, [](const transport::PeerLinkPtr&) {});
  return dialer.get();
}
transport::Envelope PeerLinks::envelopeOf(const consensus::ConsensusMessage& message) const {
  return {transport::MessageType::consensus, context_.raft->self(), consensus::encodeMessage(message)};
}
void PeerLinks::send(const consensus::MemberId& to, const consensus::ConsensusMessage& message) {
  (void)sendEnvelope(to, envelopeOf(message));
}
transport::PeerLinkPtr PeerLinks::recentLinkOf(const consensus::MemberId& member) const {
  const auto it = inboundLinks_.find(member);
  if (it == inboundLinks_.end())
    return nullptr;
  auto link = it->second.lock();
  const bool recentlyUsed = link && link->open() && Clock::now() - link->lastReceivedAt() < kRecentUseWindow;
  return recentlyUsed ? link : nullptr;
}
bool PeerLinks::sendEnvelope(const consensus::MemberId& to, const transport::Envelope& envelope) {
  // Messages use the connection that the other member opened, if it was used recently. Otherwise they use a dialled
  // connection.
  if (const auto link = recentLinkOf(to))
    return sendUnlessBacklogged(*link, envelope);
  auto* dialer = dialerTo(consensus::addressOf(to));
  return dialer && dialer->up() && sendUnlessBacklogged(*dialer->link(), envelope);
}
void PeerLinks::sendToVoters(const consensus::ConsensusMessage& message) {
  const auto envelope = envelopeOf(message);
  for (const auto& voter : context_.raft->voters())
    if (voter != context_.raft->self())
      (void)sendEnvelope(voter, envelope);
}
}  // namespace zinccleat::controller
