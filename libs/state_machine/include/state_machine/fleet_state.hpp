/// @file
/// The data of the replicated state: runners, zone drains, the configuration and the deduplication tables. Plain data
/// types without behaviour; `ReplicatedState` modifies the data, `snapshot_codec.hpp` encodes it.
#pragma once
#include "state_machine/deduplication.hpp"
#include "state_machine/order_positions.hpp"
#include "state_machine/rollout.hpp"
#include "state_machine/runner_table.hpp"
#include "state_machine/shard_founding.hpp"
#include "state_machine/usage_reports.hpp"

namespace zinccleat::state_machine {
/// A zone or region that is being drained for maintenance.
struct ZoneDrain {
  std::string zone;               ///< name of a zone, or of a region, which stands for all its zones
  std::string note;               ///< free text entered by the operator
  std::int32_t drainPercent = 0;  ///< percentage of new requests that avoid the zone's runners
  bool notAccepting = false;      ///< whether the zone's proxies reject new clients and migrate resumable sessions
  /// Lists the fields in wire order; the names are those of the Avro schema.
  template <class V>
  void fields(V& v) {
    v("place", zone), v("note", note), v("share", drainPercent), v("notAccepting", notAccepting);
  }
};

/// Excludes the runners of a zone or region from all requests, even if no other runner is available. A `ZoneDrain`, in
/// contrast, only prefers other runners, and the operator raises its percentage in steps. A zone may have both; each is
/// begun and ended independently of the other.
struct ZoneEvacuation {
  std::string zone;        ///< name of a zone, or of a region, which stands for all its zones
  bool evacuated = false;  ///< false ends the evacuation
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("zone", zone), v("evacuated", evacuated);
  }
};

/// The complete state of a replica.
struct StateContents {
  std::int64_t index = 0;    ///< log index of the newest applied entry
  std::int64_t term = 0;     ///< term of the newest applied entry
  std::int64_t version = 0;  ///< version of the current configuration; 0: no configuration yet
  std::string configuration;
  /// `digestOf(configuration)`. An empty digest with a version above 0 means that this replica lacks the text of the
  /// configuration and needs a full snapshot.
  std::string digest;
  RunnerTable runners;
  std::vector<ZoneDrain> zoneDrains;
  std::vector<Rollout> rollouts;  ///< the newest rollout of each service, in the order in which they were begun
  AcceptedConfigurations acceptedConfigurations;
  OperationDeduplication operations;
  DetachedRunners detachedRunners;
  ShardFounding shardFounding;              ///< replicated to controllers only
  std::vector<std::string> evacuatedZones;  ///< zones and regions, in alphabetical order
  UsageReports usage;                       ///< replicated to controllers only
  OrderPositions orders;                    ///< replicated to controllers only
};
}  // namespace zinccleat::state_machine
