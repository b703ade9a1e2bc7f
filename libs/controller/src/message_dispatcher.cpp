#include "message_dispatcher.hpp"

namespace zinccleat::controller {
void MessageDispatcher::onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  if (envelope.sender.empty())
    return link->decline("message without a sender");
  using transport::MessageType;
  switch (envelope.type) {
    case MessageType::consensus:
      return onConsensusMessage(link, envelope);
    case MessageType::submitEntry:
      return transport::receive<transport::SubmitEntry>(link, envelope, [&](transport::SubmitEntry message) {
        onSubmitEntry(link, envelope.sender, std::move(message.entry));
      });
    case MessageType::readIndexRequest:
    case MessageType::readIndexResponse:
      return onReadIndexMessage(link, envelope);
    case MessageType::heartbeatBatch:
    case MessageType::heartbeatBatchResponse:
      return onHeartbeatMessage(link, envelope);
    case MessageType::agentState:
    case MessageType::followLog:
      return onLogMessage(link, envelope);
    case MessageType::leaseRequest:
    case MessageType::quotaTokenRequest:
    case MessageType::prefixLookupRequest:
      return onAgentRequest(link, envelope);
    default:  // messages for other roles, or a response that no component waits for
      return;
  }
}
void MessageDispatcher::onConsensusMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  auto message = consensus::decodeMessage(envelope.payload);
  if (!message)
    return link->decline(message.error().message);
  components_.peers.recordMessage(envelope.sender, link);
  context_.view.add(viewNameOfController(consensus::addressOf(envelope.sender)));
  context_.raft->receive(Clock::now(), envelope.sender, std::move(*message));
  components_.driver.run();
}
void MessageDispatcher::onSubmitEntry(const transport::PeerLinkPtr& link, const consensus::MemberId& from,
                                      transport::LogEntry entry) {
  components_.peers.recordMessage(from, link);
  // A write that is submitted again after its commit counts as accepted: its sender finds the outcome in its own
  // replica.
  const bool isApplied = context_.replica.outcomeOf(entry.operationId).has_value();
  const bool accepted = isApplied || context_.raft->submit(Clock::now(), std::move(entry));
  components_.peers.send(from, transport::SubmitEntryResponse{accepted});
  components_.driver.run();
}
void MessageDispatcher::onReadIndexMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  transport::receive<transport::ReadIndexRequest>(link, envelope, [&](const transport::ReadIndexRequest& message) {
    const bool underLease = context_.raft->hasLease(Clock::now());
    respond(link, transport::ReadIndexResponse{message.requestId, underLease, context_.raft->commitIndex()});
  });
  transport::receive<transport::ReadIndexResponse>(link, envelope, [this](const transport::ReadIndexResponse& message) {
    components_.reads.onResponse(message.requestId, message.underLease, message.commitIndex);
  });
}
void MessageDispatcher::onHeartbeatMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  transport::receive<transport::HeartbeatBatch>(link, envelope, [&](const transport::HeartbeatBatch& message) {
    if (components_.runners.onHeartbeatBatch(link, envelope.sender, message, Clock::now()))
      components_.agents.broadcastStatus();  // agents in the zone of that controller can now follow it
  });
  transport::receive<transport::HeartbeatBatchResponse>(
      link, envelope, [&](const transport::HeartbeatBatchResponse& message) {
        components_.runners.onHeartbeatBatchResponse(envelope.sender, message, Clock::now());
      });
}
void MessageDispatcher::onLogMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  transport::receive<transport::AgentState>(link, envelope, [&](const transport::AgentState& message) {
    components_.agents.onAgentState(link, envelope.sender, message);
  });
  transport::receive<transport::FollowLog>(link, envelope, [&](const transport::FollowLog& message) {
    components_.agents.onFollowLog(link, envelope.sender, message);
  });
}
void MessageDispatcher::onAgentRequest(const transport::PeerLinkPtr& link, const transport::Envelope& envelope) {
  const auto now = Clock::now();
  transport::receive<transport::LeaseRequest>(link, envelope, [&](const transport::LeaseRequest& message) {
    auto response = components_.requests.onLeaseRequest(now, envelope.sender, message);
    if (response.granted)
      response.extension.extension.extension =
          components_.platform.onReport(now, envelope.sender, message.extension.extension.extension);
    respond(link, response);
  });
  transport::receive<transport::QuotaTokenRequest>(link, envelope, [&](const transport::QuotaTokenRequest& message) {
    respond(link, components_.requests.onQuotaTokenRequest(now, message));
  });
  transport::receive<transport::PrefixLookupRequest>(
      link, envelope, [&](const transport::PrefixLookupRequest& message) {
        respond(link, components_.hints.onPrefixLookupRequest(now, message));
      });
}
}  // namespace zinccleat::controller
