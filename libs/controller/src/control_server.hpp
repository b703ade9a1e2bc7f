/// @file
/// Serves the control API over HTTP until the controller shuts down.
#pragma once
#include <optional>

#include "controller_services.hpp"
#include "proxy/http.hpp"
#include "proxy/idle_connections.hpp"
#include "runtime/event_loop.hpp"
#include "transport/listener.hpp"
namespace zinccleat::controller {
/// The HTTP server for calls of runners and operators. It must outlive the fibers of its connections.
class ControlServer {
 public:
  /// @param services must outlive the server.
  /// @param address IP:PORT of the control API; runners acknowledged by this controller are told to send their next
  /// heartbeats there.
  ControlServer(ControllerServices& services, std::string address);
  /// Starts to listen and serves each connection on a fiber of its own.
  Result<void> start();
  /// Serves a connection until it is closed; suspends the calling fiber.
  void serve(tcp::socket socket);
  /// Called before the process exits. Closes the listener and idle connections. A request that still arrives gets a 503
  /// with `Retry-After`, so that its caller tries another machine. Requests in flight are answered as usual.
  void stopAccepting();
  /// Number of requests that were read completely and are not answered yet.
  int inFlight() const { return inFlight_; }
  /// Bytes of memory that are reserved for the bodies of requests.
  std::size_t bodyBytes() const { return bodyMemory_.used(); }

 private:
  /// Handles one request and writes the response.
  /// @return whether the connection stays open after the response.
  bool handleRequest(runtime::ServedConnection& served, proxy::RequestParser& parser);
  /// Reads one request and handles it. What the request holds is freed when the function returns.
  proxy::RequestEnd serveRequest(runtime::ServedConnection& served, proxy::Buffer& buffer,
                                 const proxy::ReadLimits& limits);

  ControllerServices& services_;
  const std::string address_;
  runtime::MemoryBudget bodyMemory_;  // for what connections hold beyond their fixed charge
  runtime::SocketBufferBudget socketBuffers_;
  runtime::ConnectionTable connectionTable_;
  int maxConnections_;  // beyond it a late connection makes way, or the new one is closed unread
  int connections_ = 0;
  std::optional<transport::Listener> listener_;
  proxy::IdleConnections idleConnections_;
  bool accepting_ = true;
  int inFlight_ = 0;
};
}  // namespace zinccleat::controller
