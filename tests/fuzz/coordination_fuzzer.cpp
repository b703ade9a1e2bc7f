// Fuzzes coordination requests, log entries and shard snapshots with any bytes that a client may send or a disk may
// return.
#include "config/coordination_requests.hpp"
#include "coordination/messages.hpp"
#include "fuzz_target.hpp"
#include "transport/avro.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::coordination;

void parseRequests(std::string_view input) {
  if (const auto lock = config::parseLockRequest(input, {.fence = true, .hold = true}))
    fuzz::require(!lock->holder.empty() && lock->holdMs >= 1 && lock->holdMs <= config::kMaxHoldMs);
  if (const auto put = config::parsePutRequest(input))
    fuzz::require(put->value.size() <= config::kMaxValueBytes && put->appliesTo.value_or(0) >= 0);
  if (const auto watch = config::parseWatchRequest(input))
    fuzz::require(watch->after >= 0 && watch->waitMs >= 0 && watch->waitMs <= config::kMaxWaitMs);
}
// After an entry with any body is applied, a snapshot of the state restores to a state with the same snapshot.
void applyEntry(std::string_view input) {
  ShardState shard;
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::coordination);
  entry.body = std::string(input);
  entry.index = 1;
  (void)shard.apply(entry);
  const auto snapshot = shard.snapshot();
  ShardState restored;
  fuzz::require(restored.restore(snapshot).has_value());
  fuzz::require(restored.snapshot() == snapshot);
}
// Applies a further entry to a shard that was restored from a snapshot; must not crash.
void applyPut(ShardState& shard) {
  Command put;
  put.kind = static_cast<std::int32_t>(CommandKind::putCell);
  put.name = "g.a";
  put.value = "another";
  put.argument = kAnyRevision;
  transport::LogEntry entry;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::coordination);
  entry.body = avro::encode(CommandBatch{5, 1000, {put, put}});
  entry.index = shard.index() + 1;
  (void)shard.apply(entry);
  (void)shard.eventsAfter("g.", 1, 100);
}
void fuzzCoordination(std::string_view input) {
  parseRequests(input);
  applyEntry(input);
  ShardState shard;
  if (shard.restore(std::string(input)))
    applyPut(shard);
  (void)avro::decode<ShardCall>(input);
  (void)avro::decode<ShardCallResult>(input);
  (void)avro::decode<ShardConsensus>(input);
}
std::vector<std::string> coordinationExamples() {
  Command put;
  put.kind = static_cast<std::int32_t>(CommandKind::putCell);
  put.name = "g.a";
  put.value = "v";
  put.argument = kAnyRevision;
  Command lock;
  lock.kind = static_cast<std::int32_t>(CommandKind::acquireLock);
  lock.name = "l";
  lock.holder = "a";
  lock.holdMs = 1000;
  const CommandBatch batch{5, 1000, {put, lock, put}};
  ShardState shard;
  transport::LogEntry entry;
  entry.index = 7;
  entry.kind = static_cast<std::int32_t>(transport::OperationKind::coordination);
  entry.body = avro::encode(batch);
  (void)shard.apply(entry);
  return {R"({"holder":"a3.7","fenceNumber":41,"holdMs":3000})",
          R"({"value":"5c0e7a21d94b36f8","appliesTo":907})",
          "after=930&waitMs=2000",
          avro::encode(batch),
          avro::encode(ShardCall{1, 7, put}),
          shard.snapshot()};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(coordination, fuzzCoordination, coordinationExamples)
