/// @file
/// The data of the replicated state: runners, zone drains, the configuration and the deduplication tables. Plain
/// values without behaviour; `ReplicatedState` changes them, `snapshot_codec.hpp` stores them.
#pragma once
#include "state_machine/deduplication.hpp"
#include "state_machine/rollout.hpp"
#include "state_machine/runner_table.hpp"
#include "state_machine/shard_founding.hpp"
#include "state_machine/usage_reports.hpp"

namespace zinccleat::state_machine {
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
  RunnerTable runners;
  std::vector<ZoneDrain> zoneDrains;
  std::vector<Rollout> rollouts;  ///< the newest of each service, the longest known first
  AcceptedConfigurations acceptedConfigurations;
  OperationDeduplication operations;
  DetachedRunners detachedRunners;
  ShardFounding shardFounding;              ///< known to controllers only
  std::vector<std::string> evacuatedZones;  ///< zones and regions, in alphabetical order
  UsageReports usage;                       ///< known to controllers only
};
}  // namespace zinccleat::state_machine
