/// Gets quota tokens from the leader for requests that wait for them right now.
#pragma once
#include "proxy/proxy_context.hpp"
#include "proxy_daemon/agent_link.hpp"
#include "proxy_daemon/pending_requests.hpp"
#include "transport/access_messages.hpp"
namespace zinccleat::proxy_daemon {
class QuotaTokenClient {
 public:
  /// @param context and agent must outlive the event loop.
  QuotaTokenClient(proxy::ProxyContext& context, AgentLink& agent)
      : context_(context), agent_(agent), pending_(randomRequestId()) {}
  /// Requests tokens in the next turn of the event loop, for all requests that wait by then.
  void requestSoon();
  /// Takes over a response and wakes the requests that it is for. One that is not pending counts for nothing.
  void accept(const transport::QuotaTokenResponse& response);

 private:
  void requestNow();

  proxy::ProxyContext& context_;
  AgentLink& agent_;
  PendingRequests pending_;
  bool scheduled_ = false;
};
}  // namespace zinccleat::proxy_daemon
