#include "proxy_daemon/readiness_server.hpp"

#include "proxy/http.hpp"
#include "transport/listener.hpp"

namespace zinccleat::proxy_daemon {
namespace {
constexpr std::size_t kMaxBodyBytes = 1024;  // a readiness check needs no body
constexpr auto kWriteTimeout = 2s;
}  // namespace

Result<void> ReadinessServer::start(const tcp::endpoint& endpoint) {
  return transport::listen(endpoint, [this](tcp::socket socket) {
    if (connections_ >= kMaxConnections && !connectionTable_.evictSlowest())
      return;
    auto accepted = std::make_shared<tcp::socket>(std::move(socket));
    ++connections_;
    runtime::EventLoop::get().spawn([this, accepted] {
      serve(std::move(*accepted));
      --connections_;
    });
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
void ReadinessServer::serve(tcp::socket socket) {
  runtime::ServedConnection served(connectionTable_, context_.messageMemory, std::move(socket));
  proxy::Buffer buffer;
  proxy::ReadLimits limits;
  limits.body = kMaxBodyBytes;
  while (serveRequest(served, buffer, limits)) {
    served.memory().shrinkTo(0);
    served.enter(runtime::ConnectionPhase::idle);
    runtime::EventLoop::get().yield();
  }
}
bool ReadinessServer::serveRequest(runtime::ServedConnection& served, proxy::Buffer& buffer,
                                   const proxy::ReadLimits& limits) const {
  proxy::RequestParser parser;
  if (proxy::readRequest(served, buffer, parser, limits).outcome != proxy::ReadOutcome::complete)
    return false;
  const bool keepAlive = parser.get().keep_alive();
  const auto path = parser.get().target();
  auto& connection = served.connection();
  connection.setDeadline(Clock::now() + kWriteTimeout);
  runtime::SocketError error;
  connection.write(asio::buffer(respond({path.data(), path.size()}, keepAlive)), error);
  connection.clearDeadline();
  return !error && keepAlive;
}
}  // namespace zinccleat::proxy_daemon
