/// @file
/// Builds the log entries that `ReplicatedState::apply` handles. Pure functions; the leader assigns index and term.
///
/// Every entry carries an operation id: an entry that is submitted several times under the same id is applied once. The
/// id of a configuration entry ends in `@VERSION`, so that an acknowledgement can identify the version without carrying
/// the large entry.
#pragma once
#include "state_machine/fleet_state.hpp"
#include "transport/messages.hpp"

namespace zinccleat::state_machine {
/// Replaces the configuration; the entry carries the full text.
/// @param base the version that must be current for the Replace to be accepted.
transport::LogEntry configurationEntry(std::int64_t base, std::int64_t version, std::string body,
                                       std::string operationId);
/// Replaces the configuration; the entry carries a delta on the configuration of `current` if the delta is at most half
/// as long as the full text, otherwise the full text.
transport::LogEntry configurationChangeEntry(std::int64_t base, std::int64_t version, std::string body,
                                             std::string operationId, const StateContents& current);
/// Starts, changes or ends the drain of a zone.
/// @param endsDrain true removes the zone's drain.
transport::LogEntry zoneDrainEntry(const ZoneDrain& zoneDrain, bool endsDrain, std::string operationId);
/// Begins or ends the evacuation of a zone.
transport::LogEntry zoneEvacuationEntry(const ZoneEvacuation& evacuation, std::string operationId);
/// The subject of an operator's order, see `OrderPositions`; empty for an entry that is no such order.
std::string orderSubjectOf(const transport::LogEntry& entry);
/// A hash of what an entry orders, without the operation id.
std::int64_t orderContentOf(const transport::LogEntry& entry);
/// A runner joins, drains or detaches. A detachment with sequence 0 means that the runner's heartbeats were missed;
/// such a runner may join again.
transport::LogEntry runnerEntry(const Runner& runner, std::string operationId);

/// Begins a rollout that an operator requested.
/// @param rollout service, revision and duration are set; all other fields have their default values.
transport::LogEntry rolloutBeginEntry(const Rollout& rollout, std::string operationId);
/// Records progress of a rollout. An entry with an earlier phase or a lower percentage than the current ones has no
/// effect.
transport::LogEntry rolloutProgressEntry(const Rollout& rollout, std::string operationId);

/// Records which members found the shards of the coordination service. Only the first such entry takes effect.
transport::LogEntry shardsFoundedEntry(const ShardFounding& founding, std::string operationId);

/// Commits the usage report of a window for the platform. Only the first report of each window takes effect.
transport::LogEntry usageReportEntry(const UsageReport& report, std::string operationId);
/// Records that the platform has received the report of a window.
transport::LogEntry usageConfirmedEntry(std::int64_t window, std::string operationId);

/// Encodes a runner, followed by its `software`. If `software` has only default values it is omitted, and the bytes are
/// the same as in versions of this program that have no `RunnerSoftware`.
std::string encodeRunner(const Runner& runner);
/// @return ErrorCode::corruption for bytes that are not an encoded runner.
Result<Runner> decodeRunner(std::string_view bytes);

/// The version that a configuration entry sets; 0 if the entry's operation id contains no version.
std::int64_t configurationVersion(const transport::LogEntry& entry);
}  // namespace zinccleat::state_machine
