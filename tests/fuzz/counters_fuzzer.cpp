// Fuzzes requests, messages and disk records of replicated counters with any bytes that a client may send or a disk may
// return.
#include "config/counter_requests.hpp"
#include "fuzz_target.hpp"
#include "replicated_counters/counter_replica.hpp"
#include "transport/avro.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::replicated_counters;
constexpr OriginId kOwnOrigin = 7;
constexpr OriginId kOtherOrigin = 9;

void parseRequest(std::string_view input) {
  const auto request = config::parseIncrementRequest(input);
  if (!request)
    return;
  fuzz::require(!request->instanceId.empty() && request->instanceId.size() <= config::kMaxInstanceIdBytes);
  fuzz::require(request->amount <= config::kMaxIncrementAmount && request->amount >= -config::kMaxIncrementAmount);
}
// For any well-formed batch, merging is idempotent and a snapshot of the state has the same progress as the state.
void mergeBatch(std::string_view input) {
  const auto batch = avro::decode<IncrementBatch>(input);
  if (!batch || !isWellFormed(*batch))
    return;
  CounterState state;
  state.append(kOwnOrigin, {"t", "own", 4});
  (void)state.merge(*batch);
  const auto total = state.total("t");
  fuzz::require(state.merge(*batch).empty());
  fuzz::require(state.total("t") == total);
  CounterState restored;
  (void)restored.merge(state.snapshot());
  fuzz::require(restored.progress() == state.progress());
  for (const auto& [origin, sequence] : state.progress())
    state.fold(origin, sequence);
  fuzz::require(state.retainedIncrements() == 0);
}
void receiveMessages(std::string_view input) {
  CounterReplica replica({kOwnOrigin, "z", 1}, TimePoint{});
  replica.setPeers({"a", "b"});
  (void)replica.add(TimePoint{}, 1, {"t", "own", 4});
  if (const auto report = avro::decode<ProgressReport>(input); report && isWellFormed(report->progress))
    replica.receive(TimePoint{}, "a", *report);
  if (const auto request = avro::decode<TransferRequest>(input); request && isWellFormed(request->after))
    replica.receive(TimePoint{}, "a", *request);
  if (const auto transfer = avro::decode<IncrementTransfer>(input); transfer && isWellFormed(transfer->batch))
    replica.receive(TimePoint{}, "b", *transfer);
  (void)replica.takeActions();
  replica.persisted(TimePoint{});
  replica.tick(TimePoint{} + std::chrono::hours(1));
  (void)replica.takeActions();
  (void)replica.peers(TimePoint{} + std::chrono::hours(1));
}
void fuzzCounters(std::string_view input) {
  parseRequest(input);
  mergeBatch(input);
  receiveMessages(input);
}
std::vector<std::string> counterExamples() {
  const IncrementBatch batch{
      {{kOtherOrigin, 2, {{"t", 5}, {"u", -6}}}},
      {"twice"},
      {{kOtherOrigin, 3, {{"t", "twice", 4}, {"u", "once", 1}}}, {kOwnOrigin, 1, {{"t", "own", 4}}}}};
  return {R"({"instanceId":"5c0e7a21d94b36f8","actor":4})", avro::encode(batch),
          avro::encode(ProgressReport{"z", {{kOtherOrigin, 4}, {kOwnOrigin, 1}}}),
          avro::encode(TransferRequest{{{kOwnOrigin, 0}}}), avro::encode(IncrementTransfer{true, batch})};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(counters, fuzzCounters, counterExamples)
