/// @file
/// The handlers behind the control API, one a call. They hold no state.
#pragma once
#include "control_api.hpp"
namespace zinccleat::controller {
/// One request on its way through its handler.
struct ApiCall {
  ControllerServices& services;
  const ApiRequest& request;
  std::string_view path;     ///< without the query
  std::string_view subject;  ///< what stands last in the path, in calls with one: a runner's id or a service's label
  const std::string& heartbeatUri;
};

/// A join is acknowledged only once it is committed, like a draining heartbeat. The next heartbeat would find the
/// runner unknown and write it again, but the response names a `heartbeatUri`: a runner whose joins get no further from
/// here would be kept here, alive and unknown. A 503 sends it to a controller that can write.
ApiResponse handleHeartbeat(const ApiCall& call);
/// A runner leaves for good: its id is never accepted again. Acknowledged once committed.
ApiResponse handleDetach(const ApiCall& call);
/// Replaces the configuration if the base version named by the caller is the one in force. Acknowledged once committed.
ApiResponse handleReplaceConfiguration(const ApiCall& call);
/// The configuration in force; a linearizable read.
ApiResponse handleRetrieveConfiguration(const ApiCall& call);
/// Begins, changes or ends the drain of a zone or region. Answered by the leader, which alone knows how busy the fleet
/// is; the others redirect to it.
ApiResponse handleSetZoneDrain(const ApiCall& call);
/// The drains in force and how far they have come. Answered by the leader; the others redirect to it.
ApiResponse handleListZoneDrains(const ApiCall& call);
/// Has nothing more sent to the runners of a zone or region. Acknowledged once committed, by any controller.
ApiResponse handleBeginEvacuation(const ApiCall& call);
/// Takes an evacuated zone or region back in use; its runners warm up. Acknowledged once committed.
ApiResponse handleReleaseEvacuation(const ApiCall& call);
/// Has the traffic of a service moved to another revision of its runners. Acknowledged once committed, and again
/// whenever the same order is repeated.
ApiResponse handleBeginRollout(const ApiCall& call);
/// How far the newest rollout of a service has come; a linearizable read.
ApiResponse handleRetrieveRollout(const ApiCall& call);
/// Takes a rollout that is in progress back.
ApiResponse handleRevertRollout(const ApiCall& call);
/// Prefix hints of the partner site. Answered by the leader; the others redirect to it.
ApiResponse handleExchangeHints(const ApiCall& call);
/// Calls of applications; see coordination_handlers.cpp. Each is passed to the leaseholder of its shard.
ApiResponse handleBeginLock(const ApiCall& call);
ApiResponse handleRenewLock(const ApiCall& call);
ApiResponse handleReleaseLock(const ApiCall& call);
ApiResponse handleNextNumber(const ApiCall& call);
ApiResponse handleReplaceCell(const ApiCall& call);
ApiResponse handleRetrieveCell(const ApiCall& call);
/// Answered from this controller's replica, once that is as new as the leaseholder's was at the call.
ApiResponse handleWatch(const ApiCall& call);
/// Adds to a replicated counter. Acknowledged once it is on as many disks as can be had; without contact too.
ApiResponse handleModifyTally(const ApiCall& call);
/// A replicated counter's total, as far as this controller knows; answered without contact too.
ApiResponse handleRetrieveTally(const ApiCall& call);
/// This controller's view of the replicated counters and of what they lack; answered without contact too.
ApiResponse handleListTallies(const ApiCall& call);
/// This controller's view of the coordination service; answered without contact too.
ApiResponse handleShards(const ApiCall& call);
/// This controller's own view; answered without contact too.
ApiResponse handleStatus(const ApiCall& call);
/// What this controller has sent, by zone and type of message, and how its disk does; answered without contact too.
ApiResponse handleListFunctions(const ApiCall& call);
ApiResponse handleCounters(const ApiCall& call);
}  // namespace zinccleat::controller
