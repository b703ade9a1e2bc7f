/// @file
/// Request handlers of the control API, one function per call. They hold no state.
#pragma once
#include "control_api.hpp"
namespace zinccleat::controller {
/// A request together with the services that its handler uses.
struct ApiCall {
  ControllerServices& services;
  const ApiRequest& request;
  std::string_view path;     ///< path without the query string
  std::string_view subject;  ///< last path segment in calls that name a subject: a runner id or a service label
  const std::string& heartbeatUri;

  /// Whether the caller has closed its connection, so that it has sent or may send the call again elsewhere. Suspends
  /// the calling fiber for at most `wait` until the close.
  bool callerHasLeft(Duration wait = Duration(0)) const { return request.callerHasLeft && request.callerHasLeft(wait); }
};

/// Handles a runner's heartbeat. A join, and a heartbeat that reports draining, is acknowledged only after its write is
/// committed. Acknowledging an uncommitted join would be unsafe although the next heartbeat finds the runner unknown
/// and writes it again: the response names a `heartbeatUri`, so a runner whose joins cannot be committed by this
/// controller would stay here, alive but unknown to the fleet. A 503 sends the runner to a controller that can write.
ApiResponse handleHeartbeat(const ApiCall& call);
/// Detaches a runner permanently: its id is never accepted again. Acknowledged once committed.
ApiResponse handleDetach(const ApiCall& call);
/// Replaces the configuration if the base version named by the caller is the version in force. Acknowledged once
/// committed.
ApiResponse handleReplaceConfiguration(const ApiCall& call);
/// Returns the configuration in force; a linearizable read.
ApiResponse handleRetrieveConfiguration(const ApiCall& call);
/// Begins, changes or ends the drain of a zone or region. Answered by the leader, because only the leader knows the
/// load of the fleet; other controllers redirect to it.
ApiResponse handleSetZoneDrain(const ApiCall& call);
/// Lists the active drains and their progress. Answered by the leader; other controllers redirect to it.
ApiResponse handleListZoneDrains(const ApiCall& call);
/// Evacuates a zone or region: its runners get no further requests. Acknowledged once committed, by any controller.
ApiResponse handleBeginEvacuation(const ApiCall& call);
/// Ends the evacuation of a zone or region; its runners warm up again. Acknowledged once committed.
ApiResponse handleReleaseEvacuation(const ApiCall& call);
/// Starts a rollout that moves the traffic of a service to another revision of its runners. Acknowledged once
/// committed, and again whenever the same order is repeated.
ApiResponse handleBeginRollout(const ApiCall& call);
/// Returns the progress of the newest rollout of a service; a linearizable read.
ApiResponse handleRetrieveRollout(const ApiCall& call);
/// Reverts a rollout that is in progress.
ApiResponse handleRevertRollout(const ApiCall& call);
/// Exchanges prefix hints with the partner site. Answered by the leader; other controllers redirect to it.
ApiResponse handleExchangeHints(const ApiCall& call);
/// Coordination calls of applications; see coordination_handlers.cpp. Each call is forwarded to the leaseholder of its
/// shard.
ApiResponse handleBeginLock(const ApiCall& call);
ApiResponse handleRenewLock(const ApiCall& call);
ApiResponse handleReleaseLock(const ApiCall& call);
ApiResponse handleNextNumber(const ApiCall& call);
ApiResponse handleReplaceCell(const ApiCall& call);
ApiResponse handleRetrieveCell(const ApiCall& call);
/// Waits for changes of cells. Answered from this controller's replica once it is as new as the leaseholder's replica
/// was when the call arrived.
ApiResponse handleWatch(const ApiCall& call);
/// Adds to a replicated counter. Acknowledged once the increment is on as many disks as are currently available; works
/// without contact to a majority.
ApiResponse handleModifyTally(const ApiCall& call);
/// Returns the total of a replicated counter as known to this controller; works without contact to a majority.
ApiResponse handleRetrieveTally(const ApiCall& call);
/// Lists this controller's view of the replicated counters and of the increments missing on each side; works without
/// contact to a majority.
ApiResponse handleListTallies(const ApiCall& call);
/// Reports this controller's view of the coordination service; works without contact to a majority.
ApiResponse handleShards(const ApiCall& call);
/// Reports this controller's own status; works without contact to a majority.
ApiResponse handleStatus(const ApiCall& call);
/// Reports the state of the functions at the platform. A controller that knows another leader redirects to it; it works
/// without contact to a majority otherwise.
ApiResponse handleListFunctions(const ApiCall& call);
/// Reports the traffic that this controller has sent, by zone and message type, and the duration of its last disk sync;
/// works without contact to a majority.
ApiResponse handleCounters(const ApiCall& call);
}  // namespace zinccleat::controller
