/// @file
/// Serves the control API over HTTP, until the controller shuts down.
#pragma once
#include <optional>

#include "controller_services.hpp"
#include "proxy/http.hpp"
#include "proxy/idle_connections.hpp"
#include "runtime/event_loop.hpp"
#include "transport/listener.hpp"
namespace zinccleat::controller {
/// The HTTP server of the calls of runners and operators. It must outlive the fibers of its connections.
class ControlServer {
 public:
  /// @param services must outlive the server.
  /// @param address IP:PORT; also where a runner that was acknowledged here may send its next heartbeats.
  ControlServer(ControllerServices& services, std::string address);
  /// Listens and serves each connection on a fiber of its own.
  Result<void> start();
  /// Serves a connection until it ends; parks the calling fiber.
  void serve(tcp::socket socket);
  /// The process is about to end: the listener and idle connections close, and a request that arrives all the same gets
  /// 503 with `Retry-After`, so that its caller goes on to another machine. Requests in flight are answered as usual.
  void stopAccepting();
  /// Requests that were read completely and are not answered yet.
  int inFlight() const { return inFlight_; }

 private:
  /// @return whether the connection stays open after the response.
  bool handleRequest(runtime::Connection& connection, const proxy::RequestParser& parser);

  ControllerServices& services_;
  const std::string address_;
  std::optional<transport::Listener> listener_;
  proxy::IdleConnections idleConnections_;
  bool accepting_ = true;
  int inFlight_ = 0;
};
}  // namespace zinccleat::controller
