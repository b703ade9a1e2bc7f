/// Bodies of the requests that runners and operators send to the controller, as described in api/control.yaml.
///
/// Each parser checks types and bounds, and ignores unknown fields. An invalid body gives
/// `ErrorCode::invalidArgument` with a message for the sender of the request.
#pragma once
#include "config/quote_json.hpp"
#include "runtime/common.hpp"
namespace zinccleat::config {
/// The state that a runner reports about itself in a heartbeat.
struct RunnerHeartbeat {
  std::string id;             ///< the instance's id, from the request's path
  std::string service;        ///< label of the service that the runner belongs to (`targetService`)
  std::string address;        ///< "IP:port" on which the runner accepts requests
  std::string zone;           ///< failure domain; empty: unknown
  std::int64_t capacity = 0;  ///< requests that the runner processes concurrently
  std::int64_t sequence = 0;  ///< increases with each heartbeat of one runner process
  std::string revision;       ///< revision of the runner's software (`configVersion`); empty: unknown
  Duration warmupLeft{0};     ///< remaining time of reduced performance after the runner's start
  bool draining = false;      ///< the runner accepts no new requests and is about to detach
};
/// Parses the body of a heartbeat.
/// @param id the instance's id, which must not be empty
Result<RunnerHeartbeat> parseRunnerHeartbeat(std::string_view id, std::string_view body);

/// Starts, advances or ends the drain of a zone.
struct ZoneDrainRequest {
  std::string zone;               ///< a zone, or a region for all of its zones (`place`)
  std::string note;               ///< shown to users while the drain lasts
  std::int32_t drainPercent = 0;  ///< percent of new requests diverted from the zone's runners, 0 to 100 (`share`)
  bool notAccepting = false;  ///< the zone's proxies refuse new connections and move streams elsewhere (`doorsShut`)
  bool open = false;          ///< ends the drain
  bool force = false;         ///< advances the drain even if the fleet's load exceeds `calmBelowPerS`
  double calmBelowPerS = 0;   ///< load in requests a second above which the drain must not advance; 0: no limit
};
Result<ZoneDrainRequest> parseZoneDrainRequest(std::string_view body);

/// Moves the traffic of a service to runners of another revision.
struct RolloutRequest {
  std::string service;   ///< label (`targetService`)
  std::string revision;  ///< target revision of the runners' software (`targetRevision`), 128 bytes at most
  Duration duration{0};  ///< time limit of the rollout (`durationS`, fractions allowed); 1 s to 1 day
};
Result<RolloutRequest> parseRolloutRequest(std::string_view body);
/// Parses the request by which an operator reverts a rollout.
/// @return the label of the service (`targetService`)
Result<std::string> parseRolloutRevertRequest(std::string_view body);
}  // namespace zinccleat::config
