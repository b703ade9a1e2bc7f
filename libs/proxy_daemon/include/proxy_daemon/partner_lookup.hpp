/// Asks the leader whether the partner site has a prompt prefix cached that this site has not.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/agent_link.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// The prompt prefixes that this proxy has sent to its own site lately: they are cached here. Pure.
class RecentPrefixes {
 public:
  /// How long a prefix counts as recent.
  static constexpr auto kLifetime = 20s;
  /// Prefixes remembered; beyond that all are forgotten at once.
  static constexpr std::size_t kCapacity = 8192;
  /// Whether a prefix was recorded within `kLifetime`.
  bool contains(std::uint64_t promptPrefix, TimePoint now);
  void record(std::uint64_t promptPrefix, TimePoint now) { sentAt_[promptPrefix] = now; }

 private:
  std::unordered_map<std::uint64_t, TimePoint> sentAt_;  // by the prefix's hash
};

class PartnerLookup {
 public:
  /// @param context and agent must outlive the event loop.
  /// @param secret shared with the partner site.
  PartnerLookup(proxy::ProxyContext& context, AgentLink& agent, const std::string& secret);
  /// Parks the calling fiber for at most 10 ms.
  /// @param promptPrefix the prefix's hash.
  /// @return the address of a proxy of the partner site; empty: send the prompt to this site. No response in time is a
  ///         no.
  std::string lookup(std::uint64_t promptPrefix, const std::string& tenant);
  /// Hands a response to the fiber that awaits it, if there still is one.
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
  std::map<std::int64_t, PendingLookup*> pending_;  // by request id; each on the stack of its fiber
  RecentPrefixes recentPrefixes_;
};
}  // namespace zinccleat::proxy_daemon
