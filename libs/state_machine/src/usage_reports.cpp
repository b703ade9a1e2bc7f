#include "state_machine/usage_reports.hpp"

namespace zinccleat::state_machine {
bool UsageReports::mayCommit(std::int64_t window) const {
  if (windows_.contains(window))
    return false;
  return windows_.size() < kMaxTrackedWindows || window > windows_.begin()->first;
}
bool UsageReports::commit(UsageReport report) {
  if (!mayCommit(report.window))
    return false;
  windows_[report.window] = report.reporters;
  const auto position =
      std::lower_bound(unconfirmed_.begin(), unconfirmed_.end(), report.window,
                       [](const UsageReport& other, std::int64_t window) { return other.window < window; });
  unconfirmed_.insert(position, std::move(report));
  if (windows_.size() > kMaxTrackedWindows) {
    confirm(windows_.begin()->first);
    windows_.erase(windows_.begin());
  }
  return true;
}
void UsageReports::confirm(std::int64_t window) {
  std::erase_if(unconfirmed_, [window](const UsageReport& report) { return report.window == window; });
}
std::int64_t UsageReports::reportedThrough() const {
  if (windows_.empty())
    return 0;
  auto through = windows_.begin()->first;
  while (windows_.contains(through + 1))
    ++through;
  return through;
}
std::int64_t UsageReports::reportersBefore(std::int64_t window) const {
  const auto next = windows_.lower_bound(window);
  return next == windows_.begin() ? 0 : std::prev(next)->second;
}
void UsageReports::restore(std::map<std::int64_t, std::int64_t> windows, std::vector<UsageReport> unconfirmed) {
  windows_ = std::move(windows);
  unconfirmed_ = std::move(unconfirmed);
}
}  // namespace zinccleat::state_machine
