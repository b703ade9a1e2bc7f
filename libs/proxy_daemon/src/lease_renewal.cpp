#include "proxy_daemon/lease_renewal.hpp"

namespace zinccleat::proxy_daemon {
Duration LeaseRenewal::leaseDuration(const config::Timers& timers) {
  constexpr int kMarginDivisor = 10;
  constexpr Duration kDurationWithoutRevocation{60000};
  return timers.revokedFail ? timers.revoke - timers.revoke / kMarginDivisor : kDurationWithoutRevocation;
}
Duration LeaseRenewal::maxLag(const config::Timers& timers) {
  constexpr Duration kMaxConnectDuration{300};  // an admitted request may try to connect to a runner for this time
  constexpr Duration kMinMaxLag{500};
  return std::max(kMinMaxLag, std::min(timers.drain, timers.configApply) - kInterval - kMaxConnectDuration);
}
std::optional<LeaseRenewal::Granted> LeaseRenewal::accept(const transport::LeaseResponse& response) {
  const auto requestedAt = pending_.startedAt(response.requestId);
  if (!requestedAt || !response.granted)
    return std::nullopt;
  lag_.recordCommitted(*requestedAt, response.commitIndex);
  if (*requestedAt + leaseDuration_ > grantedUntil_) {
    grantedUntil_ = *requestedAt + leaseDuration_;
    requiredIndex_ = std::max(requiredIndex_, response.commitIndex);
  }
  pending_.finish(response.requestId);
  return Granted{*requestedAt, response.requestId == pending_.newestId()};
}
std::optional<TimePoint> LeaseRenewal::usableUntil(std::int64_t lastApplied) const {
  if (grantedUntil_ == TimePoint{} || lastApplied < requiredIndex_)
    return std::nullopt;
  return grantedUntil_;
}
TimePoint LeaseRenewal::freshUntil(std::int64_t lastApplied) {
  lag_.recordApplied(lastApplied);
  const auto missingSince = lag_.since();
  return missingSince ? *missingSince + maxLag_ : TimePoint::max();
}
}  // namespace zinccleat::proxy_daemon
