// Snapshots of the fleet's state, of this and the older format, for a copy that holds something already.
#include "fuzz_target.hpp"
#include "state_machine/replicated_state.hpp"

namespace {
using namespace zinccleat;
using namespace zinccleat::state_machine;
using namespace zinccleat::transport;
ReplicatedState copyWith(int changes) {
  ReplicatedState copy;
  std::int64_t number = 0;
  auto put = [&](LogEntry e) {
    e.index = ++number;
    copy.apply(e);
  };
  for (int i = 1; i <= changes; ++i) {
    const auto version = std::to_string(i);
    const auto body = R"({"configVersion":)" + version + R"(,"routeTable":[{"label":"route"},{"label":"another"}]})";
    put(configurationChangeEntry(i - 1, i, body, "operator/" + version, copy.state()));
    put(runnerEntry(Runner{"i" + version, "s", "a:" + version, "z", 4, 1, i % 3}, "runner/" + version));
  }
  put(zoneDrainEntry(ZoneDrain{"z", "note", 10, false}, false, "closure"));
  return copy;
}
void restoreFrom(std::string_view input) {
  static const auto kHeld = copyWith(2);
  auto copy = kHeld;
  if (!copy.restore(input)) {
    fuzz::require(copy.snapshot() == kHeld.snapshot());
    return;
  }
  ReplicatedState again;
  fuzz::require(again.restore(copy.snapshot()).has_value());
  fuzz::require(again.snapshot() == copy.snapshot());
  // It goes on from there.
  auto e = configurationEntry(copy.state().version, copy.state().version + 1, "{}", "the next");
  e.index = copy.state().index + 1;
  (void)copy.apply(e);
}
std::vector<std::string> snapshotExamples() {
  const auto copy = copyWith(4);
  const auto held = copyWith(2);
  return {copy.snapshot(), copy.snapshotFor({}), copy.snapshotFor(held.state().digest),
          copy.snapshotFor(copy.state().digest), ReplicatedState{}.snapshot()};
}
}  // namespace
ZINCCLEAT_FUZZ_TARGET(snapshots, restoreFrom, snapshotExamples)
