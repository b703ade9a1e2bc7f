/// @file
/// Notices that a client disconnects while its request is worked on, when nobody reads from its connection, and then
/// closes the connection to the runner, so that the runner stops.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {
/// Whether the client's connection has ended or failed. Bytes that are still unread hide its end.
bool hasDisconnected(runtime::Connection& client);

class ClientWatch {
 public:
  /// Watches from now until it is destroyed.
  /// @param client  must outlive the watch, and must not be read meanwhile
  explicit ClientWatch(runtime::Connection& client);
  ~ClientWatch();
  ClientWatch(const ClientWatch&) = delete;
  ClientWatch& operator=(const ClientWatch&) = delete;

  bool disconnected() const { return state_->disconnected; }
  /// Sets the connection to close when the client disconnects; nullptr: none.
  void attach(runtime::Connection* upstream) { state_->upstream = upstream; }

 private:
  /// Shared with the handler of the socket, which may run after the watch was destroyed.
  struct State {
    bool disconnected = false;
    bool stopped = false;
    runtime::Connection* upstream = nullptr;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
  runtime::Connection& client_;
};

/// Attaches a connection to a watch for the length of a scope.
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
