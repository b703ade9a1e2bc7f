/// Linearizable reads (read index): a follower asks the leader, which answers under a valid lease how far it is
/// committed, and reads its own copy once that is applied. Each question has a number of its own; an answer to one that
/// nobody waits for any more is dropped.
#pragma once
#include "core_context.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
class LeaseReads {
 public:
  using Ask = std::function<void(const consensus::MemberId& leader, std::int64_t requestId)>;
  LeaseReads(const CoreContext& core, Ask ask) : core_(core), ask_(std::move(ask)) {}
  /// Parks until this copy is as new as the leader's at the time of asking.
  Result<void> fresh(Duration within);
  void answered(std::int64_t requestId, bool underLease, std::int64_t commitIndex);
  /// The copy has grown.
  void applied();

 private:
  struct Read {
    runtime::Waiter waiter;
    std::int64_t target = -1;  // to be applied here; -1: not answered yet
  };
  bool isDone(const Read& read) const;
  bool askOnce(TimePoint until);
  const CoreContext& core_;
  Ask ask_;
  std::map<std::int64_t, Read*> reads_;  // by question
  std::int64_t questions_ = 0;
};
}  // namespace zinccleat::controller
