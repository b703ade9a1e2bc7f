#include "proxy_daemon/lease_renewal.hpp"

namespace zinccleat::proxy_daemon {
Duration LeaseRenewal::leaseDuration(const config::Timers& timers) {
  constexpr Duration kRevocationMargin{1500};
  constexpr Duration kShortest{500};
  constexpr Duration kWithoutRevocation{60000};
  return timers.revokedFail ? std::max(kShortest, timers.revoke - kRevocationMargin) : kWithoutRevocation;
}
std::optional<LeaseRenewal::Granted> LeaseRenewal::accept(const transport::LeaseResponse& response) {
  const auto requestedAt = pending_.startedAt(response.requestId);
  if (!requestedAt || !response.granted)
    return std::nullopt;
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
}  // namespace zinccleat::proxy_daemon
