#include "control_api.hpp"

#include <array>

#include "api_handlers.hpp"
#include "api_responses.hpp"

namespace zinccleat::controller {
namespace {
struct Route {
  std::string_view method;
  std::string_view path;  ///< a path that ends in a slash is followed by an id or a label
  ApiResponse (*handler)(const ApiCall& call);

  bool namesSubject() const { return path.ends_with('/'); }
  bool matches(std::string_view requested) const {
    return namesSubject() ? requested.starts_with(path) : requested == path;
  }
};
constexpr std::array kRoutes{
    Route{"POST", "/v1/Instances.Heartbeat/", handleHeartbeat},
    Route{"POST", "/v1/Instances.Detach/", handleDetach},
    Route{"POST", "/v1/Configuration.Replace", handleReplaceConfiguration},
    Route{"GET", "/v1/Configuration.Retrieve", handleRetrieveConfiguration},
    Route{"POST", "/v1/Rollouts.Begin", handleBeginRollout},
    Route{"GET", "/v1/Rollouts.Retrieve/", handleRetrieveRollout},
    Route{"POST", "/v1/Rollouts.Revert", handleRevertRollout},
    Route{"POST", "/v1/Closures.Set", handleSetZoneDrain},
    Route{"GET", "/v1/Closures.List", handleListZoneDrains},
    Route{"POST", "/v1/Evacuation.Begin/", handleBeginEvacuation},
    Route{"POST", "/v1/Evacuation.Release/", handleReleaseEvacuation},
    Route{"POST", "/v1/Hints.Exchange", handleExchangeHints},
    Route{"POST", "/v1/Locks.Begin/", handleBeginLock},
    Route{"POST", "/v1/Locks.Heartbeat/", handleRenewLock},
    Route{"POST", "/v1/Locks.Release/", handleReleaseLock},
    Route{"POST", "/v1/numbers/", handleNextNumber},
    Route{"POST", "/v1/Cells.Replace/", handleReplaceCell},
    Route{"GET", "/v1/Cells.Retrieve/", handleRetrieveCell},
    Route{"GET", "/v1/watch/", handleWatch},
    Route{"POST", "/v1/Tallies.Modify/", handleModifyTally},
    Route{"GET", "/v1/Tallies.Retrieve/", handleRetrieveTally},
    Route{"GET", "/v1/Tallies.List", handleListTallies},
    Route{"GET", "/v1/Functions.List", handleListFunctions},
    Route{"GET", "/v1/Shards", handleShards},
    Route{"GET", "/v1/Status", handleStatus},
    Route{"GET", "/v1/Counters", handleCounters},
};
}  // namespace

ApiResponse answerApiRequest(ControllerServices& services, const ApiRequest& request, const std::string& heartbeatUri) {
  const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
  const auto* const route =
      std::find_if(kRoutes.begin(), kRoutes.end(), [path](const Route& known) { return known.matches(path); });
  if (route == kRoutes.end())
    return errorResponse(HttpStatus::not_found, "no such call");
  if (request.method != route->method)
    return errorResponse(HttpStatus::method_not_allowed, std::string(route->method) + " only");
  const auto subject = route->namesSubject() ? path.substr(route->path.size()) : std::string_view{};
  return route->handler({services, request, path, subject, heartbeatUri});
}
}  // namespace zinccleat::controller
