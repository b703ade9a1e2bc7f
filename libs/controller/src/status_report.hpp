/// @file
/// Builds the JSON reports of a controller for operators (api/control.yaml: Status, Counters and Closures.List). Only
/// reads state.
#pragma once
#include "agent_request_handler.hpp"
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "partner_hints.hpp"
namespace zinccleat::controller {
/// The components from which a report is built.
struct StatusSources {
  const ControllerContext& context;
  const AgentSessions& agents;
  const AgentRequestHandler& requests;
  const PartnerHints& hints;
};
/// Reports this controller, its view of the replicated log, the members and all runners.
std::string statusJson(const StatusSources& sources, TimePoint now);
/// Reports the zones and regions that are being drained and the progress of each drain.
std::string zoneDrainsJson(const StatusSources& sources, TimePoint now);
/// Reports the traffic that this controller has sent, by zone and message type, and the duration of its last disk sync.
std::string countersJson(const consensus::RaftNode& raft);
}  // namespace zinccleat::controller
