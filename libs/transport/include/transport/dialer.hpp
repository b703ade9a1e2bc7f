/// Keeps a connection to one endpoint established.
#pragma once
#include "transport/dialer.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::transport {
/// Connects to an endpoint and reconnects whenever the connection is lost, until `release`. A connection over which a
/// message stays unanswered for 900 ms is closed too: after a network partition it would stay silent long after the
/// partition has healed.
///
/// A connection attempt is given up after 300 ms; the next one follows after 30 ms, after 8 failures in a row 150 ms.
class Dialer {
 public:
  /// Called each time a connection is established, with its link.
  using OnConnected = std::function<void(const PeerLinkPtr&)>;
  Dialer(tcp::endpoint endpoint, PeerLink::OnMessage onMessage, OnConnected onConnected);
  ~Dialer();
  /// Sends a message over the present connection.
  /// @return false if there is none; the message is dropped.
  bool send(const Envelope& envelope);
  /// Whether a connection is established.
  bool up() const;
  /// The present connection's link, or null.
  PeerLinkPtr link() const;
  /// Closes the connection and stops reconnecting.
  void release();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
}  // namespace zinccleat::transport
