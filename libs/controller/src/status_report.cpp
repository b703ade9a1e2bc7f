#include "status_report.hpp"

#include "json_object.hpp"
#include "transport/peer_link.hpp"
#include "transport/zone_traffic.hpp"

namespace zinccleat::controller {
namespace {
std::string runnerJson(const state_machine::Runner& runner) {
  const bool inService = runner.runnerState() == state_machine::RunnerState::inService;
  return JsonObject()
      .text("id", runner.id)
      .text("service", runner.service)
      .text("address", runner.address)
      .text("state", inService ? "in_service" : "draining")
      .json();
}
std::string runnersJson(const state_machine::StateContents& state) {
  std::vector<std::string> runners;
  runners.reserve(state.runners.size());
  for (const auto& runner : state.runners)
    runners.push_back(runnerJson(runner));
  return jsonArray(runners);
}
std::string zoneDrainJson(const state_machine::ZoneDrain& drain, const ZoneDrainProgress& progress) {
  return JsonObject()
      .text("place", drain.zone)
      .text("note", drain.note)
      .number("share", drain.drainPercent)
      .flag("doorsShut", drain.notAccepting)
      .number("atItsRunners", static_cast<int>(progress.runnerRequests))
      .number("atItsProxies", static_cast<int>(progress.proxyRequests))
      .number("nodesHeard", progress.reportingProxies)
      .json();
}
std::string trafficJson(const transport::TrafficByType& traffic) {
  JsonObject types;
  for (std::size_t type = 0; type < traffic.size(); ++type) {
    const auto& [messages, bytes] = traffic[type];
    if (messages > 0)
      types.raw(transport::nameOf(static_cast<transport::MessageType>(type)),
                JsonObject().number("messages", messages).number("bytes", bytes).json());
  }
  return types.json();
}
void addRaft(JsonObject& report, const consensus::RaftNode& raft, TimePoint now) {
  report.text("member", raft.self()).text("role", nameOf(raft.role()));
  report.number("term", raft.term()).text("leader", raft.leader()).flag("leased", raft.hasLease(now));
  report.flag("inContact", raft.inContactWithMajority(now)).flag("diskSick", raft.diskStalled());
  report.number("released", raft.commitIndex());
}
void addCounters(JsonObject& report, const StatusSources& sources) {
  const auto traffic = transport::trafficCounters();
  const auto* hints = sources.hints.table();
  const auto& outliers = sources.requests.outliers();
  report.number("agents", sources.agents.count()).number("waitingBytes", sources.agents.backlogBytes());
  report.number("snapshotsDeclined", sources.context.raft->rejectedSnapshotCount());
  report.number("seedsDeclined", sources.context.seedsDeclined);
  report.number("framesDeclined", traffic.framesDeclined);
  report.number("framesOfOtherFormats", traffic.framesOfOtherFormats);
  report.number("hintsTold", hints ? hints->announcedCount() : 0)
      .number("hintsKnown", hints ? hints->partnerCount() : 0);
  report.number("hintsDeclined", hints ? hints->rejectedCount() : 0);
  report.number("runnersAside", outliers.ejections().size());
  report.number("wordsDeclined", outliers.unknownRunnerReports());
}
}  // namespace

std::string statusJson(const StatusSources& sources, TimePoint now) {
  const auto& raft = *sources.context.raft;
  const auto& state = sources.context.replica.state();
  JsonObject report;
  report.text("node", sources.context.settings.node);
  addRaft(report, raft, now);
  report.number("applied", state.index).number("version", state.version);
  addCounters(report, sources);
  return report.raw("members", jsonTexts(raft.voters())).raw("runners", runnersJson(state)).json();
}
std::string zoneDrainsJson(const StatusSources& sources, TimePoint now) {
  std::vector<std::string> drains;
  for (const auto& drain : sources.context.replica.state().zoneDrains)
    drains.push_back(zoneDrainJson(drain, sources.requests.drainProgressOf(drain.zone, now)));
  const double requestsPerS = sources.requests.requestsPerS(now);
  return JsonObject().number("requestsPerS", requestsPerS).raw("closures", jsonArray(drains)).json();
}
std::string countersJson(const consensus::RaftNode& raft) {
  std::vector<std::string> zones;
  for (const auto& [zone, traffic] : transport::trafficByZone())
    zones.push_back(JsonObject().text("zone", zone).raw("byType", trafficJson(traffic)).json());
  return JsonObject().number("lastSyncMs", raft.lastSyncTime().count()).raw("sentTo", jsonArray(zones)).json();
}
}  // namespace zinccleat::controller
