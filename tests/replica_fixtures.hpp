// Log entries and snapshots for tests of components that follow the replicated log.
#pragma once
#include "state_machine/replicated_state.hpp"
#include "transport/access_messages.hpp"

namespace zinccleat::replica_fixtures {
/// A valid configuration without routes or services, with `tenantCount` tenants.
inline std::string configurationText(int version, int tenantCount, const std::string& prefix = "t") {
  std::string tenants;
  for (int i = 0; i < tenantCount; ++i) {
    const auto label = prefix + std::to_string(i);
    tenants += std::string(i == 0 ? "" : ",") + "{\"label\":\"" + label + "\",\"accessKeys\":[\"key-" + label +
               "\"],\"ratePerS\":10,\"burstSize\":5}";
  }
  return "{\"configVersion\":" + std::to_string(version) + ",\"routeTable\":[],\"serviceTable\":[],\"subscribers\":[" +
         tenants + "]}";
}
/// The entry that sets configuration version 1.
inline transport::LogEntry firstConfiguration(const std::string& prefix = "t") {
  auto entry = state_machine::configurationEntry(0, 1, configurationText(1, 10, prefix), "w1@1");
  entry.index = 1;
  return entry;
}
/// The entry that sets configuration version 2 as a delta on `firstConfiguration()`. Applying the entry to a replica
/// with another version 1 marks that replica as corrupted.
inline transport::LogEntry deltaConfiguration() {
  state_machine::ReplicatedState leader;
  leader.apply(firstConfiguration());
  auto entry = state_machine::configurationChangeEntry(1, 2, configurationText(2, 11), "w2@2", leader.state());
  entry.index = 2;
  return entry;
}
/// An entry that does not change the configuration: a runner joins.
inline transport::LogEntry runnerJoins(std::int64_t index) {
  const auto name = "i-" + std::to_string(index);
  state_machine::Runner runner;
  runner.id = name, runner.service = "s", runner.address = "127.0.0.1:80", runner.sequence = 1;
  auto entry = state_machine::runnerEntry(runner, name + "-joins");
  entry.index = index;
  return entry;
}
inline transport::FeedEntries feedOf(std::vector<transport::LogEntry> entries, std::int64_t newestIndex) {
  transport::FeedEntries feed;
  feed.entries = std::move(entries);
  feed.newestIndex = newestIndex;
  return feed;
}
/// A full snapshot of a replica that applied these entries.
inline transport::FeedSnapshot snapshotAfter(const std::vector<transport::LogEntry>& entries) {
  state_machine::ReplicatedState leader;
  for (const auto& entry : entries)
    leader.apply(entry);
  transport::FeedSnapshot snapshot;
  snapshot.lastIncludedIndex = leader.state().index;
  snapshot.state = leader.snapshotFor("");
  return snapshot;
}
inline const TimePoint kNow = TimePoint{} + 1h;
}  // namespace zinccleat::replica_fixtures
