#include "agent/port.hpp"

namespace zinccleat::agent {
std::string agentEndpoint(const config::Settings& settings) {
  constexpr std::string_view kLoopbackNetwork = "127.";
  const bool ownIsLoopback = settings.ip.starts_with(kLoopbackNetwork);
  return (ownIsLoopback ? settings.ip : "127.0.0.1") + ":" + std::to_string(settings.firstPort + kAgentPortOffset);
}
}  // namespace zinccleat::agent
