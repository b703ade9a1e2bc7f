/// Requests quota tokens from the leader for client requests that are waiting for them.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/agent_link.hpp"
#include "proxy_daemon/pending_requests.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
/// Sends token requests through the agent and adds the granted tokens to the proxy's quota.
class QuotaTokenClient {
 public:
  /// @param context must outlive the event loop.
  /// @param agent must outlive the event loop.
  QuotaTokenClient(proxy::ProxyContext& context, AgentLink& agent)
      : context_(context), agent_(agent), pending_(randomRequestId()) {}
  /// Schedules one token request on the event loop. It covers all client requests that are waiting when it is sent.
  void requestSoon();
  /// Adds the granted tokens of a response and wakes the client requests that wait for them. A response whose token
  /// request is not pending is ignored.
  void accept(const transport::QuotaTokenResponse& response);

 private:
  void requestNow();

  proxy::ProxyContext& context_;
  AgentLink& agent_;
  PendingRequests pending_;
  bool scheduled_ = false;
};
}  // namespace zinccleat::proxy_daemon
