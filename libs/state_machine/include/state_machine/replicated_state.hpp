/// @file
/// The replicated state machine of the fleet. Its state changes only by applying committed log entries in log order.
/// Each node has a replica; `apply` is deterministic, so replicas that applied the same entries are equal (Ongaro,
/// "Consensus: Bridging Theory and Practice", 2014, chapter 3).
///
/// Related headers: `fleet_state.hpp` (the data), `log_entries.hpp` (building entries), `snapshot_codec.hpp` (the
/// stored format), `delta.hpp` (delta encoding of configurations), `deduplication.hpp` (repeated and late requests).
///
/// Not thread-safe.
#pragma once
#include "state_machine/fleet_state.hpp"
#include "state_machine/log_entries.hpp"
#include "state_machine/snapshot_codec.hpp"

namespace zinccleat::state_machine {
/// A replica of the fleet's state. The state changes only by committed log entries and by restored snapshots.
class ReplicatedState {
 public:
  /// The outcome of a log entry. The values equal the HTTP status codes of the API; they are stored and sent as
  /// integers.
  enum class Verdict : std::int32_t {
    acceptable = 0,         ///< returned by `evaluateReplace` only: the Replace would be accepted
    acknowledged = 200,     ///< accepted by this entry or by an earlier one
    invalidVersion = 400,   ///< the version is not above the current one, or the entry is malformed
    conflict = 409,         ///< the rollout or the usage window has another state than the entry requires
    versionMismatch = 412,  ///< the base is not the current version
    outcomeUnknown = 503,   ///< the version is too old to determine whether it was accepted
  };
  /// Parts of the state that an entry changed.
  struct Change {
    bool configuration = false;
    bool runners = false;
    bool zoneDrains = false;  ///< zone drains or zone evacuations
    bool rollouts = false;
    /// The entry's delta could not be applied to this replica's configuration; the replica is now `corrupted()`.
    bool corrupted = false;
  };

  /// Applies the next committed entry. An entry whose operation was applied before changes only the index and the term.
  ///
  /// The changes depend only on the entry, the contents of the state, the applied operations and the detached runners,
  /// which are the same on all replicas. Only the verdict on a configuration may differ on a replica of the data plane,
  /// because it lacks the table of accepted configurations.
  Change apply(const transport::LogEntry& entry);

  const StateContents& state() const { return contents_; }
  /// Whether this replica lacks the text of the current configuration and needs a full snapshot.
  bool corrupted() const { return contents_.version > 0 && contents_.digest.empty(); }
  /// Marks the replica as corrupted, so that it requests a full snapshot. Has no effect before the first configuration.
  void markCorrupted() { contents_.digest.clear(); }

  /// A full snapshot, for a controller and for its disk.
  std::string snapshot() const;
  /// A snapshot for a node of the data plane, without verdicts and without older accepted versions.
  /// @param cachedDigest digest of the configuration that the node has; empty: the node has none. If this replica still
  ///        has that configuration, as the current one or as one of the last few, the snapshot is partial unless the
  ///        delta is longer than half of the current configuration.
  std::string snapshotFor(const std::string& cachedDigest) const;
  /// Replaces the state by a full or partial snapshot of any supported format. Empty bytes restore the state before the
  /// first entry.
  /// @return the error of `decodeSnapshot` or `resolveConfiguration`, in which case the state is unchanged.
  Result<void> restore(std::string_view snapshot);

  /// The verdict on an applied operation; none if the operation was not applied or was evicted from the deduplication
  /// table. On a replica restored from a data plane snapshot, which omits verdicts, the verdict may be 0.
  std::optional<Verdict> outcomeOf(const std::string& operationId) const;
  /// The verdict that a Replace of the configuration would get now. Does not change the state.
  Verdict evaluateReplace(std::int64_t base, std::int64_t version, const std::string& digest) const;
  /// The runner with this id, which is in service or draining; null if there is no such runner.
  const Runner* runner(const std::string& id) const;
  /// The newest rollout of a service; null if the service has none.
  const Rollout* rollout(std::string_view service) const;
  /// Whether a runner is permanently detached. The id of such a runner is never reused.
  bool isDetached(const std::string& id) const;

 private:
  /// A configuration that was current earlier.
  struct EarlierConfiguration {
    std::string digest;
    std::string text;
  };

  Verdict applyOperation(const transport::LogEntry& entry, Change& change);
  void recordOrder(const transport::LogEntry& entry);
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
/// Makes an entry take effect only if no other order on its subject was applied after the order at `base`; see
/// `OrderPositions`.
/// @param entry an operator's order whose operation id no other entry has.
transport::LogEntry asOrder(transport::LogEntry entry, std::int64_t base, const ReplicatedState& replica);
}  // namespace zinccleat::state_machine
