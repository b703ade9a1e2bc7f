/// @file
/// Passes each message from another machine to the component that handles it, and sends the responses. Holds no state.
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
/// Dispatches messages by type; see the file comment.
class MessageDispatcher {
 public:
  /// The components that handle messages.
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
  /// @param context must outlive this object, as must all components.
  MessageDispatcher(ControllerContext& context, Components components) : context_(context), components_(components) {}
  /// Handles one message. A message that names no sender or cannot be decoded closes its connection.
  void onMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);

 private:
  void onConsensusMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  void onSubmitEntry(const transport::PeerLinkPtr& link, const consensus::MemberId& from, transport::LogEntry entry);
  /// Handles read-index requests and responses between controllers.
  void onReadIndexMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// Handles heartbeats of runners that controllers forward to each other.
  void onHeartbeatMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// Handles the messages of agents that follow the log.
  void onLogMessage(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  /// Handles the requests of agents to the leader: leases, quota tokens and prefix lookups.
  void onAgentRequest(const transport::PeerLinkPtr& link, const transport::Envelope& envelope);
  template <class Message>
  void respond(const transport::PeerLinkPtr& link, const Message& message) {
    link->send(transport::pack(message, context_.raft->self()));
  }

  ControllerContext& context_;
  Components components_;
};
}  // namespace zinccleat::controller
