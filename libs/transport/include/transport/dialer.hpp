/// Maintains a connection to one endpoint.
#pragma once
#include "transport/dialer.hpp"
#include "transport/peer_link.hpp"
namespace zinccleat::transport {
/// Connects to an endpoint and reconnects whenever the connection is lost, until `release`. A connection is also closed
/// if nothing is received for 900 ms after a message was sent: after a network partition, the connection would
/// otherwise stay silent long after the end of the partition.
///
/// A connection attempt times out after 300 ms. The next attempt follows after 30 ms or, after 8 consecutive failures,
/// after 150 ms.
class Dialer {
 public:
  /// Called with the new link each time a connection is established.
  using OnConnected = std::function<void(const PeerLinkPtr&)>;
  Dialer(tcp::endpoint endpoint, PeerLink::OnMessage onMessage, OnConnected onConnected);
  ~Dialer();
  /// Sends a message over the current connection.
  /// @return false if no connection is established; the message is dropped.
  bool send(const Envelope& envelope);
  /// Whether a connection is established.
  bool up() const;
  /// The link of the current connection, or null.
  PeerLinkPtr link() const;
  /// Closes the connection and stops reconnecting.
  void release();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};
}  // namespace zinccleat::transport
