/// Answers the platform's health checks: `GET /v1/readiness`.
#pragma once
#include "proxy/http.hpp"
#include "proxy/proxy_context.hpp"
namespace zinccleat::proxy_daemon {
/// Serves each connection in a separate fiber.
class ReadinessServer {
 public:
  /// Maximum number of open connections. Beyond it the slowest one makes way.
  static constexpr int kMaxConnections = 64;
  /// @param context must outlive the event loop.
  explicit ReadinessServer(proxy::ProxyContext& context) : context_(context) {}
  /// Starts to listen. The listener stays open until the event loop ends.
  /// @return the error of `transport::listen`.
  Result<void> start(const tcp::endpoint& endpoint);

 private:
  bool ready() const;
  /// Returns the HTTP response to a request for a path.
  std::string respond(std::string_view path, bool keepAlive) const;
  void serve(tcp::socket socket);
  /// Reads and answers one request. @return whether the connection stays open.
  bool serveRequest(runtime::ServedConnection& served, proxy::Buffer& buffer, const proxy::ReadLimits& limits) const;

  proxy::ProxyContext& context_;
  runtime::ConnectionTable connectionTable_;
  int connections_ = 0;
};
}  // namespace zinccleat::proxy_daemon
