/// Bodies of the requests that runners and operators send to the controller, as described in api/control.yaml.
///
/// Each parser checks types and bounds and ignores unknown fields. An error is `ErrorCode::invalidArgument` with a
/// message for the sender; nothing is returned in part.
#pragma once
#include "config/quote_json.hpp"
#include "runtime/common.hpp"
namespace zinccleat::config {
/// What a runner reports about itself.
struct RunnerHeartbeat {
  std::string id;             ///< the instance's id, from the request's path
  std::string service;        ///< label of the service that it serves (`targetService`)
  std::string address;        ///< "IP:port" for requests
  std::string zone;           ///< failure domain; empty if not known
  std::int64_t capacity = 0;  ///< requests at once
  std::int64_t sequence = 0;  ///< rises with each heartbeat of one process
  std::string revision;       ///< of its software (`configVersion`); empty if not known
  Duration warmupLeft{0};     ///< how much longer it stays slow after its start
  bool draining = false;      ///< it takes no new requests and will detach
};
/// Parses the body of a heartbeat.
/// @param id the instance's id, which must not be empty
Result<RunnerHeartbeat> parseRunnerHeartbeat(std::string_view id, std::string_view body);

/// Starts, advances or ends the drain of a zone.
struct ZoneDrainRequest {
  std::string zone;               ///< a zone, or a region for all of its zones (`place`)
  std::string note;               ///< shown to users while the drain lasts
  std::int32_t drainPercent = 0;  ///< percent of new work kept away from its runners, 0 to 100 (`share`)
  bool notAccepting = false;      ///< its proxies refuse new connections and move streams away (`doorsShut`)
  bool open = false;              ///< ends the drain
  bool force = false;             ///< goes on although the fleet is busier than `calmBelowPerS`
  double calmBelowPerS = 0;       ///< requests a second above which the drain must not advance; 0: no bound
};
Result<ZoneDrainRequest> parseZoneDrainRequest(std::string_view body);

/// Moves the traffic of a service to runners of another revision.
struct RolloutRequest {
  std::string service;   ///< label (`targetService`)
  std::string revision;  ///< of the runners' software (`targetRevision`), 128 bytes at most
  Duration duration{0};  ///< by then it is to be over (`durationS`, fractions allowed); 1 s to 1 day
};
Result<RolloutRequest> parseRolloutRequest(std::string_view body);
/// The service (`targetService`) whose rollout an operator takes back.
Result<std::string> parseRolloutRevertRequest(std::string_view body);
}  // namespace zinccleat::config
