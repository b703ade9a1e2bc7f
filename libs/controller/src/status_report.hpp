/// @file
/// What a controller reports to operators, as JSON (api/control.yaml: Status, Counters and Closures.List). Reads only.
#pragma once
#include "agent_request_handler.hpp"
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "partner_hints.hpp"
namespace zinccleat::controller {
/// The components that a report reads.
struct StatusSources {
  const ControllerContext& context;
  const AgentSessions& agents;
  const AgentRequestHandler& requests;
  const PartnerHints& hints;
};
/// This controller, the replicated log as it sees it, its members and all runners.
std::string statusJson(const StatusSources& sources, TimePoint now);
/// The zones and regions that are being drained, and how far each has come.
std::string zoneDrainsJson(const StatusSources& sources, TimePoint now);
/// What this controller has sent, by zone and type of message, and how long its newest sync took.
std::string countersJson(const consensus::RaftNode& raft);
}  // namespace zinccleat::controller
