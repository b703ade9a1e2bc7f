#include "state_machine/log_entries.hpp"

#include <charconv>

#include "state_machine/delta.hpp"
#include "transport/avro.hpp"

namespace zinccleat::state_machine {
namespace {
constexpr char kVersionSeparator = '@';

transport::LogEntry makeEntry(transport::OperationKind kind, std::string operationId, std::string body) {
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(kind);
  entry.operationId = std::move(operationId);
  entry.body = std::move(body);
  return entry;
}
}  // namespace

transport::LogEntry configurationEntry(std::int64_t base, std::int64_t version, std::string body,
                                       std::string operationId) {
  auto entry = makeEntry(transport::OperationKind::configuration,
                         std::move(operationId) + kVersionSeparator + std::to_string(version), std::move(body));
  entry.base = base;
  entry.digest = digestOf(entry.body);
  return entry;
}
transport::LogEntry configurationChangeEntry(std::int64_t base, std::int64_t version, std::string body,
                                             std::string operationId, const StateContents& current) {
  auto entry = configurationEntry(base, version, std::move(body), std::move(operationId));
  // If `base` is not the current version, the Replace will be rejected in any case. If the digest is empty, the text of
  // the current configuration is unknown and cannot serve as the base of a delta.
  if (current.version != base || current.digest.empty())
    return entry;
  auto delta = computeDelta(current.configuration, current.digest, entry.body, entry.digest);
  if (delta.size() > entry.body.size() / 2)
    return entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::configurationDelta);
  entry.body = std::move(delta);
  return entry;
}
transport::LogEntry zoneDrainEntry(const ZoneDrain& zoneDrain, bool endsDrain, std::string operationId) {
  auto entry = makeEntry(transport::OperationKind::zoneDrain, std::move(operationId), avro::encode(zoneDrain));
  entry.base = endsDrain ? 1 : 0;
  return entry;
}
transport::LogEntry zoneEvacuationEntry(const ZoneEvacuation& evacuation, std::string operationId) {
  return makeEntry(transport::OperationKind::zoneEvacuation, std::move(operationId), avro::encode(evacuation));
}
std::string orderSubjectOf(const transport::LogEntry& entry) {
  if (entry.op() == transport::OperationKind::zoneEvacuation) {
    const auto evacuation = avro::decode<ZoneEvacuation>(entry.body);
    return evacuation ? "evacuation/" + evacuation->zone : "";
  }
  if (entry.op() == transport::OperationKind::zoneDrain) {
    const auto zoneDrain = avro::decode<ZoneDrain>(entry.body);
    return zoneDrain ? "drain/" + zoneDrain->zone : "";
  }
  const bool isBegin = entry.op() == transport::OperationKind::rolloutBegin;
  if (isBegin || entry.op() == transport::OperationKind::rolloutProgress) {
    const auto rollout = avro::decode<Rollout>(entry.body);
    const bool isOrder = rollout && (isBegin || rollout->phase() == RolloutPhase::reverted);
    return isOrder ? "rollout/" + rollout->service : "";
  }
  return "";
}
std::int64_t orderContentOf(const transport::LogEntry& entry) {
  const auto seed = hash64(std::to_string(entry.kind) + "/" + std::to_string(entry.base));
  return static_cast<std::int64_t>(hash64(entry.body, seed));
}
transport::LogEntry runnerEntry(const Runner& runner, std::string operationId) {
  return makeEntry(transport::OperationKind::runner, std::move(operationId), encodeRunner(runner));
}
transport::LogEntry rolloutBeginEntry(const Rollout& rollout, std::string operationId) {
  return makeEntry(transport::OperationKind::rolloutBegin, std::move(operationId), avro::encode(rollout));
}
transport::LogEntry rolloutProgressEntry(const Rollout& rollout, std::string operationId) {
  return makeEntry(transport::OperationKind::rolloutProgress, std::move(operationId), avro::encode(rollout));
}
transport::LogEntry shardsFoundedEntry(const ShardFounding& founding, std::string operationId) {
  return makeEntry(transport::OperationKind::shardsFounded, std::move(operationId), avro::encode(founding));
}

transport::LogEntry usageReportEntry(const UsageReport& report, std::string operationId) {
  return makeEntry(transport::OperationKind::usageReport, std::move(operationId), avro::encode(report));
}
transport::LogEntry usageConfirmedEntry(std::int64_t window, std::string operationId) {
  auto entry = makeEntry(transport::OperationKind::usageConfirmed, std::move(operationId), {});
  entry.base = window;
  return entry;
}

std::string encodeRunner(const Runner& runner) {
  auto bytes = avro::encode(runner);
  if (runner.software != RunnerSoftware{})
    bytes += avro::encode(runner.software);
  return bytes;
}
Result<Runner> decodeRunner(std::string_view bytes) {
  std::size_t consumed = 0;
  auto runner = avro::decode<Runner>(bytes, &consumed);
  if (!runner || consumed >= bytes.size())
    return runner;
  auto software = avro::decode<RunnerSoftware>(bytes.substr(consumed));
  if (!software)
    return tl::unexpected(std::move(software.error()));
  runner->software = std::move(*software);
  return runner;
}

std::int64_t configurationVersion(const transport::LogEntry& entry) {
  const std::string_view operationId = entry.operationId;
  const auto separator = operationId.rfind(kVersionSeparator);
  if (separator == std::string_view::npos)
    return 0;
  const auto digits = operationId.substr(separator + 1);
  std::int64_t version = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), version);
  return version;
}
}  // namespace zinccleat::state_machine
