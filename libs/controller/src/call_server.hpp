/// Serves the calls of runners and operators on connections, until the controller stops taking them.
#pragma once
#include "calls.hpp"
#include "proxy/idle_connections.hpp"
namespace zinccleat::controller {
class CallServer {
 public:
  /// `uri` is where a runner that was acknowledged here may send its next beats. The core must outlive the server.
  CallServer(CoreServices& core, std::string uri) : core_(core), uri_(std::move(uri)) {}
  /// Serves a connection until it ends; parks the calling fiber.
  void serve(tcp::socket socket);
  /// The process is about to end: idle connections close, and a call that arrives all the same gets 503 with
  /// `Retry-After`, so that its caller goes on to another machine. Calls in flight end as usual.
  void stopTakingCalls();
  /// Calls that were read whole and are not answered yet.
  int inFlight() const { return inFlight_; }

 private:
  /// False: the connection ends with this answer.
  bool answerOn(runtime::Connection& connection, const ApiRequest& request, bool keepAlive);

  CoreServices& core_;
  const std::string uri_;
  proxy::IdleConnections idleConnections_;
  bool takesCalls_ = true;
  int inFlight_ = 0;
};
}  // namespace zinccleat::controller
