#include "proxy_daemon/quota_token_client.hpp"

#include <boost/asio/post.hpp>

namespace zinccleat::proxy_daemon {
void QuotaTokenClient::requestSoon() {
  if (std::exchange(scheduled_, true))
    return;
  asio::post(runtime::EventLoop::get().io(), [this] {
    scheduled_ = false;
    requestNow();
  });
}
void QuotaTokenClient::requestNow() {
  if (!agent_.connected())
    return;
  transport::QuotaTokenRequest request;
  request.waiting = context_.quota.takeTokenRequests();
  if (request.waiting.empty())
    return;
  request.requestId = pending_.start(Clock::now());
  agent_.send(request);
}
void QuotaTokenClient::accept(const transport::QuotaTokenResponse& response) {
  if (!pending_.finish(response.requestId) || !response.granted)
    return;
  context_.quota.addImmediateTokens(response.grants, Clock::now());
  context_.wakeQuotaWaiters(response.grants);
}
}  // namespace zinccleat::proxy_daemon
