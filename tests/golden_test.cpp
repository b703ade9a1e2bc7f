// Compares the wire and disk formats byte by byte with the golden files in tests/golden (see the README there).
#include <gtest/gtest.h>

#include "consensus/messages.hpp"
#include "coordination/messages.hpp"
#include "golden_files.hpp"
#include "hints/hints.hpp"
#include "replicated_counters/messages.hpp"
#include "state_machine/delta.hpp"
#include "state_machine/replicated_state.hpp"
#include "storage/record_format.hpp"
#include "transport/access_messages.hpp"
#include "transport/avro.hpp"
#include "transport/peer_link.hpp"

using namespace zinccleat;
using namespace zinccleat::consensus;
using namespace zinccleat::hints;
using namespace zinccleat::state_machine;
using namespace zinccleat::storage;
using namespace zinccleat::transport;
using golden::Case;
namespace {
const std::string kSender = "10.0.0.4#77";

// --- encoding and decoding of each kind of value ---

/// A test case for an Avro record without a frame.
template <class T>
Case recordCase(const std::string& file, const T& value) {
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    auto decoded = avro::decode<T>(bytes);
    if (!decoded)
      return tl::unexpected(decoded.error());
    return avro::encode(std::move(*decoded));
  };
  return {file, [value] { return avro::encode(value); }, again, golden::weaknessOf(value)};
}
/// A test case for a message of the consensus protocol, without a frame.
template <class T>
Case consensusCase(const std::string& file, const T& message) {
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    const auto decoded = decodeMessage(bytes);
    if (!decoded)
      return tl::unexpected(decoded.error());
    if (!std::holds_alternative<T>(*decoded))
      return makeError(ErrorCode::ioError, "decoded as another message");
    return encodeMessage(*decoded);
  };
  return {file, [message] { return encodeMessage(message); }, again, golden::weaknessOf(message)};
}
Result<Envelope> onlyEnvelopeIn(std::string frames) {
  std::string pieces;
  auto envelopes = decodeFrames(frames, &pieces);
  if (!envelopes)
    return tl::unexpected(envelopes.error());
  if (envelopes->size() != 1 || !frames.empty() || !pieces.empty())
    return makeError(ErrorCode::ioError, "not exactly one complete frame");
  return std::move(envelopes->front());
}
/// A test case for a complete frame: header, type, sender and fields.
template <class T>
Case frameCase(const std::string& file, const T& message) {
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    const auto envelope = onlyEnvelopeIn(bytes);
    if (!envelope)
      return tl::unexpected(envelope.error());
    const auto decoded = unpack<T>(*envelope);
    if (!decoded)
      return tl::unexpected(decoded.error());
    return encodeFrame(pack(*decoded, envelope->sender));
  };
  return {file, [message] { return encodeFrame(pack(message, kSender)); }, again, golden::weaknessOf(message)};
}
Case diskCase(const std::string& file, const DiskRecord& record, std::string valueWeakness) {
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    const auto decoded = decodeRecord(bytes);
    if (!decoded)
      return tl::unexpected(decoded.error());
    return encodeRecord(*decoded);
  };
  return {file, [record] { return encodeRecord(record); }, again, std::move(valueWeakness)};
}
Case configCase(const std::string& file, const ClusterConfig& config) {
  const auto again = [](const std::string& text) -> Result<std::string> { return encodeConfig(decodeConfig(text)); };
  return {file, [config] { return encodeConfig(config); }, again, ""};
}
/// A test case for a snapshot that is restored into a copy of `content` and encoded again by `encodeContent`.
Case snapshotCase(const std::string& file, std::function<std::string()> encode, const ReplicatedState& content,
                  const std::function<std::string(const ReplicatedState&)>& encodeContent) {
  const auto again = [content, encodeContent](const std::string& bytes) -> Result<std::string> {
    auto copy = content;
    if (auto restored = copy.restore(bytes); !restored)
      return tl::unexpected(restored.error());
    return encodeContent(copy);
  };
  return {file, std::move(encode), again, ""};
}

// --- test values: no field has its default value, and no two fields of the same type are equal ---

LogEntry entryNumbered(std::int64_t serial) {
  const auto text = std::to_string(serial);
  return {.index = 5000000000 + serial,
          .term = 60000 + serial,
          .kind = static_cast<std::int32_t>(serial),
          .base = 7000 + serial,
          .operationId = "10.0.0.4#77/00000000000000ff." + text + "@" + text,
          .digest = "digest-" + text,
          .body = "blob-" + text,
          .omitted = true};
}
const std::vector<LogEntry> kEntries{entryNumbered(1), entryNumbered(2)};
/// Two records of a lease or quota message, each with a name and two numbers.
template <class Record>
std::vector<Record> recordsOf(const std::string& label, double from) {
  return {Record{label + "-1", from + 0.25, from + 0.5}, Record{label + "-2", from + 1.25, from + 1.5}};
}

std::vector<Case> consensusCases() {
  return {
      consensusCase("consensus_vote_request.hex", VoteRequest{.term = 301,
                                                              .preVote = true,
                                                              .transferredTerm = 299,
                                                              .endedLeaseTerm = 288,
                                                              .lastLogIndex = 5000000001,
                                                              .lastLogTerm = 277}),
      consensusCase("consensus_vote_response.hex", VoteResponse{.term = 301, .preVote = true}),
      consensusCase("consensus_append_entries.hex", AppendEntries{.term = 301,
                                                                  .prevLogIndex = 4999999999,
                                                                  .prevLogTerm = 300,
                                                                  .commitIndex = 4999999998,
                                                                  .heartbeatId = 70002,
                                                                  .leaderHasLease = true,
                                                                  .entries = kEntries}),
      consensusCase("consensus_append_entries_lease.hex", AppendEntries{.term = 301,
                                                                        .prevLogIndex = 4999999999,
                                                                        .prevLogTerm = 300,
                                                                        .commitIndex = 4999999998,
                                                                        .heartbeatId = 70002,
                                                                        .leaderHasLease = true,
                                                                        .entries = kEntries,
                                                                        .extension = {.leaseMs = 411}}),
      consensusCase(
          "consensus_append_entries_response.hex",
          AppendEntriesResponse{.term = 301, .heartbeatId = 70002, .matchIndex = 4999999997, .mismatch = true}),
      consensusCase("consensus_append_entries_response_of_newcomer.hex",
                    AppendEntriesResponse{.term = 301, .heartbeatId = 70002, .matchIndex = -1, .mismatch = true}),
      consensusCase("consensus_install_snapshot.hex", InstallSnapshot{.term = 301,
                                                                      .lastIncludedIndex = 5000000003,
                                                                      .lastIncludedTerm = 300,
                                                                      .config = "10.0.0.4#77 10.0.0.5#0",
                                                                      .state = "applied state",
                                                                      .commitIndex = 5000000009}),
      consensusCase("consensus_transfer_leadership.hex", TransferLeadership{.term = 301}),
      consensusCase("consensus_join_request.hex", JoinRequest{.member = "10.0.0.6#123", .forwarded = true}),
      consensusCase("consensus_leave_request.hex", LeaveRequest{.term = 301, .requestId = 987654321}),
      consensusCase("consensus_leave_response.hex", LeaveResponse{.term = 302, .requestId = 987654322}),
      consensusCase("consensus_entry_body.hex", EntryBody{.digest = "digest-3", .body = "large body"}),
  };
}

/// A test case for the frame of a consensus message.
Case consensusFrameCase() {
  const auto frame = [] {
    return encodeFrame({MessageType::consensus, kSender, encodeMessage(VoteResponse{.term = 301, .preVote = true})});
  };
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    const auto envelope = onlyEnvelopeIn(bytes);
    if (!envelope)
      return tl::unexpected(envelope.error());
    return encodeFrame(*envelope);
  };
  return {"frame_consensus.hex", frame, again, ""};
}
/// A command in which no field has its default value and all values differ.
coordination::Command commandNumbered(std::int32_t number) {
  const auto text = std::to_string(number);
  return {.kind = number,
          .name = "name-" + text,
          .holder = "holder-" + text,
          .value = "value-" + text,
          .fence = number + 1,
          .holdMs = number + 2,
          .argument = number + 3};
}
PlatformReport platformReport() {
  return {.incarnation = -71,
          .timeOfDayMs = 1767225605001,
          .firstBatch = 17,
          .batches = {{18, 353445118, {{353445118, "tenant-1", 5}, {353445119, "tenant-2", 3}}},
                      {19, 353445120, {{353445121, "tenant-3", 2}}}},
          .loads = {{"service-1", "zone-1", 12, 4, 6}, {"service-2", "zone-2", 11, 3, 7}}};
}
const std::vector<MemberZone> kMemberZones{{"10.0.0.5", "zone-a"}, {"10.0.0.6", "zone-b"}};
replicated_counters::IncrementBatch incrementBatch() {
  return {.folded = {{-51, 52, {{"t1", 53}, {"t2", -54}}}, {61, 62, {{"t5", 63}, {"t6", -64}}}},
          .foldedIds = {"5c0e7a21d94b36f8", "91bd3f06e4402b7d"},
          .ranges = {{55, 56, {{"t3", "e4402b7d5c1e07a2", 57}, {"t4", "7a21d94b36f85c0e", -58}}},
                     {-65, 66, {{"t7", "d94b36f85c0e7a21", 67}, {"t8", "36f85c0e7a21d94b", -68}}}}};
}
std::vector<Case> frameCases() {
  return {
      consensusFrameCase(),
      frameCase("frame_submit_entry.hex", SubmitEntry{.entry = entryNumbered(3)}),
      frameCase("frame_submit_receipt.hex", SubmitEntryResponse{.accepted = true}),
      frameCase("frame_read_index_question.hex", ReadIndexRequest{.requestId = 4001}),
      frameCase("frame_read_index_answer.hex",
                ReadIndexResponse{.requestId = 4002, .underLease = true, .commitIndex = 5000000004}),
      frameCase("frame_heartbeat_batch.hex",
                HeartbeatBatch{.number = 41, .runners = {{.id = "i-1", .ageMs = 250}, {.id = "i-2", .ageMs = 1200}}}),
      frameCase("frame_heartbeat_receipt.hex", HeartbeatBatchResponse{.number = 42}),
      frameCase("frame_agent_state.hex",
                AgentState{.lastApplied = 5000000005, .view = {"10.0.0.7/core", "10.0.0.8/core"}}),
      frameCase("frame_cluster_standing.hex", ClusterStatus{.term = 301,
                                                            .leader = "10.0.0.5#0",
                                                            .voters = {"10.0.0.4#77", "10.0.0.5#0", "10.0.0.6#123"},
                                                            .commitIndex = 5000000006,
                                                            .view = {"10.0.0.9/core"}}),
      frameCase("frame_follow_log.hex",
                FollowLog{.lastApplied = 5000000007, .cachedDigest = "digest-held", .refetch = true}),
      // Messages of the types above with the extension fields that later versions added after the original fields.
      frameCase("frame_heartbeat_batch_zone.hex",
                HeartbeatBatch{.number = 43,
                               .runners = {{.id = "i-3", .ageMs = 350}, {.id = "i-4", .ageMs = 45}},
                               .extension = {.zone = "zone-b"}}),
      frameCase("frame_heartbeat_receipt_zones.hex",
                HeartbeatBatchResponse{.number = 44, .extension = {.members = kMemberZones}}),
      frameCase("frame_cluster_standing_zones.hex", ClusterStatus{.term = 302,
                                                                  .leader = "10.0.0.6#0",
                                                                  .voters = {"10.0.0.5#78", "10.0.0.6#0"},
                                                                  .commitIndex = 5000000012,
                                                                  .view = {"10.0.0.8/core"},
                                                                  .extension = {.members = kMemberZones}}),
      frameCase("frame_follow_log_zone.hex", FollowLog{.lastApplied = 5000000011,
                                                       .cachedDigest = "digest-kept",
                                                       .refetch = true,
                                                       .extension = {.zone = "zone-c", .unsubscribe = true}}),
      frameCase("frame_feed_entries.hex",
                FeedEntries{.term = 301, .newestIndex = 5000000008, .entries = {entryNumbered(4), entryNumbered(5)}}),
      frameCase("frame_feed_snapshot.hex",
                FeedSnapshot{.term = 301, .lastIncludedIndex = 5000000009, .state = "partial state"}),
      frameCase("frame_body_ahead.hex", BodyAhead{.digest = "digest-4", .body = "another large body"}),
      frameCase("frame_lease_question.hex", LeaseRequest{.requestId = 4003,
                                                         .demand = recordsOf<QuotaDemand>("demand", 10),
                                                         .holds = recordsOf<QuotaHolding>("holds", 20),
                                                         .load = recordsOf<ZoneLoad>("load", 30),
                                                         .attempts = recordsOf<RunnerAttempts>("attempts", 40),
                                                         .outliersVersion = 51}),
      frameCase("frame_lease_answer.hex", LeaseResponse{.requestId = 4004,
                                                        .granted = true,
                                                        .commitIndex = 5000000010,
                                                        .accessMachines = 12,
                                                        .grants = recordsOf<QuotaGrant>("grants", 50),
                                                        .outliersVersion = 52,
                                                        .outliers = recordsOf<RunnerEjection>("outliers", 60)}),
      frameCase(
          "frame_lease_question_rollouts.hex",
          LeaseRequest{.requestId = 4009,
                       .demand = recordsOf<QuotaDemand>("demand", 110),
                       .holds = recordsOf<QuotaHolding>("holds", 120),
                       .load = recordsOf<ZoneLoad>("load", 130),
                       .attempts = recordsOf<RunnerAttempts>("attempts", 140),
                       .outliersVersion = 53,
                       .extension = {.rollouts = {{"service-1",
                                                   "revision-2",
                                                   25,
                                                   31.5,
                                                   7,
                                                   {{"route-1", "", 21, 2, 3, 4}, {"route-2", "i-2", 25, 6, 8, 9}}}}}}),
      frameCase("frame_lease_answer_rollouts.hex",
                LeaseResponse{.requestId = 4010,
                              .granted = true,
                              .commitIndex = 5000000011,
                              .accessMachines = 13,
                              .grants = recordsOf<QuotaGrant>("grants", 150),
                              .outliersVersion = 54,
                              .outliers = recordsOf<RunnerEjection>("outliers", 160),
                              .extension = {.exposures = {{"service-1", "revision-2", 1.25}}}}),
      frameCase("frame_quota_draw.hex",
                QuotaTokenRequest{.requestId = 4005, .waiting = recordsOf<QuotaDemand>("waiting", 70)}),
      frameCase("frame_quota_drawn.hex",
                QuotaTokenResponse{.requestId = 4006, .granted = true, .grants = recordsOf<QuotaGrant>("grants", 80)}),
      frameCase("frame_opening_question.hex",
                PrefixLookupRequest{
                    .requestId = 4007, .promptPrefix = -6148914691236517206, .tenantDigest = 1311768467463790320}),
      frameCase("frame_opening_answer.hex",
                PrefixLookupResponse{.requestId = 4008, .access = {"10.1.0.4:8405", "10.1.0.5:8405"}}),
      frameCase("frame_coordination_consensus.hex",
                coordination::ShardConsensus{.shard = 1, .message = encodeMessage(VoteResponse{.term = 302})}),
      frameCase("frame_coordination_call.hex",
                coordination::ShardCall{.shard = 1, .requestId = 4009, .command = commandNumbered(90)}),
      frameCase("frame_coordination_result.hex",
                coordination::ShardCallResult{.requestId = 4010, .status = 1, .outcome = {3, 907, "a value"}}),
      frameCase("frame_shard_records_query.hex", coordination::ShardRecordsQuery{.requestId = 4011}),
      frameCase("frame_shard_records_answer.hex",
                coordination::ShardRecordsAnswer{.requestId = 4012, .hasRecords = true}),
      frameCase(
          "frame_lease_question_warmups.hex",
          LeaseRequest{.requestId = 4013,
                       .demand = recordsOf<QuotaDemand>("demand", 210),
                       .holds = recordsOf<QuotaHolding>("holds", 220),
                       .load = recordsOf<ZoneLoad>("load", 230),
                       .attempts = recordsOf<RunnerAttempts>("attempts", 240),
                       .outliersVersion = 55,
                       .extension = {.rollouts = {{"service-1",
                                                   "revision-2",
                                                   25,
                                                   31.5,
                                                   7,
                                                   {{"route-1", "i-1", 21, 2, 3, 4}, {"route-2", "i-2", 25, 6, 8, 9}}}},
                                     .extension = {.warmupZone = "zone-1"}}}),
      frameCase("frame_lease_answer_warmups.hex",
                LeaseResponse{.requestId = 4014,
                              .granted = true,
                              .commitIndex = 5000000012,
                              .accessMachines = 14,
                              .grants = recordsOf<QuotaGrant>("grants", 250),
                              .outliersVersion = 56,
                              .outliers = recordsOf<RunnerEjection>("outliers", 260),
                              .extension = {.exposures = {{"service-1", "revision-2", 1.25}},
                                            .extension = {.warmups = {{"i-1", 2}, {"i-3", 4}}}}}),
      frameCase(
          "frame_lease_question_platform.hex",
          LeaseRequest{.requestId = 4015,
                       .demand = recordsOf<QuotaDemand>("demand", 310),
                       .holds = recordsOf<QuotaHolding>("holds", 320),
                       .load = recordsOf<ZoneLoad>("load", 330),
                       .attempts = recordsOf<RunnerAttempts>("attempts", 340),
                       .outliersVersion = 57,
                       .extension = {.rollouts = {{"service-1",
                                                   "revision-2",
                                                   25,
                                                   31.5,
                                                   7,
                                                   {{"route-1", "i-1", 21, 2, 3, 4}, {"route-2", "i-2", 25, 6, 8, 9}}}},
                                     .extension = {.warmupZone = "zone-1", .extension = platformReport()}}}),
      frameCase("frame_lease_answer_platform.hex",
                LeaseResponse{.requestId = 4016,
                              .granted = true,
                              .commitIndex = 5000000013,
                              .accessMachines = 15,
                              .grants = recordsOf<QuotaGrant>("grants", 350),
                              .outliersVersion = 58,
                              .outliers = recordsOf<RunnerEjection>("outliers", 360),
                              .extension = {.exposures = {{"service-1", "revision-2", 1.25}},
                                            .extension = {.warmups = {{"i-1", 2}, {"i-3", 4}},
                                                          .extension = {1767225605003, 19, 353445119}}}}),
      frameCase("frame_counter_report.hex",
                replicated_counters::ProgressReport{.zone = "zone-1", .progress = {{-41, 42}, {43, 44}}}),
      frameCase("frame_counter_request.hex", replicated_counters::TransferRequest{.after = {{-45, 46}, {47, 48}}}),
      frameCase("frame_counter_transfer.hex",
                replicated_counters::IncrementTransfer{.urgent = true, .batch = incrementBatch()}),
  };
}

// --- log and snapshots of the coordination service ---

coordination::Command commandOf(coordination::CommandKind kind, const std::string& name) {
  coordination::Command command;
  command.kind = static_cast<std::int32_t>(kind);
  command.name = name;
  return command;
}
/// A shard that contains a lock, a number, and a group of two cells.
coordination::ShardState shardWithAllKinds() {
  coordination::CommandBatch batch{.elapsedMs = 1234, .historyMs = 40000, .commands = {}};
  auto lock = commandOf(coordination::CommandKind::acquireLock, "l1f");
  lock.holder = "a3.7";
  lock.holdMs = 3000;
  auto numbers = commandOf(coordination::CommandKind::reserveNumbers, "n2");
  numbers.argument = 64;
  auto first = commandOf(coordination::CommandKind::putCell, "g1.2d");
  first.value = "5c0e7a21d94b36f8";
  auto second = commandOf(coordination::CommandKind::putCell, "g1.7e");
  second.value = "91bd3f06e4402b7d";
  batch.commands = {lock, numbers, first, second};
  LogEntry entry;
  entry.index = 5000000013;
  entry.kind = static_cast<std::int32_t>(OperationKind::coordination);
  entry.body = avro::encode(batch);
  coordination::ShardState shard;
  (void)shard.apply(entry);
  return shard;
}
std::vector<Case> coordinationCases() {
  const coordination::CommandBatch batch{
      .elapsedMs = 7, .historyMs = 40000, .commands = {commandNumbered(100), commandNumbered(200)}};
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    coordination::ShardState shard;
    if (auto restored = shard.restore(bytes); !restored)
      return tl::unexpected(restored.error());
    return shard.snapshot();
  };
  return {recordCase("coordination_batch.hex", batch),
          {"coordination_snapshot.hex", [] { return shardWithAllKinds().snapshot(); }, again, ""}};
}

// --- disk records of the replicated counters ---

std::vector<Case> counterCases() {
  return {recordCase("counter_batch.hex", incrementBatch())};
}

DiskRecord fullRecord() {
  return {.seq = 901,
          .term = 301,
          .lastLedTerm = 288,
          .self = "10.0.0.4#77",
          .votedFor = "10.0.0.5#0",
          .full = true,
          .snapshotIndex = 5000000000,
          .snapshotTerm = 277,
          .snapshotConfig = "10.0.0.4#77 10.0.0.5#0|10.0.0.5#0 10.0.0.6#123",
          .state = "applied state",
          .fromIndex = 5000000011,
          .entries = kEntries};
}
DiskRecord incrementalRecord() {
  return {.seq = 902,
          .term = 302,
          .lastLedTerm = 289,
          .self = "10.0.0.4#78",
          .votedFor = "10.0.0.6#123",
          .fromIndex = 5000000012,
          .entries = {entryNumbered(3)}};
}
std::vector<Case> diskCases() {
  return {
      diskCase("disk_record_full.hex", fullRecord(), golden::weaknessOf(fullRecord())),
      // No weakness check: an incremental record leaves the fields of a full record at their defaults.
      diskCase("disk_record_incremental.hex", incrementalRecord(), ""),
      diskCase("disk_record_without_entries.hex", {.seq = 903, .term = 303, .self = "10.0.0.4#79"}, ""),
      configCase("cluster_config.txt", {.voters = {"10.0.0.4#77", "10.0.0.5#0", "10.0.0.6#123"}}),
      configCase("cluster_config_joint.txt",
                 {.voters = {"10.0.0.4#77", "10.0.0.5#0"}, .nextVoters = {"10.0.0.5#0", "10.0.0.6#123"}}),
      {"disk_record_name.txt", [] { return recordName(901); },
       [](const std::string& name) -> Result<std::string> { return recordName(recordSequence(name).value_or(0)); }, ""},
  };
}

// --- the replicated state ---

std::string configurationText(int version, const std::string& changed) {
  std::string routes;
  for (const auto* label : {"first", "second", "third", "fourth"})
    routes += std::string(routes.empty() ? "" : ",") + R"({"label":")" + label +
              R"(","authority":"h.example","pathPrefix":"/)" + label +
              R"(/","routeType":"safe","expiryMs":20000,"targetService":"s"})";
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[)" + routes +
         R"(],"serviceTable":[{"label":"s"}],"subscribers":[{"label":")" + changed + R"("}]})";
}
const std::string kFirstText = configurationText(3, "tina");
const std::string kSecondText = configurationText(5, "tom");
Runner runner(int serial, RunnerState state) {
  const auto text = std::to_string(serial);
  return {.id = "i-" + text,
          .service = "service-" + text,
          .address = "10.0.2." + text + ":80",
          .zone = "zone-" + text,
          .capacity = 100 + serial,
          .sequence = 200 + serial,
          .state = static_cast<std::int32_t>(state)};
}
Runner runnerWithSoftware(int serial) {
  auto copy = runner(serial, RunnerState::draining);
  copy.software = {.revision = "revision-" + std::to_string(serial), .warmupMs = 2500};
  return copy;
}
Rollout rolloutOrder() {
  Rollout order;
  order.service = "service-1";
  order.revision = "revision-2";
  order.durationMs = 14000;
  return order;
}
Rollout rolloutInProgress() {
  auto rollout = rolloutOrder();
  rollout.setPhase(RolloutPhase::shifting);
  rollout.percent = 25;
  rollout.elapsedMs = 7700;
  rollout.reason = "the canary showed no fault";
  rollout.evidence = {{"route-1", 1001, 12, 23, 104, 5, 6}, {"route-2", 2001, 32, 43, 204, 7, 8}};
  return rollout;
}
ZoneDrain zoneDrain(int serial, bool notAccepting) {
  const auto text = std::to_string(serial);
  return {.zone = "place-" + text, .note = "note-" + text, .drainPercent = 10 * serial, .notAccepting = notAccepting};
}
ReplicatedState stateAfter(std::vector<LogEntry> writes) {
  ReplicatedState copy;
  std::int64_t number = 5000000000;
  for (auto& write : writes) {
    write.index = ++number;
    write.term = 301;
    copy.apply(write);
  }
  return copy;
}
LogEntry firstWrite() {
  return configurationEntry(0, 3, kFirstText, "operator/1");
}
ReplicatedState firstState() {
  return stateAfter({firstWrite()});
}
ReplicatedState laterState() {
  return stateAfter({firstWrite(), configurationChangeEntry(3, 5, kSecondText, "operator/2", firstState().state()),
                     configurationEntry(3, 7, "loses its race", "operator/3"),
                     runnerEntry(runner(1, RunnerState::inService), "runner/i-1"),
                     runnerEntry(runner(2, RunnerState::draining), "runner/i-2"),
                     runnerEntry(runner(3, RunnerState::inService), "runner/i-3"),
                     runnerEntry(runner(3, RunnerState::detached), "runner/i-3/gone"),
                     zoneDrainEntry(zoneDrain(4, true), false, "closure/4"),
                     zoneDrainEntry(zoneDrain(5, false), false, "closure/5")});
}
ReplicatedState stateWithRollout() {
  return stateAfter({firstWrite(), runnerEntry(runner(1, RunnerState::inService), "runner/i-1"),
                     runnerEntry(runnerWithSoftware(2), "runner/i-2"), rolloutBeginEntry(rolloutOrder(), "operator/9"),
                     rolloutProgressEntry(rolloutInProgress(), "leader/9")});
}
ShardFounding shardFounding() {
  return {3, {"10.0.0.1#0", "10.0.0.2#7"}};
}
ReplicatedState stateWithShards() {
  return stateAfter({firstWrite(), runnerEntry(runnerWithSoftware(2), "runner/i-2"),
                     shardsFoundedEntry(shardFounding(), "leader/10")});
}
ReplicatedState stateWithEvacuations() {
  return stateAfter(
      {firstWrite(), runnerEntry(runnerWithSoftware(2), "runner/i-2"), shardsFoundedEntry(shardFounding(), "leader/10"),
       zoneEvacuationEntry({"zone-2", true}, "operator/11"), zoneEvacuationEntry({"zone-1", true}, "operator/12"),
       zoneEvacuationEntry({"zone-3", true}, "operator/13"), zoneEvacuationEntry({"zone-2", false}, "operator/14")});
}
UsageReport usageReport(std::int64_t window) {
  return {window, 294, {{"tenant-1", 412}, {"tenant-2", 97}}};
}
ReplicatedState stateWithUsage() {
  return stateAfter(
      {firstWrite(), runnerEntry(runnerWithSoftware(2), "runner/i-2"), shardsFoundedEntry(shardFounding(), "leader/10"),
       zoneEvacuationEntry({"zone-2", true}, "operator/11"), usageReportEntry(usageReport(353445118), "leader/15"),
       usageReportEntry(usageReport(353445119), "leader/16"), usageConfirmedEntry(353445118, "leader/17")});
}
ReplicatedState stateWithOrders() {
  return stateAfter({firstWrite(), zoneEvacuationEntry({"zone-2", true}, orderId("evacuation/zone-2", 0)),
                     zoneEvacuationEntry({"zone-2", false}, orderId("evacuation/zone-2", 2)),
                     zoneDrainEntry(zoneDrain(4, true), false, unorderedId("drain/zone-4", "operator/18"))});
}
std::string snapshotFor(const ReplicatedState& copy, const std::string& content) {
  return copy.snapshotFor(content.empty() ? content : digestOf(content));
}
std::vector<Case> snapshotCases() {
  const auto snapshotOf = [](const ReplicatedState& copy) { return copy.snapshot(); };
  const auto forReceiverWithoutCache = [](const ReplicatedState& copy) { return snapshotFor(copy, ""); };
  const auto forFirst = [](const ReplicatedState& copy) { return snapshotFor(copy, kFirstText); };
  const auto forSecond = [](const ReplicatedState& copy) { return snapshotFor(copy, kSecondText); };
  return {
      snapshotCase(
          "snapshot_of_nothing.hex", [] { return ReplicatedState{}.snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_whole.hex", [] { return laterState().snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_with_rollout.hex", [] { return stateWithRollout().snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_with_shards.hex", [] { return stateWithShards().snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_with_evacuations.hex", [] { return stateWithEvacuations().snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_with_usage.hex", [] { return stateWithUsage().snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_with_orders.hex", [] { return stateWithOrders().snapshot(); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_access_with_evacuations.hex", [] { return snapshotFor(stateWithEvacuations(), ""); }, {},
          forReceiverWithoutCache),
      snapshotCase(
          "snapshot_access_with_rollout.hex", [] { return snapshotFor(stateWithRollout(), ""); }, {},
          forReceiverWithoutCache),
      snapshotCase(
          "snapshot_access_whole.hex", [] { return snapshotFor(laterState(), ""); }, {}, forReceiverWithoutCache),
      snapshotCase(
          "snapshot_access_same_configuration.hex", [] { return snapshotFor(laterState(), kSecondText); },
          stateAfter({configurationEntry(0, 5, kSecondText, "operator/2")}), forSecond),
      snapshotCase(
          "snapshot_access_difference.hex", [] { return snapshotFor(laterState(), kFirstText); }, firstState(),
          forFirst),
  };
}

// --- format 1 of the snapshot, which can be read but is no longer written ---

struct TakenFormat1 {
  std::int64_t version = 0;
  std::string digest;
  template <class V>
  void fields(V& v) {
    v("version", version), v("digest", digest);
  }
};
struct OperationFormat1 {
  std::string operationId;
  std::int32_t verdict = 0;
  template <class V>
  void fields(V& v) {
    v("operationId", operationId), v("verdict", verdict);
  }
};
struct SnapshotFormat1 {
  bool partial = false;
  std::string difference;
  std::int64_t appliedTo = 0, term = 0, version = 0;
  std::string configuration, digest;
  std::vector<TakenFormat1> taken;
  std::vector<Runner> runners;
  std::vector<std::string> gone;
  std::vector<OperationFormat1> done;
  std::vector<ZoneDrain> zoneDrains;
  template <class V>
  void fields(V& v) {
    v("partial", partial), v("difference", difference), v("appliedTo", appliedTo), v("term", term);
    v("version", version), v("configuration", configuration), v("digest", digest), v("taken", taken);
    v("runners", runners), v("gone", gone), v("done", done), v("zoneDrains", zoneDrains);
  }
};
SnapshotFormat1 snapshotFormat1() {
  return {.appliedTo = 5000000009,
          .term = 301,
          .version = 5,
          .configuration = kSecondText,
          .digest = digestOf(kSecondText),
          .taken = {{.version = 3, .digest = digestOf(kFirstText)}, {.version = 5, .digest = digestOf(kSecondText)}},
          .runners = {runner(1, RunnerState::inService), runner(2, RunnerState::draining)},
          .gone = {"i-3", "i-4"},
          .done = {{.operationId = "operator/1@3", .verdict = 200}, {.operationId = "operator/3@7", .verdict = 412}},
          .zoneDrains = {zoneDrain(4, true), zoneDrain(5, false)}};
}
SnapshotFormat1 partialSnapshotFormat1() {
  auto snapshot = snapshotFormat1();
  snapshot.partial = true;
  snapshot.configuration.clear();
  snapshot.difference = computeDelta(kFirstText, digestOf(kFirstText), kSecondText, digestOf(kSecondText));
  return snapshot;
}
/// Restores a snapshot into a replica that has the first configuration, and encodes the result in the current format.
Result<std::string> restoredInCurrentFormat(const std::string& snapshot) {
  auto copy = firstState();
  if (auto restored = copy.restore(snapshot); !restored)
    return tl::unexpected(restored.error());
  return copy.snapshot();
}
std::vector<Case> snapshotFormat1Cases() {
  const auto written = [] { return avro::encode(snapshotFormat1()); };
  const auto partial = [] { return avro::encode(partialSnapshotFormat1()); };
  const auto read = [](const std::string& snapshot) {
    return restoredInCurrentFormat(snapshot).value_or("could not be restored");
  };
  const auto snapshotOf = [](const ReplicatedState& copy) { return copy.snapshot(); };
  return {
      {"snapshot_format1.hex", written, {}, ""},
      {"snapshot_format1_partial.hex", partial, {}, ""},
      snapshotCase(
          "snapshot_format1_restored.hex",
          [=] { return read(golden::stored("snapshot_format1.hex").value_or(written())); }, {}, snapshotOf),
      snapshotCase(
          "snapshot_format1_partial_restored.hex",
          [=] { return read(golden::stored("snapshot_format1_partial.hex").value_or(partial())); }, {}, snapshotOf),
  };
}

std::vector<Case> writeCases() {
  const auto on = firstState();
  return {
      recordCase("evacuation.hex", ZoneEvacuation{.zone = "zone-7", .evacuated = true}),
      recordCase("delta_fields.hex", Delta{.baseDigest = "digest of the base",
                                           .resultDigest = "digest of the result",
                                           .segments = {{.copyOffset = 11, .copyLength = 12, .literal = "one"},
                                                        {.copyOffset = 13, .copyLength = 14, .literal = "two"}}}),
      {"delta_of_configurations.hex",
       [] { return computeDelta(kFirstText, digestOf(kFirstText), kSecondText, digestOf(kSecondText)); },
       [](const std::string& delta) -> Result<std::string> {
         const auto text = applyDelta(kFirstText, digestOf(kFirstText), delta, digestOf(kSecondText));
         if (!text)
           return tl::unexpected(text.error());
         return computeDelta(kFirstText, digestOf(kFirstText), *text, digestOf(*text));
       },
       ""},
      recordCase("entry.hex", entryNumbered(1)),
      recordCase("runner.hex", runner(2, RunnerState::draining)),
      recordCase("closure.hex", zoneDrain(4, true)),
      {"runner_with_software.hex", [] { return encodeRunner(runnerWithSoftware(2)); },
       [](const std::string& bytes) -> Result<std::string> {
         const auto decoded = decodeRunner(bytes);
         if (!decoded)
           return tl::unexpected(decoded.error());
         return encodeRunner(*decoded);
       },
       golden::weaknessOf(runnerWithSoftware(2).software)},
      recordCase("rollout.hex", rolloutInProgress()),
      recordCase("shard_founding.hex", shardFounding()),
      recordCase("usage_report.hex", usageReport(353445119)),
      {"write_usage_report.hex",
       [] { return avro::encode(usageReportEntry(usageReport(353445119), "leader/16")); },
       {},
       ""},
      {"write_usage_confirmed.hex", [] { return avro::encode(usageConfirmedEntry(353445119, "leader/17")); }, {}, ""},
      {"write_shards_founded.hex",
       [] { return avro::encode(shardsFoundedEntry(shardFounding(), "leader/10")); },
       {},
       ""},
      {"write_rollout_begin.hex", [] { return avro::encode(rolloutBeginEntry(rolloutOrder(), "operator/9")); }, {}, ""},
      {"write_rollout_progress.hex",
       [] { return avro::encode(rolloutProgressEntry(rolloutInProgress(), "leader/9")); },
       {},
       ""},
      // Entries as request handlers create them. No weakness check, because most of their fields are filled in later.
      {"write_configuration.hex", [] { return avro::encode(firstWrite()); }, {}, ""},
      {"write_difference.hex",
       [on] { return avro::encode(configurationChangeEntry(3, 5, kSecondText, "operator/2", on.state())); },
       {},
       ""},
      {"write_runner_gone.hex",
       [] { return avro::encode(runnerEntry(runner(3, RunnerState::detached), "runner/i-3/gone")); },
       {},
       ""},
      {"write_closure.hex",
       [] { return avro::encode(zoneDrainEntry(zoneDrain(4, true), false, "closure/4")); },
       {},
       ""},
      {"write_closure_open.hex",
       [] { return avro::encode(zoneDrainEntry(zoneDrain(4, true), true, "closure/4/open")); },
       {},
       ""},
  };
}

// --- hints between partner sites ---

HintKey hintKey() {
  return *HintKey::parse("000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f");
}
/// The first two updates of a site: one with all hints, and one with the changes since the first.
std::vector<std::string> successiveUpdates() {
  constexpr TimePoint now{1000s};
  constexpr std::int64_t epoch = 2937;
  HintTable table(hintKey(), {.maxAnnounced = 8, .padding = 4}, 7);
  const auto sendFromTwoTenants = [&](std::uint64_t promptPrefix) {
    for (const std::uint64_t tenant : {1, 2})
      (void)table.cachedOnlyAtPartner(now, epoch, promptPrefix, tenant);
  };
  sendFromTwoTenants(42);
  std::vector<std::string> announced{avro::encode(table.nextUpdate(now, epoch))};
  (void)table.applyUpdate(now, epoch, {.epoch = epoch, .acknowledged = 1, .version = 9, .added = {5}});
  sendFromTwoTenants(43);
  announced.push_back(avro::encode(table.nextUpdate(now, epoch)));
  return announced;
}
Result<std::string> reencodeHintUpdate(const std::string& bytes) {
  const auto update = avro::decode<HintUpdate>(bytes);
  if (!update)
    return tl::unexpected(update.error());
  return avro::encode(*update);
}
std::vector<Case> hintCases() {
  return {
      recordCase("hint_news.hex", HintUpdate{.epoch = 2937,
                                             .acknowledged = 71,
                                             .baseVersion = 72,
                                             .version = 73,
                                             .added = {-6148914691236517206, 1311768467463790320},
                                             .removed = {-5, 6}}),
      {"hint_news_whole.hex", [] { return successiveUpdates().at(0); }, reencodeHintUpdate, ""},
      {"hint_news_changes.hex", [] { return successiveUpdates().at(1); }, reencodeHintUpdate, ""},
      {"hint_digest.txt", [] { return std::to_string(hintKey().digest(42, 2937)); }, {}, ""},
      {"hint_seal.txt", [] { return hintKey().sign("sealed text"); },
       [](const std::string& seal) -> Result<std::string> {
         return hintKey().verify("sealed text", seal) ? seal : "signature does not match";
       },
       ""},
  };
}

// --- a frame in fragments ---

/// Encodes a frame as fragments: each has a header, a flag byte that marks the last fragment, and a part of the frame.
std::string toFragments(const std::string& frame, std::size_t fragmentSize) {
  std::string pieces;
  for (std::size_t at = 0; at < frame.size(); at += fragmentSize) {
    const auto part = frame.substr(at, fragmentSize);
    pieces += std::string(3, '\0') + static_cast<char>(part.size() + 2) + '\x03';
    pieces += at + fragmentSize < frame.size() ? '\0' : '\x01';
    pieces += part;
  }
  return pieces;
}
std::vector<Case> fragmentCases() {
  const auto pieces = [] {
    return toFragments(encodeFrame(pack(BodyAhead{.digest = "digest-4", .body = "in several pieces"}, kSender)), 20);
  };
  const auto again = [](const std::string& bytes) -> Result<std::string> {
    const auto envelope = onlyEnvelopeIn(bytes);
    if (!envelope)
      return tl::unexpected(envelope.error());
    return toFragments(encodeFrame(*envelope), 20);
  };
  return {{"pieces_body_ahead.hex", pieces, again, ""}};
}

std::vector<Case> allCases() {
  std::vector<Case> all;
  for (const auto& part : {consensusCases(), frameCases(), fragmentCases(), diskCases(), snapshotCases(),
                           snapshotFormat1Cases(), writeCases(), hintCases(), coordinationCases(), counterCases()})
    all.insert(all.end(), part.begin(), part.end());
  return all;
}
std::string testName(const testing::TestParamInfo<Case>& info) {
  return info.param.name();
}
class GoldenBytes : public testing::TestWithParam<Case> {};
}  // namespace

TEST_P(GoldenBytes, AreWrittenAndReadAsStored) {
  golden::check(GetParam());
}
INSTANTIATE_TEST_SUITE_P(All, GoldenBytes, testing::ValuesIn(allCases()), testName);

TEST(GoldenFiles, EveryFileHasATest) {
  std::set<std::string> tested{"core_closures.json", "core_status.json"};  // golden_calls_test.cpp
  for (const auto& each : allCases())
    tested.insert(each.file);
  for (const auto& file : golden::files())
    EXPECT_TRUE(tested.contains(file) || file.starts_with("calls_")) << file;
}
TEST(GoldenFiles, EveryMessageTypeHasAFrame) {
  std::set<MessageType> framed;
  for (const auto& each : frameCases())
    if (const auto envelope = onlyEnvelopeIn(each.encode()))
      framed.insert(envelope->type);
  EXPECT_EQ(framed.size(), static_cast<std::size_t>(kLastMessageType));
}
// During an upgrade, an earlier version receives messages of a later one, and must ignore the extensions.
TEST(GoldenFiles, AnExtensionIsIgnoredByTheVersionBefore) {
  const FollowLog extended{.lastApplied = 7, .cachedDigest = "d", .refetch = true, .extension = {.zone = "z"}};
  const auto withExtension = pack(extended);
  const auto asBefore = avro::decode<FollowLog>(withExtension.payload);
  ASSERT_TRUE(asBefore);
  EXPECT_EQ(asBefore->lastApplied, 7);
  EXPECT_EQ(asBefore->extension.zone, "");
  EXPECT_EQ(unpack<FollowLog>(withExtension)->extension.zone, "z");

  const FollowLog plain{.lastApplied = 7, .cachedDigest = "d", .refetch = true};
  EXPECT_EQ(pack(plain).payload, avro::encode(plain)) << "an empty extension is not encoded";
}
TEST(GoldenFiles, ABrokenExtensionIsRefused) {
  auto envelope = pack(FollowLog{.lastApplied = 7, .extension = {.zone = "a longer zone"}});
  envelope.payload.resize(envelope.payload.size() - 4);
  EXPECT_FALSE(unpack<FollowLog>(envelope));
}
TEST(GoldenFiles, EveryConsensusMessageIsStored) {
  std::set<std::size_t> stored;
  for (const auto& each : consensusCases())
    if (const auto message = decodeMessage(each.encode()))
      stored.insert(message->index());
  EXPECT_EQ(stored.size(), std::variant_size_v<ConsensusMessage>);
}
