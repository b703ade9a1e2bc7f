/// Writes taken at this machine that wait for their verdict. Each is sent to the leader until it is applied here, or
/// its time is up; sent again it stays the one write, by its operation id.
#pragma once
#include "core_context.hpp"
#include "runtime/event_loop.hpp"
namespace zc {
class PendingWrites {
 public:
  struct Ways {
    std::function<void(const Entry&)> submitHere;                           // this machine leads
    std::function<void(const MemberId& leader, const Entry&)> submitThere;  // another one does
    std::function<void(const Entry&)> sendBodyAhead;
  };
  PendingWrites(const CoreContext& core, Ways ways) : core_(core), ways_(std::move(ways)) {}
  /// Parks the calling fiber until its own write is applied here; the verdict is the copy's.
  Outcome<std::int32_t> write(const Entry& entry, Span within);
  void applied(const std::string& operationId);
  /// Any of them may be applied by now.
  void snapshotRestored();
  /// All are sent again, to the new one.
  void leaderChanged();

 private:
  struct Pending {
    Waiter waiter;
    std::optional<std::int32_t> verdict;
  };
  void submit(const Entry& entry, bool& bodyIsAhead);
  void forget(const std::string& operationId, const Pending* pending);
  const CoreContext& core_;
  Ways ways_;
  std::map<std::string, std::vector<Pending*>> pending_;  // by operation id
};
}  // namespace zc
