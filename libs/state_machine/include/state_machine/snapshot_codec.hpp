/// @file
/// Encodes and decodes snapshots of the replicated state. Pure functions.
///
/// Format 2 is written and read. It begins with the text `zcstate2`, followed by an Avro record. Format 1, an Avro
/// record without a prefix, is read only: it may still be on the disk of a controller that is being updated.
///
/// A snapshot is full, or partial: without the configuration's text, for a receiver that is known to have the same or
/// an earlier one.
#pragma once
#include "state_machine/fleet_state.hpp"

namespace zinccleat::state_machine {
/// Who a snapshot is for.
enum class SnapshotScope {
  controller,  ///< everything; also for a controller's disk
  dataPlane,   ///< for proxies and agents, which answer no operator: without verdicts and older accepted versions
};

/// A decoded snapshot, whose tables and numbers are checked. Its configuration isn't: see `resolveConfiguration`.
struct Snapshot {
  StateContents contents;  ///< in a partial snapshot without the configuration's text
  bool partial = false;
  std::string delta;  ///< partial: the configuration as a delta on the receiver's; empty: it has the same one
};

/// Encodes a full snapshot.
std::string encodeSnapshot(const StateContents& contents, SnapshotScope scope);
/// Encodes a partial snapshot for the data plane.
/// @param delta from the receiver's configuration to that of `contents`; empty if it has the same one.
std::string encodePartialSnapshot(const StateContents& contents, std::string delta);

/// Decodes a snapshot of either format.
/// @return ErrorCode::corruption for bytes that are no valid snapshot; ErrorCode::incompatibleFormat for a format of
///         another version of this program.
Result<Snapshot> decodeSnapshot(std::string_view bytes);

/// The configuration's text that a snapshot describes, for a receiver with the state `receiver`.
/// @param snapshot is left without its configuration.
/// @return ErrorCode::corruption if the text does not match the snapshot's digest, or if a partial snapshot does not
///         fit the receiver's configuration.
Result<std::string> resolveConfiguration(Snapshot& snapshot, const StateContents& receiver);
}  // namespace zinccleat::state_machine
