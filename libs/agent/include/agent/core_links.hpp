/// The agent's connections to machines of the core.
#pragma once
#include <set>

#include "transport/dialer.hpp"
namespace zinccleat::agent {
/// One `Dialer` for each address wanted. Used on the event loop's thread only.
class CoreLinks {
 public:
  using OnMessage = transport::PeerLink::OnMessage;
  /// Called with the address each time a connection is established.
  using OnConnected = std::function<void(const std::string& address, const transport::PeerLinkPtr&)>;
  /// @param port the port on which the machines of the core listen for the fleet.
  CoreLinks(unsigned short port, OnMessage onMessage, OnConnected onConnected);
  /// Opens and closes connections until there is one for each of these IP addresses and for no other.
  void connectTo(const std::set<std::string>& addresses);
  /// Whether there is a connection to an address now.
  bool isConnected(const std::string& address) const;
  /// The link to an address; null if there is none now.
  transport::PeerLinkPtr connectedLink(const std::string& address) const;
  /// Sends a message over each connection, made anew for each.
  void sendToAll(const std::function<transport::Envelope()>& makeMessage);

 private:
  unsigned short port_;
  OnMessage onMessage_;
  OnConnected onConnected_;
  std::map<std::string, std::unique_ptr<transport::Dialer>> dialers_;  // by IP address
};
}  // namespace zinccleat::agent
