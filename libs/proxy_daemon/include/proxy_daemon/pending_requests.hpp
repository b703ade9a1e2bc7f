/// Matches responses to the requests that await them. Pure: the present time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy_daemon {
/// Where the request ids of one incarnation begin: random, so that a response to an earlier incarnation matches no
/// request. Small enough to stay short on the wire.
std::int64_t randomRequestId();

/// The last few requests of one type that have not been answered. Ids ascend by one.
class PendingRequests {
 public:
  /// Requests remembered; a response to an older one is ignored.
  static constexpr std::size_t kCapacity = 16;
  /// @param previousId the first request gets the id after this one.
  explicit PendingRequests(std::int64_t previousId) : newestId_(previousId) {}
  /// Begins a request and forgets the oldest beyond the capacity.
  /// @return its id.
  std::int64_t start(TimePoint now);
  /// When a request was started; none if it is not pending.
  std::optional<TimePoint> startedAt(std::int64_t requestId) const;
  /// Ends a request.
  /// @return whether it was pending: a response that comes twice counts once.
  bool finish(std::int64_t requestId) { return startTimes_.erase(requestId) > 0; }
  /// The id of the request that was started last.
  std::int64_t newestId() const { return newestId_; }

 private:
  std::int64_t newestId_;
  std::map<std::int64_t, TimePoint> startTimes_;  // by request id
};
}  // namespace zinccleat::proxy_daemon
