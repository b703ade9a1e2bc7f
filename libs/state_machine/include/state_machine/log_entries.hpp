/// @file
/// Builds the log entries that `ReplicatedState::apply` understands. Pure functions; index and term are left for the
/// leader to assign.
///
/// Every entry carries an operation id: an entry that is submitted again under the same id is applied once. The id of
/// a configuration entry ends in `@VERSION`, so that the acknowledgement of a large entry stays small.
#pragma once
#include "state_machine/fleet_state.hpp"
#include "transport/messages.hpp"

namespace zinccleat::state_machine {
/// A Replace of the configuration with its full text.
/// @param base the version that must be current for the Replace to be accepted.
transport::LogEntry configurationEntry(std::int64_t base, std::int64_t version, std::string body,
                                       std::string operationId);
/// The same as a delta on the configuration of `current`, where that is at most half as long as the full text; else
/// with the full text.
transport::LogEntry configurationChangeEntry(std::int64_t base, std::int64_t version, std::string body,
                                             std::string operationId, const StateContents& current);
/// Starts, changes or ends the drain of a zone.
/// @param endsDrain true: the zone is back in use, its drain is removed.
transport::LogEntry zoneDrainEntry(const ZoneDrain& zoneDrain, bool endsDrain, std::string operationId);
/// Begins or ends the evacuation of a zone.
transport::LogEntry zoneEvacuationEntry(const ZoneEvacuation& evacuation, std::string operationId);
/// A runner joins, drains or detaches. Detached with sequence 0: its heartbeats were missed, so it may join again.
transport::LogEntry runnerEntry(const Runner& runner, std::string operationId);

/// An operator orders a rollout.
/// @param rollout its service, revision and duration; the rest is at its default.
transport::LogEntry rolloutBeginEntry(const Rollout& rollout, std::string operationId);
/// A rollout has come further. Entries that would take it back change nothing.
transport::LogEntry rolloutProgressEntry(const Rollout& rollout, std::string operationId);

/// Who founds the shards of the coordination service. Only the first one counts.
transport::LogEntry shardsFoundedEntry(const ShardFounding& founding, std::string operationId);

/// What the platform is to be told of the usage in a window. Only the first one of a window counts.
transport::LogEntry usageReportEntry(const UsageReport& report, std::string operationId);
/// The platform has the report of a window.
transport::LogEntry usageConfirmedEntry(std::int64_t window, std::string operationId);

/// A runner with its software behind it. Without a revision the bytes are those of earlier versions.
std::string encodeRunner(const Runner& runner);
/// @return ErrorCode::corruption for bytes that are no runner.
Result<Runner> decodeRunner(std::string_view bytes);

/// The version that a configuration entry sets; 0 if its operation id bears none.
std::int64_t configurationVersion(const transport::LogEntry& entry);
}  // namespace zinccleat::state_machine
