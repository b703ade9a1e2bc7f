/// @file
/// The endpoint at which an agent accepts the connection of the proxy on the same machine.
#pragma once
#include <string>

#include "config/settings.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::agent {
/// Offset of the agent's port from the first internal port of the machine.
constexpr int kAgentPortOffset = 1;
/// Returns the endpoint ("IP:PORT") at which the agent listens and its proxy connects. The address is the machine's
/// own, which no other machine has: all machines of a deployment use the same ports, and several of them may share a
/// host, where they would all have the same loopback address. The agent accepts connections of its own machine only.
std::string agentEndpoint(const config::Settings& settings);
/// Whether a connection comes from the agent's own machine, whose address is `own`. The operating system chooses the
/// source address of such a connection: the machine's own or a loopback address.
bool isOwnMachine(const asio::ip::address& remote, const asio::ip::address& own);
}  // namespace zinccleat::agent
