/// Queries the leader whether the partner site has cached a prompt prefix that this site has not cached.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/agent_link.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// The prompt prefixes that this proxy has recently sent to runners of its own site, which have cached them. Pure: the
/// current time is passed in.
class RecentPrefixes {
 public:
  /// How long a prefix counts as recent.
  static constexpr auto kLifetime = 20s;
  /// Maximum number of recorded prefixes. When it is exceeded, all recorded prefixes are removed at once.
  static constexpr std::size_t kCapacity = 8192;
  /// Whether a prefix was recorded within `kLifetime`.
  bool contains(std::uint64_t promptPrefix, TimePoint now);
  void record(std::uint64_t promptPrefix, TimePoint now) { sentAt_[promptPrefix] = now; }

 private:
  std::unordered_map<std::uint64_t, TimePoint> sentAt_;  // key: hash of the prefix
};

/// Sends lookups to the leader through the agent and passes each response to the fiber that waits for it.
class PartnerLookup {
 public:
  /// @param context must outlive the event loop.
  /// @param agent must outlive the event loop.
  /// @param secret the secret shared with the partner site.
  PartnerLookup(proxy::ProxyContext& context, AgentLink& agent, const std::string& secret);
  /// Looks up which site should serve a prompt. Blocks the calling fiber for at most 10 ms.
  /// @param promptPrefix the prefix's hash.
  /// @return the address of a proxy of the partner site; empty if the prompt should be served by this site, which is
  ///         also the result if no response arrives within 10 ms.
  std::string lookup(std::uint64_t promptPrefix, const std::string& tenant);
  /// Passes a response to the fiber that waits for it. A response whose lookup has timed out is ignored.
  void accept(transport::PrefixLookupResponse response);

 private:
  struct PendingLookup {
    runtime::Waiter waiter;
    std::vector<std::string> access;
  };
  std::vector<std::string> requestLookup(std::uint64_t promptPrefix, const std::string& tenant);

  proxy::ProxyContext& context_;
  AgentLink& agent_;
  std::uint64_t tenantSeed_;
  std::int64_t newestRequestId_;
  std::map<std::int64_t, PendingLookup*> pending_;  // key: request id; each value is on the stack of the waiting fiber
  RecentPrefixes recentPrefixes_;
};
}  // namespace zinccleat::proxy_daemon
