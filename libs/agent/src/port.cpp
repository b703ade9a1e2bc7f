#include "agent/port.hpp"

namespace zinccleat::agent {
std::string agentEndpoint(const config::Settings& settings) {
  return settings.ip + ":" + std::to_string(settings.firstPort + kAgentPortOffset);
}
bool isOwnMachine(const asio::ip::address& remote, const asio::ip::address& own) {
  return remote == own || remote.is_loopback();
}
}  // namespace zinccleat::agent
