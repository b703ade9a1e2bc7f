/// The agent's connections to machines of the core.
#pragma once
#include <set>

#include "transport/dialer.hpp"
namespace zinccleat::agent {
/// Maintains one `Dialer` for each desired address. Used on the event loop's thread only.
class CoreLinks {
 public:
  using OnMessage = transport::PeerLink::OnMessage;
  /// Called with the address each time a connection is established.
  using OnConnected = std::function<void(const std::string& address, const transport::PeerLinkPtr&)>;
  /// @param port the port on which the machines of the core accept connections from agents.
  /// @param onMessage called for each message received over any of the connections.
  /// @param onConnected called each time a connection is established.
  CoreLinks(unsigned short port, OnMessage onMessage, OnConnected onConnected);
  /// Opens a connection to each of these IP addresses and closes the connections to all others.
  void connectTo(const std::set<std::string>& addresses);
  /// Whether there is an established connection to an address.
  bool isConnected(const std::string& address) const;
  /// Returns the link to an address; null if it is not connected.
  transport::PeerLinkPtr connectedLink(const std::string& address) const;
  /// Sends a message over each connection.
  /// @param makeMessage called once for each connection to create its message.
  void sendToAll(const std::function<transport::Envelope()>& makeMessage);

 private:
  unsigned short port_;
  OnMessage onMessage_;
  OnConnected onConnected_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> dialers_;  // key: IP address
};
}  // namespace zinccleat::agent
