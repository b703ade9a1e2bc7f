#include "agent/core_links.hpp"

namespace zinccleat::agent {
CoreLinks::CoreLinks(unsigned short port, OnMessage onMessage, OnConnected onConnected)
    : port_(port), onMessage_(std::move(onMessage)), onConnected_(std::move(onConnected)) {}

void CoreLinks::connectTo(const std::set<std::string>& addresses) {
  for (const auto& address : addresses) {
    if (dialers_.contains(address))
      continue;
    const auto endpoint = runtime::parseEndpoint(address + ":" + std::to_string(port_));
    if (!endpoint)
      continue;
    dialers_[address] = std::make_unique<transport::Dialer>(
        *endpoint, onMessage_, [this, address](const transport::PeerLinkPtr& link) { onConnected_(address, link); });
  }
  std::erase_if(dialers_, [&addresses](const auto& dialer) { return !addresses.contains(dialer.first); });
}
bool CoreLinks::isConnected(const std::string& address) const {
  const auto found = dialers_.find(address);
  return found != dialers_.end() && found->second->up();
}
transport::PeerLinkPtr CoreLinks::connectedLink(const std::string& address) const {
  const auto found = dialers_.find(address);
  return found != dialers_.end() && found->second->up() ? found->second->link() : nullptr;
}
void CoreLinks::sendToAll(const std::function<transport::Envelope()>& makeMessage) {
  for (const auto& [address, dialer] : dialers_)
    dialer->send(makeMessage());
}
}  // namespace zinccleat::agent
