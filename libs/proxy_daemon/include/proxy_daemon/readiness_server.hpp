/// Answers the platform's health checks: `GET /v1/readiness`.
#pragma once
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy_daemon {
/// Serves each connection in a separate fiber.
class ReadinessServer {
 public:
  /// @param context must outlive the event loop.
  explicit ReadinessServer(const proxy::ProxyContext& context) : context_(context) {}
  /// Starts to listen. The listener stays open until the event loop ends.
  /// @return the error of `transport::listen`.
  Result<void> start(const tcp::endpoint& endpoint);

 private:
  bool ready() const;
  /// Returns the HTTP response to a request for a path.
  std::string respond(std::string_view path, bool keepAlive) const;
  void serve(tcp::socket socket) const;

  const proxy::ProxyContext& context_;
};
}  // namespace zinccleat::proxy_daemon
