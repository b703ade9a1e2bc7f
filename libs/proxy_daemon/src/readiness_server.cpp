#include "proxy_daemon/readiness_server.hpp"

#include "proxy/http.hpp"
#include "transport/listener.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr std::size_t kMaxBodyBytes = 1024;  // a readiness check needs no body
}  // namespace

Result<void> ReadinessServer::start(const tcp::endpoint& endpoint) {
  return transport::listen(endpoint, [this](tcp::socket socket) {
    auto accepted = std::make_shared<tcp::socket>(std::move(socket));
    runtime::EventLoop::get().spawn([this, accepted] { serve(std::move(*accepted)); });
  });
}
bool ReadinessServer::ready() const {
  return context_.hasLease(Clock::now()) && !context_.shutdown.begun() && !context_.zoneDraining;
}
std::string ReadinessServer::respond(std::string_view path, bool keepAlive) const {
  const bool isReady = ready();
  int status = isReady ? 200 : 503;
  if (path != "/v1/readiness")
    status = 404;
  const std::string_view body = isReady ? "{\"ready\":true}" : "{\"ready\":false}";
  return proxy::plainResponse(status, "", "application/json", body, keepAlive);
}
void ReadinessServer::serve(tcp::socket socket) const {
  runtime::Connection connection(std::move(socket));
  proxy::Buffer buffer;
  proxy::ReadLimits limits;
  limits.body = kMaxBodyBytes;
  for (;;) {
    proxy::RequestParser parser;
    if (proxy::readRequest(connection, buffer, parser, limits).outcome != proxy::ReadOutcome::complete)
      return;
    const bool keepAlive = parser.get().keep_alive();
    const auto path = parser.get().target();
    const auto response = respond({path.data(), path.size()}, keepAlive);
    runtime::SocketError error;
    connection.write(asio::buffer(response), error);
    if (error || !keepAlive)
      return;
  }
}
}  // namespace zinccleat::proxy_daemon
