/// @file
/// Where an agent listens for the proxy beside it.
#pragma once
#include <string>

#include "config/settings.hpp"
namespace zinccleat::agent {
/// The agent's port, counted from the first of the machine's internal ports.
constexpr int kAgentPortOffset = 1;
/// The endpoint ("IP:PORT") at which the agent listens and its proxy connects: on 127.0.0.1, so that nobody else
/// reaches it. A machine whose own address is a loopback address uses that one: so many machines can run on one host.
std::string agentEndpoint(const config::Settings& settings);
}  // namespace zinccleat::agent
