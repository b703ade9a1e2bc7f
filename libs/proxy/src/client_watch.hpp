// Notices that a client goes away while nobody reads from its connection, and then closes the connection to the runner
// that works for it, so that the runner stops.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {
/// Whether the client's connection has ended or failed. Bytes that are still unread hide its end.
bool hasLeft(runtime::Connection& client);

class ClientWatch {
 public:
  // Watches from now until it is destroyed; the client's connection must outlive it and must not be read meanwhile.
  explicit ClientWatch(runtime::Connection& client);
  ~ClientWatch();
  ClientWatch(const ClientWatch&) = delete;
  ClientWatch& operator=(const ClientWatch&) = delete;

  bool gone() const { return state_->gone; }
  // The connection to close when the client goes; nullptr: none.
  void attach(runtime::Connection* upstream) { state_->upstream = upstream; }

 private:
  struct State {  // shared with the handler, which may run after the watch has ended
    bool gone = false, over = false;
    runtime::Connection* upstream = nullptr;
  };
  std::shared_ptr<State> state_ = std::make_shared<State>();
  runtime::Connection& client_;
};

// Attaches a connection to a watch for the length of a scope.
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
