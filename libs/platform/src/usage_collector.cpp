#include "platform/usage_collector.hpp"

namespace zinccleat::platform {
namespace {
constexpr auto kReportGrace = 1500ms;             // minimum wait after the end of a window
constexpr double kNegligibleMissingShare = 0.01;  // share of the proxies whose missing counts hardly change a report
// Share of the report delay to wait if only a negligible share of the proxies is missing.
constexpr double kShortWaitShare = 0.65;
constexpr auto kPartitionWait = 40s;  // wait if more proxies are missing, which may be partitioned from the leader
// From the start of a term; every proxy in contact has found the new leader by then.
constexpr auto kLeaderDiscoveryTime = 2500ms;
constexpr auto kForgetReporterAfter = 60s;
// Windows that an earlier leader may have left unreported, if no report is known.
constexpr std::int64_t kWindowsBeforeTerm = 2;
constexpr std::int64_t kMaxWindowAge = 16;  // relative to the newest window; older windows are never reported
}  // namespace

void UsageCollector::startTerm(TimePoint now) {
  termStartedAt_ = now;
  reporters_.clear();
  incarnationOf_.clear();
  counts_.clear();
  firstWindow_.reset();
}
std::int64_t UsageCollector::report(const std::string& machine, const transport::PlatformReport& report,
                                    TimePoint now) {
  const auto [entry, isNew] = reporters_.try_emplace(report.incarnation);
  auto& reporter = entry->second;
  reporter.machine = machine;
  reporter.heardAt = now;
  if (isNew) {
    auto& newest = incarnationOf_[machine];
    if (const auto earlier = reporters_.find(newest); newest != 0 && earlier != reporters_.end())
      earlier->second.superseded = true;
    newest = report.incarnation;
  }
  reporter.received = std::max(reporter.received, report.firstBatch - 1);
  for (const auto& batch : report.batches) {
    if (batch.number != reporter.received + 1)
      continue;
    reporter.received = batch.number;
    reporter.completeThrough = std::max(reporter.completeThrough, batch.completeThrough);
    addCounts(batch);
  }
  return reporter.received;
}
void UsageCollector::addCounts(const transport::UsageBatch& batch) {
  for (const auto& count : batch.counts)
    if (count.requests > 0)
      counts_[count.window][count.tenant] += count.requests;
}
UsageCollector::Completeness UsageCollector::completenessOf(std::int64_t window,
                                                            const state_machine::UsageReports& known,
                                                            TimePoint windowBegan) const {
  Completeness completeness;
  for (const auto& [incarnation, reporter] : reporters_) {
    if (reporter.superseded || reporter.heardAt + times_.lease < windowBegan)
      continue;
    ++completeness.reporters;
    if (reporter.completeThrough < window)
      ++completeness.missing;
  }
  // Proxies that this leader does not know may have served requests under its predecessor.
  const bool othersMayHaveServed = windowBegan < termStartedAt_ + times_.lease;
  if (othersMayHaveServed)
    completeness.missing += std::max<std::int64_t>(0, known.reportersBefore(window) - completeness.reporters);
  return completeness;
}
bool UsageCollector::mayCommit(const Completeness& completeness, Duration sinceEnd, TimePoint now) const {
  if (sinceEnd < kReportGrace || now - termStartedAt_ < kLeaderDiscoveryTime)
    return false;
  if (completeness.missing == 0)
    return true;
  const auto shortWait = std::chrono::duration_cast<Duration>(times_.delay * kShortWaitShare);
  const auto all = static_cast<double>(completeness.reporters + completeness.missing);
  const bool fewMissing = static_cast<double>(completeness.missing) <= std::max(1.0, all * kNegligibleMissingShare);
  return sinceEnd >= (fewMissing ? shortWait : std::max<Duration>(shortWait, kPartitionWait));
}
std::vector<state_machine::UsageReport> UsageCollector::ready(const state_machine::UsageReports& known,
                                                              FleetTime fleetTime, TimePoint now) {
  std::vector<state_machine::UsageReport> reports;
  if (times_.windowLength <= Duration(0))
    return reports;
  const auto newest = windowOf(fleetTime, times_.windowLength) - 1;
  if (!firstWindow_)
    firstWindow_ = newest - kWindowsBeforeTerm;
  if (!counts_.empty())
    firstWindow_ = std::min(*firstWindow_, counts_.begin()->first);
  const auto oldest = known.empty() ? *firstWindow_ : std::min(*firstWindow_, known.windows().begin()->first);
  const auto first = std::max(oldest, newest - kMaxWindowAge);
  for (auto window = first; window <= newest; ++window) {
    if (!known.mayCommit(window))
      continue;
    const auto sinceEnd = toDuration(fleetTime - endOf(window, times_.windowLength));
    const auto completeness = completenessOf(window, known, now - sinceEnd - times_.windowLength);
    if (!mayCommit(completeness, sinceEnd, now))
      continue;
    incompleteWindows_ += completeness.missing > 0 ? 1 : 0;
    state_machine::UsageReport report{window, completeness.reporters, {}};
    for (const auto& [tenant, requests] : counts_[window])
      report.counts.push_back({tenant, requests});
    reports.push_back(std::move(report));
  }
  discardBefore(first, now);
  return reports;
}
void UsageCollector::discardBefore(std::int64_t before, TimePoint now) {
  std::erase_if(counts_, [before](const auto& window) { return window.first < before; });
  std::erase_if(reporters_, [now](const auto& entry) { return now - entry.second.heardAt > kForgetReporterAfter; });
  std::erase_if(incarnationOf_, [this](const auto& entry) { return !reporters_.contains(entry.second); });
}
}  // namespace zinccleat::platform
