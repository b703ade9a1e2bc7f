// Fuzzes the restoration of snapshots, in formats 1 and 2, on a replica that already has a state.
#include "fuzz_target.hpp"
#include "state_machine/replicated_state.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
Rollout rolloutOrder() {
  Rollout order;
  order.service = "s";
  order.revision = "v2";
  order.durationMs = 12000;
  return order;
}
ReplicatedState replicaWith(int changes) {
  ReplicatedState replica;
  std::int64_t lastIndex = 0;
  const auto apply = [&](LogEntry entry) {
    entry.index = ++lastIndex;
    replica.apply(entry);
  };
  for (int i = 1; i <= changes; ++i) {
    const auto version = std::to_string(i);
    const auto body = R"({"configVersion":)" + version + R"(,"routeTable":[{"label":"route"},{"label":"another"}]})";
    apply(configurationChangeEntry(i - 1, i, body, "operator/" + version, replica.state()));
    apply(runnerEntry(Runner{"i" + version, "s", "a:" + version, "z", 4, 1, i % 3}, "runner/" + version));
  }
  apply(zoneDrainEntry(ZoneDrain{"z", "note", 10, false}, false, "closure"));
  apply(rolloutBeginEntry(rolloutOrder(), "rollout"));
  return replica;
}
void restoreFrom(std::string_view input) {
  static const auto kInitialReplica = replicaWith(2);
  auto replica = kInitialReplica;
  if (!replica.restore(input)) {
    fuzz::require(replica.snapshot() == kInitialReplica.snapshot());
    return;
  }
  ReplicatedState again;
  fuzz::require(again.restore(replica.snapshot()).has_value());
  fuzz::require(again.snapshot() == replica.snapshot());
  // A further entry can be applied to the restored replica.
  auto entry = configurationEntry(replica.state().version, replica.state().version + 1, "{}", "the next");
  entry.index = replica.state().index + 1;
  (void)replica.apply(entry);
}
std::vector<std::string> snapshotExamples() {
  const auto replica = replicaWith(4);
  const auto receiver = replicaWith(2);
  return {replica.snapshot(), replica.snapshotFor({}), replica.snapshotFor(receiver.state().digest),
          replica.snapshotFor(replica.state().digest), ReplicatedState{}.snapshot()};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(snapshots, restoreFrom, snapshotExamples)
