/// @file
/// The handlers behind the control API, one a call. They hold no state.
#pragma once
#include "control_api.hpp"
namespace zinccleat::controller {
/// One request on its way through its handler.
struct ApiCall {
  ControllerServices& services;
  const ApiRequest& request;
  std::string_view path;    ///< without the query
  std::string_view runner;  ///< the runner's id in the path, in the calls that have one
  const std::string& heartbeatUri;
};

/// A join is acknowledged only once it is committed, like a draining heartbeat. The next heartbeat would find the
/// runner unknown and write it again, but the response names a `heartbeatUri`: a runner whose joins get no further from
/// here would be kept here, alive and unknown. A 503 sends it to a controller that can write.
ApiResponse handleHeartbeat(const ApiCall& call);
ApiResponse handleDetach(const ApiCall& call);
ApiResponse handleReplaceConfiguration(const ApiCall& call);
ApiResponse handleRetrieveConfiguration(const ApiCall& call);
/// Begins, changes or ends the drain of a zone or region. Answered by the leader, which alone knows how busy the fleet
/// is; the others redirect to it.
ApiResponse handleSetZoneDrain(const ApiCall& call);
ApiResponse handleListZoneDrains(const ApiCall& call);
/// Prefix hints of the partner site. Answered by the leader; the others redirect to it.
ApiResponse handleExchangeHints(const ApiCall& call);
ApiResponse handleStatus(const ApiCall& call);
}  // namespace zinccleat::controller
