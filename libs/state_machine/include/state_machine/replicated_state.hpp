/// @file
/// The replicated state machine of the fleet: the state that every committed log entry changes, in log order, and that
/// nothing else changes. Each node has a replica; `apply` is deterministic, so replicas that applied the same entries
/// are equal (Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapter 3).
///
/// The parts: `fleet_state.hpp` (the data), `log_entries.hpp` (building entries), `snapshot_codec.hpp` (the stored
/// form), `delta.hpp` (configurations as differences), `deduplication.hpp` (repeated and late requests).
///
/// Not thread-safe.
#pragma once
#include "state_machine/fleet_state.hpp"
#include "state_machine/log_entries.hpp"
#include "state_machine/snapshot_codec.hpp"

namespace zinccleat::state_machine {
class ReplicatedState {
 public:
  /// The outcome of a log entry. The values are those of the API's HTTP status codes; they are stored and sent as
  /// integers, and compare with them.
  enum class Verdict : std::int32_t {
    acceptable = 0,         ///< only of `evaluateReplace`: it would be accepted
    acknowledged = 200,     ///< accepted, now or earlier
    invalidVersion = 400,   ///< a version that is not above the current one
    conflict = 409,         ///< another rollout of the service is in progress, or is over
    versionMismatch = 412,  ///< the base is not the current version
    outcomeUnknown = 503,   ///< too old to tell whether it was accepted
  };
  /// What an entry changed.
  struct Change {
    bool configuration = false;
    bool runners = false;
    bool zoneDrains = false;  ///< also of evacuations
    bool rollouts = false;
    /// The entry's delta did not fit this replica's configuration: the replica is corrupted, see `corrupted`.
    bool corrupted = false;
  };

  /// Applies the next committed entry. An entry whose operation was applied before changes nothing but the index.
  ///
  /// What it changes depends only on the state's contents, the applied operations and the detached runners, which are
  /// the same everywhere. Only the verdict on a configuration may differ, on a replica of the data plane, which lacks
  /// the table of accepted ones.
  Change apply(const transport::LogEntry& entry);

  const StateContents& state() const { return contents_; }
  /// Whether the configuration's text is unknown here, so that the replica needs a full snapshot.
  bool corrupted() const { return contents_.version > 0 && contents_.digest.empty(); }
  /// Marks the replica as corrupted: it must get a full snapshot. Without effect before the first configuration.
  void markCorrupted() { contents_.digest.clear(); }

  /// A full snapshot, for a controller and for its disk.
  std::string snapshot() const;
  /// A snapshot for a node of the data plane, without verdicts and older accepted versions.
  /// @param cachedDigest of the configuration that the node has; empty: none. If it is the current one or one of the
  ///        last few, the snapshot is partial.
  std::string snapshotFor(const std::string& cachedDigest) const;
  /// Replaces the state by a snapshot of either kind and format; empty bytes are the state before the first entry.
  /// @return the error of `decodeSnapshot` or `resolveConfiguration`; nothing has changed then.
  Result<void> restore(std::string_view snapshot);

  /// The verdict on an operation that was applied; none if it was not, or is forgotten. On a replica that was restored
  /// from a snapshot for the data plane it may be 0: the verdict was left out.
  std::optional<Verdict> outcomeOf(const std::string& operationId) const;
  /// The verdict that a Replace of the configuration would get now; changes nothing.
  Verdict evaluateReplace(std::int64_t base, std::int64_t version, const std::string& digest) const;
  /// A runner in service or draining; null if there is none with this id.
  const Runner* runner(const std::string& id) const;
  /// The newest rollout of a service; null if there was none.
  const Rollout* rollout(std::string_view service) const;
  /// Whether a runner is detached for good: its id is never reused.
  bool isDetached(const std::string& id) const;

 private:
  /// A configuration that was current before.
  struct EarlierConfiguration {
    std::string digest;
    std::string text;
  };

  Verdict applyOperation(const transport::LogEntry& entry, Change& change);
  Verdict applyConfiguration(const transport::LogEntry& entry, Change& change);
  void applyZoneDrain(const transport::LogEntry& entry, Change& change);
  void applyZoneEvacuation(const transport::LogEntry& entry, Change& change);
  void applyRunner(const transport::LogEntry& entry, Change& change);
  Verdict applyRolloutBegin(const transport::LogEntry& entry, Change& change);
  Verdict applyRolloutProgress(const transport::LogEntry& entry, Change& change);
  Verdict applyShardsFounded(const transport::LogEntry& entry);
  Verdict applyUsageReport(const transport::LogEntry& entry);
  void addRollout(Rollout rollout);
  void removeBaselineRunners(const Rollout& completed);
  std::vector<Rollout>::iterator findRollout(std::string_view service);
  void detachRunner(const Runner& update);
  void removeRunner(const Runner& removed);
  void joinRunner(Runner joining);
  bool updateRunner(const Runner& known, Runner update);
  void acceptConfiguration(std::int64_t version, std::string digest, std::string text);
  void retainCurrentConfiguration();
  const EarlierConfiguration* findEarlierConfiguration(const std::string& digest) const;

  StateContents contents_;
  std::deque<EarlierConfiguration> earlierConfigurations_;  // oldest first
};
}  // namespace zinccleat::state_machine
