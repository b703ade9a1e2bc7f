/// @file
/// The endpoint at which an agent accepts the connection of the proxy on the same machine.
#pragma once
#include <string>

#include "config/settings.hpp"
namespace zinccleat::agent {
/// Offset of the agent's port from the first internal port of the machine.
constexpr int kAgentPortOffset = 1;
/// Returns the endpoint ("IP:PORT") at which the agent listens and its proxy connects. The address is 127.0.0.1, so
/// that other machines cannot connect. If the machine's own address is a loopback address, that address is used
/// instead, so that many machines can be run on one host.
std::string agentEndpoint(const config::Settings& settings);
}  // namespace zinccleat::agent
