/// @file
/// Detects that a client disconnects while its request is in progress and nothing reads from its connection. The
/// connection to the runner is then closed, so that the runner stops.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {
class ClientWatch {
 public:
  /// Watches the connection until this object is destroyed.
  /// @param client  must outlive this object and must not be read from during its lifetime
  explicit ClientWatch(runtime::Connection& client);
  ~ClientWatch();
  ClientWatch(const ClientWatch&) = delete;
  ClientWatch& operator=(const ClientWatch&) = delete;

  bool disconnected() const { return state_->disconnected; }
  /// Sets the connection that is closed when the client disconnects; nullptr for none.
  void attach(runtime::Connection* upstream) { state_->upstream = upstream; }

 private:
  /// Shared with the socket's completion handler, which may run after the watch was destroyed.
  struct State {
    bool disconnected = false;
    bool stopped = false;
    runtime::Connection* upstream = nullptr;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
  runtime::Connection& client_;
};

/// Attaches a connection to a watch for the duration of a scope.
class AttachedConnection {
 public:
  AttachedConnection(ClientWatch& watch, runtime::Connection& upstream) : watch_(watch) { watch_.attach(&upstream); }
  ~AttachedConnection() { watch_.attach(nullptr); }
  AttachedConnection(const AttachedConnection&) = delete;
  AttachedConnection& operator=(const AttachedConnection&) = delete;

 private:
  ClientWatch& watch_;
};
}  // namespace zinccleat::proxy
