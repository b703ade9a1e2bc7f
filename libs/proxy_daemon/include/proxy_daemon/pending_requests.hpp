/// Matches responses to pending requests. `PendingRequests` is pure: the current time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy_daemon {
/// Returns a random id at which the request ids of one process start. Because the id is random, a response to an
/// earlier process on this machine matches no pending request. The id has 40 bits, to keep its encoding on the wire
/// short.
std::int64_t randomRequestId();

/// The most recent requests of one type that have not been answered. Each request id is one above the previous id.
class PendingRequests {
 public:
  /// Maximum number of pending requests. A response to an older request is ignored.
  static constexpr std::size_t kCapacity = 16;
  /// @param previousId the first request gets the id after this one.
  explicit PendingRequests(std::int64_t previousId) : newestId_(previousId) {}
  /// Starts a request. Drops the oldest pending request if there are more than `kCapacity`.
  /// @return the id of the new request.
  std::int64_t start(TimePoint now);
  /// Returns when a request was started; none if the request is not pending.
  std::optional<TimePoint> startedAt(std::int64_t requestId) const;
  /// Removes a request.
  /// @return whether the request was pending. The result is false for a duplicate response.
  bool finish(std::int64_t requestId) { return startTimes_.erase(requestId) > 0; }
  /// Id of the request that was started last.
  std::int64_t newestId() const { return newestId_; }

 private:
  std::int64_t newestId_;
  std::map<std::int64_t, TimePoint> startTimes_;  // key: request id
};
}  // namespace zinccleat::proxy_daemon
