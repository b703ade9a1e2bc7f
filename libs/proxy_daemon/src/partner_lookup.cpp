#include "proxy_daemon/partner_lookup.hpp"

#include "proxy_daemon/pending_requests.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr auto kLookupTimeout = 10ms;
}  // namespace

bool RecentPrefixes::contains(std::uint64_t promptPrefix, TimePoint now) {
  if (sentAt_.size() > kCapacity)
    sentAt_.clear();
  const auto found = sentAt_.find(promptPrefix);
  return found != sentAt_.end() && now - found->second < kLifetime;
}

PartnerLookup::PartnerLookup(proxy::ProxyContext& context, AgentLink& agent, const std::string& secret)
    : context_(context), agent_(agent), tenantSeed_(hash64(secret)), newestRequestId_(randomRequestId()) {}

std::string PartnerLookup::lookup(std::uint64_t promptPrefix, const std::string& tenant) {
  const auto now = Clock::now();
  if (recentPrefixes_.contains(promptPrefix, now) || !agent_.connected())
    return {};
  const auto access = requestLookup(promptPrefix, tenant);
  if (access.empty()) {
    recentPrefixes_.record(promptPrefix, now);
    return {};
  }
  return access[context_.rng() % access.size()];
}
std::vector<std::string> PartnerLookup::requestLookup(std::uint64_t promptPrefix, const std::string& tenant) {
  transport::PrefixLookupRequest request;
  request.requestId = ++newestRequestId_;
  request.promptPrefix = static_cast<std::int64_t>(promptPrefix);
  // The digest of a tenant is the same on all nodes of the site, so the leader counts each tenant only once.
  request.tenantDigest = static_cast<std::int64_t>(hash64(tenant, tenantSeed_));
  PendingLookup pending;
  pending_[request.requestId] = &pending;
  agent_.send(request);
  (void)runtime::EventLoop::get().waitFor(pending.waiter, kLookupTimeout);
  pending_.erase(request.requestId);
  return std::move(pending.access);
}
void PartnerLookup::accept(transport::PrefixLookupResponse response) {
  const auto found = pending_.find(response.requestId);
  if (found == pending_.end())
    return;
  found->second->access = std::move(response.access);
  found->second->waiter.wake();
}
}  // namespace zinccleat::proxy_daemon
