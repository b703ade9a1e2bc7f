#include "platform_functions.hpp"

#include "config/quote_json.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kUsageInterval = 250ms;
constexpr auto kScalingInterval = 500ms;
constexpr auto kProposalTimeout = 2000ms;  // a report that was not committed within this time is proposed again
constexpr auto kMachineLifetime = 5s;
const std::string kUsageSubject = "usage";

platform::UsageTimes usageTimesOf(const config::Settings& settings) {
  platform::UsageTimes times;
  if (settings.platform && settings.platform->usageReporting)
    times.windowLength = settings.timers.reportWindow;
  times.delay = settings.timers.usageDelay;
  times.lease = settings.timers.revoke;
  return times;
}
std::string bodyOf(const state_machine::UsageReport& report) {
  std::string counts;
  for (const auto& count : report.counts)
    counts += (counts.empty() ? "" : ",") + config::quoteJson(count.tenant) + ":" + std::to_string(count.requests);
  return "{\"window\":" + std::to_string(report.window) + ",\"countTable\":{" + counts + "}}";
}
std::string bodyOf(const platform::ScalingOrder& order) {
  return "{\"targetService\":" + config::quoteJson(order.service) + ",\"zone\":" + config::quoteJson(order.zone) +
         ",\"desiredCount\":" + std::to_string(order.desiredCount) + "}";
}
std::string subjectOf(const platform::ScalingOrder& order) {
  return "scaling/" + order.service + "/" + order.zone;
}
std::string scalingJson(const std::vector<platform::ScalingStatus>& status) {
  std::string rows;
  int row = 0;
  for (const auto& each : status) {
    rows += rows.empty() ? "{" : ",{";
    rows += "\"row\":" + std::to_string(row) + ",\"service\":" + config::quoteJson(each.service) +
            ",\"zone\":" + config::quoteJson(each.zone) + ",\"present\":" + std::to_string(each.present) +
            ",\"demand\":" + std::to_string(each.demand) + ",\"wanted\":" + std::to_string(each.wanted) +
            ",\"ordered\":" + std::to_string(each.ordered) + ",\"reason\":" + config::quoteJson(each.reason) + "}";
    ++row;
  }
  return rows;
}
}  // namespace

PlatformFunctions::PlatformFunctions(const ControllerContext& context, std::function<std::string()> nextOperationId)
    : context_(context),
      nextOperationId_(std::move(nextOperationId)),
      client_(context),
      usage_(usageTimesOf(context.settings)) {}
void PlatformFunctions::startTerm(TimePoint now) {
  client_.startTerm(now);
  clock_ = {};  // the first machines heard in a new term may all have wrong clocks
  usage_.startTerm(now);
  scaling_.startTerm(now);
  proposedAt_.clear();
  confirmed_.clear();
}
transport::PlatformReportAnswer PlatformFunctions::onReport(TimePoint now, const std::string& agent,
                                                            const transport::PlatformReport& report) {
  transport::PlatformReportAnswer answer;
  if (report.empty() || !context_.settings.platform)
    return answer;
  const auto machine = consensus::addressOf(agent);
  heardAt_[machine] = now;
  clock_.record(machine, platform::FleetTime(Duration(report.timeOfDayMs)), now);
  answer.receivedBatch = usage_.report(machine, report, now);
  if (!report.loads.empty())
    scaling_.report(machine, report.loads, now);
  if (const auto time = clock_.timeAt(now))
    answer.fleetTimeMs = time->time_since_epoch().count();
  answer.reportedThrough = context_.replica.state().usage.reportedThrough();
  return answer;
}
void PlatformFunctions::tick(TimePoint now) {
  if (!context_.settings.platform || !context_.isLeader() || !context_.raft->hasLease(now))
    return;
  std::erase_if(heardAt_, [now](const auto& machine) { return now - machine.second > kMachineLifetime; });
  if (context_.settings.platform->usageReporting && now - usageCheckedAt_ >= kUsageInterval) {
    usageCheckedAt_ = now;
    commitUsage(now);
  }
  sendUsage(now);
  if (context_.settings.platform->scaling && now - scalingDecidedAt_ >= kScalingInterval) {
    scalingDecidedAt_ = now;
    orderRunners(now);
  }
}
void PlatformFunctions::commitUsage(TimePoint now) {
  const auto fleetTime = clock_.timeAt(now);
  if (!fleetTime)
    return;
  const auto& known = context_.replica.state().usage;
  std::erase_if(proposedAt_, [&](const auto& proposed) {
    return known.contains(proposed.first) || now - proposed.second > kProposalTimeout;
  });
  for (const auto& report : usage_.ready(known, *fleetTime, now)) {
    if (!proposedAt_.emplace(report.window, now).second)
      continue;
    context_.raft->submit(now, state_machine::usageReportEntry(report, nextOperationId_()));
  }
}
void PlatformFunctions::sendUsage(TimePoint now) {
  const auto& reports = context_.replica.state().usage;
  std::erase_if(confirmed_, [&](std::int64_t window) {
    return std::none_of(reports.unconfirmed().begin(), reports.unconfirmed().end(),
                        [window](const auto& report) { return report.window == window; });
  });
  if (!client_.mayCall(kUsageSubject, now))
    return;
  for (const auto& report : reports.unconfirmed())
    if (!confirmed_.contains(report.window))
      return sendReport(report);
}
void PlatformFunctions::sendReport(const state_machine::UsageReport& report) {
  const auto window = report.window;
  client_.call({kUsageSubject, "/usage-reports", bodyOf(report)}, [this, window](platform::CallOutcome outcome) {
    const bool isFinal = outcome == platform::CallOutcome::accepted || outcome == platform::CallOutcome::invalid;
    if (!isFinal)
      return;
    reportsAccepted_ += outcome == platform::CallOutcome::accepted ? 1 : 0;
    log::debug("usage_reported", {{"window", window}, {"accepted", outcome == platform::CallOutcome::accepted}});
    confirmed_.insert(window);
    context_.raft->submit(Clock::now(), state_machine::usageConfirmedEntry(window, nextOperationId_()));
  });
}
void PlatformFunctions::orderRunners(TimePoint now) {
  if (!context_.configuration)
    return;
  const auto orders = scaling_.decide(*context_.configuration, context_.replica.state(), machines(), now);
  for (const auto& order : orders)
    if (client_.mayCall(subjectOf(order), now))
      sendOrder(order);
}
void PlatformFunctions::sendOrder(const platform::ScalingOrder& order) {
  client_.call({subjectOf(order), "/scaling", bodyOf(order)}, [this, order](platform::CallOutcome outcome) {
    const auto now = Clock::now();
    if (outcome == platform::CallOutcome::unanswered)
      scaling_.unanswered(order, now);
    if (outcome != platform::CallOutcome::accepted)
      return;
    ++ordersAccepted_;
    scaling_.accepted(order, now);
    log::info(
        "runners_ordered",
        {{"service", order.service}, {"zone", order.zone}, {"count", order.desiredCount}, {"reason", order.reason}});
  });
}
std::string PlatformFunctions::statusJson(TimePoint now) const {
  const auto& reports = context_.replica.state().usage;
  const auto time = clock_.lastEstimateAt(now);
  if (!context_.settings.platform)
    return "{}";
  return "{\"holder\":" + std::string(context_.isLeader() ? "true" : "false") +
         ",\"fence\":" + std::to_string(context_.raft->term()) +
         ",\"fleetTimeMs\":" + std::to_string(time ? time->time_since_epoch().count() : 0) +
         ",\"reportedThrough\":" + std::to_string(reports.reportedThrough()) +
         ",\"unconfirmedReports\":" + std::to_string(reports.unconfirmed().size()) +
         ",\"incompleteWindows\":" + std::to_string(usage_.incompleteWindows()) +
         ",\"reportsAccepted\":" + std::to_string(reportsAccepted_) +
         ",\"ordersAccepted\":" + std::to_string(ordersAccepted_) + ",\"scaling\":[" + scalingJson(scaling_.status()) +
         "]}";
}
}  // namespace zinccleat::controller
