#include "state_machine/snapshot_codec.hpp"

#include "snapshot_formats.hpp"
#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
/// Encodes all contents except the configuration's text.
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
format::Snapshot2Usage usageRecordOf(const UsageReports& usage) {
  format::Snapshot2Usage record;
  for (const auto& [window, reporters] : usage.windows()) {
    record.windows.push_back(window);
    record.reporters.push_back(reporters);
  }
  record.unconfirmed = usage.unconfirmed();
  return record;
}
format::Snapshot2Orders ordersRecordOf(const OrderPositions& orders) {
  format::Snapshot2Orders record;
  for (const auto& [subject, position] : orders.all()) {
    record.subjects.push_back(subject);
    record.indexes.push_back(position.index);
    record.contents.push_back(position.content);
  }
  return record;
}
// Encodes the records that follow the record of format 2. Each of them is optional, and a later one requires all
// earlier ones. Earlier versions of this program ignore bytes after the records that they know.
std::string encodeExtensions(const StateContents& contents, SnapshotScope scope) {
  const bool hasOrders = scope == SnapshotScope::controller && !contents.orders.all().empty();
  const bool hasUsage = hasOrders || (scope == SnapshotScope::controller && !contents.usage.empty());
  const bool hasEvacuations = hasUsage || !contents.evacuatedZones.empty();
  const bool hasFounding = hasEvacuations || (scope == SnapshotScope::controller && contents.shardFounding.isAgreed());
  const bool hasSoftware = std::any_of(contents.runners.begin(), contents.runners.end(),
                                       [](const Runner& runner) { return runner.software != RunnerSoftware{}; });
  if (!hasSoftware && contents.rollouts.empty() && !hasFounding)
    return {};
  format::Snapshot2Extension extension;
  extension.software.reserve(contents.runners.size());
  for (const auto& runner : contents.runners)
    extension.software.push_back(runner.software);
  extension.rollouts = contents.rollouts;
  auto bytes = avro::encode(std::move(extension));
  if (hasFounding)
    bytes += avro::encode(contents.shardFounding);
  if (hasEvacuations)
    bytes += avro::encode(format::Snapshot2Evacuations{contents.evacuatedZones});
  if (hasUsage)
    bytes += avro::encode(usageRecordOf(contents.usage));
  if (hasOrders)
    bytes += avro::encode(ordersRecordOf(contents.orders));
  return bytes;
}
std::string encodeRecord(format::Snapshot2 record, const StateContents& contents, SnapshotScope scope) {
  return std::string(format::kPrefix2) + avro::encode(std::move(record)) + encodeExtensions(contents, scope);
}

/// Rejects integers outside the range that a replica can have.
Result<void> checkNumbers(const format::Snapshot2& record) {
  if (record.index < 0 || record.term < 0 || record.version < 0 || record.forgottenVersion < 0)
    return makeError(ErrorCode::corruption, "the snapshot has a negative number");
  for (const auto& runner : record.runners) {
    const auto state = runner.runnerState();
    if (state != RunnerState::inService && state != RunnerState::draining)
      return makeError(ErrorCode::corruption, "the snapshot has a runner in an unknown state");
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

Result<void> decodeOrders(std::string_view bytes, StateContents& contents) {
  const auto orders = avro::decode<format::Snapshot2Orders>(bytes);
  if (!orders)
    return tl::unexpected(orders.error());
  const auto count = orders->subjects.size();
  if (count > OrderPositions::kCapacity || orders->indexes.size() != count || orders->contents.size() != count)
    return makeError(ErrorCode::corruption, "the snapshot has an invalid number of order positions");
  for (std::size_t i = 0; i < count; ++i)
    contents.orders.record(orders->subjects[i], {orders->indexes[i], orders->contents[i]});
  return {};
}
Result<void> decodeUsage(std::string_view bytes, StateContents& contents) {
  std::size_t consumed = 0;
  auto usage = avro::decode<format::Snapshot2Usage>(bytes, &consumed);
  if (!usage)
    return tl::unexpected(usage.error());
  if (usage->windows.size() != usage->reporters.size() || usage->windows.size() > UsageReports::kMaxTrackedWindows)
    return makeError(ErrorCode::corruption, "the snapshot has an invalid number of usage windows");
  std::map<std::int64_t, std::int64_t> windows;
  for (std::size_t i = 0; i < usage->windows.size(); ++i)
    windows[usage->windows[i]] = usage->reporters[i];
  const bool windowsMatch = std::all_of(usage->unconfirmed.begin(), usage->unconfirmed.end(),
                                        [&](const UsageReport& report) { return windows.contains(report.window); });
  if (!windowsMatch)
    return makeError(ErrorCode::corruption, "the snapshot has a usage report of an unknown window");
  contents.usage.restore(std::move(windows), std::move(usage->unconfirmed));
  return consumed < bytes.size() ? decodeOrders(bytes.substr(consumed), contents) : Result<void>{};
}
Result<void> decodeEvacuations(std::string_view bytes, StateContents& contents) {
  std::size_t consumed = 0;
  auto evacuations = avro::decode<format::Snapshot2Evacuations>(bytes, &consumed);
  if (!evacuations)
    return tl::unexpected(evacuations.error());
  contents.evacuatedZones = std::move(evacuations->zones);
  std::sort(contents.evacuatedZones.begin(), contents.evacuatedZones.end());
  return consumed < bytes.size() ? decodeUsage(bytes.substr(consumed), contents) : Result<void>{};
}
Result<void> decodeShardFounding(std::string_view bytes, StateContents& contents) {
  std::size_t consumed = 0;
  auto founding = avro::decode<ShardFounding>(bytes, &consumed);
  if (!founding)
    return tl::unexpected(founding.error());
  // Founders that are not agreed on yet are encoded only as a prefix of the evacuations.
  const bool isLast = consumed >= bytes.size();
  if (founding->shards < 0 || (isLast && !founding->isAgreed()))
    return makeError(ErrorCode::corruption, "the snapshot has an invalid number of shards");
  contents.shardFounding = std::move(*founding);
  return isLast ? Result<void>{} : decodeEvacuations(bytes.substr(consumed), contents);
}
/// Decodes the records that follow the record of format 2.
Result<void> decodeExtensions(std::string_view bytes, StateContents& contents) {
  std::size_t consumed = 0;
  auto extension = avro::decode<format::Snapshot2Extension>(bytes, &consumed);
  if (!extension)
    return tl::unexpected(extension.error());
  if (extension->software.size() != contents.runners.size())
    return makeError(ErrorCode::corruption, "the snapshot has different numbers of runners and software records");
  auto runners = contents.runners.list();
  for (std::size_t i = 0; i < runners.size(); ++i)
    runners[i].software = std::move(extension->software[i]);
  contents.runners = std::move(runners);
  for (const auto& rollout : extension->rollouts)
    if (rollout.phase() < RolloutPhase::canary || rollout.phase() > RolloutPhase::reverted)
      return makeError(ErrorCode::corruption, "the snapshot has a rollout in an unknown phase");
  contents.rollouts = std::move(extension->rollouts);
  return consumed < bytes.size() ? decodeShardFounding(bytes.substr(consumed), contents) : Result<void>{};
}
Result<Snapshot> decodeFormat2(std::string_view bytes) {
  std::size_t consumed = 0;
  auto record = avro::decode<format::Snapshot2>(bytes, &consumed);
  if (!record)
    return tl::unexpected(record.error());
  auto snapshot = snapshotOf(std::move(*record));
  if (!snapshot || consumed >= bytes.size())
    return snapshot;
  if (auto added = decodeExtensions(bytes.substr(consumed), snapshot->contents); !added)
    return tl::unexpected(added.error());
  return snapshot;
}

/// Converts format 1 to the fields of format 2.
format::Snapshot2 convertFormat1(format::Snapshot1 old) {
  AcceptedConfigurations accepted;
  for (const auto& each : old.acceptedConfigurations)
    accepted.record(each.version, each.digest);
  OperationDeduplication operations;
  for (const auto& each : old.operations)
    operations.record(each.operationId, each.verdict);
  DetachedRunners detached;
  for (const auto& runnerId : old.detachedRunners)
    detached.record(runnerId);
  // If the list is full, configurations that were accepted earlier may have been dropped from it.
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
  return encodeRecord(std::move(record), contents, scope);
}
std::string encodePartialSnapshot(const StateContents& contents, std::string delta) {
  auto record = recordOf(contents, SnapshotScope::dataPlane);
  record.partial = true;
  record.delta = std::move(delta);
  return encodeRecord(std::move(record), contents, SnapshotScope::dataPlane);
}

Result<Snapshot> decodeSnapshot(std::string_view bytes) {
  if (bytes.starts_with(format::kPrefix2))
    return decodeFormat2(bytes.substr(format::kPrefix2.size()));
  if (bytes.starts_with(format::kPrefix))
    return makeError(ErrorCode::incompatibleFormat, "a snapshot of another format version");
  auto old = avro::decode<format::Snapshot1>(bytes);
  if (!old)
    return tl::unexpected(old.error());
  return snapshotOf(convertFormat1(std::move(*old)));
}

Result<std::string> resolveConfiguration(Snapshot& snapshot, const StateContents& receiver) {
  auto& contents = snapshot.contents;
  if (!snapshot.partial) {
    const bool isInitialState = contents.version == 0 && contents.digest.empty() && contents.configuration.empty();
    if (!isInitialState && digestOf(contents.configuration) != contents.digest)
      return makeError(ErrorCode::corruption, "the configuration of the snapshot does not match its digest");
    return std::move(contents.configuration);
  }
  if (!snapshot.delta.empty())
    return applyDelta(receiver.configuration, receiver.digest, snapshot.delta, contents.digest);
  if (receiver.digest.empty() || contents.digest != receiver.digest)
    return makeError(ErrorCode::corruption, "the snapshot omits the configuration, and the replica has another one");
  return receiver.configuration;
}
}  // namespace zinccleat::state_machine
