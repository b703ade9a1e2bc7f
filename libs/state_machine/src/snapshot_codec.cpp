#include "state_machine/snapshot_codec.hpp"

#include "snapshot_formats.hpp"
#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
/// Everything but the configuration's text.
format::Snapshot2 recordOf(const StateContents& contents, SnapshotScope scope) {
  const bool dataPlane = scope == SnapshotScope::dataPlane;
  const auto& accepted = contents.acceptedConfigurations;
  const auto& operations = contents.operations;
  format::Snapshot2 record;
  record.index = contents.index;
  record.term = contents.term;
  record.version = contents.version;
  record.digest = contents.digest;
  record.runners = contents.runners;
  record.zoneDrains = contents.zoneDrains;
  record.detachedRunners = contents.detachedRunners.pack();
  if (dataPlane) {
    const auto newest = accepted.newestOnly();
    record.acceptedConfigurations = newest.pack();
    record.forgottenVersion = newest.forgottenVersion();
    record.operations = operations.withoutVerdicts().pack();
  } else {
    record.acceptedConfigurations = accepted.pack();
    record.forgottenVersion = accepted.forgottenVersion();
    record.operations = operations.pack();
  }
  return record;
}
std::string encodeRecord(format::Snapshot2 record) {
  return std::string(format::kPrefix2) + avro::encode(std::move(record));
}

/// Integers outside the range that any replica can have.
Result<void> checkNumbers(const format::Snapshot2& record) {
  if (record.index < 0 || record.term < 0 || record.version < 0 || record.forgottenVersion < 0)
    return makeError(ErrorCode::corruption, "a snapshot with a number below zero");
  for (const auto& runner : record.runners) {
    const auto state = runner.runnerState();
    if (state != RunnerState::inService && state != RunnerState::draining)
      return makeError(ErrorCode::corruption, "a snapshot with a runner in no known state");
  }
  return {};
}
Result<void> unpackTables(const format::Snapshot2& record, StateContents& contents) {
  auto accepted = AcceptedConfigurations::unpack(record.acceptedConfigurations, record.forgottenVersion);
  if (!accepted)
    return tl::unexpected(accepted.error());
  auto operations = OperationDeduplication::unpack(record.operations);
  if (!operations)
    return tl::unexpected(operations.error());
  auto detached = DetachedRunners::unpack(record.detachedRunners);
  if (!detached)
    return tl::unexpected(detached.error());
  contents.acceptedConfigurations = std::move(*accepted);
  contents.operations = std::move(*operations);
  contents.detachedRunners = std::move(*detached);
  return {};
}
Result<Snapshot> snapshotOf(format::Snapshot2 record) {
  if (auto valid = checkNumbers(record); !valid)
    return tl::unexpected(valid.error());
  Snapshot snapshot;
  if (auto unpacked = unpackTables(record, snapshot.contents); !unpacked)
    return tl::unexpected(unpacked.error());
  auto& contents = snapshot.contents;
  contents.index = record.index;
  contents.term = record.term;
  contents.version = record.version;
  contents.configuration = std::move(record.configuration);
  contents.digest = std::move(record.digest);
  contents.runners = std::move(record.runners);
  contents.zoneDrains = std::move(record.zoneDrains);
  snapshot.partial = record.partial;
  snapshot.delta = std::move(record.delta);
  return snapshot;
}

/// Format 1 in the fields of format 2.
format::Snapshot2 upgrade(format::Snapshot1 old) {
  AcceptedConfigurations accepted;
  for (const auto& each : old.acceptedConfigurations)
    accepted.record(each.version, each.digest);
  OperationDeduplication operations;
  for (const auto& each : old.operations)
    operations.record(each.operationId, each.verdict);
  DetachedRunners detached;
  for (const auto& runnerId : old.detachedRunners)
    detached.record(runnerId);
  // A full list may have dropped what was accepted before it.
  const bool complete = old.acceptedConfigurations.size() < format::Snapshot1::kAcceptedCapacity;

  format::Snapshot2 record;
  record.index = old.index;
  record.term = old.term;
  record.version = old.version;
  record.configuration = std::move(old.configuration);
  record.digest = std::move(old.digest);
  record.partial = old.partial;
  record.delta = std::move(old.delta);
  record.runners = std::move(old.runners);
  record.zoneDrains = std::move(old.zoneDrains);
  record.acceptedConfigurations = accepted.pack();
  record.forgottenVersion = complete ? 0 : old.acceptedConfigurations.front().version - 1;
  record.operations = operations.pack();
  record.detachedRunners = detached.pack();
  return record;
}
}  // namespace

std::string encodeSnapshot(const StateContents& contents, SnapshotScope scope) {
  auto record = recordOf(contents, scope);
  record.configuration = contents.configuration;
  return encodeRecord(std::move(record));
}
std::string encodePartialSnapshot(const StateContents& contents, std::string delta) {
  auto record = recordOf(contents, SnapshotScope::dataPlane);
  record.partial = true;
  record.delta = std::move(delta);
  return encodeRecord(std::move(record));
}

Result<Snapshot> decodeSnapshot(std::string_view bytes) {
  if (bytes.starts_with(format::kPrefix2)) {
    auto record = avro::decode<format::Snapshot2>(bytes.substr(format::kPrefix2.size()));
    if (!record)
      return tl::unexpected(record.error());
    return snapshotOf(std::move(*record));
  }
  if (bytes.starts_with(format::kPrefix))
    return makeError(ErrorCode::incompatibleFormat, "a snapshot of another format version");
  auto old = avro::decode<format::Snapshot1>(bytes);
  if (!old)
    return tl::unexpected(old.error());
  return snapshotOf(upgrade(std::move(*old)));
}

Result<std::string> resolveConfiguration(Snapshot& snapshot, const StateContents& receiver) {
  auto& contents = snapshot.contents;
  if (!snapshot.partial) {
    const bool none = contents.version == 0 && contents.digest.empty() && contents.configuration.empty();
    if (!none && digestOf(contents.configuration) != contents.digest)
      return makeError(ErrorCode::corruption, "a snapshot whose configuration does not match its digest");
    return std::move(contents.configuration);
  }
  if (!snapshot.delta.empty())
    return applyDelta(receiver.configuration, receiver.digest, snapshot.delta, contents.digest);
  if (receiver.digest.empty() || contents.digest != receiver.digest)
    return makeError(ErrorCode::corruption, "a snapshot without the configuration, for a replica that has another one");
  return receiver.configuration;
}
}  // namespace zinccleat::state_machine
