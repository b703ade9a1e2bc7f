#include "proxy_daemon/pending_requests.hpp"

namespace zinccleat::proxy_daemon {
std::int64_t randomRequestId() {
  constexpr int kSeedBits = 64;
  constexpr int kIdBits = 40;
  return static_cast<std::int64_t>(randomSeed() >> (kSeedBits - kIdBits));
}
std::int64_t PendingRequests::start(TimePoint now) {
  startTimes_[++newestId_] = now;
  if (startTimes_.size() > kCapacity)
    startTimes_.erase(startTimes_.begin());
  return newestId_;
}
std::optional<TimePoint> PendingRequests::startedAt(std::int64_t requestId) const {
  const auto found = startTimes_.find(requestId);
  return found == startTimes_.end() ? std::nullopt : std::optional(found->second);
}
}  // namespace zinccleat::proxy_daemon
