/// @file
/// A runner as the replicated state knows it. Plain values.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// The lifecycle of a runner. The values are stored and sent.
enum class RunnerState : std::int32_t {
  inService = 0,  ///< takes new requests
  draining = 1,   ///< finishes what it has; it never returns to `inService`
  detached = 2,   ///< not part of the fleet; only in log entries, never in the state
};

/// What runs on a runner, as it said when it joined. Earlier versions of this program do not know these fields.
struct RunnerSoftware {
  std::string revision;       ///< of the software (`configVersion`); empty: not known
  std::int64_t warmupMs = 0;  ///< how long it stays slow, from when it joined
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("revision", revision), v("warmupMs", warmupMs);
  }
  bool operator==(const RunnerSoftware&) const = default;
};
/// A runner that serves requests of one service, as its heartbeats describe it.
struct Runner {
  std::string id;       ///< drawn anew for each start of a runner process
  std::string service;  ///< label of the service
  std::string address;  ///< IP address and port
  std::string zone;
  std::int64_t capacity = 0;  ///< requests at once
  std::int64_t sequence = 0;  ///< number of the heartbeat; a lower one is late and ignored
  std::int32_t state = 0;     ///< a `RunnerState`, as an integer for the encoding
  RunnerSoftware software;    ///< encoded behind the other fields, see `encodeRunner`
  /// Lists the fields in wire order, without `software`.
  template <class V>
  void fields(V& v) {
    v("id", id), v("service", service), v("address", address), v("zone", zone), v("capacity", capacity);
    v("sequence", sequence), v("state", state);
  }
  RunnerState runnerState() const { return static_cast<RunnerState>(state); }
};
}  // namespace zinccleat::state_machine
