/// @file
/// The data of the replicated state: runners, zone drains, the configuration and the deduplication tables. Plain
/// values without behaviour; `ReplicatedState` changes them, `snapshot_codec.hpp` stores them.
#pragma once
#include "state_machine/deduplication.hpp"
#include "state_machine/rollout.hpp"
#include "state_machine/shard_founding.hpp"

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

/// A zone or region that is being evacuated for maintenance.
struct ZoneDrain {
  std::string zone;               ///< name of a zone, or of a region: all its zones
  std::string note;               ///< free text of the operator
  std::int32_t drainPercent = 0;  ///< percent of new requests that avoid the zone's runners
  bool notAccepting = false;      ///< its proxies accept no new clients and migrate resumable sessions
  /// Lists the fields in wire order; the names are those of the Avro schema.
  template <class V>
  void fields(V& v) {
    v("place", zone), v("note", note), v("share", drainPercent), v("notAccepting", notAccepting);
  }
};

/// Nothing is to be sent to the runners of a zone or region, whatever else is available. Beside `ZoneDrain`, which an
/// operator turns up in steps and which prefers other runners: the two are begun and ended apart.
struct ZoneEvacuation {
  std::string zone;        ///< name of a zone, or of a region: all its zones
  bool evacuated = false;  ///< false: the zone is back in use
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("zone", zone), v("evacuated", evacuated);
  }
};

/// Everything that a replica holds.
struct StateContents {
  std::int64_t index = 0;    ///< log index of the newest entry applied
  std::int64_t term = 0;     ///< its term
  std::int64_t version = 0;  ///< of the current configuration; 0: none yet
  std::string configuration;
  /// `digestOf(configuration)`. Empty with a version above 0: the configuration's text is not known here, the replica
  /// needs a full snapshot.
  std::string digest;
  std::vector<Runner> runners;
  std::vector<ZoneDrain> zoneDrains;
  std::vector<Rollout> rollouts;  ///< the newest of each service, the longest known first
  AcceptedConfigurations acceptedConfigurations;
  OperationDeduplication operations;
  DetachedRunners detachedRunners;
  ShardFounding shardFounding;              ///< known to controllers only
  std::vector<std::string> evacuatedZones;  ///< zones and regions, in alphabetical order
};
}  // namespace zinccleat::state_machine
