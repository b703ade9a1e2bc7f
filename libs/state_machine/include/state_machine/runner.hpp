/// @file
/// A runner in the replicated state. Plain data types.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// The lifecycle of a runner. The values are stored and sent.
enum class RunnerState : std::int32_t {
  inService = 0,  ///< accepts new requests
  draining = 1,   ///< finishes its current requests; never returns to `inService`
  detached = 2,   ///< not part of the fleet; appears only in log entries, never in the state
};

/// The software of a runner, as reported when the runner joined. Earlier versions of this program lack these fields.
struct RunnerSoftware {
  std::string revision;       ///< software revision (`configVersion`); empty: unknown
  std::int64_t warmupMs = 0;  ///< time after joining during which the runner is slow
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("revision", revision), v("warmupMs", warmupMs);
  }
  bool operator==(const RunnerSoftware&) const = default;
};
/// A runner that serves requests of one service, as its heartbeats describe it.
struct Runner {
  std::string id;       ///< random; new for each start of a runner process
  std::string service;  ///< label of the service
  std::string address;  ///< IP address and port
  std::string zone;
  std::int64_t capacity = 0;  ///< maximum number of concurrent requests
  std::int64_t sequence = 0;  ///< heartbeat number; a heartbeat with a lower number is late and ignored
  std::int32_t state = 0;     ///< a `RunnerState`, as an integer for the encoding
  RunnerSoftware software;    ///< encoded after the other fields, see `encodeRunner`
  /// Lists the fields in wire order, without `software`.
  template <class V>
  void fields(V& v) {
    v("id", id), v("service", service), v("address", address), v("zone", zone), v("capacity", capacity);
    v("sequence", sequence), v("state", state);
  }
  RunnerState runnerState() const { return static_cast<RunnerState>(state); }
};
}  // namespace zinccleat::state_machine
