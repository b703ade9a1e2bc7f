/// @file
/// Encodes and decodes snapshots of the replicated state. Pure functions.
///
/// Format 2 is written and read. It begins with the text `zcstate2`, followed by an Avro record. Format 1, an Avro
/// record without a prefix, is only read, because it may still be on the disk of a controller that is being updated.
///
/// A snapshot is full or partial. A partial snapshot omits the configuration's text; it is for a receiver that is known
/// to have the same configuration or an earlier one.
#pragma once
#include "state_machine/fleet_state.hpp"

namespace zinccleat::state_machine {
/// The kind of node that a snapshot is for.
enum class SnapshotScope {
  controller,  ///< the complete state; also for a controller's disk
  dataPlane,   ///< for proxies and agents, which serve no operator calls: omits verdicts and older accepted versions
};

/// A decoded snapshot. Its tables and numbers have been validated; `resolveConfiguration` validates the configuration.
struct Snapshot {
  StateContents contents;  ///< lacks the configuration's text if the snapshot is partial
  bool partial = false;
  std::string delta;  ///< partial: delta on the receiver's configuration; empty: the receiver has the same one
};

/// Encodes a full snapshot.
std::string encodeSnapshot(const StateContents& contents, SnapshotScope scope);
/// Encodes a partial snapshot for the data plane.
/// @param delta from the receiver's configuration to that of `contents`; empty if both are the same.
std::string encodePartialSnapshot(const StateContents& contents, std::string delta);

/// Decodes a snapshot of either format.
/// @return ErrorCode::corruption for bytes that are not a valid snapshot; ErrorCode::incompatibleFormat for a format of
///         another version of this program.
Result<Snapshot> decodeSnapshot(std::string_view bytes);

/// The text of a snapshot's configuration, for a receiver with the state `receiver`.
/// @param snapshot the text of its configuration may be moved out.
/// @return ErrorCode::corruption if the text does not match the snapshot's digest, or if a partial snapshot cannot be
///         applied to the receiver's configuration.
Result<std::string> resolveConfiguration(Snapshot& snapshot, const StateContents& receiver);
}  // namespace zinccleat::state_machine
