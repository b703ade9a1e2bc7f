#include "agent/leader_discovery.hpp"

#include "consensus/cluster_config.hpp"

namespace zinccleat::agent {
namespace {
constexpr std::size_t kViewCapacity = 12;
/// Suffixes that mark the role of a node in the partial view: "IP/core", "IP/access".
constexpr std::string_view kCoreSuffix = "/core";
constexpr std::string_view kAccessSuffix = "/access";

std::string withSuffix(const std::string& address, std::string_view suffix) {
  return address + std::string(suffix);
}
std::string hostOf(const std::string& address) {
  return address.substr(0, address.rfind(':'));
}
}  // namespace

LeaderDiscovery::LeaderDiscovery(const std::string& ownAddress, std::uint64_t seed)
    : rankSeed_(seed), view_(withSuffix(ownAddress, kAccessSuffix), kViewCapacity, hash64(ownAddress, seed)) {}

void LeaderDiscovery::setSeeds(std::vector<std::string> seeds) {
  seeds_ = std::move(seeds);
  for (const auto& seed : seeds_)
    view_.add(withSuffix(hostOf(seed), kCoreSuffix));
}
void LeaderDiscovery::recordContact(const std::string& member) {
  view_.add(withSuffix(consensus::addressOf(member), kCoreSuffix));
}
LeaderDiscovery::StatusChange LeaderDiscovery::observe(const transport::ClusterStatus& status) {
  view_.merge(status.view);
  if (status.term < term_)
    return {.stale = true};
  StatusChange change;
  change.leader = !status.leader.empty() && (status.term > term_ || status.leader != leader_);
  change.voters = !status.voters.empty() && status.voters != voters_;
  term_ = status.term;
  if (change.voters)
    voters_ = status.voters;
  return change;
}
std::string LeaderDiscovery::leaderAddress() const {
  return leader_.empty() ? std::string() : consensus::addressOf(leader_);
}

/// Returns the voters in an order that differs per node, so that the links of all nodes are distributed over the core.
std::vector<std::string> LeaderDiscovery::votersByRank() const {
  auto ranked = voters_;
  std::sort(ranked.begin(), ranked.end(),
            [this](const auto& a, const auto& b) { return hash64(a, rankSeed_) > hash64(b, rankSeed_); });
  return ranked;
}
std::set<std::string> LeaderDiscovery::desiredAddresses(TimePoint now,
                                                        const std::function<bool(const std::string&)>& isConnected,
                                                        const std::string& preferred) const {
  std::set<std::string> desired;
  if (!leader_.empty())
    desired.insert(consensus::addressOf(leader_));
  if (!preferred.empty())
    desired.insert(preferred);
  for (const auto& voter : votersByRank())
    if (desired.size() < kExtraVoterLinks + 1)
      desired.insert(consensus::addressOf(voter));
  const bool connected = std::any_of(desired.begin(), desired.end(), isConnected);
  // All machines are added without a lease too, because the connected ones may all be on the minority side of a network
  // partition.
  if (!connected || now - lastLease_ > kLeaseTimeout)
    addAllKnown(desired);
  return desired;
}
void LeaderDiscovery::addAllKnown(std::set<std::string>& addresses) const {
  for (const auto& voter : voters_)
    addresses.insert(consensus::addressOf(voter));
  for (const auto& seed : seeds_)
    addresses.insert(hostOf(seed));
  for (const auto& node : view_.all())
    if (node.size() > kCoreSuffix.size() && node.ends_with(kCoreSuffix))
      addresses.insert(node.substr(0, node.size() - kCoreSuffix.size()));
}
}  // namespace zinccleat::agent
