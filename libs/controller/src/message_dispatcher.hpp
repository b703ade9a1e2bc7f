/// @file
/// Hands each message from another machine to the component that it is for, and sends the answers. Holds no state.
#pragma once
#include "agent_request_handler.hpp"
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "lease_reads.hpp"
#include "partner_hints.hpp"
#include "peer_links.hpp"
#include "platform_functions.hpp"
#include "raft_driver.hpp"
#include "runner_liveness.hpp"
namespace zinccleat::controller {
/// Dispatches by the type of the message; see the file's comment.
class MessageDispatcher {
 public:
  /// Where messages go.
  struct Components {
    PeerLinks& peers;
    RaftDriver& driver;
    LeaseReads& reads;
    RunnerLiveness& runners;
    AgentSessions& agents;
    AgentRequestHandler& requests;
    PartnerHints& hints;
    PlatformFunctions& platform;
  };
  /// @param context must outlive this, like all components.
  MessageDispatcher(ControllerContext& context, Components components) : context_(context), components_(components) {}
  /// A message that names no sender, or can't be decoded, ends its link.
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);

 private:
  void onConsensusMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onSubmitEntry(const transport::PeerLinkPtr& link, const consensus::MemberId& from, transport::LogEntry entry);
  /// Read-index requests and responses between controllers.
  void onReadIndexMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// Heartbeats of runners, forwarded between controllers.
  void onHeartbeatMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// What agents ask about the log.
  void onLogMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// What agents ask the leader for: leases, quota tokens, prefix lookups.
  void onAgentRequest(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  template <class Message>
  void respond(const transport::PeerLinkPtr& link, const Message& message) {
    link->send(transport::pack(message, context_.raft->self()));
  }

  ControllerContext& context_;
  Components components_;
};
}  // namespace zinccleat::controller
