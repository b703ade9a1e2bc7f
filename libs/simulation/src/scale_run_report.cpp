#include "scale_run_report.hpp"

#include <cinttypes>

namespace zinccleat::simulation {
namespace {
constexpr std::uint64_t kMaxRefusedPerMille = 1;

// The value below which so great a part of the values lies; 0 without any.
double quantile(std::vector<double> values, double part) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(part * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, rank)];
}
double median(const std::vector<double>& values) {
  return quantile(values, 0.5);
}
double percentile99(const std::vector<double>& values) {
  return quantile(values, 0.99);
}
double worst(const std::vector<double>& values) {
  return quantile(values, 1);
}
struct TrafficSum {
  double sent = 0;
  double received = 0;
};
TrafficSum sumOf(const std::vector<MessageTraffic>& traffic) {
  TrafficSum sum;
  for (const auto& message : traffic) {
    sum.sent += message.sent;
    sum.received += message.received;
  }
  return sum;
}

// --- JSON ---

void printPlanJson(const ScaleRunReport& report, std::FILE* out) {
  const auto& plan = report.plan;
  std::fprintf(out, "\"core\":%d,\"nodes\":%d,\"runners\":%d,\"tenants\":%d,\"routes\":%d,", plan.core, plan.nodes,
               plan.runners, plan.tenants, plan.routes);
  std::fprintf(out, "\"requestsPerS\":%.1f,\"changesPerMinute\":%.1f,\"restarts\":%d,", plan.requestsPerS,
               plan.changesPerMinute, plan.restarts);
  std::fprintf(out, "\"seconds\":%.1f,\"fine\":%s,", report.seconds, report.passed() ? "true" : "false");
}
void printTrafficJson(const ScaleRunReport& report, std::FILE* out) {
  const auto sum = sumOf(report.traffic);
  std::fprintf(out, "\"bytesPerNodePerS\":{\"out\":%.1f,\"in\":%.1f,\"kinds\":{", sum.sent, sum.received);
  const char* separator = "";
  for (const auto& message : report.traffic) {
    std::fprintf(out, "%s\"%s\":{\"out\":%.1f,\"in\":%.1f}", separator, message.name, message.sent, message.received);
    separator = ",";
  }
  std::fprintf(out, "}},");
}
void printProcessesJson(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "\"processes\":[");
  const char* separator = "";
  for (const auto& process : report.processes) {
    std::fprintf(out, "%s{\"name\":\"%s\",\"role\":\"%s\",\"cores\":%.4f,\"peakMb\":%.1f}", separator,
                 process.name.c_str(), process.role.c_str(), process.cores, process.peakMb);
    separator = ",";
  }
  std::fprintf(out, "],");
}
void printTimesJson(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "\"inForceMs\":{\"median\":%.1f,\"p99\":%.1f,\"worst\":%.1f},", median(report.inForceMs),
               percentile99(report.inForceMs), worst(report.inForceMs));
  std::fprintf(out, "\"drawMs\":{\"median\":%.2f,\"p99\":%.2f},", median(report.tokenRequestMs),
               percentile99(report.tokenRequestMs));
}
void printCountsJson(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "\"granted\":%" PRIu64 ",\"refused\":%" PRIu64 ",", report.granted, report.refused);
  std::fprintf(out, "\"changes\":%" PRIu64 ",\"changesLost\":%" PRIu64 ",", report.changes.acknowledged,
               report.changes.unacknowledged);
  std::fprintf(out, "\"beats\":%" PRIu64 ",\"beatsLost\":%" PRIu64 ",", report.heartbeats.acknowledged,
               report.heartbeats.unacknowledged);
  std::fprintf(out, "\"runnersLeft\":%" PRIu64 ",\"runnersLeftWithoutAck\":%" PRIu64 ",",
               report.departures.acknowledged, report.departures.unacknowledged);
}
void printTakeOverJson(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "\"takeOverMs\":{\"count\":%zu,\"median\":%.0f,\"worst\":%.0f},", report.takeOverMs.size(),
               median(report.takeOverMs), worst(report.takeOverMs));
}
void printConfigurationJson(const ConfigurationCost& cost, std::FILE* out) {
  std::fprintf(
      out,
      "\"configuration\":{\"bytes\":%zu,\"differenceBytes\":%zu,\"parseMs\":%.2f,\"differMs\":%.2f,\"applyMs\":%.2f}",
      cost.bytes, cost.deltaBytes, cost.parseMs, cost.computeDeltaMs, cost.applyDeltaMs);
}

// --- table ---

void printProcessTable(const ScaleRunReport& report, std::FILE* out) {
  const auto& plan = report.plan;
  std::fprintf(out, "measured on loopback for %.1f s: %d core, %d hollow nodes, %d runners, %d tenants, %d routes\n\n",
               report.seconds, plan.core, plan.nodes, plan.runners, plan.tenants, plan.routes);
  std::fprintf(out, "process     role      cores  peak MB\n");
  for (const auto& process : report.processes)
    std::fprintf(out, "%-11s %-8s %6.4f %8.1f\n", process.name.c_str(), process.role.c_str(), process.cores,
                 process.peakMb);
}
void printTrafficRow(const char* name, double sent, double received, std::FILE* out) {
  std::fprintf(out, "%-10s %9.1f %9.1f\n", name, sent, received);
}
void printTrafficTable(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "\nbytes a second and node   out        in\n");
  for (const auto& message : report.traffic)
    if (message.sent + message.received > 0)
      printTrafficRow(message.name, message.sent, message.received, out);
  const auto sum = sumOf(report.traffic);
  printTrafficRow("all", sum.sent, sum.received, out);
}
void printChangesAndRequests(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out,
               "\nchanges: %" PRIu64 " acknowledged, %" PRIu64
               " not; in force everywhere: median %.1f ms, 99th %.1f ms, worst %.1f ms\n",
               report.changes.acknowledged, report.changes.unacknowledged, median(report.inForceMs),
               percentile99(report.inForceMs), worst(report.inForceMs));
  std::fprintf(out,
               "requests: %" PRIu64 " with a token, %" PRIu64
               " refused below the limit; a draw takes %.2f ms, 99th %.2f ms\n",
               report.granted, report.refused, median(report.tokenRequestMs), percentile99(report.tokenRequestMs));
}
void printFaults(const ScaleRunReport& report, std::FILE* out) {
  const auto& departures = report.departures;
  if (departures.acknowledged + departures.unacknowledged > 0)
    std::fprintf(out, "runners that left in order: %" PRIu64 " acknowledged, %" PRIu64 " not\n",
                 departures.acknowledged, departures.unacknowledged);
  for (const double takeOverMs : report.takeOverMs)
    std::fprintf(out, "leader killed: draws answered again after %.0f ms\n", takeOverMs);
}
void printConfiguration(const ConfigurationCost& cost, std::FILE* out) {
  std::fprintf(out,
               "configuration: %zu bytes whole, %zu for one key changed; read in %.2f ms, difference made in %.2f ms, "
               "applied in %.2f ms\n",
               cost.bytes, cost.deltaBytes, cost.parseMs, cost.computeDeltaMs, cost.applyDeltaMs);
}
void printEnd(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "runners' beats: %" PRIu64 " acknowledged, %" PRIu64 " not\ncopies at the end: %s\n",
               report.heartbeats.acknowledged, report.heartbeats.unacknowledged,
               report.copiesEqual ? "all alike" : "NOT alike");
}
}  // namespace

bool ScaleRunReport::passed() const {
  constexpr std::uint64_t kPerMille = 1000;
  const bool leaderKilled = plan.coreKills > 0;
  const bool fewRefused = refused * kPerMille <= (granted + refused) * kMaxRefusedPerMille;
  return copiesEqual && changes.unacknowledged == 0 && (leaderKilled || (fewRefused && departures.unacknowledged == 0));
}
void printJson(const ScaleRunReport& report, std::FILE* out) {
  std::fprintf(out, "{");
  printPlanJson(report, out);
  printTrafficJson(report, out);
  printProcessesJson(report, out);
  printTimesJson(report, out);
  printCountsJson(report, out);
  printTakeOverJson(report, out);
  printConfigurationJson(report.configuration, out);
  std::fprintf(out, "}\n");
}
void printTable(const ScaleRunReport& report, std::FILE* out) {
  printProcessTable(report, out);
  printTrafficTable(report, out);
  printChangesAndRequests(report, out);
  printFaults(report, out);
  printConfiguration(report.configuration, out);
  printEnd(report, out);
}
}  // namespace zinccleat::simulation
