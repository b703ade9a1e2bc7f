/// Writes taken at this machine that wait for their verdict. Each is sent to the leader until it is applied here, or
/// its time is up; sent again it stays the one write, by its operation id.
#pragma once
#include "core_context.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
class PendingWrites {
 public:
  struct Ways {
    std::function<void(const transport::LogEntry&)> submitHere;  // this machine leads
    std::function<void(const consensus::MemberId& leader, const transport::LogEntry&)> submitThere;  // another one does
    std::function<void(const transport::LogEntry&)> sendBodyAhead;
  };
  PendingWrites(const CoreContext& core, Ways ways) : core_(core), ways_(std::move(ways)) {}
  /// Parks the calling fiber until its own write is applied here; the verdict is the copy's.
  Result<std::int32_t> write(const transport::LogEntry& entry, Duration within);
  void applied(const std::string& operationId);
  /// Any of them may be applied by now.
  void snapshotRestored();
  /// All are sent again, to the new one.
  void leaderChanged();

 private:
  struct Pending {
    runtime::Waiter waiter;
    std::optional<std::int32_t> verdict;
  };
  void submit(const transport::LogEntry& entry, bool& bodyIsAhead);
  void forget(const std::string& operationId, const Pending* pending);
  const CoreContext& core_;
  Ways ways_;
  std::map<std::string, std::vector<Pending*>> pending_;  // by operation id
};
}  // namespace zinccleat::controller
